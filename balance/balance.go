// Package balance chooses an upstream instance for each request of one entry VM.
//
// An instance is shared by entry VMs that don't see one another's requests. The
// slots of all instances are therefore partitioned among the entry VMs: each one
// computes its own slots from the same asset register, the number of entry VMs and
// its rank among them. Requests use own slots first. A request that would wait too
// long borrows a slot of another entry VM, within a limit that adapts to the
// latency of borrowed work.
//
// The package has no I/O, goroutines, clock or random source of its own. A
// Balancer is not safe for concurrent use.
package balance

import (
	"math/rand/v2"
	"time"
)

// Config holds the options of a Balancer. Zero values select the defaults.
type Config struct {
	// ExpectedShort and ExpectedLong are the service times assumed until
	// requests have been observed. Defaults 20 ms and 600 ms.
	ExpectedShort, ExpectedLong time.Duration
	// LongSlots is the fraction of each instance's slots that long work may use
	// while short work needs the rest, 0 to 1. Default 0.65.
	LongSlots float64
	// LongLength is the declared length in bytes from which a request of unknown
	// class is long. Default 1 MiB.
	LongLength int64
	// LongFactor is the ratio of a route's mean latency to that of short work from
	// which its requests of unknown class are long. Default 8.
	LongFactor float64
	// HedgePercent limits hedged requests to a percentage of requests, at most 3.
	// Default 2; a negative value turns hedging off.
	HedgePercent float64
	// QueuePerSlot limits the queue of each class in the entry VM, in requests per
	// own slot. Default 8.
	QueuePerSlot int
	// RampTime is the time in which a cold instance reaches its full share of requests.
	// Default 10 s.
	RampTime time.Duration
	// ReportHalfLife is the age at which the weight of a load report has fallen to
	// half. Default 2 s.
	ReportHalfLife time.Duration
	// Timeout is the deadline of a request that has none. Default 10 s.
	Timeout time.Duration
}

// MaxHedgePercent is the upper bound of Config.HedgePercent.
const MaxHedgePercent = 3

func (c Config) withDefaults() Config {
	setDefault(&c.ExpectedShort, 20*time.Millisecond)
	setDefault(&c.ExpectedLong, 600*time.Millisecond)
	setDefault(&c.LongSlots, 0.65)
	setDefault(&c.LongLength, 1<<20)
	setDefault(&c.LongFactor, 8)
	setDefault(&c.HedgePercent, 2)
	setDefault(&c.QueuePerSlot, 8)
	setDefault(&c.RampTime, 10*time.Second)
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

// Request holds the properties of a request that the choice of an instance depends
// on.
type Request struct {
	// Class is the class configured for the route, or Unknown.
	Class Class
	// Route identifies the route whose service times are observed. Zero means none.
	Route uint64
	// Length is the declared length of the body in bytes, negative if unknown.
	Length int64
	// Idempotent requests may be hedged, and are preferred for probing an instance.
	Idempotent bool
	// Deadline is when the caller stops waiting. The zero time selects
	// Config.Timeout.
	Deadline time.Time
}

// Balancer chooses instances of one service for one entry VM.
type Balancer struct {
	cfg  Config
	rng  rand.PCG
	base time.Time // times are stored as nanoseconds since base

	instances []instance
	byID      map[string]int32
	own       []int32 // indexes of instances with own slots
	active    []int32 // indexes of instances that accept requests
	peers     int
	rank      int

	flights     []flight
	freeFlights []int32
	queues      [2]queue
	events      []Event
	scannedAt   int64 // when the queues were last searched for expired deadlines

	ownSlots, ownLong int32    // own slots on active instances, and those of them open to long work
	inFlight          [2]int32 // running attempts by class
	borrowed          [2]int32 // attempts in flight beyond the own slots
	borrowLimit       [2]float64
	meanSlots         float64 // mean number of slots per instance
	numSuspects       int     // active instances that are suspected
	isUnderPressure   bool
	borrowLimitCutAt  [2]int64 // when borrowLimit was last reduced

	nextProbe   int64
	shortPeak   float64 // recent peak demand of short work in slots
	shortPeakAt int64

	classEstimates [2]estimate
	routes         [routeTableSize]routeEstimate
	// hedgeFactor is the hedgeQuantile of the latency of short work, in multiples
	// of the mean.
	hedgeFactor            float64
	hedgeTokens            float64
	numHedges, numRequests uint64
}

// New returns a Balancer without instances. Entry VMs must use different seeds, so
// that they make different choices.
func New(cfg Config, seed uint64) *Balancer {
	b := &Balancer{cfg: cfg.withDefaults(), byID: make(map[string]int32), peers: 1, hedgeFactor: 4, hedgeTokens: 1}
	b.rng.Seed(seed, 0x9e3779b97f4a7c15)
	b.classEstimates[Short-1].mean = float64(b.cfg.ExpectedShort)
	b.classEstimates[Long-1].mean = float64(b.cfg.ExpectedLong)
	b.nextProbe = never
	return b
}

// never is later than any time that occurs.
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
