package entry

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/feed"
	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/placement"
)

// vmPrefix is the key prefix of the entry VMs' records.
const vmPrefix = "vm/"

var _ feed.Sink = (*Node)(nil)

// decode decodes a record. The platform decodes all records that entry VMs don't write.
func (n *Node) decode(r feed.Record) inventory.Change {
	if text, ok := strings.CutPrefix(r.Key, refusedPrefix); ok {
		c := inventory.Change{Kind: inventory.KindRefused, ID: text, Position: history.Position{Revision: r.Revision}, Removed: r.Removed}
		var f crashguard.Fingerprint
		if err := f.UnmarshalText([]byte(text)); err != nil || f.String() != text {
			c.Unusable = errors.Errorf("%s: invalid fingerprint", r.Key)
		}
		return c
	}
	id, ok := strings.CutPrefix(r.Key, vmPrefix)
	if !ok {
		return n.platform.Decode(r)
	}
	c := inventory.Change{Kind: inventory.KindVM, ID: id, Position: history.Position{Revision: r.Revision}, Removed: r.Removed}
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

// decodeAll decodes the records of an answer.
func (n *Node) decodeAll(o feed.Origin, records []feed.Record) []inventory.Change {
	out := make([]inventory.Change, 0, len(records))
	for _, r := range records {
		c := n.decode(r)
		c.Epoch = o.Position.Epoch
		if c.Unusable != nil {
			event.RecordIgnored.Log(n.log, "key", r.Key, "revision", r.Revision, "source", o.Source, "lag_ms", o.Lag.Milliseconds(), "error", c.Unusable)
		}
		out = append(out, c)
	}
	return out
}

// ReportContact implements feed.Sink.
func (n *Node) ReportContact(now time.Time, c feed.Contact) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inv.RecordContact(now, c.Steady, c.Failed)
	if !c.Failed {
		n.sharers.recordContact(c.Age, c.IsWhole)
		n.cold.confirm(c.Age)
	}
	if c.Failed {
		// The refresh failed, so requests must not wait for it.
		n.pause.markRefreshed(c.SentAt)
	}
}

// Reset implements feed.Sink.
func (n *Node) Reset(now time.Time, o feed.Origin, records []feed.Record) {
	at := o.Position
	changes := n.decodeAll(o, records)
	n.cold.recordSource(n.isPulser(o.Source))
	n.mu.Lock()
	defer n.mu.Unlock()
	effects := n.inv.Reset(now, at, changes)
	wasLoaded := n.isLoaded
	n.isLoaded = true
	if before := n.epoch.Swap(at.Epoch); wasLoaded && before != at.Epoch {
		// The record of this VM is written again with those of the others.
		effects = slices.DeleteFunc(effects, func(e inventory.Effect) bool {
			return e.Change.Kind == inventory.KindVM && e.Change.ID == n.self.ID
		})
		n.onRestored()
	}
	n.applyReceived(now, o, changes, effects)
}

// Apply implements feed.Sink.
func (n *Node) Apply(now time.Time, o feed.Origin, records []feed.Record) {
	changes := n.decodeAll(o, records)
	n.cold.recordSource(n.isPulser(o.Source))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyReceived(now, o, changes, n.inv.Apply(now, changes))
}

// applyReceived applies the effects of changes that were received, and then lets the requests go on
// that wait for them. The lock is held.
func (n *Node) applyReceived(now time.Time, o feed.Origin, changes []inventory.Change, effects []inventory.Effect) {
	isOperators := false
	for i := range changes {
		version, ok := operatorChange(&changes[i])
		if ok {
			// Before the change takes effect: a request must not state less than it was routed by.
			n.currency.setState(changes[i].Position, version)
		}
		isOperators = isOperators || ok
	}
	n.applyEffects(now, effects, "source", o.Source, "lag_ms", o.Lag.Milliseconds(), "asked_ms", (feed.Uptime() - o.SentAt).Milliseconds())
	n.currency.setPosition(o.Position, o.SentAt, o.Source == feed.StoreName)
	n.pause.markRefreshed(o.SentAt)
	if isOperators {
		n.sendRoutesNotice(maxDigestPeers)
	}
}

// operatorChange reports whether a change is one of the operators by which VMs decide about
// requests, and returns its version of the routes or zero.
func operatorChange(c *inventory.Change) (version uint64, ok bool) {
	if c.Routes != nil {
		return c.Routes.Version, true
	}
	return 0, c.Kind == inventory.KindEvacuation
}

