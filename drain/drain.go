// Package drain decides which instances, data centres, regions and entry VMs
// accept new work at a given time, how they return afterwards, and how far a
// drain has come.
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
	DefaultRamp       = 60 * time.Second
	DefaultRampFloor  = 0.1
	DefaultGrace      = 2 * time.Second
	DefaultStuckAfter = 60 * time.Second
)

// Config of a Tracker. Zero values mean the defaults.
type Config struct {
	// Ramp is how long a target takes to return to all of its work. Default
	// 60 s. Negative returns it at once.
	Ramp time.Duration
	// RampFloor is the fraction of its work that a target gets at the start of
	// the ramp, so that its caches start to fill. Default 0.1, range 0 to 1.
	RampFloor float64
	// Grace is how long after the start of a drain new work may still arrive,
	// which covers decisions already taken. Default 2 s.
	Grace time.Duration
	// StuckAfter is how long the work in flight may stay without getting less
	// before the drain counts as stuck. Default 60 s.
	StuckAfter time.Duration
}

func (c *Config) defaults() {
	if c.Ramp == 0 {
		c.Ramp = DefaultRamp
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

type target struct {
	kind rules.TargetKind
	name string
}

// window is the time in which one drain applies.
type window struct {
	start, end time.Time
}

type place struct {
	dataCentre, region string
}

// Tracker follows the drains of successive configurations. It remembers the
// targets of deleted drains until they have returned.
type Tracker struct {
	cfg       Config
	drains    []rules.Drain
	windows   map[target][]window
	cancelled map[target]time.Time
	instances map[string]place
	regions   map[string]string // by data centre
	flight    map[string]*flight
}

// New returns a tracker without drains.
func New(cfg Config) *Tracker {
	cfg.defaults()
	return &Tracker{
		cfg:       cfg,
		windows:   make(map[target][]window),
		cancelled: make(map[target]time.Time),
		flight:    make(map[string]*flight),
	}
}

// Set installs the drains of a configuration. A drain in effect that is absent
// from it was cancelled, and its target returns by ramp from now.
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
		if active(old[k], now) && !active(t.windows[k], now) {
			t.cancelled[k] = now
		}
		// A drain that ended may be deleted while its target still returns.
		if end := lastEnd(old[k], now); end.After(t.cancelled[k]) {
			t.cancelled[k] = end
		}
	}
	for k, at := range t.cancelled {
		if now.Sub(at) > t.cfg.Ramp {
			delete(t.cancelled, k)
		}
	}
	t.locate(reg)
	t.forget()
}

// Snapshot returns what the tracker says at present, without the requests in flight. A
// later Set does not change it, so that it may be read while another goroutine sets.
func (t *Tracker) Snapshot() *Tracker {
	// Set replaces the other maps as a whole.
	return &Tracker{
		cfg: t.cfg, drains: t.drains, windows: t.windows, cancelled: maps.Clone(t.cancelled),
		instances: t.instances, regions: t.regions,
	}
}

func (t *Tracker) locate(reg *register.Register) {
	t.regions = make(map[string]string)
	for i := range reg.Regions {
		for _, dc := range reg.Regions[i].DataCentres {
			t.regions[dc.Name] = reg.Regions[i].Name
		}
	}
	t.instances = make(map[string]place)
	for i := range reg.Services {
		for j := range reg.Services[i].Instances {
			in := &reg.Services[i].Instances[j]
			t.instances[in.ID] = place{in.DataCentre, t.regions[in.DataCentre]}
		}
	}
}

func (w window) active(now time.Time) bool {
	return !now.Before(w.start) && (w.end.IsZero() || now.Before(w.end))
}

func active(ws []window, now time.Time) bool {
	return slices.ContainsFunc(ws, func(w window) bool { return w.active(now) })
}

// lastEnd returns the latest end that has passed, or the zero time.
func lastEnd(ws []window, now time.Time) time.Time {
	var last time.Time
	for _, w := range ws {
		if !w.end.IsZero() && !now.Before(w.end) && w.end.After(last) {
			last = w.end
		}
	}
	return last
}

// Accepts returns the fraction of its usual work that a target itself takes at
// now: 0 while drained, a rising part while it returns, otherwise 1. Places
// around the target are not considered; see Instance and VM.
func (t *Tracker) Accepts(now time.Time, kind rules.TargetKind, name string) float64 {
	k := target{kind, name}
	if active(t.windows[k], now) {
		return 0
	}
	ended := t.cancelled[k]
	if end := lastEnd(t.windows[k], now); end.After(ended) {
		ended = end
	}
	if ended.IsZero() || t.cfg.Ramp < 0 {
		return 1
	}
	done := float64(now.Sub(ended)) / float64(t.cfg.Ramp)
	return min(1, max(t.cfg.RampFloor, done))
}

// Region returns the fraction of its usual work that a region takes.
func (t *Tracker) Region(now time.Time, region string) float64 {
	return t.Accepts(now, rules.TargetRegion, region)
}

// DataCentre returns the fraction that a data centre takes, its region
// considered.
func (t *Tracker) DataCentre(now time.Time, dc string) float64 {
	return min(t.Accepts(now, rules.TargetDataCentre, dc), t.Region(now, t.regions[dc]))
}

// Instance returns the fraction that an instance takes, its data centre and
// region considered. An instance that is not in the register takes nothing.
func (t *Tracker) Instance(now time.Time, id string) float64 {
	p, ok := t.instances[id]
	if !ok {
		return 0
	}
	return min(t.Accepts(now, rules.TargetInstance, id), t.DataCentre(now, p.dataCentre))
}

// VM returns the fraction of lookups that an entry VM takes, its data centre
// and region considered.
func (t *Tracker) VM(now time.Time, id, dc string) float64 {
	return min(t.Accepts(now, rules.TargetVM, id), t.DataCentre(now, dc))
}

// covers tells whether a drain applies to an instance.
func (t *Tracker) covers(d *rules.Drain, instance string) bool {
	p := t.instances[instance]
	switch d.Kind {
	case rules.TargetInstance:
		return d.Target == instance
	case rules.TargetDataCentre:
		return d.Target == p.dataCentre
	case rules.TargetRegion:
		return d.Target == p.region
	default:
		return false
	}
}

// Started checks new work that was sent to an instance: none may start later
// than the grace after its drain took effect. It returns whether the check held.
// noticed is when the caller's VM installed the configuration with the drain.
func (t *Tracker) Started(now, noticed time.Time, instance string) bool {
	for i := range t.drains {
		d := &t.drains[i]
		if !d.Active(now) || !t.covers(d, instance) {
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

// compareProgress orders the rows of a report.
func compareProgress(a, b Progress) int {
	if c := a.Since.Compare(b.Since); c != 0 {
		return c
	}
	return strings.Compare(a.Drain, b.Drain)
}
