// Package inventory holds the platform's state as known to an entry VM: instances,
// entry VMs, routes and evacuations. Older records never replace newer ones. Removals
// that may only be a consequence of an unreachable store are deferred until the owners
// have had time to write their records again.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for
// concurrent use.
package inventory

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/history"
)

// Kind is the kind of record that a change is about.
type Kind uint8

// Kinds of changes.
const (
	// KindIgnored records are of no interest to an entry VM.
	KindIgnored Kind = iota
	KindInstance
	KindVM
	KindRoutes
	KindEvacuation
	// KindRefused records name a request that crashed instances.
	KindRefused
)

// Change is one decoded record. Of Instance, VM and Routes, at most the one that matches
// Kind is set.
type Change struct {
	Kind Kind
	// ID is the ID of the instance, VM, evacuated data centre or refused request.
	ID string
	// Position is that of the change in the store's log.
	history.Position
	// Removed means that the record was removed.
	Removed bool
	// Unusable is the reason why an existing record can't be used. Its instance or VM is then
	// treated as removed.
	Unusable error

	Instance *Instance
	VM       *VM
	Routes   *Routes
}

// Instance is a registered upstream process.
type Instance struct {
	ID, Service, DataCentre, Address, Version string
	// Slots is the number of requests that the instance runs concurrently.
	Slots int
	// Draining instances take no new work.
	Draining bool
	// Cold is how long the instance was still expected to be cold when the record was
	// written.
	Cold time.Duration
	// StartMillis is the start time of the process. It distinguishes processes with the
	// same ID.
	StartMillis int64
	// Reports counts the reports of the process. A record with a lower count is older.
	Reports uint64
	// ColdUntil is the time at which the record arrived here plus Cold.
	ColdUntil time.Time
}

