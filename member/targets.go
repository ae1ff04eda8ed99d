package member

import (
	"slices"
	"time"
)

// rankByHash orders candidates by rendezvous hash with seed, highest first.
func rankByHash(seed string, list []*entry) []*entry {
	type scored struct {
		e     *entry
		score uint64
	}
	scores := make([]scored, len(list))
	for i, e := range list {
		scores[i] = scored{e, hashOf(seed, e.info.ID)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	out := make([]*entry, len(list))
	for i, s := range scores {
		out[i] = s.e
	}
	return out
}

// byDataCentre groups the VMs other than except that are not gone.
func (c *Cluster) byDataCentre(except *entry) map[string][]*entry {
	out := make(map[string][]*entry)
	for _, e := range c.sorted() {
		if e != except && e.liveness != gone && e.declared != Gone {
			out[e.info.DataCentre] = append(out[e.info.DataCentre], e)
		}
	}
	return out
}

// targetsOf returns the VMs that e probes, as far as this VM's view goes.
func (c *Cluster) targetsOf(e *entry) []*entry {
	groups := c.byDataCentre(e)
	names := make([]string, 0, len(groups))
	for dc := range groups {
		names = append(names, dc)
	}
	slices.Sort(names)
	var out []*entry
	for _, dc := range names {
		n := c.opts.OtherTargets
		if dc == e.info.DataCentre {
			n = c.opts.OwnTargets
		}
		ranked := rankByHash(e.info.ID, groups[dc])
		out = append(out, ranked[:min(n, len(ranked))]...)
	}
	return out
}

// chooseTargets chooses the VMs to probe. New ones are due at a random time within
// their interval, so that VMs which start together do not probe in step.
func (c *Cluster) chooseTargets(now time.Time) {
	c.targetsStale = false
	old := c.targets
	c.targets = c.targetsOf(c.self)
	for _, e := range old {
		e.isTarget = false
	}
	own := 0
	for _, e := range c.targets {
		e.isTarget = true
		if e.info.DataCentre == c.self.info.DataCentre {
			own++
		}
	}
	c.ownInterval = intervalForRate(own, maxOwnProbeRate, c.opts.OwnInterval)
	rate := maxProbeRate - float64(own)/c.ownInterval.Seconds()
	c.otherInterval = intervalForRate(len(c.targets)-own, rate, c.opts.OtherInterval)
	for _, e := range c.targets {
		if !slices.Contains(old, e) {
			e.nextProbe = now.Add(c.randomDuration(c.probeInterval(e)))
		}
	}
}

// intervalForRate spreads n probes over time at the given rate, between 1 s and limit.
func intervalForRate(n int, rate float64, limit time.Duration) time.Duration {
	d := time.Duration(float64(n) / rate * float64(time.Second))
	return min(max(d, time.Second), limit)
}

func (c *Cluster) probeInterval(e *entry) time.Duration {
	if e.info.DataCentre == c.self.info.DataCentre {
		return c.ownInterval
	}
	return c.otherInterval
}

// Watch rules, see section 2.4 of the design.
const (
	// numWatchers is how many VMs of a data centre watch the store.
	numWatchers = 2
	// maxWatchers bounds them when no news of the store arrives.
	maxWatchers = 6
	// StoreSilenceTimeout is how long no news of the store may arrive before the next
	// VM in rank starts to watch.
	StoreSilenceTimeout = 5 * time.Second
	// settleTime is how long after its start a VM takes VMs that it has not
	// lastContact of for alive. It equals StoreSilenceTimeout, after which further VMs watch
	// when those in front do not exist.
	settleTime = StoreSilenceTimeout
)

// ShouldWatch tells whether this VM watches the store.
func (c *Cluster) ShouldWatch(now time.Time) bool {
	if c.self.declared == Leaving || c.self.declared == Gone {
		return false
	}
	position := c.watchRank(now)
	if position < numWatchers {
		return true
	}
	silence := now.Sub(c.lastStoreContactOrStart())
	// The jitter keeps the next VMs of all data centres from starting together.
	jitter := time.Duration(hashOf("jitter", c.self.info.ID) % uint64(time.Second))
	extra := int((silence - jitter) / StoreSilenceTimeout)
	return silence > jitter && position < min(numWatchers+extra, maxWatchers)
}

// watchRank is the position of this VM among the watchers of its data centre.
func (c *Cluster) watchRank(now time.Time) int {
	if !c.settled && now.Sub(c.startedAt) >= settleTime {
		c.settled = true
		c.watchRankCache = -1
	}
	if c.watchRankCache >= 0 {
		return c.watchRankCache
	}
	own := hashOf("watch", c.self.info.ID)
	position := 0
	for _, e := range c.entries {
		if e != c.self && e.info.DataCentre == c.self.info.DataCentre && c.canWatch(e) && hashOf("watch", e.info.ID) > own {
			position++
		}
	}
	c.watchRankCache = position
	return position
}

// canWatch tells whether another VM is taken for one that can watch the store. A
// VM that just started counts those it has only read of in the list: otherwise
// all VMs that start together would watch until they have heard of each other.
func (c *Cluster) canWatch(e *entry) bool {
	switch {
	case e.liveness != alive:
		return false
	case !e.isKnown():
		return !c.settled && !e.listedLeaving
	default:
		return e.declared == Serving || e.declared == Joining
	}
}

// First tells whether this VM comes first for a task that one VM is enough for.
// Another VM with a different view may hold the same of itself, so the task must
// sectionBudget that.
func (c *Cluster) First(task string) bool {
	own := hashOf(task, c.self.info.ID)
	for _, e := range c.entries {
		if e != c.self && e.isKnown() && e.liveness == alive && e.declared == Serving && hashOf(task, e.info.ID) > own {
			return false
		}
	}
	return c.self.declared == Serving
}

// lastStoreContactOrStart is when anybody is known to have heard from the store.
func (c *Cluster) lastStoreContactOrStart() time.Time {
	if c.lastStoreContact.IsZero() {
		return c.startedAt
	}
	return c.lastStoreContact
}

// StoreAnswered notes that this VM heard from the store.
func (c *Cluster) StoreAnswered(now time.Time) {
	c.lastStoreContact = now
	c.storeStamp++
}

// StoreSeen returns when anybody is known to have heard from the store, or the
// zero time.
func (c *Cluster) StoreSeen() time.Time { return c.lastStoreContact }
