// Package drain decides which instances, data centres, regions and entry VMs accept
// new work at a given time and how their share of work ramps up after a drain. It also
// reports the progress of drains.
package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// Defaults of Config.
const (
	DefaultRampTime   = 60 * time.Second
	DefaultRampFloor  = 0.1
	DefaultGrace      = 2 * time.Second
	DefaultStuckAfter = 60 * time.Second
)

// Config of a Tracker. Zero values mean the defaults.
type Config struct {
	// RampTime is how long after a drain its target accepts all of its usual work
	// again. Default 60 s. Negative means at once.
	RampTime time.Duration
	// RampFloor is the fraction of its usual work that a target gets at the start
	// of the ramp, so that its caches start to fill. Default 0.1, range 0 to 1.
	RampFloor float64
	// Grace is how long after the start of a drain new work may still start on its
	// targets, because of decisions taken before. Default 2 s.
	Grace time.Duration
	// StuckAfter is how long the work in flight may go without decreasing before
	// the drain is reported as stuck. Default 60 s.
	StuckAfter time.Duration
}

func (c *Config) setDefaults() {
	if c.RampTime == 0 {
		c.RampTime = DefaultRampTime
	}
	if c.RampFloor <= 0 {
		c.RampFloor = DefaultRampFloor
	}
	if c.Grace <= 0 {
		c.Grace = DefaultGrace
	}
	if c.StuckAfter <= 0 {
		c.StuckAfter = DefaultStuckAfter
	}
}

// target is what a drain applies to.
type target struct {
	kind rules.TargetKind
	name string
}

// window is the period of one drain. A zero end means that it has none.
type window struct {
	start, end time.Time
}

// location is where an instance runs.
type location struct {
	dataCentre, region string
}

// Tracker follows the drains of successive configurations. It remembers the targets of
// deleted drains until their ramps end.
type Tracker struct {
	cfg     Config
	drains  []rules.Drain
	windows map[target][]window
	// endedAt holds when the drains of a target ended or were cancelled, also if
	// they are no longer configured.
	endedAt   map[target]time.Time
	instances map[string]location
	regions   map[string]string         // by data centre
	inFlight  map[string]*inFlightCount // by drain ID
}

// New returns a tracker without drains.
func New(cfg Config) *Tracker {
	cfg.setDefaults()
	return &Tracker{
		cfg:      cfg,
		windows:  make(map[target][]window),
		endedAt:  make(map[target]time.Time),
		inFlight: make(map[string]*inFlightCount),
	}
}

// Set installs the drains of a configuration. An active drain that is absent from it
// was cancelled, and the ramp of its target starts now.
func (t *Tracker) Set(now time.Time, reg *register.Register, r *rules.Rules) {
	old := t.windows
	t.drains = slices.Clone(r.Drains)
	t.windows = make(map[target][]window, len(t.drains))
	for i := range t.drains {
		d := &t.drains[i]
		k := target{d.Kind, d.Target}
		t.windows[k] = append(t.windows[k], window{d.Start, d.End})
	}
	for k := range old {
		if anyActive(old[k], now) && !anyActive(t.windows[k], now) {
			t.endedAt[k] = now
		}
		// A drain may be deleted after its end, during the ramp of its target.
		if end := lastEnd(old[k], now); end.After(t.endedAt[k]) {
			t.endedAt[k] = end
		}
	}
	for k, at := range t.endedAt {
		if now.Sub(at) > t.cfg.RampTime {
			delete(t.endedAt, k)
		}
	}
	t.indexLocations(reg)
	t.dropStaleCounts()
}

// Snapshot returns a copy of the tracker without the work in flight. A later Set does
// not change the copy, so that it may be read while another goroutine calls Set.
func (t *Tracker) Snapshot() *Tracker {
	// Only endedAt is cloned, since Set replaces the other maps instead of
	// modifying them.
	return &Tracker{
		cfg: t.cfg, drains: t.drains, windows: t.windows, endedAt: maps.Clone(t.endedAt),
		instances: t.instances, regions: t.regions,
	}
}

// indexLocations maps instances and data centres to their places in the register.
func (t *Tracker) indexLocations(reg *register.Register) {
	t.regions = make(map[string]string)
	for i := range reg.Regions {
		for _, dc := range reg.Regions[i].DataCentres {
			t.regions[dc.Name] = reg.Regions[i].Name
		}
	}
	t.instances = make(map[string]location)
	for i := range reg.Services {
		for j := range reg.Services[i].Instances {
			in := &reg.Services[i].Instances[j]
			t.instances[in.ID] = location{in.DataCentre, t.regions[in.DataCentre]}
		}
	}
}

