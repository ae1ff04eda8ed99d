package drain

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/rules"
)

// flight is the work in flight on one drain's targets.
type flight struct {
	count   int
	least   int
	leastAt time.Time
	emptyAt time.Time
}

// Progress tells how far a drain in effect has come.
type Progress struct {
	Drain    string           `json:"drain"`
	Kind     rules.TargetKind `json:"kind"`
	Target   string           `json:"target"`
	Since    time.Time        `json:"since"`
	InFlight int              `json:"in_flight"`
	// Known is false until a count was observed.
	Known bool `json:"known"`
	// Drained is when the work in flight reached zero. Zero while there is some.
	Drained time.Time `json:"drained,omitzero"`
	// Stuck means that the work in flight has not become less for
	// Config.StuckAfter.
	Stuck bool `json:"stuck"`
}

// Observe records the work in flight on the targets of a drain, summed over all
// entry VMs. Unknown drains are ignored.
func (t *Tracker) Observe(now time.Time, drain string, inFlight int) {
	i := slices.IndexFunc(t.drains, func(d rules.Drain) bool { return d.ID == drain })
	if i < 0 || !t.drains[i].Active(now) {
		return
	}
	f := t.flight[drain]
	if f == nil {
		f = &flight{least: inFlight + 1}
		t.flight[drain] = f
	}
	f.count = inFlight
	if inFlight < f.least {
		f.least, f.leastAt = inFlight, now
	}
	switch {
	case inFlight > 0:
		f.emptyAt = time.Time{}
	case f.emptyAt.IsZero():
		f.emptyAt = now
	}
}

// Progress returns the drains in effect, the oldest first.
func (t *Tracker) Progress(now time.Time) []Progress {
	var out []Progress
	for i := range t.drains {
		d := &t.drains[i]
		if !d.Active(now) {
			continue
		}
		p := Progress{Drain: d.ID, Kind: d.Kind, Target: d.Target, Since: d.Start}
		if f := t.flight[d.ID]; f != nil {
			p.InFlight, p.Known, p.Drained = f.count, true, f.emptyAt
			p.Stuck = f.count > 0 && now.Sub(f.leastAt) >= t.cfg.StuckAfter
		}
		out = append(out, p)
	}
	slices.SortFunc(out, compareProgress)
	return out
}

// Covered returns the instances to which a drain applies, sorted.
func (t *Tracker) Covered(drain string) []string {
	var out []string
	for i := range t.drains {
		if t.drains[i].ID != drain {
			continue
		}
		for id := range t.instances {
			if t.covers(&t.drains[i], id) {
				out = append(out, id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// forget drops the counts of drains that are no longer configured.
func (t *Tracker) forget() {
	for id := range t.flight {
		if !slices.ContainsFunc(t.drains, func(d rules.Drain) bool { return d.ID == id }) {
			delete(t.flight, id)
		}
	}
}
