package crashguard

import (
	"slices"
	"strings"
	"time"
)

// Death is the loss of an instance's connection while it ran the request.
type Death struct {
	Instance string    `json:"instance"`
	VM       string    `json:"vm"`
	At       time.Time `json:"at"`
}

// Trial is one run of a suspect. A retry is announced before it starts; a run
// that started before the first death was heard of is announced then.
type Trial struct {
	VM       string    `json:"vm"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Running  bool      `json:"running,omitempty"`
	Over     bool      `json:"over,omitempty"`
}

// before orders trials of the same suspect. One that runs already goes before
// those that are announced, of which the earliest goes ahead.
func (t *Trial) before(u *Trial) bool {
	if t.Running != u.Running {
		return t.Running
	}
	if c := t.At.Compare(u.At); c != 0 {
		return c < 0
	}
	return t.VM < u.VM
}

// Note is what VMs tell each other about one suspect. Merging is idempotent,
// commutative and associative but for the bound on its lists.
type Note struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	// Text describes the request in reports.
	Text string `json:"text,omitempty"`
	// Generation rises when a success clears the deaths. Deaths and trials of
	// older generations don't count.
	Generation uint32  `json:"generation,omitempty"`
	Deaths     []Death `json:"deaths,omitempty"`
	Trials     []Trial `json:"trials,omitempty"`
}

// Bounds on the parts of a note.
const (
	maxDeaths = 8
	maxTrials = 16
	maxText   = 200
)

// maxInstances is how many instances a request may cost before it is blocked.
const maxInstances = 2

func (n *Note) blocked() bool { return len(n.Deaths) >= maxInstances }

func (n *Note) lastDeath() time.Time {
	var last time.Time
	for i := range n.Deaths {
		if n.Deaths[i].At.After(last) {
			last = n.Deaths[i].At
		}
	}
	return last
}

// addDeath records the death of an instance once. It returns whether the note changed.
func (n *Note) addDeath(d Death) bool {
	for i := range n.Deaths {
		if n.Deaths[i].Instance == d.Instance {
			if !d.At.After(n.Deaths[i].At) {
				return false
			}
			n.Deaths[i] = d
			return true
		}
	}
	if len(n.Deaths) >= maxDeaths {
		return false
	}
	n.Deaths = append(n.Deaths, d)
	slices.SortFunc(n.Deaths, func(a, b Death) int { return strings.Compare(a.Instance, b.Instance) })
	return true
}

func (n *Note) addTrial(t Trial) bool {
	for i := range n.Trials {
		if n.Trials[i].VM == t.VM && n.Trials[i].At.Equal(t.At) {
			old := n.Trials[i]
			n.Trials[i].Running = old.Running || t.Running
			n.Trials[i].Over = old.Over || t.Over
			return n.Trials[i] != old
		}
	}
	if len(n.Trials) >= maxTrials {
		return false
	}
	n.Trials = append(n.Trials, t)
	return true
}

// merge adds what other knows. A note that is blocked stays blocked: a success
// that raced with its second death doesn't clear it.
func (n *Note) merge(other *Note) bool {
	if n.Text == "" {
		n.Text = other.Text
	}
	changed := false
	if other.Generation > n.Generation {
		n.Generation = other.Generation
		if !n.blocked() {
			n.Deaths, n.Trials = nil, nil
		}
		changed = true
	}
	if other.Generation < n.Generation && !other.blocked() {
		return changed
	}
	for _, d := range other.Deaths {
		changed = n.addDeath(d) || changed
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
