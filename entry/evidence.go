package entry

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/placement"
)

const (
	// minEvidenceDelay is the time after a connection was lost from which a new exchange
	// shows that this VM still reaches instances: its links don't lose all connections in
	// the same moment.
	minEvidenceDelay = 50 * time.Millisecond
	// maxHeldEvidence bounds the evidence that is held. Beyond it the oldest is dropped.
	maxHeldEvidence = 1024
)

// heldEvidence is evidence for the crash of a process that a connection gave. Connections
// also fail when this VM loses its links, so it counts only once an exchange with another
// process has succeeded that began after it.
type heldEvidence struct {
	at      time.Time
	process crashguard.Process
	address string
	// isRefusal means that a new connection was refused. Open connections may live on when
	// links fail, so only another new connection shows that the process refused it.
	isRefusal bool
	// lost is the connection that was lost. If nil, record records the evidence.
	lost   *crashguard.Loss
	record func(at time.Time)
}

// holdEvidence holds evidence for the crash of a process. The lock is held.
func (s *selector) holdEvidence(e heldEvidence) {
	if len(s.evidence) >= maxHeldEvidence {
		s.evidence = s.evidence[1:]
	}
	s.evidence = append(s.evidence, e)
}

// holdRefusal holds the evidence that a process refused a connection. The lock is held.
func (s *selector) holdRefusal(now time.Time, p crashguard.Process, address string) {
	s.holdEvidence(heldEvidence{at: now, process: p, address: address, isRefusal: true, record: func(at time.Time) {
		s.addCrashLocked(at, p, crashguard.EvidenceRefused)
	}})
}

// releaseEvidence records the evidence that counts since an exchange with an address has
// succeeded, and drops what is too old. began is when that exchange began, and
// isConnection says that it opened a connection. The lock is held.
func (s *selector) releaseEvidence(now, began time.Time, address string, isConnection bool) {
	var due []heldEvidence
	s.evidence = slices.DeleteFunc(s.evidence, func(e heldEvidence) bool {
		if now.Sub(e.at) > crashguard.DefaultConfirmWindow {
			return true
		}
		if began.Sub(e.at) < minEvidenceDelay || e.address == address || (e.isRefusal && !isConnection) {
			return false
		}
		due = append(due, e)
		return true
	})
	var losses []crashguard.Loss
	for _, e := range due {
		if e.lost != nil {
			losses = append(losses, *e.lost)
		}
	}
	s.ledger.RecordLosses(losses)
	for _, e := range due {
		if e.record != nil {
			e.record(e.at)
		}
	}
}

// refuteEvidence drops the evidence that a process crashed, which has answered since. The
// lock is held.
func (s *selector) refuteEvidence(now time.Time, p crashguard.Process) {
	s.evidence = slices.DeleteFunc(s.evidence, func(e heldEvidence) bool {
		return e.process == p && now.Sub(e.at) >= minEvidenceDelay
	})
}

// onConnected is called when an instance accepts a connection, with the time at which
// opening it began.
func (s *selector) onConnected(now, began time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.evidence) == 0 {
		return
	}
	for _, e := range s.evidence {
		if e.lost != nil && e.address == address && began.After(e.at) {
			e.lost.Reconnected = true
		}
	}
	s.releaseEvidence(now, began, address, true)
	s.logSteps("")
}

// doubtedAddresses returns the addresses to which connections were lost some time ago
// without any sign of life from another address since, or nil.
func (s *selector) doubtedAddresses(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]bool)
	isDue := false
	for _, e := range s.evidence {
		out[e.address] = true
		isDue = isDue || now.Sub(e.at) >= minEvidenceDelay
	}
	if !isDue {
		return nil
	}
	return out
}

// forgiveFailures drops what this VM concluded from connections to instances none of which
// it could reach, or which opened late because its own link is congested.
func (s *selector) forgiveFailures(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.ForgiveFailures(now)
	s.evidence = nil
}

// dropEvidence drops the evidence that connections gave, since this VM's own links may have
// failed.
func (s *selector) dropEvidence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence = nil
}

// processOf returns the process of an instance.
func processOf(i *placement.Instance) crashguard.Process {
	return crashguard.Process{ID: i.ID, StartMillis: i.StartMillis}
}
