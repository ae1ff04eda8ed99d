package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

// pool is the instances of one service in one region, with the requests that
// wait for a slot of them.
type pool struct {
	mu        sync.Mutex
	balancer  *balance.Balancer
	addresses map[string]string
	waiters   map[uint64]chan balance.Event
	refusing  refusing
}

func newPool(cfg balance.Config, seed uint64) *pool {
	return &pool{
		balancer:  balance.New(cfg, seed),
		addresses: make(map[string]string),
		waiters:   make(map[uint64]chan balance.Event),
		refusing:  refusing{instances: make(map[string]time.Time)},
	}
}

func (p *pool) set(now time.Time, instances []balance.Instance, addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	p.refusing.keep(addresses)
	p.balancer.SetInstances(now, instances)
	p.tick(now)
}

func (p *pool) setPeers(n, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetPeers(n, rank)
}

// pick returns a ticket with an instance, waiting for a slot if need be.
func (p *pool) pick(ctx context.Context, r balance.Request) (balance.Ticket, error) {
	p.mu.Lock()
	if !p.refusing.admit(time.Now(), len(p.addresses)) {
		p.mu.Unlock()
		return balance.Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, time.Second)
	}
	ticket, err := p.balancer.Pick(time.Now(), r)
	if err != nil || !ticket.Waiting() {
		p.mu.Unlock()
		return ticket, err
	}
	started := make(chan balance.Event, 1)
	p.waiters[ticket.Key()] = started
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
		// It started at the same moment and is given back.
		if e.Err == nil {
			p.balancer.Done(time.Now(), e.Ticket, balance.Cancelled)
		}
	default:
		p.balancer.Done(time.Now(), ticket, balance.Cancelled)
	}
	p.tick(time.Now())
	return balance.Ticket{}, verdict.Wrap(ctx.Err(), verdict.NotRun, contextReason(ctx))
}

// asError keeps a nil pointer from becoming an error that is not nil.
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
	p.refusing.note(now, t.Instance, o)
	p.balancer.Done(now, t, o)
	p.tick(now)
}

// tick starts waiting requests. The caller holds the lock.
func (p *pool) tick(now time.Time) {
	for _, e := range p.balancer.Tick(now) {
		started := p.waiters[e.Ticket.Key()]
		if started == nil {
			continue
		}
		delete(p.waiters, e.Ticket.Key())
		started <- e
	}
}

// poll is called every few milliseconds. pressed tells whether requests wait for
// room before an instance is chosen.
func (p *pool) poll(now time.Time, pressed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.SetPressed(pressed)
	if len(p.waiters) > 0 {
		p.tick(now)
	}
}

func (p *pool) address(instance string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[instance]
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

// outcomeOf translates what the request path saw for the balancer.
func outcomeOf(o proxy.Outcome) balance.Outcome {
	switch {
	case o.Cancelled:
		return balance.Cancelled
	case o.Verdict == verdict.Ran:
		return balance.Answered
	case o.Reason == verdict.ReasonUpstreamRefused:
		return balance.Refused
	case o.Reason == verdict.ReasonConnectFailed:
		return balance.ConnectFailed
	case o.Reason == verdict.ReasonDeadline:
		return balance.Cancelled
	default:
		return balance.Lost
	}
}
