package balance

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

const (
	// hedgeQuantile is the fraction of short requests that are answered before they
	// are hedged. It keeps hedges within the default budget of 2 % when no instance
	// is slow.
	hedgeQuantile = 0.985
	hedgeStep     = 0.05
	// hedgeBurst is the number of hedge tokens that accumulate while none are used.
	// A slow period begins with one late request on each own slot of the instance.
	hedgeBurst = 10
	// probeHedgeFactor is the number of mean service times after which a probe is
	// hedged, since the instance was recently slow.
	probeHedgeFactor = 1.5
	// maxBorrowedHedgeFactor is the number of mean service times after which work
	// in a borrowed slot is hedged at the latest. The VM that owns the slot may use
	// it too, so that the work waits at the instance. At twice the mean, such hedges
	// exhaust the budget.
	maxBorrowedHedgeFactor = 3
)

// HedgeAfter returns how long after its start a request should be hedged with
// Hedge. It returns false if the request should not be hedged: it isn't idempotent,
// it is long, it is hedged already or a hedge itself, or too few requests have been
// answered. Long work is not hedged, since one second attempt would cost as much as
// dozens of short ones.
func (b *Balancer) HedgeAfter(ticket Ticket) (time.Duration, bool) {
	f := b.lookup(ticket)
	if f == nil || f.state != running || !f.isIdempotent || f.class != Short || f.isHedge || f.isHedged {
		return 0, false
	}
	if b.cfg.HedgePercent <= 0 || f.expected <= 0 {
		return 0, false
	}
	factor := b.hedgeFactor
	if f.isBorrowed {
		factor = min(factor, maxBorrowedHedgeFactor)
	}
	if f.isProbe {
		factor = min(factor, probeHedgeFactor)
	}
	return time.Duration(factor * f.expected), true
}

// Hedge starts a second attempt on another instance, or returns false when the
// budget or the free slots don't allow it. After the first answer the caller must
// cancel the other attempt and report it as Cancelled.
func (b *Balancer) Hedge(now time.Time, ticket Ticket) (Ticket, bool) {
	t := b.ns(now)
	if _, ok := b.HedgeAfter(ticket); !ok || b.hedgeTokens < 1 || b.isUnderPressure {
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

// hedge starts a second attempt on instance i for the flight first.
func (b *Balancer) hedge(t int64, first, i int32) Ticket {
	f := &b.flights[first]
	s := b.newFlight(&Request{Route: f.route, Idempotent: f.isIdempotent}, f.class, f.deadline)
	f = &b.flights[first] // newFlight may have moved it
	f.isHedged, f.partner = true, s
	b.flights[s].isHedge, b.flights[s].partner = true, first
	b.startFlight(t, s, i)
	b.hedgeTokens--
	b.numHedges++
	if !f.isIdempotent {
		invariant.Check(invariant.HedgeIdempotent, false, "a request that isn't idempotent was hedged")
	}
	if float64(b.numHedges) > hedgeBurst+MaxHedgePercent/100.0*float64(b.numRequests) {
		invariant.Check(invariant.HedgeWithin, false, "%d hedges of %d requests", b.numHedges, b.numRequests)
	}
	return b.ticket(s)
}

// updateHedgeFactor moves hedgeFactor towards the hedgeQuantile of the latencies.
func (b *Balancer) updateHedgeFactor(f *flight, relLatency float64) {
	if f.class != Short {
		return
	}
	if relLatency > b.hedgeFactor {
		b.hedgeFactor += hedgeStep * hedgeQuantile
	} else {
		b.hedgeFactor -= hedgeStep * (1 - hedgeQuantile)
	}
	b.hedgeFactor = max(b.hedgeFactor, probeHedgeFactor)
}
