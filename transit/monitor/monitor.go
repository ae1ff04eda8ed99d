// Package monitor observes whether a VM can reach upstream instances, probes them when it may
// not, and names the VM through which a request is passed on.
package monitor

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

// Monitor observes whether this VM can reach instances. It is safe for concurrent use. The
// exported fields are set before its first use.
type Monitor struct {
	// Open opens a connection to an instance and keeps it for a request.
	Open func(ctx context.Context, address string) error
	// OpenPeer opens a connection to another VM and keeps it for a request. Nil means that no
	// VM is probed beside instances.
	OpenPeer func(ctx context.Context, address string) error
	// OnConnected is called when an instance accepts a connection, with the time at which
	// opening it began.
	OnConnected func(now, began time.Time, address string)
	// OnIsolated is called when this VM has found that it reaches no instance, and
	// OnRoundFailed when none of several instances that it probed could be reached.
	OnIsolated    func(now time.Time)
	OnRoundFailed func()
	// OnCongested is called when this VM has found that its link is congested: connections to
	// instances open late, and so do those to other VMs.
	OnCongested func(now time.Time)

	log   *slog.Logger
	gauge tally.Gauge

	mu        sync.Mutex
	reach     *transit.Reach
	peers     *transit.Peers
	instances []string
	// path is cancelled when this VM is isolated, and replaced when it returns.
	path     context.Context
	losePath context.CancelFunc
	// isConfirming says that Confirm waits for a connection.
	isConfirming bool
	// answeredAt is when an instance answered last, and slowestConnect the longest time that a
	// connection to an instance took since the last round of probes.
	answeredAt     time.Time
	slowestConnect time.Duration
}

var _ upstream.Observer = (*Monitor)(nil)

// New returns a monitor for a VM of a region.
func New(region string, log *slog.Logger, scope tally.Scope) *Monitor {
	path, losePath := context.WithCancel(context.Background())
	return &Monitor{
		path: path, losePath: losePath, log: log, gauge: scope.Gauge("isolated"), reach: transit.NewReach(transit.Config{Random: rand.Float64}),
		peers: transit.NewPeers(region, rand.Float64), OnIsolated: func(time.Time) {}, OnRoundFailed: func() {}, OnCongested: func(time.Time) {}, OnConnected: func(time.Time, time.Time, string) {},
	}
}

// update applies a change to the tracker and reports a change of its state.
func (m *Monitor) update(change func(now time.Time)) {
	now := time.Now()
	m.mu.Lock()
	before, since := m.reach.State()
	failedBefore, wasCongested := m.reach.RoundFailedAt(), m.reach.IsCongested(now)
	change(now)
	isCongested := m.reach.IsCongested(now) && !wasCongested
	after, _ := m.reach.State()
	hasRoundFailed := m.reach.RoundFailedAt().After(failedBefore)
	numInstances := len(m.instances)
	if after != before {
		switch after {
		case transit.Isolated:
			if m.peers.Len() > 0 {
				m.losePath()
			}
		case transit.Returning:
			m.restorePath()
		}
	}
	m.mu.Unlock()
	if hasRoundFailed {
		m.OnRoundFailed()
	}
	if isCongested {
		m.OnCongested(now)
	}
	if after == before {
		return
	}
	switch after {
	case transit.Isolated:
		m.gauge.Update(1)
		event.InstancesUnreachable.Log(m.log, "instances", numInstances)
		m.OnIsolated(now)
	case transit.Returning:
		m.gauge.Update(0)
		event.InstancesReachable.Log(m.log, "isolated_ms", now.Sub(since).Milliseconds())
	}
}

// restorePath replaces a path that was cancelled. The lock is held.
func (m *Monitor) restorePath() {
	if m.path.Err() != nil {
		m.path, m.losePath = context.WithCancel(context.Background())
	}
}

// SetInstances replaces the addresses of the instances.
func (m *Monitor) SetInstances(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = addresses
}

// Attempt implements upstream.Observer.
func (m *Monitor) Attempt(string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reach.RecordAttempt(time.Now())
}

// Connected implements upstream.Observer.
func (m *Monitor) Connected(address string, began time.Time) {
	m.update(func(now time.Time) {
		m.slowestConnect = max(m.slowestConnect, now.Sub(began))
		m.reach.RecordConnected(now, address)
	})
	m.OnConnected(time.Now(), began, address)
}

