// Package inventory is what an entry VM knows of the platform: instances, entry
// VMs, routes and evacuations. It decides which records count: older ones never
// replace newer ones, and removals that only show that the store was away are
// held back until the owners have had time to write their records again.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for
// concurrent use.
package inventory

import (
	"time"
)

// Kind tells what a change is about.
type Kind uint8

// Kinds of changes.
const (
	// Ignored records concern nobody here.
	Ignored Kind = iota
	OfInstance
	OfVM
	OfRoutes
	OfEvacuation
	// OfRefused records name a request that instances died of.
	OfRefused
)

// Change is one decoded record. The fields of other kinds than Kind are empty.
type Change struct {
	Kind Kind
	// ID of the instance, VM, evacuated data centre or refused request.
	ID       string
	Revision uint64
	// Removed says that the record is gone.
	Removed bool
	// Unusable says why a record that stands can't be used; the instance or VM
	// then counts as gone.
	Unusable error

	Instance *Instance
	VM       *VM
	Routes   *Routes
}

// Instance is a registered upstream process.
type Instance struct {
	ID, Service, DataCentre, Address, Version string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Draining instances take no new work.
	Draining bool
	// Cold is how much longer it was cold when the record was written.
	Cold time.Duration
	// Born tells apart processes under the same ID.
	Born int64
	// ColdUntil is Cold counted from when the record arrived here.
	ColdUntil time.Time
}

