package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/peer/peerpb"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/report"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// pointInterval and maxPoints bound the curves of the report to 10 minutes.
	pointInterval = 5 * time.Second
	maxPoints     = 120
	// maxSamples bounds the latencies kept for one point.
	maxSamples = 512
)

// observations holds the measurements that the report shows as curves, and the number
// of answers.
type observations struct {
	mu         sync.Mutex
	answered   int64
	samples    []time.Duration
	numSamples int
	last       time.Time
	latency    []float64
	headroom   []float64
	draining   []float64
}

// recordOutcome records the end of an attempt.
func (o *observations) recordOutcome(out proxy.Outcome) {
	if out.Verdict != verdict.Ran || out.Cancelled {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answered++
	// Once the buffer is full, the oldest samples of the interval are overwritten.
	if len(o.samples) < maxSamples {
		o.samples = append(o.samples, out.Latency)
	} else {
		o.samples[o.numSamples%maxSamples] = out.Latency
	}
	o.numSamples++
}

// addPoint adds a point to each curve once pointInterval has passed.
func (o *observations) addPoint(now time.Time, headroom, draining float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.last) < pointInterval {
		return
	}
	o.last = now
	slices.Sort(o.samples)
	p99 := 0.0
	if n := len(o.samples); n > 0 {
		p99 = o.samples[(n-1)*99/100].Seconds() * 1e3
	}
	o.samples, o.numSamples = o.samples[:0], 0
	o.latency = appendPoint(o.latency, p99)
	o.headroom = appendPoint(o.headroom, headroom)
	o.draining = appendPoint(o.draining, draining)
}

func appendPoint(points []float64, v float64) []float64 {
	points = append(points, v)
	return slices.Delete(points, 0, max(0, len(points)-maxPoints))
}

func (o *observations) lines() (lines []report.Series, answered int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	line := func(name, unit string, points []float64) {
		lines = append(lines, report.Series{Name: name, Unit: unit, Interval: pointInterval, Points: slices.Clone(points)})
	}
	line("Latency p99 on this VM", "ms", o.latency)
	line("Least headroom of a region", "%", o.headroom)
	line("In flight on drained instances from this VM", "requests", o.draining)
	return lines, o.answered
}

// instanceStats returns the balancers' statistics of the instances of all pools, by ID.
func (n *Node) instanceStats(now time.Time) map[string]balance.Stat {
	n.selector.mu.Lock()
	pools := make([]*pool, 0, len(n.selector.pools))
	for _, p := range n.selector.pools {
		pools = append(pools, p)
	}
	n.selector.mu.Unlock()
	out := make(map[string]balance.Stat)
	for _, p := range pools {
		p.mu.Lock()
		stats := p.balancer.Stats(now)
		p.mu.Unlock()
		for _, s := range stats {
			out[s.ID] = s
		}
	}
	return out
}

// observeDrains records the requests of this VM in flight on drained instances, and
// adds a point to the curves of the report when it is due.
func (n *Node) observeDrains(now time.Time) {
	stats := n.instanceStats(now)
	n.mu.Lock()
	total := 0
	for _, p := range n.drains.Progress(now) {
		count := inFlightOn(stats, n.drains.Covered(p.Drain))
		n.drains.Observe(now, p.Drain, count)
		total += count
	}
	n.mu.Unlock()
	n.observed.addPoint(now, 100*n.minHeadroom(), float64(total))
}

func inFlightOn(stats map[string]balance.Stat, instances []string) int {
	count := 0
	for _, id := range instances {
		count += stats[id].InFlight
	}
	return count
}

// unfinishedDrains returns the drains in effect that have not finished on this VM,
// and the version of the configuration that defines them.
func (n *Node) unfinishedDrains() ([]*peerpb.DrainState, uint64) {
	now := time.Now()
	stats := n.instanceStats(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*peerpb.DrainState
	if n.snapshot == nil {
		return nil, 0
	}
	for _, p := range n.drains.Progress(now) {
		since := p.Since
		if n.snapshotAt.After(since) {
			since = n.snapshotAt
		}
		d := &peerpb.DrainState{
			Id: p.Drain, InFlight: uint32(inFlightOn(stats, n.drains.Covered(p.Drain))),
			Settling: now.Sub(since) < drain.DefaultGrace,
		}
		if d.InFlight > 0 || d.Settling {
			out = append(out, d)
		}
	}
	return out, n.snapshot.Head.Version
}

// DrainCounts implements admin.Backend.
func (o adminBackend) DrainCounts(ctx context.Context, version uint64) admin.DrainCounts {
	out := admin.DrainCounts{InFlight: make(map[string]int), Unfinished: make(map[string]bool)}
	add := func(id string, states []*peerpb.DrainState, stateVersion uint64) {
		if stateVersion < version {
			out.Missing = append(out.Missing, id)
		}
		for _, d := range states {
			out.InFlight[d.GetId()] += int(d.GetInFlight())
			out.Unfinished[d.GetId()] = true
		}
	}
	replies, unanswered := o.n.control.AskVersions(ctx)
	out.Missing = unanswered
	for id, r := range replies {
		add(id, r.GetDraining(), r.GetDrainsVersion())
	}
	states, stateVersion := o.n.unfinishedDrains()
	add(o.n.self.ID, states, stateVersion)
	slices.Sort(out.Missing)
	return out
}

// minHeadroom returns the smallest free fraction of a service's slots in any region,
// according to the plan in force. Without a plan it is 1.
func (n *Node) minHeadroom() float64 {
	n.planner.mu.Lock()
	defer n.planner.mu.Unlock()
	lowest := 1.0
	if n.planner.current == nil {
		return lowest
	}
	for _, s := range n.planner.current.Services {
		for target := range s.Healthy {
			load := 0.0
			for _, row := range s.Rows {
				if target < len(row.Share) {
					load += row.Demand * row.Share[target]
				}
			}
			if s.Healthy[target] > 0 {
				lowest = min(lowest, 1-load/s.Healthy[target])
			}
		}
	}
	return max(0, lowest)
}