// Answered implements upstream.Observer.
func (m *Monitor) Answered(address string) {
	m.update(func(now time.Time) {
		m.answeredAt = now
		m.reach.RecordAnswer(now, address)
	})
}

// Failed implements upstream.Observer.
func (m *Monitor) Failed(address string, since time.Time) {
	m.update(func(now time.Time) { m.reach.RecordFailure(now, since, address) })
}

// Tick advances the tracker, and probes the instances that it names. Several are probed
// together with other VMs, whose result tells whether this VM's links work at all.
func (m *Monitor) Tick(ctx context.Context, group *conc.WaitGroup) {
	r := new(round)
	m.update(func(now time.Time) {
		numPeers := 0
		if m.OpenPeer != nil {
			numPeers = m.peers.Len()
		}
		drawn := m.reach.Tick(now, m.instances, numPeers)
		r.began, r.targets, r.controls = now, drawn.Targets, m.peers.Controls(now, drawn.NumControls)
	})
	if len(r.targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.reach.SlowProbeTimeout())
	bound := time.AfterFunc(m.reach.ProbeTimeout(), func() {
		m.mu.Lock()
		isExtended := m.reach.ExtendsRound()
		m.mu.Unlock()
		if !isExtended {
			cancel()
		}
	})
	r.left.Store(int32(len(r.targets) + len(r.controls)))
	probe := func(address string, open func(context.Context, string) error, done func(transit.ProbeResult)) {
		group.Go(func() {
			done(resultOf(open(ctx, address)))
			if r.left.Add(-1) == 0 {
				bound.Stop()
				cancel()
				m.logRound(r)
			}
		})
	}
	for _, peer := range r.controls {
		probe(peer.Address, m.OpenPeer, func(result transit.ProbeResult) {
			r.recordControl(result)
			m.update(func(now time.Time) {
				m.peers.RecordControl(now, peer.ID, result == transit.ProbeOpened)
				m.reach.RecordControl(now, r.began, result)
			})
		})
	}
	for _, address := range r.targets {
		probe(address, m.Open, func(result transit.ProbeResult) {
			r.recordTarget(result)
			m.update(func(now time.Time) { m.reach.RecordProbe(now, address, result) })
		})
	}
}

// resultOf returns what opening a connection showed.
func resultOf(err error) transit.ProbeResult {
	switch {
	case err == nil:
		return transit.ProbeOpened
	case errors.Is(err, upstream.ErrConnectionLimit):
		return transit.ProbeNotSent
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return transit.ProbeRefused
	default:
		return transit.ProbeLate
	}
}

// round is a round of probes.
type round struct {
	began    time.Time
	targets  []string
	controls []transit.Peer
	// left is the number of probes that have not ended.
	left atomic.Int32

	mu sync.Mutex
	// numOpened and numRefused are the numbers of instances that accepted and that refused or
	// reset a connection. The others didn't answer in time.
	numOpened, numRefused int
	// numControlsOpened is the number of other VMs that accepted one, the slowest after
	// controlTime.
	numControlsOpened int
	controlTime       time.Duration
}

func (r *round) recordTarget(result transit.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case transit.ProbeOpened:
		r.numOpened++
	case transit.ProbeRefused:
		r.numRefused++
	}
}

func (r *round) recordControl(result transit.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result == transit.ProbeOpened {
		r.numControlsOpened++
		r.controlTime = max(r.controlTime, time.Since(r.began))
	}
}

// logRound logs a round of probes in which an instance did not accept a connection.
func (m *Monitor) logRound(r *round) {
	m.mu.Lock()
	state, _ := m.reach.State()
	isCongested, sinceAnswer, slowest := m.reach.IsCongested(time.Now()), time.Since(m.answeredAt), m.slowestConnect
	m.slowestConnect = 0
	m.mu.Unlock()
	if len(r.targets) == 1 || r.numOpened == len(r.targets) {
		return
	}
	event.InstancesProbed.Log(m.log, "state", state.String(), "congested", isCongested, "instances", len(r.targets), "opened", r.numOpened, "refused", r.numRefused,
		"vms", len(r.controls), "vms_opened", r.numControlsOpened, "vm_ms", r.controlTime.Milliseconds(),
		"since_answer_ms", sinceAnswer.Milliseconds(), "slowest_connect_ms", slowest.Milliseconds())
}

// numConfirming is the number of instances that Confirm tries at once, since some may have
// crashed together with the doubted ones.
const numConfirming = 3

