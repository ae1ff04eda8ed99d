package policybench

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/internal/fakeupstream"
)

// envUint returns the value of an environment variable, or def if it is not set.
func envUint(t testing.TB, name string, def uint64) uint64 {
	t.Helper()
	v := os.Getenv(name)
	if v == "" {
		return def
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// attempt identifies an attempt of a request.
type attempt struct {
	request  uint64
	instance int
}

// timer is the time at which an attempt may be hedged.
type timer struct {
	at     time.Time
	ticket balance.Ticket
	r      *fakeupstream.Request
}

// currantferry is a Policy that uses a Balancer as an entry VM does.
type currantferry struct {
	b       *balance.Balancer
	ids     []string
	index   map[string]int
	tickets map[attempt]balance.Ticket
	waiting map[uint64]*fakeupstream.Request
	timers  []timer
	onHedge func(r *fakeupstream.Request)
}

var _ fakeupstream.Policy = (*currantferry)(nil)

func newCurrantferry(cfg balance.Config, seed uint64, rank, peers int) *currantferry {
	c := &currantferry{
		b: balance.New(cfg, seed*1000+uint64(rank)), index: make(map[string]int),
		tickets: make(map[attempt]balance.Ticket), waiting: make(map[uint64]*fakeupstream.Request),
	}
	c.b.SetPeers(peers, rank)
	return c
}

func (c *currantferry) Instances(now time.Time, s []fakeupstream.InstanceState) {
	list := make([]balance.Instance, len(s))
	for i := range s {
		if i == len(c.ids) {
			c.ids = append(c.ids, "instance-"+strconv.Itoa(100+i))
			c.index[c.ids[i]] = i
		}
		list[i] = balance.Instance{
			ID: c.ids[i], Slots: s[i].Slots, MaxConnections: s[i].MaxConnections,
			Draining: s[i].Draining, Started: s[i].Started,
		}
	}
	c.b.SetInstances(now, list)
}

func (c *currantferry) Pick(now time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	class := balance.Short
	if r.Class == fakeupstream.Long {
		class = balance.Long
	}
	t, err := c.b.Pick(now, balance.Request{Class: class, Idempotent: r.Idempotent, Deadline: r.Deadline})
	switch {
	case err != nil:
		return []fakeupstream.Start{{Request: r, Instance: fakeupstream.Refuse}}
	case t.IsWaiting():
		c.waiting[t.Key()] = r
		return nil
	default:
		return c.startAttempt(now, nil, t, r)
	}
}

// startAttempt appends the start of an attempt to out and sets its hedge timer.
func (c *currantferry) startAttempt(now time.Time, out []fakeupstream.Start, t balance.Ticket, r *fakeupstream.Request) []fakeupstream.Start {
	i := c.index[t.Instance]
	c.tickets[attempt{r.ID, i}] = t
	if after, ok := c.b.HedgeAfter(t); ok {
		c.timers = append(c.timers, timer{now.Add(after), t, r})
	}
	return append(out, fakeupstream.Start{Request: r, Instance: i})
}

func (c *currantferry) Done(now time.Time, instance int, r *fakeupstream.Request, res fakeupstream.Result) []fakeupstream.Start {
	key := attempt{r.ID, instance}
	c.b.Done(now, c.tickets[key], [...]balance.Outcome{
		fakeupstream.OK: balance.Answered, fakeupstream.Refused: balance.Refused,
		fakeupstream.ConnectFailed: balance.ConnectFailed, fakeupstream.Lost: balance.Lost,
		fakeupstream.Cancelled: balance.Cancelled,
	}[res])
	delete(c.tickets, key)
	return c.handleEvents(now)
}

// handleEvents starts or refuses the waiting requests according to the balancer's events.
func (c *currantferry) handleEvents(now time.Time) []fakeupstream.Start {
	var out []fakeupstream.Start
	for _, e := range c.b.Tick(now) {
		r := c.waiting[e.Ticket.Key()]
		delete(c.waiting, e.Ticket.Key())
		if e.Err != nil {
			out = append(out, fakeupstream.Start{Request: r, Instance: fakeupstream.Refuse})
		} else {
			out = c.startAttempt(now, out, e.Ticket, r)
		}
	}
	return out
}

func (c *currantferry) Tick(now time.Time) []fakeupstream.Start {
	out := c.handleEvents(now)
	c.timers = slices.DeleteFunc(c.timers, func(due timer) bool {
		if due.at.After(now) {
			return false
		}
		if t, ok := c.b.Hedge(now, due.ticket); ok {
			if c.onHedge != nil {
				c.onHedge(due.r)
			}
			out = c.startAttempt(now, out, t, due.r)
		}
		return true
	})
	return out
}

func (c *currantferry) Report(now time.Time, instance int, l fakeupstream.Load) {
	c.b.Report(now, c.ids[instance], balance.LoadReport{At: l.At, Running: l.Running, Queued: l.Queued})
}

// noFeedback is embedded in baselines that ignore results, ticks, load reports and changes
// of instances.
type noFeedback struct{}

func (noFeedback) Done(time.Time, int, *fakeupstream.Request, fakeupstream.Result) []fakeupstream.Start {
	return nil
}
func (noFeedback) Tick(time.Time) []fakeupstream.Start               { return nil }
func (noFeedback) Report(time.Time, int, fakeupstream.Load)          {}
func (noFeedback) Instances(time.Time, []fakeupstream.InstanceState) {}

// random is a baseline that chooses uniformly at random.
type random struct {
	noFeedback
	rng *rand.Rand
	n   int
}

func (p *random) Pick(_ time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	return []fakeupstream.Start{{Request: r, Instance: p.rng.IntN(p.n)}}
}

// leastReport is a baseline that chooses the instance with the least work in its last load
// report.
type leastReport struct {
	noFeedback
	rng  *rand.Rand
	load []int
}

func (p *leastReport) Report(_ time.Time, i int, l fakeupstream.Load) {
	p.load[i] = l.Running + l.Queued
}

func (p *leastReport) Pick(_ time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	best, ties := 0, 0
	for i, l := range p.load {
		switch {
		case i == 0 || l < p.load[best]:
			best, ties = i, 1
		case l == p.load[best]:
			if ties++; p.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return []fakeupstream.Start{{Request: r, Instance: best}}
}

// sharedQueue is an ideal baseline: all entry VMs share a first-in, first-out queue, which
// knows without delay which slots are free.
type sharedQueue struct {
	noFeedback
	free  []int
	queue []*fakeupstream.Request
}

func (p *sharedQueue) Instances(_ time.Time, s []fakeupstream.InstanceState) {
	if p.free != nil {
		return
	}
	for k := range s[0].Slots {
		for i := range s {
			if k < s[i].Slots {
				p.free = append(p.free, i)
			}
		}
	}
}

func (p *sharedQueue) Pick(_ time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	p.queue = append(p.queue, r)
	return p.startQueued()
}

func (p *sharedQueue) Done(_ time.Time, i int, _ *fakeupstream.Request, _ fakeupstream.Result) []fakeupstream.Start {
	p.free = append(p.free, i)
	return p.startQueued()
}

// startQueued starts queued requests in the free slots.
func (p *sharedQueue) startQueued() []fakeupstream.Start {
	var out []fakeupstream.Start
	for len(p.queue) > 0 && len(p.free) > 0 {
		out = append(out, fakeupstream.Start{Request: p.queue[0], Instance: p.free[0]})
		p.queue, p.free = p.queue[1:], p.free[1:]
	}
	return out
}

// newPolicyFunc returns the constructor of the policy with the given name.
func newPolicyFunc(name string, cfg fakeupstream.Config, peers int) func(int) fakeupstream.Policy {
	shared := new(sharedQueue)
	return func(e int) fakeupstream.Policy {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(100+e)))
		switch name {
		case "random":
			return &random{rng: rng, n: cfg.Instances}
		case "least-report":
			return &leastReport{rng: rng, load: make([]int, cfg.Instances)}
		case "shared-queue":
			return shared
		default:
			// The baselines never refuse work at a deadline, so the balancer gets a timeout
			// that is never reached.
			return newCurrantferry(balance.Config{ExpectedShort: cfg.Mean, Timeout: time.Hour}, cfg.Seed, e, peers)
		}
	}
}
