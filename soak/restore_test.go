package soak

import (
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

// restoreStore takes a copy of the store, and some seconds later makes the store go away
// for a moment and come back from the copy. The operators and the instances then write
// again what the copy lacks, in half of the cases before any VM reaches the store.
func (w *world) restoreStore() {
	w.mu.Lock()
	busy := w.isRestoring
	w.isRestoring = true
	w.mu.Unlock()
	if busy {
		return
	}
	age := time.Duration(500+w.rng.IntN(2500)) * time.Millisecond
	outage := time.Duration(200+w.rng.IntN(1000)) * time.Millisecond
	writesEarly := w.rng.IntN(2) == 0
	delay := time.Duration(w.rng.IntN(1500)) * time.Millisecond
	w.store.Backup()
	for range 1 + w.rng.IntN(4) {
		w.writeRoutes()
	}
	w.restores.Go(func() {
		time.Sleep(age)
		w.setStoreFault(standin.StoreFault{Reset: true})
		time.Sleep(outage)
		w.store.Restore()
		if writesEarly {
			w.writeAgain()
		}
		w.setStoreFault(standin.StoreFault{})
		if !writesEarly {
			time.Sleep(delay)
			w.writeAgain()
		}
		w.markStoreFault(allRegions)
		w.mu.Lock()
		w.isRestoring = false
		w.mu.Unlock()
	})
}

// writeAgain writes a new version of the routes and the present evacuations and instances.
func (w *world) writeAgain() {
	w.writeRoutes()
	w.mu.Lock()
	defer w.mu.Unlock()
	ordered := make(map[string]bool)
	for _, e := range w.evacuations {
		ordered[e.zone] = e.ended.IsZero()
	}
	for zone, isOrdered := range ordered {
		w.store.Evacuate(zone, isOrdered)
	}
	// A later entry is a restart under the same ID.
	latest := make(map[string]*upstream)
	for _, u := range w.allInstances {
		latest[u.ID()] = u
	}
	for _, u := range latest {
		if u.recordState == "" {
			w.store.Unregister(u.Instance)
		} else {
			w.store.RegisterAt(u.Instance, u.relay.Address(), "shop", u.zone, u.recordState)
		}
	}
}
