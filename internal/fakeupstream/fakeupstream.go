// Package fakeupstream is a discrete-event simulation, in virtual time, of a group of
// upstream instances and of the entry VMs that send requests to it. It runs any
// implementation of Policy and records latencies, extra requests and overload. It uses no
// network and no node of the system.
package fakeupstream

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Epoch is the time at which every run starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tickInterval      = time.Millisecond
	reportInterval    = time.Second
	coldStartFactor   = 3 // on service times right after a start, decreasing to 1 over coldStartDuration
	coldStartDuration = 10 * time.Second
	restartDelay      = 5 * time.Second
	sameCentreLatency = 100 * time.Microsecond // one way
)

// Class distinguishes requests with short and long service times.
type Class uint8

// Classes of work.
const (
	Short Class = iota
	Long
)

// Request is one request of a caller. Policies must not read the fields after Deadline.
type Request struct {
	ID         uint64
	Entry      int // the entry VM that received it
	Class      Class
	Idempotent bool
	Arrival    time.Time // at the entry VM
	Deadline   time.Time // zero means none

	Work    time.Duration // service time on a healthy instance
	Crashes bool          // crashes the instance that runs it
	Resend  int           // free for use by the test

	starts      int
	ended, held bool
	live        []*attempt
}

// Start makes the simulation send a request to an instance. Every start of a request after
// the first is a hedge or a retry and is counted as an extra request.
type Start struct {
	Request  *Request
	Instance int
}

// Values of Start.Instance that send nothing.
const (
	Refuse = -1 // ends the request without an answer
	Hold   = -2 // keeps a request whose attempt failed, so that the policy can start it later
)

// Result is the result of an attempt.
type Result uint8

// Results of an attempt. After Refused and ConnectFailed the request did not run, after
// Lost it may have run.
const (
	OK Result = iota
	Refused
	ConnectFailed
	Lost
	Cancelled // another attempt was answered first, or the deadline passed
)

// InstanceState is the state of an instance that is announced to the entry VMs.
type InstanceState struct {
	Slots, MaxConnections int
	Draining              bool
	Started               time.Time // start of the cold-start ramp, zero if warm
}

// Load is a load report of an instance.
type Load struct {
	At              time.Time // when it was measured
	Running, Queued int
	Service         time.Duration // mean service time of the last second, zero if nothing finished
}

// Policy makes the decisions of one entry VM. The returned slices are the requests to
// start now. A request that Pick does not start waits in the policy, which may return it
// from a later call.
type Policy interface {
	Pick(now time.Time, r *Request) []Start
	Done(now time.Time, instance int, r *Request, res Result) []Start
	Tick(now time.Time) []Start
	Report(now time.Time, instance int, l Load)
	Instances(now time.Time, s []InstanceState)
}

// Config describes a run. Service times are exponentially distributed. They are a property
// of the request: a second attempt takes as long as the first.
type Config struct {
	Seed                 uint64
	Entries              int           // entry VMs, default 12
	Instances, Slots     int           // instances, and slots of each, required
	Connections          int           // per instance, default 400
	Mean                 time.Duration // mean service time of short work, default 20 ms
	LongPercent          float64       // part of the requests that is long
	LongFactor           float64       // mean of long over short work, default 30
	ShortOnly            bool          // drops the long requests and keeps the short ones
	ReadPercent          float64       // part that is idempotent, default 80; negative means none
	Load                 float64       // offered work over all slots, both classes
	Timeout              time.Duration // deadline after arrival, zero means none
	ClientOneWay, OneWay time.Duration // caller to entry VM; between the data centres
	Regions              int           // instances and entry VMs alternate between them, default 1
	BetweenRegions       time.Duration // one way
	ReportDelay          time.Duration // default 5 s
	NoticeDelay          time.Duration // until entry VMs receive a change of state, default 1 s
	SlowPercent          float64       // part of the instances that is slow at any time
	SlowFactor           float64       // on service times of slow instances, default 10
	SlowDuration         time.Duration // of a slow period, default 2 s
	Warmup, Length       time.Duration // Warmup is not recorded, default 5 s; Length is, default 20 s
}

