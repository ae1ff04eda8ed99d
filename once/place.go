package once

import "fmt"

// placement chooses the members of a view.
type placement struct {
	m *Machine
	n int
	// cands are the eligible VMs in the common order.
	cands []VM
	// loads counts the memberships, owned counts the partitions owned.
	loads, owned map[string]int
	old          Record
}

func (m *Machine) newPlacement(n int, old Record) *placement {
	pl := &placement{m: m, n: n, old: old, loads: make(map[string]int), owned: make(map[string]int)}
	for _, id := range m.dir.order {
		if v := m.vm(id); m.eligible(v) {
			pl.cands = append(pl.cands, v)
		}
	}
	if _, ok := m.dir.vms[m.cfg.Self.VM]; !ok && !m.leaving {
		pl.cands = append(pl.cands, m.selfVM())
	}
	for _, p := range m.parts {
		if p.n == n || p.rec.Epoch == 0 {
			continue
		}
		pl.owned[p.rec.Owner.VM]++
		for _, mb := range p.rec.Members() {
			pl.loads[mb.VM]++
		}
	}
	return pl
}

// choose returns the members of a new view. Members of the old view are kept
// where they are eligible. An owner given by name is preferred.
func (pl *placement) choose(owner string) (Record, bool) {
	if len(pl.cands) == 0 {
		return Record{}, false
	}
	o, ok := pl.owner(owner)
	if !ok {
		return Record{}, false
	}
	r := Record{Partition: pl.n, Owner: o.Member}
	taken := map[string]bool{o.VM: true}
	// The first witness survives the loss of the owner's data centre, the second
	// the loss of its region.
	first, ok := pl.pick(taken, func(v VM) bool { return v.DataCentre != o.DataCentre && v.Region == o.Region },
		func(v VM) bool { return v.DataCentre != o.DataCentre }, anyVM)
	if ok {
		taken[first.VM] = true
		r.Witnesses = append(r.Witnesses, first.Member)
		second, ok := pl.pick(taken, func(v VM) bool { return v.Region != o.Region && v.DataCentre != first.DataCentre },
			func(v VM) bool { return v.DataCentre != o.DataCentre && v.DataCentre != first.DataCentre },
			func(v VM) bool { return v.DataCentre != o.DataCentre }, anyVM)
		if ok {
			r.Witnesses = append(r.Witnesses, second.Member)
		}
	}
	// A lone owner is accepted only where there is no second VM at all.
	return r, len(r.Witnesses) > 0 || len(pl.m.dir.vms) <= 1
}

func anyVM(VM) bool { return true }

func (pl *placement) owner(name string) (VM, bool) {
	for _, v := range pl.cands {
		if v.VM == name {
			return v, true
		}
	}
	if name != "" {
		return VM{}, false
	}
	for _, mb := range pl.old.Members() {
		for _, v := range pl.cands {
			if v.Member == mb {
				return v, true
			}
		}
	}
	best, found := VM{}, false
	for _, v := range pl.cands {
		if !found || pl.owned[v.VM] < pl.owned[best.VM] ||
			(pl.owned[v.VM] == pl.owned[best.VM] && mix(pl.n, v.VM) > mix(pl.n, best.VM)) {
			best, found = v, true
		}
	}
	return best, found
}

// pick returns the best VM for the first condition that any VM meets: a member
// of the old view, then the one with the fewest memberships.
func (pl *placement) pick(taken map[string]bool, conditions ...func(VM) bool) (VM, bool) {
	for _, cond := range conditions {
		best, bestLoad, found := VM{}, 0, false
		for _, v := range pl.cands {
			if taken[v.VM] || !cond(v) {
				continue
			}
			load := pl.loads[v.VM]
			if pl.old.RoleOf(v.Member) != RoleNone {
				load = -1
			}
			if !found || load < bestLoad || (load == bestLoad && mix(pl.n, v.VM) > mix(pl.n, best.VM)) {
				best, bestLoad, found = v, load, true
			}
		}
		if found {
			return best, true
		}
	}
	return VM{}, false
}

// spread rates how well the members of a view are spread, at most 4.
func (m *Machine) spread(r *Record) int {
	o := m.vm(r.Owner.VM)
	score := len(r.Witnesses)
	otherDC, otherRegion := 0, 0
	for _, w := range r.Witnesses {
		v := m.vm(w.VM)
		if v.DataCentre != o.DataCentre {
			otherDC = 1
		}
		if v.Region != o.Region {
			otherRegion = 1
		}
	}
	return score + otherDC + otherRegion
}

// place returns the next view of a partition.
func (m *Machine) place(n int, base Record, owner string) (Record, bool) {
	if base.Epoch == 0 {
		return m.placeFirst(n)
	}
	r, ok := m.newPlacement(n, base).choose(owner)
	if !ok && owner != "" {
		r, ok = m.newPlacement(n, base).choose("")
	}
	if !ok {
		// VMs that did not answer lately are better than none.
		clear(m.dir.avoid)
	}
	return r, ok
}

// placeFirst computes the first assignment of all partitions, so that VMs with
// the same directory spread them evenly without knowing of one another.
func (m *Machine) placeFirst(n int) (Record, bool) {
	pl := m.newPlacement(-1, Record{})
	if len(pl.cands) == 0 {
		return Record{}, false
	}
	clear(pl.loads)
	clear(pl.owned)
	for i := 0; ; i++ {
		pl.n = i
		r, ok := pl.choose("")
		if i == n || !ok {
			return r, ok
		}
		pl.owned[r.Owner.VM]++
		for _, mb := range r.Members() {
			pl.loads[mb.VM]++
		}
	}
}

// viewName returns a name that no other proposal has.
func (m *Machine) viewName() string {
	m.nextView++
	return fmt.Sprintf("%s/%d/%d", m.cfg.Self.VM, m.cfg.Self.Incarnation, m.nextView)
}