// tick ends deferrals of removals and adapts the placement.
func (n *Node) tick(now time.Time) {
	if paused, _ := n.pause.check(); paused > 0 {
		n.selector.recordPause(paused)
	}
	n.mu.Lock()
	n.applyEffects(now, n.inv.Tick(now))
	n.mu.Unlock()
	n.reach.Tick(n.ctx, &n.group)
	if doubted := n.selector.doubtedAddresses(now); doubted != nil && !n.reach.IsIsolated() {
		n.reach.Confirm(n.ctx, &n.group, doubted)
	}
	n.sharers.tick()
	n.selector.tick(now)
	n.tryEjected(now)
	n.tickQuota(now)
}

// applyEffects applies changes of the inventory to all parts of the node. The lock is held.
//
// Attrs are further fields of the log lines about the operators' changes.
func (n *Node) applyEffects(now time.Time, effects []inventory.Effect, attrs ...any) {
	if len(effects) == 0 {
		return
	}
	vms, all := false, false
	var changed []string
	var gone []inventory.VM
	for i := range effects {
		e := &effects[i]
		n.logEffect(e, attrs)
		if e.Doubted {
			continue
		}
		switch e.Change.Kind {
		case inventory.KindVM:
			vms = true
			if vm := e.Change.VM; vm != nil && e.Change.Removed && !e.Deferred {
				gone = append(gone, *vm)
			}
			if e.Change.ID == n.self.ID && (e.Change.Removed || e.Change.VM == nil || e.Change.VM.Boot != n.self.Boot) {
				n.triggerAnnounce()
			}
		case inventory.KindInstance:
			changed = append(changed, e.Change.ID)
			if i := e.Change.Instance; e.Change.Removed && !e.Deferred && i != nil && !i.Draining {
				n.selector.onRecordExpired(crashguard.Process{ID: i.ID, StartMillis: i.StartMillis})
			}
		case inventory.KindRefused:
			var f crashguard.Fingerprint
			// An ID that isn't a fingerprint was logged when it was decoded.
			if err := f.UnmarshalText([]byte(e.Change.ID)); err == nil && !e.Deferred && e.Change.Unusable == nil {
				n.selector.setRecorded(f, !e.Change.Removed)
			}
		default:
			// Evacuations and routes affect many instances.
			all = true
		}
	}
	if routes := n.inv.Routes(); routes != nil && (n.router.version() != routes.Version || !n.ready.Load()) {
		n.teamCaps.setTeams(routes)
		if teams := n.router.set(routes); teams != nil {
			for _, pair := range teams.SharedKeys() {
				event.SharedTeamKey.Log(n.log, "version", routes.Version, "team", pair[0], "ignored_for", pair[1])
			}
		}
		if !n.ready.Swap(true) {
			n.proxy.SetReady(true)
			event.DaemonReady.Log(n.log, "version", routes.Version)
			n.triggerAnnounce()
		}
	}
	if vms {
		n.setVMs(now, gone)
	}
	if all || len(changed) > 0 {
		n.reach.SetInstances(n.instanceAddresses())
	}
	switch {
	case all:
		n.selector.setInstances(now, n.placementInstances())
	case len(changed) > 0:
		n.changeInstances(now, changed)
	}
}

func (n *Node) logEffect(e *inventory.Effect, origin []any) {
	c := &e.Change
	attrs := []any{"id", c.ID, "epoch", c.Epoch, "revision", c.Revision}
	if i := c.Instance; i != nil {
		attrs = append(attrs, "service", i.Service, "instance_data_centre", i.DataCentre, "address", i.Address, "slots", i.Slots,
			"draining", i.Draining, "cold_ms", i.Cold.Milliseconds(), "born", i.StartMillis)
	}
	if r := c.Routes; r != nil {
		attrs = append(attrs, "version", r.Version, "routes", len(r.Routes))
	}
	if c.Kind == inventory.KindRoutes || c.Kind == inventory.KindEvacuation {
		attrs = append(attrs, origin...)
	}
	ev := event.InstanceChanged
	switch {
	case e.Doubted:
		ev = event.RecordDoubted
	case e.Deferred:
		ev = event.RemovalDeferred
	case e.Stale:
		ev = event.RoutesRejected
	case c.Kind == inventory.KindInstance && (c.Removed || c.Instance == nil):
		ev = event.InstanceGone
	case c.Kind == inventory.KindVM && (c.Removed || c.VM == nil):
		ev = event.VMGone
	case c.Kind == inventory.KindVM:
		ev = event.VMChanged
	case c.Kind == inventory.KindRoutes:
		ev = event.RoutesApplied
	case c.Kind == inventory.KindRefused && c.Removed:
		ev = event.RefusalEnded
	case c.Kind == inventory.KindRefused:
		ev = event.RefusalRecorded
	case c.Kind == inventory.KindEvacuation && c.Removed:
		ev = event.EvacuationEnded
	case c.Kind == inventory.KindEvacuation:
		ev = event.EvacuationSet
	}
	ev.Log(n.log, attrs...)
}

