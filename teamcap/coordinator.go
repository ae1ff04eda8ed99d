package teamcap

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/quotalease"
)

// maxLow bounds the metered teams in a reply.
const maxLow = 256

// Coordinator divides the caps of teams between VMs.
type Coordinator struct {
	bound   Bound
	random  func() float64
	started time.Time
	window  quotalease.Window
	votes   map[string]vote
	share   float64
	// leadsSince is since when the votes have been a majority, or zero.
	leadsSince time.Time
	// countedAt is when the votes were counted, and sweptAt when all buckets were settled.
	countedAt, sweptAt time.Time
	teams              map[uint64]*bucket
	// low holds the metered teams. lowVersion changes with it.
	low        map[uint64]bool
	lowVersion uint64
}

type vote struct {
	at     time.Time
	weight Weight
}

// bucket is the token bucket of a team.
type bucket struct {
	level   float64
	updated time.Time
	// settledAt is when silent VMs were settled.
	settledAt time.Time
	vms       map[string]*account
	// outstanding is the sum of the credits, and wants that of the accounts' wants.
	outstanding, wants float64
}

// account is a VM's state for a team.
type account struct {
	boot     uint64
	admitted uint64
	// limit is the largest limit that the VM may use, and sentSeq the last request that was
	// answered.
	limit, sentSeq uint64
	// want is the number of requests for which the VM needs credit.
	want float64
	at   time.Time
}

func (a *account) credit() float64 {
	if a.limit <= a.admitted {
		return 0
	}
	return float64(a.limit - a.admitted)
}

// NewCoordinator returns a coordinator that nobody has voted for. random returns numbers in
// [0, 1).
func NewCoordinator(now time.Time, bound Bound, random func() float64) *Coordinator {
	return &Coordinator{
		bound: bound, random: random, started: now, votes: make(map[string]vote),
		teams: make(map[uint64]*bucket), low: make(map[uint64]bool),
		// Versions of a VM that was restarted differ.
		lowVersion: max(1, uint64(now.UnixNano())),
	}
}

// SetBound changes the bound.
func (c *Coordinator) SetBound(b Bound) { c.bound = b }

// Serve processes a request of a VM. capOf returns the cap of a team, or false if this VM
// doesn't know the team. ok is false for requests received twice or out of order.
func (c *Coordinator) Serve(now time.Time, vm string, q *Request, capOf func(team uint64) (Cap, bool)) (reply Reply, ok bool) {
	if !c.window.Accept(vm, q.Boot, q.Seq) {
		return reply, false
	}
	if _, known := c.votes[vm]; q.IsVote && (known || len(c.votes) < maxVMs) {
		c.votes[vm] = vote{now, q.Weight}
	}
	share := c.votesShare(now)
	c.sweep(now, share, capOf)
	reply.Boot, reply.Seq = q.Boot, q.Seq
	for i := range q.Entries {
		e := &q.Entries[i]
		limit, known := capOf(e.Team)
		if !known || limit.Rate <= 0 {
			continue
		}
		if b := c.bucket(now, e.Team, limit, share); b != nil {
			b.refill(now, limit, share)
			b.settleSilent(now)
			reply.Grants = append(reply.Grants, c.grant(now, b, vm, q, e, limit, share))
			c.setLow(e.Team, b, limit, share)
		}
	}
	reply.LowVersion = c.lowVersion
	if q.LowVersion == c.lowVersion {
		return reply, true
	}
	for team := range c.low {
		if len(reply.Low) == maxLow {
			break
		}
		reply.Low = append(reply.Low, team)
	}
	return reply, true
}

// votesShare returns the share of all weights that voted for this coordinator. The largest
// total that a voter knows is taken.
func (c *Coordinator) votesShare(now time.Time) float64 {
	if !c.countedAt.IsZero() && now.Sub(c.countedAt) < pruneInterval {
		return c.share
	}
	c.countedAt = now
	sum, total, totalOfNew := 0, 0, 0
	for vm, v := range c.votes {
		if now.Sub(v.at) >= voteTTL {
			delete(c.votes, vm)
			continue
		}
		sum += v.weight.Own
		totalOfNew = max(totalOfNew, v.weight.Total, startFleet*v.weight.Own)
		if !v.weight.IsNew {
			total = max(total, v.weight.Total)
		}
	}
	if total == 0 {
		total = totalOfNew
	}
	all := float64(max(total, sum, 1))
	c.share = float64(sum) / all
	switch {
	case c.share <= majority:
		c.leadsSince = time.Time{}
	case c.leadsSince.IsZero():
		c.leadsSince = now
	}
	return c.share
}

// bucket returns the bucket of a team, or nil if there are too many. A new one of a
// coordinator that has led for a window is full, since no VM reported requests. Otherwise
// another coordinator may have given out credit.
func (c *Coordinator) bucket(now time.Time, team uint64, limit Cap, share float64) *bucket {
	b := c.teams[team]
	if b != nil || len(c.teams) >= maxTeams {
		return b
	}
	b = &bucket{updated: now, settledAt: now, vms: make(map[string]*account)}
	if !c.leadsSince.IsZero() {
		led := now.Sub(c.leadsSince)
		b.level = min(b.level+led.Seconds()*limit.Rate*share, depth(limit, share))
		if led >= c.bound.Window {
			b.level = depth(limit, share)
		}
	}
	c.teams[team] = b
	return b
}

