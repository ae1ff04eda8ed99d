// Package roster decides among which VMs everything is divided that all VMs share: the rates of cold
// instances, the limits that instances name, the slack of retries, the caps of teams, and the duties
// of a coordinator. It also decides whether this VM may use its part.
//
// A VM proves that it is alive by a leased record in the store. That record says too little in
// both directions: a VM whose lease has ended may go on serving, and a VM that has a record may
// not be known to others yet. So three times are bound to each other:
//
//   - A VM acts for the lifetime of its lease after the last renewal that the store acknowledged, and
//     only with a list of VMs that the store has confirmed within listTTL.
//   - The others count a VM for longer than that after its record has vanished from their lists.
//   - A new VM acts only when all lists that are in use contain it, and when no VM acts any more whose
//     record had vanished before its own first list. Both are certain after some seconds, or when all
//     VMs of the region say that they count the same VMs, and one of them acts.
//
// The parts of all VMs that act then never sum up to more than the whole, whichever messages between
// VMs are lost or late. If the store serves nobody, a VM goes on acting with its last list for as
// long as more than half of the VMs of its region say that they lack the store too.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for concurrent use.
// All times are uptimes, which advance while the machine is suspended.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantferry/currantferry/rendezvous"
)

const (
	// listTTL is how long a VM acts with a list that the store has confirmed. It covers several late
	// answers.
	listTTL = 5 * time.Second
	// joinMargin is how much longer than the lifetime of a lease a new VM does not act. Within it, a list
	// may follow another one without the changes between them.
	joinMargin = 2 * time.Second
	// retentionMargin is how much longer than the lifetime of a lease a VM is counted after its record
	// has vanished.
	retentionMargin = time.Second
	// longRetention is the time for which VMs are counted after their records have vanished if fewer
	// than half of their region have one left: the others may act together without the store.
	longRetention = 30 * time.Second
	// returnTime is how long VMs that acted without the store go on after its return, while they
	// write their records again.
	returnTime = 3 * time.Second
	// lackAfter is the time without an acknowledged renewal or a confirmed list after which a VM says
	// that it lacks the store. It exceeds the usual age of lists.
	lackAfter = 1750 * time.Millisecond
	// heardTTL is how long the last message of a VM shows its state, and maxMessageDelay how late a
	// message may arrive. Later ones are lost.
	heardTTL        = time.Second
	maxMessageDelay = time.Second
	// idleTTL is how long messages are sent to a VM that has no part any more and isn't heard.
	idleTTL = 30 * time.Second
	// maxHeard bounds the VMs whose messages are remembered, and maxUnlisted those that are counted
	// because of their messages alone.
	maxHeard    = 4096
	maxUnlisted = 32
)

// VM is an entry VM.
type VM struct {
	ID, Region string
	// Boot distinguishes processes with the same ID.
	Boot uint64
	// Relay is the VM's address for messages of other VMs, empty if it is unknown.
	Relay string
	// Weight is proportional to the VM's expected share of the requests.
	Weight float64
}

// Member is a VM among which shared quantities are divided.
type Member struct {
	VM
	// LapsedAt is when the VM's record vanished, or when it was last heard since then. Zero means
	// that it has a record.
	LapsedAt time.Duration
	// isUnlisted says that no list contained the VM so far.
	isUnlisted bool
}

// HasRecord reports whether the VM has a record in the list that this VM follows.
func (m *Member) HasRecord() bool { return m.LapsedAt == 0 }

// Standing says whether this VM may use its part of what is shared.
type Standing uint8

const (
	// Lapsed means that other VMs may no longer count this one. It has no part.
	Lapsed Standing = iota
	// Joining means that other VMs may not know this one yet. It has no part so far.
	Joining
	// Acting means that all VMs that act count this one.
	Acting
)

func (s Standing) String() string { return [...]string{"lapsed", "joining", "acting"}[s] }

// Signal is what a VM says of itself in its messages.
type Signal struct {
	// LacksStore says that neither the sender nor a VM that it follows is in contact with the store.
	LacksStore bool
	// IsIdle says that the sender has no part, and won't have one before it has a new record.
	IsIdle bool
	// IsJoining says that the sender waits for messages of the VMs that count it.
	IsJoining bool
	// Members is the number of VMs of its region that the sender counts, at most MaxMembers, and Digest
	// a hash below MaxDigest of their IDs, their processes and whether these have a record.
	Members int
	Digest  uint32
}

// Bounds of the fields of a Signal.
const (
	MaxMembers = 1<<8 - 1
	MaxDigest  = 1 << 17
)

type heard struct {
	Signal
	at time.Duration
}

