package soak

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/platform/standin"
)

const (
	// stopMargin is the time after the grace within which the process has exited.
	stopMargin = time.Second
	// faultMargin is the time after a fault's duration until it has ended.
	faultMargin = 200 * time.Millisecond
	// minOpen is the number of open requests with which a VM counts as busy, and
	// maxBusyWait the longest wait for such a VM.
	minOpen     = 3
	maxBusyWait = 500 * time.Millisecond
	// deadlineMargin is the time before its deadline in which the end of a request counts
	// as reaching it.
	deadlineMargin = 300 * time.Millisecond
	// The platform allows a request to be cut off if an instance still worked on it in the
	// last lateShare of the grace and it was sent at most maxSentAfterStop after SIGTERM.
	lateShare        = 1.0 / 6
	maxSentAfterStop = 3 * time.Second
	// maxClosed is the number of kept connections that may be closed without an answer to a
	// request at which an instance worked.
	maxClosed = 3
	// plannedStopsSeconds is the duration of the faults in TestPlannedStops.
	plannedStopsSeconds = 14
)

// plannedStopsSize has callers that keep their connections, the default grace of the settings, and a timeout that is longer than
// the longest work.
var plannedStopsSize = size{
	vms: 6, regions: 3, instances: 9, callers: 6, keptCallers: 24, pipelined: 8, grace: 6 * time.Second, timeout: 5 * time.Second,
}

// period is the time between two times.
type period struct{ from, to time.Time }

// overlaps reports whether a period has a time in common with another one.
func (p period) overlaps(from, to time.Time) bool { return !p.from.After(to) && !p.to.Before(from) }

// addFault records an unplanned fault of a VM that begins now.
func (w *world) addFault(v *vm, duration time.Duration) {
	w.mu.Lock()
	v.faults = append(v.faults, period{time.Now(), time.Now().Add(duration)})
	w.mu.Unlock()
}

// stopBusyVM stops the VM with the most open requests, those with slow links first, if it
// has at least minOpen of them within maxBusyWait. At most half of the VMs stop at a time.
func (w *world) stopBusyVM() {
	for end := time.Now().Add(maxBusyWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var chosen *vm
		numStopping := 0
		w.mu.Lock()
		for _, v := range w.vms {
			if v.stopping {
				numStopping++
			}
			if v.stopping || v.paused || v.numOpen < minOpen {
				continue
			}
			if chosen == nil || (v.isSlow() && !chosen.isSlow()) || (v.isSlow() == chosen.isSlow() && v.numOpen > chosen.numOpen) {
				chosen = v
			}
		}
		w.mu.Unlock()
		if chosen != nil && numStopping < len(w.vms)/2 {
			w.plannedStop(chosen)
			return
		}
	}
}

func (v *vm) isSlow() bool { return v.linksSpeed != testkit.Speed{} }

// slowLinks slows the links of a VM to the instances and the store for some seconds, unless
// they are slow. New connections are late, and some give up, while open ones go on.
func (w *world) slowLinks(v *vm) {
	speed := testkit.Speed{
		OpenDelay: time.Duration(150+w.rng.IntN(500)) * time.Millisecond,
		// A long answer alone needs 0.2 to 2.5 s.
		BytesPerSecond: 40_000 << w.rng.IntN(5),
	}
	duration := time.Duration(3000+w.rng.IntN(5000)) * time.Millisecond
	w.mu.Lock()
	isSlow := v.isSlow()
	w.mu.Unlock()
	if isSlow {
		return
	}
	set := func(s testkit.Speed, mode testkit.Mode) {
		w.mu.Lock()
		v.linksSpeed = s
		w.writeLinksLocked(v)
		w.mu.Unlock()
		w.setStorePathMode(v, mode)
	}
	w.t.Logf("%s: links of VM %d: %+v for %s", time.Now().Format("15:04:05.000"), v.number, speed, duration)
	set(speed, testkit.Delay)
	w.restores.Go(func() {
		time.Sleep(duration)
		set(testkit.Speed{}, testkit.Pass)
	})
}

// lostRequests lists the requests that VMs lost around planned stops, and kept connections
// that were closed without an answer at any time. Each was at an instance, or failed
// without a reason. The lock is held.
func (w *world) lostRequests() []string {
	runs := make(map[string][]standin.Run)
	// excused holds the IDs of requests whose instance failed or had a faulty path.
	excused := make(map[string]bool)
	for _, u := range w.allInstances {
		for _, run := range u.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			excused[run.ID] = excused[run.ID] || run.BrokenOff || u.wasPathFaulty
		}
	}
	var out, closed []string
	for _, r := range w.requests {
		endedAt := r.sentAt.Add(r.took)
		isFailed := r.cutOff || r.isOwnFailure
		if r.vm >= len(w.vms) || !isFailed || excused[r.id] || r.took > r.timeout-deadlineMargin {
			continue
		}
		v := w.vms[r.vm]
		if slices.ContainsFunc(v.faults, func(p period) bool { return p.overlaps(r.sentAt.Add(-settleTime), endedAt) }) {
			continue
		}
		isBegun, isAtWork, lastEnd := false, false, time.Time{}
		for _, run := range runs[r.id] {
			isBegun = isBegun || run.At.Before(endedAt)
			isAtWork = isAtWork || (run.At.Before(endedAt) && (run.EndedAt.IsZero() || run.EndedAt.After(endedAt)))
			if run.EndedAt.After(lastEnd) {
				lastEnd = run.EndedAt
			}
		}
		stop := slices.IndexFunc(v.stops, func(p period) bool { return p.overlaps(r.sentAt, endedAt) })
		what := ""
		switch {
		case r.cutOff && isBegun:
			what = "was cut off though an instance had begun to work on it"
		case r.isOwnFailure && isAtWork && stop >= 0:
			what = "was given up while an instance worked on it"
		case r.status == http.StatusServiceUnavailable && !isBegun:
			// The refusal says that the request has not run, and that is true. A stopping VM
			// refuses what may outlast it.
			continue
		case r.isOwnFailure && r.isKept && stop >= 0 && (isBegun || !r.isBehind) && (w.unplannedAt.IsZero() || endedAt.Before(w.unplannedAt)):
			what = "failed without a fault near"
		default:
			continue
		}
		text := fmt.Sprintf("request %s, sent at %s, %s after %s: %s", r.id, r.sentAt.Format("15:04:05.000"), what, r.took, r.failure)
		if stop < 0 {
			if r.isKept {
				closed = append(closed, text)
			}
			continue
		}
		began := v.stops[stop].from
		if lastEnd.Sub(began) > time.Duration((1-lateShare)*float64(w.size.grace)) && r.sentAt.Sub(began) <= maxSentAfterStop {
			continue
		}
		out = append(out, fmt.Sprintf("lost: VM %d, SIGTERM at %s, %s", r.vm, began.Format("15:04:05.000"), text))
	}
	if len(closed) > maxClosed {
		for _, text := range closed {
			out = append(out, "closed: "+text)
		}
	}
	return out
}

