package drain

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func testTracker(drains ...rules.Drain) (*Tracker, *register.Register) {
	reg := &register.Register{
		Regions: []register.Region{{Name: "r", DataCentres: []register.DataCentre{{Name: "dc1"}, {Name: "dc2"}}}},
		Services: []register.Service{{Name: "press", Instances: []register.Instance{
			{ID: "i1", DataCentre: "dc1"}, {ID: "i2", DataCentre: "dc2"},
		}}},
	}
	t := New(Config{})
	t.Set(start, reg, &rules.Rules{Drains: drains})
	return t, reg
}

// A drain must apply to exactly its targets, and start and end on time.
func TestDrainAppliesToItsTargets(t *testing.T) {
	for _, c := range []struct {
		kind           rules.TargetKind
		target         string
		i1, i2, vm, dc float64
	}{
		{rules.TargetInstance, "i1", 0, 1, 1, 1},
		{rules.TargetDataCentre, "dc1", 0, 1, 0, 0},
		{rules.TargetRegion, "r", 0, 0, 0, 0},
		{rules.TargetVM, "vm", 1, 1, 0, 1},
	} {
		d := rules.Drain{ID: "d", Kind: c.kind, Target: c.target, Start: at(time.Minute), End: at(time.Hour)}
		tr, _ := testTracker(d)
		for _, now := range []time.Time{start, at(2 * time.Hour)} {
			if tr.InstanceFraction(now, "i1") != 1 || tr.VMFraction(now, "vm", "dc1") != 1 {
				t.Errorf("%s: drained at %v", c.kind, now)
			}
		}
		now := at(time.Minute)
		if tr.InstanceFraction(now, "i1") != c.i1 || tr.InstanceFraction(now, "i2") != c.i2 ||
			tr.VMFraction(now, "vm", "dc1") != c.vm || tr.DataCentreFraction(now, "dc1") != c.dc {
			t.Errorf("%s: wrong targets", c.kind)
		}
	}
	if tr, _ := testTracker(); tr.InstanceFraction(start, "unknown") != 0 {
		t.Error("an unknown instance gets work")
	}
}

// After the end or the cancellation of its last drain, a target must get its work back
// by ramp, not at once. A drain that never started must cause no ramp.
func TestTargetsReturnByRamp(t *testing.T) {
	d := rules.Drain{ID: "d", Kind: rules.TargetInstance, Target: "i1", End: at(time.Hour)}
	tr, reg := testTracker(d)
	cancelled, _ := testTracker(d)
	cancelled.Set(at(time.Hour), reg, &rules.Rules{})
	for _, tr := range []*Tracker{tr, cancelled} {
		for after, want := range map[time.Duration]float64{0: 0.1, 30 * time.Second: 0.5, 60 * time.Second: 1} {
			if got := tr.InstanceFraction(at(time.Hour+after), "i1"); got != want {
				t.Errorf("%v after the end: %g, want %g", after, got, want)
			}
		}
	}
	both, reg := testTracker(d, rules.Drain{ID: "e", Kind: rules.TargetInstance, Target: "i1"})
	both.Set(at(time.Minute), reg, &rules.Rules{Drains: []rules.Drain{d}})
	if both.InstanceFraction(at(time.Minute), "i1") != 0 {
		t.Error("cancelling one of two drains returned the target")
	}
	planned, reg := testTracker(rules.Drain{ID: "d", Kind: rules.TargetInstance, Target: "i1", Start: at(time.Hour)})
	planned.Set(at(time.Minute), reg, &rules.Rules{})
	if planned.InstanceFraction(at(time.Minute), "i1") != 1 {
		t.Error("a drain that never started causes a ramp")
	}
}

// A drain must not be reported as drained with work in flight, and must be reported as
// stuck if the work does not decrease.
func TestProgress(t *testing.T) {
	tr, _ := testTracker(rules.Drain{ID: "d", Kind: rules.TargetDataCentre, Target: "dc1"})
	if p := tr.Progress(start); len(p) != 1 || p[0].Known {
		t.Fatalf("%+v", p)
	}
	for _, c := range []struct {
		at      time.Duration
		count   int
		stuck   bool
		drained bool
	}{
		{0, 5, false, false},
		{30 * time.Second, 4, false, false},
		{80 * time.Second, 4, false, false},
		{90 * time.Second, 6, true, false},
		{100 * time.Second, 0, false, true},
	} {
		tr.Observe(at(c.at), "d", c.count)
		p := tr.Progress(at(c.at))[0]
		if p.InFlight != c.count || p.Stuck != c.stuck || p.Drained.IsZero() == c.drained {
			t.Errorf("at %v: %+v", c.at, p)
		}
	}
	if got := tr.Covered("d"); len(got) != 1 || got[0] != "i1" {
		t.Errorf("covered %v", got)
	}
}

// The check of new work after a drain must be able to fail, but not before this VM
// installed the drain.
func TestNoNewAfterDrainTrips(t *testing.T) {
	violations := 0
	defer invariant.OnViolation(func(invariant.Violation) { violations++ })()
	tr, _ := testTracker(rules.Drain{ID: "d", Kind: rules.TargetDataCentre, Target: "dc1", Start: start})
	if !tr.CheckNewWork(at(2*time.Second), start, "i1") || !tr.CheckNewWork(at(time.Minute), start, "i2") ||
		!tr.CheckNewWork(at(time.Minute), at(59*time.Second), "i1") || violations != 0 {
		t.Error("the check fails on allowed work")
	}
	if tr.CheckNewWork(at(3*time.Second), start, "i1") || violations != 1 {
		t.Error("the check holds on new work at a drained instance")
	}
}

// A snapshot must not change when a new configuration sets other drains. Otherwise a
// planner that reads it meanwhile would base parts of one plan on different drains.
func TestSnapshotDoesNotChange(t *testing.T) {
	d := rules.Drain{ID: "d", Kind: rules.TargetInstance, Target: "i1", Start: start}
	tr, reg := testTracker(d)
	before := tr.Snapshot()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			if before.InstanceFraction(at(time.Minute), "i1") != 0 || before.InstanceFraction(at(time.Minute), "i2") != 1 {
				t.Error("the snapshot has changed")
				return
			}
		}
	}()
	for n := range 100 {
		other := rules.Drain{ID: "e", Kind: rules.TargetInstance, Target: []string{"i1", "i2"}[n%2], Start: start}
		tr.Set(at(time.Minute), reg, &rules.Rules{Drains: []rules.Drain{other}})
	}
	<-done
	if tr.InstanceFraction(at(time.Minute), "i2") != 0 {
		t.Error("the tracker itself did not change")
	}
}
