// Package budget bounds retries per service and per caller, computes deadlines
// along the way and admits requests by deadline.
package budget

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// Defaults of Config.
const (
	DefaultRatio      = 0.1
	DefaultFloorEvery = 10 * time.Second
	DefaultBurst      = 3.0
	DefaultCallers    = 4096
)

// Config of a Retry. Zero values mean the defaults.
type Config struct {
	// Ratio is the retries allowed per request. Default 0.1, range 0 to 1.
	// Negative allows only the floor.
	Ratio float64
	// FloorEvery is the interval in which a service or caller may retry once
	// even when its requests earned less. Default 10 s.
	FloorEvery time.Duration
	// Burst is the most retries that are saved up. Default 3 retries: at the 9
	// requests/s that an entry VM of a small service sees, 10 were 2 % of the
	// requests of a minute.
	Burst float64
	// Callers bounds the callers that are remembered; the one unused for
	// longest is forgotten. Default 4096.
	Callers int
}

func (c *Config) defaults() {
	if c.Ratio == 0 {
		c.Ratio = DefaultRatio
	}
	c.Ratio = max(0, c.Ratio)
	if c.FloorEvery <= 0 {
		c.FloorEvery = DefaultFloorEvery
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Callers <= 0 {
		c.Callers = DefaultCallers
	}
}

// bucket holds the retry tokens of one service or caller.
type bucket struct {
	tokens float64
	// earned is what the requests of the current floor interval added. The
	// floor tops it up to one at the end of the interval, so that it adds
	// nothing at rates that earn a retry by themselves.
	earned  float64
	floorAt time.Time

	// requests, floors and retries are totals for the invariant.
	requests, floors, retries float64

	name       string
	prev, next *bucket // list of callers, the latest used first
}

func (b *bucket) advance(now time.Time, c *Config) {
	if b.floorAt.IsZero() {
		// The first retry of a quiet service or caller is always allowed.
		b.tokens, b.floors, b.floorAt = 1, 1, now
		return
	}
	if now.Sub(b.floorAt) < c.FloorEvery {
		return
	}
	if b.earned < 1 && b.tokens >= 0 && b.tokens < 1 {
		b.floors += 1 - b.tokens
		b.tokens = 1
	}
	b.earned, b.floorAt = 0, now
}

func (b *bucket) deposit(now time.Time, c *Config) {
	b.advance(now, c)
	b.requests++
	b.earned += c.Ratio
	b.tokens = min(max(c.Burst, 1), b.tokens+c.Ratio)
}

// rounding covers the error of summing the ratio many times.
const rounding = 1e-3

func (b *bucket) take(c *Config) {
	b.tokens--
	b.retries++
	allowed := c.Ratio*b.requests + b.floors
	if b.retries > allowed+rounding {
		invariant.Check(invariant.RetryWithin, false, "%q: %g retries, %g allowed", b.name, b.retries, allowed)
	}
}

// Retry is the retry budget of one entry VM. A retry costs a token of its
// service and of its caller, and each request earns both a fraction of one.
type Retry struct {
	cfg      Config
	services map[string]*bucket
	callers  map[string]*bucket
	recent   bucket // sentinel of the list of callers
}

// NewRetry returns an empty budget.
func NewRetry(cfg Config) *Retry {
	cfg.defaults()
	r := &Retry{cfg: cfg, services: make(map[string]*bucket), callers: make(map[string]*bucket)}
	r.recent.prev, r.recent.next = &r.recent, &r.recent
	return r
}

// SetBurst changes the most retries that are saved up.
func (r *Retry) SetBurst(burst float64) { r.cfg.Burst = max(1, burst) }

// SetRatio changes the retries allowed per request from now on, see
// rules.Rules.Retry.
func (r *Retry) SetRatio(ratio float64) {
	ratio = max(0, ratio)
	if ratio == r.cfg.Ratio {
		return
	}
	// The invariant counts from here, since earlier requests earned another ratio.
	for _, m := range []map[string]*bucket{r.services, r.callers} {
		for _, b := range m {
			b.requests, b.retries, b.floors = 0, 0, b.tokens
		}
	}
	r.cfg.Ratio = ratio
}

// Request counts a first attempt. Services must be those of the register, as
// they are kept for ever.
func (r *Retry) Request(now time.Time, service, caller string) {
	r.service(service).deposit(now, &r.cfg)
	r.caller(caller).deposit(now, &r.cfg)
}

// Allow takes a token for one retry, or returns an error with reason
// verdict.ReasonRetryBudget. The verdict is that of the failed attempt, which
// the refused retry does not change.
func (r *Retry) Allow(now time.Time, service, caller string, failed verdict.Verdict) *verdict.Error {
	s, c := r.service(service), r.caller(caller)
	s.advance(now, &r.cfg)
	c.advance(now, &r.cfg)
	if s.tokens < 1-rounding || c.tokens < 1-rounding {
		return verdict.New(failed, verdict.ReasonRetryBudget, r.cfg.FloorEvery)
	}
	s.take(&r.cfg)
	c.take(&r.cfg)
	return nil
}

// Hedged counts a hedged request, which is an extra request like a retry. Hedges
// have their own limit, so this one only delays later retries.
func (r *Retry) Hedged(now time.Time, service, caller string) {
	for _, b := range [2]*bucket{r.service(service), r.caller(caller)} {
		b.advance(now, &r.cfg)
		b.tokens = max(b.tokens-1, -r.cfg.Burst)
	}
}

func (r *Retry) service(name string) *bucket {
	b := r.services[name]
	if b == nil {
		b = &bucket{name: name}
		r.services[name] = b
	}
	return b
}

func (r *Retry) caller(name string) *bucket {
	b := r.callers[name]
	if b == nil {
		if len(r.callers) >= r.cfg.Callers {
			oldest := r.recent.prev
			oldest.unlink()
			delete(r.callers, oldest.name)
		}
		b = &bucket{name: name}
		r.callers[name] = b
	} else {
		b.unlink()
	}
	b.prev, b.next = &r.recent, r.recent.next
	b.prev.next, b.next.prev = b, b
	return b
}

func (b *bucket) unlink() { b.prev.next, b.next.prev = b.next, b.prev }

// Callers returns how many callers are remembered.
func (r *Retry) Callers() int { return len(r.callers) }
