package config

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func content(name string, blocks int) Content {
	r := &register.Register{
		Name: name,
		Regions: []register.Region{
			{Name: "noord", DataCentres: []register.DataCentre{{Name: "noord-a"}}},
			{Name: "zuid", DataCentres: []register.DataCentre{{Name: "zuid-a"}}},
		},
		Links: []register.Link{{A: "noord", B: "zuid", BitsPerSecond: 4e9, OneWayMillis: 55}},
		Services: []register.Service{{Name: "proefbank", Instances: []register.Instance{
			{ID: "p-1", Address: "127.0.0.1:8001", DataCentre: "noord-a", Slots: 9},
			{ID: "p-2", Address: "127.0.0.1:8002", DataCentre: "zuid-a", Slots: 9},
		}}},
		Sites: []register.Site{{Name: "site-0", DataCentres: []string{"noord-a"}}, {Name: "site-1", DataCentres: []string{"zuid-a"}}},
	}
	for i := range blocks {
		a := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		r.Blocks = append(r.Blocks, register.Block{Prefix: netip.PrefixFrom(a, 32), Site: fmt.Sprintf("site-%d", i%2)})
	}
	return Content{Register: r, Rules: &rules.Rules{Caps: []rules.Cap{{Service: "proefbank", StepPercent: 3}}}}
}

func meta(id string) Meta { return Meta{ChangeID: id, By: "anna", At: start, Why: "test " + id} }