func depth(limit Cap, share float64) float64 { return max(limit.Burst*share, minDepth) }

func (b *bucket) refill(now time.Time, limit Cap, share float64) {
	accrued := limit.Rate * share * max(0, now.Sub(b.updated).Seconds())
	b.updated = now
	b.level = min(b.level+accrued, depth(limit, share))
}

// total returns what may be outstanding as credits.
func (c *Coordinator) total(b *bucket, limit Cap, share float64) float64 {
	return max(0, b.level+creditPart*share*c.bound.tolerance(limit))
}

// setLow records whether the team is metered.
func (c *Coordinator) setLow(team uint64, b *bucket, limit Cap, share float64) {
	if c.total(b, limit, share) >= lowShare*(depth(limit, share)+creditPart*share*c.bound.tolerance(limit)) {
		c.unsetLow(team)
	} else if !c.low[team] {
		c.low[team] = true
		c.lowVersion++
	}
}

func (c *Coordinator) unsetLow(team uint64) {
	if c.low[team] {
		delete(c.low, team)
		c.lowVersion++
	}
}

// set changes an account and keeps the sums.
func (b *bucket) set(a *account, change func()) {
	b.outstanding -= a.credit()
	b.wants -= a.want
	change()
	b.outstanding += a.credit()
	b.wants += a.want
}

// grant debits what the VM admitted and renews its credit.
func (c *Coordinator) grant(now time.Time, b *bucket, vm string, q *Request, e *Entry, limit Cap, share float64) Grant {
	a := b.vms[vm]
	if a != nil && a.boot != q.Boot {
		// The VM was restarted and may have used its credit before.
		b.settle(vm, a)
		a = nil
	}
	if a == nil && len(b.vms) >= maxVMs {
		return Grant{Team: e.Team, Limit: e.Admitted, IsShort: true}
	}
	if a == nil {
		a = &account{boot: q.Boot, admitted: e.Admitted - min(e.Recent, e.Admitted)}
		b.vms[vm] = a
	}
	if e.Admitted > a.admitted {
		// Beyond the floor, a report can only be wrong, and must not stop the team for long.
		floor := -maxDebt * (limit.Rate*c.bound.Window.Seconds() + limit.Burst + c.bound.tolerance(limit))
		b.level = max(b.level-float64(e.Admitted-a.admitted), min(b.level, floor))
	}
	b.set(a, func() {
		a.admitted, a.at = e.Admitted, now
		if q.Ack < a.sentSeq {
			// Earlier replies may still arrive.
			a.limit = max(a.limit, e.Limit)
		} else {
			a.limit = e.Limit
		}
		a.want = float64(e.Wanted) + e.Demand*demandHorizon.Seconds()
		if a.want > 0 && !c.low[e.Team] {
			a.want += baseWant
		}
	})
	total := c.total(b, limit, share)
	credit := 0.0
	if a.want > 0 {
		if b.wants <= total*openShare {
			credit = openShare * total * a.want / b.wants
		} else {
			credit = min(a.want, total*a.want/b.wants)
		}
	}
	whole, fraction := math.Modf(min(credit, max(0, total-(b.outstanding-a.credit()))))
	if c.random() < fraction && total-(b.outstanding-a.credit()) >= whole+1 {
		whole++
	}
	sent := e.Admitted + uint64(whole)
	b.set(a, func() {
		a.limit, a.sentSeq = max(a.limit, sent), q.Seq
	})
	return Grant{Team: e.Team, Limit: sent, IsShort: whole < float64(e.Wanted)}
}

// settle debits the credit of a VM that is silent or was restarted, and forgets it.
func (b *bucket) settle(vm string, a *account) {
	b.level -= a.credit()
	b.set(a, func() { a.limit, a.want = a.admitted, 0 })
	delete(b.vms, vm)
}

// settleSilent settles the VMs that no longer report requests of a team.
func (b *bucket) settleSilent(now time.Time) {
	if now.Sub(b.settledAt) < settleInterval {
		return
	}
	b.settledAt = now
	for vm, a := range b.vms {
		if now.Sub(a.at) >= settleTimeout {
			b.settle(vm, a)
		}
	}
}

// sweep updates the metered teams, and at longer intervals drops the buckets that are full
// and those of teams without cap.
func (c *Coordinator) sweep(now time.Time, share float64, capOf func(team uint64) (Cap, bool)) {
	for team := range c.low {
		limit, known := capOf(team)
		b := c.teams[team]
		if !known || limit.Rate <= 0 || b == nil {
			c.unsetLow(team)
			continue
		}
		b.refill(now, limit, share)
		b.settleSilent(now)
		c.setLow(team, b, limit, share)
	}
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for team, b := range c.teams {
		limit, known := capOf(team)
		if !known || limit.Rate <= 0 {
			delete(c.teams, team)
			c.unsetLow(team)
			continue
		}
		b.refill(now, limit, share)
		b.settleSilent(now)
		if len(b.vms) == 0 && b.level >= depth(limit, share) {
			delete(c.teams, team)
		}
	}
}
