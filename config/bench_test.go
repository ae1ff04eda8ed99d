package config

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/currantferry/currantferry/register"
)

// BenchmarkSnapshot measures a configuration of the size to design for: 780,000
// client blocks and 230 sites. A change of one block is what VMs fetch often.
func BenchmarkSnapshot(b *testing.B) {
	c := content("large", 0)
	c.Register.Sites = nil
	for i := range 230 {
		c.Register.Sites = append(c.Register.Sites, register.Site{Name: fmt.Sprintf("site-%d", i), DataCentres: []string{"noord-a", "zuid-a"}})
	}
	for i := range 780_000 {
		a := netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0})
		c.Register.Blocks = append(c.Register.Blocks, register.Block{Prefix: netip.PrefixFrom(a, 24), Site: fmt.Sprintf("site-%d", (i*7919)%230)})
	}
	var took, opening, spent time.Duration
	var stored, fetched, chunks, head int
	for i := range b.N {
		began := time.Now()
		first := build(b, nil, c, "c1")
		took += time.Since(began)
		have := chunkMap(first)
		began = time.Now()
		s, err := NewSnapshot(first.HeadBytes, have)
		if err != nil {
			b.Fatal(err)
		}
		opening += time.Since(began)
		began = time.Now()
		for range s.Blocks() {
		}
		spent += time.Since(began)
		stored, fetched, chunks = 0, 0, len(first.Head.Chunks)
		for _, ref := range first.Head.Chunks {
			stored += ref.Bytes
		}
		c.Register.Blocks[i%len(c.Register.Blocks)].Site = "site-229"
		next := build(b, first.Head, c, "c2")
		head = len(next.HeadBytes)
		for _, ref := range next.Head.Chunks {
			if _, ok := have[ref.Hash]; !ok && ref.Section != SectionHistory {
				fetched += ref.Bytes
			}
		}
	}
	n := float64(b.N)
	b.ReportMetric(float64(took.Milliseconds())/n, "build-ms")
	b.ReportMetric(float64(opening.Milliseconds())/n, "open-ms")
	b.ReportMetric(float64(spent.Milliseconds())/n, "iterate-ms")
	b.ReportMetric(float64(stored)/(1<<20), "stored-MB")
	b.ReportMetric(float64(chunks), "chunks")
	b.ReportMetric(float64(head+fetched), "change-bytes")
	b.ReportMetric(0, "ns/op")
}