func (c Config) withDefaults() Config {
	c.Entries = cmp.Or(c.Entries, 12)
	c.Connections = cmp.Or(c.Connections, 400)
	c.Mean = cmp.Or(c.Mean, 20*time.Millisecond)
	c.LongFactor = cmp.Or(c.LongFactor, 30)
	c.ReadPercent = cmp.Or(c.ReadPercent, 80)
	c.Regions = cmp.Or(c.Regions, 1)
	c.ReportDelay = cmp.Or(c.ReportDelay, 5*time.Second)
	c.NoticeDelay = cmp.Or(c.NoticeDelay, time.Second)
	c.SlowFactor = cmp.Or(c.SlowFactor, 10)
	c.SlowDuration = cmp.Or(c.SlowDuration, 2*time.Second)
	c.Warmup = cmp.Or(c.Warmup, 5*time.Second)
	c.Length = cmp.Or(c.Length, 20*time.Second)
	return c
}

// Deployment returns the sizes and latencies of a service of a deployment, or false if it
// is not known. The service time of 200 ms is that of keyed requests in docs/design.md,
// 2.5.
func Deployment(name, service string) (Config, bool) {
	const ms = time.Millisecond
	c, ok := map[string]Config{
		"rolregister/proefbank":    {Instances: 32, Slots: 9},
		"rolregister/rolinname":    {Instances: 12, Slots: 3, Mean: 200 * ms},
		"abtropf/kundenportal":     {Instances: 28, Slots: 9},
		"abtropf/werkstatt-dienst": {Instances: 12, Slots: 4, Mean: 200 * ms},
	}[name+"/"+service]
	c.ClientOneWay, c.OneWay = ms, ms
	if name == "abtropf" {
		c.ClientOneWay, c.OneWay = 3*ms, ms/2
	}
	return c, ok
}

// Stats are the results of a run. Requests that arrived during the warm-up are included
// only in Crashes, CutOff, LastNew and LastDone.
type Stats struct {
	Latency                 [2][]time.Duration // measured at the caller, by class, sorted
	Requests, Extra         int                // Extra: hedges and retries
	Refused, Failed, Missed int                // requests without an answer; Missed: at their deadline
	Crashes, CutOff         int                // cut off by a stop of the instance
	LastNew, LastDone       []time.Time        // by instance, when work was last sent and last finished
	OverloadSlotSeconds     float64            // sum of the waiting times in the queues of instances
}

// Percentile returns the latency below which the fraction p of a class lies.
func (s *Stats) Percentile(c Class, p float64) time.Duration {
	l := s.Latency[c]
	if len(l) == 0 {
		return 0
	}
	return l[min(len(l)-1, int(p*float64(len(l))))]
}

// ExtraPercent returns extra requests as a percentage of requests.
func (s *Stats) ExtraPercent() float64 { return 100 * float64(s.Extra) / float64(max(1, s.Requests)) }

type instance struct {
	state                  InstanceState
	serviceFactor          float64 // factor on service times, 1 when healthy
	slowUntil, refuseUntil time.Time
	down                   bool
	running, queue         []*attempt
	busyTime               time.Duration // running time of the attempts finished since the last report
	served                 int
}

type attempt struct {
	r          *Request
	instance   int
	remaining  time.Duration // remaining service time at factor 1, at the time since
	since      time.Time
	stateSince time.Time // start of the wait in the queue, then of the run
	gen        int       // invalidates scheduled completions
	done       bool
}

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Group is one run.
type Group struct {
	Stats Stats
	// OnEnd, if set, is called when a request ends at its entry VM. It may call Submit.
	OnEnd func(now time.Time, r *Request, res Result)
	// OnStart, if set, is called for every attempt that is sent.
	OnStart func(now time.Time, r *Request, instance int)

	cfg                Config
	now                time.Time
	seq, ids           uint64
	events             events
	instances          []instance
	policies           []Policy
	arrivals, slowness *rand.Rand
}

