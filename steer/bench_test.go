package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/gaissmai/bart"

	"github.com/currantferry/currantferry/internal/benchloop"
	"github.com/currantferry/currantferry/register"
)

const (
	benchBlocks = 780_000
	benchSites  = 230
)

// randomBlocks returns sorted blocks, 60 % of them IPv4, with the prefix lengths of
// customer allocations and some nested ones.
func randomBlocks(rng *rand.Rand, n, sites int) []register.Block {
	lengths4 := []int{20, 22, 22, 23, 24, 24, 24, 24, 24, 28}
	lengths6 := []int{32, 40, 44, 48, 48, 48, 48, 48, 56, 64}
	// IPv6 is allocated in six /12 ranges, in which providers have /32 blocks.
	registries := []uint64{0x200, 0x240, 0x260, 0x280, 0x2a0, 0x2c0}
	allocated := make([]uint64, 1+n/40)
	for i := range allocated {
		allocated[i] = registries[rng.IntN(6)]<<52 | rng.Uint64N(1<<20)<<32
	}
	seen := make(map[netip.Prefix]bool, n)
	out := make([]register.Block, 0, n)
	for len(out) < n {
		var p netip.Prefix
		if rng.IntN(10) < 6 {
			p = prefix4(1<<24+rng.Uint32N(222<<24), uint8(lengths4[rng.IntN(10)]))
		} else {
			p = prefix6(allocated[rng.IntN(len(allocated))]|rng.Uint64N(1<<32), 0, uint8(lengths6[rng.IntN(10)]))
		}
		p = p.Masked()
		if seen[p] {
			continue
		}
		seen[p] = true
		out = append(out, register.Block{Prefix: p, Site: fmt.Sprintf("site-%03d", rng.IntN(sites))})
	}
	slices.SortFunc(out, func(a, b register.Block) int { return ComparePrefixes(a.Prefix, b.Prefix) })
	return out
}

func seqOf(blocks []register.Block) func(func(netip.Prefix, string) bool) {
	return func(yield func(netip.Prefix, string) bool) {
		for i := range blocks {
			if !yield(blocks[i].Prefix, blocks[i].Site) {
				return
			}
		}
	}
}

func encodeAll(tb testing.TB, blocks []register.Block) [][]byte {
	tb.Helper()
	var chunks [][]byte
	err := EncodeBlocks(seqOf(blocks), func(c []byte) error {
		chunks = append(chunks, slices.Clone(c))
		return nil
	})
	if err != nil {
		tb.Fatal(err)
	}
	return chunks
}

func buildAll(tb testing.TB, chunks [][]byte) *Blocks {
	tb.Helper()
	t, err := BuildBlocks(chunks)
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	return heapBytes()
}

func randomCallers(rng *rand.Rand, blocks []register.Block) []netip.Addr {
	out := make([]netip.Addr, 1<<16)
	for i := range out {
		p := blocks[rng.IntN(len(blocks))].Prefix
		if p.Addr().Is4() {
			out[i] = prefix4(key4(p.Addr())|rng.Uint32()>>p.Bits(), 32).Addr()
		} else {
			hi, _ := key6(p.Addr())
			out[i] = prefix6(hi|rng.Uint64()>>p.Bits(), rng.Uint64(), 128).Addr()
		}
	}
	return out
}

