package once

import "fmt"

// placement chooses the members of a view.
type placement struct {
	m         *Machine
	partition int
	// candidates are the eligible VMs, in an order that every VM computes alike.
	candidates []VM
	// memberships and owned count, by VM, the partitions of which it is a member
	// and those that it owns.
	memberships, owned map[string]int
	previous           Record
}

func (m *Machine) newPlacement(n int, previous Record) *placement {
	pl := &placement{m: m, partition: n, previous: previous, memberships: make(map[string]int), owned: make(map[string]int)}
	for _, id := range m.dir.order {
		if v := m.vmInfo(id); m.isEligible(v) {
			pl.candidates = append(pl.candidates, v)
		}
	}
	if _, ok := m.dir.vms[m.cfg.Self.VM]; !ok && !m.leaving {
		pl.candidates = append(pl.candidates, m.selfVM())
	}
	for _, p := range m.parts {
		if p.n == n || p.rec.Epoch == 0 {
			continue
		}
		pl.owned[p.rec.Owner.VM]++
		for _, mb := range p.rec.Members() {
			pl.memberships[mb.VM]++
		}
	}
	return pl
}

// choose returns the members of a new view. Members of the previous view are
// kept where they are eligible. A non-empty owner names the VM that must become
// the owner. The result is false if there are too few candidates.
func (pl *placement) choose(owner string) (Record, bool) {
	if len(pl.candidates) == 0 {
		return Record{}, false
	}
	o, ok := pl.pickOwner(owner)
	if !ok {
		return Record{}, false
	}
	r := Record{Partition: pl.partition, Owner: o.Member}
	taken := map[string]bool{o.VM: true}
	// The first witness survives the loss of the owner's data centre, the second
	// the loss of its region.
	first, ok := pl.pickWitness(taken, func(v VM) bool { return v.DataCentre != o.DataCentre && v.Region == o.Region },
		func(v VM) bool { return v.DataCentre != o.DataCentre }, anyVM)
	if ok {
		taken[first.VM] = true
		r.Witnesses = append(r.Witnesses, first.Member)
		second, ok := pl.pickWitness(taken, func(v VM) bool { return v.Region != o.Region && v.DataCentre != first.DataCentre },
			func(v VM) bool { return v.DataCentre != o.DataCentre && v.DataCentre != first.DataCentre },
			func(v VM) bool { return v.DataCentre != o.DataCentre }, anyVM)
		if ok {
			r.Witnesses = append(r.Witnesses, second.Member)
		}
	}
	// An owner without witnesses is accepted only if the fleet has no other VM.
	return r, len(r.Witnesses) > 0 || len(pl.m.dir.vms) <= 1
}

func anyVM(VM) bool { return true }

func (pl *placement) pickOwner(name string) (VM, bool) {
	for _, v := range pl.candidates {
		if v.VM == name {
			return v, true
		}
	}
	if name != "" {
		return VM{}, false
	}
	for _, mb := range pl.previous.Members() {
		for _, v := range pl.candidates {
			if v.Member == mb {
				return v, true
			}
		}
	}
	best, found := VM{}, false
	for _, v := range pl.candidates {
		if !found || pl.owned[v.VM] < pl.owned[best.VM] ||
			(pl.owned[v.VM] == pl.owned[best.VM] && rankHash(pl.partition, v.VM) > rankHash(pl.partition, best.VM)) {
			best, found = v, true
		}
	}
	return best, found
}

// pickWitness applies the conditions in order and returns the best VM for the
// first one that any VM meets. Members of the previous view are preferred, then
// VMs with the fewest memberships.
func (pl *placement) pickWitness(taken map[string]bool, conditions ...func(VM) bool) (VM, bool) {
	for _, cond := range conditions {
		best, bestLoad, found := VM{}, 0, false
		for _, v := range pl.candidates {
			if taken[v.VM] || !cond(v) {
				continue
			}
			load := pl.memberships[v.VM]
			if pl.previous.RoleOf(v.Member) != RoleNone {
				load = -1
			}
			if !found || load < bestLoad || (load == bestLoad && rankHash(pl.partition, v.VM) > rankHash(pl.partition, best.VM)) {
				best, bestLoad, found = v, load, true
			}
		}
		if found {
			return best, true
		}
	}
	return VM{}, false
}

// spreadScore rates how well the members of a view are spread: one point for
// each witness, one if a witness is in another data centre than the owner, and one
// if a witness is in another region. The maximum is 4.
func (m *Machine) spreadScore(r *Record) int {
	o := m.vmInfo(r.Owner.VM)
	score := len(r.Witnesses)
	otherDC, otherRegion := 0, 0
	for _, w := range r.Witnesses {
		v := m.vmInfo(w.VM)
		if v.DataCentre != o.DataCentre {
			otherDC = 1
		}
		if v.Region != o.Region {
			otherRegion = 1
		}
	}
	return score + otherDC + otherRegion
}

// place returns the members of a partition's next view. A preferred owner that
// cannot be chosen is ignored.
func (m *Machine) place(n int, base Record, owner string) (Record, bool) {
	if base.Epoch == 0 {
		return m.placeFirst(n)
	}
	r, ok := m.newPlacement(n, base).choose(owner)
	if !ok && owner != "" {
		r, ok = m.newPlacement(n, base).choose("")
	}
	if !ok {
		// The next attempt may choose VMs that recently did not answer.
		clear(m.dir.avoidUntil)
	}
	return r, ok
}

// placeFirst returns the first assignment of a partition. It computes those of
// all partitions up to it, so that VMs with the same directory, each proposing
// for some partitions, spread them evenly without exchanging messages.
func (m *Machine) placeFirst(n int) (Record, bool) {
	pl := m.newPlacement(-1, Record{})
	if len(pl.candidates) == 0 {
		return Record{}, false
	}
	clear(pl.memberships)
	clear(pl.owned)
	for i := 0; ; i++ {
		pl.partition = i
		r, ok := pl.choose("")
		if i == n || !ok {
			return r, ok
		}
		pl.owned[r.Owner.VM]++
		for _, mb := range r.Members() {
			pl.memberships[mb.VM]++
		}
	}
}

// newViewName returns a view name that no other proposal has.
func (m *Machine) newViewName() string {
	m.nextView++
	return fmt.Sprintf("%s/%d/%d", m.cfg.Self.VM, m.cfg.Self.Incarnation, m.nextView)
}
