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
	// probeWorkers bounds the connections that are being opened at a time, and
	// probeQueue those that wait for it; what exceeds it is shown by the record.
	probeWorkers = 4
	probeQueue   = 64
	// probeAgain is how long an address is not probed again: all requests at a
	// process end together.
	probeAgain = 500 * time.Millisecond
	// probeTimeout bounds an attempt: the time to another region and back, twice.
	probeTimeout = 500 * time.Millisecond
)

// deathProbe finds out, after a connection was lost, whether its process died: then
// nothing listens at its address. A connection that opens is kept for requests, in
// the place of the one that was lost. It is safe for concurrent use.
type deathProbe struct {
	open func(ctx context.Context, address string) error
	died func(p crashguard.Process)

	queue chan probeTarget

	mu    sync.Mutex
	asked map[string]time.Time
}

type probeTarget struct {
	process crashguard.Process
	address string
}

func newDeathProbe(open func(context.Context, string) error, died func(crashguard.Process)) *deathProbe {
	return &deathProbe{open: open, died: died, queue: make(chan probeTarget, probeQueue), asked: make(map[string]time.Time)}
}

// ask has a process probed soon. It never blocks.
func (d *deathProbe) ask(now time.Time, p crashguard.Process, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.asked[address]) < probeAgain {
		return
	}
	for a, at := range d.asked {
		if now.Sub(at) >= probeAgain {
			delete(d.asked, a)
		}
	}
	select {
	case d.queue <- probeTarget{p, address}:
		d.asked[address] = now
	default:
	}
}

// run probes until the context ends.
func (d *deathProbe) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-d.queue:
			call, cancel := context.WithTimeout(ctx, probeTimeout)
			// Other errors show no death: the way there may be cut.
			if err := d.open(call, t.address); errors.Is(err, syscall.ECONNREFUSED) {
				d.died(t.process)
			}
			cancel()
		}
	}
}
