package once

import "time"

const (
	// rankDelay is the delay, per rank, between the proposals of VMs that detect
	// the same failure.
	rankDelay = 300 * time.Millisecond
	// directorySettleDelay is how long the directory must be unchanged before the first
	// assignment, so that VMs that start together share the partitions.
	directorySettleDelay = time.Second
	// unlistedDelay is added while the platform's list has not been read, so that
	// the first VM to start does not take all partitions without witnesses.
	unlistedDelay = 10 * time.Second
	// leaveGracePeriod is how long the other members wait for a leaving VM to move
	// its partitions.
	leaveGracePeriod = 2 * time.Second
	// expirePerTick bounds the claims that one Tick examines per partition.
	expirePerTick = 512
)

// Tick drives timeouts and view changes. It must be called every 20 to 50 ms.
func (m *Machine) Tick(now time.Time) Effects {
	m.begin(now)
	for _, p := range m.parts {
		m.tickOwner(p)
		if p.table != nil && !p.sealed {
			p.table.expire(unixSeconds(now), m.retentionSeconds(), expirePerTick)
		}
		m.tickNeed(p)
		m.tickChange(p)
	}
	m.rebalance()
	m.tickLocals()
	return m.finish()
}

// tickNeed starts a view change once the reason for it has lasted for the delay
// from changeNeeded. The delays differ by rank, so that VMs which detect the same
// failure do not propose at the same time.
func (m *Machine) tickNeed(p *partition) {
	need, delay := m.changeNeeded(p)
	if need != p.need {
		p.need, p.needSince = need, m.now
	}
	if need != "" && p.change == nil && m.now.Sub(p.needSince) >= delay && !m.now.Before(p.nextChange) {
		m.startChange(p, need, "")
	}
}

// changeNeeded returns the reason for a view change, or none, and how long the
// reason must last before this VM proposes one.
func (m *Machine) changeNeeded(p *partition) (Reason, time.Duration) {
	if p.rec.Epoch == 0 {
		rank := m.nonMemberRank(p.n)
		if rank < 0 || len(m.dir.vms) == 0 || m.now.Sub(m.dir.changedAt) < directorySettleDelay {
			return "", 0
		}
		delay := time.Duration(rank) * time.Second
		if !m.dir.listed {
			delay += unlistedDelay
		}
		return ReasonFirstAssignment, delay
	}
	if p.role == RoleNone {
		for _, mb := range p.rec.Members() {
			if m.isAvailable(mb) {
				return "", 0
			}
		}
		if rank := m.nonMemberRank(p.n); rank >= 0 && len(m.dir.vms) > 0 {
			return ReasonMembersGone, time.Second + time.Duration(rank)*time.Second
		}
		return "", 0
	}
	if m.leaving {
		return ReasonLeaving, 0
	}
	delay := time.Duration(m.memberRank(p)) * rankDelay
	switch {
	case !p.active:
		return ReasonMemberWithoutClaims, delay
	case p.sealed:
		return ReasonSealed, time.Second + delay
	case p.role == RoleOwner && m.ownerChangeReason(p) != "":
		return m.ownerChangeReason(p), 0
	case p.role == RoleWitness && m.now.Sub(p.lastOwnerMessage) >= m.cfg.PeerTimeout:
		// The owner will not propose a view, so the rank excludes it.
		if m.isAvailable(p.rec.Owner) {
			delay -= rankDelay
		}
		return ReasonOwnerUnreachable, delay
	}
	leaving := false
	for _, mb := range p.rec.Members() {
		if m.isReplaced(mb) {
			return ReasonMemberReplaced, delay
		}
		if v, ok := m.dir.vms[mb.VM]; ok && v.State == VMLeaving && mb != m.cfg.Self {
			leaving = true
		}
	}
	if leaving {
		return ReasonLeaving, leaveGracePeriod + delay
	}
	if p.ownerImpaired {
		return ReasonOwnerImpaired, m.cfg.PeerTimeout + delay
	}
	return "", 0
}

// memberRank returns the number of available members listed before this VM.
func (m *Machine) memberRank(p *partition) int {
	rank := 0
	for _, mb := range p.rec.Members() {
		if mb == m.cfg.Self {
			break
		}
		if m.isAvailable(mb) {
			rank++
		}
	}
	return rank
}

// ownerChangeReason returns the reason for which the owner cannot grant, or none.
func (m *Machine) ownerChangeReason(p *partition) Reason {
	for i := range p.witnesses {
		w := &p.witnesses[i]
		if m.now.Sub(w.lastAck) >= m.cfg.PeerTimeout || (!w.failingSince.IsZero() && m.now.Sub(w.failingSince) >= m.cfg.PeerTimeout) {
			return ReasonWitnessUnreachable
		}
	}
	return ""
}

// rebalance moves one partition if this VM owns at least two more than another,
// or if the members of one can be spread better. Owners do so in separate time
// slots, so that they do not all move partitions to the same new VM.
func (m *Machine) rebalance() {
	if m.cfg.RebalanceInterval < 0 || m.leaving || m.now.Sub(m.dir.changedAt) < m.cfg.RebalanceInterval ||
		m.now.Before(m.nextRebalance) {
		return
	}
	m.nextRebalance = m.now.Add(time.Second)
	var movable []*partition
	owned := make(map[string]int)
	for _, p := range m.parts {
		if p.rec.Epoch == 0 || p.change != nil {
			return
		}
		owned[p.rec.Owner.VM]++
		if p.isOwner() && p.need == "" && !m.now.Before(p.nextChange) {
			movable = append(movable, p)
		}
	}
	if len(movable) == 0 || !m.isScheduledToRebalance(owned) {
		return
	}
	for _, p := range movable {
		r, ok := m.newPlacement(p.n, p.rec).choose(m.cfg.Self.VM)
		if ok && m.spreadScore(&r) > m.spreadScore(&p.rec) {
			m.startChange(p, ReasonBetterPlacement, m.cfg.Self.VM)
			return
		}
	}
	leastLoaded := ""
	for _, id := range m.dir.order {
		if v := m.vmInfo(id); m.isEligible(v) && (leastLoaded == "" || owned[id] < owned[leastLoaded]) {
			leastLoaded = id
		}
	}
	if leastLoaded != "" && owned[m.cfg.Self.VM]-owned[leastLoaded] >= 2 {
		m.startChange(movable[0], ReasonUnevenOwnership, leastLoaded)
	}
}

// isScheduledToRebalance reports whether the current time slot is that of this VM.
// Slots go round the VMs that own partitions.
func (m *Machine) isScheduledToRebalance(owned map[string]int) bool {
	owners, rank := 0, -1
	for _, id := range m.dir.order {
		if owned[id] > 0 {
			if id == m.cfg.Self.VM {
				rank = owners
			}
			owners++
		}
	}
	slot := m.now.UnixNano() / int64(m.cfg.RebalanceInterval)
	return owners > 0 && slot%int64(owners) == int64(rank)
}

// Leave starts to move this VM's partitions to other VMs. The VM continues to
// serve its local requests. Leave cannot be undone.
func (m *Machine) Leave(now time.Time) Effects {
	m.begin(now)
	m.leaving = true
	for _, p := range m.parts {
		m.tickNeed(p)
	}
	return m.finish()
}

// HasLeft reports whether this VM is not a member of any partition, by the records
// that it knows.
func (m *Machine) HasLeft() bool {
	for _, p := range m.parts {
		if p.role != RoleNone {
			return false
		}
	}
	return true
}
