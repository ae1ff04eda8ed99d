package balance

import "math"

// health is what this VM concludes of an instance from its own requests.
//
// The score is a cumulative sum of log-likelihood ratios between service that is
// spellFactor times slower and normal service, for exponentially distributed
// times. A completed request counts gain*x - cost, where x is its latency over
// the mean; one that is still running counts gain*x. One request that takes seven
// times the mean is enough to suspect the instance, as are several that take three
// times the mean.
type health struct {
	score   float64
	scoreAt int64
	suspect bool
	// failed means that the last attempt to end here was refused or broke.
	failed  bool
	probing bool
	probeAt int64 // when a suspected instance is next tried
	backoff int64
}

const (
	spellFactor = 6.0
	gain        = 1 - 1/spellFactor
	suspectAt   = 3.5
	// maxScore bounds how many good probes a recovery takes: about three.
	maxScore = 6.0
	// The first probe follows soon, as most suspicions are a single long request;
	// later ones are rarer, as each one costs a request that is likely slow.
	firstProbe = 150e6
	lastProbe  = 1000e6
	// An instance that refuses costs a retry for each probe. With a probe per
	// second and VM, those took 40 % of the requests of a small service.
	lastFailedProbe = 10e9
)

var cost = math.Log(spellFactor)

// evidence returns the score with the oldest request in flight counted in.
func (b *Balancer) evidence(in *instance, t int64) float64 {
	score := in.doubt(t)
	if in.oldest == none {
		return score
	}
	f := &b.flights[in.oldest]
	if f.expected <= 0 {
		return score
	}
	return score + gain*float64(t-f.started)/f.expected
}

// doubtDecay is the time in which the score of an instance that is not suspected
// falls to zero. Without it, an instance that lost comparisons because of its score would
// get no work at low load and so never improve its score.
const doubtDecay = 2e9

func (h *health) doubt(t int64) float64 {
	if h.suspect || h.score == 0 {
		return h.score
	}
	return h.score * min(1, max(0, 1-float64(t-h.scoreAt)/doubtDecay))
}

// threshold is the score from which an instance is suspected. It grows with the
// requests in flight, since the longest of n exponential times exceeds a bound n
// times as often as one of them.
func (h *health) threshold(n int32) float64 { return suspectAt + gain*math.Log(float64(max(1, n))) }

// slow tells whether an instance gets no ordinary work. When half of the
// instances are suspected, the cause is not a few of them, and avoiding them
// would only overload the rest.
func (b *Balancer) slow(in *instance, t int64) bool {
	if in.suspect && in.failed {
		// One that fails at once would draw all work that waits for a slot.
		return !b.allFailed()
	}
	if 2*b.suspects > len(b.active) || b.pressed {
		return false
	}
	e := b.evidence(in, t)
	return in.suspect || e > suspectAt && e > in.threshold(in.total())
}

// allFailed tells whether no active instance is left that does not fail.
func (b *Balancer) allFailed() bool {
	for _, i := range b.active {
		if in := &b.instances[i]; !in.suspect || !in.failed {
			return false
		}
	}
	return true
}

// SetPressed tells that requests wait outside for room, or are about to, so that
// every slot is needed. No hedges start meanwhile. Instances that are only
// suspected to be slow then get work like others: near saturation most suspicions
// are long requests, and avoiding the instances makes the remaining ones slow too.
func (b *Balancer) SetPressed(on bool) { b.pressed = on }

// learn adds to the score of an instance.
func (b *Balancer) learn(in *instance, t int64, amount float64) {
	in.score, in.scoreAt = min(max(0, in.doubt(t)+amount), maxScore), t
	was := in.suspect
	in.suspect = in.score > suspectAt && in.score > in.threshold(in.total()+1)
	switch {
	case in.suspect && (!was || amount > 0):
		switch {
		case !was:
			in.backoff = firstProbe
		case in.failed:
			in.backoff = min(4*in.backoff, lastFailedProbe)
		default:
			in.backoff = min(2*in.backoff, lastProbe)
		}
		// The jitter keeps entry VMs from probing at the same time.
		in.probeAt = t + int64(float64(in.backoff)*b.jitter())
	case in.suspect:
		in.probeAt = t
	default:
		in.probeAt = never
	}
	if in.suspect != was {
		b.countSuspects()
	}
	b.nextProbe = min(b.nextProbe, in.probeAt)
}

func (b *Balancer) countSuspects() {
	b.suspects = 0
	for _, i := range b.active {
		if b.instances[i].suspect {
			b.suspects++
		}
	}
}

// scheduleProbe finds the next probe among the active instances, some of which
// may have been suspected while they were not active.
func (b *Balancer) scheduleProbe() {
	b.nextProbe = never
	for _, i := range b.active {
		if in := &b.instances[i]; in.suspect && !in.probing {
			b.nextProbe = min(b.nextProbe, in.probeAt)
		}
	}
}

// probe returns a suspected instance that is due for a trial request, or none.
// Every VM probes an instance with one request at a time.
func (b *Balancer) probe(t int64) int32 {
	if t < b.nextProbe {
		return none
	}
	found := int32(none)
	b.nextProbe = never
	for _, i := range b.active {
		in := &b.instances[i]
		if !in.suspect || in.probing {
			continue
		}
		if found == none && in.probeAt <= t && in.total() < in.limit {
			found = i
			continue
		}
		b.nextProbe = min(b.nextProbe, in.probeAt)
	}
	return found
}
