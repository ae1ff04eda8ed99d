package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// Builder makes snapshots. It carries the weights that depend on load over from one
// snapshot to the next. It is not safe for concurrent use.
type Builder struct {
	cfg Config
	// keepFractions holds the fraction of its callers that each data centre keeps,
	// 0 to 1. A data centre without an entry keeps all.
	keepFractions map[string]*dampedFactor
	// weightFactors holds the fraction of its full weight that each VM has, by ID. A
	// VM without an entry has its full weight.
	weightFactors map[string]*dampedFactor

	cachedRegister *register.Register
	cachedBlocks   *Blocks
}

// New returns a builder.
func New(cfg Config) *Builder {
	return &Builder{cfg: cfg.withDefaults(), keepFractions: make(map[string]*dampedFactor), weightFactors: make(map[string]*dampedFactor)}
}

// Build makes a snapshot. It fails only if the register is missing or its blocks are
// not valid. Call it whenever an input changes and at least every few seconds, so
// that drains start on time and weights follow the load.
func (b *Builder) Build(now time.Time, in Input) (*Snapshot, error) {
	if in.Register == nil {
		return nil, errors.New("steer: no register")
	}
	blocks, err := b.blocks(in)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{cfg: b.cfg, blocks: blocks, services: make(map[string]struct{}, len(in.Register.Services))}
	for i := range in.Register.Services {
		s.services[in.Register.Services[i].Name] = struct{}{}
	}
	p := newTopology(in.Register)
	drained := newDrainSet(in.Drains, now)
	usable := selectUsable(in.VMs, drained, p)
	b.updateWeights(now, in.VMs, usable, p)
	b.placeVMs(s, p, usable)
	s.orders = p.orders(blocks.Sites(), in.Register.Sites, b.cfg.DataCentre)
	for i := range s.vms {
		vm := &s.vms[i].vm
		if drained.has(vm) || vm.State == Leaving {
			invariant.Check(invariant.NoNewAfterDrain, false, "lookup would hand out %s, which is drained or leaving", vm.ID)
		}
	}
	return s, nil
}

func (b *Builder) blocks(in Input) (*Blocks, error) {
	if in.Blocks != nil {
		b.cachedRegister, b.cachedBlocks = nil, nil
		return in.Blocks, nil
	}
	if b.cachedRegister == in.Register {
		return b.cachedBlocks, nil
	}
	blocks, err := NewBlocks(in.Register.Blocks)
	if err != nil {
		return nil, err
	}
	b.cachedRegister, b.cachedBlocks = in.Register, blocks
	return blocks, nil
}

// placeVMs fills the snapshot's data centres with the usable VMs in order.
func (b *Builder) placeVMs(s *Snapshot, p *topology, usable []VM) {
	slices.SortFunc(usable, func(x, y VM) int {
		return cmp.Or(cmp.Compare(p.dcNumbers[x.DataCentre], p.dcNumbers[y.DataCentre]), cmp.Compare(x.ID, y.ID))
	})
	s.regions, s.regionNames = p.regionDCs, p.regionNames
	s.dcs = make([]dataCentre, len(p.dcNames))
	s.vms = make([]candidate, len(usable))
	for i := range s.dcs {
		s.dcs[i] = dataCentre{name: p.dcNames[i], region: p.regionOf[i], hasEqualCapacity: true, keepFraction: uint32(b.keepFraction(p.dcNames[i]) * keepAll)}
	}
	for i, vm := range usable {
		s.vms[i] = candidate{
			vm:     vm,
			weight: uint16(max(1, fullWeight*b.weightFactor(vm.ID)+0.5)),
		}
		s.hashes = append(s.hashes, xxhash.Sum64String(vm.ID))
		s.capacities = append(s.capacities, float64(capacity(&vm)))
		d := &s.dcs[p.dcNumbers[vm.DataCentre]]
		if d.empty() {
			d.from = i
		}
		d.to = i + 1
		d.capacity += s.capacities[i]
		if s.capacities[i] != s.capacities[d.from] {
			d.hasEqualCapacity = false
		}
	}
}

func capacity(vm *VM) uint32 {
	if vm.Weight == 0 {
		return DefaultWeight
	}
	return vm.Weight
}

// drainSet is the set of targets of the drains in effect.
type drainSet struct{ dc, region, vm map[string]bool }

func newDrainSet(drains []rules.Drain, now time.Time) drainSet {
	d := drainSet{dc: make(map[string]bool), region: make(map[string]bool), vm: make(map[string]bool)}
	for i := range drains {
		if !drains[i].IsActive(now) {
			continue
		}
		switch drains[i].Kind {
		case rules.TargetDataCentre:
			d.dc[drains[i].Target] = true
		case rules.TargetRegion:
			d.region[drains[i].Target] = true
		case rules.TargetVM:
			d.vm[drains[i].Target] = true
		case rules.TargetInstance:
		}
	}
	return d
}

func (d drainSet) has(vm *VM) bool { return d.vm[vm.ID] || d.dc[vm.DataCentre] || d.region[vm.Region] }

// selectUsable returns the VMs that answers may contain. The region of a VM is that
// of its data centre in the register; a data centre that the register lacks is added
// to the topology. Of several VMs with the same ID only the newest incarnation is
// considered. Suspected VMs are used only while none serves: a suspicion may be
// wrong, whereas an empty answer certainly fails the caller.
func selectUsable(vms []VM, d drainSet, p *topology) []VM {
	newest := make(map[string]int, len(vms))
	for i := range vms {
		if j, ok := newest[vms[i].ID]; !ok || vms[i].Incarnation > vms[j].Incarnation {
			newest[vms[i].ID] = i
		}
	}
	pick := func(state State) []VM {
		var out []VM
		for i, vm := range vms {
			if newest[vm.ID] != i || vm.State != state || !vm.Address.IsValid() {
				continue
			}
			vm.Region = p.addVM(&vm)
			if !d.has(&vms[i]) && !d.has(&vm) {
				out = append(out, vm)
			}
		}
		return out
	}
	if out := pick(Serving); len(out) > 0 {
		return out
	}
	return pick(Suspected)
}
