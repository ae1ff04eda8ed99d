package quotalease

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTTL is how long the number of tokens that a VM asked for is included in the
	// demand, by which tokens are divided.
	demandTTL = 200 * time.Millisecond
	// pruneInterval is how often votes and demands that have ended are dropped.
	pruneInterval = 50 * time.Millisecond
	// bucketTTL is how long a bucket is kept without requests.
	bucketTTL = time.Minute
	// maxBuckets bounds the buckets. Processes beyond it get no tokens.
	maxBuckets = 4096
	// maxVoters bounds the VMs whose votes are counted.
	maxVoters = 4096
)

// Coordinator leases tokens for the processes of a region.
type Coordinator struct {
	random  func() float64
	buckets map[uint64]*bucket
	votes   map[string]vote
	// share is the result of votesShare at the time countedAt.
	share     float64
	countedAt time.Time
}

// vote is the newest vote of a VM.
type vote struct {
	at time.Time
	// electorate is the number of VMs of the region that the voter knows.
	electorate int
}

// bucket is the token bucket of one process.
type bucket struct {
	level   float64
	updated time.Time
	// leases holds the tokens that may still be used, oldest first.
	leases  []lease
	demands map[string]demand
	// allDemand is the sum of the demands, and prunedAt when those that ended were dropped.
	allDemand int
	prunedAt  time.Time
}

type lease struct {
	vm     string
	tokens int
	at     time.Time
}

type demand struct {
	tokens int
	at     time.Time
}

// NewCoordinator returns a coordinator without buckets. random returns numbers in [0, 1).
func NewCoordinator(random func() float64) *Coordinator {
	return &Coordinator{random: random, buckets: make(map[uint64]*bucket), votes: make(map[string]vote)}
}

// Vote records the vote of a VM that knows electorate VMs of the region.
func (c *Coordinator) Vote(now time.Time, vm string, electorate int) {
	if _, known := c.votes[vm]; known || len(c.votes) < maxVoters {
		c.votes[vm] = vote{now, electorate}
	}
}

// votesShare returns the votes for this coordinator as a share of the electorate, for which
// the largest number that a voter knows is taken.
// It may be as old as pruneInterval, which voteMargin covers.
func (c *Coordinator) votesShare(now time.Time) float64 {
	if !c.countedAt.IsZero() && now.Sub(c.countedAt) < pruneInterval {
		return c.share
	}
	c.countedAt = now
	count, electorate := 0, 1
	for vm, v := range c.votes {
		if now.Sub(v.at) >= voteTTL {
			delete(c.votes, vm)
			continue
		}
		count++
		electorate = max(electorate, v.electorate)
	}
	c.share = float64(count) / float64(max(electorate, count))
	return c.share
}

// Lease takes back returned tokens from a VM and leases it up to wanted new ones. If the VMs
// want more than there are, each gets a part in proportion to its demand.
func (c *Coordinator) Lease(now time.Time, process uint64, limit float64, vm string, wanted, returned int) int {
	rate, total := bounds(limit, c.votesShare(now))
	b := c.bucket(now, process)
	if b == nil {
		return 0
	}
	b.takeBack(vm, returned)
	b.refill(now, rate, total)
	b.setDemand(now, vm, wanted)
	if wanted <= 0 {
		return 0
	}
	share, fraction := math.Modf(b.level * float64(wanted) / float64(b.allDemand))
	if c.random() < fraction {
		share++
	}
	n := int(min(share, float64(wanted), math.Floor(b.level)))
	if n > 0 {
		b.level -= float64(n)
		b.leases = append(b.leases, lease{vm, n, now})
	}
	return n
}

// bucket returns the bucket of a process, or nil if there are too many.
func (c *Coordinator) bucket(now time.Time, process uint64) *bucket {
	b := c.buckets[process]
	if b != nil {
		return b
	}
	for p, old := range c.buckets {
		if now.Sub(old.updated) > bucketTTL {
			delete(c.buckets, p)
		}
	}
	if len(c.buckets) >= maxBuckets {
		return nil
	}
	// It begins empty: a former coordinator may just have leased tokens.
	b = &bucket{updated: now, demands: make(map[string]demand)}
	c.buckets[process] = b
	return b
}

// setDemand records how many tokens a VM wants.
func (b *bucket) setDemand(now time.Time, vm string, wanted int) {
	b.allDemand += wanted - b.demands[vm].tokens
	if wanted > 0 {
		b.demands[vm] = demand{wanted, now}
	} else {
		delete(b.demands, vm)
	}
	if now.Sub(b.prunedAt) < pruneInterval {
		return
	}
	b.prunedAt = now
	for id, d := range b.demands {
		if now.Sub(d.at) > demandTTL {
			b.allDemand -= d.tokens
			delete(b.demands, id)
		}
	}
}

// takeBack puts tokens that a VM did not use back into the bucket. Tokens that have expired
// meanwhile are lost.
func (b *bucket) takeBack(vm string, tokens int) {
	for k := len(b.leases) - 1; k >= 0 && tokens > 0; k-- {
		l := &b.leases[k]
		if l.vm != vm {
			continue
		}
		n := min(tokens, l.tokens)
		l.tokens -= n
		tokens -= n
		b.level += float64(n)
	}
}

// refill adds the tokens that have accrued, and forgets leases that have ended.
func (b *bucket) refill(now time.Time, rate, total float64) {
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.tokens == 0 || now.Sub(l.at) >= TokenTTL })
	outstanding := 0
	for _, l := range b.leases {
		outstanding += l.tokens
	}
	accrued := rate * max(0, now.Sub(b.updated).Seconds())
	b.updated = now
	b.level = max(0, min(b.level+accrued, total-float64(outstanding)))
}
