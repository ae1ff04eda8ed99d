package policybench

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/internal/fakeupstream"
	"github.com/currantferry/currantferry/invariant"
)

// The invariants of package balance must hold for groups of random sizes and loads with
// random drains, crashes, refusals and slow periods. No request or ticket may be lost,
// draining instances must get no new work, requests that are not idempotent must not be
// sent twice, and every instance and class must get work.
func TestRandomRuns(t *testing.T) {
	seed, rounds := envUint(t, "CURRANTFERRY_SEED", defaultSeed), envUint(t, "CURRANTFERRY_ROUNDS", 10)
	for round := range rounds {
		s := seed + 1000*round
		fail := func(format string, args ...any) {
			t.Helper()
			t.Errorf("seed %d, round %d: "+format, append([]any{seed, round}, args...)...)
			t.Fatalf("run: CURRANTFERRY_SEED=%d CURRANTFERRY_ROUNDS=%d go test ./policybench -run TestRandomRuns", seed, round+1)
		}
		restore := invariant.OnViolation(func(v invariant.Violation) { fail("%s", v) })
		randomRun(s, fail)
		restore()
	}
}

func randomRun(seed uint64, fail func(string, ...any)) {
	rng := rand.New(rand.NewPCG(seed, 3))
	cfg := fakeupstream.Config{
		Seed: seed, Entries: 1 + rng.IntN(14), Instances: 2 + rng.IntN(30), Slots: 1 + rng.IntN(10),
		Connections: 10 + rng.IntN(400), LongPercent: float64(rng.IntN(3)) * 5, LongFactor: 10,
		Load: 0.1 + rng.Float64(), Timeout: time.Duration(1+rng.IntN(4)) * time.Second,
		SlowPercent: float64(rng.IntN(3) * 10), OneWay: time.Millisecond, NoticeDelay: time.Millisecond,
		Warmup: time.Second, Length: 6 * time.Second,
	}
	policies := make([]*currantferry, cfg.Entries)
	// drainReceived holds, by instance, when the entry VMs receive its drain, or zero.
	drainReceived := make([]time.Time, cfg.Instances)
	hedged := make(map[uint64]bool)
	g := fakeupstream.New(cfg, func(e int) fakeupstream.Policy {
		p := newCurrantferry(balance.Config{}, seed, e, cfg.Entries)
		p.onHedge = func(r *fakeupstream.Request) { hedged[r.ID] = true }
		policies[e] = p
		return p
	})
	// A quarter of the instances get a fault, and there are none in the last 2 s.
	for i := range cfg.Instances / 4 {
		at := time.Second + time.Duration(rng.IntN(2000))*time.Millisecond
		d := time.Duration(100+rng.IntN(1500)) * time.Millisecond
		switch rng.IntN(4) {
		case 0:
			g.At(at, func() { g.Drain(i); drainReceived[i] = g.Now().Add(cfg.NoticeDelay) })
			g.At(at+d, func() { g.CancelDrain(i); drainReceived[i] = time.Time{} })
		case 1:
			g.At(at, func() { g.Submit(&fakeupstream.Request{Entry: rng.IntN(cfg.Entries), Crashes: true}) })
		case 2:
			g.At(at, func() { g.RefuseFor(i, d) })
		default:
			g.At(at, func() { g.Slow(i, 20, d) })
		}
	}
	starts := make(map[uint64]int)
	numStarts := make([]int, cfg.Instances)
	g.OnStart = func(now time.Time, r *fakeupstream.Request, i int) {
		if starts[r.ID]++; starts[r.ID] > 1 && !r.Idempotent {
			fail("request %d is not idempotent and was sent %d times", r.ID, starts[r.ID])
		}
		if !drainReceived[i].IsZero() && now.After(drainReceived[i]) {
			fail("instance %d got a request %v after its drain", i, now.Sub(drainReceived[i]))
		}
		numStarts[i]++
	}
	s := g.Run()
	if ended := len(s.Latency[0]) + len(s.Latency[1]) + s.Refused + s.Failed + s.Missed; ended != s.Requests {
		fail("%d of %d requests ended", ended, s.Requests)
	}
	for e, p := range policies {
		if len(p.tickets) > 0 || len(p.waiting) > 0 {
			fail("entry VM %d has %d tickets and %d waiting requests left", e, len(p.tickets), len(p.waiting))
		}
	}
	if s.Requests > 1000 && (len(s.Latency[0]) == 0 || cfg.LongPercent > 0 && len(s.Latency[1]) == 0) {
		fail("no answers for a class: %d short, %d long", len(s.Latency[0]), len(s.Latency[1]))
	}
	if maxHedges := float64(s.Requests)*balance.MaxHedgePercent/100 + 10*float64(cfg.Entries); float64(len(hedged)) > maxHedges {
		fail("%d hedges of %d requests", len(hedged), s.Requests)
	}
	for i, n := range numStarts {
		if n == 0 && s.Requests > 100*cfg.Instances {
			fail("instance %d never got a request", i)
		}
	}
}
