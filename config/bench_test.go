package config

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/currantferry/currantferry/register"
)

// BenchmarkSnapshot measures a configuration of the size that the system is
// designed for: 780,000 client blocks and 230 sites. change-bytes is what a VM
// fetches after a change of one block, which is the frequent case.
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
	var buildTime, openTime, iterateTime time.Duration
	var storedBytes, fetchedBytes, numChunks, headBytes int
	for i := range b.N {
		startedAt := time.Now()
		first := build(b, nil, c, "c1")
		buildTime += time.Since(startedAt)
		storedChunks := chunkMap(first)
		startedAt = time.Now()
		s, err := NewSnapshot(first.HeadBytes, storedChunks)
		if err != nil {
			b.Fatal(err)
		}
		openTime += time.Since(startedAt)
		startedAt = time.Now()
		for range s.Blocks() {
		}
		iterateTime += time.Since(startedAt)
		storedBytes, fetchedBytes, numChunks = 0, 0, len(first.Head.Chunks)
		for _, ref := range first.Head.Chunks {
			storedBytes += ref.Bytes
		}
		c.Register.Blocks[i%len(c.Register.Blocks)].Site = "site-229"
		next := build(b, first.Head, c, "c2")
		headBytes = len(next.HeadBytes)
		for _, ref := range next.Head.Chunks {
			if _, ok := storedChunks[ref.Hash]; !ok && ref.Section != SectionHistory {
				fetchedBytes += ref.Bytes
			}
		}
	}
	n := float64(b.N)
	b.ReportMetric(float64(buildTime.Milliseconds())/n, "build-ms")
	b.ReportMetric(float64(openTime.Milliseconds())/n, "open-ms")
	b.ReportMetric(float64(iterateTime.Milliseconds())/n, "iterate-ms")
	b.ReportMetric(float64(storedBytes)/(1<<20), "stored-MB")
	b.ReportMetric(float64(numChunks), "chunks")
	b.ReportMetric(float64(headBytes+fetchedBytes), "change-bytes")
	b.ReportMetric(0, "ns/op")
}
