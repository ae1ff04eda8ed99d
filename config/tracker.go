package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// Limits of the Tracker.
const (
	// maxInFlight bounds the number of concurrent fetches.
	maxInFlight = 8
	// maxPeers bounds the peers that are stored as sources of a version.
	maxPeers = 8
	// peerAttempts is how often a chunk is requested from peers before the store.
	peerAttempts = 2
	// maxHeadAttempts bounds the attempts to fetch a head that only peers announced,
	// so that the tracker abandons an announced version that does not exist.
	maxHeadAttempts = 6
	// storeReadDelay is how long a VM that does not watch the store waits for peers
	// before it reads chunks from the store. Jitter adds up to the same time again.
	storeReadDelay = 3 * time.Second
	// fetchTimeout is the timeout of the first attempt to fetch a chunk. It doubles
	// with each attempt, up to 16 times this value.
	fetchTimeout = time.Second
	// maxBannedHeads bounds the list of heads that turned out to be invalid.
	maxBannedHeads = 16
)

// Update is an input of Tracker.Step.
type Update interface{ isUpdate() }

// StoreHead is the head record as read from the store.
type StoreHead struct {
	Data []byte
	// Watcher is set on VMs that watch the store. Other VMs first wait for peers to
	// offer the chunks, so that when many VMs restart, they do not all read every
	// chunk from the store.
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

// ChunkReceived is the result of a Fetch that was answered. Peer is empty if the store
// answered.
type ChunkReceived struct {
	Hash Hash
	Data []byte
	Peer string
}

// FetchFailed means that a Fetch failed. Peer is empty if the request went to the
// store.
type FetchFailed struct {
	Hash Hash
	Peer string
}

func (StoreHead) isUpdate()     {}
func (StoreEmpty) isUpdate()    {}
func (PeerVersion) isUpdate()   {}
func (ChunkReceived) isUpdate() {}
func (FetchFailed) isUpdate()   {}

// Effect is one output of Tracker.Step.
type Effect interface{ isEffect() }

// Fetch requests a chunk or a head record from a peer, or a chunk from the store
// if Peer is empty. The caller answers with ChunkReceived or FetchFailed.
type Fetch struct {
	Hash Hash
	Peer string
}

// Apply puts a version in force.
type Apply struct{ Snapshot *Snapshot }

// RefuseReason is the reason of a Refused effect.
type RefuseReason string

// Reasons why a version is refused.
const (
	RefuseOlder     RefuseReason = "older-version"
	RefuseOtherHead RefuseReason = "same-version-other-content"
	RefuseMissing   RefuseReason = "store-lost-head"
	RefuseInvalid   RefuseReason = "invalid"
)

// Refused reports a version that is not put in force. Version is zero if it is
// not known. Peer is empty if the version came from the store.
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

// Tracker decides which version is in force on one VM and which chunks to fetch.
// It only moves to greater versions.
type Tracker struct {
	rng         *rand.Rand
	current     *Snapshot
	target      *target
	bannedHeads []Hash
}

// target is the version that is being fetched.
type target struct {
	version    uint64
	head       Hash
	headBytes  []byte
	parsedHead *Head
	// storeAllowedAt is when reading chunks from the store becomes allowed.
	storeAllowedAt time.Time
	peers          []string
	missing        map[Hash]*missingChunk
	fetchOrder     []Hash
	chunks         map[Hash][]byte
}

// missingChunk is the state of the fetches of a chunk that the VM lacks.
type missingChunk struct {
	attempts int
	inFlight bool
	// nextAttempt is when the chunk is requested again.
	nextAttempt time.Time
}

// NewTracker returns a tracker without a version. The seed of the random
// generator should differ between VMs, so that they spread their retries.
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

// Chunk returns the stored bytes with hash h: the head record or a chunk of the
// version in force.
func (t *Tracker) Chunk(h Hash) ([]byte, bool) {
	if t.current == nil {
		return nil, false
	}
	if h == t.current.HeadHash() {
		return t.current.HeadBytes, true
	}
	return t.current.Chunk(h)
}

// Step processes one update, or nil if only time has passed, and returns the
// effects that the caller must carry out.
func (t *Tracker) Step(now time.Time, u Update) []Effect {
	var out []Effect
	switch u := u.(type) {
	case StoreHead:
		out = t.handleStoreHead(now, u)
	case StoreEmpty:
		if t.current != nil {
			out = append(out, Refused{Reason: RefuseMissing, Current: t.Version()})
		}
	case PeerVersion:
		out = t.handlePeerVersion(u)
	case ChunkReceived:
		out = t.handleReceived(now, u)
	case FetchFailed:
		t.handleFailed(now, u)
	}
	return append(out, t.startFetches(now)...)
}

func (t *Tracker) handleStoreHead(now time.Time, u StoreHead) []Effect {
	data := u.Data
	h, err := ParseHead(data)
	if err != nil {
		return []Effect{Refused{Reason: RefuseInvalid, Current: t.Version(), Err: err}}
	}
	hash := HashOf(data)
	if refused, ok := t.refusal(h.Version, hash, ""); ok {
		return refused
	}
	if t.target != nil && t.target.head == hash {
		if u.Watcher {
			t.target.storeAllowedAt = time.Time{}
		}
		if t.target.parsedHead == nil {
			t.setHead(data, h)
		}
		return t.applyIfComplete()
	}
	// The head that was just read exists, whereas a version that peers announced
	// may not. Only a target whose head is known is kept.
	if t.target != nil && t.target.version >= h.Version && t.target.parsedHead != nil {
		return nil
	}
	t.setTarget(h.Version, hash)
	if !u.Watcher {
		t.target.storeAllowedAt = now.Add(storeReadDelay + time.Duration(t.rng.Int64N(int64(storeReadDelay))))
	}
	t.setHead(data, h)
	return t.applyIfComplete()
}

func (t *Tracker) handlePeerVersion(u PeerVersion) []Effect {
	if u.Version <= t.Version() {
		if u.Version == t.Version() && u.Version > 0 {
			if refused, ok := t.refusal(u.Version, u.Head, u.Peer); ok {
				return refused
			}
		}
		return nil
	}
	if slices.Contains(t.bannedHeads, u.Head) {
		return nil
	}
	if t.target == nil || u.Version > t.target.version {
		t.setTarget(u.Version, u.Head)
	}
	if t.target.head == u.Head && len(t.target.peers) < maxPeers && !slices.Contains(t.target.peers, u.Peer) {
		t.target.peers = append(t.target.peers, u.Peer)
	}
	return nil
}

// refusal reports whether a version must not be put in force, and returns a
// Refused effect unless it is already in force or banned.
func (t *Tracker) refusal(version uint64, head Hash, peer string) ([]Effect, bool) {
	if t.current == nil || version > t.Version() {
		return nil, slices.Contains(t.bannedHeads, head)
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

// setTarget makes a version the target and keeps the chunks that were fetched for
// the previous target.
func (t *Tracker) setTarget(version uint64, head Hash) {
	previous := t.target
	t.target = &target{version: version, head: head, missing: make(map[Hash]*missingChunk), chunks: make(map[Hash][]byte)}
	if previous != nil {
		t.target.chunks = previous.chunks
	}
	t.target.addMissing(head)
}

func (g *target) addMissing(h Hash) {
	if _, ok := g.missing[h]; !ok {
		g.missing[h] = new(missingChunk)
		g.fetchOrder = append(g.fetchOrder, h)
	}
}

func (g *target) removeMissing(h Hash) {
	delete(g.missing, h)
	if i := slices.Index(g.fetchOrder, h); i >= 0 {
		g.fetchOrder = slices.Delete(g.fetchOrder, i, i+1)
	}
}

// setHead sets the head record of the target and determines which chunks are
// missing.
func (t *Tracker) setHead(data []byte, h *Head) {
	g := t.target
	g.headBytes, g.parsedHead = data, h
	g.removeMissing(g.head)
	previousChunks := g.chunks
	g.chunks = make(map[Hash][]byte)
	for _, ref := range h.Chunks {
		if ref.Section == SectionHistory {
			continue
		}
		if chunk, ok := previousChunks[ref.Hash]; ok {
			g.chunks[ref.Hash] = chunk
			continue
		}
		if t.current != nil {
			if chunk, ok := t.current.Chunk(ref.Hash); ok {
				g.chunks[ref.Hash] = chunk
				continue
			}
		}
		g.addMissing(ref.Hash)
	}
}

func (t *Tracker) handleReceived(now time.Time, u ChunkReceived) []Effect {
	g := t.target
	if g == nil || g.missing[u.Hash] == nil {
		return nil
	}
	if HashOf(u.Data) != u.Hash {
		t.handleFailed(now, FetchFailed{Hash: u.Hash, Peer: u.Peer})
		g.peers = slices.DeleteFunc(g.peers, func(p string) bool { return p == u.Peer })
		return nil
	}
	if u.Hash == g.head && g.parsedHead == nil {
		h, err := ParseHead(u.Data)
		if err != nil || h.Version != g.version {
			return t.banTarget(u.Peer, err)
		}
		t.setHead(u.Data, h)
		return t.applyIfComplete()
	}
	g.removeMissing(u.Hash)
	g.chunks[u.Hash] = u.Data
	return t.applyIfComplete()
}

// banTarget abandons the target and refuses its head from now on.
func (t *Tracker) banTarget(peer string, err error) []Effect {
	if len(t.bannedHeads) >= maxBannedHeads {
		t.bannedHeads = t.bannedHeads[1:]
	}
	t.bannedHeads = append(t.bannedHeads, t.target.head)
	r := Refused{Reason: RefuseInvalid, Version: t.target.version, Current: t.Version(), Peer: peer, Err: err}
	t.target = nil
	return []Effect{r}
}

// applyIfComplete puts the target in force if no chunk is missing.
func (t *Tracker) applyIfComplete() []Effect {
	g := t.target
	if g.parsedHead == nil || len(g.missing) > 0 {
		return nil
	}
	s, err := NewSnapshot(g.headBytes, g.chunks)
	if err != nil {
		return t.banTarget("", err)
	}
	if !invariant.Check(invariant.NeverReverts, s.Head.Version > t.Version(),
		"version %d would follow %d", s.Head.Version, t.Version()) {
		t.target = nil
		return nil
	}
	t.current, t.target = s, nil
	return []Effect{Apply{Snapshot: s}}
}

func (t *Tracker) handleFailed(now time.Time, u FetchFailed) {
	if t.target == nil {
		return
	}
	if m := t.target.missing[u.Hash]; m != nil && m.inFlight {
		m.inFlight = false
		// The backoff keeps a source that fails immediately from being asked again at
		// once.
		m.nextAttempt = now.Add(t.jitter(fetchTimeout / 8 << min(m.attempts, 5)))
	}
}

// startFetches returns requests for missing chunks. A request whose timeout has
// passed is repeated with a newly chosen source.
func (t *Tracker) startFetches(now time.Time) []Effect {
	g := t.target
	if g == nil {
		return nil
	}
	var out []Effect
	numInFlight := 0
	for _, h := range slices.Clone(g.fetchOrder) {
		m := g.missing[h]
		if m.inFlight && now.Before(m.nextAttempt) {
			numInFlight++
			continue
		}
		if numInFlight >= maxInFlight {
			break
		}
		if now.Before(m.nextAttempt) {
			continue
		}
		if h == g.head && g.parsedHead == nil && m.attempts >= maxHeadAttempts {
			// If the version exists, peers that have it will announce it again.
			t.target = nil
			return out
		}
		peer, ok := g.chooseSource(now, m.attempts, h, t.rng)
		if !ok {
			continue
		}
		m.attempts++
		m.inFlight = true
		m.nextAttempt = now.Add(t.jitter(fetchTimeout << min(m.attempts-1, 4)))
		numInFlight++
		out = append(out, Fetch{Hash: h, Peer: peer})
	}
	return out
}

// chooseSource picks a peer for the first attempts and then alternates between
// peers and the store, so that a new version causes few reads of the store even with
// many VMs.
// Heads are requested from peers only, because the store does not have them under
// their hash.
func (g *target) chooseSource(now time.Time, attempt int, h Hash, rng *rand.Rand) (peer string, ok bool) {
	isHead := h == g.head && g.parsedHead == nil
	store := !isHead && !now.Before(g.storeAllowedAt)
	if len(g.peers) == 0 {
		return "", store
	}
	if store && attempt >= peerAttempts && attempt%2 == 0 {
		return "", true
	}
	return g.peers[rng.IntN(len(g.peers))], true
}

// jitter returns a random duration between 75 % and 125 % of d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(t.rng.Int64N(int64(d/2)+1))
}
