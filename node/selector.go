package node

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/transit/monitor"
	"github.com/currantferry/currantferry/verdict"
)

var _ proxy.Selector = (*selector)(nil)

// selector chooses a region by the plan and an instance by the balancer of that
// region, and asks the crash guard before each attempt.
type selector struct {
	mu     sync.Mutex
	gate   *plan.Gate
	pools  map[poolKey]*pool
	meters map[string]*workMeter
	// queues holds the requests that wait for capacity in any region, by service.
	queues map[string]*gateQueue

	crash    *crashTracker
	observed *observations
	// reach observes whether this VM reaches instances.
	reach *monitor.Monitor

	// log receives events and may be nil. closeIdle closes the idle connections to an
	// address.
	log       *slog.Logger
	closeIdle func(address string)
}

type poolKey struct{ service, region string }

func newSelector(gate *plan.Gate, crash *crashTracker, observed *observations, reach *monitor.Monitor) *selector {
	return &selector{
		gate: gate, crash: crash, observed: observed, reach: reach,
		closeIdle: func(string) {},
		pools:     make(map[poolKey]*pool), meters: make(map[string]*workMeter), queues: make(map[string]*gateQueue),
	}
}

func (s *selector) pool(service, region string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[poolKey{service, region}]
}

// allPools returns a copy of the map, so that the pools can be locked one at a time.
func (s *selector) allPools() map[poolKey]*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.pools)
}

// Select implements proxy.Selector. A suspect of the crash guard waits for its trial
// permit before it takes a place in a region. A VM that reaches no instance passes the
// request on, and the other VM does all this.
func (s *selector) Select(ctx context.Context, q *proxy.Query) (proxy.Selection, error) {
	if selected := s.selectVM(q, false); selected != nil {
		return selected, nil
	}
	if s.reach.MustPassOn() {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonIsolated, transitRefuseRetryAfter)
	}
	chosen, err := s.selectInstance(ctx, q)
	if err == nil || !isRegionalRefusal(err) {
		return chosen, err
	}
	if selected := s.selectVM(q, true); selected != nil {
		return selected, nil
	}
	return nil, err
}

func (s *selector) selectInstance(ctx context.Context, q *proxy.Query) (proxy.Selection, error) {
	permit, waitUntil, err := s.crash.acquirePermit(ctx, q)
	if err != nil {
		return nil, err
	}
	for {
		chosen, err := s.selectOnce(ctx, q)
		if err == nil {
			chosen.permit, chosen.chosenAt = permit, time.Now()
			return chosen, nil
		}
		if !permit.shouldRetry(ctx, err) && !shouldRetryAfterWait(ctx, waitUntil, err) {
			s.crash.releasePermit(permit)
			return nil, err
		}
	}
}

func (s *selector) selectOnce(ctx context.Context, q *proxy.Query) (*selection, error) {
	grant, err := s.admit(ctx, q)
	if err != nil {
		return nil, err
	}
	for {
		var chosen *selection
		chosen, err = s.selectIn(ctx, q, grant.Region())
		if err == nil {
			chosen.grant = grant
			s.recordStart(time.Now(), q)
			return chosen, nil
		}
		if !isRegionalRefusal(err) || !s.nextRegion(&grant) {
			break
		}
	}
	s.release(q.Service.Name, &grant, 0)
	return nil, err
}

// isRegionalRefusal reports whether another region may accept a request that one has
// refused.
func isRegionalRefusal(err error) bool {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Reason {
	case verdict.ReasonNoUpstream, verdict.ReasonSaturated, verdict.ReasonLongShare, verdict.ReasonDeadlineAhead, verdict.ReasonAskedToWait:
		return true
	default:
		return false
	}
}

func (s *selector) nextRegion(g *plan.Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Next(time.Now(), g)
}

func (s *selector) release(service string, g *plan.Grant, answerBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Release(time.Now(), g, answerBytes)
	s.queues[service].wake()
}

func (s *selector) selectIn(ctx context.Context, q *proxy.Query, region string) (*selection, error) {
	p := s.pool(q.Service.Name, region)
	if p == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, time.Second)
	}
	r := balance.Request{
		Class:      classOf(q.Route.Class),
		Route:      xxhash.Sum64String(q.Method + " " + q.Service.Name + q.Route.Prefix),
		Length:     q.Bytes,
		Idempotent: q.Idempotent,
		Deadline:   q.Deadline,
	}
	ticket, err := p.pick(ctx, r)
	if err != nil {
		return nil, err
	}
	if slices.Contains(q.Exclude, ticket.Instance) {
		// An instance that was already tried is better than none.
		ticket = p.waitToExchange(ctx, ticket, r, q.Exclude)
	}
	exclude := q.Exclude
	for {
		trial, err := s.crash.begin(ctx, q, ticket.Instance)
		if err == nil {
			return &selection{s: s, q: *q, pool: p, region: region, ticket: ticket, trial: trial}, nil
		}
		found := false
		if errors.Is(err, errOtherInstance) {
			exclude = append(slices.Clip(exclude), ticket.Instance)
			ticket, found = p.exchange(ticket, r, exclude)
		}
		if !found {
			p.done(ticket, balance.Cancelled)
			return nil, refusalOf(err)
		}
	}
}