// New returns a run. It calls newPolicy once for each entry VM.
func New(cfg Config, newPolicy func(entry int) Policy) *Group {
	cfg = cfg.withDefaults()
	g := &Group{
		cfg: cfg, now: Epoch, instances: make([]instance, cfg.Instances),
		arrivals: rand.New(rand.NewPCG(cfg.Seed, 1)), slowness: rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
	g.Stats.LastNew, g.Stats.LastDone = make([]time.Time, cfg.Instances), make([]time.Time, cfg.Instances)
	for i := range g.instances {
		g.instances[i] = instance{serviceFactor: 1, state: InstanceState{Slots: cfg.Slots, MaxConnections: cfg.Connections}}
	}
	for e := range cfg.Entries {
		g.policies = append(g.policies, newPolicy(e))
		g.policies[e].Instances(g.now, g.states())
	}
	return g
}

// Now returns the virtual time.
func (g *Group) Now() time.Time { return g.now }

// At schedules fn at the given duration after Epoch.
func (g *Group) At(after time.Duration, fn func()) { g.schedule(Epoch.Add(after), fn) }

func (g *Group) schedule(at time.Time, fn func()) {
	g.seq++
	heap.Push(&g.events, event{at, g.seq, fn})
}

// Run simulates the warm-up and the recorded time, and up to a minute more until all
// requests have ended.
func (g *Group) Run() *Stats {
	end := Epoch.Add(g.cfg.Warmup + g.cfg.Length)
	last := end.Add(time.Minute)
	if g.cfg.Load > 0 {
		g.nextArrival(end)
	}
	g.every(tickInterval, last, func() {
		for e, p := range g.policies {
			g.start(e, p.Tick(g.now))
		}
	})
	g.every(reportInterval, end, g.report)
	if g.cfg.SlowPercent > 0 {
		g.drawSlowInstances()
		g.every(g.cfg.SlowDuration, end, g.drawSlowInstances)
	}
	for len(g.events) > 0 && !g.events[0].at.After(last) {
		ev := heap.Pop(&g.events).(event)
		g.now = ev.at
		ev.fn()
	}
	slices.Sort(g.Stats.Latency[Short])
	slices.Sort(g.Stats.Latency[Long])
	return &g.Stats
}

func (g *Group) every(d time.Duration, end time.Time, fn func()) {
	if at := g.now.Add(d); at.Before(end) {
		g.schedule(at, func() { fn(); g.every(d, end, fn) })
	}
}

// nextArrival schedules the next request. It draws every property of the request, whether
// or not it is used, so that all policies get the same requests.
func (g *Group) nextArrival(end time.Time) {
	c := &g.cfg
	meanWork := float64(c.Mean) * (1 + c.LongPercent/100*(c.LongFactor-1))
	gap := g.arrivals.ExpFloat64() * meanWork / (c.Load * float64(c.Instances*c.Slots))
	at := g.now.Add(time.Duration(gap))
	r := &Request{Entry: g.arrivals.IntN(c.Entries)}
	work := g.arrivals.ExpFloat64() * float64(c.Mean)
	if g.arrivals.Float64()*100 < c.LongPercent {
		r.Class, work = Long, work*c.LongFactor
	}
	r.Idempotent, r.Work = g.arrivals.Float64()*100 < c.ReadPercent, time.Duration(work)
	if at.After(end) {
		return
	}
	g.schedule(at, func() {
		if r.Class == Short || !c.ShortOnly {
			g.Submit(r)
		}
		g.nextArrival(end)
	})
}

// Submit delivers a request to its entry VM now. It sets ID, Arrival and, if it is zero,
// Deadline.
func (g *Group) Submit(r *Request) {
	g.ids++
	r.ID, r.Arrival = g.ids, g.now
	if g.cfg.Timeout > 0 && r.Deadline.IsZero() {
		r.Deadline = g.now.Add(g.cfg.Timeout)
	}
	if !r.Deadline.IsZero() {
		g.schedule(r.Deadline, func() { g.end(r, Cancelled) })
	}
	if g.isRecorded(r) {
		g.Stats.Requests++
	}
	g.start(r.Entry, g.policies[r.Entry].Pick(g.now, r))
}

func (g *Group) isRecorded(r *Request) bool { return !r.Arrival.Before(Epoch.Add(g.cfg.Warmup)) }

func (g *Group) start(entry int, starts []Start) {
	// The policy may reuse the slice when Done or OnEnd lead to another call of it.
	for _, s := range slices.Clone(starts) {
		r := s.Request
		switch {
		case s.Instance == Hold:
			r.held = true
			continue
		case s.Instance < 0:
			g.end(r, Refused)
			continue
		case r.ended:
			g.start(entry, g.policies[entry].Done(g.now, s.Instance, r, Cancelled))
			continue
		}
		r.held = false
		if r.starts++; r.starts > 1 && g.isRecorded(r) {
			g.Stats.Extra++
		}
		a := &attempt{r: r, instance: s.Instance, remaining: r.Work}
		r.live = append(r.live, a)
		g.Stats.LastNew[s.Instance] = g.now
		if g.OnStart != nil {
			g.OnStart(g.now, r, s.Instance)
		}
		g.schedule(g.now.Add(g.oneWay(a)), func() { g.receive(a) })
	}
}

// oneWay returns the latency between the entry VM and the instance of an attempt. Entry
// VMs and instances alternate between the regions, and between the two data centres of
// their region.
func (g *Group) oneWay(a *attempt) time.Duration {
	n := g.cfg.Regions
	if a.r.Entry%n != a.instance%n {
		return g.cfg.BetweenRegions
	}
	if a.r.Entry/n%2 == a.instance/n%2 {
		return sameCentreLatency
	}
	return g.cfg.OneWay
}

func (g *Group) receive(a *attempt) {
	in := &g.instances[a.instance]
	switch {
	case a.done:
	case in.down, len(in.running)+len(in.queue) >= in.state.MaxConnections:
		g.reply(a, ConnectFailed)
	case g.now.Before(in.refuseUntil):
		g.reply(a, Refused)
	case len(in.running) < in.state.Slots:
		g.run(a)
	default:
		a.stateSince = g.now
		in.queue = append(in.queue, a)
	}
}

func (g *Group) run(a *attempt) {
	in := &g.instances[a.instance]
	in.running = append(in.running, a)
	if a.r.Crashes {
		g.Crash(a.instance)
		return
	}
	if age := g.now.Sub(in.state.Started); !in.state.Started.IsZero() && age < coldStartDuration {
		a.remaining = time.Duration(float64(a.remaining) * (coldStartFactor - (coldStartFactor-1)*float64(age)/float64(coldStartDuration)))
	}
	a.since, a.stateSince = g.now, g.now
	g.complete(a)
}

func (g *Group) complete(a *attempt) {
	a.gen++
	gen, in := a.gen, &g.instances[a.instance]
	g.schedule(g.now.Add(time.Duration(float64(a.remaining)*in.serviceFactor)), func() {
		if a.done || a.gen != gen {
			return
		}
		in.busyTime += g.now.Sub(a.stateSince)
		in.served++
		g.Stats.LastDone[a.instance] = g.now
		g.remove(a)
		g.reply(a, OK)
	})
}

// remove removes an attempt from the queue or the slot of its instance, and starts queued
// attempts in free slots.
func (g *Group) remove(a *attempt) {
	a.done = true
	in := &g.instances[a.instance]
	if i := slices.Index(in.queue, a); i >= 0 {
		g.recordQueueWait(a)
		in.queue = slices.Delete(in.queue, i, i+1)
	}
	if i := slices.Index(in.running, a); i >= 0 {
		in.running = slices.Delete(in.running, i, i+1)
	}
	for !in.down && len(in.queue) > 0 && len(in.running) < in.state.Slots {
		next := in.queue[0]
		in.queue = in.queue[1:]
		g.recordQueueWait(next)
		g.run(next)
	}
}

func (g *Group) recordQueueWait(a *attempt) {
	if g.isRecorded(a.r) {
		g.Stats.OverloadSlotSeconds += g.now.Sub(a.stateSince).Seconds()
	}
}

// reply delivers the result of an attempt to its entry VM. The request ends with this
// result if no attempt is left and the policy does not hold it.
func (g *Group) reply(a *attempt, res Result) {
	a.done = true
	g.schedule(g.now.Add(g.oneWay(a)), func() {
		r := a.r
		i := slices.Index(r.live, a)
		if i < 0 {
			return // cancelled meanwhile
		}
		r.live = slices.Delete(r.live, i, i+1)
		if res == OK {
			g.end(r, OK)
		}
		g.start(r.Entry, g.policies[r.Entry].Done(g.now, a.instance, r, res))
		if len(r.live) == 0 && !r.held {
			g.end(r, res)
		}
	})
}

// end ends a request and cancels its remaining attempts.
func (g *Group) end(r *Request, res Result) {
	if r.ended {
		return
	}
	r.ended = true
	if s := &g.Stats; g.isRecorded(r) {
		switch res {
		case OK:
			s.Latency[r.Class] = append(s.Latency[r.Class], g.now.Sub(r.Arrival)+2*g.cfg.ClientOneWay)
		case Refused:
			s.Refused++
		case Cancelled:
			s.Missed++
		default:
			s.Failed++
		}
	}
	live := r.live
	r.live = nil
	for _, a := range live {
		g.schedule(g.now.Add(g.oneWay(a)), func() {
			if !a.done {
				g.remove(a)
			}
		})
		g.start(r.Entry, g.policies[r.Entry].Done(g.now, a.instance, r, Cancelled))
	}
	if g.OnEnd != nil {
		g.OnEnd(g.now, r, res)
	}
}

// report measures the load of all instances and delivers it after ReportDelay.
func (g *Group) report() {
	for i := range g.instances {
		in := &g.instances[i]
		l := Load{At: g.now, Running: len(in.running), Queued: len(in.queue)}
		l.Service = in.busyTime / time.Duration(max(1, in.served))
		in.busyTime, in.served = 0, 0
		g.schedule(g.now.Add(g.cfg.ReportDelay), func() {
			for _, p := range g.policies {
				p.Report(g.now, i, l)
			}
		})
	}
}

// drawSlowInstances draws the instances that are slow for the next SlowDuration.
func (g *Group) drawSlowInstances() {
	n := int(float64(len(g.instances))*g.cfg.SlowPercent/100 + 0.5)
	for _, i := range g.slowness.Perm(len(g.instances))[:n] {
		g.Slow(i, g.cfg.SlowFactor, g.cfg.SlowDuration)
	}
}

// Slow multiplies the service times of an instance by a factor for d. The remaining time
// of running work is included.
func (g *Group) Slow(i int, factor float64, d time.Duration) {
	in := &g.instances[i]
	in.slowUntil = g.now.Add(d)
	g.setServiceFactor(in, factor)
	g.schedule(in.slowUntil, func() {
		if !g.now.Before(in.slowUntil) {
			g.setServiceFactor(in, 1)
		}
	})
}

func (g *Group) setServiceFactor(in *instance, factor float64) {
	old := in.serviceFactor
	in.serviceFactor = factor
	for _, a := range in.running {
		a.remaining = max(0, a.remaining-time.Duration(float64(g.now.Sub(a.since))/old))
		a.since = g.now
		g.complete(a)
	}
}

// RefuseFor makes an instance refuse all new work for d, without running it.
func (g *Group) RefuseFor(i int, d time.Duration) { g.instances[i].refuseUntil = g.now.Add(d) }

// Drain announces to the entry VMs that an instance accepts no new work. Work in flight
// is completed.
func (g *Group) Drain(i int) {
	g.instances[i].state.Draining = true
	g.notify()
}

// CancelDrain ends the drain of an instance, which then starts cold.
func (g *Group) CancelDrain(i int) {
	g.instances[i].state.Draining = false
	g.instances[i].state.Started = g.now
	g.notify()
}

// Stop stops an instance. Its running and queued work is lost and counted in CutOff.
func (g *Group) Stop(i int) {
	in := &g.instances[i]
	work := slices.Concat(in.running, in.queue)
	in.down, in.running, in.queue = true, nil, nil
	g.Stats.CutOff += len(work)
	for _, a := range work {
		g.reply(a, Lost)
	}
}

// Restart starts a stopped instance, which is then cold.
func (g *Group) Restart(i int) {
	g.instances[i].down = false
	g.instances[i].state.Started = g.now
	g.notify()
}

// Crash stops an instance and restarts it after 5 s.
func (g *Group) Crash(i int) {
	g.Stats.Crashes++
	g.Stop(i)
	g.schedule(g.now.Add(restartDelay), func() { g.Restart(i) })
}

// InFlight returns the running and queued requests of an instance.
func (g *Group) InFlight(i int) (running, queued int) {
	return len(g.instances[i].running), len(g.instances[i].queue)
}

func (g *Group) states() []InstanceState {
	s := make([]InstanceState, len(g.instances))
	for i := range g.instances {
		s[i] = g.instances[i].state
	}
	return s
}

// notify delivers the states of all instances to the policies after NoticeDelay.
func (g *Group) notify() {
	s := g.states()
	g.schedule(g.now.Add(g.cfg.NoticeDelay), func() {
		for _, p := range g.policies {
			p.Instances(g.now, s)
		}
	})
}
