// Package lookup answers callers over HTTP and DNS which entry VMs to use. Both
// share one Core, which holds the snapshot of package steer behind an atomic
// pointer, the admission limit and the counters.
package lookup

import (
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/steer"
)

// DefaultMaxConcurrent is the admission limit of a Config that states none. A
// lookup takes about 10 us, so the last one admitted waits less than 5 ms on one
// core.
const DefaultMaxConcurrent = 512

// warnInterval bounds the rate of log lines that overload causes.
const warnInterval = 10 * time.Second

// Errors of Core.Lookup besides those of package steer.
var (
	// ErrNotReady means that the core has no snapshot yet.
	ErrNotReady = errors.New("lookup: no configuration yet")
	// ErrOverloaded means that the admission limit is reached.
	ErrOverloaded = errors.New("lookup: too many lookups at once")
)

// Config configures a Core.
type Config struct {
	// MaxConcurrent bounds the lookups that are admitted at once over both
	// protocols. Zero means DefaultMaxConcurrent.
	MaxConcurrent int
	// Scope counts the outcomes. Nil counts them only for Core.Counts.
	Scope tally.Scope
	// Log receives events. Nil logs nothing.
	Log *slog.Logger
}

// Core is shared by the HTTP handler and the DNS server. Its methods are safe
// for concurrent use.
type Core struct {
	snapshot atomic.Pointer[steer.Snapshot]
	limit    int64
	log      *slog.Logger
	inFlight atomic.Int64
	counts   [protocols][outcomes]atomic.Int64
	counters [protocols][outcomes]tally.Counter
	warned   [2]atomic.Int64
}

// NewCore returns a core without a snapshot, which refuses every lookup.
func NewCore(cfg Config) *Core {
	if cfg.MaxConcurrent <= 0 {
		cfg.MaxConcurrent = DefaultMaxConcurrent
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	c := &Core{limit: int64(cfg.MaxConcurrent), log: cfg.Log}
	for p := range protocols {
		for o := range outcomes {
			c.counters[p][o] = cfg.Scope.Tagged(map[string]string{"protocol": p.String(), "outcome": o.String()}).Counter("lookups")
		}
	}
	return c
}

// Set puts a snapshot in force. Nil makes the core refuse every lookup.
func (c *Core) Set(s *steer.Snapshot) { c.snapshot.Store(s) }

// Snapshot returns the snapshot in force, or nil.
func (c *Core) Snapshot() *steer.Snapshot { return c.snapshot.Load() }

// Lookup answers from the snapshot in force. It does not count.
func (c *Core) Lookup(caller netip.Addr, service string) (steer.Answer, error) {
	s := c.snapshot.Load()
	if s == nil {
		return steer.Answer{}, ErrNotReady
	}
	a, err := s.Lookup(caller, service)
	if errors.Is(err, steer.ErrNoVM) {
		c.warn(0, event.LookupNoVM)
	}
	return a, err
}

// Count returns how often a protocol had an outcome.
func (c *Core) Count(p Protocol, o Outcome) int64 { return c.counts[p][o].Load() }

func (c *Core) count(p Protocol, o Outcome) {
	c.counts[p][o].Add(1)
	c.counters[p][o].Inc(1)
}

// enter counts a request as waiting or running, until leave.
func (c *Core) enter() { c.inFlight.Add(1) }
func (c *Core) leave() { c.inFlight.Add(-1) }

// overloaded tells whether more requests wait or run than the limit allows.
func (c *Core) overloaded() bool {
	if c.inFlight.Load() <= c.limit {
		return false
	}
	c.warn(1, event.LookupOverloaded, "limit", c.limit)
	return true
}

// warn logs an event unless it was logged within the last warnInterval.
func (c *Core) warn(slot int, e event.Event, args ...any) {
	now := time.Now().UnixNano()
	last := c.warned[slot].Load()
	if now-last >= int64(warnInterval) && c.warned[slot].CompareAndSwap(last, now) {
		e.Log(c.log, args...)
	}
}

// Protocol is how a lookup came.
type Protocol uint8

// Protocols of lookups.
const (
	HTTP Protocol = iota
	DNS
	protocols
)

func (p Protocol) String() string { return [protocols]string{"http", "dns"}[p] }

// Outcome is how a lookup ended.
type Outcome uint8

// Outcomes of lookups. Each is a counter for each protocol.
const (
	Answered Outcome = iota
	// Truncated is a DNS answer that was cut to the size that UDP allows.
	Truncated
	// NoData is a DNS name that exists without records of the type.
	NoData
	UnknownService
	Malformed
	// OutsideZone is a DNS name or class that the server does not serve.
	OutsideZone
	// NotImplemented is a DNS opcode, EDNS version or HTTP method that the
	// server does not support.
	NotImplemented
	NotReady
	NoVM
	Overloaded
	// Dropped is a DNS message that got no response: a response itself, a
	// message without a whole header, or one beyond four times the limit.
	Dropped
	outcomes
)

func (o Outcome) String() string {
	return [outcomes]string{
		"answered", "truncated", "no-data", "unknown-service", "malformed", "outside-zone",
		"not-implemented", "not-ready", "no-vm", "overloaded", "dropped",
	}[o]
}

// outcomeOf classes an error of Core.Lookup.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Answered
	case errors.Is(err, steer.ErrUnknownService):
		return UnknownService
	case errors.Is(err, steer.ErrBadCaller):
		return Malformed
	case errors.Is(err, steer.ErrNoVM):
		return NoVM
	case errors.Is(err, ErrOverloaded):
		return Overloaded
	default:
		return NotReady
	}
}
