// Package invariant checks named properties that must always hold. A failed check is
// counted and reported; tests can make it fatal.
package invariant

import (
	"fmt"
	"sync"
)

// Name identifies a check. docs/PROOFS.md lists all of them.
type Name string

// Names of the checks. Each promise of the system has at least one.
const (
	ShiftUnderCap    Name = "shift-under-cap"
	RegionNotOver    Name = "region-not-overloaded"
	LinkNotOver      Name = "link-not-overloaded"
	SharesWithin     Name = "shares-within-limit"
	AnswerWhole      Name = "answer-whole"
	NotRunIsTrue     Name = "not-run-is-true"
	AtMostOnce       Name = "at-most-once"
	NoNewAfterDrain  Name = "no-new-work-after-drain"
	NothingCutOff    Name = "nothing-cut-off"
	NeverReverts     Name = "configuration-never-reverts"
	RetryWithin      Name = "retries-within-budget"
	HedgeWithin      Name = "hedges-within-budget"
	HedgeIdempotent  Name = "hedge-only-idempotent"
	SlotsWithin      Name = "slots-within-limit"
	CrashedAtMostTwo Name = "crashes-at-most-two"
	// MemoryReleasedOnce says that bytes of the callers' memory are released exactly once.
	MemoryReleasedOnce Name = "memory-released-once"
)

// Names returns the names of all checks.
func Names() []Name {
	return []Name{
		ShiftUnderCap, RegionNotOver, LinkNotOver, SharesWithin, AnswerWhole, NotRunIsTrue,
		AtMostOnce, NoNewAfterDrain, NothingCutOff, NeverReverts, RetryWithin, HedgeWithin,
		HedgeIdempotent, SlotsWithin, CrashedAtMostTwo, MemoryReleasedOnce,
	}
}

// Violation describes one failed check.
type Violation struct {
	Name Name
	Text string
}

func (v Violation) String() string { return string(v.Name) + ": " + v.Text }

// maxKept bounds the violations whose text is kept.
const maxKept = 64

var state struct {
	sync.Mutex
	counts map[Name]uint64
	kept   []Violation
	hook   func(Violation)
}

// Check counts a violation of name unless ok, and returns ok. The arguments format the
// description of the violation. The caller evaluates them even if ok, so hot paths
// should test ok first.
func Check(name Name, ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	v := Violation{Name: name, Text: fmt.Sprintf(format, args...)}
	state.Lock()
	if state.counts == nil {
		state.counts = make(map[Name]uint64)
	}
	state.counts[name]++
	if len(state.kept) < maxKept {
		state.kept = append(state.kept, v)
	}
	hook := state.hook
	state.Unlock()
	if hook != nil {
		hook(v)
	}
	return false
}

// Counts returns the number of violations so far by name. Checks without a violation
// are omitted.
func Counts() map[Name]uint64 {
	state.Lock()
	defer state.Unlock()
	out := make(map[Name]uint64, len(state.counts))
	for n, c := range state.counts {
		out[n] = c
	}
	return out
}

// FirstViolations returns the first violations of the process with their text, at most 64.
func FirstViolations() []Violation {
	state.Lock()
	defer state.Unlock()
	return append([]Violation(nil), state.kept...)
}

// OnViolation sets a function that is called for each violation, and returns a
// function that restores the previous one. With a nil hook violations are only
// counted.
func OnViolation(hook func(Violation)) (restore func()) {
	state.Lock()
	defer state.Unlock()
	previous := state.hook
	state.hook = hook
	return func() {
		state.Lock()
		defer state.Unlock()
		state.hook = previous
	}
}

// Reset removes all violations. It is meant for tests.
func Reset() {
	state.Lock()
	defer state.Unlock()
	state.counts = nil
	state.kept = nil
}
