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

// Builder makes snapshots and keeps the weights that depend on load from one to
// the next. It is not safe for concurrent use.
type Builder struct {
	cfg Config
	// keep is the part of its callers that each data centre keeps, 0 to 1. An
	// absent one keeps all.
	keep map[string]*dampedFactor
	// factor is the part of its full weight that each VM has, by ID.
	factor map[string]*dampedFactor

	fromRegister *register.Register
	registered   *Blocks
}

// New returns a builder.
func New(cfg Config) *Builder {
	return &Builder{cfg: cfg.withDefaults(), keep: make(map[string]*dampedFactor), factor: make(map[string]*dampedFactor)}
}

// Build makes a snapshot. It fails only on a register that does not validate.
// A builder of one node is called whenever an input changes and at least every
// few seconds, so that drains start on time and weights follow the load.
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
	p := newPlaces(in.Register)
	drained := newDrained(in.Drains, now)
	usable := selectUsable(in.VMs, drained, p)
	b.weigh(now, in.VMs, usable, p)
	b.place(s, p, usable)
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
		b.fromRegister, b.registered = nil, nil
		return in.Blocks, nil
	}
	if b.fromRegister == in.Register {
		return b.registered, nil
	}
	blocks, err := NewBlocks(in.Register.Blocks)
	if err != nil {
		return nil, err
	}
	b.fromRegister, b.registered = in.Register, blocks
	return blocks, nil
}

// place puts the usable VMs in order into the snapshot.
func (b *Builder) place(s *Snapshot, p *places, usable []VM) {
	slices.SortFunc(usable, func(x, y VM) int {
		return cmp.Or(cmp.Compare(p.dc[x.DataCentre], p.dc[y.DataCentre]), cmp.Compare(x.ID, y.ID))
	})
	s.regions, s.regionNames = p.regionDCs, p.regionNames
	s.dcs = make([]dataCentre, len(p.names))
	s.vms = make([]candidate, len(usable))
	for i := range s.dcs {
		s.dcs[i] = dataCentre{name: p.names[i], region: p.region[i], equal: true, keep: uint32(b.keepOf(p.names[i]) * keepAll)}
	}
	for i, vm := range usable {
		s.vms[i] = candidate{
			vm:     vm,
			weight: uint16(max(1, fullWeight*b.factorOf(vm.ID)+0.5)),
		}
		s.hashes = append(s.hashes, xxhash.Sum64String(vm.ID))
		s.capacities = append(s.capacities, float64(capacity(&vm)))
		d := &s.dcs[p.dc[vm.DataCentre]]
		if d.empty() {
			d.from = i
		}
		d.to = i + 1
		d.capacity += s.capacities[i]
		if s.capacities[i] != s.capacities[d.from] {
			d.equal = false
		}
	}
}

func capacity(vm *VM) uint32 {
	if vm.Weight == 0 {
		return DefaultWeight
	}
	return vm.Weight
}

// drained is the set of targets that take no new work.
type drained struct{ dc, region, vm map[string]bool }

func newDrained(drains []rules.Drain, now time.Time) drained {
	d := drained{dc: make(map[string]bool), region: make(map[string]bool), vm: make(map[string]bool)}
	for i := range drains {
		if !drains[i].Active(now) {
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

func (d drained) has(vm *VM) bool { return d.vm[vm.ID] || d.dc[vm.DataCentre] || d.region[vm.Region] }

// selectUsable returns the VMs that may be handed out. The region of a VM is
// that of its data centre in the register; a VM of an unknown data centre counts
// as one more data centre. Of several VMs with the same ID the newest
// incarnation counts. Suspected VMs are used only while none serves: a
// suspicion may be wrong, and an empty answer certainly fails the caller.
func selectUsable(vms []VM, d drained, p *places) []VM {
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
			vm.Region = p.place(&vm)
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
