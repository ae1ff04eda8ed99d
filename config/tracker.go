package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// Limits of the Tracker.
const (
	// maxInFlight bounds the chunks that are fetched at the same time.
	maxInFlight = 8
	// maxPeers bounds the peers that are remembered as sources of a version.
	maxPeers = 8
	// peerAttempts is how often a chunk is asked of peers before the store.
	peerAttempts = 2
	// headAttempts bounds the attempts to get a head that only peers announced,
	// so that an announcement of a version that does not exist is given up.
	headAttempts = 6
	// storeWait is how long a VM that does not watch the store waits for peers
	// before it reads chunks from the store; the jitter is of the same size.
	storeWait = 3 * time.Second
	// fetchTimeout is the first wait for a chunk; it doubles up to 16 times.
	fetchTimeout = time.Second
	// banned bounds the heads that are remembered as unusable.
	banned = 16
)

// News is one input of Tracker.Step.
type News interface{ isNews() }

// StoreHead is the head record as read from the store.
type StoreHead struct {
	Data []byte
	// Watcher is set on VMs that watch the store. The others leave it time until
	// peers offer the chunks, so that a restart of many VMs does not read all
	// chunks from the store once per VM.
	Watcher bool
}

// StoreEmpty means that the store holds no head record.
type StoreEmpty struct{}

// PeerVersion is the version that a peer has in force.
type PeerVersion struct {
	Peer    string
	Version uint64
	Head    Hash
}

// Received is the result of a Fetch. Peer is empty when the store answered.
type Received struct {
	Hash Hash
	Data []byte
	Peer string
}

// Failed tells that a Fetch failed. Peer is empty when the store was asked.
type Failed struct {
	Hash Hash
	Peer string
}

func (StoreHead) isNews()   {}
func (StoreEmpty) isNews()  {}
func (PeerVersion) isNews() {}
func (Received) isNews()    {}
func (Failed) isNews()      {}

// Effect is one output of Tracker.Step.
type Effect interface{ isEffect() }

// Fetch asks for a chunk or an archived head, from the peer, or from the store
// when Peer is empty. The caller answers with Received or Failed.
type Fetch struct {
	Hash Hash
	Peer string
}

// Apply puts a version in force.
type Apply struct{ Snapshot *Snapshot }

// RefuseReason is the cause of a Refused effect.
type RefuseReason string

// Causes of refusals.
const (
	RefuseOlder     RefuseReason = "older-version"
	RefuseOtherHead RefuseReason = "same-version-other-content"
	RefuseMissing   RefuseReason = "store-lost-head"
	RefuseInvalid   RefuseReason = "invalid"
)

// Refused reports a version that is not put in force. Version is zero when it
// is not known. Peer is empty when the version came from the store.
type Refused struct {
	Reason  RefuseReason
	Version uint64
	Current uint64
	Peer    string
	Err     error
}

func (Fetch) isEffect()   {}
func (Apply) isEffect()   {}
func (Refused) isEffect() {}

// Tracker decides which version is in force on one VM. It only moves to greater
// versions.
type Tracker struct {
	rng     *rand.Rand
	current *Snapshot
	target  *target
	bans    []Hash
}

// target is the version that is being fetched.
type target struct {
	version   uint64
	head      Hash
	headBytes []byte
	parsed    *Head
	// storeAfter is when chunks may be read from the store.
	storeAfter time.Time
	peers      []string
	wants      map[Hash]*want
	order      []Hash
	chunks     map[Hash][]byte
}

// want is a chunk that is still missing.
type want struct {
	attempts int
	inFlight bool
	// next is when the chunk is asked for again.
	next time.Time
}

// NewTracker returns a tracker without a version. The seed spreads retries.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{rng: rand.New(rand.NewPCG(seed, 0x636f6e666967))}
}

// Current returns the version in force, or nil.
func (t *Tracker) Current() *Snapshot { return t.current }

// Version returns the number of the version in force, or zero.
func (t *Tracker) Version() uint64 {
	if t.current == nil {
		return 0
	}
	return t.current.Head.Version
}

// Pending returns the number of the version that is being fetched, or zero.
func (t *Tracker) Pending() uint64 {
	if t.target == nil {
		return 0
	}
	return t.target.version
}

