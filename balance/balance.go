// Package balance chooses an upstream instance for each request of one entry VM.
//
// An instance is shared by entry VMs that don't see one another's work. The slots
// of all instances are therefore dealt out: every entry VM computes, from the
// same asset register, the number of entry VMs and its own rank among them, which
// slots are its own. Work goes to own slots first; only what would wait too long
// borrows a slot of another entry VM, within a limit that adapts to how borrowed
// work fares.
//
// The package has no I/O, goroutines, clock or random source of its own. A
// Balancer is not safe for concurrent use.
package balance

import (
	"math/rand/v2"
	"time"
)

// Config holds the options of a Balancer. Zero values mean the defaults given.
type Config struct {
	// ExpectedShort and ExpectedLong are the service times assumed until
	// requests have been observed. Defaults 20 ms and 600 ms.
	ExpectedShort, ExpectedLong time.Duration
	// LongSlots is the part of each instance's slots that long work may use while
	// short work needs the rest, 0 to 1. Default 0.65.
	LongSlots float64
	// LongLength is the declared length in bytes from which a request of unknown
	// class is long. Default 1 MiB.
	LongLength int64
	// LongFactor is how many times longer than short work a route has to take
	// before its requests of unknown class are long. Default 8.
	LongFactor float64
	// HedgePercent bounds hedged requests as a percentage of requests, at most 3.
	// Default 2, negative turns hedging off.
	HedgePercent float64
	// QueuePerSlot bounds each class's queue in the entry VM, in requests per own
	// slot. Default 8.
	QueuePerSlot int
	// Ramp is how long a cold instance takes to its full share. Default 10 s.
	Ramp time.Duration
	// ReportHalfLife is the age at which a load report counts half. Default 2 s.
	ReportHalfLife time.Duration
	// Timeout is the deadline of a request that has none. Default 10 s.
	Timeout time.Duration
}

// MaxHedgePercent is the most that Config.HedgePercent can allow.
const MaxHedgePercent = 3

func (c Config) withDefaults() Config {
	setDefault(&c.ExpectedShort, 20*time.Millisecond)
	setDefault(&c.ExpectedLong, 600*time.Millisecond)
	setDefault(&c.LongSlots, 0.65)
	setDefault(&c.LongLength, 1<<20)
	setDefault(&c.LongFactor, 8)
	setDefault(&c.HedgePercent, 2)
	setDefault(&c.QueuePerSlot, 8)
	setDefault(&c.Ramp, 10*time.Second)
	setDefault(&c.ReportHalfLife, 2*time.Second)
	setDefault(&c.Timeout, 10*time.Second)
	c.HedgePercent = min(max(0, c.HedgePercent), MaxHedgePercent)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Request is what the choice depends on.
type Request struct {
	// Class is known by route, or Unknown.
	Class Class
	// Route identifies the route for observed service times. Zero means none.
	Route uint64
	// Length is the declared length of the body in bytes, negative if unknown.
	Length int64
	// Idempotent requests may be hedged and may probe an instance.
	Idempotent bool
	// Deadline is when the caller stops waiting. Zero means Config.Timeout.
	Deadline time.Time
}

// Balancer chooses instances of one service for one entry VM.
type Balancer struct {
	cfg  Config
	rng  rand.PCG
	base time.Time // times are held in nanoseconds since base

	instances []instance
	byID      map[string]int32
	own       []int32 // indexes of instances with own slots
	active    []int32 // indexes of instances that take work
	peers     int
	rank      int

	flights []flight
	free    []int32
	queues  [2]queue
	events  []Event
	scanned int64 // when the queues were last searched for passed deadlines

	ownSlots, ownLong int32    // own slots on active instances, and those open to long work
	out               [2]int32 // started and not done, by class
	borrowed          [2]int32 // part of out beyond own slots
	borrowLimit       [2]float64
	meanSlots         float64 // of the instances
	suspects          int     // active instances that are suspected
	pressed           bool
	borrowCut         [2]int64 // when the limit last shrank

	nextProbe  int64
	shortPeak  float64 // recent need of short work in slots
	shortPeakT int64

	service [2]estimate
	routes  [routeTable]routeEstimate
	// hedgeAt is the latency of short work, in multiples of the mean, that the
	// fraction hedgeQuantile stays below.
	hedgeAt        float64
	hedgeTokens    float64
	hedges, served uint64
}

// New returns a Balancer without instances. The seed has to differ between entry
// VMs, so that their choices differ.
func New(cfg Config, seed uint64) *Balancer {
	b := &Balancer{cfg: cfg.withDefaults(), byID: make(map[string]int32), peers: 1, hedgeAt: 4, hedgeTokens: 1}
	b.rng.Seed(seed, 0x9e3779b97f4a7c15)
	b.service[Short-1].mean = float64(b.cfg.ExpectedShort)
	b.service[Long-1].mean = float64(b.cfg.ExpectedLong)
	b.nextProbe = never
	return b
}

// never is later than every time of a run.
const never = int64(1) << 62

func (b *Balancer) ns(now time.Time) int64 {
	if b.base.IsZero() {
		b.base = now
	}
	return int64(now.Sub(b.base))
}

// random returns a number in [0, n).
func (b *Balancer) random(n int) int { return int((b.rng.Uint64() >> 33) * uint64(n) >> 31) }

// jitter returns a number in [0.5, 1.5).
func (b *Balancer) jitter() float64 { return 0.5 + float64(b.rng.Uint64()>>11)/(1<<53) }
