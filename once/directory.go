package once

import (
	"sort"
	"time"
)

// directory holds what this VM knows about the fleet.
type directory struct {
	vms       map[string]VM
	order     []string // IDs of all VMs, in an order that every VM computes alike
	complete  bool
	listed    bool
	changedAt time.Time // time of the last change to vms
	// goneSince holds the time since which a VM has been reported as gone.
	goneSince map[string]time.Time
	// avoidUntil holds VMs that did not answer, with the time until which they
	// are not chosen as members.
	avoidUntil map[string]time.Time
}

// avoidTTL is the lifetime of an entry in directory.avoidUntil.
const avoidTTL = 10 * time.Second

func (d *directory) init() {
	d.vms = make(map[string]VM)
	d.goneSince = make(map[string]time.Time)
	d.avoidUntil = make(map[string]time.Time)
}

// SetDirectory replaces the list of the fleet's VMs, which includes this VM.
func (m *Machine) SetDirectory(now time.Time, dir Directory) Effects {
	m.begin(now)
	d := &m.dir
	vms := make(map[string]VM, len(dir.VMs))
	unchanged := len(dir.VMs) == len(d.vms)
	for _, v := range dir.VMs {
		vms[v.VM] = v
		unchanged = unchanged && d.vms[v.VM] == v
	}
	if !unchanged {
		d.changedAt = now
		d.order = d.order[:0]
		for id := range vms {
			d.order = append(d.order, id)
		}
		sort.Slice(d.order, func(i, j int) bool {
			a, b := rankHash(-1, d.order[i]), rankHash(-1, d.order[j])
			return a < b || (a == b && d.order[i] < d.order[j])
		})
	}
	d.vms, d.complete, d.listed = vms, dir.Complete, dir.Listed || dir.Complete
	for _, p := range m.parts {
		if p.role == RoleOwner && m.hasOutsideContact(p) {
			p.lastOutsideContact = now
		}
	}
	for id, v := range vms {
		m.setGone(id, v.State == VMGone)
	}
	for _, p := range m.parts {
		for _, mb := range p.rec.Members() {
			if _, ok := vms[mb.VM]; !ok {
				m.setGone(mb.VM, dir.Complete)
			}
		}
	}
	return m.finish()
}

// hasOutsideContact reports whether a VM outside the partition's view is serving.
// It is also true if the fleet has no VM outside the view.
func (m *Machine) hasOutsideContact(p *partition) bool {
	alone := true
	for _, id := range m.dir.order {
		v := m.dir.vms[id]
		if id == m.cfg.Self.VM || p.rec.RoleOf(v.Member) != RoleNone {
			continue
		}
		if v.State == VMServing {
			return true
		}
		alone = false
	}
	return alone
}

func (m *Machine) setGone(id string, gone bool) {
	if !gone {
		delete(m.dir.goneSince, id)
	} else if _, ok := m.dir.goneSince[id]; !ok {
		m.dir.goneSince[id] = m.now
	}
}

// isLost reports whether a member is considered lost, and its claims with it: its VM
// runs as a newer incarnation, or it has been reported as gone for GoneDelay.
func (m *Machine) isLost(mb Member) bool {
	if mb == m.cfg.Self {
		return false
	}
	if v, ok := m.dir.vms[mb.VM]; ok && v.Incarnation > mb.Incarnation {
		return true
	}
	since, ok := m.dir.goneSince[mb.VM]
	return ok && m.now.Sub(since) >= m.cfg.GoneDelay
}

// isAvailable reports whether a member is serving in the incarnation that the
// record names, and thus can propose a view.
func (m *Machine) isAvailable(mb Member) bool {
	if mb == m.cfg.Self {
		return !m.leaving
	}
	v, ok := m.dir.vms[mb.VM]
	return ok && v.Incarnation == mb.Incarnation && v.State == VMServing
}

// isEligible reports whether a VM may be chosen as a member of a new view.
func (m *Machine) isEligible(v VM) bool {
	if v.VM == m.cfg.Self.VM {
		return !m.leaving && v.Incarnation == m.cfg.Self.Incarnation
	}
	until, avoided := m.dir.avoidUntil[v.VM]
	return v.State == VMServing && (!avoided || !m.now.Before(until))
}

// isReplaced reports whether a member is assumed not to hold the view any more: it is
// considered lost, is reported as gone, or its VM runs as a newer incarnation.
func (m *Machine) isReplaced(mb Member) bool {
	if mb == m.cfg.Self {
		return false
	}
	v, ok := m.dir.vms[mb.VM]
	return m.isLost(mb) || (ok && (v.State == VMGone || v.Incarnation > mb.Incarnation))
}

// selfVM returns the directory entry of this VM.
func (m *Machine) selfVM() VM {
	return VM{Member: m.cfg.Self, DataCentre: m.cfg.DataCentre, Region: m.cfg.Region, State: VMServing}
}

// vmInfo returns the directory entry of a VM, or the zero value if it has none.
func (m *Machine) vmInfo(id string) VM {
	if id == m.cfg.Self.VM {
		return m.selfVM()
	}
	return m.dir.vms[id]
}

// nonMemberRank returns the rank of this VM among the serving VMs as a proposer
// for a partition of which it is not a member, or -1 while this VM is leaving.
func (m *Machine) nonMemberRank(n int) int {
	if m.leaving {
		return -1
	}
	rank, own := 0, rankHash(n, m.cfg.Self.VM)
	for id, v := range m.dir.vms {
		if id != m.cfg.Self.VM && v.State == VMServing && rankHash(n, id) > own {
			rank++
		}
	}
	return rank
}
