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

// byDataCentre groups the VMs that are not gone, other than except.
func (c *Cluster) byDataCentre(except *entry) map[string][]*entry {
	out := make(map[string][]*entry)
	for _, e := range c.sorted() {
		if e != except && e.liveness != gone && e.declared != Gone {
			out[e.info.DataCentre] = append(out[e.info.DataCentre], e)
		}
	}
	return out
}

// targetsOf returns the VMs that e probes according to this VM's view.
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

// chooseTargets chooses the VMs to probe. The first probe of a new target is
// due at a random time within its interval, so that VMs which start together
// do not probe at the same time.
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

// intervalForRate returns the interval at which n targets are probed at the
// given total rate, between 1 s and limit.
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
	// maxWatchers bounds the watchers of a data centre while no VM is known to
	// reach the store.
	maxWatchers = 6
	// StoreContactTimeout is how long no answer of the store may be known before
	// the next VM in rank starts to watch.
	StoreContactTimeout = 5 * time.Second
	// settleTime is how long after its start a VM assumes that listed VMs are
	// alive although it has no information about them. It equals
	// StoreContactTimeout, after which further VMs watch if those with a higher
	// rank do not exist.
	settleTime = StoreContactTimeout
)

// ShouldWatch reports whether this VM should watch the store. The first numWatchers VMs
// of a data centre watch, and one more, up to maxWatchers, for each StoreContactTimeout
// without contact to the store.
func (c *Cluster) ShouldWatch(now time.Time) bool {
	if c.self.declared == Leaving || c.self.declared == Gone {
		return false
	}
	position := c.watchRank(now)
	if position < numWatchers {
		return true
	}
	sinceContact := now.Sub(c.lastStoreContactOrStart())
	// The jitter keeps the next VMs of all data centres from starting together.
	jitter := time.Duration(hashOf("jitter", c.self.info.ID) % uint64(time.Second))
	extra := int((sinceContact - jitter) / StoreContactTimeout)
	return sinceContact > jitter && position < min(numWatchers+extra, maxWatchers)
}

// watchRank is the position of this VM among the potential watchers of its
// data centre.
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

// canWatch reports whether another VM is assumed to be able to watch the
// store. A VM that just started includes those known from the list only:
// otherwise all VMs that start together would watch until they have exchanged
// messages.
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

// RanksFirst reports whether this VM ranks first for a task that one VM is enough
// for. Another VM with a different view may also rank itself first, so the
// task must tolerate that.
func (c *Cluster) RanksFirst(task string) bool {
	own := hashOf(task, c.self.info.ID)
	for _, e := range c.entries {
		if e != c.self && e.isKnown() && e.liveness == alive && e.declared == Serving && hashOf(task, e.info.ID) > own {
			return false
		}
	}
	return c.self.declared == Serving
}

// lastStoreContactOrStart is when any VM last reached the store, as far as
// known, or the start of this VM.
func (c *Cluster) lastStoreContactOrStart() time.Time {
	if c.lastStoreContact.IsZero() {
		return c.startedAt
	}
	return c.lastStoreContact
}

// StoreAnswered records that the store answered this VM.
func (c *Cluster) StoreAnswered(now time.Time) {
	c.lastStoreContact = now
	c.storeStamp++
}

// LastStoreContact returns when any VM last reached the store, as far as known, or
// the zero time.
func (c *Cluster) LastStoreContact() time.Time { return c.lastStoreContact }
