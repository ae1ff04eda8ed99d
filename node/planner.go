package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/store"
)

const (
	planInterval = 2 * time.Second
	// planRefreshInterval is the longest time between two plans that differ in their
	// measurements only and shift no traffic.
	planRefreshInterval = time.Minute
	// planRefreshIntervalPerVM is added for each VM, because the size of a plan grows
	// with the number of VMs and it is sent to each of them: 740 VMs get one of
	// 116 KB every 6 min.
	planRefreshIntervalPerVM = 400 * time.Millisecond
	planKey                  = "plan/current"
	planLock                 = "plan/lease"
)

// maxPlanInterval returns the longest time between two plans in a fleet.
func maxPlanInterval(vms int) time.Duration {
	return planRefreshInterval + time.Duration(vms)*planRefreshIntervalPerVM
}

// planner holds the plan in force. On the VM that holds the lease, it computes the
// next plans.
type planner struct {
	n *Node

	mu         sync.Mutex
	current    *plan.Plan
	data       []byte
	hash       config.Hash
	holdsLease bool

	// Only the loop that calls step uses the fields below.
	lease       store.LeaseID
	renewedAt   time.Time
	signature   string
	publishedAt time.Time
}

// step publishes the measurements of this VM, and computes a plan if this VM is
// responsible for it.
func (p *planner) step(now time.Time) {
	p.publishMeasurement(now)
	if !p.n.control.IsReady() || p.n.isLeaving() || !p.n.control.RanksFirst("plan") {
		p.releaseLease()
		return
	}
	ctx, cancel := context.WithTimeout(p.n.ctx, p.n.settings.Store.Timeout)
	defer cancel()
	if err := p.ensureLease(ctx, now); err != nil {
		event.PlanFailed.Log(p.n.log, "step", "lease", "error", err)
		return
	}
	if err := p.planOnce(ctx, now); err != nil {
		event.PlanFailed.Log(p.n.log, "step", "publish", "error", err)
	}
}

// releaseLease revokes the lease when this VM is no longer responsible for planning.
func (p *planner) releaseLease() {
	if p.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(p.n.ctx, p.n.settings.Store.Timeout)
	defer cancel()
	_ = p.n.store.RevokeLease(ctx, p.lease)
	p.setLease("")
}

func (p *planner) setLease(id store.LeaseID) {
	p.lease = id
	p.mu.Lock()
	p.holdsLease = id != ""
	p.mu.Unlock()
}

// ensureLease acquires or renews the planner lease.
func (p *planner) ensureLease(ctx context.Context, now time.Time) error {
	ttl := p.n.settings.Store.LeaseTTL
	if p.lease != "" {
		if now.Sub(p.renewedAt) < ttl/3 {
			return nil
		}
		err := p.n.store.RenewLease(ctx, p.lease)
		if errors.Is(err, store.ErrLeaseLost) {
			p.setLease("")
		}
		if err == nil {
			p.renewedAt = now
		}
		return err
	}
	id, err := p.n.store.GrantLease(ctx, "planner "+p.n.self.ID, ttl)
	if err != nil {
		return err
	}
	if err := p.n.store.Lock(ctx, planLock, []byte(p.n.self.ID), id); err != nil {
		_ = p.n.store.RevokeLease(ctx, id)
		if errors.Is(err, store.ErrConflict) {
			return errors.New("another VM holds the planner's lease")
		}
		return err
	}
	p.setLease(id)
	p.renewedAt = now
	p.signature = ""
	p.n.announcePlanner()
	event.PlannerLease.Log(p.n.log)
	return nil
}

