package policybench

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/budget"
	"github.com/currantferry/currantferry/internal/fakeupstream"
	"github.com/currantferry/currantferry/verdict"
)

// maxAttempts bounds the attempts of a request, for all policies.
const maxAttempts = 4

// isRetryable reports whether a request may be sent again after an attempt with the given
// result.
func isRetryable(r *fakeupstream.Request, res fakeupstream.Result) bool {
	v := verdict.MayHaveRun
	switch res {
	case fakeupstream.OK, fakeupstream.Cancelled:
		return false
	case fakeupstream.Refused, fakeupstream.ConnectFailed:
		v = verdict.NotRun
	case fakeupstream.Lost:
	}
	return verdict.CanResend(v, r.Idempotent)
}

// pickRetry starts another attempt, or holds the request if the policy lets it wait.
func pickRetry(p fakeupstream.Policy, now time.Time, r *fakeupstream.Request, out []fakeupstream.Start) []fakeupstream.Start {
	starts := p.Pick(now, r)
	if len(starts) == 0 {
		starts = []fakeupstream.Start{{Request: r, Instance: fakeupstream.Hold}}
	}
	return append(out, starts...)
}

// budgetedVM retries within the budgets of package budget.
type budgetedVM struct {
	*currantferry
	budget   *budget.Retry
	attempts map[uint64]int
	now      time.Time
}

func newBudgetedVM(cfg fakeupstream.Config, e int) *budgetedVM {
	p := &budgetedVM{
		currantferry: newCurrantferry(balance.Config{ExpectedShort: cfg.Mean}, cfg.Seed, e, cfg.Entries),
		budget:       budget.NewRetry(budget.Config{}), attempts: make(map[uint64]int),
	}
	p.onHedge = func(r *fakeupstream.Request) { p.budget.RecordHedge(p.now, "service", callerName(r)) }
	return p
}

func (p *budgetedVM) Tick(now time.Time) []fakeupstream.Start {
	p.now = now
	return p.currantferry.Tick(now)
}

// callerName assigns requests to 100 callers.
func callerName(r *fakeupstream.Request) string { return strconv.Itoa(int(r.ID % 100)) }

func (p *budgetedVM) Pick(now time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	p.budget.RecordRequest(now, "service", callerName(r))
	return p.currantferry.Pick(now, r)
}

func (p *budgetedVM) Done(now time.Time, i int, r *fakeupstream.Request, res fakeupstream.Result) []fakeupstream.Start {
	out := p.currantferry.Done(now, i, r, res)
	if !isRetryable(r, res) {
		delete(p.attempts, r.ID)
		return out
	}
	if p.attempts[r.ID]++; p.attempts[r.ID] >= maxAttempts || p.budget.Allow(now, "service", callerName(r), verdict.NotRun) != nil {
		delete(p.attempts, r.ID)
		return out
	}
	return pickRetry(p.currantferry, now, r, out)
}

// naiveVM is a baseline entry VM: it chooses at random, or by the last load report, among the
// instances that are not announced as draining and not avoided, and retries without a
// budget.
type naiveVM struct {
	useLeastReport bool
	rng            *rand.Rand
	states         []fakeupstream.InstanceState
	load           []int
	avoid          func(instance int) bool // nil avoids none
	attempts       map[uint64]int
}

func newNaiveVM(policy string, cfg fakeupstream.Config, e int) *naiveVM {
	return &naiveVM{
		useLeastReport: policy == "least-report", rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100+e))),
		load: make([]int, cfg.Instances), attempts: make(map[uint64]int),
	}
}

func (p *naiveVM) Instances(_ time.Time, s []fakeupstream.InstanceState) { p.states = s }
func (p *naiveVM) Tick(time.Time) []fakeupstream.Start                   { return nil }
func (p *naiveVM) Report(_ time.Time, i int, l fakeupstream.Load)        { p.load[i] = l.Running + l.Queued }

func (p *naiveVM) Pick(_ time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	best, ties := fakeupstream.Refuse, 0
	for i := range p.states {
		if p.states[i].Draining || p.avoid != nil && p.avoid(i) {
			continue
		}
		if best < 0 || p.useLeastReport && p.load[i] < p.load[best] {
			best, ties = i, 1
		} else if !p.useLeastReport || p.load[i] == p.load[best] {
			if ties++; p.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return []fakeupstream.Start{{Request: r, Instance: best}}
}

func (p *naiveVM) Done(now time.Time, _ int, r *fakeupstream.Request, res fakeupstream.Result) []fakeupstream.Start {
	if p.attempts[r.ID]++; !isRetryable(r, res) || p.attempts[r.ID] >= maxAttempts {
		delete(p.attempts, r.ID)
		return nil
	}
	return p.Pick(now, r)
}

// BenchmarkRetryStorm measures 60 % load while 30 % of the instances refuse all work for
// 60 s. The other instances have just enough capacity. Amplification includes all attempts
// and hedges.
func BenchmarkRetryStorm(b *testing.B) {
	for _, s := range services {
		for _, policy := range []string{"currantferry", "random", "least-report"} {
			b.Run(s.name+"/"+policy, func(b *testing.B) {
				var st *fakeupstream.Stats
				for b.Loop() {
					cfg, _ := fakeupstream.Deployment(s.deployment, s.service)
					cfg.Seed, cfg.Entries, cfg.Load = envUint(b, "CURRANTFERRY_SEED", defaultSeed), 12, 0.6
					cfg.Warmup, cfg.Length, cfg.Timeout = 20*time.Second, 60*time.Second, 5*time.Second
					g := fakeupstream.New(cfg, func(e int) fakeupstream.Policy {
						if policy == "currantferry" {
							return newBudgetedVM(cfg, e)
						}
						return newNaiveVM(policy, cfg, e)
					})
					refusing := rand.New(rand.NewPCG(cfg.Seed, 40)).Perm(cfg.Instances)[:(cfg.Instances*3+9)/10]
					g.At(cfg.Warmup, func() {
						for _, i := range refusing {
							g.RefuseFor(i, cfg.Length)
						}
					})
					st = g.Run()
				}
				served := len(st.Latency[0]) + len(st.Latency[1])
				b.ReportMetric(1+float64(st.Extra)/float64(st.Requests), "amplification")
				b.ReportMetric(100*float64(served)/float64(st.Requests), "goodput-%")
				b.ReportMetric(ms(st.Percentile(fakeupstream.Short, 0.99)), "p99-ms")
			})
		}
	}
}
