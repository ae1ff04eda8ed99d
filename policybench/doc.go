// Package policybench measures package balance and baseline policies in the virtual-time
// simulation of internal/fakeupstream. It contains only benchmarks and tests.
package policybench