// Chunk returns the stored bytes behind a hash: the head record or a chunk of
// the version in force.
func (t *Tracker) Chunk(h Hash) ([]byte, bool) {
	if t.current == nil {
		return nil, false
	}
	if h == t.current.HeadHash() {
		return t.current.HeadBytes, true
	}
	return t.current.Chunk(h)
}

// Step takes one piece of news, or nil when only time has passed, and returns
// what is to be done.
func (t *Tracker) Step(now time.Time, n News) []Effect {
	var out []Effect
	switch n := n.(type) {
	case StoreHead:
		out = t.storeHead(now, n)
	case StoreEmpty:
		if t.current != nil {
			out = append(out, Refused{Reason: RefuseMissing, Current: t.Version()})
		}
	case PeerVersion:
		out = t.peerVersion(n)
	case Received:
		out = t.received(now, n)
	case Failed:
		t.failed(now, n)
	}
	return append(out, t.fetches(now)...)
}

func (t *Tracker) storeHead(now time.Time, n StoreHead) []Effect {
	data := n.Data
	h, err := ParseHead(data)
	if err != nil {
		return []Effect{Refused{Reason: RefuseInvalid, Current: t.Version(), Err: err}}
	}
	hash := HashOf(data)
	if refused, ok := t.refuse(h.Version, hash, ""); ok {
		return refused
	}
	if t.target != nil && t.target.head == hash {
		if n.Watcher {
			t.target.storeAfter = time.Time{}
		}
		if t.target.parsed == nil {
			t.setHead(data, h)
		}
		return t.finish()
	}
	// The store's record is at hand, an announced one may not exist.
	if t.target != nil && t.target.version >= h.Version && t.target.parsed != nil {
		return nil
	}
	t.aim(h.Version, hash)
	if !n.Watcher {
		t.target.storeAfter = now.Add(storeWait + time.Duration(t.rng.Int64N(int64(storeWait))))
	}
	t.setHead(data, h)
	return t.finish()
}

func (t *Tracker) peerVersion(n PeerVersion) []Effect {
	if n.Version <= t.Version() {
		if n.Version == t.Version() && n.Version > 0 {
			if refused, ok := t.refuse(n.Version, n.Head, n.Peer); ok {
				return refused
			}
		}
		return nil
	}
	if slices.Contains(t.bans, n.Head) {
		return nil
	}
	if t.target == nil || n.Version > t.target.version {
		t.aim(n.Version, n.Head)
	}
	if t.target.head == n.Head && len(t.target.peers) < maxPeers && !slices.Contains(t.target.peers, n.Peer) {
		t.target.peers = append(t.target.peers, n.Peer)
	}
	return nil
}

// refuse tells whether a version must not be put in force, and why.
func (t *Tracker) refuse(version uint64, head Hash, peer string) ([]Effect, bool) {
	if t.current == nil || version > t.Version() {
		return nil, slices.Contains(t.bans, head)
	}
	r := Refused{Version: version, Current: t.Version(), Peer: peer}
	switch {
	case version < t.Version():
		r.Reason = RefuseOlder
	case head != t.current.HeadHash():
		r.Reason = RefuseOtherHead
	default:
		return nil, true
	}
	return []Effect{r}, true
}

// aim makes a version the target and keeps the chunks that are at hand.
func (t *Tracker) aim(version uint64, head Hash) {
	old := t.target
	t.target = &target{version: version, head: head, wants: make(map[Hash]*want), chunks: make(map[Hash][]byte)}
	if old != nil {
		t.target.chunks = old.chunks
	}
	t.target.want(head)
}

func (g *target) want(h Hash) {
	if _, ok := g.wants[h]; !ok {
		g.wants[h] = new(want)
		g.order = append(g.order, h)
	}
}

func (g *target) drop(h Hash) {
	delete(g.wants, h)
	if i := slices.Index(g.order, h); i >= 0 {
		g.order = slices.Delete(g.order, i, i+1)
	}
}

