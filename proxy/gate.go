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
}

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
		return verdict.New(verdict.NotRun, verdict.ReasonStopping, time.Second)
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
