package once

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// peer is what the owner knows about a witness.
type peer struct {
	acked time.Time
	// trouble is since when the witness answers that it cannot acknowledge.
	trouble time.Time
}

// pending is a claim or state change that witnesses have yet to acknowledge.
type pending struct {
	num   uint64
	claim Claim
	acked []bool
	sent  time.Time
	from  string
	req   Message // header of the request to answer
}

// queued keeps pending entries in order, so that runs are reproducible.
type queued struct {
	key Key
	num uint64
}

func (p *partition) isOwner() bool { return p.role == RoleOwner && p.active && !p.sealed }

// ownerClaim handles a request for a grant.
func (m *Machine) ownerClaim(p *partition, from string, msg *Message) {
	c := msg.Claim
	c.Holder, c.Incarnation = from, msg.FromInc
	res := Message{Claim: c}
	if !p.isOwner() {
		res.Result, res.Record = ResultNotOwner, p.newer(msg.Epoch)
		m.reply(from, msg, res)
		return
	}
	if p.paused || m.now.Sub(p.contact) >= m.cfg.IsolationLimit {
		m.readRecord(p)
		res.Result = ResultNotOwner
		m.reply(from, msg, res)
		return
	}
	if pd := p.pending[c.Key]; pd != nil && pd.req.Kind == KindClaim && pd.claim.sameRequest(&c) {
		pd.req = header(msg) // answer the latest repetition
		return
	}
	now, retention := seconds(m.now), m.retention()
	held, known := p.table.Get(c.Key)
	if known && p.pending[c.Key] == nil && expired(held.Changed, now, retention) {
		p.table.remove(c.Key)
		known = false
	}
	c.State, c.Attempt, c.Status, c.Changed = StateGranted, 1, 0, now
	if !known {
		res.Result = m.admitUnknown(p, now, retention)
		if res.Result != ResultNone {
			m.reply(from, msg, res)
			return
		}
		m.replicate(p, &c, from, msg)
		return
	}
	c.Attempt = held.Attempt + 1
	mine := held.Holder == from && held.Incarnation == msg.FromInc
	switch {
	case mine && (c.Seq < held.Seq || (c.Seq == held.Seq && held.State == StateReleased)):
		return // a late repetition of a request that its VM has given up
	case held.Fingerprint != c.Fingerprint:
		res.Result = ResultReused
	case held.State == StateDone:
		res.Result = ResultDone
		res.Claim.Holder, res.Claim.Incarnation, res.Claim.Status = held.Holder, held.Incarnation, held.Status
	case held.State == StateGranted && mine && held.Seq == c.Seq:
		res.Result, res.Claim.Attempt = ResultGranted, held.Attempt
	case held.State == StateGranted && (!mine || msg.Unused == 0 || held.Seq < msg.Unused):
		res.Result = ResultInProgress
	case held.Attempt == math.MaxUint16:
		res.Result = ResultInProgress
	default:
		m.replicate(p, &c, from, msg)
		return
	}
	m.reply(from, msg, res)
}

// admitUnknown tells why a key that the table does not hold is refused, or
// ResultNone.
func (m *Machine) admitUnknown(p *partition, now, retention uint32) Result {
	if m.now.Before(p.rec.LostUntil) {
		return ResultHistoryLost
	}
	if p.table.Len() >= m.cfg.MaxClaims && p.table.expire(now, retention, 64) == 0 {
		return ResultFull
	}
	return ResultNone
}

// header returns the message without its bulk, to answer it later.
func header(msg *Message) Message {
	return Message{
		Kind: msg.Kind, ID: msg.ID, FromInc: msg.FromInc, Partition: msg.Partition,
		Epoch: msg.Epoch, View: msg.View, Claim: msg.Claim,
	}
}

