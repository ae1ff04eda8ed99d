package entry

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/placement"
)

const (
	// minEvidenceDelay is the time after a connection was lost from which an answer shows
	// that this VM still reaches instances. Earlier ones may have been on their way before.
	minEvidenceDelay = 50 * time.Millisecond
	// maxHeldEvidence bounds the evidence that is held. Beyond it the oldest is dropped.
	maxHeldEvidence = 1024
)

// heldEvidence is evidence for the crash of a process that a connection gave. Connections
// also fail when this VM loses its links, so it counts only once another process has
// answered or accepted a connection since.
type heldEvidence struct {
	at      time.Time
	process crashguard.Process
	address string
	record  func(at time.Time)
}

// holdEvidence holds evidence for the crash of a process. The lock is held.
func (s *selector) holdEvidence(now time.Time, p crashguard.Process, address string, record func(at time.Time)) {
	if len(s.evidence) >= maxHeldEvidence {
		s.evidence = s.evidence[1:]
	}
	s.evidence = append(s.evidence, heldEvidence{now, p, address, record})
}

// releaseEvidence records the evidence that a sign of life from an address lets count, and
// drops what is too old. The lock is held.
func (s *selector) releaseEvidence(now time.Time, address string) {
	var due []heldEvidence
	s.evidence = slices.DeleteFunc(s.evidence, func(e heldEvidence) bool {
		age := now.Sub(e.at)
		if age > crashguard.DefaultConfirmWindow {
			return true
		}
		if age < minEvidenceDelay || e.address == address {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		e.record(e.at)
	}
}

// refuteEvidence drops the evidence that a process crashed, which has answered since. The
// lock is held.
func (s *selector) refuteEvidence(now time.Time, p crashguard.Process) {
	s.evidence = slices.DeleteFunc(s.evidence, func(e heldEvidence) bool {
		return e.process == p && now.Sub(e.at) >= minEvidenceDelay
	})
}

// onConnected is called when an instance accepts a connection.
func (s *selector) onConnected(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.evidence) == 0 {
		return
	}
	s.releaseEvidence(now, address)
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
// it could reach.
func (s *selector) forgiveFailures(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.ForgiveFailures(now)
	s.evidence = nil
}

// processOf returns the process of an instance.
func processOf(i *placement.Instance) crashguard.Process {
	return crashguard.Process{ID: i.ID, StartMillis: i.StartMillis}
}
