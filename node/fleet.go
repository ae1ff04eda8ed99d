package node

import (
	"context"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/peer/peerpb"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/steer"
)

// sectionSet holds the sections that VMs gossip about themselves, by VM.
type sectionSet struct {
	endpoints    map[string]endpoint
	measurements map[string]timedMeasurement
	down         map[string]downSection
	transit      map[string]transitSection
	// planner is the VM that took the lease of the planner last, and plannerSince
	// when it did, in Unix nanoseconds.
	planner      string
	plannerSince int64
}

type timedMeasurement struct {
	measurement
	at time.Time
}

func (s *sectionSet) init() {
	if s.endpoints == nil {
		s.endpoints = make(map[string]endpoint)
		s.measurements = make(map[string]timedMeasurement)
		s.down = make(map[string]downSection)
		s.transit = make(map[string]transitSection)
	}
}

// updatePlanner keeps the most recent holder of the planner lease.
func (s *sectionSet) updatePlanner(vm string, since int64) {
	if since > s.plannerSince {
		s.planner, s.plannerSince = vm, since
	}
}

// announcePlanner announces to all VMs that measurements are sent to this VM.
func (n *Node) announcePlanner() {
	since := time.Now().UnixNano()
	n.mu.Lock()
	n.sections.init()
	n.sections.updatePlanner(n.self.ID, since)
	n.mu.Unlock()
	n.control.SetCollector(n.self.ID)
	n.setSection(sectionPlanner, plannerSection{Since: since})
}

// resolveSeeds queries the seeds of the settings for their IDs and locations.
func (n *Node) resolveSeeds() []member.Info {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	var mu sync.Mutex
	var infos []member.Info
	var group conc.WaitGroup
	for _, a := range n.settings.Peers.Seeds {
		group.Go(func() {
			v, err := n.pool.Version(ctx, a.String())
			if err != nil || v.GetId() == "" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			infos = append(infos, member.Info{ID: v.GetId(), DataCentre: v.GetDataCentre(), Region: v.GetRegion(), Address: a.String()})
		})
	}
	group.Wait()
	return infos
}

// setSection publishes a section of this VM. The version is the current time, so that
// it grows across restarts.
func (n *Node) setSection(kind uint8, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	n.control.SetSection(kind, uint64(time.Now().UnixNano()), data)
}

func (n *Node) publishEndpoint() {
	address, err := netip.ParseAddrPort(advertised(n.settings.Listen.AdvertiseCaller, n.callerListener.Addr()))
	if err != nil {
		return
	}
	e := endpoint{Address: address, Load: n.loadTenths()}
	n.mu.Lock()
	n.sections.init()
	same := n.sections.endpoints[n.self.ID] == e
	n.sections.endpoints[n.self.ID] = e
	n.mu.Unlock()
	if !same {
		n.setSection(sectionEndpoint, e)
	}
}

// loadTenths returns the fraction of the request limit in use, in tenths.
func (n *Node) loadTenths() int {
	return 10 * n.proxy.InFlight() / max(1, n.settings.Request.MaxConcurrent)
}