// Confirm opens connections to instances at none of the doubted addresses. If one
// succeeds, this VM reaches instances, and the doubted ones have failed themselves. If all
// fail, its own links may have failed.
func (m *Monitor) Confirm(ctx context.Context, group *conc.WaitGroup, doubted map[string]bool) {
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
				// An instance at the limit of connections was reached.
				if err := m.Open(bounded, address); err == nil || errors.Is(err, upstream.ErrConnectionLimit) {
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

// Path returns a context that is cancelled when this VM reaches no instance any
// more. A VM that is isolated has not begun new attempts since.
func (m *Monitor) Path() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.path
}

// SetPeers replaces the VMs to which requests can be passed on.
func (m *Monitor) SetPeers(peers []transit.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.Set(peers)
	state, _ := m.reach.State()
	switch {
	case len(peers) == 0:
		// Without another VM, this one goes on trying instances.
		m.restorePath()
	case state == transit.Isolated:
		m.losePath()
	}
}

// RecordPeer records whether another VM reports that it reaches no instance.
func (m *Monitor) RecordPeer(id string, isIsolated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.RecordState(time.Now(), id, isIsolated)
}

// IsReportDue reports whether the state must be reported to the other VMs: as long as
// this VM is isolated, and for a while after its return.
func (m *Monitor) IsReportDue(now time.Time) (isIsolated, isDue bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, since := m.reach.State()
	isIsolated = state == transit.Isolated
	return isIsolated, isIsolated || (state == transit.Returning && now.Sub(since) < returnReportTime)
}

// returnReportTime is how long a VM reports that it reaches instances again.
const returnReportTime = time.Second

// PassOn returns the VM to which a request is passed on, or false if this VM serves it.
// refused says that no instance was available here.
func (m *Monitor) PassOn(now time.Time, q *proxy.Query, refused bool) (transit.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A VM that reaches a part of the instances passes on only what these don't take.
	isLeftOver := (refused || q.IsRetry) && m.reach.IsDoubtful(now)
	if !isLeftOver && !m.reach.PassesOn(now) {
		return transit.Peer{}, false
	}
	return m.peers.Choose(now, q.Regions, q.Exclude)
}

// IsIsolated reports whether this VM reaches no instance.
func (m *Monitor) IsIsolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, _ := m.reach.State()
	return state == transit.Isolated
}

// MustPassOn reports whether this VM reaches no instance but knows other VMs, so that it serves no
// request itself. One that knows none goes on trying instances.
func (m *Monitor) MustPassOn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, _ := m.reach.State()
	return state == transit.Isolated && m.peers.Len() > 0
}

// IsCongested reports whether connections to other VMs open as late as those to instances.
func (m *Monitor) IsCongested() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reach.IsCongested(time.Now())
}

// IsOwnTimeout reports whether an attempt that began then could not open a connection in time
// because this VM's link is congested. A refused connection was answered by the instance.
func (m *Monitor) IsOwnTimeout(began time.Time, o *proxy.Outcome) bool {
	if o.Reason != verdict.ReasonConnectFailed || o.ConnectionRefused {
		return false
	}
	return m.WasCongested(began)
}

// WasCongested reports whether this VM's link was congested at some time since then.
func (m *Monitor) WasCongested(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reach.WasCongested(time.Now(), since)
}

// WasIsolated reports whether this VM reached no instance at some time since then, and
// wasDoubtful whether it found none of several.
func (m *Monitor) WasIsolated(since time.Time) (wasIsolated, wasDoubtful bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasIsolated = m.reach.WasIsolated(since)
	return wasIsolated, wasIsolated || since.Before(m.reach.RoundFailedAt())
}

// RecordOutcome records the outcome of a request that was passed on. A VM that failed, or
// refused for a reason of its own, is avoided for a while.
func (m *Monitor) RecordOutcome(peer string, o *proxy.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.Done(peer)
	switch o.Reason {
	case verdict.ReasonIsolated, verdict.ReasonStopping, verdict.ReasonNotReady, verdict.ReasonOverloaded, verdict.ReasonOutdated:
		m.peers.Avoid(time.Now(), peer)
	case verdict.ReasonConnectFailed, verdict.ReasonConnectionLost:
		// If the VM answered, its own connection to an instance failed.
		if o.Answered.IsZero() {
			m.peers.Avoid(time.Now(), peer)
		}
	}
}
