package plan

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/rules"
)

// computePlans computes a plan every 5 s for the duration d. It returns the last plan
// and the moves of all plans.
func computePlans(t *testing.T, in Input, d time.Duration, demand func(time.Duration) []float64) (*Plan, []Move) {
	t.Helper()
	var all []Move
	begin := in.Now
	for at := time.Duration(0); at <= d; at += 5 * time.Second {
		next := testInput(begin.Add(at), demand(at)...)
		next.Previous = in.Previous
		if in.Rules != nil {
			next.Rules = in.Rules
		}
		p, moves := mustCompute(t, next)
		in.Previous = p
		all = append(all, moves...)
	}
	return in.Previous, all
}

func constant(d ...float64) func(time.Duration) []float64 {
	return func(time.Duration) []float64 { return d }
}

// TestOverflow guards against overflow that stays in an overloaded region, exceeds the
// caps or uses the headroom of another region.
func TestOverflow(t *testing.T) {
	failOnViolation(t, "")
	p, moves := computePlans(t, Input{Now: start}, 95*time.Second, constant(120, 40, 40))
	if got := remoteShare(p.Services[0].Rows[0].Share, 0); math.Abs(got-0.1) > epsilon {
		t.Errorf("%.3f of the work left in the first %v, want all that the cap allows", got, ShiftWindow)
	}
	if len(moves) != 2 || !strings.Contains(moves[0].Text, "waits for the cap") || moves[0].To != "b" {
		t.Errorf("moves %+v", moves)
	}
	p, _ = computePlans(t, Input{Now: start}, 20*time.Minute, constant(120, 70, 60))
	s := &p.Services[0]
	for _, r := range []int{1, 2} {
		if in := s.Rows[0].Demand * s.Rows[0].Share[r]; in > 90-s.Rows[r].Demand+epsilon {
			t.Errorf("region %d gets %.1f slots of others", r, in)
		}
	}
	if left := s.Rows[0].Demand * remoteShare(s.Rows[0].Share, 0); left < 28 {
		t.Errorf("only %.1f slots left an overloaded region", left)
	}
}

// TestNoOscillation guards against work that moves back and forth when the load varies
// around the threshold or measurements are late.
func TestNoOscillation(t *testing.T) {
	_, moves := computePlans(t, Input{Now: start}, 30*time.Minute, func(at time.Duration) []float64 {
		return []float64{90 + 6*math.Sin(at.Seconds()/10), 40, 40}
	})
	if len(moves) > 4 {
		t.Errorf("%d moves for a load that varies around the threshold: %v", len(moves), moves)
	}
}

// TestStale guards against shifts that are based on old or invalid measurements.
func TestStale(t *testing.T) {
	in := testInput(start, 150, 40, 40)
	in.Now = start.Add(MaxMeasurementAge)
	if _, moves := mustCompute(t, in); len(moves) > 0 {
		t.Errorf("moves %v without a fresh measurement", moves)
	}
	in = testInput(start, 150, 40, 40)
	in.Demand[0].Slots = math.NaN()
	if p, moves := mustCompute(t, in); len(moves) > 0 || p.Services[0].Rows[0].Demand != 0 {
		t.Errorf("moves %v for a measurement that is not a number", moves)
	}
}

// TestPlannedDrain guards against a region that still has work when its planned drain
// starts, and against moving that work faster than the cap allows.
func TestPlannedDrain(t *testing.T) {
	failOnViolation(t, "")
	r := &rules.Rules{Drains: []rules.Drain{{ID: "d", Kind: rules.TargetRegion, Target: "a", Start: start.Add(18 * time.Minute)}}}
	p, moves := computePlans(t, Input{Now: start, Rules: r}, 18*time.Minute-time.Second, constant(30, 40, 40))
	if left := p.Services[0].Rows[0].Share[0]; left > 0.05 {
		t.Errorf("%.2f of the work is still in a region whose drain starts: %v", left, moves)
	}
	if len(moves) == 0 || !strings.Contains(moves[0].Text, "a drain of a is planned") {
		t.Errorf("moves %+v", moves)
	}
}

// TestLosses guards against failover allowances that exceed the operator's cap or the
// room in the other regions.
func TestLosses(t *testing.T) {
	for _, c := range []struct{ load, failover, admit float64 }{
		{60, 0, 1}, {90, 0, 0}, {60, 17, 0.51}, {75, 0, 0.4},
	} {
		in := testInput(start, c.load, c.load, c.load)
		in.Rules = &rules.Rules{Caps: []rules.Cap{{Service: "*", FailoverPercent: c.failover}}}
		p, _ := mustCompute(t, in)
		if got := p.Services[0].Losses[0].Admit[0]; math.Abs(got-c.admit) > 0.01 {
			t.Errorf("load %g, allowance %g %%: %.3f admitted at the loss of a region, want %g", c.load, c.failover, got, c.admit)
		}
	}
	in := testInput(start, 60, 60, 60)
	in.Rules = &rules.Rules{Caps: []rules.Cap{{Service: "*", FailoverPercent: 10}}}
	p, _ := mustCompute(t, in)
	if got := p.Services[0].Losses[0].Admit[1]; math.Abs(got-69.0/90) > 0.01 {
		t.Errorf("%.3f of the work admitted that arrives after the loss of another region", got)
	}
}

