package once

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// witnessState is the owner's state of a witness.
type witnessState struct {
	lastAck time.Time
	// failingSince is the time since which the witness has been answering that
	// it cannot acknowledge, or zero.
	failingSince time.Time
}

// pendingChange is a claim or state change that witnesses have yet to acknowledge.
type pendingChange struct {
	num   uint64
	claim Claim
	acked []bool
	sent  time.Time
	from  string
	req   Message // the request to answer, without its bulk
}

// pendingRef refers to a pending change. The queue of refs keeps the changes in
// order, so that runs are reproducible.
type pendingRef struct {
	key Key
	num uint64
}

func (p *partition) isOwner() bool { return p.role == RoleOwner && p.active && !p.sealed }

// handleClaim handles a request for a grant as the owner.
func (m *Machine) handleClaim(p *partition, from string, msg *Message) {
	c := msg.Claim
	c.Holder, c.Incarnation = from, msg.FromInc
	res := Message{Claim: c}
	if !p.isOwner() {
		res.Result, res.Record = ResultNotOwner, p.newerRecord(msg.Epoch)
		m.reply(from, msg, res)
		return
	}
	if p.mustReadRecord || m.now.Sub(p.lastOutsideContact) >= m.cfg.IsolationLimit {
		m.readRecord(p)
		res.Result = ResultNotOwner
		m.reply(from, msg, res)
		return
	}
	if pd := p.pending[c.Key]; pd != nil && pd.req.Kind == KindClaim && pd.claim.isSameRequest(&c) {
		pd.req = requestHeader(msg) // the reply goes to the latest repetition
		return
	}
	now, retention := unixSeconds(m.now), m.retentionSeconds()
	held, known := p.table.Get(c.Key)
	if known && p.pending[c.Key] == nil && isExpired(held.Changed, now, retention) {
		p.table.remove(c.Key)
		known = false
	}
	c.State, c.Attempt, c.Status, c.Changed = StateGranted, 1, 0, now
	if !known {
		res.Result = m.unknownKeyRefusal(p, now, retention)
		if res.Result != ResultNone {
			m.reply(from, msg, res)
			return
		}
		m.replicate(p, &c, from, msg)
		return
	}
	c.Attempt = held.Attempt + 1
	heldBySender := held.Holder == from && held.Incarnation == msg.FromInc
	switch {
	case heldBySender && (c.Seq < held.Seq || (c.Seq == held.Seq && held.State == StateReleased)):
		return // a late repetition of a request that its VM has abandoned
	case held.Fingerprint != c.Fingerprint:
		res.Result = ResultReused
	case held.State == StateDone:
		res.Result = ResultDone
		res.Claim.Holder, res.Claim.Incarnation, res.Claim.Status = held.Holder, held.Incarnation, held.Status
	case held.State == StateGranted && heldBySender && held.Seq == c.Seq:
		res.Result, res.Claim.Attempt = ResultGranted, held.Attempt
	case held.State == StateGranted && (!heldBySender || msg.FirstUnusedSeq == 0 || held.Seq < msg.FirstUnusedSeq):
		res.Result = ResultInProgress
	case held.Attempt == math.MaxUint16:
		res.Result = ResultInProgress
	default:
		m.replicate(p, &c, from, msg)
		return
	}
	m.reply(from, msg, res)
}

// unknownKeyRefusal returns the result with which a claim of a key that the table
// does not hold is refused, or ResultNone if it may be granted.
func (m *Machine) unknownKeyRefusal(p *partition, now, retention uint32) Result {
	if m.now.Before(p.rec.LostUntil) {
		return ResultHistoryLost
	}
	if p.table.Len() >= m.cfg.MaxClaims && p.table.expire(now, retention, 64) == 0 {
		return ResultFull
	}
	return ResultNone
}

// requestHeader returns the fields of a request that its later reply needs.
func requestHeader(msg *Message) Message {
	return Message{
		Kind: msg.Kind, ID: msg.ID, FromInc: msg.FromInc, Partition: msg.Partition,
		Epoch: msg.Epoch, View: msg.View, Claim: msg.Claim,
	}
}

