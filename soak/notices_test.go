package soak

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

const (
	// The platform requires that a VM sends no requests to an instance later than
	// maxLeavingDelay after its leaving notice, and at most maxRequestsDuringWait requests
	// between waitMargin after its wait notice and the end of the wait.
	maxLeavingDelay       = 2500 * time.Millisecond
	waitMargin            = 500 * time.Millisecond
	maxRequestsDuringWait = 2
)

// leaveInAnswers makes an instance send leaving notices in its answers while its record
// remains in state ready, until the instance stops.
func (w *world) leaveInAnswers() {
	w.mu.Lock()
	i := w.instances[0]
	w.instances = w.instances[1:]
	count := len(w.allInstances)
	w.mu.Unlock()
	w.addInstance(count)
	i.SetBehaviour(func(id string) standin.Behaviour {
		b := behaviourOf(id)
		b.Leaving = true
		return b
	})
	time.AfterFunc(drainingTime, func() {
		w.unregister(i)
		i.Close()
	})
}

// askToWait makes an instance refuse requests for a short time, with a Retry-After that
// is longer than that time.
func (w *world) askToWait(u *upstream) {
	wait := strconv.FormatFloat(1.5+2.5*w.rng.Float64(), 'f', 2, 64)
	duration := time.Duration(100+w.rng.IntN(500)) * time.Millisecond
	u.SetBehaviour(func(string) standin.Behaviour { return standin.Behaviour{RetryAfter: wait} })
	go func() {
		time.Sleep(duration)
		u.SetBehaviour(behaviourOf)
	}()
}

// isUndisturbed reports whether no fault affected the process of a VM between two times.
func (v *vm) isUndisturbed(from, to time.Time) bool {
	return !v.paused && !slices.ContainsFunc(v.disturbances, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

// ignoredNotices lists the requests that reached instances in spite of their leaving and
// wait notices. The lock is held.
func (w *world) ignoredNotices() []string {
	requests := make(map[string]*request, len(w.requests))
	// leavingAnswers holds, by instance ID, the answers with a leaving notice.
	leavingAnswers := make(map[string][]*request)
	for _, r := range w.requests {
		requests[r.id] = r
		if r.leaving != "" {
			leavingAnswers[r.leaving] = append(leavingAnswers[r.leaving], r)
		}
	}
	passedOn := w.passedOn()
	var out []string
	for _, u := range w.allInstances {
		arrivals := u.Arrivals()
		for _, a := range arrivals {
			r := requests[a.ID]
			if r == nil {
				continue
			}
			for _, notice := range leavingAnswers[u.ID()] {
				noticeAt := notice.sentAt.Add(notice.took)
				if notice.vm == r.vm && r.sentAt.Sub(noticeAt) > maxLeavingDelay && w.vms[r.vm].isUndisturbed(noticeAt, a.At) {
					out = append(out, fmt.Sprintf("request %s reached instance %s %s after the VM had passed on that it leaves", r.id, u.ID(), a.At.Sub(noticeAt)))
					break
				}
			}
			// A request that was passed on came from another VM.
			if until := a.At.Add(a.Wait); a.Wait > 0 && !passedOn[a.ID] && !u.wasPathFaulty && w.vms[r.vm].isUndisturbed(a.At, until) {
				n := 0
				for _, later := range arrivals {
					if other := requests[later.ID]; other != nil && other.vm == r.vm && !passedOn[later.ID] && later.At.After(a.At.Add(waitMargin)) && later.At.Before(until) {
						n++
					}
				}
				if n > maxRequestsDuringWait {
					out = append(out, fmt.Sprintf("%d requests of VM %d reached instance %s though it had asked to wait %s", n, r.vm, u.ID(), a.Wait))
				}
			}
		}
	}
	return out
}

// addRuns adds an instance with invented runs, for tests of the checks.
func (w *world) addRuns(t *testing.T, id string, runs ...standin.Run) {
	t.Helper()
	w.addArrivals(t, id)
	w.allInstances[len(w.allInstances)-1].AddRuns(runs...)
}

// addArrivals adds an instance with invented arrivals, for tests of the checks.
func (w *world) addArrivals(t *testing.T, id string, arrivals ...standin.Arrival) {
	t.Helper()
	i, err := standin.StartInstance("127.0.0.1:0", id, 1, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(i.Close)
	i.AddArrivals(arrivals...)
	w.allInstances = append(w.allInstances, &upstream{Instance: i})
}