// setHead notes the head record of the target and the chunks that it lacks.
func (t *Tracker) setHead(data []byte, h *Head) {
	g := t.target
	g.headBytes, g.parsed = data, h
	g.drop(g.head)
	for _, ref := range h.Chunks {
		if ref.Section == SectionHistory {
			continue
		}
		if _, ok := g.chunks[ref.Hash]; ok {
			continue
		}
		if t.current != nil {
			if own, ok := t.current.Chunk(ref.Hash); ok {
				g.chunks[ref.Hash] = own
				continue
			}
		}
		g.want(ref.Hash)
	}
}

func (t *Tracker) received(now time.Time, n Received) []Effect {
	g := t.target
	if g == nil || g.wants[n.Hash] == nil {
		return nil
	}
	if HashOf(n.Data) != n.Hash {
		t.failed(now, Failed{Hash: n.Hash, Peer: n.Peer})
		g.peers = slices.DeleteFunc(g.peers, func(p string) bool { return p == n.Peer })
		return nil
	}
	if n.Hash == g.head && g.parsed == nil {
		h, err := ParseHead(n.Data)
		if err != nil || h.Version != g.version {
			return t.giveUp(n.Peer, err)
		}
		t.setHead(n.Data, h)
		return t.finish()
	}
	g.drop(n.Hash)
	g.chunks[n.Hash] = n.Data
	return t.finish()
}

// giveUp bans the target's head.
func (t *Tracker) giveUp(peer string, err error) []Effect {
	if len(t.bans) >= banned {
		t.bans = t.bans[1:]
	}
	t.bans = append(t.bans, t.target.head)
	r := Refused{Reason: RefuseInvalid, Version: t.target.version, Current: t.Version(), Peer: peer, Err: err}
	t.target = nil
	return []Effect{r}
}

// finish puts the target in force once it is complete.
func (t *Tracker) finish() []Effect {
	g := t.target
	if g.parsed == nil || len(g.wants) > 0 {
		return nil
	}
	s, err := NewSnapshot(g.headBytes, g.chunks)
	if err != nil {
		return t.giveUp("", err)
	}
	if !invariant.Check(invariant.NeverReverts, s.Head.Version > t.Version(),
		"version %d would follow %d", s.Head.Version, t.Version()) {
		t.target = nil
		return nil
	}
	t.current, t.target = s, nil
	return []Effect{Apply{Snapshot: s}}
}

func (t *Tracker) failed(now time.Time, n Failed) {
	if t.target == nil {
		return
	}
	if w := t.target.wants[n.Hash]; w != nil && w.inFlight {
		w.inFlight = false
		// A source that refuses at once must not be asked again at once.
		w.next = now.Add(t.jitter(fetchTimeout / 8 << min(w.attempts, 5)))
	}
}

// fetches asks for missing chunks, the next source in turn for those whose
// answer is overdue.
func (t *Tracker) fetches(now time.Time) []Effect {
	g := t.target
	if g == nil {
		return nil
	}
	var out []Effect
	busy := 0
	for _, h := range slices.Clone(g.order) {
		w := g.wants[h]
		if w.inFlight && now.Before(w.next) {
			busy++
			continue
		}
		if busy >= maxInFlight {
			break
		}
		if now.Before(w.next) {
			continue
		}
		if h == g.head && g.parsed == nil && w.attempts >= headAttempts {
			// The version is announced again by peers that do have it.
			t.target = nil
			return out
		}
		peer, ok := g.source(now, w.attempts, h, t.rng)
		if !ok {
			continue
		}
		w.attempts++
		w.inFlight = true
		w.next = now.Add(t.jitter(fetchTimeout << min(w.attempts-1, 4)))
		busy++
		out = append(out, Fetch{Hash: h, Peer: peer})
	}
	return out
}

// source picks a peer for the first attempts and then alternates with the store,
// so that a new version costs the store few reads however many VMs there are.
// A head is never under its hash in the store.
func (g *target) source(now time.Time, attempt int, h Hash, rng *rand.Rand) (peer string, ok bool) {
	isHead := h == g.head && g.parsed == nil
	store := !isHead && !now.Before(g.storeAfter)
	if len(g.peers) == 0 {
		return "", store
	}
	if store && attempt >= peerAttempts && attempt%2 == 0 {
		return "", true
	}
	return g.peers[rng.IntN(len(g.peers))], true
}

// jitter returns between 75 and 125 % of d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(t.rng.Int64N(int64(d/2)+1))
}