// handleOutcome handles a release or completion as the owner.
func (m *Machine) handleOutcome(p *partition, from string, msg *Message) {
	res := Message{Claim: msg.Claim}
	if !p.isOwner() {
		res.Result, res.Record = ResultNotOwner, p.newerRecord(msg.Epoch)
		m.reply(from, msg, res)
		return
	}
	c := msg.Claim
	c.Holder, c.Incarnation = from, msg.FromInc
	held, known := p.table.Get(c.Key)
	state := StateReleased
	if msg.Kind == KindDone {
		state = StateDone
	}
	pd := p.pending[c.Key]
	switch {
	case known && held.isSameRequest(&c) && held.State == StateGranted:
		held.State, held.Changed, held.Status = state, unixSeconds(m.now), msg.Claim.Status
		m.replicate(p, &held, from, msg)
	case pd != nil && pd.req.Kind == msg.Kind && pd.claim.isSameRequest(&c):
		pd.req = requestHeader(msg)
	default:
		// Another request holds the key, or the outcome is already recorded.
		res.Result = ResultAcked
		m.reply(from, msg, res)
	}
}

// replicate puts a claim into the table and asks every witness to record it.
// The request is answered once all have acknowledged.
func (m *Machine) replicate(p *partition, c *Claim, from string, msg *Message) {
	if pd := p.pending[c.Key]; pd != nil {
		m.supersede(p, pd)
	}
	p.table.put(c)
	p.nextNum++
	pd := &pendingChange{
		num: p.nextNum, claim: *c, acked: make([]bool, len(p.rec.Witnesses)),
		from: from, req: requestHeader(msg),
	}
	p.pending[c.Key] = pd
	p.queue = append(p.queue, pendingRef{c.Key, pd.num})
	m.sendRecord(p, pd)
	if len(pd.acked) == 0 || m.cfg.grantEarly {
		m.completeReplication(p, pd)
	}
}

// supersede ends a pending change that another change of the key replaces, and
// answers its request.
func (m *Machine) supersede(p *partition, pd *pendingChange) {
	delete(p.pending, pd.claim.Key)
	res := Message{Claim: pd.req.Claim, Result: ResultNotOwner}
	if pd.req.Kind != KindClaim {
		res.Result = ResultAcked
	}
	m.reply(pd.from, &pd.req, res)
}

func (m *Machine) sendRecord(p *partition, pd *pendingChange) {
	pd.sent = m.now
	for i, w := range p.rec.Witnesses {
		if !pd.acked[i] {
			m.send(w.VM, Message{
				Kind: KindRecord, Partition: p.n, Epoch: p.rec.Epoch, View: p.rec.View,
				ToInc: w.Incarnation, Claim: pd.claim,
			})
		}
	}
}

// handleRecordReply handles a witness's reply to a record message.
func (m *Machine) handleRecordReply(p *partition, from string, msg *Message) {
	if !p.isOwner() || msg.View != p.rec.View {
		return
	}
	i := p.rec.witnessIndex(Member{VM: from, Incarnation: msg.FromInc})
	if i < 0 {
		return
	}
	pd := p.pending[msg.Claim.Key]
	current := pd != nil && pd.claim.Attempt == msg.Claim.Attempt && pd.claim.State == msg.Claim.State &&
		pd.claim.isSameRequest(&msg.Claim)
	switch msg.Result {
	case ResultAcked:
		p.witnesses[i].lastAck = m.now
		if !current {
			return
		}
		pd.acked[i] = true
		for _, ok := range pd.acked {
			if !ok {
				return
			}
		}
		m.completeReplication(p, pd)
	case ResultFull:
		if current && pd.claim.State == StateGranted {
			m.cancel(p, pd)
		}
	default:
		p.witnesses[i].markFailing(m.now)
	}
}

func (w *witnessState) markFailing(now time.Time) {
	if w.failingSince.IsZero() {
		w.failingSince = now
	}
}

// completeReplication answers a request whose change every witness has recorded.
func (m *Machine) completeReplication(p *partition, pd *pendingChange) {
	delete(p.pending, pd.claim.Key)
	res := Message{Claim: pd.req.Claim, Result: ResultAcked}
	if pd.req.Kind == KindClaim {
		m.checkGrant(p, pd)
		res.Result, res.Claim.Attempt = ResultGranted, pd.claim.Attempt
	}
	m.reply(pd.from, &pd.req, res)
}

