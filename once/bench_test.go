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
	tr := &benchCluster{machines: make(map[string]*Machine), now: simStart}
	for _, id := range []string{"entry", "owner", "w1", "w2"} {
		m := New(tr.now, Config{Self: Member{id, 1}, Partitions: 1, MaxClaims: claims})
		if id != "entry" {
			m.stage(m.parts[0], 1, "v").received.add(0, 1)
		}
		tr.machines[id] = m
		m.Observe(tr.now, r) // the first pings are not delivered
	}
	return tr
}

func (tr *benchCluster) apply(from string, e Effects) {
	for i := range e.Sends {
		tr.work, tr.from = append(tr.work, e.Sends[i]), append(tr.from, from)
	}
	if len(e.Answers) > 0 {
		tr.last = e.Answers[0]
	}
	for len(tr.work) > 0 {
		s, f := tr.work[0], tr.from[0]
		tr.work, tr.from = tr.work[1:], tr.from[1:]
		tr.sent++
		e := tr.machines[s.To].Step(tr.now, f, &s.Message)
		for i := range e.Sends {
			tr.work, tr.from = append(tr.work, e.Sends[i]), append(tr.from, s.To)
		}
		if len(e.Answers) > 0 {
			tr.last = e.Answers[0]
		}
	}
	tr.work, tr.from = tr.work[:0], tr.from[:0]
}

// BenchmarkClaim measures a claim and its completion, on all four machines together.
func BenchmarkClaim(b *testing.B) {
	for _, held := range []int{0, 65_536, 1_000_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			tr := newBenchCluster(1 << 30)
			key := func(i int) Key {
				var k Key
				x := uint64(i+1) * 0x9e3779b97f4a7c15
				binary.LittleEndian.PutUint64(k[8:], x^x>>31)
				binary.BigEndian.PutUint64(k[:8], uint64(i))
				return k
			}
			run := func(i int) {
				seq, e := tr.machines["entry"].Claim(tr.now, key(i), 1)
				tr.apply("entry", e)
				if tr.last.Seq != seq || tr.last.Err != nil {
					b.Fatalf("claim %d: %+v", i, tr.last)
				}
				tr.apply("entry", tr.machines["entry"].Done(tr.now, seq, 200))
				if i%1024 == 0 {
					for _, id := range []string{"entry", "owner"} {
						tr.machines[id].Tick(tr.now) // compacts the queues
					}
				}
			}
			for i := 0; i < held; i++ {
				run(i)
			}
			tr.sent = 0
			n := benchloop.Run(b, 4096, func(i int) { run(held + i) })
			b.ReportMetric(float64(tr.sent)/float64(n), "messages/claim")
			claims, bytes := tr.machines["w1"].Usage()
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
