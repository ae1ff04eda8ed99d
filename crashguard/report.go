package crashguard

import (
	"slices"
	"strings"
	"time"
)

// Crash is the loss of the connection to an instance while it ran the request.
type Crash struct {
	Instance string    `json:"instance"`
	VM       string    `json:"vm"`
	At       time.Time `json:"at"`
}

// Trial is one run of a suspect. A retry is announced before it starts. A run that
// started before its VM knew of the first crash is announced once the VM knows.
type Trial struct {
	VM       string    `json:"vm"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Running  bool      `json:"running,omitempty"`
	Ended    bool      `json:"over,omitempty"`
}

// precedes orders trials of the same suspect: running trials first, then announced
// ones, each by time.
func (t *Trial) precedes(u *Trial) bool {
	if t.Running != u.Running {
		return t.Running
	}
	if c := t.At.Compare(u.At); c != 0 {
		return c < 0
	}
	return t.VM < u.VM
}

// CrashReport lists the crashes and trials of one suspect. VMs exchange it. Merging is
// idempotent, commutative and associative as long as its lists are below their bounds.
type CrashReport struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	// Text describes the request in reports.
	Text string `json:"text,omitempty"`
	// Generation is incremented when a success clears the crashes. Crashes and
	// trials of older generations are ignored.
	Generation uint32  `json:"generation,omitempty"`
	Crashes    []Crash `json:"deaths,omitempty"`
	Trials     []Trial `json:"trials,omitempty"`
}

// Bounds on the parts of a report.
const (
	maxCrashes   = 8
	maxTrials    = 16
	maxTextBytes = 200
)

// maxCrashedInstances is the number of crashed instances at which a request is
// blocked.
const maxCrashedInstances = 2

func (r *CrashReport) isBlocked() bool { return len(r.Crashes) >= maxCrashedInstances }

func (r *CrashReport) lastCrash() time.Time {
	var last time.Time
	for i := range r.Crashes {
		if r.Crashes[i].At.After(last) {
			last = r.Crashes[i].At
		}
	}
	return last
}

// addCrash records a crash, at most one for each instance, with its latest time. It
// reports whether the report changed.
func (r *CrashReport) addCrash(c Crash) bool {
	for i := range r.Crashes {
		if r.Crashes[i].Instance == c.Instance {
			if !c.At.After(r.Crashes[i].At) {
				return false
			}
			r.Crashes[i] = c
			return true
		}
	}
	if len(r.Crashes) >= maxCrashes {
		return false
	}
	r.Crashes = append(r.Crashes, c)
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return strings.Compare(a.Instance, b.Instance) })
	return true
}

// addTrial adds or updates a trial. It returns false if nothing changed or the report
// is full.
func (r *CrashReport) addTrial(t Trial) bool {
	for i := range r.Trials {
		if r.Trials[i].VM == t.VM && r.Trials[i].At.Equal(t.At) {
			old := r.Trials[i]
			r.Trials[i].Running = old.Running || t.Running
			r.Trials[i].Ended = old.Ended || t.Ended
			return r.Trials[i] != old
		}
	}
	if len(r.Trials) >= maxTrials {
		return false
	}
	r.Trials = append(r.Trials, t)
	return true
}

// merge adds the contents of other and reports whether r changed. A blocked request
// stays blocked: a success that raced with its second crash does not clear it.
func (r *CrashReport) merge(other *CrashReport) bool {
	if r.Text == "" {
		r.Text = other.Text
	}
	changed := false
	if other.Generation > r.Generation {
		r.Generation = other.Generation
		if !r.isBlocked() {
			r.Crashes, r.Trials = nil, nil
		}
		changed = true
	}
	if other.Generation < r.Generation && !other.isBlocked() {
		return changed
	}
	for _, c := range other.Crashes {
		changed = r.addCrash(c) || changed
	}
	for _, t := range other.Trials {
		changed = r.addTrial(t) || changed
	}
	return changed
}

func (r *CrashReport) clone() CrashReport {
	c := *r
	c.Crashes = slices.Clone(r.Crashes)
	c.Trials = slices.Clone(r.Trials)
	return c
}
