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

func build(t testing.TB, prev *Head, c Content, id string) *Built {
	t.Helper()
	b, err := Build(prev, nil, c, meta(id), nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func chunkMap(b *Built) map[Hash][]byte {
	out := make(map[Hash][]byte)
	for _, c := range b.Chunks {
		out[c.Ref.Hash] = c.Data
	}
	return out
}

// Guards against content that changes on its way through head and chunks.
func TestSnapshotHoldsWhatWasBuilt(t *testing.T) {
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

// Guards against a change of one block that makes every VM fetch the table anew.
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

// Guards against a history that outgrows the value limit of the store, and one
// from which a resend or an earlier version cannot be found.
func TestHistoryIsBoundedAndFindsChanges(t *testing.T) {
	var h History
	why := strings.Repeat("w", MaxWhyBytes)
	for i := range MaxChanges + 10 {
		m := meta(fmt.Sprintf("c%d", i))
		m.Why = why
		h = h.add(Change{Version: uint64(i + 1), Meta: m, What: []string{strings.Repeat("ü", 500)}})
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

// Guards against a merge that loses one of two changes, or that lets two
// operators overwrite each other.
func TestMergeCombinesAndConflicts(t *testing.T) {
	base, mine, theirs := content("a", 10), content("a", 10), content("a", 12)
	mine.Register.Services[0].Instances[0].Slots = 5
	mine.Register.Blocks = mine.Register.Blocks[1:]
	theirs.Register.Services[0].Instances[1].Slots = 7
	theirs.Rules.Drains = []rules.Drain{{ID: "d1", Kind: rules.TargetRegion, Target: "zuid"}}
	merged, clashes, err := Merge(base, mine, theirs)
	if err != nil || len(clashes) != 0 {
		t.Fatal(clashes, err)
	}
	i := merged.Register.Services[0].Instances
	if i[0].Slots != 5 || i[1].Slots != 7 || len(merged.Rules.Drains) != 1 || len(merged.Register.Blocks) != 11 {
		t.Fatalf("merged into %+v, %d blocks", i, len(merged.Register.Blocks))
	}
	theirs.Register.Services[0].Instances[0].Slots = 4
	theirs.Register.Blocks[0].Site = "site-1"
	_, clashes, err = Merge(base, mine, theirs)
	want := "register.services[proefbank].instances[p-1].slots register.blocks[10.0.0.0/32]"
	if err != nil || strings.Join(clashes, " ") != want {
		t.Fatalf("clashes %q, want %q, %v", clashes, want, err)
	}
}

// Guards against an older or different version from the store or a peer taking
// the place of the version in force.
func TestTrackerRefusesOlderVersions(t *testing.T) {
	b1 := build(t, nil, content("a", 10), "c1")
	b2 := build(t, b1.Head, content("b", 10), "c2")
	other := build(t, b1.Head, content("c", 10), "c3")
	tr := NewTracker(1)
	deliver(t, tr, b2)
	for name, n := range map[RefuseReason]News{
		RefuseOlder:     StoreHead{Data: b1.HeadBytes},
		RefuseOtherHead: StoreHead{Data: other.HeadBytes},
		RefuseMissing:   StoreEmpty{},
		RefuseInvalid:   StoreHead{Data: []byte("{")},
	} {
		out := tr.Step(start, n)
		if r, ok := out[0].(Refused); !ok || r.Reason != name || len(out) != 1 {
			t.Errorf("%s: %v", name, out)
		}
	}
	tr.Step(start, PeerVersion{Peer: "p", Version: 1, Head: HashOf(b1.HeadBytes)})
	if tr.Version() != 2 || tr.Pending() != 0 {
		t.Fatalf("version %d, pending %d", tr.Version(), tr.Pending())
	}
}

// deliver hands a version to the tracker as the store would.
func deliver(t *testing.T, tr *Tracker, b *Built) {
	t.Helper()
	chunks := chunkMap(b)
	work := tr.Step(start, StoreHead{Data: b.HeadBytes, Watcher: true})
	for len(work) > 0 {
		f, ok := work[0].(Fetch)
		work = work[1:]
		if ok {
			work = append(work, tr.Step(start, Received{Hash: f.Hash, Data: chunks[f.Hash]})...)
		}
	}
	if tr.Version() != b.Head.Version {
		t.Fatalf("version %d not in force", b.Head.Version)
	}
}

// Guards against an announced version that does not exist blocking later ones,
// and against a corrupt chunk being put in force.
func TestTrackerSurvivesBadPeers(t *testing.T) {
	b := build(t, nil, content("a", 10), "c1")
	tr := NewTracker(1)
	now := start
	work := tr.Step(now, PeerVersion{Peer: "liar", Version: 1 << 60, Head: HashOf([]byte("x"))})
	for i := 0; tr.Pending() != 0; i++ {
		if i > 1000 {
			t.Fatal("the announced version is still awaited")
		}
		for _, e := range work {
			if f, ok := e.(Fetch); ok && i%2 == 0 {
				tr.Step(now, Failed(f))
			}
		}
		now = now.Add(500 * time.Millisecond)
		work = tr.Step(now, nil)
	}
	chunks := chunkMap(b)
	chunks[HashOf(b.HeadBytes)] = b.HeadBytes
	work = append(tr.Step(now, PeerVersion{Peer: "bad", Version: 1, Head: HashOf(b.HeadBytes)}),
		tr.Step(now, PeerVersion{Peer: "good", Version: 1, Head: HashOf(b.HeadBytes)})...)
	for i := 0; tr.Version() != 1; i++ {
		if i > 1000 {
			t.Fatal("version 1 not in force")
		}
		for _, e := range work {
			if f, ok := e.(Fetch); ok && f.Peer == "bad" {
				tr.Step(now, Received{Hash: f.Hash, Data: []byte("garbage"), Peer: f.Peer})
			} else if ok {
				tr.Step(now, Received{Hash: f.Hash, Data: chunks[f.Hash], Peer: f.Peer})
			}
		}
		now = now.Add(500 * time.Millisecond)
		work = tr.Step(now, nil)
	}
}

// Guards against a VM that takes callers with a version that a data centre has
// already replaced.
func TestStartupWaitsForEveryDataCentreThatAnswers(t *testing.T) {
	s := NewStartup(start, []string{"a", "b", "c"})
	s.PeerAnswered("a", "a1", 7)
	s.PeerAnswered("b", "b1", 8)
	late := start.Add(startupWait)
	if s.Ready(late, 0) || s.Ready(late, 7) {
		t.Fatal("ready with version 7 although b has 8")
	}
	s.PeerAnswered("a", "a1", 8)
	if s.Ready(start, 8) {
		t.Fatal("ready before c had time to answer")
	}
	if !s.Ready(late, 8) {
		t.Fatal("not ready although c does not answer")
	}
}

// Guards against a check of reverts that cannot fail: a tracker whose target is
// older than the version in force.
func TestOlderTargetTripsTheCheck(t *testing.T) {
	first := build(t, nil, content("a", 0), "one")
	second := build(t, first.Head, content("a", 0), "two")
	newest, err := NewSnapshot(second.HeadBytes, chunkMap(second))
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewTracker(1)
	tracker.current = newest
	tracker.target = &target{version: 1, headBytes: first.HeadBytes, parsed: first.Head, chunks: chunkMap(first)}
	fired := 0
	defer invariant.OnViolation(func(v invariant.Violation) {
		if v.Name == invariant.NeverReverts {
			fired++
		}
	})()
	if effects := tracker.finish(); len(effects) > 0 || fired != 1 || tracker.Version() != 2 {
		t.Fatalf("effects %v, %d violations, version %d", effects, fired, tracker.Version())
	}
}
