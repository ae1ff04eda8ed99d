// Package benchloop measures operations of nanoseconds, so that a benchmark with
// one iteration reports figures of many operations.
package benchloop

import (
	"runtime"
	"testing"
	"time"
)

// Run calls op perIteration times for each of b.N iterations, and reports
// ns/op, B/op and allocs/op of one call. It returns the number of calls. The index that
// op gets counts up from 0. Time and allocations before Run don't count.
func Run(b *testing.B, perIteration int, op func(i int)) int {
	n := b.N * perIteration
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ReportAllocs() // without it the framework leaves the reported allocations out
	b.ResetTimer()
	start := time.Now()
	for i := range n {
		op(i)
	}
	elapsed := time.Since(start)
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(n), "ns/op")
	// Like the framework, whole allocations: those of the runtime itself don't count.
	b.ReportMetric(float64((after.TotalAlloc-before.TotalAlloc)/uint64(n)), "B/op")
	b.ReportMetric(float64((after.Mallocs-before.Mallocs)/uint64(n)), "allocs/op")
	return n
}
