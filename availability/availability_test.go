package availability

import (
	"fmt"
	"testing"
	"time"
)

func second(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

// Guards against a process that leaves and is used again by an older record, and
// against its successor not being used.
func TestLeavingEndsWithTheProcess(t *testing.T) {
	tr := NewTracker()
	old := Process{ID: "i", Address: "10.0.0.1:80", Born: 1}
	if !tr.Leaving(second(0), second(0), old, "") || tr.Leaving(second(1), second(1), old, "vm-2") {
		t.Error("only the first word is news")
	}
	if s := tr.Of(old); !s.IsLeaving() || s.LeavingSince != second(0) || s.HeardFrom != "" {
		t.Errorf("%+v", s)
	}
	for _, other := range []Process{{"i", "10.0.0.1:80", 2}, {"j", "10.0.0.1:80", 1}, {"i", "10.0.0.2:80", 1}} {
		if tr.Of(other).IsLeaving() {
			t.Errorf("%+v leaves", other)
		}
	}
	tr.Leaving(second(2), second(2), Process{"i", "10.0.0.1:80", 2}, "")
	if !tr.Of(old).IsLeaving() {
		t.Error("the old process does not leave any more")
	}
}

// Guards against a shorter wish that ends a longer one, and against a wish that holds
// on after a pause in which it ended.
func TestLongestWaitHolds(t *testing.T) {
	tr := NewTracker()
	p := Process{ID: "i", Born: 1}
	for _, w := range []struct{ at, wait, until float64 }{{0, 6, 6}, {1, 2, 6}, {2, 5.5, 7.5}, {3, 0, 7.5}, {4, -1, 7.5}} {
		tr.Wait(second(w.at), p, time.Duration(w.wait*float64(time.Second)))
		if s := tr.Of(p); s.WaitUntil != second(w.until) {
			t.Errorf("at %g: until %s, want %s", w.at, s.WaitUntil, second(w.until))
		}
	}
	s := tr.Of(p)
	if !s.IsWaiting(second(7.4)) || s.IsWaiting(second(7.5)) || s.IsWaiting(second(90)) {
		t.Error("the wait does not end at 7.5")
	}
	if tr.Of(Process{ID: "i", Born: 2}).IsWaiting(second(5)) {
		t.Error("the next process waits")
	}
}

// Guards against a process that is used again once its record comes, since it spoke
// before and its words counted for the process before it. Soak seed 14026.
func TestWordsBeforeTheRecordCount(t *testing.T) {
	tr := NewTracker()
	process := func(started float64) Process {
		return Process{ID: "i", Address: "10.0.0.1:80", Born: second(started).UnixMilli()}
	}
	// The first process left at 1 s; the one that started at 5 s speaks at 6 s and 7 s.
	tr.Leaving(second(1), second(1), process(0), "")
	tr.Wait(second(6), process(0), 4*time.Second)
	tr.Started(second(8), process(5))
	if s := tr.Of(process(5)); s.IsLeaving() || !s.IsWaiting(second(9)) || s.IsWaiting(second(10)) {
		t.Errorf("%+v", s)
	}
	tr.Leaving(second(12), second(12), process(5), "vm-2")
	tr.Started(second(13), process(11))
	if s := tr.Of(process(11)); !s.IsLeaving() || s.LeavingSince != second(12) || s.IsWaiting(second(9)) {
		t.Errorf("%+v", s)
	}
	tr.Started(second(14), process(13))
	if s := tr.Of(process(13)); s.IsLeaving() {
		t.Errorf("%+v: started after the last word", s)
	}
	// An older record says nothing about the process that is known.
	tr.Started(second(15), process(3))
	if tr.Of(process(3)).IsLeaving() || !tr.Of(process(11)).IsLeaving() {
		t.Error("an older record changes what is known")
	}
}

// Guards against times that overflow or that take an instance out for ever.
func TestUnusableWaits(t *testing.T) {
	for _, bad := range []string{"-1", "NaN", "Inf", "1e300", "1e999", "3600.5", "soon", "Fri, 04 Dec 2026 12:00:00 GMT", "0x", "5 s"} {
		if w := WordOf(503, bad, false); w.Wait != 0 || !w.Unusable {
			t.Errorf("%s: %+v", bad, w)
		}
	}
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "0.25": 250 * time.Millisecond, " 5.5 ": 5500 * time.Millisecond, "3600": time.Hour} {
		if w := WordOf(503, text, true); w.Wait != want || w.Unusable || !w.Leaving {
			t.Errorf("%s: %+v", text, w)
		}
	}
	for _, status := range []int{200, 429, 500, 504} {
		if w := WordOf(status, "5", false); !w.IsSilent() {
			t.Errorf("%d: %+v", status, w)
		}
	}
}

// Guards against memory that grows with the processes, and against a crowd of them that
// makes the VM forget what still counts.
func TestTrackerIsBounded(t *testing.T) {
	tr := NewTracker()
	leaving := Process{ID: "leaves"}
	tr.Leaving(second(0), second(0), leaving, "")
	for n := range 3 * processesMost {
		tr.Wait(second(float64(n)/10), Process{ID: fmt.Sprint(n % 6000), Born: int64(n)}, time.Second)
	}
	if len(tr.states) > processesMost {
		t.Errorf("%d states", len(tr.states))
	}
	if !tr.Of(leaving).IsLeaving() {
		t.Error("a process that leaves is forgotten")
	}
}
