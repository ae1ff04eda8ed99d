package once

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/benchloop"
)

// benchCluster is an entry VM, an owner and two witnesses that exchange messages
// without delay.
type benchCluster struct {
	machines map[string]*Machine
	now      time.Time
	sent     int
	work     []Send
	from     []string
	last     Answer
}

func newBenchCluster(claims int) *benchCluster {
	r := Record{Epoch: 1, View: "v", Owner: Member{"owner", 1}, Witnesses: []Member{{"w1", 1}, {"w2", 1}}}
	c := &benchCluster{machines: make(map[string]*Machine), now: simStart}
	for _, id := range []string{"entry", "owner", "w1", "w2"} {
		m := New(c.now, Config{Self: Member{id, 1}, Partitions: 1, MaxClaims: claims})
		if id != "entry" {
			m.stage(m.parts[0], 1, "v").received.add(0, 1)
		}
		c.machines[id] = m
		m.Observe(c.now, r) // the first pings are not delivered
	}
	return c
}

func (c *benchCluster) apply(from string, e Effects) {
	for i := range e.Sends {
		c.work, c.from = append(c.work, e.Sends[i]), append(c.from, from)
	}
	if len(e.Answers) > 0 {
		c.last = e.Answers[0]
	}
	for len(c.work) > 0 {
		s, f := c.work[0], c.from[0]
		c.work, c.from = c.work[1:], c.from[1:]
		c.sent++
		e := c.machines[s.To].Step(c.now, f, &s.Message)
		for i := range e.Sends {
			c.work, c.from = append(c.work, e.Sends[i]), append(c.from, s.To)
		}
		if len(e.Answers) > 0 {
			c.last = e.Answers[0]
		}
	}
	c.work, c.from = c.work[:0], c.from[:0]
}

// BenchmarkClaim measures a claim and its completion, on all four machines together.
func BenchmarkClaim(b *testing.B) {
	for _, held := range []int{0, 65_536, 1_000_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			c := newBenchCluster(1 << 30)
			key := func(i int) Key {
				var k Key
				x := uint64(i+1) * 0x9e3779b97f4a7c15
				binary.LittleEndian.PutUint64(k[8:], x^x>>31)
				binary.BigEndian.PutUint64(k[:8], uint64(i))
				return k
			}
			run := func(i int) {
				seq, e := c.machines["entry"].Claim(c.now, key(i), 1)
				c.apply("entry", e)
				if c.last.Seq != seq || c.last.Err != nil {
					b.Fatalf("claim %d: %+v", i, c.last)
				}
				c.apply("entry", c.machines["entry"].Done(c.now, seq, 200))
				if i%1024 == 0 {
					for _, id := range []string{"entry", "owner"} {
						c.machines[id].Tick(c.now) // compacts the queues
					}
				}
			}
			for i := 0; i < held; i++ {
				run(i)
			}
			c.sent = 0
			n := benchloop.Run(b, 4096, func(i int) { run(held + i) })
			b.ReportMetric(float64(c.sent)/float64(n), "messages/claim")
			claims, bytes := c.machines["w1"].Usage()
			b.ReportMetric(float64(bytes)/float64(claims), "bytes/held")
		})
	}
}

// BenchmarkTick measures the periodic work of a VM that owns one or two of 16
// partitions, in a fleet of 12.
func BenchmarkTick(b *testing.B) {
	f := settledFleet(b, Config{Partitions: 16})
	m, now := f.nodes[0].m, f.now
	benchloop.Run(b, 4096, func(int) { m.Tick(now) })
}
