package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Listed is one VM of the platform's list.
type Listed struct {
	Info
	Leaving bool
}

// Cluster is one VM's view of all VMs, and the state of its heartbeats and
// gossip.
type Cluster struct {
	opts          Options
	rng           *rand.Rand
	startedAt     time.Time
	lastTick      time.Time
	self          *entry
	entries       map[string]*entry
	byKey         map[uint32]*entry
	sortedEntries []*entry
	targets       []*entry
	targetsStale  bool
	viewHash      uint64

	ownInterval      time.Duration
	otherInterval    time.Duration
	watchRankCache   int
	settled          bool // settleTime has passed, so that the members that are alive are known
	lastStoreContact time.Time
	storeStamp       uint64
	docs             [numDocs]DocVersion

	updateQueue queue[*entry]
	// receivedUpdates are the updates of the request that is being answered. They
	// are not sent back.
	receivedUpdates []Update
	sectionQueue    queue[sectionKey]
	values          map[sectionKey]Section
	// sectionBudget bounds the bytes of sections, and extraBudget the messages
	// beyond regular probes.
	sectionBudget tokenBucket
	extraBudget   tokenBucket
	nextPush      time.Time
	pushPending   bool
	docPushesLeft int
	// collector is the VM that receives this VM's collected sections.
	collector     string
	nextCollect   time.Time
	nextGoneProbe time.Time
	nextGoneIndex int
	// viewChangedAt is when viewHash last changed. Views are not repaired while
	// they still change.
	viewChangedAt time.Time
	// lastReceived is when a message of any VM last arrived. While none arrives,
	// this VM may itself be cut off and draws no conclusions.
	lastReceived time.Time
	// recentSuspects holds, by data centre, when each VM last missed a second
	// probe or was suspected. massFailureUntil is how long a data centre counts
	// as failing as a whole.
	recentSuspects   map[string]map[string]time.Time
	massFailureUntil map[string]time.Time
	// dataCentreProbedAt is when the VMs of a data centre were last probed
	// because one of them missed a probe.
	dataCentreProbedAt map[string]time.Time
	// lastProbeFailure is when a probe last failed, by data centre.
	lastProbeFailure map[string]time.Time
	impaired         bool
	viewMismatches   int
	nextBuckets      time.Time
	nextResync       time.Time
	effects          []Effect
}

// New returns the view of a VM whose process starts at now; its boot is
// derived from now. The seed randomises the choice and the times of probes.
func New(o Options, self Info, now time.Time, seed uint64) *Cluster {
	c := &Cluster{
		opts:               o.withDefaults(),
		rng:                rand.New(rand.NewPCG(seed, hashOf(self.ID))),
		startedAt:          now,
		lastTick:           now,
		lastReceived:       now,
		entries:            make(map[string]*entry),
		byKey:              make(map[uint32]*entry),
		values:             make(map[sectionKey]Section),
		recentSuspects:     make(map[string]map[string]time.Time),
		massFailureUntil:   make(map[string]time.Time),
		dataCentreProbedAt: make(map[string]time.Time),
		lastProbeFailure:   make(map[string]time.Time),
		targetsStale:       true,
		watchRankCache:     -1,
	}
	c.sectionBudget = tokenBucket{rate: float64(c.opts.SectionBytes), size: 8 * float64(c.opts.SectionBytes), lastFill: now}
	c.extraBudget = tokenBucket{rate: extraRate, size: extraBurst, tokens: extraBurst, lastFill: now}
	c.self = c.add(self)
	c.self.inc = Incarnation{Boot: uint64(max(now.UnixMilli(), 1))}
	c.self.declared = Joining
	c.updateViewHash(now, 0, c.self)
	c.updateQueue.push(c.self, updateSends)
	return c
}

// add creates the entry of a VM. It returns nil when the view is full or
// another ID has the same key.
func (c *Cluster) add(info Info) *entry {
	key := Key(info.ID)
	if len(c.entries) >= maxMembers || c.byKey[key] != nil || info.ID == "" {
		return nil
	}
	e := &entry{info: info, key: key}
	c.entries[info.ID] = e
	c.byKey[key] = e
	c.sortedEntries = nil
	c.targetsStale = true
	c.watchRankCache = -1
	return e
}

// sorted returns the entries ordered by ID, so that runs with the same seed
// make the same decisions.
func (c *Cluster) sorted() []*entry {
	if c.sortedEntries == nil {
		for _, e := range c.entries {
			c.sortedEntries = append(c.sortedEntries, e)
		}
		slices.SortFunc(c.sortedEntries, func(a, b *entry) int { return strings.Compare(a.info.ID, b.info.ID) })
	}
	return c.sortedEntries
}

