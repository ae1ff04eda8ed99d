package policybench

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/internal/fakeupstream"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// drainingVM receives drains in the configuration and applies package drain to its
// instances.
type drainingVM struct {
	*budgetedVM
	tracker       *drain.Tracker
	states        []fakeupstream.InstanceState
	drainReceived time.Time
}

func (p *drainingVM) Instances(now time.Time, s []fakeupstream.InstanceState) {
	p.states = append(p.states[:0], s...)
	p.apply(now)
}

// apply passes the instances with their drains to the balancer. It is called after a change
// of the instances and when drains take effect.
func (p *drainingVM) apply(now time.Time) {
	s := append([]fakeupstream.InstanceState(nil), p.states...)
	for i := range s {
		s[i].Draining = len(p.ids) > i && p.tracker.InstanceFraction(now, p.ids[i]) == 0
	}
	p.budgetedVM.Instances(now, s)
}

// drainConfig is a configuration that drains a quarter of the instances. indexes holds the
// indexes of these instances.
type drainConfig struct {
	reg     *register.Register
	rules   *rules.Rules
	indexes []int
}

func newDrainConfig(cfg fakeupstream.Config, ids []string, at time.Time) drainConfig {
	c := drainConfig{reg: &register.Register{}, rules: &rules.Rules{}}
	svc := register.Service{Name: "service"}
	for i, id := range ids {
		svc.Instances = append(svc.Instances, register.Instance{ID: id, Slots: cfg.Slots})
		if i%4 == 0 {
			c.indexes = append(c.indexes, i)
			c.rules.Drains = append(c.rules.Drains, rules.Drain{ID: "drain-" + id, Kind: rules.TargetInstance, Target: id, Start: at})
		}
	}
	c.reg.Services = []register.Service{svc}
	return c
}

// drainRun is the result of one run of BenchmarkDrain.
type drainRun struct {
	// lastNew and drained are the times from the start of the drain until a drained instance
	// last got a request and until one last finished a request. longest is the longest
	// service time of the requests that ended on a drained instance in this time.
	lastNew, drained, longest time.Duration
	// cutOff counts requests, unfinished the instances that did not become idle.
	cutOff, unfinished int
}

// runDrain drains a quarter of the instances. The drain is planned: every VM has received
// it before it takes effect, and their clocks differ by up to 50 ms. With
// currantferry-at-once, each VM receives it up to a second later. A baseline learns of the
// drain from health endpoints, 5 s later. An instance stops when it has no work.
func runDrain(policy string, cfg fakeupstream.Config) drainRun {
	delays := rand.New(rand.NewPCG(cfg.Seed, 41))
	effect := fakeupstream.Epoch.Add(cfg.Warmup)
	var vms []*drainingVM
	g := fakeupstream.New(cfg, func(e int) fakeupstream.Policy {
		if policy != "currantferry" && policy != "currantferry-at-once" {
			return newNaiveVM(policy, cfg, e)
		}
		vms = append(vms, &drainingVM{budgetedVM: newBudgetedVM(cfg, e), tracker: drain.New(drain.Config{})})
		return vms[e]
	})
	ids := make([]string, cfg.Instances)
	if len(vms) > 0 {
		ids = vms[0].ids
	}
	d := newDrainConfig(cfg, ids, effect)
	drained := make(map[int]bool)
	for _, i := range d.indexes {
		drained[i] = true
	}
	for _, vm := range vms {
		vm.tracker.Set(fakeupstream.Epoch, d.reg, &rules.Rules{})
		maxDelay := time.Second
		if policy == "currantferry" {
			maxDelay = 50 * time.Millisecond
		}
		g.At(cfg.Warmup+time.Duration(delays.Float64()*float64(maxDelay)), func() {
			vm.tracker.Set(g.Now(), d.reg, d.rules)
			vm.drainReceived = g.Now()
			vm.apply(g.Now())
		})
	}
	var run drainRun
	onDrained := make(map[uint64]bool) // requests whose last attempt is on a drained instance
	g.OnStart = func(now time.Time, r *fakeupstream.Request, i int) {
		delete(onDrained, r.ID)
		if drained[i] {
			onDrained[r.ID] = true
			if len(vms) > 0 && !vms[r.Entry].drainReceived.IsZero() {
				vms[r.Entry].tracker.CheckNewWork(now, vms[r.Entry].drainReceived, ids[i])
			}
			if !now.Before(effect) {
				run.lastNew = max(run.lastNew, now.Sub(effect))
			}
		}
	}
	g.OnEnd = func(now time.Time, r *fakeupstream.Request, _ fakeupstream.Result) {
		if onDrained[r.ID] && !now.Before(effect) {
			run.longest = max(run.longest, r.Work)
		}
		delete(onDrained, r.ID)
	}
	if len(vms) == 0 {
		g.At(cfg.Warmup, func() {
			for _, i := range d.indexes {
				g.Drain(i)
			}
		})
	}
	stopWhenIdle(g, d.indexes, cfg, &run)
	st := g.Run()
	run.cutOff = st.CutOff
	return run
}

// stopWhenIdle stops each drained instance when it has had no work for 100 ms.
func stopWhenIdle(g *fakeupstream.Group, index []int, cfg fakeupstream.Config, run *drainRun) {
	const every = 10 * time.Millisecond
	idle, stopped := make(map[int]int), make(map[int]bool)
	for at := cfg.Warmup + 2*time.Second; at < cfg.Warmup+cfg.Length; at += every {
		g.At(at, func() {
			run.unfinished = 0
			for _, i := range index {
				running, queued := g.InFlight(i)
				if idle[i]++; running+queued > 0 {
					idle[i] = 0
				}
				if idle[i] >= 10 && !stopped[i] {
					stopped[i] = true
					g.Stop(i)
				}
				if !stopped[i] {
					run.unfinished++
				}
			}
		})
	}
	g.At(cfg.Warmup+cfg.Length-time.Millisecond, func() {
		for _, i := range index {
			run.drained = max(run.drained, g.Stats.LastDone[i].Sub(fakeupstream.Epoch.Add(cfg.Warmup)))
		}
	})
}

// BenchmarkDrain measures the drain of a quarter of a service's instances at 60 % load, of
// which 5 % of the requests take 30 times longer.
func BenchmarkDrain(b *testing.B) {
	for _, s := range services {
		for _, policy := range []string{"currantferry", "currantferry-at-once", "random", "least-report"} {
			b.Run(s.name+"/"+policy, func(b *testing.B) {
				var run drainRun
				for b.Loop() {
					cfg, _ := fakeupstream.Deployment(s.deployment, s.service)
					cfg.Seed, cfg.Entries, cfg.Load, cfg.LongPercent = envUint(b, "CURRANTFERRY_SEED", defaultSeed), 12, 0.6, 5
					cfg.Warmup, cfg.Length, cfg.NoticeDelay = 20*time.Second, 60*time.Second, 5*time.Second
					run = runDrain(policy, cfg)
				}
				b.ReportMetric(ms(run.lastNew), "last-new-ms")
				b.ReportMetric(ms(run.drained), "drained-ms")
				b.ReportMetric(ms(run.longest), "longest-ms")
				b.ReportMetric(float64(run.cutOff), "cut-off")
				b.ReportMetric(float64(run.unfinished), "unfinished")
			})
		}
	}
}
