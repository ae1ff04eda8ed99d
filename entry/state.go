package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/feed"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/placement"
)

// vmPrefix begins the keys of the entry VMs' records.
const vmPrefix = "vm/"

var _ feed.Sink = (*Node)(nil)

// decode translates a record: the entry VMs' own here, the others by the platform.
func (n *Node) decode(r feed.Record) inventory.Change {
	if text, ok := strings.CutPrefix(r.Key, refusedPrefix); ok {
		c := inventory.Change{Kind: inventory.OfRefused, ID: text, Revision: r.Revision, Removed: r.Removed}
		var f crashguard.Fingerprint
		if err := f.UnmarshalText([]byte(text)); err != nil || f.String() != text {
			c.Unusable = errors.Errorf("%s: no fingerprint", r.Key)
		}
		return c
	}
	id, ok := strings.CutPrefix(r.Key, vmPrefix)
	if !ok {
		return n.platform.Decode(r)
	}
	c := inventory.Change{Kind: inventory.OfVM, ID: id, Revision: r.Revision, Removed: r.Removed}
	if r.Removed {
		return c
	}
	vm := new(inventory.VM)
	if err := json.Unmarshal(r.Value, vm); err != nil {
		c.Unusable = errors.Wrap(err, r.Key)
	} else {
		c.VM = vm
	}
	return c
}

func (n *Node) decodeAll(records []feed.Record) []inventory.Change {
	out := make([]inventory.Change, 0, len(records))
	for _, r := range records {
		c := n.decode(r)
		if c.Unusable != nil {
			event.RecordIgnored.Log(n.log, "key", r.Key, "revision", r.Revision, "error", c.Unusable)
		}
		out = append(out, c)
	}
	return out
}

// Touch implements feed.Sink.
func (n *Node) Touch(now time.Time, _ time.Duration, failed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inv.Contact(now, failed)
	if failed {
		// Nothing newer is to be had.
		n.pause.heard()
	}
}

// Reset implements feed.Sink.
func (n *Node) Reset(now time.Time, revision uint64, records []feed.Record) {
	changes := n.decodeAll(records)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.took(now, n.inv.Reset(now, revision, changes))
	n.pause.heard()
}

// Apply implements feed.Sink.
func (n *Node) Apply(now time.Time, records []feed.Record) {
	changes := n.decodeAll(records)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.took(now, n.inv.Apply(now, changes))
	n.pause.heard()
}

// tick ends holds and adapts the placement.
func (n *Node) tick(now time.Time) {
	if paused, _ := n.pause.alive(); paused > 0 {
		event.VMPaused.Log(n.log, "paused_ms", paused.Milliseconds())
	}
	n.mu.Lock()
	n.took(now, n.inv.Tick(now))
	n.mu.Unlock()
	n.selector.tick(now)
}

// took puts what changed in force. The lock is held.
func (n *Node) took(now time.Time, effects []inventory.Effect) {
	if len(effects) == 0 {
		return
	}
	vms, all := false, false
	var changed []string
	for i := range effects {
		e := &effects[i]
		n.logEffect(e)
		switch e.Change.Kind {
		case inventory.OfVM:
			vms = true
			if e.Change.ID == n.self.ID && (e.Change.Removed || e.Change.VM == nil || e.Change.VM.Boot != n.self.Boot) {
				n.wakeAnnounce()
			}
		case inventory.OfInstance:
			changed = append(changed, e.Change.ID)
			if i := e.Change.Instance; e.Change.Removed && !e.Held && i != nil && !i.Draining {
				n.selector.recordGone(crashguard.Process{ID: i.ID, Born: i.Born})
			}
		case inventory.OfRefused:
			var f crashguard.Fingerprint
			// A name that is no fingerprint was logged when it was decoded.
			if err := f.UnmarshalText([]byte(e.Change.ID)); err == nil && !e.Held && e.Change.Unusable == nil {
				n.selector.setRecorded(f, !e.Change.Removed)
			}
		default:
			// Evacuations and routes concern many instances.
			all = true
		}
	}
	if routes := n.inv.Routes(); routes != nil && (n.router.version() != routes.Version || !n.ready.Load()) {
		n.router.set(routes)
		if !n.ready.Swap(true) {
			n.proxy.SetReady(true)
			event.DaemonReady.Log(n.log, "version", routes.Version)
			n.wakeAnnounce()
		}
	}
	if vms {
		n.setVMs(now)
	}
	switch {
	case all:
		n.selector.setInstances(now, n.placed())
	case len(changed) > 0:
		n.changeInstances(now, changed)
	}
}