// TestShareMoves guards against a share that two VMs hold: a share is reassigned only
// when its holder has confirmed a plan without it, is gone or has restarted.
func TestShareMoves(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(in *Input)
		granted bool
	}{
		{"unreachable", func(in *Input) { in.VMs = in.VMs[1:] }, false},
		{"gone", func(in *Input) { in.VMs, in.Gone = in.VMs[1:], []Ref{{"vm-a0", 1}} }, true},
		{"listed as gone but reachable", func(in *Input) { in.Gone = []Ref{{"vm-a0", 1}} }, false},
		{"restarted", func(in *Input) { in.VMs[0].Incarnation = 2 }, true},
	} {
		in := testInput(start, 40, 40, 40)
		in.Previous, _ = mustCompute(t, in)
		old := in.Previous.Share("vm-a0", 1).Slots[0][1]
		in.Now = in.Now.Add(5 * time.Second)
		c.change(&in)
		p, _ := mustCompute(t, in)
		if freed := p.Share("vm-a0", 1) == nil; old == 0 || freed != c.granted {
			t.Errorf("%s: share of %d reassigned: %v", c.name, old, freed)
		}
	}
}

// When a VM joins, the shares of others are reduced in its favour. A reduced amount must
// stay reserved for its holder until the holder has confirmed the reduction.
func TestConfirmation(t *testing.T) {
	failOnViolation(t, "")
	in := testInput(start, 40, 40, 40)
	in.Previous, _ = mustCompute(t, in)
	before := in.Previous.Share("vm-a0", 1).Slots[0][1]
	join := VM{ID: "vm-a2", Incarnation: 1, Region: "a", DataCentre: "a1"}
	in.VMs = append(in.VMs, join)
	in.Previous, _ = mustCompute(t, in)
	joined := in.Previous.Share("vm-a2", 1).Slots[0][1]
	v := in.Previous.Share("vm-a0", 1)
	if joined == 0 || v.Held == nil || v.Held.Slots[0][1] != before || v.Slots[0][1] >= before {
		t.Fatalf("the joining VM got %d, the share of the other is %+v", joined, v)
	}
	in.Previous = reencode(t, in.Previous)
	if in.Previous, _ = mustCompute(t, in); in.Previous.Share("vm-a0", 1).Held == nil {
		t.Error("the reduction is treated as confirmed although it was not")
	}
	for i := range in.VMs {
		in.VMs[i].Confirmed = in.Previous.Version
	}
	if in.Previous, _ = mustCompute(t, in); in.Previous.Share("vm-a0", 1).Held != nil {
		t.Error("the confirmed reduction is still held")
	}
}

// TestRegisterChange guards against shares that are read at the wrong index after a
// region or service was added or removed.
func TestRegisterChange(t *testing.T) {
	failOnViolation(t, "")
	in := testInput(start, 120, 40, 40)
	in.Previous, _ = mustCompute(t, in)
	reg := testRegister(10)
	reg.Regions = reg.Regions[1:]
	reg.Links = reg.Links[2:]
	reg.Services[0].Instances = reg.Services[0].Instances[10:]
	reg.Services = append(testRegister(0).Services, reg.Services...)
	reg.Services[0].Name = "new"
	in.Register, in.Now = reg, in.Now.Add(5*time.Second)
	p, _ := mustCompute(t, in)
	if p.Services[1].Rows[0].Share[0] != 1 || p.Share("vm-a0", 1) != nil || p.Share("vm-b0", 1).Slots[1][1] == 0 {
		t.Errorf("plan %+v", p)
	}
}

// TestPlannerInvariantsTrip guards against invariant checks that miss a violation.
func TestPlannerInvariantsTrip(t *testing.T) {
	in := testInput(start, 120, 40, 40)
	for name, corrupt := range map[invariant.Name]func(p *Plan){
		invariant.ShiftUnderCap: func(p *Plan) { p.Services[0].Rows[0].Shifts[0].Amount = 0.2 },
		invariant.RegionNotOver: func(p *Plan) { p.Services[0].Limit[1] = 51 },
		invariant.SharesWithin:  func(p *Plan) { p.VMs[0].Out[1] += p.Links[0][1] },
	} {
		c, err := newComputation(&in)
		if err != nil {
			t.Fatal(err)
		}
		p, _ := mustCompute(t, in)
		for i := range c.plan.Services {
			c.state[&p.Services[i]] = c.state[&c.plan.Services[i]]
		}
		c.plan = p
		if violates(name, c.checkInvariants) {
			t.Errorf("%s is violated by a valid plan", name)
		}
		corrupt(p)
		if !violates(name, c.checkInvariants) {
			t.Errorf("%s is not violated by a corrupted plan", name)
		}
	}
}
