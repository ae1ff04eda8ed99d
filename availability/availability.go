// Package availability tracks the notices that upstream instances send in their
// answers: that they are leaving, that they want no new requests for a while, or how many
// requests per second they take from all VMs together. A
// notice overrides the record of the process, which may be older, and is valid only for
// that process.
//
// A wait notice is a 503 with Retry-After. It comes from one instance, is meant for one
// VM, and applies to all requests. A 503 without Retry-After means that the instance is
// full at the moment, and a 429, with or without Retry-After, concerns the request or
// its caller; neither is tracked here.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for
// concurrent use.
package availability

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Process is one start of an instance at its address.
type Process struct {
	ID, Address string
	StartMillis int64
}

// Notice is what an answer announces about new requests.
type Notice struct {
	// Leaving means that the process accepts no new requests until it exits.
	Leaving bool
	// Wait is how long the process asks for no requests from this VM. Zero means that it
	// did not ask to wait.
	Wait time.Duration
	// Unusable means that the Retry-After is ignored because it is not a number, is
	// negative or exceeds MaxWait.
	Unusable bool
	// HasLimit means that the answer names Limit, the requests per second that the process
	// takes from all VMs together.
	HasLimit bool
	Limit    float64
	// LimitUnusable means that the limit in the answer is ignored, see ParseLimit.
	LimitUnusable bool
}

// IsEmpty reports whether the answer contained no notice.
func (n Notice) IsEmpty() bool { return n == Notice{} }

const (
	// MaxWait is the longest wait that is accepted. An instance that needs a longer one
	// should be taken out of service by its operators.
	MaxWait = time.Hour
	// leavingTTL is how long a leaving process is remembered: longer than the greatest age
	// of a record or relayed notice.
	leavingTTL = time.Hour
	// maxProcesses bounds the processes that are remembered.
	maxProcesses = 4096
)

// ParseNotice returns the notice in an answer with the given status and Retry-After value.
// The value is a number of seconds, which may have a fraction, or empty.
func ParseNotice(status int, retryAfter string, leaving bool) Notice {
	n := Notice{Leaving: leaving}
	if status != http.StatusServiceUnavailable || retryAfter == "" {
		return n
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(retryAfter), 64)
	// Comparisons with NaN are false.
	if n.Unusable = err != nil || !(seconds >= 0 && seconds <= MaxWait.Seconds()); !n.Unusable {
		n.Wait = time.Duration(seconds * float64(time.Second))
	}
	return n
}

// State is the state of a process according to its notices.
type State struct {
	// LeavingSince is when the process first announced that it is leaving, or zero.
	LeavingSince time.Time
	// ReportedBy is the VM that reported the leaving notice, or empty if it came from the
	// process itself.
	ReportedBy string
	// WaitUntil is the end of the longest wait that the process asked for, or zero.
	// WaitReceived is when it asked for that wait.
	WaitUntil, WaitReceived time.Time
	// Limit is the newest report about the limit of the process. It was never limited if
	// ReceivedAt is zero.
	Limit Limit
	// HasUnusableLimit means that the process named a limit that was ignored.
	HasUnusableLimit bool
}

// IsLeaving reports whether the process is leaving.
func (s *State) IsLeaving() bool { return s != nil && !s.LeavingSince.IsZero() }

// IsWaiting reports whether the process still asks for no requests from this VM.
func (s *State) IsWaiting(now time.Time) bool { return s != nil && now.Before(s.WaitUntil) }

// Tracker holds the states of processes.
type Tracker struct {
	states map[Process]*State
	// lastNotifier is, by instance ID, the process to which the last notice was attributed
	// according to the record known at that time.
	lastNotifier map[string]Process
}

// NewTracker returns a tracker without any notices.
func NewTracker() *Tracker {
	return &Tracker{states: make(map[Process]*State), lastNotifier: make(map[string]Process)}
}

// Of returns the state of a process, or nil if it sent no notice. Other processes of
// the same instance have states of their own.
func (t *Tracker) Of(p Process) *State { return t.states[p] }

// RecordStart records that the record of a process has arrived. The record may arrive
// after the first notices of the process, which were then attributed to the previous
// process. Notices that arrived after the start of the process, by the clocks of both
// machines, are copied to it.
func (t *Tracker) RecordStart(now time.Time, p Process) {
	previous, known := t.lastNotifier[p.ID]
	if !known || previous.Address != p.Address || previous.StartMillis >= p.StartMillis || t.states[p] != nil {
		return
	}
	previousState := t.states[previous]
	isSinceStart := func(received time.Time) bool { return !received.IsZero() && received.UnixMilli() >= p.StartMillis }
	if previousState == nil || (!isSinceStart(previousState.LeavingSince) && !isSinceStart(previousState.WaitReceived) && !isSinceStart(previousState.Limit.Since)) {
		return
	}
	s := t.stateFor(now, p)
	if s == nil {
		return
	}
	if isSinceStart(previousState.LeavingSince) {
		s.LeavingSince, s.ReportedBy = previousState.LeavingSince, previousState.ReportedBy
	}
	if isSinceStart(previousState.WaitReceived) {
		s.WaitUntil, s.WaitReceived = previousState.WaitUntil, previousState.WaitReceived
	}
	if isSinceStart(previousState.Limit.Since) {
		s.Limit = previousState.Limit
	}
}

// RecordLeaving records that a process is leaving, announced by itself or reported by
// another VM. It reports whether that was not known before.
func (t *Tracker) RecordLeaving(now, since time.Time, p Process, reportedBy string) bool {
	s := t.stateFor(now, p)
	if s == nil || s.IsLeaving() {
		return false
	}
	s.LeavingSince, s.ReportedBy = since, reportedBy
	return true
}

// RecordWait records that a process asks for no requests for a while. If it asked several
// times, the wait that ends last applies. RecordWait reports whether it changed the
// state.
func (t *Tracker) RecordWait(now time.Time, p Process, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	s := t.stateFor(now, p)
	until := now.Add(min(wait, MaxWait))
	if s == nil || !until.After(s.WaitUntil) {
		return false
	}
	s.WaitUntil, s.WaitReceived = until, now
	return true
}

func (t *Tracker) stateFor(now time.Time, p Process) *State {
	s := t.states[p]
	if s != nil {
		return s
	}
	if len(t.states) >= maxProcesses {
		t.forget(now)
	}
	if len(t.states) >= maxProcesses {
		return nil
	}
	s = new(State)
	t.states[p] = s
	if last, known := t.lastNotifier[p.ID]; !known || last.Address != p.Address || last.StartMillis <= p.StartMillis {
		t.lastNotifier[p.ID] = p
	}
	return s
}

// forget drops states that are neither waiting nor recently leaving or limited.
func (t *Tracker) forget(now time.Time) {
	for p, s := range t.states {
		isLimited := s.IsLimited() && now.Sub(s.Limit.ReceivedAt) <= leavingTTL
		if !isLimited && !s.IsWaiting(now) && (!s.IsLeaving() || now.Sub(s.LeavingSince) > leavingTTL) {
			delete(t.states, p)
			if t.lastNotifier[p.ID] == p {
				delete(t.lastNotifier, p.ID)
			}
		}
	}
}
