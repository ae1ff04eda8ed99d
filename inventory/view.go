package inventory

import (
	"cmp"
	"slices"
	"strings"
)

// Routes returns the routes in force, or nil.
func (v *Inventory) Routes() *Routes { return v.routes }

// Evacuated returns the data centres that are being evacuated.
func (v *Inventory) Evacuated() map[string]bool {
	out := make(map[string]bool)
	for key, e := range v.entries {
		if key.kind == KindEvacuation && e.removedAt.IsZero() {
			out[key.id] = true
		}
	}
	return out
}

// Instances returns the instances that accept new work, ordered by ID.
func (v *Inventory) Instances() []Instance {
	var out []Instance
	for _, e := range v.entries {
		if v.canTakeWork(e) {
			out = append(out, *e.change.Instance)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Instance returns the instance with an ID if it accepts new work.
func (v *Inventory) Instance(id string) (Instance, bool) {
	e := v.entries[entryKey{KindInstance, id}]
	if e == nil || !v.canTakeWork(e) {
		return Instance{}, false
	}
	return *e.change.Instance, true
}

func (v *Inventory) canTakeWork(e *entry) bool {
	i := e.change.Instance
	if i == nil || !e.removedAt.IsZero() || i.Draining {
		return false
	}
	evacuation := v.entries[entryKey{KindEvacuation, i.DataCentre}]
	if evacuation == nil {
		return true
	}
	// Without a record, an instance that was evacuated until now may be cold unnoticed.
	isUnknown := !e.deferredUntil.IsZero() && e.presentAt.Before(evacuation.change.Position) &&
		e.deferredUntil.Sub(evacuation.removedAt) < 2*removalDeferralTime
	return !evacuation.removedAt.IsZero() && !isUnknown
}

// VMs returns the entry VMs, ordered by ID.
func (v *Inventory) VMs() []VM {
	var out []VM
	for _, e := range v.entries {
		if e.change.VM != nil && e.removedAt.IsZero() {
			out = append(out, *e.change.VM)
		}
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Table looks up routes. It is immutable.
type Table struct {
	Version uint64
	byHost  map[string][]*Route
}

// NewTable returns the lookup table of a version of the routes.
func NewTable(r *Routes) *Table {
	t := &Table{Version: r.Version, byHost: make(map[string][]*Route)}
	for i := range r.Routes {
		host := strings.ToLower(r.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &r.Routes[i])
	}
	for _, list := range t.byHost {
		// The first match is then the longest prefix.
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the route with the longest prefix of a path, or nil. The path is compared as
// it was sent, with its encoding. The host may have a port and a trailing dot.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list, ok = t.byHost[name]
		if !ok {
			list = t.byHost[strings.TrimSuffix(name, ".")]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
