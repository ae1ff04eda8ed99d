package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/verdict"
)

// gate counts the requests in flight and refuses new ones while the VM is not ready,
// is stopping, or has as many as its limit.
type gate struct {
	limit int

	mu       sync.Mutex
	count    int
	ready    bool
	stopping bool
	// idle is closed once the gate is stopping and no request is in flight.
	idle chan struct{}
	// end is when the last request must have ended. Zero means that the VM doesn't stop.
	end time.Time
	// waits are the requests whose bodies are being received.
	waits map[*bodyWait]struct{}
}

// bodyWait is a request whose body is being received.
type bodyWait struct {
	// last is when the request ends at the latest.
	last time.Time
	// setDeadline sets the time until which the caller is waited for.
	setDeadline func(t time.Time)
}

// past is a deadline that interrupts a read.
var past = time.Unix(1, 0)

func (g *gate) setReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready
}

func (g *gate) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopping:
		return errStopping()
	case !g.ready:
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, time.Second)
	case g.count >= g.limit:
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, time.Second)
	}
	g.count++
	return nil
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.stopping && g.count == 0 {
		close(g.idle)
	}
}

func (g *gate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// stoppingRetryAfter is the Retry-After of a stopping VM's refusals. Other VMs can serve the
// request at once; without the field, callers would wait for their own usual time.
const stoppingRetryAfter = 50 * time.Millisecond

func errStopping() error {
	return verdict.New(verdict.NotRun, verdict.ReasonStopping, stoppingRetryAfter)
}

// finish makes the gate refuse each request that may last longer than end and was not sent yet,
// and ends the wait for the bodies of those.
func (g *gate) finish(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end = end
	for w := range g.waits {
		g.boundWait(w)
	}
}

// check returns an error if a request that ends at the latest at last may outlast the stop.
func (g *gate) check(last time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkLocked(last)
}

func (g *gate) checkLocked(last time.Time) error {
	if !g.end.IsZero() && last.After(g.end) {
		return errStopping()
	}
	return nil
}

// beginBody is called before a body is received. While the VM stops, the wait ends with the
// request's time.
func (g *gate) beginBody(w *bodyWait) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkLocked(w.last); err != nil {
		return err
	}
	if g.waits == nil {
		g.waits = make(map[*bodyWait]struct{})
	}
	g.waits[w] = struct{}{}
	if !g.end.IsZero() {
		g.boundWait(w)
	}
	return nil
}

// boundWait bounds a wait. The caller holds g.mu.
func (g *gate) boundWait(w *bodyWait) {
	if g.checkLocked(w.last) != nil {
		w.setDeadline(past)
		return
	}
	w.setDeadline(w.last)
}

// endBody is called after a body was received, or could not be. It reports whether the wait was
// bounded.
func (g *gate) endBody(w *bodyWait, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waits, w)
	if g.end.IsZero() {
		return false
	}
	if err == nil {
		// After an error, the server must not wait for the rest of the body either.
		w.setDeadline(time.Time{})
	}
	return true
}

// stop refuses new requests and waits until none is in flight or ctx is done. It
// returns the number still in flight.
func (g *gate) stop(ctx context.Context) int {
	g.mu.Lock()
	if !g.stopping {
		g.stopping = true
		g.idle = make(chan struct{})
		if g.count == 0 {
			close(g.idle)
		}
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
		return g.inFlight()
	}
}

// asError returns the *verdict.Error in err. Another error gets the cautious verdict
// MayHaveRun.
func asError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost)
}

// gatedSelector refuses requests that may outlast the stop, before they are sent.
type gatedSelector struct {
	Selector
	gate  *gate
	grace time.Duration
}

// Select implements Selector.
func (s *gatedSelector) Select(ctx context.Context, q *Query) (Selection, error) {
	last := q.Deadline.Add(s.grace)
	if err := s.gate.check(last); err != nil {
		return nil, err
	}
	selection, err := s.Selector.Select(ctx, q)
	if err != nil {
		return nil, err
	}
	// It may have waited for a slot.
	if err := s.gate.check(last); err != nil {
		selection.Done(Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonWithdrawn, Cancelled: true})
		return nil, err
	}
	return selection, nil
}

// AdmitTransit implements transitAdmitter.
func (s *gatedSelector) AdmitTransit(q *Query) error {
	if a, ok := s.Selector.(transitAdmitter); ok {
		return a.AdmitTransit(q)
	}
	return nil
}
