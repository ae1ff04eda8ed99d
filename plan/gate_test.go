package plan

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

func testGate(t *testing.T, in Input) *Gate {
	t.Helper()
	p, _ := mustCompute(t, in)
	g := NewGate(GateConfig{VM: "vm-a0", Incarnation: 1, Region: "a"})
	if err := g.SetPlan(in.Now, p); err != nil {
		t.Fatal(err)
	}
	return g
}

func admitAll(g *Gate, now time.Time, n int) (byRegion map[string]int, refused map[verdict.Reason]int) {
	byRegion, refused = make(map[string]int), make(map[verdict.Reason]int)
	for range n {
		if r, err := g.Admit(now, Request{Service: "press", Bytes: 100}); err == nil {
			byRegion[r.Region()]++
		} else if err.Verdict == verdict.NotRun && err.RetryAfter > 0 {
			refused[err.Reason]++
		}
	}
	return byRegion, refused
}

// TestVMWithoutShare guards against a VM that sends work to other regions without
// having a share of their limits.
func TestVMWithoutShare(t *testing.T) {
	g := NewGate(GateConfig{VM: "vm-x", Incarnation: 1, Region: "a"})
	if got, _ := admitAll(g, start, 10); got["a"] != 10 {
		t.Errorf("regions %v without a plan", got)
	}
	p, _ := mustCompute(t, testInput(start, 150, 40, 40))
	if err := g.SetPlan(start, p); err != nil {
		t.Fatal(err)
	}
	g.Observe(start, "b", RegionUnreachable)
	if got, _ := admitAll(g, start, 10); got["a"] != 10 {
		t.Errorf("regions %v for a VM without a share in the plan", got)
	}
	if err := g.SetPlan(start, g.plan); err == nil {
		t.Error("the same plan was installed twice")
	}
}

// TestLocalLoss guards against a VM that, after the loss of its own region's instances,
// waits for a new plan, exceeds its shares in other regions, or returns all work at once
// when the region recovers.
func TestLocalLoss(t *testing.T) {
	failOnViolation(t, "")
	in := testInput(start, 60, 60, 60)
	g := testGate(t, in)
	now := start.Add(time.Second)
	g.Observe(now, "a", RegionNoUpstreams)
	got, refused := admitAll(g, now, 100)
	share := g.share.Slots[0]
	if got["a"] > 0 || got["b"] != int(share[1]) || got["c"] != int(share[2]) || refused[verdict.ReasonRegionLimit] == 0 {
		t.Errorf("regions %v, refused %v, shares %v", got, refused, share)
	}
	g.Observe(now, "b", RegionUnreachable)
	if got, _ := admitAll(g, now, 10); got["b"] > 0 {
		t.Error("work for a region that does not answer")
	}
	g.Observe(now, "a", RegionUp)
	if home := g.services["press"].effective[0]; home > 0.05+epsilon {
		t.Errorf("%.2f of the work returned at once", home)
	}
}

// TestRemoteLoss guards against a VM that admits more than its part of its own region
// while the callers of a lost region arrive.
func TestRemoteLoss(t *testing.T) {
	g := testGate(t, testInput(start, 60, 60, 60))
	g.Observe(start, "c", RegionUnreachable)
	got, refused := admitAll(g, start, 100)
	if got["a"] != 50 || len(got) != 1 || refused[verdict.ReasonRegionLimit] != 50 {
		t.Errorf("regions %v, refused %v; the VM has 50 of 100 slots", got, refused)
	}
}

// TestSpareNeedsSustainedWork guards against a VM that exceeds its part of its own
// region for work that arrives suddenly, and against one that refuses the sustained
// work of more than an even share of the callers.
func TestSpareNeedsSustainedWork(t *testing.T) {
	g := testGate(t, testInput(start, 60, 60, 60))
	if got, _ := admitAll(g, start, 100); got["a"] != 50 {
		t.Errorf("%d requests at once; the VM has 50 of 100 slots", got["a"])
	}
	if got, _ := admitAll(g, start.Add(4*time.Second), 100); got["a"] != 0 {
		t.Errorf("%d requests beyond the VM's part after 4 s", got["a"])
	}
	late := start.Add(4 * meanWorkWindow)
	if got, _ := admitAll(g, late, 100); got["a"] != 8 {
		t.Errorf("%d requests beyond the VM's part after sustained work, want 8", got["a"])
	}
}

