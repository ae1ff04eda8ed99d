package availability

import (
	"fmt"
	"testing"
	"time"
)

func atSecond(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

// A leaving process must not be used again because of an older record, and the next
// process must be used.
func TestLeavingEndsWithTheProcess(t *testing.T) {
	tr := NewTracker()
	old := Process{ID: "i", Address: "10.0.0.1:80", StartMillis: 1}
	if !tr.RecordLeaving(atSecond(0), atSecond(0), old, "") || tr.RecordLeaving(atSecond(1), atSecond(1), old, "vm-2") {
		t.Error("only the first notice must be reported as new")
	}
	if s := tr.Of(old); !s.IsLeaving() || s.LeavingSince != atSecond(0) || s.ReportedBy != "" {
		t.Errorf("%+v", s)
	}
	for _, other := range []Process{{"i", "10.0.0.1:80", 2}, {"j", "10.0.0.1:80", 1}, {"i", "10.0.0.2:80", 1}} {
		if tr.Of(other).IsLeaving() {
			t.Errorf("%+v leaves", other)
		}
	}
	tr.RecordLeaving(atSecond(2), atSecond(2), Process{"i", "10.0.0.1:80", 2}, "")
	if !tr.Of(old).IsLeaving() {
		t.Error("the old process is no longer leaving")
	}
}

// A shorter wait must not end a longer one, and no wait may last beyond its end.
func TestLongestWaitHolds(t *testing.T) {
	tr := NewTracker()
	p := Process{ID: "i", StartMillis: 1}
	for _, w := range []struct{ at, wait, until float64 }{{0, 6, 6}, {1, 2, 6}, {2, 5.5, 7.5}, {3, 0, 7.5}, {4, -1, 7.5}} {
		tr.RecordWait(atSecond(w.at), p, time.Duration(w.wait*float64(time.Second)))
		if s := tr.Of(p); s.WaitUntil != atSecond(w.until) {
			t.Errorf("at %g: until %s, want %s", w.at, s.WaitUntil, atSecond(w.until))
		}
	}
	s := tr.Of(p)
	if !s.IsWaiting(atSecond(7.4)) || s.IsWaiting(atSecond(7.5)) || s.IsWaiting(atSecond(90)) {
		t.Error("the wait does not end at 7.5")
	}
	if tr.Of(Process{ID: "i", StartMillis: 2}).IsWaiting(atSecond(5)) {
		t.Error("the next process waits")
	}
}

// A process whose notices arrived before its record must not be used when the record
// arrives. Such notices are attributed to the previous process at first. Found by soak
// seed 14026.
func TestNoticesBeforeTheRecordAreKept(t *testing.T) {
	tr := NewTracker()
	process := func(started float64) Process {
		return Process{ID: "i", Address: "10.0.0.1:80", StartMillis: atSecond(started).UnixMilli()}
	}
	// The first process left at 1 s. The process that started at 5 s sends notices at 6 s
	// and 7 s.
	tr.RecordLeaving(atSecond(1), atSecond(1), process(0), "")
	tr.RecordWait(atSecond(6), process(0), 4*time.Second)
	tr.RecordStart(atSecond(8), process(5))
	if s := tr.Of(process(5)); s.IsLeaving() || !s.IsWaiting(atSecond(9)) || s.IsWaiting(atSecond(10)) {
		t.Errorf("%+v", s)
	}
	tr.RecordLeaving(atSecond(12), atSecond(12), process(5), "vm-2")
	tr.RecordStart(atSecond(13), process(11))
	if s := tr.Of(process(11)); !s.IsLeaving() || s.LeavingSince != atSecond(12) || s.IsWaiting(atSecond(9)) {
		t.Errorf("%+v", s)
	}
	tr.RecordStart(atSecond(14), process(13))
	if s := tr.Of(process(13)); s.IsLeaving() {
		t.Errorf("%+v: started after the last notice", s)
	}
	// An older record must not change the state of the known process.
	tr.RecordStart(atSecond(15), process(3))
	if tr.Of(process(3)).IsLeaving() || !tr.Of(process(11)).IsLeaving() {
		t.Error("an older record changes what is known")
	}
}

// A Retry-After must not overflow or take an instance out of service for ever.
func TestUnusableWaits(t *testing.T) {
	for _, bad := range []string{"-1", "NaN", "Inf", "1e300", "1e999", "3600.5", "soon", "Fri, 04 Dec 2026 12:00:00 GMT", "0x", "5 s"} {
		if w := ParseNotice(503, bad, false); w.Wait != 0 || !w.Unusable {
			t.Errorf("%s: %+v", bad, w)
		}
	}
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "0.25": 250 * time.Millisecond, " 5.5 ": 5500 * time.Millisecond, "3600": time.Hour} {
		if w := ParseNotice(503, text, true); w.Wait != want || w.Unusable || !w.Leaving {
			t.Errorf("%s: %+v", text, w)
		}
	}
	for _, status := range []int{200, 429, 500, 504} {
		if w := ParseNotice(status, "5", false); !w.IsEmpty() {
			t.Errorf("%d: %+v", status, w)
		}
	}
}

// Memory must not grow with the number of processes, and many processes must not push
// out states that are still in effect.
func TestTrackerIsBounded(t *testing.T) {
	tr := NewTracker()
	leaving := Process{ID: "leaves"}
	tr.RecordLeaving(atSecond(0), atSecond(0), leaving, "")
	for n := range 3 * maxProcesses {
		tr.RecordWait(atSecond(float64(n)/10), Process{ID: fmt.Sprint(n % 6000), StartMillis: int64(n)}, time.Second)
	}
	if len(tr.states) > maxProcesses {
		t.Errorf("%d states", len(tr.states))
	}
	if !tr.Of(leaving).IsLeaving() {
		t.Error("a process that leaves is forgotten")
	}
}