// checkGrant checks the invariant for a grant: every witness has acknowledged the
// claim, and the unsealed owner still holds it in its table.
func (m *Machine) checkGrant(p *partition, pd *pendingChange) {
	for i, ok := range pd.acked {
		if !ok {
			invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d grants %s without witness %s",
				p.n, p.rec.Epoch, pd.claim.Key, p.rec.Witnesses[i].VM)
		}
	}
	c, ok := p.table.Get(pd.claim.Key)
	if !p.isOwner() || !ok || c.State != StateGranted || !c.isSameRequest(&pd.claim) || c.Attempt != pd.claim.Attempt {
		invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d grants %s in state %s, sealed %t",
			p.n, p.rec.Epoch, pd.claim.Key, c.State, p.sealed)
	}
}

// cancel turns a claim that was never granted into a released one, because a
// witness's table is full.
func (m *Machine) cancel(p *partition, pd *pendingChange) {
	delete(p.pending, pd.claim.Key)
	pd.claim.State = StateReleased
	p.table.put(&pd.claim)
	m.reply(pd.from, &pd.req, Message{Claim: pd.req.Claim, Result: ResultFull})
}

// seal stops all grants of the view on this member. It first releases claims that
// were not granted yet, so that copies do not contain them as granted.
func (m *Machine) seal(p *partition) {
	if p.sealed {
		return
	}
	for _, q := range p.queue {
		if pd := p.pending[q.key]; pd != nil && pd.num == q.num && pd.claim.State == StateGranted {
			// Seq 0 lets the VM repeat the same request to the next owner.
			pd.claim.State, pd.claim.Seq = StateReleased, 0
			p.table.put(&pd.claim)
		}
	}
	m.dropPending(p)
	p.sealed = true
}

// dropPending drops all pending changes and replies ResultNotOwner to their
// requests, so that the VMs send these again.
func (m *Machine) dropPending(p *partition) {
	for _, q := range p.queue {
		if pd := p.pending[q.key]; pd != nil && pd.num == q.num {
			m.reply(pd.from, &pd.req, Message{Claim: pd.req.Claim, Result: ResultNotOwner, Record: p.newerRecord(pd.req.Epoch)})
		}
	}
	clear(p.pending)
	p.queue = nil
}

// pingWitnesses sends a heartbeat with the owner's view to every witness.
func (m *Machine) pingWitnesses(p *partition) {
	p.lastPing = m.now
	for i, w := range p.rec.Witnesses {
		r := p.rec
		msg := Message{Kind: KindPing, Partition: p.n, Epoch: r.Epoch, View: r.View, ToInc: w.Incarnation}
		if m.now.Sub(p.witnesses[i].lastAck) >= m.cfg.PeerTimeout {
			// A witness that acknowledged recently already has the record.
			msg.Record = &r
		}
		if p.need != "" && m.now.Sub(p.needSince) >= m.cfg.PeerTimeout {
			msg.Result = ResultImpaired
		}
		m.send(w.VM, msg)
	}
}

// handlePingReply records whether a witness acknowledged a ping or is failing.
func (m *Machine) handlePingReply(p *partition, from string, msg *Message) {
	i := p.rec.witnessIndex(Member{VM: from, Incarnation: msg.FromInc})
	if p.role != RoleOwner || msg.View != p.rec.View || i < 0 {
		return
	}
	if msg.Result == ResultAcked {
		p.witnesses[i] = witnessState{lastAck: m.now}
		return
	}
	p.witnesses[i].markFailing(m.now)
}

// tickOwner sends pings that are due, and unacknowledged record messages again.
func (m *Machine) tickOwner(p *partition) {
	if p.role != RoleOwner || !p.active {
		return
	}
	if m.now.Sub(p.lastPing) >= m.cfg.PingInterval {
		m.pingWitnesses(p)
	}
	keep := p.queue[:0]
	for _, q := range p.queue {
		pd := p.pending[q.key]
		if pd == nil || pd.num != q.num {
			continue
		}
		keep = append(keep, q)
		if m.now.Sub(pd.sent) >= m.cfg.ResendInterval {
			m.sendRecord(p, pd)
		}
	}
	p.queue = keep
}

func (m *Machine) retentionSeconds() uint32 { return uint32(m.cfg.Retention / time.Second) }