func refusalOf(err error) error {
	if errors.Is(err, errOtherInstance) {
		return verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, crashguard.DefaultSettleDelay)
	}
	return err
}

func classOf(name string) balance.Class {
	switch name {
	case "short":
		return balance.Short
	case "long":
		return balance.Long
	default:
		return balance.Unknown
	}
}

// selection is the place of one attempt at an instance.
type selection struct {
	s      *selector
	q      proxy.Query
	pool   *pool
	region string
	ticket balance.Ticket
	trial  crashguard.Ticket
	grant  plan.Grant
	// chosenAt is when the instance was chosen.
	chosenAt time.Time
	// permit is nil unless the request was a suspect of the crash guard.
	permit *trialPermit
}

// Instance implements proxy.Selection.
func (c *selection) Instance() proxy.Instance {
	return proxy.Instance{ID: c.ticket.Instance, Address: c.pool.address(c.ticket.Instance)}
}

// HedgeAfter implements proxy.Selection.
func (c *selection) HedgeAfter() (time.Duration, bool) { return c.pool.hedgeAfter(c.ticket) }

// Hedge implements proxy.Selection. A suspect of the crash guard never runs on two
// instances at the same time.
func (c *selection) Hedge() (proxy.Selection, bool) {
	if c.s.crash.isSuspect(&c.q) {
		return nil, false
	}
	c.s.mu.Lock()
	grant, ok := c.s.gate.Hedge(time.Now(), &c.grant)
	c.s.mu.Unlock()
	if !ok {
		return nil, false
	}
	ticket, ok := c.pool.hedge(c.ticket)
	if !ok {
		c.s.release(c.q.Service.Name, &grant, 0)
		return nil, false
	}
	second := &selection{s: c.s, q: c.q, chosenAt: time.Now(), pool: c.pool, region: c.region, ticket: ticket, grant: grant}
	trial, err := c.s.crash.begin(context.Background(), &c.q, ticket.Instance)
	if err != nil {
		c.pool.done(ticket, balance.Cancelled)
		c.s.release(c.q.Service.Name, &grant, 0)
		return nil, false
	}
	second.trial = trial
	return second, true
}

// Done implements proxy.Selection.
func (c *selection) Done(o proxy.Outcome) {
	if o.Verdict != verdict.Ran && o.Status == 0 {
		// If this VM reached no instance meanwhile, or its link was congested, its connections say nothing about them.
		_, isDoubtful := c.s.reach.WasIsolated(c.chosenAt)
		o.Cancelled = o.Cancelled || isDoubtful || c.s.reach.IsOwnTimeout(c.chosenAt, &o)
	}
	c.pool.done(c.ticket, balancerOutcome(o))
	c.s.crash.end(c.trial, o)
	c.s.crash.releasePermit(c.permit)
	c.s.release(c.q.Service.Name, &c.grant, o.AnswerBytes)
	c.s.recordEnd(c, o)
	c.s.observed.recordOutcome(o)
}

// workMeter sums up the work of a service for the planner.
type workMeter struct {
	slotTime time.Duration
	request  int64
	answer   int64
	since    time.Time
}

func (s *selector) recordStart(now time.Time, q *proxy.Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.meterOf(now, q.Service.Name)
	w.request += max(0, q.Bytes)
}

func (s *selector) recordEnd(c *selection, o proxy.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.meterOf(time.Now(), c.q.Service.Name)
	w.slotTime += o.Latency
	w.answer += o.AnswerBytes
}

// meterOf returns the meter of a service. The caller holds the lock.
func (s *selector) meterOf(now time.Time, service string) *workMeter {
	w := s.meters[service]
	if w == nil {
		w = &workMeter{since: now}
		s.meters[service] = w
	}
	return w
}

// takeMeasurements returns the work since the last call, by service, and resets the
// meters.
func (s *selector) takeMeasurements(now time.Time) map[string]serviceMeasurement {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]serviceMeasurement, len(s.meters))
	for name, w := range s.meters {
		seconds := now.Sub(w.since).Seconds()
		if seconds <= 0 {
			continue
		}
		out[name] = serviceMeasurement{
			Slots:   w.slotTime.Seconds() / seconds,
			Request: float64(w.request) / seconds,
			Answer:  float64(w.answer) / seconds,
		}
	}
	clear(s.meters)
	return out
}