// TestHedge guards against hedges that exceed the VM's part of its region.
func TestHedge(t *testing.T) {
	g := testGate(t, testInput(start, 60, 60, 60))
	g.Observe(start, "c", RegionUnreachable)
	r, _ := g.Admit(start, Request{Service: "press"})
	admitAll(g, start, 48)
	h, ok := g.Hedge(start, &r)
	if _, again := g.Hedge(start, &r); !ok || again || !g.IsFull("press") {
		t.Errorf("first hedge %v, second %v with one slot left", ok, again)
	}
	g.Release(start, &h, 0)
	if g.IsFull("press") || g.services["press"].inFlight[0] != 49 {
		t.Error("the reservation of the hedge was not released")
	}
}

// TestConfirmedWaits guards against a share that is reassigned while requests still use
// it, because the VM confirmed the reduction too early.
func TestConfirmedWaits(t *testing.T) {
	in := testInput(start, 60, 60, 60)
	g := testGate(t, in)
	g.Observe(start, "a", RegionNoUpstreams)
	r, err := g.Admit(start, Request{Service: "press"})
	if err != nil || g.Confirmed() != 1 {
		t.Fatal(err, g.Confirmed())
	}
	in = testInput(start.Add(5*time.Second), 60, 95, 95)
	in.Previous = g.plan
	p, _ := mustCompute(t, in)
	if err := g.SetPlan(in.Now, p); err != nil {
		t.Fatal(err)
	}
	if g.Confirmed() != 1 {
		t.Error("confirmed a reduction that a request in flight exceeds")
	}
	g.Release(in.Now, &r, 0)
	if g.Confirmed() != 2 {
		t.Error("not confirmed after the request ended")
	}
}

// TestLinkShare guards against a VM that exceeds its share of a link, and against a
// service of low priority that uses the part reserved for higher priorities.
func TestLinkShare(t *testing.T) {
	failOnViolation(t, "")
	in := testInput(start, 60, 60, 60)
	low := in.Register.Services[0]
	low.Name, low.Priority, low.Instances = "low", 0, nil
	in.Register.Services = append(in.Register.Services, low)
	in.Capacity = append(in.Capacity, Capacity{Service: "low"})
	g := testGate(t, in)
	g.Observe(start, "a", RegionNoUpstreams)
	s := g.services["low"]
	s.limits[1], s.row[1], s.admitFraction = 100, 1, 1 // as if it had instances in b
	sent := int64(0)
	const bytes = 1 << 20
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		r, err := g.Admit(start.Add(at), Request{Service: "low", Bytes: bytes})
		if err == nil {
			sent += bytes
			g.Release(start.Add(at), &r, 1)
		}
	}
	rate := g.links[1].out.rate
	if mean := float64(sent) / 10; mean > rate+bytes || mean < 0.9*rate {
		t.Errorf("%.0f bytes/s on a share of %.0f", mean, rate)
	}
	if level := g.links[1].out.level; level < 0.5*rate-bytes {
		t.Errorf("low priority left %.0f of %.0f bytes", level, rate)
	}
}

// TestAdmitAllocations guards against allocations per request.
func TestAdmitAllocations(t *testing.T) {
	g := testGate(t, testInput(start, 60, 60, 60))
	g.Observe(start, "a", RegionNoUpstreams)
	req := Request{Service: "press", Bytes: 100}
	if n := testing.AllocsPerRun(1000, func() {
		if r, err := g.Admit(start, req); err == nil {
			g.Next(start, &r)
			g.Release(start, &r, 10)
		}
	}); n != 0 {
		t.Errorf("%g allocations for each request", n)
	}
}

// TestGateInvariantsTrip guards against invariant checks that miss a violation.
func TestGateInvariantsTrip(t *testing.T) {
	g := testGate(t, testInput(start, 120, 40, 40))
	s := g.services["press"]
	for name, c := range map[invariant.Name]struct{ check, corrupt func() }{
		invariant.ShiftUnderCap: {
			func() { g.checkShifts(s, &g.plan.Services[0]) },
			func() { s.shifts = append(s.shifts, Shift{At: start, Amount: 0.2}) },
		},
		invariant.RegionNotOver: {func() { g.checkReserved(s, 1) }, func() { s.inFlight[1] = s.limits[1] + 1 }},
		invariant.LinkNotOver:   {func() { g.checkReserved(s, 1) }, func() { g.links[1].out.level = -1e9 }},
	} {
		if violates(name, c.check) {
			t.Errorf("%s is violated by a valid gate", name)
		}
		c.corrupt()
		if !violates(name, c.check) {
			t.Errorf("%s is not violated by a corrupted gate", name)
		}
	}
}