func (w window) isActive(now time.Time) bool {
	return !now.Before(w.start) && (w.end.IsZero() || now.Before(w.end))
}

func anyActive(ws []window, now time.Time) bool {
	return slices.ContainsFunc(ws, func(w window) bool { return w.isActive(now) })
}

// lastEnd returns the latest end before or at now, or the zero time.
func lastEnd(ws []window, now time.Time) time.Time {
	var last time.Time
	for _, w := range ws {
		if !w.end.IsZero() && !now.Before(w.end) && w.end.After(last) {
			last = w.end
		}
	}
	return last
}

// TargetFraction returns the fraction of its usual work that a target accepts at now:
// 0 while it is drained, a rising fraction during its ramp, otherwise 1. Drains of the
// data centre or region around the target are ignored; see InstanceFraction and
// VMFraction.
func (t *Tracker) TargetFraction(now time.Time, kind rules.TargetKind, name string) float64 {
	k := target{kind, name}
	if anyActive(t.windows[k], now) {
		return 0
	}
	ended := t.endedAt[k]
	if end := lastEnd(t.windows[k], now); end.After(ended) {
		ended = end
	}
	if ended.IsZero() || t.cfg.RampTime < 0 {
		return 1
	}
	fraction := float64(now.Sub(ended)) / float64(t.cfg.RampTime)
	return min(1, max(t.cfg.RampFloor, fraction))
}

// RegionFraction returns the fraction of its usual work that a region accepts.
func (t *Tracker) RegionFraction(now time.Time, region string) float64 {
	return t.TargetFraction(now, rules.TargetRegion, region)
}

// DataCentreFraction returns the fraction of its usual work that a data centre accepts,
// including the effect of drains of its region.
func (t *Tracker) DataCentreFraction(now time.Time, dc string) float64 {
	return min(t.TargetFraction(now, rules.TargetDataCentre, dc), t.RegionFraction(now, t.regions[dc]))
}

// InstanceFraction returns the fraction of its usual work that an instance accepts,
// including the effect of drains of its data centre and region. It is 0 for an instance
// that is not in the register.
func (t *Tracker) InstanceFraction(now time.Time, id string) float64 {
	l, ok := t.instances[id]
	if !ok {
		return 0
	}
	return min(t.TargetFraction(now, rules.TargetInstance, id), t.DataCentreFraction(now, l.dataCentre))
}

// VMFraction returns the fraction of its usual lookups that an entry VM accepts,
// including the effect of drains of its data centre and region.
func (t *Tracker) VMFraction(now time.Time, id, dc string) float64 {
	return min(t.TargetFraction(now, rules.TargetVM, id), t.DataCentreFraction(now, dc))
}

// appliesTo reports whether the target of a drain is an instance, its data centre or its
// region.
func (t *Tracker) appliesTo(d *rules.Drain, instance string) bool {
	l := t.instances[instance]
	switch d.Kind {
	case rules.TargetInstance:
		return d.Target == instance
	case rules.TargetDataCentre:
		return d.Target == l.dataCentre
	case rules.TargetRegion:
		return d.Target == l.region
	default:
		return false
	}
}

// CheckNewWork checks the invariant that no new work starts on an instance later than
// Grace after its drain took effect. It is called when work starts, and returns whether
// the invariant holds. noticed is when this VM installed the configuration with the
// drain.
func (t *Tracker) CheckNewWork(now, noticed time.Time, instance string) bool {
	for i := range t.drains {
		d := &t.drains[i]
		if !d.IsActive(now) || !t.appliesTo(d, instance) {
			continue
		}
		since := d.Start
		if noticed.After(since) {
			since = noticed
		}
		if late := now.Sub(since); late > t.cfg.Grace {
			return invariant.Check(invariant.NoNewAfterDrain, false,
				"instance %q got new work %v after drain %q took effect", instance, late, d.ID)
		}
	}
	return true
}

// compareProgress orders drains by their start, then by ID.
func compareProgress(a, b Progress) int {
	if c := a.Since.Compare(b.Since); c != 0 {
		return c
	}
	return strings.Compare(a.Drain, b.Drain)
}
