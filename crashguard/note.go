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

// Note is the crash report on one suspect that VMs exchange. Merging is idempotent,
// commutative and associative as long as its lists are below their bounds.
type Note struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	// Text describes the request in reports.
	Text string `json:"text,omitempty"`
	// Generation is incremented when a success clears the crashes. Crashes and
	// trials of older generations are ignored.
	Generation uint32  `json:"generation,omitempty"`
	Deaths     []Crash `json:"deaths,omitempty"`
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

func (n *Note) isBlocked() bool { return len(n.Deaths) >= maxCrashedInstances }

func (n *Note) lastCrash() time.Time {
	var last time.Time
	for i := range n.Deaths {
		if n.Deaths[i].At.After(last) {
			last = n.Deaths[i].At
		}
	}
	return last
}

// addCrash records a crash, at most one for each instance, with its latest time. It
// reports whether the report changed.
func (n *Note) addCrash(d Crash) bool {
	for i := range n.Deaths {
		if n.Deaths[i].Instance == d.Instance {
			if !d.At.After(n.Deaths[i].At) {
				return false
			}
			n.Deaths[i] = d
			return true
		}
	}
	if len(n.Deaths) >= maxCrashes {
		return false
	}
	n.Deaths = append(n.Deaths, d)
	slices.SortFunc(n.Deaths, func(a, b Crash) int { return strings.Compare(a.Instance, b.Instance) })
	return true
}

// addTrial adds or updates a trial. It returns false if nothing changed or the report
// is full.
func (n *Note) addTrial(t Trial) bool {
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
func (n *Note) merge(other *Note) bool {
	if n.Text == "" {
		n.Text = other.Text
	}
	changed := false
	if other.Generation > n.Generation {
		n.Generation = other.Generation
		if !n.isBlocked() {
			n.Deaths, n.Trials = nil, nil
		}
		changed = true
	}
	if other.Generation < n.Generation && !other.isBlocked() {
		return changed
	}
	for _, d := range other.Deaths {
		changed = n.addCrash(d) || changed
	}
	for _, t := range other.Trials {
		changed = n.addTrial(t) || changed
	}
	return changed
}

func (n *Note) clone() Note {
	c := *n
	c.Deaths = slices.Clone(n.Deaths)
	c.Trials = slices.Clone(n.Trials)
	return c
}
