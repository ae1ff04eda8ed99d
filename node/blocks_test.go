package node

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// snapshotOf returns a configuration of n blocks, a quarter of them IPv6, on 230
// sites.
func snapshotOf(tb testing.TB, n int) *config.Snapshot {
	tb.Helper()
	r := &register.Register{Name: "t", Regions: []register.Region{{Name: "r", DataCentres: []register.DataCentre{{Name: "dc"}}}}}
	for i := range 230 {
		r.Sites = append(r.Sites, register.Site{Name: fmt.Sprintf("site-%d", i), DataCentres: []string{"dc"}})
	}
	for i := range n {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0}), 24)
		if i%4 == 0 {
			p = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x2a, 0, byte(i >> 16), byte(i >> 8), byte(i)}), 48)
		}
		r.Blocks = append(r.Blocks, register.Block{Prefix: p, Site: r.Sites[i%230].Name})
	}
	b, err := config.Build(nil, nil, config.Content{Register: r, Rules: new(rules.Rules)}, config.Meta{ChangeID: "c", By: "t"}, nil)
	if err != nil {
		tb.Fatal(err)
	}
	chunks := make(map[config.Hash][]byte)
	for _, c := range b.Chunks {
		chunks[c.Ref.Hash] = c.Data
	}
	s, err := config.NewSnapshot(b.HeadBytes, chunks)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// A table must not lose blocks when the previous one was smaller, or when the blocks
// come in another order than the table needs.
func TestBuildBlocksKeepsAll(t *testing.T) {
	s := snapshotOf(t, 20_000)
	for _, previous := range []blockCounts{{}, {1, 1}, {15_000, 5_000}} {
		blocks, counts, err := buildBlocks(s, previous)
		if err != nil || blocks.Len() != 20_000 || counts != (blockCounts{15_000, 5_000}) {
			t.Fatalf("room for %v: %d blocks, counts %v, %v", previous, blocks.Len(), counts, err)
		}
	}
}

// BenchmarkBuildBlocks measures the cost of a change of the blocks, with the previous
// counts unknown and known.
func BenchmarkBuildBlocks(b *testing.B) {
	s := snapshotOf(b, 780_000)
	for name, previous := range map[string]blockCounts{"counted-first": {}, "counts-known": {585_000, 195_000}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, _, err := buildBlocks(s, previous); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(b.Elapsed().Seconds()*1e3/float64(b.N), "build-ms")
		})
	}
}