// ownerFinish handles a release or completion.
func (m *Machine) ownerFinish(p *partition, from string, msg *Message) {
	res := Message{Claim: msg.Claim}
	if !p.isOwner() {
		res.Result, res.Record = ResultNotOwner, p.newer(msg.Epoch)
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
	case known && held.sameRequest(&c) && held.State == StateGranted:
		held.State, held.Changed, held.Status = state, seconds(m.now), msg.Claim.Status
		m.replicate(p, &held, from, msg)
	case pd != nil && pd.req.Kind == msg.Kind && pd.claim.sameRequest(&c):
		pd.req = header(msg)
	default:
		// Another request holds the key or the change is known already.
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
	pd := &pending{
		num: p.nextNum, claim: *c, acked: make([]bool, len(p.rec.Witnesses)),
		from: from, req: header(msg),
	}
	p.pending[c.Key] = pd
	p.queue = append(p.queue, queued{c.Key, pd.num})
	m.sendRecord(p, pd)
	if len(pd.acked) == 0 || m.cfg.grantEarly {
		m.replicated(p, pd)
	}
}

// supersede answers a pending change that another change of the key replaces.
func (m *Machine) supersede(p *partition, pd *pending) {
	delete(p.pending, pd.claim.Key)
	res := Message{Claim: pd.req.Claim, Result: ResultNotOwner}
	if pd.req.Kind != KindClaim {
		res.Result = ResultAcked
	}
	m.reply(pd.from, &pd.req, res)
}

func (m *Machine) sendRecord(p *partition, pd *pending) {
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

// recordReply handles a witness's answer.
func (m *Machine) recordReply(p *partition, from string, msg *Message) {
	if !p.isOwner() || msg.View != p.rec.View {
		return
	}
	i := p.rec.witness(Member{VM: from, Incarnation: msg.FromInc})
	if i < 0 {
		return
	}
	pd := p.pending[msg.Claim.Key]
	current := pd != nil && pd.claim.Attempt == msg.Claim.Attempt && pd.claim.State == msg.Claim.State &&
		pd.claim.sameRequest(&msg.Claim)
	switch msg.Result {
	case ResultAcked:
		p.peers[i].acked = m.now
		if !current {
			return
		}
		pd.acked[i] = true
		for _, ok := range pd.acked {
			if !ok {
				return
			}
		}
		m.replicated(p, pd)
	case ResultFull:
		if current && pd.claim.State == StateGranted {
			m.cancel(p, pd)
		}
	default:
		p.peers[i].note(m.now)
	}
}

func (q *peer) note(now time.Time) {
	if q.trouble.IsZero() {
		q.trouble = now
	}
}

// replicated answers a request whose change every witness holds.
func (m *Machine) replicated(p *partition, pd *pending) {
	delete(p.pending, pd.claim.Key)
	res := Message{Claim: pd.req.Claim, Result: ResultAcked}
	if pd.req.Kind == KindClaim {
		m.checkGrant(p, pd)
		res.Result, res.Claim.Attempt = ResultGranted, pd.claim.Attempt
	}
	m.reply(pd.from, &pd.req, res)
}

// checkGrant asserts the rule that a grant depends on.
func (m *Machine) checkGrant(p *partition, pd *pending) {
	for i, ok := range pd.acked {
		if !ok {
			invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d grants %s without witness %s",
				p.n, p.rec.Epoch, pd.claim.Key, p.rec.Witnesses[i].VM)
		}
	}
	c, ok := p.table.Get(pd.claim.Key)
	if !p.isOwner() || !ok || c.State != StateGranted || !c.sameRequest(&pd.claim) || c.Attempt != pd.claim.Attempt {
		invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d grants %s in state %s, sealed %t",
			p.n, p.rec.Epoch, pd.claim.Key, c.State, p.sealed)
	}
}

// cancel turns a claim that was never granted into a released one, because a
// witness has no room for it.
func (m *Machine) cancel(p *partition, pd *pending) {
	delete(p.pending, pd.claim.Key)
	pd.claim.State = StateReleased
	p.table.put(&pd.claim)
	m.reply(pd.from, &pd.req, Message{Claim: pd.req.Claim, Result: ResultFull})
}

// seal stops all grants of the view here. Claims that were not granted yet are
// released first, so that the copy does not show them as granted.
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

// dropPending asks the VMs behind pending changes to repeat them.
func (m *Machine) dropPending(p *partition) {
	for _, q := range p.queue {
		if pd := p.pending[q.key]; pd != nil && pd.num == q.num {
			m.reply(pd.from, &pd.req, Message{Claim: pd.req.Claim, Result: ResultNotOwner, Record: p.newer(pd.req.Epoch)})
		}
	}
	clear(p.pending)
	p.queue = nil
}

// ping tells the witnesses that the owner is alive, and which view it holds.
func (m *Machine) ping(p *partition) {
	p.lastPing = m.now
	for i, w := range p.rec.Witnesses {
		r := p.rec
		msg := Message{Kind: KindPing, Partition: p.n, Epoch: r.Epoch, View: r.View, ToInc: w.Incarnation}
		if m.now.Sub(p.peers[i].acked) >= m.cfg.Silence {
			// A witness that acknowledged lately has the record already.
			msg.Record = &r
		}
		if p.need != "" && m.now.Sub(p.needSince) >= m.cfg.Silence {
			msg.Result = ResultImpaired
		}
		m.send(w.VM, msg)
	}
}

// pingReply handles a witness's answer to a ping.
func (m *Machine) pingReply(p *partition, from string, msg *Message) {
	i := p.rec.witness(Member{VM: from, Incarnation: msg.FromInc})
	if p.role != RoleOwner || msg.View != p.rec.View || i < 0 {
		return
	}
	if msg.Result == ResultAcked {
		p.peers[i] = peer{acked: m.now}
		return
	}
	p.peers[i].note(m.now)
}

// tickOwner repeats what witnesses have not acknowledged.
func (m *Machine) tickOwner(p *partition) {
	if p.role != RoleOwner || !p.active {
		return
	}
	if m.now.Sub(p.lastPing) >= m.cfg.PingInterval {
		m.ping(p)
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

func (m *Machine) retention() uint32 { return uint32(m.cfg.Retention / time.Second) }
