package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/upstream"
)

// reachMonitor observes whether this VM can reach instances, and probes them when it may
// not. It is safe for concurrent use.
type reachMonitor struct {
	log   *slog.Logger
	gauge tally.Gauge
	// open opens a connection to an instance and keeps it for a request.
	open func(ctx context.Context, address string) error

	// onConnected is called when an instance accepts a connection, with the time at which
	// opening it began.
	onConnected func(now, began time.Time, address string)
	// onIsolated is called when this VM has found that it reaches no instance, and
	// onRoundFailed when none of several instances that it probed could be reached.
	onIsolated    func(now time.Time)
	onRoundFailed func()

	mu        sync.Mutex
	reach     *transit.Reach
	peers     *transit.Peers
	instances []string
	// path is cancelled when this VM is isolated, and replaced when it returns.
	path     context.Context
	losePath context.CancelFunc
	// isConfirming says that confirm waits for a connection.
	isConfirming bool
}

var _ upstream.Observer = (*reachMonitor)(nil)

func newReachMonitor(region string, log *slog.Logger, scope tally.Scope) *reachMonitor {
	path, losePath := context.WithCancel(context.Background())
	return &reachMonitor{
		path: path, losePath: losePath, log: log, gauge: scope.Gauge("isolated"), reach: transit.NewReach(transit.Config{Random: rand.Float64}),
		peers: transit.NewPeers(region, rand.Float64), onIsolated: func(time.Time) {}, onRoundFailed: func() {}, onConnected: func(time.Time, time.Time, string) {},
	}
}

// update applies a change to the tracker and reports a change of its state.
func (m *reachMonitor) update(change func(now time.Time)) {
	now := time.Now()
	m.mu.Lock()
	before, since := m.reach.State()
	failedBefore := m.reach.RoundFailedAt()
	change(now)
	after, _ := m.reach.State()
	hasRoundFailed := m.reach.RoundFailedAt().After(failedBefore)
	numInstances := len(m.instances)
	if after != before {
		switch after {
		case transit.Isolated:
			m.losePath()
		case transit.Returning:
			m.path, m.losePath = context.WithCancel(context.Background())
		}
	}
	m.mu.Unlock()
	if hasRoundFailed {
		m.onRoundFailed()
	}
	if after == before {
		return
	}
	switch after {
	case transit.Isolated:
		m.gauge.Update(1)
		event.InstancesUnreachable.Log(m.log, "instances", numInstances)
		m.onIsolated(now)
	case transit.Returning:
		m.gauge.Update(0)
		event.InstancesReachable.Log(m.log, "isolated_ms", now.Sub(since).Milliseconds())
	}
}

// setInstances replaces the addresses of the instances.
func (m *reachMonitor) setInstances(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = addresses
}

// Attempt implements upstream.Observer.
func (m *reachMonitor) Attempt(string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reach.RecordAttempt(time.Now())
}

// Connected implements upstream.Observer.
func (m *reachMonitor) Connected(address string, began time.Time) {
	m.update(func(now time.Time) { m.reach.RecordConnected(now, address) })
	m.onConnected(time.Now(), began, address)
}

// Answered implements upstream.Observer.
func (m *reachMonitor) Answered(address string) {
	m.update(func(now time.Time) { m.reach.RecordAnswer(now, address) })
}

// Failed implements upstream.Observer.
func (m *reachMonitor) Failed(address string, since time.Time) {
	m.update(func(now time.Time) { m.reach.RecordFailure(now, since, address) })
}

// tick advances the tracker, and probes the instances that it names.
func (m *reachMonitor) tick(ctx context.Context, group *conc.WaitGroup) {
	var targets []string
	m.update(func(now time.Time) { targets = m.reach.Tick(now, m.instances) })
	for _, address := range targets {
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, m.reach.ProbeTimeout())
			defer cancel()
			err := m.open(bounded, address)
			m.update(func(now time.Time) { m.reach.RecordProbe(now, address, err == nil) })
		})
	}
}

// numConfirming is the number of instances that confirm tries at once, since some may have
// crashed together with the doubted ones.
const numConfirming = 3

// confirm opens connections to instances at none of the doubted addresses. If one
// succeeds, this VM reaches instances, and the doubted ones have failed themselves. If all
// fail, its own links may have failed.
func (m *reachMonitor) confirm(ctx context.Context, group *conc.WaitGroup, doubted map[string]bool) {
	m.mu.Lock()
	var others []string
	for _, address := range m.instances {
		if !doubted[address] {
			others = append(others, address)
		}
	}
	busy := m.isConfirming || len(others) == 0
	m.isConfirming = m.isConfirming || !busy
	m.mu.Unlock()
	if busy {
		return
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(numConfirming, len(others))]
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, m.reach.ProbeTimeout())
		defer cancel()
		var attempts conc.WaitGroup
		var succeeded atomic.Bool
		for _, address := range others {
			attempts.Go(func() {
				if m.open(bounded, address) == nil {
					succeeded.Store(true)
				}
			})
		}
		attempts.Wait()
		m.update(func(now time.Time) {
			m.isConfirming = false
			if !succeeded.Load() && len(others) == numConfirming && ctx.Err() == nil {
				m.reach.RecordRoundFailure(now)
			}
		})
	})
}

// currentPath returns a context that is cancelled when this VM reaches no instance any
// more. A VM that is isolated has not begun new attempts since.
func (m *reachMonitor) currentPath() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.path
}
