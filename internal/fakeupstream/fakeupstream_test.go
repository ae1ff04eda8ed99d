package fakeupstream

import (
	"math/rand/v2"
	"testing"
	"time"
)

type randomPolicy struct {
	rng          *rand.Rand
	numInstances int
	open         *int
}

func newRandom(cfg Config, open *int) func(int) Policy {
	return func(e int) Policy {
		return &randomPolicy{rng: rand.New(rand.NewPCG(1, uint64(e))), numInstances: cfg.Instances, open: open}
	}
}

func (p *randomPolicy) Pick(_ time.Time, r *Request) []Start {
	*p.open++
	return []Start{{r, p.rng.IntN(p.numInstances)}}
}

func (p *randomPolicy) Done(time.Time, int, *Request, Result) []Start {
	*p.open--
	return nil
}
func (*randomPolicy) Tick(time.Time) []Start               { return nil }
func (*randomPolicy) Report(time.Time, int, Load)          {}
func (*randomPolicy) Instances(time.Time, []InstanceState) {}

// The simulation must not lose requests or end them twice, and the same seed must give the
// same run, while an instance crashes, one refuses work and some are slow.
func TestConservation(t *testing.T) {
	cfg, ok := Deployment("rolregister", "proefbank")
	if !ok {
		t.Fatal("unknown deployment")
	}
	cfg.Load, cfg.SlowPercent, cfg.LongPercent, cfg.Length = 0.7, 10, 5, 2*time.Second
	cfg.Timeout, cfg.Seed = 3*time.Second, 1
	open := 0
	run := func() *Stats {
		g := New(cfg, newRandom(cfg, &open))
		g.At(6*time.Second, func() { g.Crash(3); g.RefuseFor(4, time.Second) })
		return g.Run()
	}
	s := run()
	ended := len(s.Latency[Short]) + len(s.Latency[Long]) + s.Refused + s.Failed + s.Missed
	if open != 0 || ended != s.Requests || s.Refused == 0 || s.Failed == 0 {
		t.Fatalf("%d attempts open; %d of %d requests ended", open, ended, s.Requests)
	}
	if r := run(); r.Percentile(Short, 0.99) != s.Percentile(Short, 0.99) || r.Requests != s.Requests {
		t.Fatal("the same seed gave a different run")
	}
}

// A wrong arrival rate would make all measurements wrong: the mean number of running
// requests must match the offered load.
func TestLoad(t *testing.T) {
	cfg, _ := Deployment("abtropf", "kundenportal")
	cfg.Load, cfg.LongPercent, cfg.Length, cfg.Seed = 0.5, 5, 20*time.Second, 2
	open, sum, n := 0, 0, 0
	g := New(cfg, newRandom(cfg, &open))
	for at := 5 * time.Second; at < 25*time.Second; at += 50 * time.Millisecond {
		g.At(at, func() {
			for i := range cfg.Instances {
				running, _ := g.InFlight(i)
				sum += running
				n += cfg.Slots
			}
		})
	}
	g.Run()
	if load := float64(sum) / float64(n); load < 0.46 || load > 0.54 {
		t.Fatalf("running load %.3f, want 0.5", load)
	}
}
