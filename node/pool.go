package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

// pool holds the instances of one service in one region and the requests that wait
// for a slot of them.
type pool struct {
	mu        sync.Mutex
	balancer  *balance.Balancer
	addresses map[string]string
	waiters   map[uint64]waiter
	refusals  connectRefusals

	// listed are the instances as the register lists them.
	listed []balance.Instance
	// notices holds the leaving and wait notices of the instances. nextReturn is when
	// the first wait ends, or zero if no instance asked to wait. returnTimes assigns
	// the times at which refused callers come back.
	notices     *availability.Tracker
	nextReturn  time.Time
	returnTimes availability.ReturnSchedule
}

// waiter is a request that waits for a slot.
type waiter struct {
	ticket  balance.Ticket
	started chan balance.Event
}

func newPool(cfg balance.Config, seed uint64) *pool {
	return &pool{
		balancer:  balance.New(cfg, seed),
		addresses: make(map[string]string),
		waiters:   make(map[uint64]waiter),
		notices:   availability.NewTracker(),
		refusals:  connectRefusals{refusedAt: make(map[string]time.Time)},
	}
}

func (p *pool) setInstances(now time.Time, instances []balance.Instance, addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	p.refusals.retain(addresses)
	p.listed = instances
	p.updateBalancer(now)
}

func (p *pool) setPeers(n, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetPeers(n, rank)
}

// pick returns a ticket for an instance. It waits for a slot if none is free.
func (p *pool) pick(ctx context.Context, r balance.Request) (balance.Ticket, error) {
	p.mu.Lock()
	if !p.refusals.admit(time.Now(), len(p.addresses)) {
		p.mu.Unlock()
		return balance.Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, time.Second)
	}
	if err := p.refusalIfNoneAccepts(time.Now(), r.Deadline); err != nil {
		p.mu.Unlock()
		return balance.Ticket{}, err
	}
	ticket, err := p.balancer.Pick(time.Now(), r)
	if err != nil || !ticket.IsWaiting() {
		p.mu.Unlock()
		return ticket, err
	}
	started := make(chan balance.Event, 1)
	p.waiters[ticket.Key()] = waiter{ticket, started}
	p.mu.Unlock()
	select {
	case e := <-started:
		return e.Ticket, asError(e.Err)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, ticket.Key())
	select {
	case e := <-started:
		// The request got its slot just as ctx ended, and returns it.
		if e.Err == nil {
			p.balancer.Done(time.Now(), e.Ticket, balance.Cancelled)
		}
	default:
		p.balancer.Done(time.Now(), ticket, balance.Cancelled)
	}
	p.tick(time.Now())
	return balance.Ticket{}, verdict.Wrap(ctx.Err(), verdict.NotRun, contextReason(ctx))
}

// maxExchangeTries bounds the tickets drawn in search of another instance.
const maxExchangeTries = 16

const (
	// exchangeTimeout is how long a retry waits for a place at an instance that it
	// has not tried. Without this wait, a retry used up its attempts within a
	// millisecond at one instance that refused connections.
	exchangeTimeout       = 250 * time.Millisecond
	exchangeRetryInterval = 5 * time.Millisecond
)

// waitToExchange calls exchange until it succeeds or exchangeTimeout has passed. It
// keeps the ticket meanwhile, so that no other request probes the excluded instance.
func (p *pool) waitToExchange(ctx context.Context, ticket balance.Ticket, r balance.Request, exclude []string) balance.Ticket {
	for until := time.Now().Add(exchangeTimeout); ; {
		next, found := p.exchange(ticket, r, exclude)
		if found || !p.hasOtherInstance(exclude) || time.Now().After(until) {
			return next
		}
		timer := time.NewTimer(exchangeRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return next
		}
	}
}

func (p *pool) hasOtherInstance(exclude []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.addresses {
		if !slices.Contains(exclude, id) {
			return true
		}
	}
	return false
}

// exchange swaps a ticket for one of an instance that is not excluded. It returns the
// same ticket and false if no such instance has a free place.
//
// The tickets of excluded instances are kept until the end: a ticket that is given
// back restores the previous state of the balancer, which would draw the same one
// again. For a probe of a suspected instance that is certain.
func (p *pool) exchange(ticket balance.Ticket, r balance.Request, exclude []string) (balance.Ticket, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var kept []balance.Ticket
	found := false
	for range maxExchangeTries {
		next, err := p.balancer.Pick(now, r)
		if err != nil {
			break
		}
		if next.IsWaiting() {
			p.balancer.Done(now, next, balance.Cancelled)
			break
		}
		if !slices.Contains(exclude, next.Instance) {
			kept = append(kept, ticket)
			ticket, found = next, true
			break
		}
		kept = append(kept, next)
	}
	for _, t := range kept {
		p.balancer.Done(now, t, balance.Cancelled)
	}
	p.tick(now)
	return ticket, found
}

// asError keeps a nil pointer from becoming an error interface that is not nil.
func asError(e *verdict.Error) error {
	if e == nil {
		return nil
	}
	return e
}

func contextReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCallerGone
}

func (p *pool) done(t balance.Ticket, o balance.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.refusals.record(now, t.Instance, o)
	p.balancer.Done(now, t, o)
	p.tick(now)
}

// tick starts waiting requests that have got a slot. The caller holds the lock.
func (p *pool) tick(now time.Time) {
	for _, e := range p.balancer.Tick(now) {
		w, found := p.waiters[e.Ticket.Key()]
		if !found {
			continue
		}
		delete(p.waiters, e.Ticket.Key())
		w.started <- e
	}
}

// poll starts waiting requests and ends the waits of instances that are over. It is
// called every few milliseconds. backlogged means that requests wait for the gate,
// before an instance is chosen.
func (p *pool) poll(now time.Time, backlogged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetUnderPressure(backlogged)
	if !p.nextReturn.IsZero() && !now.Before(p.nextReturn) {
		p.updateBalancer(now)
	}
	if len(p.waiters) > 0 {
		p.tick(now)
	}
}

func (p *pool) address(instance string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[instance]
}

// appendAddresses appends the addresses of the instances to a list.
func (p *pool) appendAddresses(list []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.addresses {
		list = append(list, address)
	}
	return list
}

func (p *pool) hedgeAfter(t balance.Ticket) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.HedgeAfter(t)
}

func (p *pool) hedge(t balance.Ticket) (balance.Ticket, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Hedge(time.Now(), t)
}

func (p *pool) report(id string, l balance.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Report(time.Now(), id, l)
}

// balancerOutcome converts the outcome of an attempt to that of the balancer.
func balancerOutcome(o proxy.Outcome) balance.Outcome {
	switch {
	case o.Cancelled, o.Reason == verdict.ReasonWithdrawn, o.Reason == verdict.ReasonConnectionLimit:
		return balance.Cancelled
	case o.Verdict == verdict.Ran:
		return balance.Answered
	case o.Reason == verdict.ReasonUpstreamRefused, o.Reason == verdict.ReasonMisdirected:
		return balance.Refused
	case o.Reason == verdict.ReasonConnectFailed:
		return balance.ConnectFailed
	case o.Reason == verdict.ReasonDeadline:
		return balance.Cancelled
	default:
		return balance.Lost
	}
}
