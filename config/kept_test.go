package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/currantferry/currantferry/register"
)

// Merge and Diff must give the same result for client blocks that are kept as
// stored as for decoded blocks, including all differences and conflicts.
func TestKeptBlocksEqualUnpackedOnes(t *testing.T) {
	seed := envInt("CURRANTFERRY_SEED", 7)
	rounds := envInt("CURRANTFERRY_ROUNDS", 12)
	rng := rand.New(rand.NewPCG(seed, 1))
	snapshot := func(c Content) *Snapshot {
		b := build(t, nil, c, "c")
		s, err := NewSnapshot(b.HeadBytes, chunkMap(b))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	// edit randomly changes the rules, the blocks, both or nothing.
	edit := func(s *Snapshot) *Snapshot {
		c := s.Content()
		if rng.IntN(2) == 0 {
			changedRules := *c.Rules
			changedRules.RetryPercent = float64(1 + rng.IntN(3))
			c.Rules = &changedRules
		}
		if n := len(c.Register.Blocks); rng.IntN(2) == 0 {
			c.Register.Blocks[rng.IntN(n)].Site = "site-0"
			c.Register.Blocks = slices.Delete(c.Register.Blocks, 0, rng.IntN(2))
		}
		return snapshot(c)
	}
	for round := range rounds {
		fail := func(format string, args ...any) {
			t.Fatalf("round %d: %s\nCURRANTFERRY_SEED=%d go test ./config -run TestKeptBlocksEqualUnpackedOnes", round, fmt.Sprintf(format, args...), seed)
		}
		base := snapshot(content("a", 20+rng.IntN(20_000)))
		mine, theirs := edit(base), edit(base)
		want, wantConflicts, err := Merge(base.Content(), mine.Content(), theirs.Content())
		if err != nil {
			fail("%v", err)
		}
		got, conflicts, err := Merge(base.ContentWithStoredBlocks(), mine.ContentWithStoredBlocks(), theirs.ContentWithStoredBlocks())
		if err != nil || !reflect.DeepEqual(conflicts, wantConflicts) {
			fail("conflicts %v, want %v, %v", conflicts, wantConflicts, err)
		}
		if _, total, err := Diff(want, got); err != nil || total != 0 {
			fail("%d differences, %v", total, err)
		}
		if a, b := build(t, nil, want, "c").HeadBytes, build(t, nil, got, "c").HeadBytes; string(a) != string(b) {
			fail("the stored forms differ")
		}
		list, total, _ := Diff(base.Content(), mine.Content())
		keptList, keptTotal, _ := Diff(base.ContentWithStoredBlocks(), mine.ContentWithStoredBlocks())
		if total != keptTotal || !reflect.DeepEqual(list, keptList) {
			fail("differences %v, want %v", keptList, list)
		}
	}
}

// Content must be rejected if it removes a site to which kept blocks belong.
func TestKeptBlocksNeedTheirSites(t *testing.T) {
	b := build(t, nil, content("a", 10), "c1")
	s, err := NewSnapshot(b.HeadBytes, chunkMap(b))
	if err != nil {
		t.Fatal(err)
	}
	c := s.ContentWithStoredBlocks()
	c.Register.Sites = slices.DeleteFunc(slices.Clone(c.Register.Sites), func(s register.Site) bool { return s.Name == "site-1" })
	if err := c.Validate(); err == nil {
		t.Error("blocks of a site that does not exist were accepted")
	}
}