func (n *Node) logEffect(e *inventory.Effect) {
	c := &e.Change
	attrs := []any{"id", c.ID, "revision", c.Revision}
	if i := c.Instance; i != nil {
		attrs = append(attrs, "service", i.Service, "instance_data_centre", i.DataCentre, "address", i.Address, "slots", i.Slots,
			"draining", i.Draining, "cold_ms", i.Cold.Milliseconds(), "born", i.Born)
	}
	if r := c.Routes; r != nil {
		attrs = append(attrs, "version", r.Version, "routes", len(r.Routes))
	}
	ev := event.InstanceChanged
	switch {
	case e.Held:
		ev = event.RemovalHeld
	case e.Stale:
		ev = event.RoutesOld
	case c.Kind == inventory.OfInstance && (c.Removed || c.Instance == nil):
		ev = event.InstanceGone
	case c.Kind == inventory.OfVM && (c.Removed || c.VM == nil):
		ev = event.VMGone
	case c.Kind == inventory.OfVM:
		ev = event.VMChanged
	case c.Kind == inventory.OfRoutes:
		ev = event.RoutesApplied
	case c.Kind == inventory.OfRefused && c.Removed:
		ev = event.RefusalEnded
	case c.Kind == inventory.OfRefused:
		ev = event.RefusalRecorded
	case c.Kind == inventory.OfEvacuation && c.Removed:
		ev = event.EvacuationEnded
	case c.Kind == inventory.OfEvacuation:
		ev = event.EvacuationSet
	}
	ev.Log(n.log, attrs...)
}

// setVMs puts the VMs in force. The lock is held.
func (n *Node) setVMs(now time.Time) {
	v := newView(n.view.Load(), now, n.inv.VMs(), n.self.Region)
	n.view.Store(v)
	total, own := 0.0, weightOf(&n.self)
	for i := range v.vms {
		total += weightOf(&v.vms[i])
	}
	n.budgetMu.Lock()
	n.budget.SetBurst(retrySlackShare * n.settings.RetrySlack * own / max(own, total))
	n.budgetMu.Unlock()
	vms := make([]placement.VM, 0, len(v.ranked))
	for i := range v.ranked {
		vms = append(vms, placement.VM{ID: v.ranked[i].ID, Weight: weightOf(&v.ranked[i])})
	}
	n.selector.setVMs(vms)
}

// changeInstances puts changes of single instances in force. The lock is held.
func (n *Node) changeInstances(now time.Time, ids []string) {
	var list []placement.Instance
	var gone []string
	for _, id := range ids {
		if i, ok := n.inv.Instance(id); ok {
			list = append(list, n.place(&i))
		} else {
			gone = append(gone, id)
		}
	}
	n.selector.changeInstances(now, list, gone)
}

// placed returns the instances that take new work. The lock is held.
func (n *Node) placed() []placement.Instance {
	list := n.inv.Instances()
	out := make([]placement.Instance, 0, len(list))
	for k := range list {
		out = append(out, n.place(&list[k]))
	}
	return out
}

// place translates an instance for the placement. The lock is held.
func (n *Node) place(i *inventory.Instance) placement.Instance {
	p := placement.Instance{
		ID: i.ID, Service: i.Service, Region: n.settings.Regions[i.DataCentre],
		Address: i.Address, Born: i.Born, Slots: i.Slots, ColdUntil: i.ColdUntil,
	}
	if routes := n.inv.Routes(); routes != nil {
		p.ColdRate = routes.Services[i.Service].ColdRate
	}
	return p
}

// lookup returns the entry VMs for a caller, and how long it may keep them: a VM
// that stops serves on until those that were told of it before have asked again.
func (n *Node) lookup(place Place) ([]string, time.Duration) {
	linger := time.Duration(lingerShare * float64(n.settings.StopGrace))
	ttl := max(min(lookupTTL, n.settings.LookupTTLMost, linger-noticeTime), leastTTL)
	var self *inventory.VM
	if n.isReady() {
		self = &n.self
	}
	return n.view.Load().named(place, n.self.ID, self), ttl
}

const (
	// lookupTTL bounds how long callers keep an answer.
	lookupTTL = 2 * time.Second
	// leastTTL keeps callers of a deployment with a short grace from asking for
	// each request.
	leastTTL = 500 * time.Millisecond
	// noticeTime is how long the other VMs may still name one that stops: the call
	// that withdraws its record, the pause between answers of the store, and a
	// relay between regions.
	noticeTime = 500 * time.Millisecond
)