// VM is an entry VM.
type VM struct {
	ID         string `json:"id"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Caller is the address for callers' requests, Relay that for other VMs.
	Caller string `json:"caller"`
	Relay  string `json:"relay"`
	// Boot distinguishes processes with the same ID.
	Boot uint64 `json:"boot"`
	// Capacity is the number of requests per second that the VM can handle. Zero means
	// unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// TransitKey is what VMs that reach no instance state when they pass a request on to
	// this VM. Only VMs can read it. Empty means that the VM takes none over.
	TransitKey string `json:"transit_key,omitempty"`
	// Starting VMs relay requests, but are not announced to callers yet.
	Starting bool `json:"starting,omitempty"`
}

// Routes is one version of the operators' configuration.
type Routes struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// HasTeams says that requests need a key, unless their route is public. Without teams,
	// no request needs one.
	HasTeams bool
	Teams    []Team
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	BodyBytes int64
}

// Route configures the requests below a path of a host.
type Route struct {
	Name, Host, Prefix string
	Idempotent         bool
	// Timeout bounds a request. Zero means no bound.
	Timeout time.Duration
	// Target is the intended response time.
	Target time.Duration
	// Priority orders requests when capacity is short, 0 first.
	Priority int
	// MaxAttempts bounds the number of instances to which one request may be sent.
	MaxAttempts int
	// Public routes need no key of a team.
	Public bool
	// Sticky routes are served faster by instances that served the object before.
	Sticky bool
	// Regions lists the regions that may serve the route. Empty means all.
	Regions []string
	// Backends share the requests in proportion to their weights.
	Backends []Backend
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is the operators' configuration of a service.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a cold instance tolerates.
	ColdRate float64
	// HealthPath is the path at which an instance tells whether it is cold.
	HealthPath string
}

const (
	// removalDeferralTime is how long removals are deferred after the store has become
	// reachable again. Owners that are alive write their records again within about 2 s.
	removalDeferralTime = 2200 * time.Millisecond
	// massRemovalFraction is the part of the records of a kind whose removal at once is
	// attributed to an outage of the store.
	massRemovalFraction = 0.5
	// minMassRemovals is the smallest number of removals that is treated as a mass
	// removal.
	minMassRemovals = 6
	// removedTTL is how long the revision of a removed record is kept.
	removedTTL = time.Minute
)

// Effect is the result of a change, for the log.
type Effect struct {
	Change Change
	// Deferred says that the removal was deferred.
	Deferred bool
	// Stale says that an older version of the routes was ignored.
	Stale bool
	// Doubted says that the record of a restored store was set aside, because it is older
	// than what this VM knows. Change is the record.
	Doubted bool
}

// entry is a record with its state.
type entry struct {
	change Change
	// presentAt is the position at which the record was last written.
	presentAt history.Position
	// deferredUntil is when a deferred removal takes effect, or zero. isOutage says that it
	// was deferred because the store was unreachable or restored.
	deferredUntil time.Time
	isOutage      bool
	removedAt     time.Time
	// doubted is a record of a restored store that was set aside, or nil. It takes effect
	// at doubtedUntil unless the record is written or removed before.
	doubted      *Change
	doubtedUntil time.Time
}

type entryKey struct {
	kind Kind
	id   string
}

// Inventory is the inventory of one entry VM.
type Inventory struct {
	entries map[entryKey]*entry
	// pending holds the entries whose removal is deferred or whose revision will be
	// dropped.
	pending map[entryKey]*entry
	routes  *Routes
	// isStoreUnreachable says that the store does not answer. reachableSince is when it
	// last answered again after an outage.
	isStoreUnreachable bool
	reachableSince     time.Time
	// epoch is that of the last Reset, and isLoaded says that there was one: the first epoch
	// of a store may be zero. restoredAt is when a later epoch was first seen.
	epoch      uint64
	isLoaded   bool
	restoredAt time.Time
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{entries: make(map[entryKey]*entry), pending: make(map[entryKey]*entry)}
}

// RecordContact records whether the store, or the connection to it, failed since the last
// call. It must be called before the changes of an answer are applied. steady is how long
// this VM or the one that it follows has been in contact with the store without a gap: if
// only this VM's calls failed, the store had no outage.
func (v *Inventory) RecordContact(now time.Time, steady time.Duration, failed bool) {
	if failed {
		v.isStoreUnreachable = true
		return
	}
	if v.isStoreUnreachable {
		v.isStoreUnreachable, v.reachableSince = false, now
	}
	if since := now.Add(-steady); since.Before(v.reachableSince) {
		v.reachableSince = since
	}
}

// shouldDeferRemovals reports whether removals may be a consequence of a store outage.
func (v *Inventory) shouldDeferRemovals(now time.Time) bool {
	return v.isStoreUnreachable || now.Sub(v.recoveredAt()) < removalDeferralTime
}

// recoveredAt returns when the store was last reachable again, or seen to be restored.
func (v *Inventory) recoveredAt() time.Time {
	if v.restoredAt.After(v.reachableSince) {
		return v.restoredAt
	}
	return v.reachableSince
}

func (v *Inventory) deferralEnd(now time.Time) time.Time {
	if recoveredAt := v.recoveredAt(); !v.isStoreUnreachable && now.Sub(recoveredAt) < removalDeferralTime {
		return recoveredAt.Add(removalDeferralTime)
	}
	return now.Add(removalDeferralTime)
}

// Apply applies changes, which must be in the order of their positions.
func (v *Inventory) Apply(now time.Time, changes []Change) []Effect {
	isMassRemoval := v.massRemovals(changes)
	var effects []Effect
	for i := range changes {
		c := changes[i]
		switch c.Kind {
		case KindIgnored:
		case KindRoutes:
			effects = v.applyRoutes(c, effects)
		default:
			shouldDefer := v.shouldDeferRemovals(now) || isMassRemoval[c.Kind]
			effects = v.applyOne(now, c, shouldDefer, effects)
		}
	}
	return effects
}

// Reset applies the whole state as of a position. Records that it lacks are removed,
// unless they are newer than the position. The state of a later epoch is that of an older
// copy, see setAside.
func (v *Inventory) Reset(now time.Time, at history.Position, changes []Change) []Effect {
	effects, changes := v.beginEpoch(now, at.Epoch, changes)
	present := make(map[entryKey]bool, len(changes))
	for i := range changes {
		present[entryKey{changes[i].Kind, changes[i].ID}] = true
	}
	all := slices.Clone(changes)
	for key, e := range v.entries {
		if !present[key] && e.removedAt.IsZero() && e.change.Before(at) {
			all = append(all, Change{Kind: key.kind, ID: key.id, Position: at, Removed: true})
		}
	}
	return append(effects, v.Apply(now, all)...)
}

// massRemovals returns the kinds of which most records are removed at once.
func (v *Inventory) massRemovals(changes []Change) map[Kind]bool {
	removed := make(map[Kind]int)
	for i := range changes {
		if changes[i].Removed {
			removed[changes[i].Kind]++
		}
	}
	out := make(map[Kind]bool)
	for kind, n := range removed {
		if n < minMassRemovals {
			continue
		}
		present := 0
		for key, e := range v.entries {
			if key.kind == kind && e.removedAt.IsZero() {
				present++
			}
		}
		out[kind] = kind != KindEvacuation && float64(n) > massRemovalFraction*float64(present)
	}
	return out
}

func (v *Inventory) applyRoutes(c Change, effects []Effect) []Effect {
	if c.Removed || c.Routes == nil {
		// A removal or an unreadable record never withdraws the routes in force.
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

func (v *Inventory) applyOne(now time.Time, c Change, shouldDefer bool, effects []Effect) []Effect {
	key := entryKey{c.Kind, c.ID}
	e := v.entries[key]
	if e != nil && c.Compare(e.change.Position) <= 0 {
		return effects
	}
	if c.Removed {
		if e == nil {
			return effects
		}
		if !e.removedAt.IsZero() {
			e.doubted = nil
			return effects
		}
		e.doubted = nil
		deferredUntil := v.deferralEnd(now)
		if c.Kind == KindEvacuation {
			shouldDefer = e.presentAt.Epoch < c.Epoch && now.Sub(v.restoredAt) < evacuationHoldTime
			deferredUntil = v.restoredAt.Add(evacuationHoldTime)
		}
		if shouldDefer && !isDraining(&e.change) {
			if e.deferredUntil.IsZero() {
				effects = append(effects, Effect{Change: c, Deferred: true})
			}
			e.deferredUntil, e.isOutage = deferredUntil, c.Kind != KindEvacuation && v.shouldDeferRemovals(now)
			v.pending[key] = e
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
	*e = entry{change: c, presentAt: c.Position}
	delete(v.pending, key)
	return append(effects, Effect{Change: c})
}

// isDraining reports whether the record already announced that its instance is leaving.
func isDraining(c *Change) bool { return c.Instance != nil && c.Instance.Draining }

func (v *Inventory) remove(now time.Time, e *entry, c Change) Effect {
	c.Instance, c.VM = e.change.Instance, e.change.VM
	e.change, e.deferredUntil, e.removedAt = c, time.Time{}, now
	v.pending[entryKey{c.Kind, c.ID}] = e
	return Effect{Change: c}
}

// Tick applies deferred removals that are due, and drops entries that were removed long
// ago.
func (v *Inventory) Tick(now time.Time) []Effect {
	var effects []Effect
	outageEnd := v.recoveredAt().Add(removalDeferralTime)
	for key, e := range v.pending {
		if e.isOutage && !e.deferredUntil.IsZero() && !v.isStoreUnreachable && outageEnd.Before(e.deferredUntil) {
			// The VM that this one follows has seen no outage.
			e.deferredUntil = outageEnd
		}
		switch {
		case e.doubted != nil && !now.Before(e.doubtedUntil):
			effects = v.believe(now, e, effects)
		case !e.deferredUntil.IsZero() && v.isStoreUnreachable:
			// The owners can't write their records again before the store is reachable.
			e.deferredUntil = now.Add(removalDeferralTime)
		case !e.deferredUntil.IsZero() && !now.Before(e.deferredUntil):
			c := Change{Kind: key.kind, ID: key.id, Position: e.change.Position, Removed: true}
			effects = append(effects, v.remove(now, e, c))
		case !e.removedAt.IsZero() && e.doubted == nil && now.Sub(e.removedAt) > removedTTL:
			delete(v.entries, key)
			delete(v.pending, key)
		}
	}
	return effects
}