func (n *Node) onSection(s member.Section) {
	if s.Kind >= sectionRecord {
		if r, err := once.ParseRecord(s.Value); err == nil {
			n.runner.Observe(r)
		}
		return
	}
	if s.Kind == sectionLoads {
		if l, ok := decodeSection[loadsSection](s); ok {
			n.onLoads(l)
		}
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sections.init()
	switch s.Kind {
	case sectionEndpoint:
		if e, ok := decodeSection[endpoint](s); ok {
			n.sections.endpoints[s.Owner] = e
		}
	case sectionMeasurement:
		if m, ok := decodeSection[measurement](s); ok {
			n.sections.measurements[s.Owner] = timedMeasurement{m, time.Now()}
		}
	case sectionPlanner:
		if h, ok := decodeSection[plannerSection](s); ok {
			n.sections.updatePlanner(s.Owner, h.Since)
			n.control.SetCollector(n.sections.planner)
		}
	case sectionTransit:
		if t, ok := decodeSection[transitSection](s); ok {
			n.sections.transit[s.Owner] = t
		}
	case sectionDown:
		if d, ok := decodeSection[downSection](s); ok {
			n.sections.down[s.Owner] = d
		}
	}
}

// onRecord gossips a partition record that took effect here. Only the owner does so,
// because a copy from each member would use three times the bandwidth allowance.
func (n *Node) onRecord(r once.Record) {
	kind := int(sectionRecord) + r.Partition
	if kind > math.MaxUint8 || r.Owner.VM != n.self.ID {
		return
	}
	n.control.SetSection(uint8(kind), r.Epoch, r.Marshal())
}

func (n *Node) onMember(c member.Changed) {
	event.SteeringMemberChanged.Log(n.log, "peer", c.Member.ID, "was", c.Was.String(), "state", c.Member.State.String())
	n.refresh(time.Now())
}

// refresh updates everything that depends on membership, drains and time.
func (n *Node) refresh(now time.Time) {
	members := n.control.Members()
	n.runner.SetDirectory(n.directory(now, members))
	n.setPeers(members)
	n.setTransitPeers(members)
	n.updateSteering(now, members)
	n.setInstances(now)
	n.updateRegionStates(now, members)
}

// directory returns the membership in the form that the at-most-once runner needs.
func (n *Node) directory(now time.Time, members []member.Member) once.Directory {
	const membershipSettleTime = 30 * time.Second
	listed := false
	d := once.Directory{VMs: make([]once.VM, 0, len(members))}
	for _, m := range members {
		listed = listed || m.Listed
		vm := once.VM{
			Member:     once.Member{VM: m.ID, Incarnation: m.Incarnation.Boot},
			DataCentre: m.DataCentre, Region: m.Region, State: once.VMSuspected,
		}
		switch {
		case m.IsLost():
			vm.State = once.VMGone
		case m.State == member.Serving:
			vm.State = once.VMServing
		case m.State == member.Leaving:
			vm.State = once.VMLeaving
		}
		d.VMs = append(d.VMs, vm)
	}
	d.Listed = listed
	d.Complete = listed && now.Sub(n.started) > membershipSettleTime
	return d
}

// setPeers sets, for every pool, the number of VMs that share its instances and the
// rank of this VM among them.
func (n *Node) setPeers(members []member.Member) {
	inRegion := make(map[string][]string)
	for _, m := range members {
		if m.State == member.Serving || m.State == member.Leaving || m.ID == n.self.ID {
			inRegion[m.Region] = append(inRegion[m.Region], m.ID)
		}
	}
	n.selector.mu.Lock()
	defer n.selector.mu.Unlock()
	for key, p := range n.selector.pools {
		ids := inRegion[key.region]
		slices.Sort(ids)
		p.setPeers(max(1, len(ids)), slices.Index(ids, n.self.ID))
	}
}

// updateSteering rebuilds the snapshot from which lookups are answered.
func (n *Node) updateSteering(now time.Time, members []member.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.snapshot == nil {
		return
	}
	n.sections.init()
	in := steer.Input{Register: n.snapshot.Register, Blocks: n.blocks, Drains: n.snapshot.Rules.Drains}
	for _, m := range members {
		e, ok := n.sections.endpoints[m.ID]
		if !ok {
			continue
		}
		in.VMs = append(in.VMs, steer.VM{
			ID: m.ID, Incarnation: m.Incarnation.Boot, DataCentre: m.DataCentre, Region: m.Region,
			State: steerState(m.State), Address: e.Address, Load: float64(e.Load) / 10,
		})
	}
	snapshot, err := n.steering.Build(now, in)
	if err != nil {
		event.SteerFailed.Log(n.log, "error", err)
		return
	}
	n.lookups.Set(snapshot)
}

func steerState(s member.State) steer.State {
	switch s {
	case member.Serving:
		return steer.Serving
	case member.Leaving:
		return steer.Leaving
	case member.Suspected:
		return steer.Suspected
	case member.Gone:
		return steer.Gone
	default:
		return steer.Joining
	}
}

// updateRegionStates updates the gate with the regions that are unreachable or have
// no usable upstreams.
func (n *Node) updateRegionStates(now time.Time, members []member.Member) {
	reachable := make(map[string]bool)
	for _, m := range members {
		if m.State != member.Gone && m.State != member.Suspected {
			reachable[m.Region] = true
		}
	}
	n.mu.Lock()
	snapshot := n.snapshot
	n.mu.Unlock()
	if snapshot == nil {
		return
	}
	n.selector.mu.Lock()
	defer n.selector.mu.Unlock()
	for _, region := range snapshot.Register.RegionNames() {
		state := plan.RegionUp
		switch {
		case !reachable[region]:
			state = plan.RegionUnreachable
		case n.prober.isRegionDown(region) || n.isRegionDrained(now, region) || n.selector.isRegionRefusing(now, region):
			state = plan.RegionNoUpstreams
		}
		n.selector.gate.Observe(now, region, state)
	}
}

// isRegionDrained reports whether a drain covers the whole region.
func (n *Node) isRegionDrained(now time.Time, region string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drains.RegionFraction(now, region) == 0
}

// broadcast sends crash reports to all VMs without waiting for the replies.
func (n *Node) broadcast(reports []*peerpb.CrashNote) {
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, broadcastTimeout)
		defer cancel()
		n.control.BroadcastCrashReports(ctx, reports)
	})
}

func (n *Node) onCrashReports(reports []*peerpb.CrashNote) { n.crash.merge(reports) }
