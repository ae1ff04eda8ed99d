package availability

import (
	"strings"
	"testing"
)

// A limit that is no single decimal number must limit nothing, and a usable one must be read
// as it is.
func TestLimitValues(t *testing.T) {
	for _, bad := range [][]string{{"1e300"}, {"NaN"}, {"Inf"}, {"-3"}, {""}, {"2", "3"}, {"2 3"}, {"0x1p4"}, {"1000001"}, {strings.Repeat("1", 10<<10)}, {"."}} {
		if _, named, unusable := ParseLimit(bad); named || !unusable {
			t.Errorf("%.20q: named %v, unusable %v", bad, named, unusable)
		}
	}
	for text, want := range map[string]float64{"0": 0, "2.3": 2.3, " 7.50 ": 7.5, ".4": 0.4, "1000000": 1e6} {
		if got, named, unusable := ParseLimit([]string{text}); got != want || !named || unusable {
			t.Errorf("%q: %g, %v, %v", text, got, named, unusable)
		}
	}
	if _, named, unusable := ParseLimit(nil); named || unusable {
		t.Error("no header is taken for a limit")
	}
}

// Answers and reports of other VMs that arrive out of order must not undo newer ones.
func TestOlderLimitsUndoNothing(t *testing.T) {
	process := Process{ID: "i", Address: "10.0.0.1:80", StartMillis: 1}
	type step struct {
		requested, received float64
		named               bool
		limit               float64
		from                string
		changed             bool
	}
	for name, c := range map[string]struct {
		steps   []step
		inForce bool
		limit   float64
	}{
		"no limit before the first": {[]step{{0, 1, false, 0, "", false}}, false, 0},
		"lower at once":             {[]step{{0, 1, true, 8, "", true}, {0.5, 1.1, true, 2, "", true}}, true, 2},
		"late answer without limit": {[]step{{0, 1, true, 2, "", true}, {0.5, 1.5, false, 0, "", false}}, true, 2},
		"late answer with a higher": {[]step{{0, 1, true, 2, "", true}, {0.5, 1.5, true, 9, "", false}}, true, 2},
		"raised":                    {[]step{{0, 1, true, 2, "", true}, {1.1, 1.5, true, 9, "", true}}, true, 9},
		"ended":                     {[]step{{0, 1, true, 2, "", true}, {1.1, 1.5, false, 0, "", true}}, false, 0},
		"named again":               {[]step{{0, 1, true, 2, "", true}, {1.1, 1.5, false, 0, "", true}, {1.6, 2, true, 2, "", true}}, true, 2},
		"old report of another VM":  {[]step{{0, 1, true, 2, "", true}, {1.1, 1.5, false, 0, "vm-2", false}}, true, 2},
		"report of another VM":      {[]step{{0, 1, true, 2, "", true}, {2.1, 2.5, false, 0, "vm-2", true}}, false, 0},
		"older lower report":        {[]step{{0, 1, true, 5, "", true}, {0, 0.5, true, 2, "vm-2", false}}, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for k, s := range c.steps {
				l := Limit{InForce: s.named, PerSecond: s.limit, RequestedAt: atSecond(s.requested), ReceivedAt: atSecond(s.received), ReportedBy: s.from}
				if changed := tr.RecordLimit(atSecond(s.received), process, l); changed != s.changed {
					t.Errorf("step %d: changed %v", k, changed)
				}
			}
			s := tr.Of(process)
			if s.IsLimited() != c.inForce || (c.inForce && s.Limit.PerSecond != c.limit) {
				t.Errorf("%+v", s)
			}
		})
	}
}

// The limit of a process must not apply to the next one, unless it was named after that one
// had started.
func TestLimitEndsWithTheProcess(t *testing.T) {
	tr := NewTracker()
	process := func(started float64) Process {
		return Process{ID: "i", Address: "10.0.0.1:80", StartMillis: atSecond(started).UnixMilli()}
	}
	named := func(at float64) Limit {
		return Limit{InForce: true, PerSecond: 2, RequestedAt: atSecond(at), ReceivedAt: atSecond(at)}
	}
	tr.RecordLimit(atSecond(1), process(0), named(1))
	tr.RecordStart(atSecond(3), process(2))
	if tr.Of(process(2)).IsLimited() {
		t.Error("the next process is limited")
	}
	tr.RecordLimit(atSecond(5), process(2), named(5))
	tr.RecordStart(atSecond(6), process(4))
	if !tr.Of(process(4)).IsLimited() {
		t.Error("a limit that arrived before the record is lost")
	}
}