// Roster holds what a VM knows about itself and the other VMs.
type Roster struct {
	self VM
	// records holds the VMs with a record, lapsed those whose record has vanished.
	records map[string]VM
	lapsed  map[string]Member
	// idle holds the VMs that were dropped since they have no part. They may go on serving.
	idle  map[string]Member
	heard map[string]heard
	// leaseTTL is the lifetime of this VM's lease.
	leaseTTL time.Duration
	// isListed says that this VM has written its record, and isWithdrawn that it has removed it. It
	// was last renewed by a call sent at renewedAt.
	isListed, isWithdrawn bool
	renewedAt             time.Duration
	// hasJoined says that all lists in use contain this VM, and its own list all VMs that act. This
	// is the case at joinsAt at the latest if nothing else is known. The VM's record was acknowledged
	// at recordedAt for the first time since it was last counted.
	hasJoined           bool
	joinsAt, recordedAt time.Duration
	// isFirstStart says that no VM acted before this process started, until it has joined.
	isFirstStart bool
	// listAt is the time as of which the store confirmed the list, and servedAt the last time at which
	// it is known to have served somebody. Zero means never.
	listAt, servedAt time.Duration
	// extendedUntil is until when this VM acts without the store.
	extendedUntil time.Duration
	// snapshot is the result of the last Update. isDirty says that the members have changed since.
	snapshot Snapshot
	isDirty  bool
}

// New returns the roster of a VM that has no record yet and knows no other VM. isFirstStart says that
// the whole system starts for the first time, so that no other VM acts yet.
func New(self VM, leaseTTL time.Duration, isFirstStart bool) *Roster {
	r := &Roster{self: self, leaseTTL: leaseTTL, isFirstStart: isFirstStart, records: make(map[string]VM), lapsed: make(map[string]Member), idle: make(map[string]Member), heard: make(map[string]heard), isDirty: true}
	r.Update(0)
	return r
}

// SetLeaseTTL changes the lifetime of leases, which is the same for all VMs.
func (r *Roster) SetLeaseTTL(ttl time.Duration) { r.leaseTTL = ttl }

// retention is how long a VM is counted after its record has vanished. The store may end a lease right
// after a renewal.
func (r *Roster) retention() time.Duration { return r.leaseTTL + retentionMargin }

// joinGuard is how long a VM does not act after its first record, and after its first list.
func (r *Roster) joinGuard() time.Duration { return r.leaseTTL + joinMargin }

// SetRecords replaces the VMs that have a record in the list that this VM follows. VMs that have
// not started to serve are left out. gone are those whose records have vanished since the list
// before, also if they were not in it.
func (r *Roster) SetRecords(now time.Duration, vms, gone []VM) {
	for _, vm := range gone {
		if vm.ID != r.self.ID {
			r.lapsed[vm.ID] = Member{VM: vm, LapsedAt: max(1, now)}
		}
	}
	records := make(map[string]VM, len(vms))
	isKnown := len(vms) == 0
	for _, vm := range vms {
		records[vm.ID] = vm
		isKnown = isKnown || vm.Boot == r.records[vm.ID].Boot || vm.Boot == r.lapsed[vm.ID].Boot
		delete(r.lapsed, vm.ID)
		delete(r.idle, vm.ID)
	}
	for id, vm := range r.records {
		if _, remains := records[id]; !remains && id != r.self.ID {
			r.lapsed[id] = Member{VM: vm, LapsedAt: max(1, now)}
		}
	}
	r.records, r.isDirty = records, true
	if !isKnown {
		// The store has served only VMs that may not know this one.
		r.extendedUntil = 0
	}
}

// RecordRenewal records that the store has acknowledged this VM's record or the renewal of its lease,
// by a call sent at a time.
func (r *Roster) RecordRenewal(now, sentAt time.Duration) {
	if r.isWithdrawn {
		return
	}
	if !r.isCounted(now) {
		r.recordedAt = now
		r.rejoin(now)
	}
	r.isListed, r.renewedAt = true, max(r.renewedAt, sentAt)
	r.servedAt = max(r.servedAt, sentAt)
}

// Withdraw records that this VM is about to remove its record because it stops.
func (r *Roster) Withdraw() { r.isWithdrawn = true }

// rejoin lets this VM act only when the others are known to count it, and after joinGuard at the latest.
func (r *Roster) rejoin(now time.Duration) { r.hasJoined, r.joinsAt = false, now+r.joinGuard() }

// RecordContact records that the store, directly or through another VM, has confirmed the list as of
// an age ago. isWhole says that the list was read anew, so that VMs may have come and gone since the
// list before. While nobody was served, none has.
func (r *Roster) RecordContact(now, age time.Duration, isWhole bool) {
	if r.listAt == 0 || isWhole && now-age-r.listAt > joinMargin && now >= r.extendedUntil {
		r.rejoin(now)
	}
	r.listAt = max(r.listAt, now-age)
	r.servedAt = max(r.servedAt, r.listAt)
}

