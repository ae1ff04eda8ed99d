package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

const (
	// crashPrefix is the prefix of the IDs of requests that crash the instances which run
	// them.
	crashPrefix = "crash"
	// crashInterval is the interval between the sends of such a request, crashSends their
	// number, and crashDowntime the time until a crashed instance is restarted.
	crashInterval = 400 * time.Millisecond
	crashSends    = 30
	crashDowntime = time.Second
	// A crash is late if the same request caused at least crashThreshold crashes more than
	// crashSettleTime before it. The platform allows maxLateCrashes late crashes for each
	// request.
	crashThreshold  = 3
	maxLateCrashes  = 3
	crashSettleTime = 4 * time.Second
)

// sendCrashingRequest sends a request that crashes instances crashSends times, each time
// through the next VM.
func (w *world) sendCrashingRequest() {
	number, first := w.rng.IntN(1<<20), w.rng.IntN(len(w.vms))
	go func() {
		for n := 0; n < crashSends && w.t.Context().Err() == nil; n++ {
			w.send((first+n)%len(w.vms), &standin.Call{
				ID: fmt.Sprintf("%s-%d-%d", crashPrefix, number, n), Order: true, Path: fmt.Sprint("roll-", number), Body: "roll", Timeout: 2 * time.Second,
			}, "", false)
			time.Sleep(crashInterval)
		}
	}()
}

// restartCrashedInstances restarts crashed instances under their IDs and addresses until
// the test ends.
func (w *world) restartCrashedInstances() {
	for w.t.Context().Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		for _, u := range w.instances {
			if u.HasCrashed() && !u.restarting {
				u.restarting = true
				go w.restartInstance(u)
			}
		}
		w.mu.Unlock()
	}
}

// restartInstance restarts a crashed instance after crashDowntime. Its record is written
// only if the instance was not replaced meanwhile.
func (w *world) restartInstance(u *upstream) {
	time.Sleep(crashDowntime)
	if w.t.Context().Err() != nil {
		return
	}
	next, err := standin.StartInstance(u.Address(), u.ID(), 8, 16, behaviourOf)
	if err != nil {
		w.t.Errorf("instance %s could not be restarted: %v", u.ID(), err)
		return
	}
	w.t.Cleanup(next.Close)
	restarted := &upstream{Instance: next, zone: u.zone, relay: u.relay, wasPathFaulty: u.wasPathFaulty}
	w.mu.Lock()
	w.allInstances = append(w.allInstances, restarted)
	isCurrent := false
	for k := range w.instances {
		if w.instances[k] == u {
			w.instances[k], isCurrent = restarted, true
		}
	}
	w.mu.Unlock()
	if isCurrent {
		w.register(restarted, "ready")
	}
}

// excessCrashes lists requests that crashed more instances than the platform allows. The
// lock is held.
func (w *world) excessCrashes(informed map[string]bool) []string {
	type crash struct {
		id string
		at time.Time
	}
	crashes := make(map[string][]crash)
	for _, u := range w.allInstances {
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
				if other.at.Before(c.at.Add(-crashSettleTime)) {
					before++
				}
			}
			if before >= crashThreshold && informed[c.id] {
				late++
			}
		}
		if late > maxLateCrashes {
			out = append(out, fmt.Sprintf("request %s crashed %d instances, %d of them later than %s after the third", number, len(list), late, crashSettleTime))
		}
	}
	return out
}
