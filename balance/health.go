package balance

import "math"

// health is this VM's estimate of an instance's health from its own requests.
//
// The suspicion score is a cumulative sum (CUSUM) of log-likelihood ratios between
// service that is slowFactor times slower and normal service, for exponentially
// distributed times. A completed request adds gain*x - drift, where x is
// its latency divided by the mean; a running one adds gain*x. One request that
// takes seven times the mean is enough to suspect the instance, as are several that
// take three times the mean.
type health struct {
	score       float64
	scoreAt     int64
	isSuspected bool
	// lastFailed means that the last attempt that ended on the instance was refused
	// or its connection failed.
	lastFailed bool
	hasProbe   bool
	probeAt    int64 // when a suspected instance is next probed
	backoff    int64
}

const (
	slowFactor = 6.0
	gain       = 1 - 1/slowFactor
	suspectAt  = 3.5
	// maxScore limits the successful probes that a recovery takes to about three.
	maxScore = 6.0
	// Intervals between probes, in nanoseconds. The first probe follows soon, as
	// most suspicions come from a single long request; later ones are rarer, as each
	// one makes a request that is probably slow.
	minProbeInterval = 150e6
	maxProbeInterval = 1000e6
	// Each probe of an instance that refuses requests causes a retry. At one probe
	// per second and VM these took 40 % of the requests of a small service.
	maxFailedProbeInterval = 10e9
)

var drift = math.Log(slowFactor)

// suspicionScore returns the score including the oldest request in flight.
func (b *Balancer) suspicionScore(in *instance, t int64) float64 {
	score := in.decayedScore(t)
	if in.oldest == none {
		return score
	}
	f := &b.flights[in.oldest]
	if f.expected <= 0 {
		return score
	}
	return score + gain*float64(t-f.started)/f.expected
}

// scoreDecayTime is the time in nanoseconds in which the score of an instance that
// is not suspected falls to zero. Without decay, an instance that lost comparisons
// because of its score would get no work at low load and never improve its score.
const scoreDecayTime = 2e9

func (h *health) decayedScore(t int64) float64 {
	if h.isSuspected || h.score == 0 {
		return h.score
	}
	return h.score * min(1, max(0, 1-float64(t-h.scoreAt)/scoreDecayTime))
}

// threshold is the score above which an instance is suspected. It grows
// with the requests in flight, since the longest of n exponentially distributed
// times exceeds a bound about n times as often as a single one.
func (h *health) threshold(n int32) float64 { return suspectAt + gain*math.Log(float64(max(1, n))) }

// isSlow reports whether an instance gets no ordinary work because it is suspected.
// When more than half of the instances are suspected, a few slow instances are not
// the cause, and avoiding the suspected ones would only overload the rest.
func (b *Balancer) isSlow(in *instance, t int64) bool {
	if in.isSuspected && in.lastFailed {
		// An instance that fails at once always has free slots, and would attract
		// all queued work.
		return !b.allFailed()
	}
	if 2*b.numSuspects > len(b.active) || b.isUnderPressure {
		return false
	}
	e := b.suspicionScore(in, t)
	return in.isSuspected || e > suspectAt && e > in.threshold(in.total())
}

// allFailed reports whether every active instance is suspected and fails requests.
func (b *Balancer) allFailed() bool {
	for _, i := range b.active {
		if in := &b.instances[i]; !in.isSuspected || !in.lastFailed {
			return false
		}
	}
	return true
}

// SetUnderPressure sets whether requests wait for admission outside the Balancer, or are
// about to, so that every slot is needed. While set, no hedges start, and instances
// that are only suspected to be slow get work like others: near saturation most
// suspicions come from long requests, and avoiding the instances slows down the
// remaining ones too.
func (b *Balancer) SetUnderPressure(underPressure bool) { b.isUnderPressure = underPressure }

// addScore adds to the score of an instance, decides whether it is suspected and
// schedules its next probe.
func (b *Balancer) addScore(in *instance, t int64, amount float64) {
	in.score, in.scoreAt = min(max(0, in.decayedScore(t)+amount), maxScore), t
	was := in.isSuspected
	in.isSuspected = in.score > suspectAt && in.score > in.threshold(in.total()+1)
	switch {
	case in.isSuspected && (!was || amount > 0):
		switch {
		case !was:
			in.backoff = minProbeInterval
		case in.lastFailed:
			in.backoff = min(4*in.backoff, maxFailedProbeInterval)
		default:
			in.backoff = min(2*in.backoff, maxProbeInterval)
		}
		// The jitter prevents entry VMs from probing at the same time.
		in.probeAt = t + int64(float64(in.backoff)*b.jitter())
	case in.isSuspected:
		in.probeAt = t
	default:
		in.probeAt = never
	}
	if in.isSuspected != was {
		b.countSuspects()
	}
	b.nextProbe = min(b.nextProbe, in.probeAt)
}

func (b *Balancer) countSuspects() {
	b.numSuspects = 0
	for _, i := range b.active {
		if b.instances[i].isSuspected {
			b.numSuspects++
		}
	}
}

// scheduleProbe sets the time of the next probe from the active instances, some of
// which may have become suspected while they were not active.
func (b *Balancer) scheduleProbe() {
	b.nextProbe = never
	for _, i := range b.active {
		if in := &b.instances[i]; in.isSuspected && !in.hasProbe {
			b.nextProbe = min(b.nextProbe, in.probeAt)
		}
	}
}

// dueProbe returns a suspected instance whose probe is due, or none. Each VM probes
// an instance with one request at a time.
func (b *Balancer) dueProbe(t int64) int32 {
	if t < b.nextProbe {
		return none
	}
	found := int32(none)
	b.nextProbe = never
	for _, i := range b.active {
		in := &b.instances[i]
		if !in.isSuspected || in.hasProbe {
			continue
		}
		if found == none && in.probeAt <= t && in.total() < in.connectionLimit {
			found = i
			continue
		}
		b.nextProbe = min(b.nextProbe, in.probeAt)
	}
	return found
}
