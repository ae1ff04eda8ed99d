package balance

import (
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// Pick starts a request on an instance, or keeps it waiting in the entry VM (see
// Ticket.Waiting), or refuses it with a *verdict.Error that says NotRun.
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
		return Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, noUpstreamRetry)
	}
	b.served++
	b.hedgeTokens = min(b.hedgeTokens+b.cfg.HedgePercent/100, hedgeBurst)
	c := b.classify(&r)
	if i := b.pickProbe(t, c, r.Idempotent); i != none {
		s := b.newFlight(&r, c, deadline)
		b.flights[s].probe = true
		b.instances[i].probing = true
		b.start(t, s, i)
		return b.ticket(s), nil
	}
	if b.queues[c-1].len() == 0 {
		if i := b.choose(t, c); i != none {
			s := b.newFlight(&r, c, deadline)
			b.start(t, s, i)
			return b.ticket(s), nil
		}
	}
	return b.enqueue(t, &r, c, deadline)
}

// noUpstreamRetry is about the time in which a change of the register arrives.
const noUpstreamRetry = 2 * time.Second

// pickProbe prefers reads, as they can be hedged when the instance is still slow.
func (b *Balancer) pickProbe(t int64, c Class, idempotent bool) int32 {
	if c != Short || t < b.nextProbe || (!idempotent && t < b.nextProbe+lastProbe) {
		return none
	}
	return b.probe(t)
}

// choose returns the instance for work of a class, or none if it has to wait.
func (b *Balancer) choose(t int64, c Class) int32 {
	if i := b.chooseOwn(t, c, none, false); i != none {
		return i
	}
	if c == Long && b.shortIdle(t) {
		if i := b.chooseOwn(t, c, none, true); i != none {
			return i
		}
	}
	if !b.mayBorrow(c) {
		return none
	}
	return b.chooseBorrowed(t, none)
}

// chooseOwn compares the first two instances with a free own slot, from a random
// position on. With spare, long work may use the slots for short work.
func (b *Balancer) chooseOwn(t int64, c Class, except int32, spare bool) int32 {
	n := len(b.own)
	if n == 0 {
		return none
	}
	first := int32(none)
	for k, at := 0, b.random(n); k < n; k, at = k+1, at+1 {
		if at == n {
			at = 0
		}
		i := b.own[at]
		in := &b.instances[i]
		if in.total() >= in.own || i == except || in.rampFrom != never && !b.admitCold(in, t) {
			continue
		}
		if c == Long && !spare && in.out[Long-1] >= in.ownLong || b.slow(in, t) {
			continue
		}
		if first == none {
			first = i
			continue
		}
		if b.load(in, t) < b.load(&b.instances[first], t) {
			return i
		}
		return first
	}
	return first
}

// admitCold lets a ramping instance be a candidate in proportion to its warmth, and
// not while it is paced, as it could be the only one with free slots.
func (b *Balancer) admitCold(in *instance, t int64) bool {
	const parts = 1 << 20
	return t >= in.pacedTo && b.random(parts) < int(b.warmth(in, t)*parts)
}

// load orders two candidates: own work in relation to own slots, and doubts.
func (b *Balancer) load(in *instance, t int64) float64 {
	return float64(in.total()+1)/float64(max(1, in.own)) + b.evidence(in, t) + 0.2*b.hint(in, t)
}

// shortIdle tells whether the slots for short work are more than it has needed
// lately, so that long work may use a spare one. The need fades within about the
// time for which long work would then hold the slot.
func (b *Balancer) shortIdle(t int64) bool {
	if b.queues[Short-1].len() > 0 {
		return false
	}
	idle := b.ownSlots - b.out[0] - b.out[1] + b.borrowed[0] + b.borrowed[1]
	return float64(idle-1) >= b.peak(t)-float64(b.out[Short-1])-negligible
}

const (
	// minPeakDecay is the least time in nanoseconds in which the recent need of
	// short work falls to a third.
	minPeakDecay = 1e9
	// negligible is a need in slots that keeps no slot free.
	negligible = 0.1
)

func (b *Balancer) peak(t int64) float64 {
	dt := float64(t-b.shortPeakT) / max(minPeakDecay, b.service[Long-1].mean)
	return b.shortPeak / (1 + dt + dt*dt)
}

func (b *Balancer) notePeak(t int64) {
	if need := float64(b.out[Short-1]) + float64(b.queues[Short-1].len()); need >= b.peak(t) {
		b.shortPeak, b.shortPeakT = need, t
	}
}