// addLostRequest records a request that lasted 200 ms, its run, which lasted 100 ms longer
// unless it says otherwise, and a planned stop of its VM that began the given time after
// the request, for tests of the checks.
func (w *world) addLostRequest(t *testing.T, r *request, stopAfter time.Duration, run *standin.Run) {
	t.Helper()
	r.sentAt, r.took = w.started, 200*time.Millisecond
	if r.id == "" {
		r.id = "x"
	}
	if r.timeout == 0 {
		r.timeout = w.size.timeout
	}
	if run.ID == "" {
		run.ID = r.id
	}
	run.At = w.started.Add(time.Millisecond)
	if run.EndedAt.IsZero() {
		run.EndedAt = w.started.Add(300 * time.Millisecond)
	}
	began := w.started.Add(stopAfter)
	w.vms = []*vm{{stops: []period{{began, began.Add(w.size.grace + stopMargin)}}}}
	w.record(r)
	w.addRuns(t, "i", *run)
}

// A check that reports what the platform allows would blame VMs for the failures of
// instances, for deadlines and for work that outlasts the grace.
func TestAllowedLossesAreNotReported(t *testing.T) {
	for name, allow := range map[string]func(w *world){
		"instance broke off": func(w *world) {
			w.addLostRequest(t, &request{cutOff: true}, -time.Second, &standin.Run{BrokenOff: true})
		},
		"deadline": func(w *world) {
			w.addLostRequest(t, &request{isOwnFailure: true, timeout: 300 * time.Millisecond}, -time.Second, &standin.Run{})
		},
		"instance still at work at the end of the grace": func(w *world) {
			w.addLostRequest(t, &request{cutOff: true}, -time.Second, &standin.Run{EndedAt: w.started.Add(2 * time.Second)})
		},
		"request behind another one was not passed on": func(w *world) {
			w.addLostRequest(t, &request{cutOff: true, isKept: true, isBehind: true}, -time.Second, &standin.Run{ID: "other"})
		},
		"request that has not run was refused": func(w *world) {
			w.addLostRequest(t, &request{isOwnFailure: true, isKept: true, status: http.StatusServiceUnavailable}, -time.Second, &standin.Run{ID: "other"})
		},
		"unplanned fault near": func(w *world) {
			w.addLostRequest(t, &request{cutOff: true}, -time.Second, &standin.Run{})
			w.vms[0].faults = []period{{w.started.Add(-2 * time.Second), w.started.Add(-2 * time.Second)}}
		},
		"few kept connections closed": func(w *world) {
			for n := range maxClosed {
				w.addLostRequest(t, &request{id: fmt.Sprint("x", n), cutOff: true, isKept: true}, -time.Minute, &standin.Run{})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := emptyWorld(1)
			allow(w)
			if reported := w.lostRequests(); len(reported) > 0 {
				t.Errorf("reported: %q", reported)
			}
		})
	}
}

// Planned stops of busy VMs must lose no request, alone, with slow links of the VM, and
// under each other fault. The seed chooses which: of three seeds one has the stops alone,
// one slow links, and one another kind.
func TestPlannedStops(t *testing.T) {
	daemon := buildDaemon(t)
	duration := time.Duration(envUint(t, "CURRANTFERRY_SOAK_SECONDS", plannedStopsSeconds)) * time.Second
	first := envUint(t, "CURRANTFERRY_SEED", defaultSeed)
	for n := range envUint(t, "CURRANTFERRY_ROUNDS", defaultRounds) {
		seed := first + n
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, []string{daemon}, seed, plannedStopsSize)
			kinds := []faultKind{stopBusyVM}
			switch seed % 3 {
			case 2:
				kinds = append(kinds, slowLinks)
			case 0:
				kinds = append(kinds, faultKind(seed/3%uint64(numFaultKinds)))
			}
			w.run(duration, kinds)
			w.check()
			w.logStops(kinds)
		})
	}
}

// logStops logs the faults and how many requests of kept connections were open during stops.
func (w *world) logStops(kinds []faultKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	numStops, numOpen := 0, 0
	for _, v := range w.vms {
		numStops += len(v.stops)
	}
	for _, r := range w.requests {
		if r.isKept && slices.ContainsFunc(w.vms[r.vm].stops, func(p period) bool { return p.overlaps(r.sentAt, r.sentAt.Add(r.took)) }) {
			numOpen++
		}
	}
	w.t.Logf("kinds %v: %d stops, %d requests of kept connections open during them", kinds, numStops, numOpen)
}