func build(t testing.TB, prev *Head, c Content, id string) *EncodedVersion {
	t.Helper()
	b, err := Build(prev, nil, c, meta(id), nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func chunkMap(b *EncodedVersion) map[Hash][]byte {
	out := make(map[Hash][]byte)
	for _, c := range b.Chunks {
		out[c.Ref.Hash] = c.Data
	}
	return out
}

// Content must be the same after it is encoded to a head and chunks and decoded
// again, and no chunk may exceed the size limit.
func TestSnapshotRoundTrip(t *testing.T) {
	want := content("a", 50_000)
	b := build(t, nil, want, "c1")
	s, err := NewSnapshot(b.HeadBytes, chunkMap(b))
	if err != nil {
		t.Fatal(err)
	}
	if _, total, err := Diff(want, s.Content()); err != nil || total != 0 {
		t.Fatalf("%d differences, %v", total, err)
	}
	for _, c := range b.Chunks {
		if len(c.Data) > MaxChunkBytes {
			t.Fatalf("chunk of %d bytes", len(c.Data))
		}
	}
}

// A change of one block must not change most chunks, because every VM would then
// fetch all client blocks again.
func TestOneBlockChangesOneChunk(t *testing.T) {
	c := content("a", 100_000)
	first := chunkMap(build(t, nil, c, "c1"))
	c.Register.Blocks = append(c.Register.Blocks, register.Block{Prefix: netip.MustParsePrefix("10.0.200.0/24"), Site: "site-0"})
	changed := 0
	for _, chunk := range build(t, nil, c, "c1").Chunks {
		if _, ok := first[chunk.Ref.Hash]; !ok && chunk.Ref.Section == SectionBlocks {
			changed++
		}
	}
	if changed > 2 || changed == 0 {
		t.Fatalf("%d chunks of blocks changed", changed)
	}
}

// A history with long entries must not exceed the value limit of the store, and a
// resent change or an earlier version must still be found in it.
func TestHistoryIsBoundedAndFindsChanges(t *testing.T) {
	var h History
	why := strings.Repeat("w", MaxWhyBytes)
	for i := range MaxChanges + 10 {
		m := meta(fmt.Sprintf("c%d", i))
		m.Why = why
		h = h.withChange(Change{Version: uint64(i + 1), Meta: m, What: []string{strings.Repeat("ü", 500)}})
	}
	chunks, err := h.encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseHistory(chunks[0].Data)
	if err != nil || len(chunks) != 1 {
		t.Fatal(len(chunks), err)
	}
	last := fmt.Sprintf("c%d", MaxChanges+9)
	if c, ok := got.Find(last); !ok || c.Version != MaxChanges+10 {
		t.Fatalf("newest change not found: %v", c)
	}
	if len(got) > MaxChanges || len(got.Since(MaxChanges+8)) != 2 {
		t.Fatalf("%d changes", len(got))
	}
}

// A merge must keep the changes of both operators where they touch different
// values, and report a conflict where both changed the same value.
func TestMergeCombinesAndConflicts(t *testing.T) {
	base, mine, theirs := content("a", 10), content("a", 10), content("a", 12)
	mine.Register.Services[0].Instances[0].Slots = 5
	mine.Register.Blocks = mine.Register.Blocks[1:]
	theirs.Register.Services[0].Instances[1].Slots = 7
	theirs.Rules.Drains = []rules.Drain{{ID: "d1", Kind: rules.TargetRegion, Target: "zuid"}}
	merged, conflicts, err := Merge(base, mine, theirs)
	if err != nil || len(conflicts) != 0 {
		t.Fatal(conflicts, err)
	}
	i := merged.Register.Services[0].Instances
	if i[0].Slots != 5 || i[1].Slots != 7 || len(merged.Rules.Drains) != 1 || len(merged.Register.Blocks) != 11 {
		t.Fatalf("merged into %+v, %d blocks", i, len(merged.Register.Blocks))
	}
	theirs.Register.Services[0].Instances[0].Slots = 4
	theirs.Register.Blocks[0].Site = "site-1"
	_, conflicts, err = Merge(base, mine, theirs)
	want := "register.services[proefbank].instances[p-1].slots register.blocks[10.0.0.0/32]"
	if err != nil || strings.Join(conflicts, " ") != want {
		t.Fatalf("conflicts %q, want %q, %v", conflicts, want, err)
	}
}

// An older version, or different content of the same version, from the store or a
// peer must not replace the version in force.
func TestTrackerRefusesOlderVersions(t *testing.T) {
	b1 := build(t, nil, content("a", 10), "c1")
	b2 := build(t, b1.Head, content("b", 10), "c2")
	other := build(t, b1.Head, content("c", 10), "c3")
	tracker := NewTracker(1)
	deliver(t, tracker, b2)
	for reason, update := range map[RefuseReason]Update{
		RefuseOlder:     StoreHead{Data: b1.HeadBytes},
		RefuseOtherHead: StoreHead{Data: other.HeadBytes},
		RefuseMissing:   StoreEmpty{},
		RefuseInvalid:   StoreHead{Data: []byte("{")},
	} {
		out := tracker.Step(start, update)
		if r, ok := out[0].(Refused); !ok || r.Reason != reason || len(out) != 1 {
			t.Errorf("%s: %v", reason, out)
		}
	}
	tracker.Step(start, PeerVersion{Peer: "p", Version: 1, Head: HashOf(b1.HeadBytes)})
	if tracker.Version() != 2 || tracker.Pending() != 0 {
		t.Fatalf("version %d, pending %d", tracker.Version(), tracker.Pending())
	}
}

// deliver passes a version to the tracker as if it came from the store, and
// answers all fetches.
func deliver(t *testing.T, tracker *Tracker, b *EncodedVersion) {
	t.Helper()
	chunks := chunkMap(b)
	effects := tracker.Step(start, StoreHead{Data: b.HeadBytes, Watcher: true})
	for len(effects) > 0 {
		f, ok := effects[0].(Fetch)
		effects = effects[1:]
		if ok {
			effects = append(effects, tracker.Step(start, ChunkReceived{Hash: f.Hash, Data: chunks[f.Hash]})...)
		}
	}
	if tracker.Version() != b.Head.Version {
		t.Fatalf("version %d not in force", b.Head.Version)
	}
}

// A peer that announces a version that does not exist must not block later
// versions, and a peer that sends corrupt chunks must not prevent the VM from
// fetching them elsewhere.
func TestTrackerHandlesFaultyPeers(t *testing.T) {
	b := build(t, nil, content("a", 10), "c1")
	tracker := NewTracker(1)
	now := start
	effects := tracker.Step(now, PeerVersion{Peer: "faulty", Version: 1 << 60, Head: HashOf([]byte("x"))})
	for i := 0; tracker.Pending() != 0; i++ {
		if i > 1000 {
			t.Fatal("the version that does not exist is still pending")
		}
		for _, e := range effects {
			if f, ok := e.(Fetch); ok && i%2 == 0 {
				tracker.Step(now, FetchFailed(f))
			}
		}
		now = now.Add(500 * time.Millisecond)
		effects = tracker.Step(now, nil)
	}
	chunks := chunkMap(b)
	chunks[HashOf(b.HeadBytes)] = b.HeadBytes
	effects = append(tracker.Step(now, PeerVersion{Peer: "bad", Version: 1, Head: HashOf(b.HeadBytes)}),
		tracker.Step(now, PeerVersion{Peer: "good", Version: 1, Head: HashOf(b.HeadBytes)})...)
	for i := 0; tracker.Version() != 1; i++ {
		if i > 1000 {
			t.Fatal("version 1 not in force")
		}
		for _, e := range effects {
			if f, ok := e.(Fetch); ok && f.Peer == "bad" {
				tracker.Step(now, ChunkReceived{Hash: f.Hash, Data: []byte("garbage"), Peer: f.Peer})
			} else if ok {
				tracker.Step(now, ChunkReceived{Hash: f.Hash, Data: chunks[f.Hash], Peer: f.Peer})
			}
		}
		now = now.Add(500 * time.Millisecond)
		effects = tracker.Step(now, nil)
	}
}

// A VM that starts must not accept callers with a version that some reachable data
// centre has already replaced.
func TestStartupWaitsForEveryReachableDataCentre(t *testing.T) {
	s := NewStartupGate(start, []string{"a", "b", "c"})
	s.PeerAnswered("a", "a1", 7)
	s.PeerAnswered("b", "b1", 8)
	afterTimeout := start.Add(startupTimeout)
	if s.IsReady(afterTimeout, 0) || s.IsReady(afterTimeout, 7) {
		t.Fatal("ready with version 7 although b has 8")
	}
	s.PeerAnswered("a", "a1", 8)
	if s.IsReady(start, 8) {
		t.Fatal("ready before c had time to answer")
	}
	if !s.IsReady(afterTimeout, 8) {
		t.Fatal("not ready although c does not answer")
	}
}

// The invariant NeverReverts must be reported for a tracker whose target is older
// than the version in force. This proves that the check can fail.
func TestOlderTargetViolatesNeverReverts(t *testing.T) {
	first := build(t, nil, content("a", 0), "one")
	second := build(t, first.Head, content("a", 0), "two")
	newest, err := NewSnapshot(second.HeadBytes, chunkMap(second))
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewTracker(1)
	tracker.current = newest
	tracker.target = &target{version: 1, headBytes: first.HeadBytes, parsedHead: first.Head, chunks: chunkMap(first)}
	numViolations := 0
	defer invariant.OnViolation(func(v invariant.Violation) {
		if v.Name == invariant.NeverReverts {
			numViolations++
		}
	})()
	if effects := tracker.applyIfComplete(); len(effects) > 0 || numViolations != 1 || tracker.Version() != 2 {
		t.Fatalf("effects %v, %d violations, version %d", effects, numViolations, tracker.Version())
	}
}