// BenchmarkBlocks measures look-ups, the size and a rebuild of this package's table
// and of the tries of bart at the design size. rebuild-MB is the largest heap, less
// that without a table, while the old table serves and the new one is built from
// chunks.
func BenchmarkBlocks(b *testing.B) {
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), benchBlocks, benchSites)
	chunks := encodeAll(b, blocks)
	addrs := randomCallers(rand.New(rand.NewPCG(2, 2)), blocks)
	b.Run("sorted-arrays", func(b *testing.B) {
		benchTable(b, addrs, func(step func()) *Blocks {
			t := buildAll(b, chunks)
			step()
			return t
		}, func(t *Blocks, a netip.Addr) bool { return t.Lookup(a).OK })
	})
	number := make(map[string]uint16)
	b.Run("bart-table", func(b *testing.B) {
		benchTable(b, addrs, func(step func()) *bart.Table[uint16] {
			t := new(bart.Table[uint16])
			insertAll(b, chunks, number, t.Insert, step)
			return t
		}, func(t *bart.Table[uint16], a netip.Addr) bool { _, ok := t.Lookup(a); return ok })
	})
	b.Run("bart-fast", func(b *testing.B) {
		benchTable(b, addrs, func(step func()) *bart.Fast[uint16] {
			t := new(bart.Fast[uint16])
			insertAll(b, chunks, number, t.Insert, step)
			return t
		}, func(t *bart.Fast[uint16], a netip.Addr) bool { _, ok := t.Lookup(a); return ok })
	})
	wire := 0
	for _, c := range chunks {
		wire += len(c)
	}
	b.Run("wire", func(b *testing.B) {
		for b.Loop() {
			encodeAll(b, blocks)
		}
		b.ReportMetric(float64(wire), "wire-bytes")
		b.ReportMetric(float64(len(chunks)), "chunks")
	})
	runtime.KeepAlive(blocks)
}

func insertAll(b *testing.B, chunks [][]byte, number map[string]uint16, insert func(netip.Prefix, uint16), step func()) {
	for _, c := range chunks {
		err := DecodeBlocks(c, func(p netip.Prefix, site string) error {
			n, ok := number[site]
			if !ok {
				n = uint16(len(number))
				number[site] = n
			}
			insert(p, n)
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
		step()
	}
}

func benchTable[T any](b *testing.B, addrs []netip.Addr, build func(step func()) T, lookup func(T, netip.Addr) bool) {
	base := liveHeapBytes()
	table := build(func() {})
	size := liveHeapBytes() - base
	peak := uint64(0)
	next := build(func() { peak = max(peak, heapBytes()) })
	start := time.Now()
	build(func() {})
	took := time.Since(start)
	runtime.KeepAlive(next)
	hits := 0
	n := benchloop.Run(b, 1<<20, func(i int) {
		if lookup(table, addrs[i&(len(addrs)-1)]) {
			hits++
		}
	})
	if hits != n {
		b.Fatalf("%d of %d callers in no block", n-hits, n)
	}
	b.ReportMetric(float64(size)/benchBlocks, "bytes/block")
	b.ReportMetric(float64(took.Milliseconds()), "build-ms")
	b.ReportMetric(float64(peak-base)/(1<<20), "rebuild-MB")
}

// BenchmarkLookup measures a whole lookup and a rebuild of the snapshot at the
// design size: 740 VMs in 8 data centres, 780,000 blocks on 230 sites.
func BenchmarkLookup(b *testing.B) {
	blocks := randomBlocks(rand.New(rand.NewPCG(1, 1)), benchBlocks, benchSites)
	table := buildAll(b, encodeAll(b, blocks))
	reg := testRegister(4)
	reg.Blocks = nil
	for i := range benchSites {
		dc := reg.Sites[i%8].DataCentres
		reg.Sites = append(reg.Sites, register.Site{Name: fmt.Sprintf("site-%03d", i), DataCentres: dc})
	}
	in := Input{Register: reg, Blocks: table, VMs: testVMs(reg, 93)[:740]}
	builder := New(Config{})
	s, err := builder.Build(start, in)
	if err != nil {
		b.Fatal(err)
	}
	addrs := randomCallers(rand.New(rand.NewPCG(2, 2)), blocks)
	b.Run("lookup", func(b *testing.B) {
		benchloop.Run(b, 1<<18, func(i int) {
			a, err := s.Lookup(addrs[i&(len(addrs)-1)], "proefbank")
			if err != nil || len(a.Targets()) != defaultSetSize {
				b.Fatal(a, err)
			}
		})
	})
	b.Run("snapshot", func(b *testing.B) {
		benchloop.Run(b, 64, func(int) {
			if _, err := builder.Build(start, in); err != nil {
				b.Fatal(err)
			}
		})
	})
}