// VM is an entry VM.
type VM struct {
	ID         string `json:"id"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Caller is the address for requests, Relay the one for other VMs.
	Caller string `json:"caller"`
	Relay  string `json:"relay"`
	// Boot tells apart processes under the same ID.
	Boot uint64 `json:"boot"`
	// Capacity is the number of requests per second that it can bear. Zero means
	// unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// Starting VMs relay, and are not named to callers yet.
	Starting bool `json:"starting,omitempty"`
}

// Routes is one version of the operators' configuration.
type Routes struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	BodyBytes int64
}

// Route says how requests below a path of a host are treated.
type Route struct {
	Name, Host, Prefix string
	Idempotent         bool
	// Timeout bounds a request. Zero means no bound.
	Timeout time.Duration
	// Target is the response time that is aimed at.
	Target time.Duration
	// Priority orders requests when room is short, 0 first.
	Priority int
	// MaxAttempts bounds the instances that one request may be sent to.
	MaxAttempts int
	// Sticky routes are served faster where an object was served before.
	Sticky bool
	// Regions are those that may serve the route. Empty means all.
	Regions []string
	// Backends share the requests in proportion to their weights.
	Backends []Backend
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is what the operators say of a service.
type Service struct {
	Name string
	// ColdRate is the requests per second that a cold instance tolerates.
	ColdRate float64
}

const (
	// holdAfterReturn is how long after the store's return removals are held
	// back: owners that live write their records again within about 2 s.
	holdAfterReturn = 2200 * time.Millisecond
	// massShare is the part of the records of a kind whose removal at once is
	// taken as the work of a store that was away.
	massShare = 0.5
	// massLeast is the least number of removals that count as many.
	massLeast = 6
	// forgetAfter is how long the revision of a removed record is remembered.
	forgetAfter = time.Minute
)

// Effect is something that happened, for the log.
type Effect struct {
	Change Change
	// Held says that a removal was held back.
	Held bool
	// Stale says that an older version of the routes was refused.
	Stale bool
}

// entry is a record with its state.
type entry struct {
	change Change
	// heldUntil is when a held removal takes effect, or zero.
	heldUntil time.Time
	removed   time.Time
}

type entryKey struct {
	kind Kind
	id   string
}

// Inventory is the state of one entry VM.
type Inventory struct {
	entries map[entryKey]*entry
	// waiting are the entries whose removal is held or is to be forgotten.
	waiting map[entryKey]*entry
	routes  *Routes
	// away says that the store does not answer; returned is when it last did so
	// again.
	away     bool
	returned time.Time
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{entries: make(map[entryKey]*entry), waiting: make(map[entryKey]*entry)}
}

// Contact reports whether the store, or the way to it, failed since the last
// call. It is called before the changes that an answer brought.
func (v *Inventory) Contact(now time.Time, failed bool) {
	if failed {
		v.away = true
		return
	}
	if v.away {
		v.away, v.returned = false, now
	}
}

// isHolding tells whether removals may only show that the store was away.
func (v *Inventory) isHolding(now time.Time) bool {
	return v.away || (!v.returned.IsZero() && now.Sub(v.returned) < holdAfterReturn)
}

func (v *Inventory) holdEnd(now time.Time) time.Time {
	if !v.away && now.Sub(v.returned) < holdAfterReturn {
		return v.returned.Add(holdAfterReturn)
	}
	return now.Add(holdAfterReturn)
}

// Apply takes changes in the order of their revisions.
func (v *Inventory) Apply(now time.Time, changes []Change) []Effect {
	mass := v.massRemovals(changes)
	var effects []Effect
	for i := range changes {
		c := changes[i]
		switch c.Kind {
		case Ignored:
		case OfRoutes:
			effects = v.applyRoutes(c, effects)
		default:
			hold := v.isHolding(now) || mass[c.Kind]
			effects = v.applyOne(now, c, hold, effects)
		}
	}
	return effects
}

// Reset takes the whole state as of a revision. What it lacks is removed, but for
// records that are newer.
func (v *Inventory) Reset(now time.Time, revision uint64, changes []Change) []Effect {
	present := make(map[entryKey]bool, len(changes))
	for i := range changes {
		present[entryKey{changes[i].Kind, changes[i].ID}] = true
	}
	all := changes
	for key, e := range v.entries {
		if !present[key] && e.removed.IsZero() && e.change.Revision < revision {
			all = append(all, Change{Kind: key.kind, ID: key.id, Revision: revision, Removed: true})
		}
	}
	return v.Apply(now, all)
}

// massRemovals finds kinds of which most records are removed at once.
func (v *Inventory) massRemovals(changes []Change) map[Kind]bool {
	removed := make(map[Kind]int)
	for i := range changes {
		if changes[i].Removed {
			removed[changes[i].Kind]++
		}
	}
	out := make(map[Kind]bool)
	for kind, n := range removed {
		if n < massLeast {
			continue
		}
		present := 0
		for key, e := range v.entries {
			if key.kind == kind && e.removed.IsZero() {
				present++
			}
		}
		out[kind] = kind != OfEvacuation && float64(n) > massShare*float64(present)
	}
	return out
}

func (v *Inventory) applyRoutes(c Change, effects []Effect) []Effect {
	if c.Removed || c.Routes == nil {
		// Routes in force are never taken back by a removal or by a record that
		// can't be read.
		return append(effects, Effect{Change: c})
	}
	if v.routes != nil && c.Routes.Version <= v.routes.Version {
		if c.Routes.Version == v.routes.Version {
			return effects
		}
		return append(effects, Effect{Change: c, Stale: true})
	}
	v.routes = c.Routes
	return append(effects, Effect{Change: c})
}

func (v *Inventory) applyOne(now time.Time, c Change, hold bool, effects []Effect) []Effect {
	key := entryKey{c.Kind, c.ID}
	e := v.entries[key]
	if e != nil && c.Revision <= e.change.Revision {
		return effects
	}
	if c.Removed {
		if e == nil || !e.removed.IsZero() {
			return effects
		}
		if hold && c.Kind != OfEvacuation && !isLeaving(&e.change) {
			if e.heldUntil.IsZero() {
				effects = append(effects, Effect{Change: c, Held: true})
			}
			e.heldUntil = v.holdEnd(now)
			v.waiting[key] = e
			return effects
		}
		return append(effects, v.remove(now, e, c))
	}
	if e == nil {
		e = new(entry)
		v.entries[key] = e
	}
	if c.Instance != nil && c.Instance.Cold > 0 {
		c.Instance.ColdUntil = now.Add(c.Instance.Cold)
	}
	e.change, e.heldUntil, e.removed = c, time.Time{}, time.Time{}
	delete(v.waiting, key)
	return append(effects, Effect{Change: c})
}

// isLeaving tells whether a record already said that its owner leaves.
func isLeaving(c *Change) bool { return c.Instance != nil && c.Instance.Draining }

func (v *Inventory) remove(now time.Time, e *entry, c Change) Effect {
	c.Instance, c.VM = e.change.Instance, e.change.VM
	e.change, e.heldUntil, e.removed = c, time.Time{}, now
	v.waiting[entryKey{c.Kind, c.ID}] = e
	return Effect{Change: c}
}

// Tick ends holds and forgets what was removed long ago.
func (v *Inventory) Tick(now time.Time) []Effect {
	var effects []Effect
	for key, e := range v.waiting {
		switch {
		case !e.heldUntil.IsZero() && v.away:
			// The owners can't write their records yet.
			e.heldUntil = now.Add(holdAfterReturn)
		case !e.heldUntil.IsZero() && !now.Before(e.heldUntil):
			c := Change{Kind: key.kind, ID: key.id, Revision: e.change.Revision, Removed: true}
			effects = append(effects, v.remove(now, e, c))
		case !e.removed.IsZero() && now.Sub(e.removed) > forgetAfter:
			delete(v.entries, key)
			delete(v.waiting, key)
		}
	}
	return effects
}
