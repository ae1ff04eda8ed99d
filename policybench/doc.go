// Package policybench measures package balance and its baselines against the
// virtual-time model of internal/fakeupstream. It has benchmarks and tests only.
package policybench