// LacksStore reports whether the store is not known to serve anybody.
func (r *Roster) LacksStore(now time.Duration) bool {
	return r.servedAt == 0 || now-r.servedAt >= lackAfter
}

// AddIdle records a VM that does not serve yet, but gets messages.
func (r *Roster) AddIdle(now time.Duration, vm VM) { r.setIdle(now, Member{VM: vm}) }

func (r *Roster) setIdle(now time.Duration, m Member) {
	if m.Relay == "" || m.ID == r.self.ID {
		return
	}
	if _, known := r.idle[m.ID]; !known {
		if len(r.idle) >= maxHeard {
			return
		}
		r.isDirty = true
	}
	m.LapsedAt = max(1, now)
	r.idle[m.ID] = m
}

// RecordHeard records a message of another VM of this VM's region, which came from an address.
func (r *Roster) RecordHeard(now time.Duration, id, relay string, s Signal) {
	if _, known := r.heard[id]; known || len(r.heard) < maxHeard {
		r.heard[id] = heard{s, now}
	}
	m, isLapsed := r.lapsed[id]
	_, hasRecord := r.records[id]
	switch {
	case hasRecord, id == r.self.ID:
	case !isLapsed:
		// Its record is on its way, or had vanished before the first list of this VM.
		m := Member{VM: VM{ID: id, Region: r.self.Region, Relay: relay, Weight: r.self.Weight}, LapsedAt: max(1, now), isUnlisted: true}
		if s.IsIdle {
			r.setIdle(now, m)
		} else if r.numUnlisted() < maxUnlisted {
			r.lapsed[id] = m
			delete(r.idle, id)
			r.isDirty = true
		}
	case !s.IsIdle:
		// A VM of an earlier release acts for as long as it serves.
		m.LapsedAt = max(1, now)
		r.lapsed[id] = m
	case now-m.LapsedAt >= maxMessageDelay:
		// It said so after its record had vanished.
		delete(r.lapsed, id)
		r.setIdle(now, m)
	}
}

func (r *Roster) numUnlisted() (n int) {
	for _, m := range r.lapsed {
		if m.isUnlisted {
			n++
		}
	}
	return n
}

// isCounted reports whether the VMs that know this one count it.
func (r *Roster) isCounted(now time.Duration) bool {
	return r.isListed && !r.isWithdrawn && (now-r.renewedAt < r.leaseTTL || now < r.extendedUntil)
}

// standing returns whether this VM acts.
func (r *Roster) standing(now time.Duration) Standing {
	switch {
	case !r.isListed && !r.isWithdrawn:
		return Joining
	case !r.isCounted(now):
		return Lapsed
	case !r.hasJoined, now-r.listAt >= listTTL && now >= r.extendedUntil:
		return Joining
	default:
		return Acting
	}
}

// join lets this VM act from joinsAt on. VMs that act without the store don't learn of it, but then
// more than half of the region's VMs have lost their records.
func (r *Roster) join(now time.Duration) {
	if r.hasJoined || !r.isCounted(now) || r.listAt < r.recordedAt {
		return
	}
	numRecords, numLapsed := r.count(r.self.Region)
	if r.listAt < r.joinsAt {
		r.hasJoined = numLapsed == 0 && r.isCountedByAll()
	} else {
		r.hasJoined = numRecords > numLapsed
	}
	r.isFirstStart = r.isFirstStart && !r.hasJoined
}

// isCountedByAll reports whether all VMs with a record in this VM's region have said, since its record was
// acknowledged, that they count the same processes as this VM does. One of them must act: new VMs don't
// know of one whose lease the store ended early.
func (r *Roster) isCountedByAll() bool {
	hasWitness := r.isFirstStart
	for id, vm := range r.records {
		if vm.Region != r.self.Region || id == r.self.ID {
			continue
		}
		if h, ok := r.heard[id]; !ok || h.at < r.recordedAt || h.Digest != r.snapshot.digest {
			return false
		}
		hasWitness = hasWitness || !r.heard[id].IsJoining && !r.heard[id].IsIdle
	}
	own := r.records[r.self.ID]
	return hasWitness && own.Boot == r.self.Boot && !r.isDirty
}

// numSharers returns the largest number of VMs of the region that this VM, or a VM with a part that it
// has heard lately, counts.
func (r *Roster) numSharers(now time.Duration) int {
	numRecords, numLapsed := r.count(r.self.Region)
	most := numRecords + numLapsed
	if _, listed := r.records[r.self.ID]; !listed {
		most++
	}
	for _, h := range r.heard {
		if now-h.at < heardTTL && !h.IsIdle {
			most = max(most, h.Members)
		}
	}
	return most
}