// planOnce computes the next plan. It publishes the plan if traffic shifts, if the
// inputs differ in more than their measurements, or if the last plan is too old.
func (p *planner) planOnce(ctx context.Context, now time.Time) error {
	entry, err := p.n.store.Get(ctx, planKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if len(entry.Value) > 0 {
		if err := p.adopt(entry.Value); err != nil {
			return err
		}
	}
	in := p.input(now)
	if in == nil {
		return nil
	}
	next, moves, err := plan.Compute(*in)
	if err != nil {
		return err
	}
	signature := p.inputSignature(in)
	if len(moves) == 0 && signature == p.signature && now.Sub(p.publishedAt) < maxPlanInterval(len(in.VMs)) {
		return nil
	}
	next.Recent = recentMoves(now, in.Previous, moves)
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	w := store.Write{Key: planKey, Value: data, Index: entry.Index, LockKey: planLock, Lease: p.lease}
	if err := p.publish(ctx, w, next.ChangeID); err != nil {
		return err
	}
	p.signature, p.publishedAt = signature, now
	p.logMoves(moves)
	event.PlanMade.Log(p.n.log, "version", next.Version, "moves", len(moves))
	return p.adopt(data)
}

// publish writes a plan to the store. After an error other than a conflict it reads
// back whether the plan with its change ID took effect, because only the reply may
// have been lost.
func (p *planner) publish(ctx context.Context, w store.Write, changeID string) error {
	err := p.n.store.CompareAndSwap(ctx, w)
	if err == nil {
		return nil
	}
	if errors.Is(err, store.ErrConflict) {
		p.setLease("")
		return err
	}
	entry, readErr := p.n.store.Get(ctx, w.Key)
	if readErr != nil {
		return err
	}
	var found plan.Plan
	if json.Unmarshal(entry.Value, &found) == nil && found.ChangeID == changeID {
		return nil
	}
	return err
}

// inputSignature identifies an input without its measurements: inputs of the same
// signature differ in measurements only.
func (p *planner) inputSignature(in *plan.Input) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d", p.n.control.Version())
	for _, vm := range in.VMs {
		fmt.Fprintf(&b, " %s/%d", vm.ID, vm.Incarnation)
	}
	for _, c := range in.Capacity {
		fmt.Fprintf(&b, " %s/%s=%g", c.Service, c.Region, c.Slots)
	}
	// A share moves on only after its holder has confirmed, so a confirmation
	// requires a new plan while moves of shares are pending.
	if in.Previous != nil {
		for i := range in.Previous.VMs {
			if in.Previous.VMs[i].Held != nil {
				fmt.Fprintf(&b, " held %s %d", in.Previous.VMs[i].ID, confirmedVersion(in, in.Previous.VMs[i].ID))
			}
		}
	}
	return b.String()
}

func confirmedVersion(in *plan.Input, id string) uint64 {
	for _, vm := range in.VMs {
		if vm.ID == id {
			return vm.Confirmed
		}
	}
	return 0
}

// input collects the input of the next plan.
func (p *planner) input(now time.Time) *plan.Input {
	members := p.n.control.Members()
	p.mu.Lock()
	previous := p.current
	p.mu.Unlock()
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	if p.n.snapshot == nil {
		return nil
	}
	in := &plan.Input{
		Now: now, ChangeID: rand.Text(), Register: p.n.snapshot.Register, Rules: p.n.snapshot.Rules,
		Drains: p.n.drains.Snapshot(), Previous: previous,
	}
	demand := make(map[[2]string]*plan.Demand)
	for _, m := range members {
		if m.IsLost() {
			in.Gone = append(in.Gone, plan.Ref{ID: m.ID, Incarnation: m.Incarnation.Boot})
			continue
		}
		if m.State != member.Serving && m.State != member.Leaving {
			continue
		}
		measured := p.n.sections.measurements[m.ID]
		in.VMs = append(in.VMs, plan.VM{
			ID: m.ID, Incarnation: m.Incarnation.Boot, DataCentre: m.DataCentre, Region: m.Region, Confirmed: measured.Confirmed,
		})
		for name, s := range measured.Services {
			key := [2]string{name, m.Region}
			d := demand[key]
			if d == nil {
				d = &plan.Demand{Service: name, Origin: m.Region, At: measured.at}
				demand[key] = d
			}
			d.Slots += s.Slots
			d.RequestBytes += s.Request
			d.AnswerBytes += s.Answer
			if measured.at.Before(d.At) {
				d.At = measured.at
			}
		}
	}
	for _, d := range demand {
		in.Demand = append(in.Demand, *d)
	}
	slices.SortFunc(in.Demand, func(a, b plan.Demand) int {
		return strings.Compare(a.Service+" "+a.Origin, b.Service+" "+b.Origin)
	})
	in.Capacity = p.capacity(now, in)
	return in
}

