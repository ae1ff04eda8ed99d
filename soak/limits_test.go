package soak

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// The platform requires that an instance which named a limit gets, in any limitWindow
	// that ends limitDelay after that or later, at most limitFactor times what the limit
	// allows and limitSlack more, from the VMs that passed on such an answer limitMargin
	// before or earlier.
	limitWindow = 4 * time.Second
	limitDelay  = 4 * time.Second
	limitMargin = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
)

// namedLimit is a period in which an instance names a limit in its answers.
type namedLimit struct {
	perSecond      float64
	started, ended time.Time
}

// nameLimit makes an instance name a limit for some seconds, unless it named one before.
func (w *world) nameLimit(u *upstream) {
	limits := []float64{0, 0.5, 2, 8, 30}
	limit := limits[w.rng.IntN(len(limits))]
	duration := time.Duration(5000+w.rng.IntN(4000)) * time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.limit.perSecond > 0 || !u.limit.started.IsZero() {
		return
	}
	u.limit = namedLimit{perSecond: limit, started: time.Now()}
	u.SetLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	time.AfterFunc(duration, func() {
		w.mu.Lock()
		u.limit.ended = time.Now()
		w.mu.Unlock()
		u.SetLimit("")
	})
}

// exceededLimits lists the instances that got more requests than the limits they named. The
// lock is held.
func (w *world) exceededLimits() []string {
	requests := make(map[string]*request, len(w.requests))
	// told holds, by instance ID and VM, the times of the answers that named a limit.
	told := make(map[string]map[int][]time.Time)
	for _, r := range w.requests {
		requests[r.id] = r
		if r.limited == "" {
			continue
		}
		if told[r.limited] == nil {
			told[r.limited] = make(map[int][]time.Time)
		}
		told[r.limited][r.vm] = append(told[r.limited][r.vm], r.sentAt.Add(r.took))
	}
	var out []string
	for _, u := range w.allInstances {
		l := u.limit
		if l.started.IsZero() || u.wasPathFaulty {
			continue
		}
		var times []time.Time
		for _, a := range u.Arrivals() {
			r := requests[a.ID]
			if r == nil || a.At.Before(l.started) || (!l.ended.IsZero() && a.At.After(l.ended)) {
				continue
			}
			for _, at := range told[u.ID()][r.vm] {
				if a.At.Sub(at) > limitMargin && w.vms[r.vm].isUndisturbed(at, a.At) {
					times = append(times, a.At)
					break
				}
			}
		}
		allowed := int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
		first := 0
		for last := range times {
			for times[last].Sub(times[first]) > limitWindow {
				first++
			}
			if n := last - first + 1; n > allowed && times[last].Sub(l.started) > limitDelay {
				out = append(out, fmt.Sprintf("instance %s got %d requests within %s though it had named a limit of %g, %d allowed", u.ID(), n, limitWindow, l.perSecond, allowed))
				break
			}
		}
	}
	return out
}
