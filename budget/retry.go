// Package budget bounds retries per service and per caller, computes the deadline for
// each hop and admits requests by deadline.
package budget

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// Defaults of Config.
const (
	DefaultRatio         = 0.1
	DefaultFloorInterval = 10 * time.Second
	DefaultBurst         = 3.0
	DefaultCallers       = 4096
)

// Config configures a Retry. Zero values select the defaults.
type Config struct {
	// Ratio is the number of retries allowed per request. Default 0.1, range 0 to 1. A
	// negative ratio allows only the retries of FloorInterval.
	Ratio float64
	// FloorInterval is the interval in which a service or caller may retry once even if its
	// requests earned less than one retry. Default 10 s.
	FloorInterval time.Duration
	// Burst bounds the retries that can be saved up. Default 3: at the 9 requests/s of an
	// entry VM of a small service, a burst of 10 would be 2 % of the requests of a minute.
	Burst float64
	// Callers bounds the callers that are remembered. The least recently used one is
	// forgotten. Default 4096.
	Callers int
}

func (c *Config) defaults() {
	if c.Ratio == 0 {
		c.Ratio = DefaultRatio
	}
	c.Ratio = max(0, c.Ratio)
	if c.FloorInterval <= 0 {
		c.FloorInterval = DefaultFloorInterval
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
	// earned is the number of tokens added by the requests of the current floor interval.
	// If it is less than one, the end of the interval tops the tokens up to one. The floor
	// therefore adds nothing at rates that earn a retry by themselves.
	earned  float64
	floorAt time.Time

	// requests, floors and retries are totals for the invariant RetryWithin.
	requests, floors, retries float64

	name       string
	prev, next *bucket // list of callers, most recently used first
}

func (b *bucket) applyFloor(now time.Time, c *Config) {
	if b.floorAt.IsZero() {
		// The first retry of a service or caller is always allowed.
		b.tokens, b.floors, b.floorAt = 1, 1, now
		return
	}
	if now.Sub(b.floorAt) < c.FloorInterval {
		return
	}
	if b.earned < 1 && b.tokens >= 0 && b.tokens < 1 {
		b.floors += 1 - b.tokens
		b.tokens = 1
	}
	b.earned, b.floorAt = 0, now
}

func (b *bucket) deposit(now time.Time, c *Config) {
	b.applyFloor(now, c)
	b.requests++
	b.earned += c.Ratio
	b.tokens = min(max(c.Burst, 1), b.tokens+c.Ratio)
}

// roundingTolerance allows for the error of adding the ratio many times.
const roundingTolerance = 1e-3

func (b *bucket) take(c *Config) {
	b.tokens--
	b.retries++
	allowed := c.Ratio*b.requests + b.floors
	if b.retries > allowed+roundingTolerance {
		invariant.Check(invariant.RetryWithin, false, "%q: %g retries, %g allowed", b.name, b.retries, allowed)
	}
}

// Retry is the retry budget of one entry VM. A retry costs one token of its service and
// one of its caller. Each request earns Ratio tokens for both.
type Retry struct {
	cfg Config
	// usable bounds the saved retries that may be used.
	usable       float64
	services     map[string]*bucket
	callers      map[string]*bucket
	callersByUse bucket // sentinel of the list of callers
}

// NewRetry returns an empty budget.
func NewRetry(cfg Config) *Retry {
	cfg.defaults()
	r := &Retry{cfg: cfg, usable: math.Inf(1), services: make(map[string]*bucket), callers: make(map[string]*bucket)}
	r.callersByUse.prev, r.callersByUse.next = &r.callersByUse, &r.callersByUse
	return r
}

// SetBurst changes the bound on saved retries, and how many of these may be used at present. Saved
// retries beyond usable are lost only when a retry is asked for.
func (r *Retry) SetBurst(burst, usable float64) {
	r.cfg.Burst, r.usable = max(1, burst), max(1, usable)
}

// SetRatio changes the number of retries allowed per request from now on, see
// rules.Rules.Retry.
func (r *Retry) SetRatio(ratio float64) {
	ratio = max(0, ratio)
	if ratio == r.cfg.Ratio {
		return
	}
	// The totals of the invariant start again, since earlier requests earned another
	// ratio.
	for _, m := range []map[string]*bucket{r.services, r.callers} {
		for _, b := range m {
			b.requests, b.retries, b.floors = 0, 0, b.tokens
		}
	}
	r.cfg.Ratio = ratio
}

// RecordRequest counts a first attempt. The service must be one of the register, since
// services are never forgotten.
func (r *Retry) RecordRequest(now time.Time, service, caller string) {
	r.service(service).deposit(now, &r.cfg)
	r.caller(caller).deposit(now, &r.cfg)
}

// Allow takes tokens for one retry, or returns an error with reason
// verdict.ReasonRetryBudget and the verdict of the failed attempt.
func (r *Retry) Allow(now time.Time, service, caller string, failed verdict.Verdict) *verdict.Error {
	s, c := r.service(service), r.caller(caller)
	s.applyFloor(now, &r.cfg)
	c.applyFloor(now, &r.cfg)
	s.tokens, c.tokens = min(s.tokens, r.usable), min(c.tokens, r.usable)
	if s.tokens < 1-roundingTolerance || c.tokens < 1-roundingTolerance {
		return verdict.New(failed, verdict.ReasonRetryBudget, r.cfg.FloorInterval)
	}
	s.take(&r.cfg)
	c.take(&r.cfg)
	return nil
}

// RecordHedge charges a hedged request, which is an extra request like a retry. Hedges
// have a limit of their own, so they are not refused here and only delay later retries.
func (r *Retry) RecordHedge(now time.Time, service, caller string) {
	for _, b := range [2]*bucket{r.service(service), r.caller(caller)} {
		b.applyFloor(now, &r.cfg)
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
			oldest := r.callersByUse.prev
			oldest.unlink()
			delete(r.callers, oldest.name)
		}
		b = &bucket{name: name}
		r.callers[name] = b
	} else {
		b.unlink()
	}
	b.prev, b.next = &r.callersByUse, r.callersByUse.next
	b.prev.next, b.next.prev = b, b
	return b
}

func (b *bucket) unlink() { b.prev.next, b.next.prev = b.next, b.prev }

// Callers returns the number of callers that are remembered.
func (r *Retry) Callers() int { return len(r.callers) }
