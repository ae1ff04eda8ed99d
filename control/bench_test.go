package control

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

// steadyWindow is how long the traffic without changes is measured.
const steadyWindow = 5 * time.Second

func processorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (f *fleet) calls() float64 {
	c := f.store.Counts()
	return float64(c.Reads + c.Writes + c.Watches)
}

// reportUsage measures the fleet without changes. Bytes include both
// directions.
func (f *fleet) reportUsage(b *testing.B) {
	n := float64(len(f.nodes))
	in, out := f.counters.Bytes()
	calls, cpu := f.calls(), processorTime(b)
	began := time.Now()
	time.Sleep(steadyWindow)
	seconds := time.Since(began).Seconds()
	in2, out2 := f.counters.Bytes()
	b.ReportMetric((f.calls()-calls)/seconds, "store-calls/s")
	b.ReportMetric(float64(in2+out2-in-out)/seconds/n, "bytes/s/node")
	b.ReportMetric((processorTime(b)-cpu).Seconds()/seconds/n*100, "cpu-%/node")
}

func reportTimes(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "in-force-p50-ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "in-force-max-ms")
	b.ReportMetric(0, "ns/op")
}

func benchFleet(b *testing.B, n int) *fleet {
	f := newFleet(b)
	f.publish(0)
	f.startMany(n)
	await(b, time.Minute, "version 1 everywhere", func() bool { return inForceEverywhere(f.nodes, 1) })
	time.Sleep(10 * time.Second)
	return f
}

func (f *fleet) measure(b *testing.B, nodes []*node, version uint64, accepted time.Time) []time.Duration {
	await(b, 30*time.Second, fmt.Sprintf("version %d everywhere", version), func() bool { return inForceEverywhere(nodes, version) })
	var took []time.Duration
	for _, n := range nodes {
		at, _ := n.inForce(version)
		took = append(took, max(0, at.Sub(accepted)))
	}
	return took
}

// BenchmarkConfigInForce measures the time from the acceptance of a change by
// the store until it is in force on each node.
func BenchmarkConfigInForce(b *testing.B) {
	for _, n := range []int{12, 24, 48, 96} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := benchFleet(b, n)
			f.reportUsage(b)
			var took []time.Duration
			for i := range b.N {
				r := f.publish(uint64(i + 1))
				took = append(took, f.measure(b, f.nodes, r.Version, time.Now())...)
			}
			reportTimes(b, took)
		})
	}
}

// BenchmarkConfigInForceWatchersLost measures the same, but all watchers crash
// just before the change is accepted. With two nodes in a data centre both
// watch, and one of them crashes.
func BenchmarkConfigInForceWatchersLost(b *testing.B) {
	for _, n := range []int{12, 24, 48, 96} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var took []time.Duration
			for i := range b.N {
				f := benchFleet(b, n)
				if i == 0 {
					f.reportUsage(b)
				}
				perDataCentre := make(map[string]int)
				var rest, lost []*node
				for _, v := range f.nodes {
					perDataCentre[v.info.DataCentre]++
					if v.IsWatching() && (n > 12 || perDataCentre[v.info.DataCentre] == 1) {
						lost = append(lost, v)
					} else {
						rest = append(rest, v)
					}
				}
				for _, v := range lost {
					v.server.Close()
					v.cancel()
				}
				r := f.publish(1)
				took = append(took, f.measure(b, rest, r.Version, time.Now())...)
				for _, v := range f.nodes {
					v.crash()
				}
			}
			reportTimes(b, took)
		})
	}
}