// updateViewHash replaces the previous digest of an entry in the view hash.
func (c *Cluster) updateViewHash(now time.Time, oldDigest uint64, e *entry) {
	if newDigest := e.digest(); newDigest != oldDigest {
		c.viewHash ^= oldDigest ^ newDigest
		c.viewChangedAt = now
	}
}

// Self returns this VM.
func (c *Cluster) Self() Member { return c.self.member() }

// Member returns one VM, and false if it is unknown.
func (c *Cluster) Member(id string) (Member, bool) {
	e, ok := c.entries[id]
	if !ok {
		return Member{State: Gone}, false
	}
	return e.member(), true
}

// Members returns all VMs ordered by ID, including this one and those known
// from the platform's list only.
func (c *Cluster) Members() []Member {
	out := make([]Member, 0, len(c.entries))
	for _, e := range c.sorted() {
		out = append(out, e.member())
	}
	return out
}

// Doc returns the version of a document that this VM has.
func (c *Cluster) Doc(d Doc) DocVersion { return c.docs[d] }

// PeerDoc returns the version of a document that a VM last announced to this
// one.
func (c *Cluster) PeerDoc(id string, d Doc) uint64 {
	if e, ok := c.entries[id]; ok {
		return e.peerVersions[d]
	}
	return 0
}

// Declare changes the state of this VM to Joining, Serving, Leaving or, as the
// last announcement of a process that stops, Gone.
func (c *Cluster) Declare(now time.Time, s State) {
	if c.self.declared == s {
		return
	}
	before := c.self.digest()
	c.self.declared = s
	c.self.inc.Seq++
	c.updateViewHash(now, before, c.self)
	c.disseminate(now, c.self)
	c.watchRankCache = -1
}

// SetDoc records the version of a document that this VM has, and announces it
// without waiting for the next heartbeat.
func (c *Cluster) SetDoc(now time.Time, d Doc, v DocVersion) {
	if v.Version <= c.docs[d].Version {
		return
	}
	c.docs[d] = v
	c.docPushesLeft = maxDocPushes
	c.schedulePush(now)
}

// SetList takes the platform's list. A VM that it does not name keeps its
// state until it stops answering.
func (c *Cluster) SetList(now time.Time, list []Listed) []Effect {
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		e := c.entries[l.ID]
		if e == nil {
			if e = c.add(l.Info); e == nil {
				continue
			}
			e.listed, e.listedLeaving = true, l.Leaving
			c.effects = append(c.effects, Changed{Member: e.member(), Was: Gone})
			continue
		}
		was := e.state()
		if !e.isKnown() || e.liveness == gone {
			// The address of a VM that answers comes from the VM itself.
			e.info = l.Info
		}
		e.listed, e.listedLeaving = true, l.Leaving
		c.reportChange(e, was)
	}
	for _, e := range c.sorted() {
		if seen[e.info.ID] || !e.listed {
			continue
		}
		was := e.state()
		e.listed, e.listedLeaving, e.unlistedAt = false, false, now
		c.reportChange(e, was)
	}
	return c.takeEffects()
}

// reportChange reports a change of state and invalidates the targets and the
// watch rank.
func (c *Cluster) reportChange(e *entry, was State) {
	if e.state() == was {
		return
	}
	c.watchRankCache = -1
	c.targetsStale = true
	c.effects = append(c.effects, Changed{Member: e.member(), Was: was})
}

func (c *Cluster) takeEffects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Cluster) randomDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}

// disseminate queues an entry for other VMs and schedules a push.
func (c *Cluster) disseminate(now time.Time, e *entry) {
	sends := updateSends
	if len(c.updateQueue.items) > backlogThreshold {
		sends = backlogSends
	}
	c.updateQueue.push(e, sends)
	c.schedulePush(now)
}

// schedulePush plans a push of queued updates ahead of the next heartbeats.
// The random delay batches updates that arrive together.
func (c *Cluster) schedulePush(now time.Time) {
	if !c.pushPending {
		c.pushPending = true
		c.nextPush = latest(c.nextPush, now.Add(c.randomDuration(30*time.Millisecond)))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tokenBucket limits a rate. It holds up to size tokens and gains rate tokens
// per second.
type tokenBucket struct {
	rate, size, tokens float64
	lastFill           time.Time
}

func (b *tokenBucket) fill(now time.Time) {
	if d := now.Sub(b.lastFill).Seconds(); d > 0 {
		b.tokens = min(b.size, b.tokens+d*b.rate)
		b.lastFill = now
	}
}

func (b *tokenBucket) spend(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
