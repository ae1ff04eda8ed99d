package once

import (
	"sort"
	"time"
)

// directory is the fleet as this VM knows it.
type directory struct {
	vms      map[string]VM
	order    []string // all VMs, by an order that every VM computes alike
	complete bool
	listed   bool
	since    time.Time // of the last change
	// gone is since when a VM is reported as gone.
	gone map[string]time.Time
	// avoid holds VMs that did not answer, until the time given.
	avoid map[string]time.Time
}

// avoidFor is how long a VM that did not answer is not chosen as a member.
const avoidFor = 10 * time.Second

func (d *directory) init() {
	d.vms = make(map[string]VM)
	d.gone = make(map[string]time.Time)
	d.avoid = make(map[string]time.Time)
}

// SetDirectory replaces the view of the fleet. It includes this VM.
func (m *Machine) SetDirectory(now time.Time, dir Directory) Effects {
	m.begin(now)
	d := &m.dir
	vms := make(map[string]VM, len(dir.VMs))
	same := len(dir.VMs) == len(d.vms)
	for _, v := range dir.VMs {
		vms[v.VM] = v
		same = same && d.vms[v.VM] == v
	}
	if !same {
		d.since = now
		d.order = d.order[:0]
		for id := range vms {
			d.order = append(d.order, id)
		}
		sort.Slice(d.order, func(i, j int) bool {
			a, b := mix(-1, d.order[i]), mix(-1, d.order[j])
			return a < b || (a == b && d.order[i] < d.order[j])
		})
	}
	d.vms, d.complete, d.listed = vms, dir.Complete, dir.Listed || dir.Complete
	for _, p := range m.parts {
		if p.role == RoleOwner && m.seesOutsider(p) {
			p.contact = now
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

// seesOutsider tells whether a VM outside the view is serving, or whether the
// fleet has no VM outside it.
func (m *Machine) seesOutsider(p *partition) bool {
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
		delete(m.dir.gone, id)
	} else if _, ok := m.dir.gone[id]; !ok {
		m.dir.gone[id] = m.now
	}
}

// lost tells whether a member counts as lost: it runs as a newer incarnation,
// or it has been reported as gone for GoneDelay.
func (m *Machine) lost(mb Member) bool {
	if mb == m.cfg.Self {
		return false
	}
	if v, ok := m.dir.vms[mb.VM]; ok && v.Incarnation > mb.Incarnation {
		return true
	}
	since, ok := m.dir.gone[mb.VM]
	return ok && m.now.Sub(since) >= m.cfg.GoneDelay
}

// available tells whether a member can act: it is not gone, leaving or
// suspected, in its incarnation.
func (m *Machine) available(mb Member) bool {
	if mb == m.cfg.Self {
		return !m.leaving
	}
	v, ok := m.dir.vms[mb.VM]
	return ok && v.Incarnation == mb.Incarnation && v.State == VMServing
}

// eligible tells whether a VM may become a member.
func (m *Machine) eligible(v VM) bool {
	if v.VM == m.cfg.Self.VM {
		return !m.leaving && v.Incarnation == m.cfg.Self.Incarnation
	}
	until, avoided := m.dir.avoid[v.VM]
	return v.State == VMServing && (!avoided || !m.now.Before(until))
}

// replaced tells whether a member is known not to hold the view any more.
func (m *Machine) replaced(mb Member) bool {
	if mb == m.cfg.Self {
		return false
	}
	v, ok := m.dir.vms[mb.VM]
	return m.lost(mb) || (ok && (v.State == VMGone || v.Incarnation > mb.Incarnation))
}

// self returns the directory's entry of this VM.
func (m *Machine) selfVM() VM {
	return VM{Member: m.cfg.Self, DataCentre: m.cfg.DataCentre, Region: m.cfg.Region, State: VMServing}
}

// vm returns what is known of a VM.
func (m *Machine) vm(id string) VM {
	if id == m.cfg.Self.VM {
		return m.selfVM()
	}
	return m.dir.vms[id]
}

// rankFor returns the rank of this VM among the serving ones for a partition of
// which it is no member, or -1.
func (m *Machine) rankFor(n int) int {
	if m.leaving {
		return -1
	}
	rank, own := 0, mix(n, m.cfg.Self.VM)
	for id, v := range m.dir.vms {
		if id != m.cfg.Self.VM && v.State == VMServing && mix(n, id) > own {
			rank++
		}
	}
	return rank
}
