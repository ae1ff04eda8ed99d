// Package benchloop measures operations that take nanoseconds: each iteration of a
// benchmark runs many operations, so that one iteration gives a usable result.
package benchloop

import (
	"runtime"
	"testing"
	"time"
)

// Run calls op perIteration times for each of b.N iterations, and reports ns/op, B/op and
// allocs/op of one call. It returns the number of calls. The index passed to op starts at
// 0. Time and allocations before Run are not measured.
func Run(b *testing.B, perIteration int, op func(i int)) int {
	n := b.N * perIteration
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ReportAllocs() // without it, package testing omits the reported allocations
	b.ResetTimer()
	start := time.Now()
	for i := range n {
		op(i)
	}
	elapsed := time.Since(start)
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(n), "ns/op")
	// Rounded down, as package testing does, so that the runtime's own allocations are left
	// out.
	b.ReportMetric(float64((after.TotalAlloc-before.TotalAlloc)/uint64(n)), "B/op")
	b.ReportMetric(float64((after.Mallocs-before.Mallocs)/uint64(n)), "allocs/op")
	return n
}
