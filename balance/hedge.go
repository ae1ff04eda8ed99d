package balance

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

const (
	// hedgeQuantile of short work is answered before it is hedged, so that hedges
	// stay within the usual budget of 2 % when nothing is slow.
	hedgeQuantile = 0.985
	hedgeStep     = 0.05
	// hedgeBurst is how many hedges a quiet time saves up. A slow spell begins
	// with one late request on each own slot of the instance.
	hedgeBurst = 10
	// A probe is hedged after this many mean service times, as the instance is
	// known to have been slow.
	hedgeProbe = 1.5
	// A borrowed slot may be one that its VM uses too, so that the work waits at the
	// instance. At twice the mean, such hedges use up the budget.
	hedgeBorrowed = 3
)

// HedgeAfter returns how long after its start a request should be hedged with
// Hedge, and false if it never should: it isn't idempotent, it is long, it is a
// second attempt itself, or too few requests were answered yet. Long work is not hedged, since one second attempt
// would cost as much as dozens of short ones.
func (b *Balancer) HedgeAfter(ticket Ticket) (time.Duration, bool) {
	f := b.get(ticket)
	if f == nil || f.state != running || !f.idempotent || f.class != Short || f.hedge || f.hedged {
		return 0, false
	}
	if b.cfg.HedgePercent <= 0 || f.expected <= 0 {
		return 0, false
	}
	x := b.hedgeAt
	if f.borrowed {
		x = min(x, hedgeBorrowed)
	}
	if f.probe {
		x = min(x, hedgeProbe)
	}
	return time.Duration(x * f.expected), true
}

// Hedge starts a second attempt on another instance, or returns false when the
// budget or the free slots don't allow it. Whichever attempt is answered second
// is to be cancelled and reported as Cancelled.
func (b *Balancer) Hedge(now time.Time, ticket Ticket) (Ticket, bool) {
	t := b.ns(now)
	if _, ok := b.HedgeAfter(ticket); !ok || b.hedgeTokens < 1 || b.pressed {
		return Ticket{}, false
	}
	f := &b.flights[ticket.slot]
	i := b.chooseOwn(t, Short, f.instance, false)
	if i == none {
		i = b.chooseBorrowed(t, f.instance)
	}
	if i == none {
		return Ticket{}, false
	}
	return b.hedge(t, ticket.slot, i), true
}

// hedge starts a second attempt of the flight first.
func (b *Balancer) hedge(t int64, first, i int32) Ticket {
	f := &b.flights[first]
	s := b.newFlight(&Request{Route: f.route, Idempotent: f.idempotent}, f.class, f.deadline)
	f = &b.flights[first] // newFlight may have moved it
	f.hedged, f.partner = true, s
	b.flights[s].hedge, b.flights[s].partner = true, first
	b.start(t, s, i)
	b.hedgeTokens--
	b.hedges++
	if !f.idempotent {
		invariant.Check(invariant.HedgeIdempotent, false, "a request that isn't idempotent was hedged")
	}
	if float64(b.hedges) > hedgeBurst+MaxHedgePercent/100.0*float64(b.served) {
		invariant.Check(invariant.HedgeWithin, false, "%d hedges of %d requests", b.hedges, b.served)
	}
	return b.ticket(s)
}

// observeHedge moves hedgeAt towards its quantile.
func (b *Balancer) observeHedge(f *flight, x float64) {
	if f.class != Short {
		return
	}
	if x > b.hedgeAt {
		b.hedgeAt += hedgeStep * hedgeQuantile
	} else {
		b.hedgeAt -= hedgeStep * (1 - hedgeQuantile)
	}
	b.hedgeAt = max(b.hedgeAt, hedgeProbe)
}