// capacity returns the slots of the instances that are up, by service and region.
func (p *planner) capacity(now time.Time, in *plan.Input) []plan.Capacity {
	var out []plan.Capacity
	for i := range in.Register.Services {
		s := &in.Register.Services[i]
		for _, region := range in.Register.RegionNames() {
			c := plan.Capacity{Service: s.Name, Region: region, At: now}
			for j := range s.Instances {
				if in.Register.RegionOf(s.Instances[j].DataCentre) == region && !p.n.prober.isDown(s.Instances[j].ID) {
					c.Slots += float64(s.Instances[j].Slots)
				}
			}
			out = append(out, c)
		}
	}
	return out
}

// adopt applies a plan on this VM unless it has the same or a newer one.
func (p *planner) adopt(data []byte) error {
	next := new(plan.Plan)
	if err := json.Unmarshal(data, next); err != nil {
		return errors.Wrap(err, "plan")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && next.Version <= p.current.Version {
		return nil
	}
	p.n.selector.mu.Lock()
	err := p.n.selector.gate.SetPlan(time.Now(), next)
	p.n.selector.mu.Unlock()
	if err != nil {
		event.PlanRejected.Log(p.n.log, "version", next.Version, "error", err)
		return err
	}
	p.current, p.data, p.hash = next, data, config.HashOf(data)
	p.n.control.SetPlan(next.Version, p.hash)
	event.PlanAdopted.Log(p.n.log, "version", next.Version)
	return nil
}

func (p *planner) logMoves(moves []plan.Move) {
	for _, m := range moves {
		event.PlanMove.Log(p.n.log, "service", m.Service, "origin", m.Origin, "from", m.From, "to", m.To, "percent", m.Percent, "why", m.Text)
	}
}

// recentMoves appends moves to those of the previous plan and keeps the last
// plan.MaxRecent.
func recentMoves(now time.Time, previous *plan.Plan, moves []plan.Move) []plan.TimedMove {
	var out []plan.TimedMove
	if previous != nil {
		out = slices.Clone(previous.Recent)
	}
	for _, m := range moves {
		out = append(out, plan.TimedMove{At: now, Move: m})
	}
	return out[max(0, len(out)-plan.MaxRecent):]
}

// publishMeasurement gossips what the planner needs from this VM.
func (p *planner) publishMeasurement(now time.Time) {
	p.n.selector.mu.Lock()
	confirmed := p.n.selector.gate.Confirmed()
	p.n.selector.mu.Unlock()
	m := measurement{Confirmed: confirmed, Services: p.n.selector.takeMeasurements(now)}
	for name, s := range m.Services {
		// Rounding avoids gossiping an unchanged load again.
		m.Services[name] = serviceMeasurement{Slots: roundMeasurement(s.Slots), Request: roundMeasurement(s.Request), Answer: roundMeasurement(s.Answer)}
	}
	p.n.mu.Lock()
	p.n.sections.init()
	p.n.sections.measurements[p.n.self.ID] = timedMeasurement{m, now}
	p.n.mu.Unlock()
	p.n.setSection(sectionMeasurement, m)
}

// roundMeasurement rounds to a multiple of a step between an eighth and a quarter of
// the value, at least 1/16.
func roundMeasurement(v float64) float64 {
	step := 1.0 / 16
	for v > 8*step {
		step *= 2
	}
	return float64(int(v/step+0.5)) * step
}

func (n *Node) planChunk(hash [32]byte) ([]byte, bool) {
	n.planner.mu.Lock()
	defer n.planner.mu.Unlock()
	if n.planner.data == nil || n.planner.hash != config.Hash(hash) {
		return nil, false
	}
	return n.planner.data, true
}

// onPlan fetches a newer plan from the peer that announced it.
func (n *Node) onPlan(d member.DocUpdate) {
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, 2*time.Second)
		defer cancel()
		data, err := n.control.FetchChunk(ctx, d.Peer, d.Hash)
		if err != nil || config.HashOf(data) != config.Hash(d.Hash) {
			return
		}
		_ = n.planner.adopt(data)
	})
}

// everySecond runs the periodic tasks of the gate, the endpoint and the drains.
func (n *Node) everySecond(now time.Time) {
	n.selector.mu.Lock()
	n.selector.gate.Tick(now)
	n.selector.mu.Unlock()
	n.publishEndpoint()
	n.observeDrains(now)
}