// count returns how many VMs of a region have a record, and how many have lost theirs.
func (r *Roster) count(region string) (numRecords, numLapsed int) {
	for _, vm := range r.records {
		if vm.Region == region {
			numRecords++
		}
	}
	for _, m := range r.lapsed {
		if m.Region == region {
			numLapsed++
		}
	}
	return numRecords, numLapsed
}

// extend lets this VM act without the store while more than half of the VMs of its region lack it.
func (r *Roster) extend(now time.Duration) {
	// An older list may lack VMs that have joined since.
	isLast := now < r.extendedUntil || now-r.listAt < listTTL
	if !isLast || !r.LacksStore(now) || !r.isCounted(now) || !r.hasJoined {
		return
	}
	lacking := 1
	for id, h := range r.heard {
		if !h.LacksStore || h.IsIdle || now-h.at >= heardTTL {
			continue
		}
		vm, isMember := r.records[id]
		if !isMember {
			var m Member
			m, isMember = r.lapsed[id]
			vm = m.VM
		}
		if isMember && vm.Region == r.self.Region && id != r.self.ID {
			lacking++
		}
	}
	numRecords, numLapsed := r.count(r.self.Region)
	if _, listed := r.records[r.self.ID]; !listed {
		numLapsed++
	}
	if 2*lacking > numRecords+numLapsed {
		r.extendedUntil = now + returnTime
	}
}

// expire drops the VMs without a record that certainly no longer act. The list must be as new: they may
// have a record again.
func (r *Roster) expire(now time.Duration) {
	for id, m := range r.idle {
		if now-m.LapsedAt >= idleTTL {
			delete(r.idle, id)
			r.isDirty = true
		}
	}
	for id, m := range r.lapsed {
		age := r.listAt - m.LapsedAt
		if age < r.retention() {
			continue
		}
		if numRecords, numLapsed := r.count(m.Region); numRecords < numLapsed && age < longRetention {
			continue
		}
		delete(r.lapsed, id)
		delete(r.heard, id)
		r.setIdle(now, m)
	}
}

// Update applies the passing of time, and reports whether the snapshot has changed.
func (r *Roster) Update(now time.Duration) (changed bool) {
	r.expire(now)
	r.join(now)
	r.extend(now)
	standing := r.standing(now)
	numSharers := r.numSharers(now)
	if !r.isDirty && standing == r.snapshot.Standing && numSharers == r.snapshot.numSharers {
		return false
	}
	r.isDirty = false
	s := Snapshot{Self: r.self, Standing: standing, numSharers: numSharers}
	if _, listed := r.records[r.self.ID]; !listed {
		s.Members = append(s.Members, Member{VM: r.self, LapsedAt: max(1, now)})
	}
	for _, vm := range r.records {
		s.Members = append(s.Members, Member{VM: vm})
	}
	for _, m := range r.lapsed {
		s.Members = append(s.Members, m)
	}
	for _, m := range r.idle {
		s.Idle = append(s.Idle, m)
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	s.digest = digestOf(s.members(r.self.Region))
	r.snapshot = s
	return true
}

// digestOf returns a hash of several members.
func digestOf(members []Member) uint32 {
	var sum uint64
	for _, m := range members {
		h := xxhash.Sum64String(m.ID) ^ rendezvous.Mix(m.Boot)
		if !m.HasRecord() {
			h++
		}
		sum += rendezvous.Mix(h)
	}
	return uint32(sum % MaxDigest)
}

// Snapshot returns the result of the last Update. Its members must not be changed.
func (r *Roster) Snapshot() Snapshot { return r.snapshot }

// Signal returns what this VM is to say of itself.
func (r *Roster) Signal(now time.Duration) Signal {
	standing := r.standing(now)
	return Signal{LacksStore: r.LacksStore(now), IsIdle: standing == Lapsed, IsJoining: standing == Joining, Members: min(len(r.snapshot.members(r.self.Region)), MaxMembers), Digest: r.snapshot.digest}
}

// IsMessageDue reports whether other VMs of the region wait for messages of this one.
func (r *Roster) IsMessageDue(now time.Duration) bool {
	if r.standing(now) != Acting || r.LacksStore(now) || len(r.lapsed) > 0 {
		return true
	}
	for _, h := range r.heard {
		if h.IsJoining && now-h.at < heardTTL {
			return true
		}
	}
	return false
}

// RenewedAt returns the time of the last renewal, zero if there was none.
func (r *Roster) RenewedAt() time.Duration { return r.renewedAt }
