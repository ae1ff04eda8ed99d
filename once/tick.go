package once

import "time"

const (
	// rankDelay separates the proposals of VMs that notice the same failure.
	rankDelay = 300 * time.Millisecond
	// settleDelay is how long the directory must be unchanged before the first
	// assignment, so that VMs that start together share the partitions.
	settleDelay = time.Second
	// unlistedDelay is added until the platform's list was read, so that the
	// first VM to start does not take all partitions without witnesses.
	unlistedDelay = 10 * time.Second
	// leaveGrace is how long others wait for a leaving VM to move its partitions.
	leaveGrace = 2 * time.Second
	// expirePerTick bounds the claims that one Tick examines per partition.
	expirePerTick = 512
)

// Tick drives timeouts and view changes. It is called every 20 to 50 ms.
func (m *Machine) Tick(now time.Time) Effects {
	m.begin(now)
	for _, p := range m.parts {
		m.tickOwner(p)
		if p.table != nil && !p.sealed {
			p.table.expire(seconds(now), m.retention(), expirePerTick)
		}
		m.tickNeed(p)
		m.tickChange(p)
	}
	m.rebalance()
	m.tickLocals()
	return m.finish()
}

// tickNeed starts a view change once it has been needed for long enough. Ranks
// keep VMs that notice the same failure from proposing at once.
func (m *Machine) tickNeed(p *partition) {
	need, delay := m.needed(p)
	if need != p.need {
		p.need, p.needSince = need, m.now
	}
	if need != "" && p.change == nil && m.now.Sub(p.needSince) >= delay && !m.now.Before(p.nextChange) {
		m.startChange(p, need, "")
	}
}

// needed returns the reason for a view change and how long to wait with it.
func (m *Machine) needed(p *partition) (Reason, time.Duration) {
	if p.rec.Epoch == 0 {
		rank := m.rankFor(p.n)
		if rank < 0 || len(m.dir.vms) == 0 || m.now.Sub(m.dir.since) < settleDelay {
			return "", 0
		}
		delay := time.Duration(rank) * time.Second
		if !m.dir.listed {
			delay += unlistedDelay
		}
		return ReasonFirst, delay
	}
	if p.role == RoleNone {
		for _, mb := range p.rec.Members() {
			if m.available(mb) {
				return "", 0
			}
		}
		if rank := m.rankFor(p.n); rank >= 0 && len(m.dir.vms) > 0 {
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
		return ReasonInactive, delay
	case p.sealed:
		return ReasonSealed, time.Second + delay
	case p.role == RoleOwner && m.ownerTrouble(p) != "":
		return m.ownerTrouble(p), 0
	case p.role == RoleWitness && m.now.Sub(p.heard) >= m.cfg.Silence:
		// The owner will not act, so it does not count in the rank.
		if m.available(p.rec.Owner) {
			delay -= rankDelay
		}
		return ReasonOwnerSilent, delay
	}
	leaving := false
	for _, mb := range p.rec.Members() {
		if m.replaced(mb) {
			return ReasonMemberReplaced, delay
		}
		if v, ok := m.dir.vms[mb.VM]; ok && v.State == VMLeaving && mb != m.cfg.Self {
			leaving = true
		}
	}
	if leaving {
		return ReasonLeaving, leaveGrace + delay
	}
	if p.impaired {
		return ReasonOwnerImpaired, m.cfg.Silence + delay
	}
	return "", 0
}

// memberRank counts the available members before this VM.
func (m *Machine) memberRank(p *partition) int {
	rank := 0
	for _, mb := range p.rec.Members() {
		if mb == m.cfg.Self {
			break
		}
		if m.available(mb) {
			rank++
		}
	}
	return rank
}

// ownerTrouble tells why the owner cannot grant.
func (m *Machine) ownerTrouble(p *partition) Reason {
	for i := range p.peers {
		q := &p.peers[i]
		if m.now.Sub(q.acked) >= m.cfg.Silence || (!q.trouble.IsZero() && m.now.Sub(q.trouble) >= m.cfg.Silence) {
			return ReasonWitnessSilent
		}
	}
	return ""
}

// rebalance moves one partition when this VM owns at least two more than
// another, or when members can be spread better. VMs take turns, so that they do
// not all move partitions to the same new VM.
func (m *Machine) rebalance() {
	if m.cfg.RebalanceInterval < 0 || m.leaving || m.now.Sub(m.dir.since) < m.cfg.RebalanceInterval ||
		m.now.Before(m.nextRebalance) {
		return
	}
	m.nextRebalance = m.now.Add(time.Second)
	var own []*partition
	owned := make(map[string]int)
	for _, p := range m.parts {
		if p.rec.Epoch == 0 || p.change != nil {
			return
		}
		owned[p.rec.Owner.VM]++
		if p.isOwner() && p.need == "" && !m.now.Before(p.nextChange) {
			own = append(own, p)
		}
	}
	if len(own) == 0 || !m.myTurn(owned) {
		return
	}
	for _, p := range own {
		r, ok := m.newPlacement(p.n, p.rec).choose(m.cfg.Self.VM)
		if ok && m.spread(&r) > m.spread(&p.rec) {
			m.startChange(p, ReasonPlacement, m.cfg.Self.VM)
			return
		}
	}
	least := ""
	for _, id := range m.dir.order {
		if v := m.vm(id); m.eligible(v) && (least == "" || owned[id] < owned[least]) {
			least = id
		}
	}
	if least != "" && owned[m.cfg.Self.VM]-owned[least] >= 2 {
		m.startChange(own[0], ReasonSpread, least)
	}
}

// myTurn divides time into slots, one for each VM that owns partitions.
func (m *Machine) myTurn(owned map[string]int) bool {
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

// Leave starts to move this VM's partitions to others. The VM goes on serving
// its local requests. It cannot be undone.
func (m *Machine) Leave(now time.Time) Effects {
	m.begin(now)
	m.leaving = true
	for _, p := range m.parts {
		m.tickNeed(p)
	}
	return m.finish()
}

// Left tells whether this VM is a member of no partition that it knows of.
func (m *Machine) Left() bool {
	for _, p := range m.parts {
		if p.role != RoleNone {
			return false
		}
	}
	return true
}
