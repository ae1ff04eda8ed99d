package balance

import (
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// Pick starts a request on an instance, queues it in the entry VM (see
// Ticket.IsWaiting), or refuses it with a *verdict.Error whose verdict is NotRun.
func (b *Balancer) Pick(now time.Time, r Request) (Ticket, error) {
	t := b.ns(now)
	deadline := t + int64(b.cfg.Timeout)
	if !r.Deadline.IsZero() {
		deadline = b.ns(r.Deadline)
	}
	if deadline <= t {
		return Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonDeadline, 0)
	}
	if len(b.active) == 0 {
		return Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, noUpstreamRetryAfter)
	}
	b.numRequests++
	b.hedgeTokens = min(b.hedgeTokens+b.cfg.HedgePercent/100, hedgeBurst)
	c := b.classify(&r)
	if i := b.pickProbe(t, c, r.Idempotent); i != none {
		s := b.newFlight(&r, c, deadline)
		b.flights[s].isProbe = true
		b.instances[i].hasProbe = true
		b.startFlight(t, s, i)
		return b.ticket(s), nil
	}
	if b.queues[c-1].len() == 0 {
		if i := b.choose(t, c); i != none {
			s := b.newFlight(&r, c, deadline)
			b.startFlight(t, s, i)
			return b.ticket(s), nil
		}
	}
	return b.enqueue(t, &r, c, deadline)
}

// noUpstreamRetryAfter is about the time that a change of the register takes to
// arrive.
const noUpstreamRetryAfter = 2 * time.Second

// pickProbe returns the instance that the request should probe, or none. Short idempotent
// requests are preferred, as they can be hedged when the instance is still slow, and long
// ones come last, as they take long to show anything. Others probe if none of these comes.
func (b *Balancer) pickProbe(t int64, c Class, idempotent bool) int32 {
	var delay int64
	if !idempotent {
		delay = maxProbeInterval
	}
	if c == Long {
		delay = 2 * maxProbeInterval
	}
	if b.nextProbe == never || t < b.nextProbe+delay {
		return none
	}
	return b.dueProbe(t)
}

// choose returns the instance for a request of a class, or none if it has to wait.
func (b *Balancer) choose(t int64, c Class) int32 {
	if i := b.chooseOwn(t, c, none, false); i != none {
		return i
	}
	if c == Long && b.hasSpareShortSlot(t) {
		if i := b.chooseOwn(t, c, none, true); i != none {
			return i
		}
	}
	if !b.canBorrow(c) {
		return none
	}
	return b.chooseBorrowed(t, none)
}

// chooseOwn compares the first two instances with a free own slot, starting at a
// random position. If spare is set, long work may use the slots for short work.
func (b *Balancer) chooseOwn(t int64, c Class, except int32, allowSpare bool) int32 {
	n := len(b.own)
	if n == 0 {
		return none
	}
	candidate := int32(none)
	for k, at := 0, b.random(n); k < n; k, at = k+1, at+1 {
		if at == n {
			at = 0
		}
		i := b.own[at]
		in := &b.instances[i]
		if in.total() >= in.own || i == except || in.rampStart != never && !b.admitRamping(in, t) {
			continue
		}
		if c == Long && !allowSpare && in.inFlight[Long-1] >= in.ownLong || b.isSlow(in, t) {
			continue
		}
		if candidate == none {
			candidate = i
			continue
		}
		if b.load(in, t) < b.load(&b.instances[candidate], t) {
			return i
		}
		return candidate
	}
	return candidate
}

// admitRamping reports whether a ramping instance is a candidate: with a probability
// of its ramp fraction, and never before pacedUntil, as it could be the only instance
// with free slots.
func (b *Balancer) admitRamping(in *instance, t int64) bool {
	const parts = 1 << 20
	return t >= in.pacedUntil && b.random(parts) < int(b.rampFraction(in, t)*parts)
}

// load is the cost by which two candidates are compared: this VM's requests per own
// slot, the suspicion score and the reported load.
func (b *Balancer) load(in *instance, t int64) float64 {
	return float64(in.total()+1)/float64(max(1, in.own)) + b.suspicionScore(in, t) + 0.2*b.agedReportLoad(in, t)
}

// hasSpareShortSlot reports whether more slots are free than short work has recently
// needed, so that long work may use one. The recent need decays within about the
// time for which long work would occupy the slot.
func (b *Balancer) hasSpareShortSlot(t int64) bool {
	if b.queues[Short-1].len() > 0 {
		return false
	}
	idle := b.ownSlots - b.inFlight[0] - b.inFlight[1] + b.borrowed[0] + b.borrowed[1]
	return float64(idle-1) >= b.decayedPeak(t)-float64(b.inFlight[Short-1])-negligibleNeed
}

const (
	// minPeakDecay is the shortest time in nanoseconds in which the recent need of
	// short work decays to a third.
	minPeakDecay = 1e9
	// negligibleNeed is the need in slots up to which no slot is kept free.
	negligibleNeed = 0.1
)

func (b *Balancer) decayedPeak(t int64) float64 {
	dt := float64(t-b.shortPeakAt) / max(minPeakDecay, b.classEstimates[Long-1].mean)
	return b.shortPeak / (1 + dt + dt*dt)
}

func (b *Balancer) updatePeak(t int64) {
	if need := float64(b.inFlight[Short-1]) + float64(b.queues[Short-1].len()); need >= b.decayedPeak(t) {
		b.shortPeak, b.shortPeakAt = need, t
	}
}
