package balance

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// none marks an index that is not set.
const none = -1

// Ticket identifies one attempt of a request. The zero value identifies none.
type Ticket struct {
	// Instance is the ID of the chosen instance, or "" while the request waits.
	Instance string
	slot     int32
	gen      uint32
}

// IsWaiting reports whether the request is queued in the entry VM; Tick starts or
// refuses it later.
func (t Ticket) IsWaiting() bool { return t.Instance == "" && t.gen != 0 }

// Key identifies the request of a waiting ticket in the events of Tick.
func (t Ticket) Key() uint64 { return uint64(t.gen)<<32 | uint64(uint32(t.slot)) }

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Answered means that the instance sent a complete response.
	Answered Outcome = iota
	// Refused means that the instance shed the request.
	Refused
	// ConnectFailed means that no connection could be opened.
	ConnectFailed
	// Lost means that the connection broke before the response was complete.
	Lost
	// Cancelled means that this VM abandoned the attempt: its deadline passed, the
	// caller disconnected, or another attempt was answered first.
	Cancelled
)

type state uint8

const (
	vacantFlight state = iota
	waiting
	running
)

// flight is the state of one attempt or queued request. Its index in
// Balancer.flights is the slot of its ticket.
type flight struct {
	gen          uint32
	state        state
	class        Class
	isIdempotent bool
	isProbe      bool
	isBorrowed   bool
	isHedge      bool  // second attempt
	isHedged     bool  // has or had a second attempt
	partner      int32 // the other attempt, or none
	instance     int32
	prev, next   int32 // flights on the same instance in the order of their start
	started      int64
	expected     float64 // latency in nanoseconds, 0 if not known
	deadline     int64
	route        uint64
}

func (b *Balancer) newFlight(r *Request, c Class, deadline int64) int32 {
	var s int32
	if n := len(b.freeFlights); n > 0 {
		s = b.freeFlights[n-1]
		b.freeFlights = b.freeFlights[:n-1]
	} else {
		b.flights = append(b.flights, flight{})
		s = int32(len(b.flights) - 1)
	}
	f := &b.flights[s]
	*f = flight{
		gen: f.gen + 1, class: c, isIdempotent: r.Idempotent, route: r.Route, deadline: deadline,
		partner: none, instance: none, prev: none, next: none,
	}
	return s
}

func (b *Balancer) releaseFlight(s int32) {
	f := &b.flights[s]
	f.state = vacantFlight
	if f.partner != none {
		b.flights[f.partner].partner = none
	}
	b.freeFlights = append(b.freeFlights, s)
}

func (b *Balancer) ticket(s int32) Ticket {
	f := &b.flights[s]
	t := Ticket{slot: s, gen: f.gen}
	if f.state == running {
		t.Instance = b.instances[f.instance].id
	}
	return t
}

// lookup returns the flight of a ticket, or nil when it has ended.
func (b *Balancer) lookup(t Ticket) *flight {
	if t.gen == 0 || int(t.slot) >= len(b.flights) {
		return nil
	}
	if f := &b.flights[t.slot]; f.gen == t.gen && f.state != vacantFlight {
		return f
	}
	return nil
}

// startFlight starts flight s on instance i.
func (b *Balancer) startFlight(t int64, s, i int32) {
	f, in := &b.flights[s], &b.instances[i]
	c := f.class - 1
	f.isBorrowed = in.total() >= in.own
	f.state, f.instance, f.started = running, i, t
	f.expected = b.expected(f.route, f.class)
	f.prev, f.next = in.newest, none
	if in.newest != none {
		b.flights[in.newest].next = s
	} else {
		in.oldest = s
	}
	in.newest = s
	in.inFlight[c]++
	b.inFlight[c]++
	if f.isBorrowed {
		b.borrowed[c]++
	}
	if in.rampStart != never {
		in.pacedUntil = t + int64(b.classEstimates[Short-1].mean/(b.rampFraction(in, t)*float64(max(1, in.own))))
	}
	b.updatePeak(t)
	if in.isDraining || in.isRemoved {
		invariant.Check(invariant.NoNewAfterDrain, false, "instance %s got a request while draining", in.id)
	}
	if in.total() > in.connectionLimit {
		invariant.Check(invariant.SlotsWithin, false, "instance %s has %d requests of %d", in.id, in.total(), in.connectionLimit)
	}
}

// Done reports the end of an attempt, or withdraws a queued request. Call Tick
// afterwards to start queued requests. A ticket that has already ended is ignored.
func (b *Balancer) Done(now time.Time, ticket Ticket, o Outcome) {
	t := b.ns(now)
	f := b.lookup(ticket)
	if f == nil {
		return
	}
	if f.state == waiting {
		b.queues[f.class-1].withdraw(ticket.slot)
		b.releaseFlight(ticket.slot)
		return
	}
	in := &b.instances[f.instance]
	c := f.class - 1
	b.unlink(in, ticket.slot)
	in.inFlight[c]--
	b.inFlight[c]--
	if f.isBorrowed {
		b.borrowed[c]--
	}
	if f.isProbe {
		in.hasProbe = false
	}
	b.recordOutcome(t, in, f, o)
	b.releaseFlight(ticket.slot)
}

func (b *Balancer) unlink(in *instance, s int32) {
	f := &b.flights[s]
	if f.prev != none {
		b.flights[f.prev].next = f.next
	} else {
		in.oldest = f.next
	}
	if f.next != none {
		b.flights[f.next].prev = f.prev
	} else {
		in.newest = f.prev
	}
}

// recordOutcome updates the estimates and the instance's suspicion score with the
// end of an attempt.
func (b *Balancer) recordOutcome(t int64, in *instance, f *flight, o Outcome) {
	latency := float64(t - f.started)
	relLatency := drift / gain // adds nothing to the score
	if f.expected > 0 {
		relLatency = latency / f.expected
	}
	// A cold instance is expected to be slower than the mean.
	relLatency *= 0.25 + 0.75*b.rampFraction(in, t)
	in.lastFailed = o != Answered && (in.lastFailed || o != Cancelled)
	switch o {
	case Answered:
		if !in.isSuspected {
			b.observe(f, latency)
		}
		if f.expected > 0 {
			b.updateHedgeFactor(f, relLatency)
		}
		b.addScore(in, t, gain*relLatency-drift)
		if f.partner != none && f.isHedge {
			// The first attempt started earlier and was still overtaken.
			b.addScore(&b.instances[b.flights[f.partner].instance], t, suspectAt+0.1)
		}
	case Refused, ConnectFailed, Lost:
		b.addScore(in, t, maxScore)
		relLatency = 2 * borrowSlowFactor
	case Cancelled:
		if !f.isHedge && !f.isHedged {
			b.addScore(in, t, max(0, gain*relLatency-drift))
		} else if f.isProbe && in.isSuspected {
			b.addScore(in, t, 0.1)
		}
	}
	if f.isBorrowed {
		b.adaptBorrowLimit(t, f.class, relLatency)
	}
}
