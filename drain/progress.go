package drain

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/rules"
)

// inFlightCount is the number of requests in flight on one drain's targets.
type inFlightCount struct {
	count int
	// minCount is the lowest count so far, reached at minCountAt.
	minCount   int
	minCountAt time.Time
	// emptyAt is when the count became zero, or the zero time while it is above zero.
	emptyAt time.Time
}

// Progress is the progress of an active drain.
type Progress struct {
	Drain    string           `json:"drain"`
	Kind     rules.TargetKind `json:"kind"`
	Target   string           `json:"target"`
	Since    time.Time        `json:"since"`
	InFlight int              `json:"in_flight"`
	// Known is false until the work in flight was first observed.
	Known bool `json:"known"`
	// Drained is when the work in flight reached zero. It is the zero time as long
	// as there is work in flight.
	Drained time.Time `json:"drained,omitzero"`
	// Stuck means that the work in flight has not reached a new minimum for
	// Config.StuckAfter.
	Stuck bool `json:"stuck"`
}

// Observe records the number of requests in flight on the targets of a drain, summed
// over all entry VMs. Drains that are unknown or not active are ignored.
func (t *Tracker) Observe(now time.Time, drain string, inFlight int) {
	i := slices.IndexFunc(t.drains, func(d rules.Drain) bool { return d.ID == drain })
	if i < 0 || !t.drains[i].IsActive(now) {
		return
	}
	f := t.inFlight[drain]
	if f == nil {
		f = &inFlightCount{minCount: inFlight + 1}
		t.inFlight[drain] = f
	}
	f.count = inFlight
	if inFlight < f.minCount {
		f.minCount, f.minCountAt = inFlight, now
	}
	switch {
	case inFlight > 0:
		f.emptyAt = time.Time{}
	case f.emptyAt.IsZero():
		f.emptyAt = now
	}
}

// Progress returns the progress of the active drains, the oldest first.
func (t *Tracker) Progress(now time.Time) []Progress {
	var out []Progress
	for i := range t.drains {
		d := &t.drains[i]
		if !d.IsActive(now) {
			continue
		}
		p := Progress{Drain: d.ID, Kind: d.Kind, Target: d.Target, Since: d.Start}
		if f := t.inFlight[d.ID]; f != nil {
			p.InFlight, p.Known, p.Drained = f.count, true, f.emptyAt
			p.Stuck = f.count > 0 && now.Sub(f.minCountAt) >= t.cfg.StuckAfter
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
			if t.appliesTo(&t.drains[i], id) {
				out = append(out, id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// dropStaleCounts drops the counts of drains that are no longer configured.
func (t *Tracker) dropStaleCounts() {
	for id := range t.inFlight {
		if !slices.ContainsFunc(t.drains, func(d rules.Drain) bool { return d.ID == id }) {
			delete(t.inFlight, id)
		}
	}
}
