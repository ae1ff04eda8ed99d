package steer

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
)

// envInt returns a number from the environment, or def.
func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// randomised runs f for each round with a random source of its own. A failure
// prints how to repeat it.
func randomised(t *testing.T, rounds int, f func(t *testing.T, rng *rand.Rand)) {
	t.Helper()
	seed := envInt("CURRANTFERRY_SEED", 1)
	rounds = envInt("CURRANTFERRY_ROUNDS", rounds)
	defer invariant.OnViolation(func(v invariant.Violation) { t.Errorf("invariant violated: %s", v) })()
	defer func() {
		if t.Failed() {
			t.Logf("repeat with: CURRANTFERRY_SEED=%d CURRANTFERRY_ROUNDS=%d go test ./steer -run '^%s$'", seed, rounds, t.Name())
		}
	}()
	for round := range rounds {
		if f(t, rand.New(rand.NewPCG(uint64(seed), uint64(round)))); t.Failed() {
			t.Logf("seed %d, round %d", seed, round)
			return
		}
	}
}

// nestedBlocks returns blocks of all lengths, many of them nested.
func nestedBlocks(rng *rand.Rand, n int) []register.Block {
	seen := make(map[netip.Prefix]bool)
	var out []register.Block
	for len(out) < n {
		var p netip.Prefix
		if rng.IntN(2) == 0 {
			p = prefix4(0x0a000000|rng.Uint32()&0x00010307, uint8(rng.IntN(33)))
		} else {
			p = prefix6(0x20<<56|rng.Uint64()&0x0103, rng.Uint64()&0xc000000000000003, uint8(rng.IntN(129)))
		}
		if p = p.Masked(); !seen[p] {
			seen[p] = true
			out = append(out, register.Block{Prefix: p, Site: "s" + strconv.Itoa(rng.IntN(5))})
		}
	}
	return out
}

func longestMatch(blocks []register.Block, a netip.Addr) (best register.Block) {
	for _, b := range blocks {
		if b.Prefix.Contains(a) && (!best.Prefix.IsValid() || b.Prefix.Bits() > best.Prefix.Bits()) {
			best = b
		}
	}
	return best
}

func nearbyAddr(rng *rand.Rand, p netip.Prefix) netip.Addr {
	if p.Addr().Is4() {
		return prefix4(key4(p.Addr())^1<<rng.IntN(32)>>rng.IntN(33), 32).Addr()
	}
	hi, lo := key6(p.Addr())
	return prefix6(hi^1<<rng.IntN(64)>>rng.IntN(65), lo^1<<rng.IntN(64)>>rng.IntN(65), 128).Addr()
}

// Guards against a wrong block for nested prefixes, and against a scope that contains
// an address of another block, which a DNS cache would then answer wrongly.
func TestBlocksAgreeWithLinearSearch(t *testing.T) {
	randomised(t, 200, func(t *testing.T, rng *rand.Rand) {
		blocks := nestedBlocks(rng, 1+rng.IntN(40))
		table, err := NewBlocks(blocks)
		if err != nil {
			t.Fatal(err)
		}
		for range 100 {
			a := nearbyAddr(rng, blocks[rng.IntN(len(blocks))].Prefix)
			m, want := table.Lookup(a), longestMatch(blocks, a)
			if m.OK != want.Prefix.IsValid() || (m.OK && (int(m.Bits) != want.Prefix.Bits() || table.SiteName(m.Site) != want.Site)) {
				t.Fatalf("%s: got %+v, want %v", a, m, want)
			}
			scope, err := a.Prefix(int(m.Scope))
			if err != nil || m.Scope < m.Bits {
				t.Fatalf("%s: scope %d of block of %d bits: %v", a, m.Scope, m.Bits, err)
			}
			for _, b := range blocks {
				if b.Prefix.Bits() > int(m.Bits) && b.Prefix.Overlaps(scope) {
					t.Fatalf("%s: block %s lies within scope %s", a, b.Prefix, scope)
				}
			}
		}
	})
}

// Guards against blocks that change when they are encoded and decoded.
func TestWireKeepsBlocks(t *testing.T) {
	randomised(t, 50, func(t *testing.T, rng *rand.Rand) {
		blocks := nestedBlocks(rng, 1+rng.IntN(60))
		slices.SortFunc(blocks, func(a, b register.Block) int { return ComparePrefixes(a.Prefix, b.Prefix) })
		var got []register.Block
		for p, site := range buildAll(t, encodeAll(t, blocks)).All() {
			got = append(got, register.Block{Prefix: p, Site: site})
		}
		if !slices.Equal(got, blocks) {
			t.Fatalf("got %v\nwant %v", got, blocks)
		}
	})
}

// Guards against a change of one block that replaces many chunks, which every VM
// would then fetch, and against a chunk that is too large for the store.
func TestOneChangeReplacesOneChunk(t *testing.T) {
	blocks := randomBlocks(rand.New(rand.NewPCG(3, 3)), 60_000, benchSites)
	before := encodeAll(t, blocks)
	if len(before) < 4 {
		t.Fatalf("%d chunks, too few for this test", len(before))
	}
	known := make(map[string]bool)
	for _, c := range before {
		known[string(c)] = true
		if len(c) > MaxChunkBytes {
			t.Fatalf("chunk of %d bytes", len(c))
		}
	}
	fresh := 0
	for _, c := range encodeAll(t, slices.Delete(slices.Clone(blocks), 30_000, 30_001)) {
		if !known[string(c)] {
			fresh++
		}
	}
	if fresh > 2 {
		t.Fatalf("one block removed, %d of %d chunks are new", fresh, len(before))
	}
}

// Guards against a builder that accepts blocks out of order, repeated blocks or host
// bits, from which it would build a wrong table.
func TestBuilderRejects(t *testing.T) {
	p := netip.MustParsePrefix
	for _, c := range [][]netip.Prefix{
		{p("10.0.0.0/8"), p("9.0.0.0/8")},
		{p("10.0.0.0/8"), p("10.0.0.0/8")},
		{p("2001:db8::/32"), p("10.0.0.0/8")},
		{p("10.0.0.1/8")},
		{{}},
	} {
		bb := NewBlocksBuilder(0, 0)
		var err error
		for _, prefix := range c {
			err = bb.Add(prefix, "s")
		}
		if err == nil {
			t.Errorf("%v accepted", c)
		}
	}
}

// Guards against panics and unbounded allocation on forged chunks, and against chunks
// whose decoded blocks cannot be encoded again.
func FuzzDecodeBlocks(f *testing.F) {
	for i := range uint64(4) {
		rng := rand.New(rand.NewPCG(i, i))
		blocks := nestedBlocks(rng, 20)
		slices.SortFunc(blocks, func(a, b register.Block) int { return ComparePrefixes(a.Prefix, b.Prefix) })
		for _, c := range encodeAll(f, blocks) {
			f.Add(c)
		}
	}
	f.Fuzz(func(t *testing.T, chunk []byte) {
		var blocks []register.Block
		if err := DecodeBlocks(chunk, func(p netip.Prefix, site string) error {
			blocks = append(blocks, register.Block{Prefix: p, Site: site})
			return nil
		}); err != nil {
			return
		}
		var again []register.Block
		for p, site := range buildAll(t, encodeAll(t, blocks)).All() {
			again = append(again, register.Block{Prefix: p, Site: site})
		}
		if !slices.Equal(blocks, again) {
			t.Fatalf("%v became %v", blocks, again)
		}
	})
}
