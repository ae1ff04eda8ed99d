package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

const (
	// crashPrefix begins the ids of requests that crash the instances which run them.
	crashPrefix = "crash"
	// crashPause is the pause between the sends of such a request, crashSends their
	// number, and crashDown how long a crashed instance is away.
	crashPause = 400 * time.Millisecond
	crashSends = 30
	crashDown  = time.Second
	// crashBound is the number of crashes after which the platform allows crashLate
	// more, not counting those within crashSettle of the last.
	crashBound  = 3
	crashLate   = 3
	crashSettle = 4 * time.Second
)

// sendCrashing sends a request that crashes instances again and again, each time to
// another VM.
func (w *world) sendCrashing() {
	number, first := w.rng.IntN(1<<20), w.rng.IntN(len(w.vms))
	go func() {
		for n := 0; n < crashSends && w.t.Context().Err() == nil; n++ {
			w.send((first+n)%len(w.vms), &standin.Call{
				ID: fmt.Sprintf("%s-%d-%d", crashPrefix, number, n), Order: true, Path: fmt.Sprint("roll-", number), Body: "roll", Patience: 2 * time.Second,
			}, "", false)
			time.Sleep(crashPause)
		}
	}()
}

// reviveInstances starts crashed instances again, under their IDs and addresses, until
// the test ends.
func (w *world) reviveInstances() {
	for w.t.Context().Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		for _, u := range w.instances {
			if u.HasCrashed() && !u.reviving {
				u.reviving = true
				go w.revive(u)
			}
		}
		w.mu.Unlock()
	}
}

func (w *world) revive(u *upstream) {
	time.Sleep(crashDown)
	next, err := standin.StartInstance(u.Address(), u.ID(), 8, 16, behaviourOf)
	if err != nil {
		w.t.Errorf("instance %s can't be started again: %v", u.ID(), err)
		return
	}
	w.t.Cleanup(next.Close)
	back := &upstream{Instance: next, zone: u.zone, relay: u.relay, harmed: u.harmed}
	w.mu.Lock()
	w.all = append(w.all, back)
	present := false
	for k := range w.instances {
		if w.instances[k] == u {
			w.instances[k], present = back, true
		}
	}
	w.mu.Unlock()
	if present {
		w.register(back, "ready")
	}
}

// endlessCrashes lists requests that went on crashing instances. The lock is held.
func (w *world) endlessCrashes(informed map[string]bool) []string {
	type crash struct {
		id string
		at time.Time
	}
	crashes := make(map[string][]crash)
	for _, u := range w.all {
		for _, r := range u.Runs() {
			if rest, ok := strings.CutPrefix(r.ID, crashPrefix+"-"); ok {
				number, _, _ := strings.Cut(rest, "-")
				crashes[number] = append(crashes[number], crash{r.ID, r.At})
			}
		}
	}
	var out []string
	for number, list := range crashes {
		late := 0
		for _, c := range list {
			before := 0
			for _, other := range list {
				if other.at.Before(c.at.Add(-crashSettle)) {
					before++
				}
			}
			if before >= crashBound && informed[c.id] {
				late++
			}
		}
		if late > crashLate {
			out = append(out, fmt.Sprintf("request %s crashed %d instances, %d of them later than %s after the third", number, len(list), late, crashSettle))
		}
	}
	return out
}
