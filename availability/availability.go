// Package availability remembers what upstream instances say in their answers about
// new requests: that they leave, or that they want none for a while. What a process
// said outweighs its record, which may be older, and ends with the process.
//
// A refusal for a while is one instance's word to one VM, about all requests:
// a 503 with Retry-After. A 503 without it says that the instance is full at this
// moment, and a 429, with Retry-After or not, is about the request or its caller;
// neither is kept here.
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
	Born        int64
}

// Word is what an answer says about new requests.
type Word struct {
	// Leaving says that the process takes no new requests for good.
	Leaving bool
	// Wait is for how long it wants none from this VM. Zero means that it doesn't say.
	Wait time.Duration
	// Unusable says that it stated a time which is no number, negative or above
	// MaxWait, and which is ignored.
	Unusable bool
}

// IsSilent tells whether the answer said nothing.
func (w Word) IsSilent() bool { return w == Word{} }

const (
	// MaxWait is the longest time that is believed: an instance that wants nothing
	// for longer is taken out by its operators.
	MaxWait = time.Hour
	// keepLeaving is how long a process that leaves is remembered: longer than any
	// record or relay may be old.
	keepLeaving = time.Hour
	// processesMost bounds the processes remembered.
	processesMost = 4096
)

// WordOf returns what an answer with a status and a value of Retry-After says. The
// value is a number of seconds, with fractions allowed; empty means none.
func WordOf(status int, retryAfter string, leaving bool) Word {
	w := Word{Leaving: leaving}
	if status != http.StatusServiceUnavailable || retryAfter == "" {
		return w
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(retryAfter), 64)
	// Comparisons with NaN are false.
	if w.Unusable = err != nil || !(seconds >= 0 && seconds <= MaxWait.Seconds()); !w.Unusable {
		w.Wait = time.Duration(seconds * float64(time.Second))
	}
	return w
}

// State is what a process said.
type State struct {
	// LeavingSince is when the process was first heard to leave, or zero.
	LeavingSince time.Time
	// HeardFrom is the VM that told of it, or empty if it was the process.
	HeardFrom string
	// WaitUntil is the end of the longest wait that it asked for, or zero, and WaitSaid
	// when it asked for that.
	WaitUntil, WaitSaid time.Time
}

// IsLeaving tells whether the process leaves.
func (s *State) IsLeaving() bool { return s != nil && !s.LeavingSince.IsZero() }

// IsWaiting tells whether the process still wants no requests of this VM.
func (s *State) IsWaiting(now time.Time) bool { return s != nil && now.Before(s.WaitUntil) }

// Tracker holds the states of processes.
type Tracker struct {
	states map[Process]*State
	// last is the process that spoke last under an ID, by the record known then.
	last map[string]Process
}

// NewTracker returns a tracker that has heard nothing.
func NewTracker() *Tracker {
	return &Tracker{states: make(map[Process]*State), last: make(map[string]Process)}
}

// Of returns the state of a process, or nil if it said nothing. It stays the state of
// that process; other processes of the instance have their own.
func (t *Tracker) Of(p Process) *State { return t.states[p] }

// Started takes that a process is known from its record. Its record may come later than
// its first answers, which then counted for the process before: what was said after its
// start, by the clocks of both machines, was said by it.
func (t *Tracker) Started(now time.Time, p Process) {
	last, spoke := t.last[p.ID]
	if !spoke || last.Address != p.Address || last.Born >= p.Born || t.states[p] != nil {
		return
	}
	before := t.states[last]
	isLater := func(said time.Time) bool { return !said.IsZero() && said.UnixMilli() >= p.Born }
	if before == nil || (!isLater(before.LeavingSince) && !isLater(before.WaitSaid)) {
		return
	}
	s := t.state(now, p)
	if s == nil {
		return
	}
	if isLater(before.LeavingSince) {
		s.LeavingSince, s.HeardFrom = before.LeavingSince, before.HeardFrom
	}
	if isLater(before.WaitSaid) {
		s.WaitUntil, s.WaitSaid = before.WaitUntil, before.WaitSaid
	}
}

// Leaving takes that a process leaves, as heard from it or from another VM since. It
// tells whether that is news.
func (t *Tracker) Leaving(now, since time.Time, p Process, heardFrom string) bool {
	s := t.state(now, p)
	if s == nil || s.IsLeaving() {
		return false
	}
	s.LeavingSince, s.HeardFrom = since, heardFrom
	return true
}

// Wait takes that a process wants nothing for a while. The wish that ends last holds.
// It tells whether it changed anything.
func (t *Tracker) Wait(now time.Time, p Process, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	s := t.state(now, p)
	until := now.Add(min(wait, MaxWait))
	if s == nil || !until.After(s.WaitUntil) {
		return false
	}
	s.WaitUntil, s.WaitSaid = until, now
	return true
}

func (t *Tracker) state(now time.Time, p Process) *State {
	s := t.states[p]
	if s != nil {
		return s
	}
	if len(t.states) >= processesMost {
		t.forget(now)
	}
	if len(t.states) >= processesMost {
		return nil
	}
	s = new(State)
	t.states[p] = s
	if last, spoke := t.last[p.ID]; !spoke || last.Address != p.Address || last.Born <= p.Born {
		t.last[p.ID] = p
	}
	return s
}

// forget drops what no longer counts.
func (t *Tracker) forget(now time.Time) {
	for p, s := range t.states {
		if !s.IsWaiting(now) && (!s.IsLeaving() || now.Sub(s.LeavingSince) > keepLeaving) {
			delete(t.states, p)
			if t.last[p.ID] == p {
				delete(t.last, p.ID)
			}
		}
	}
}
