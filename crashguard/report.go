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

// CrashReport lists the crashes and trials of one suspect. VMs exchange it. Merging is idempotent,
// commutative and associative as long as its lists are below their bounds.
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

func (n *CrashReport) isBlocked() bool { return len(n.Crashes) >= maxCrashedInstances }

func (n *CrashReport) lastCrash() time.Time {
	var last time.Time
	for i := range n.Crashes {
		if n.Crashes[i].At.After(last) {
			last = n.Crashes[i].At
		}
	}
	return last
}

// addCrash records a crash, at most one for each instance, with its latest time. It
// reports whether the report changed.
func (n *CrashReport) addCrash(d Crash) bool {
	for i := range n.Crashes {
		if n.Crashes[i].Instance == d.Instance {
			if !d.At.After(n.Crashes[i].At) {
				return false
			}
			n.Crashes[i] = d
			return true
		}
	}
	if len(n.Crashes) >= maxCrashes {
		return false
	}
	n.Crashes = append(n.Crashes, d)
	slices.SortFunc(n.Crashes, func(a, b Crash) int { return strings.Compare(a.Instance, b.Instance) })
	return true
}

// addTrial adds or updates a trial. It returns false if nothing changed or the report
// is full.
func (n *CrashReport) addTrial(t Trial) bool {
	for i := range n.Trials {
		if n.Trials[i].VM == t.VM && n.Trials[i].At.Equal(t.At) {
			old := n.Trials[i]
			n.Trials[i].Running = old.Running || t.Running
			n.Trials[i].Ended = old.Ended || t.Ended
			return n.Trials[i] != old
		}
	}
	if len(n.Trials) >= maxTrials {
		return false
	}
	n.Trials = append(n.Trials, t)
	return true
}

// merge adds the contents of other and reports whether n changed. A blocked request
// stays blocked: a success that raced with its second crash does not clear it.
func (n *CrashReport) merge(other *CrashReport) bool {
	if n.Text == "" {
		n.Text = other.Text
	}
	changed := false
	if other.Generation > n.Generation {
		n.Generation = other.Generation
		if !n.isBlocked() {
			n.Crashes, n.Trials = nil, nil
		}
		changed = true
	}
	if other.Generation < n.Generation && !other.isBlocked() {
		return changed
	}
	for _, d := range other.Crashes {
		changed = n.addCrash(d) || changed
	}
	for _, t := range other.Trials {
		changed = n.addTrial(t) || changed
	}
	return changed
}

func (n *CrashReport) clone() CrashReport {
	c := *n
	c.Crashes = slices.Clone(n.Crashes)
	c.Trials = slices.Clone(n.Trials)
	return c
}
