// Package metric collects metrics with tally and serves them to Prometheus.
package metric

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/currantferry/currantferry/verdict"
)

// reportInterval is how often tally passes its values to the Prometheus registry.
const reportInterval = time.Second

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	mu       sync.RWMutex
	refusals map[verdict.Reason]tally.Counter
	retries  map[verdict.Reason]tally.Counter
	counts   map[string]int64
}

// New returns a set of metrics with the name prefix "currantferry_".
func New() *Set {
	// A separate registry allows several sets in one process.
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "currantferry",
		Separator:              promreporter.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Set{
		scope:    scope,
		closer:   closer,
		handler:  reporter.HTTPHandler(),
		refusals: make(map[verdict.Reason]tally.Counter),
		retries:  make(map[verdict.Reason]tally.Counter),
		counts:   make(map[string]int64),
	}
}

// Scope returns the root scope for further counters, gauges and histograms.
func (s *Set) Scope() tally.Scope { return s.scope }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler { return s.handler }

// Close stops reporting.
func (s *Set) Close() error { return s.closer.Close() }

// CountRefusal counts a refusal by reason.
func (s *Set) CountRefusal(r verdict.Reason) { s.count("refusals", s.refusals, r) }

// CountRetry counts a retry by the reason of the failed attempt before it.
func (s *Set) CountRetry(r verdict.Reason) { s.count("retries", s.retries, r) }

func (s *Set) count(name string, counters map[verdict.Reason]tally.Counter, r verdict.Reason) {
	s.mu.Lock()
	c, ok := counters[r]
	if !ok {
		c = s.scope.Tagged(map[string]string{"reason": string(r)}).Counter(name)
		counters[r] = c
	}
	s.counts[name+"/"+string(r)]++
	s.mu.Unlock()
	c.Inc(1)
}

// Refusals returns the number of refusals so far by reason.
func (s *Set) Refusals() map[verdict.Reason]int64 { return s.snapshot("refusals", s.refusals) }

// Retries returns the number of retries so far by reason.
func (s *Set) Retries() map[verdict.Reason]int64 { return s.snapshot("retries", s.retries) }

func (s *Set) snapshot(name string, counters map[verdict.Reason]tally.Counter) map[verdict.Reason]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[verdict.Reason]int64, len(counters))
	for r := range counters {
		out[r] = s.counts[name+"/"+string(r)]
	}
	return out
}
