package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/proxy"
)

const (
	// toleranceShare is the part of Settings.ConfigTime for which a VM goes on with its records
	// although it knows that others have newer ones. Meanwhile these are on their way to it.
	toleranceShare = 0.4
	// catchUpTimeout bounds the wait of a request for newer records, from the moment at which this
	// VM first knew of them: a connection and two round trips between regions.
	catchUpTimeout = 500 * time.Millisecond
	// catchUpDelay is how long this VM may lack a change that another one has until it requests it
	// from that VM. As a rule its own source delivers it before.
	catchUpDelay = 400 * time.Millisecond
	// catchUpInterval is the time between two requests for newer records.
	catchUpInterval = 300 * time.Millisecond
	// statedTTL is how long the state of another VM counts if it is not stated again.
	statedTTL = 10 * time.Second
)

// currency decides whether this VM's records are as new as those by which other VMs decide. It
// is safe for concurrent use.
type currency struct {
	log    *slog.Logger
	uptime func() time.Duration
	// catchUp requests newer records from the VM at an address, or from the usual sources if
	// the address is empty.
	catchUp func(relay string)
	// tolerance returns how long the state of other VMs is not binding.
	tolerance func() time.Duration

	mu sync.Mutex
	// at is the position up to which this VM has all records, state that of its operators' last
	// change.
	at    history.Position
	state proxy.RoutesState
	// confirmedAt is the uptime as of which the store confirmed at.
	confirmedAt time.Duration
	// newest is the newest state of another VM that this VM lacks, or zero, and relay the
	// address of that VM.
	newest proxy.RoutesState
	relay  string
	// behindSince is the uptime at which it was first stated, and statedAt when it was last.
	behindSince, statedAt time.Duration
	// isBinding says that a caller has received an answer by newer records.
	isBinding   bool
	requestedAt time.Duration
	// isReported says that the log tells that this VM is behind.
	isReported bool
	// changed is closed at each change of at.
	changed chan struct{}
}

func newCurrency(log *slog.Logger, uptime func() time.Duration) *currency {
	return &currency{
		log: log, uptime: uptime, catchUp: func(string) {}, tolerance: func() time.Duration { return 0 },
		changed: make(chan struct{}),
	}
}

// setPosition records that this VM has all records up to a position, as of the uptime at which
// they were requested.
func (c *currency) setPosition(at history.Position, asOf time.Duration, isFromStore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = max(c.confirmedAt, asOf)
	if c.at.Before(at) {
		c.at = at
		close(c.changed)
		c.changed = make(chan struct{})
	}
	if c.newest.Version == 0 {
		return
	}
	switch {
	case !c.at.Before(c.newest.Position):
	case isFromStore && asOf > c.statedAt:
		// The store has no such record.
		event.RoutesRefuted.Log(c.log, "version", c.state.Version, "stated", c.newest.String(), "relay", c.relay)
	default:
		return
	}
	if c.isReported {
		event.RoutesCaughtUp.Log(c.log, "version", c.state.Version, "took_ms", (c.uptime() - c.behindSince).Milliseconds())
	}
	c.newest, c.isBinding, c.isReported = proxy.RoutesState{}, false, false
}

// setState records a change of the operators that is in force here.
func (c *currency) setState(change history.Position, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Position.Before(change) {
		c.state.Position = change
	}
	c.state.Version = max(c.state.Version, version)
}

// current returns the state of this VM.
func (c *currency) current() proxy.RoutesState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// isConfirmed reports whether the store has confirmed the records within a time.
func (c *currency) isConfirmed(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uptime()-c.confirmedAt <= within
}

// observe records the state of another VM.
func (c *currency) observe(s proxy.RoutesState, relay string) { c.record(s, relay, false) }

// bind records the state of another VM by which a caller of this VM has received an answer. From
// now on this VM must not decide by older records.
func (c *currency) bind(s proxy.RoutesState, relay string) { c.record(s, relay, true) }

func (c *currency) record(s proxy.RoutesState, relay string, isBinding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version == 0 || !c.at.Before(s.Position) {
		return
	}
	now := c.uptime()
	if c.newest.Version == 0 || now-c.statedAt > statedTTL {
		c.behindSince = now
		time.AfterFunc(catchUpDelay, c.requestIfBehind)
	}
	if !s.Position.Before(c.newest.Position) {
		c.newest, c.statedAt = s, now
		if relay != "" {
			c.relay = relay
		}
	}
	c.isBinding = c.isBinding || isBinding
	if c.isBinding || now-c.behindSince >= catchUpDelay {
		c.request(now)
	}
}

func (c *currency) requestIfBehind() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest.Version > 0 {
		c.request(c.uptime())
	}
}

// request requests newer records, unless it did lately. The lock is held.
func (c *currency) request(now time.Duration) {
	if c.requestedAt != 0 && now-c.requestedAt < catchUpInterval {
		return
	}
	c.requestedAt = now
	c.catchUp(c.relay)
}

// missing returns the position that this VM must reach before it decides, and until when a
// request may wait for it. least is the state by which another VM accepted the request, or
// zero. ok is false if nothing is missing.
func (c *currency) missing(least proxy.RoutesState) (at history.Position, until time.Duration, changed <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.uptime()
	since := now
	if c.newest.Version > 0 && now-c.statedAt <= statedTTL && (c.isBinding || now-c.behindSince > c.tolerance()) {
		at, since = c.newest.Position, c.behindSince
		if !c.isBinding {
			since += c.tolerance()
		}
	}
	if at.Before(least.Position) {
		at = least.Position
	}
	if !c.at.Before(at) {
		return at, 0, nil, false
	}
	if !c.isReported && at == c.newest.Position {
		c.isReported = true
		event.RoutesOutdated.Log(c.log, "version", c.state.Version, "newest", c.newest.Version, "relay", c.relay, "binding", c.isBinding)
	}
	c.request(now)
	return at, since + catchUpTimeout, c.changed, true
}

// await waits until this VM's records are new enough to decide about a request, or returns an
// error with the verdict NotRun.
func (c *currency) await(ctx context.Context, least proxy.RoutesState) error {
	for {
		at, until, changed, ok := c.missing(least)
		if !ok {
			return nil
		}
		timer := time.NewTimer(until - c.uptime())
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return c.outdated(ctx, at)
		case <-ctx.Done():
			timer.Stop()
			return c.outdated(ctx, at)
		}
	}
}

// outdated returns an error unless this VM has reached a position.
func (c *currency) outdated(ctx context.Context, at history.Position) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.at.Before(at) {
		return nil
	}
	return outdatedError(ctx)
}
