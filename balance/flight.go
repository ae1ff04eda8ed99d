package balance

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// none is the absence of an index.
const none = -1

// Ticket stands for one attempt of a request. Its zero value stands for none.
type Ticket struct {
	// Instance is the ID of the chosen instance, or "" while the request waits.
	Instance string
	slot     int32
	gen      uint32
}

// Waiting tells whether the request waits in the entry VM; Tick starts or refuses
// it later.
func (t Ticket) Waiting() bool { return t.Instance == "" && t.gen != 0 }

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
	// Cancelled means that this VM gave the attempt up: its deadline passed, the
	// caller left, or another attempt answered first.
	Cancelled
)

type state uint8

const (
	vacantFlight state = iota
	waiting
	running
)

type flight struct {
	gen        uint32
	state      state
	class      Class
	idempotent bool
	probe      bool
	borrowed   bool
	hedge      bool  // second attempt
	hedged     bool  // has or had a second attempt
	partner    int32 // the other attempt, or none
	instance   int32
	prev, next int32 // flights on the same instance in the order of their start
	started    int64
	expected   float64 // latency in nanoseconds, 0 if not known
	deadline   int64
	route      uint64
}

func (b *Balancer) newFlight(r *Request, c Class, deadline int64) int32 {
	var s int32
	if n := len(b.free); n > 0 {
		s = b.free[n-1]
		b.free = b.free[:n-1]
	} else {
		b.flights = append(b.flights, flight{})
		s = int32(len(b.flights) - 1)
	}
	f := &b.flights[s]
	*f = flight{
		gen: f.gen + 1, class: c, idempotent: r.Idempotent, route: r.Route, deadline: deadline,
		partner: none, instance: none, prev: none, next: none,
	}
	return s
}

func (b *Balancer) release(s int32) {
	f := &b.flights[s]
	f.state = vacantFlight
	if f.partner != none {
		b.flights[f.partner].partner = none
	}
	b.free = append(b.free, s)
}

func (b *Balancer) ticket(s int32) Ticket {
	f := &b.flights[s]
	t := Ticket{slot: s, gen: f.gen}
	if f.state == running {
		t.Instance = b.instances[f.instance].id
	}
	return t
}

// get returns the flight of a ticket, or nil when it is over.
func (b *Balancer) get(t Ticket) *flight {
	if t.gen == 0 || int(t.slot) >= len(b.flights) {
		return nil
	}
	if f := &b.flights[t.slot]; f.gen == t.gen && f.state != vacantFlight {
		return f
	}
	return nil
}

// start sends a flight to an instance.
func (b *Balancer) start(t int64, s, i int32) {
	f, in := &b.flights[s], &b.instances[i]
	c := f.class - 1
	f.borrowed = in.total() >= in.own
	f.state, f.instance, f.started = running, i, t
	f.expected = b.expected(f.route, f.class)
	f.prev, f.next = in.newest, none
	if in.newest != none {
		b.flights[in.newest].next = s
	} else {
		in.oldest = s
	}
	in.newest = s
	in.out[c]++
	b.out[c]++
	if f.borrowed {
		b.borrowed[c]++
	}
	if in.rampFrom != never {
		in.pacedTo = t + int64(b.service[Short-1].mean/(b.warmth(in, t)*float64(max(1, in.own))))
	}
	b.notePeak(t)
	if in.draining || in.removed {
		invariant.Check(invariant.NoNewAfterDrain, false, "instance %s got a request while draining", in.id)
	}
	if in.total() > in.limit {
		invariant.Check(invariant.SlotsWithin, false, "instance %s has %d requests of %d", in.id, in.total(), in.limit)
	}
}

// Done reports the end of an attempt, or withdraws a request that waits. Call
// Tick afterwards to start waiting work. A ticket that is over already is ignored.
func (b *Balancer) Done(now time.Time, ticket Ticket, o Outcome) {
	t := b.ns(now)
	f := b.get(ticket)
	if f == nil {
		return
	}
	if f.state == waiting {
		b.queues[f.class-1].withdraw(ticket.slot)
		b.release(ticket.slot)
		return
	}
	in := &b.instances[f.instance]
	c := f.class - 1
	b.unlink(in, ticket.slot)
	in.out[c]--
	b.out[c]--
	if f.borrowed {
		b.borrowed[c]--
	}
	if f.probe {
		in.probing = false
	}
	b.conclude(t, in, f, o)
	b.release(ticket.slot)
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

// conclude learns from the end of an attempt.
func (b *Balancer) conclude(t int64, in *instance, f *flight, o Outcome) {
	latency := float64(t - f.started)
	x := cost / gain // says nothing
	if f.expected > 0 {
		x = latency / f.expected
	}
	// A cold instance is expected to be slower.
	x *= 0.25 + 0.75*b.warmth(in, t)
	in.failed = o != Answered && (in.failed || o != Cancelled)
	switch o {
	case Answered:
		if !in.suspect {
			b.observe(f, latency)
		}
		if f.expected > 0 {
			b.observeHedge(f, x)
		}
		b.learn(in, t, gain*x-cost)
		if f.partner != none && f.hedge {
			// The first attempt had a head start and lost.
			b.learn(&b.instances[b.flights[f.partner].instance], t, suspectAt+0.1)
		}
	case Refused, ConnectFailed, Lost:
		b.learn(in, t, maxScore)
		x = 2 * borrowSlow
	case Cancelled:
		if !f.hedge && !f.hedged {
			b.learn(in, t, max(0, gain*x-cost))
		} else if f.probe && in.suspect {
			b.learn(in, t, 0.1)
		}
	}
	if f.borrowed {
		b.adaptBorrow(t, f.class, x)
	}
}
