package entry

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
)

const (
	// probeWorkers bounds the number of concurrent probes, and probeQueueLength the
	// number of waiting ones. Probes beyond that are dropped; the instance's record shows
	// the crash later.
	probeWorkers     = 4
	probeQueueLength = 64
	// minProbeInterval is the minimum time between probes of one address: all requests
	// to a process fail at the same time when it crashes.
	minProbeInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe: two round trips to another region.
	probeTimeout = 500 * time.Millisecond
)

// crashProbe checks, after a connection was lost, whether the process crashed: then its
// address refuses connections. A connection that opens is kept for later requests and
// replaces the lost one. It is safe for concurrent use.
type crashProbe struct {
	open    func(ctx context.Context, address string) error
	onCrash func(p crashguard.Process, address string)

	queue chan probeTarget

	mu       sync.Mutex
	queuedAt map[string]time.Time
}

type probeTarget struct {
	process crashguard.Process
	address string
}

func newCrashProbe(open func(context.Context, string) error, onCrash func(p crashguard.Process, address string)) *crashProbe {
	return &crashProbe{open: open, onCrash: onCrash, queue: make(chan probeTarget, probeQueueLength), queuedAt: make(map[string]time.Time)}
}

// enqueue queues a probe of a process. It never blocks.
func (c *crashProbe) enqueue(now time.Time, p crashguard.Process, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.queuedAt[address]) < minProbeInterval {
		return
	}
	for a, at := range c.queuedAt {
		if now.Sub(at) >= minProbeInterval {
			delete(c.queuedAt, a)
		}
	}
	select {
	case c.queue <- probeTarget{p, address}:
		c.queuedAt[address] = now
	default:
	}
}

// run executes queued probes until the context ends.
func (c *crashProbe) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-c.queue:
			call, cancel := context.WithTimeout(ctx, probeTimeout)
			// Other errors don't prove a crash: the network path may be cut.
			if err := c.open(call, t.address); errors.Is(err, syscall.ECONNREFUSED) {
				c.onCrash(t.process, t.address)
			}
			cancel()
		}
	}
}
