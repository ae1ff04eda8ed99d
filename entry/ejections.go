package entry

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/upstream"
)

// Steps of an ejection, the values of label "step" of counter instance_ejections.
const (
	stepEjected    = "ejected"
	stepReadmitted = "readmitted"
)

// logEjections logs and counts the changes of ejections since the last call. The lock is
// held.
func (s *selector) logEjections() {
	for _, c := range s.picker.EjectionChanges() {
		if c.Duration == 0 {
			s.ejectionCounters[stepReadmitted].Inc(1)
			event.InstanceReadmitted.Log(s.log, "id", c.ID, "service", c.Service, "reason", string(c.Reason), "lasted_ms", c.Lasted.Milliseconds())
			continue
		}
		s.ejectionCounters[stepEjected].Inc(1)
		event.InstanceEjected.Log(s.log, "id", c.ID, "service", c.Service, "reason", string(c.Reason), "until_trial_ms", c.Duration.Milliseconds(), "lasted_ms", c.Lasted.Milliseconds())
	}
}

// tryEjected opens a connection to each ejected instance whose trial is due.
func (n *Node) tryEjected(now time.Time) {
	if n.reach.IsIsolated() {
		// The ejections end together when this VM reaches instances again.
		return
	}
	for _, c := range n.selector.trialConnections(now) {
		n.group.Go(func() {
			began := time.Now()
			err := n.proxy.Client().Open(n.ctx, c.Address)
			n.selector.endTrialConnection(&c, n.connectionResult(began, err))
		})
	}
}

// connectionResult returns what opening a connection showed about the instance.
func (n *Node) connectionResult(began time.Time, err error) placement.ConnectionResult {
	if err == nil {
		return placement.ConnectionOpened
	}
	_, isDoubtful := n.reach.WasIsolated(began)
	isOwnTimeout := !errors.Is(err, syscall.ECONNREFUSED) && n.reach.WasCongested(began)
	if isDoubtful || isOwnTimeout || n.ctx.Err() != nil || errors.Is(err, upstream.ErrConnectionLimit) {
		return placement.ConnectionUnknown
	}
	return placement.ConnectionFailed
}

func (s *selector) trialConnections(now time.Time) []placement.TrialConnection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.TrialConnections(now)
}

func (s *selector) endTrialConnection(c *placement.TrialConnection, result placement.ConnectionResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.EndTrialConnection(time.Now(), c, result)
}