// setVMs updates the view and the sharers from the VMs in the inventory. The lock is held.
//
// Gone are the VMs whose records were removed.
func (n *Node) setVMs(now time.Time, gone []inventory.VM) {
	v := newView(n.view.Load(), now, n.inv.VMs(), n.self.Region)
	n.view.Store(v)
	n.reach.SetPeers(transitPeers(v, n.self.ID))
	n.sharers.setVMs(v.vms, gone)
}

// changeInstances applies changes of single instances. The lock is held.
func (n *Node) changeInstances(now time.Time, ids []string) {
	var list []placement.Instance
	var removed []string
	for _, id := range ids {
		if i, ok := n.inv.Instance(id); ok {
			list = append(list, n.toPlacement(&i))
		} else {
			removed = append(removed, id)
		}
	}
	n.selector.changeInstances(now, list, removed)
}

// placementInstances returns the instances that accept new requests. The lock is held.
func (n *Node) placementInstances() []placement.Instance {
	list := n.inv.Instances()
	out := make([]placement.Instance, 0, len(list))
	for k := range list {
		out = append(out, n.toPlacement(&list[k]))
	}
	return out
}

// instanceAddresses returns the addresses of the instances that accept new requests. The
// lock is held.
func (n *Node) instanceAddresses() []string {
	list := n.inv.Instances()
	out := make([]string, 0, len(list))
	for k := range list {
		out = append(out, list[k].Address)
	}
	return out
}

// maxUnknownDataCentres bounds the data centres that are logged, since instances name them.
const maxUnknownDataCentres = 64

// toPlacement converts an instance for the placement. The lock is held.
func (n *Node) toPlacement(i *inventory.Instance) placement.Instance {
	region, known := n.settings.Load().Regions[i.DataCentre]
	if !known && !n.unknownDataCentres[i.DataCentre] && len(n.unknownDataCentres) < maxUnknownDataCentres {
		n.unknownDataCentres[i.DataCentre] = true
		event.UnknownDataCentre.Log(n.log, "data_centre", i.DataCentre, "id", i.ID)
	}
	p := placement.Instance{
		ID: i.ID, Service: i.Service, Region: region,
		Address: i.Address, StartMillis: i.StartMillis, Slots: i.Slots, ColdUntil: i.ColdUntil,
	}
	if routes := n.inv.Routes(); routes != nil {
		p.ColdRate, p.HealthPath = routes.Services[i.Service].ColdRate, routes.Services[i.Service].HealthPath
	}
	return p
}

// lookup returns the entry VMs for a caller, and how long the caller may cache them.
// A stopping VM keeps serving until the callers that cached its address have asked
// again.
func (n *Node) lookup(location CallerLocation) ([]string, time.Duration) {
	s := n.settings.Load()
	linger := time.Duration(lingerShare * float64(s.StopGrace))
	ttl := max(min(maxLookupTTL, s.MaxLookupTTL, linger-maxWithdrawDelay), minLookupTTL)
	var self *inventory.VM
	if n.isReady() {
		self = &n.self
	}
	return n.view.Load().addressesFor(location, n.self.ID, self), ttl
}

const (
	// maxLookupTTL bounds how long callers cache an answer.
	maxLookupTTL = 2 * time.Second
	// minLookupTTL keeps callers from a lookup per request when the deployment's stop
	// grace is short.
	minLookupTTL = 500 * time.Millisecond
	// maxWithdrawDelay is how long other VMs may still return the address of a stopping VM:
	// the call that withdraws its record, the pause between answers of the store, and a
	// relay between regions.
	maxWithdrawDelay = 500 * time.Millisecond
)
