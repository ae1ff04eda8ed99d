package once

import "github.com/currantferry/currantferry/invariant"

// witnessRecord records a claim for the owner of the view. A sealed member
// acknowledges nothing more.
func (m *Machine) witnessRecord(p *partition, from string, msg *Message) {
	res := Message{Claim: msg.Claim, Record: p.newer(msg.Epoch)}
	owner := Member{VM: from, Incarnation: msg.FromInc}
	switch {
	case !p.active || p.rec.View != msg.View || p.rec.Owner != owner || msg.ToInc != m.cfg.Self.Incarnation:
		res.Result = ResultNotActive
	case p.sealed:
		res.Result = ResultSealed
	default:
		p.heard = m.now
		res.Result = m.record(p, &msg.Claim)
	}
	if res.Result != ResultNone {
		m.reply(from, msg, res)
	}
}

// record merges a claim into the witness's table. The owner's changes to a key
// are ordered by attempt and, within an attempt, by state. ResultNone means
// that the message is older than what the table holds.
func (m *Machine) record(p *partition, c *Claim) Result {
	retention := m.retention()
	held, known := p.table.Get(c.Key)
	switch {
	case !known:
		if p.table.Len() >= m.cfg.MaxClaims && p.table.expire(seconds(m.now), retention, 64) == 0 {
			return ResultFull
		}
	case expired(held.Changed, c.Changed, retention):
		// The owner forgot the key and counts attempts from 1 again.
	case expired(c.Changed, held.Changed, retention), c.Attempt < held.Attempt:
		return ResultNone
	case c.Attempt > held.Attempt:
		if held.State == StateDone {
			invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d grants %s again after it was done",
				p.n, p.rec.Epoch, c.Key)
			return ResultNone
		}
	case !held.sameRequest(c):
		invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d attempt %d of %s has two holders, %s and %s",
			p.n, p.rec.Epoch, c.Attempt, c.Key, held.Holder, c.Holder)
		return ResultNone
	case held.State == c.State:
		return ResultAcked
	case held.State != StateGranted:
		return ResultNone
	}
	p.table.put(c)
	return ResultAcked
}

// witnessPing answers the owner's ping. The record in it was observed before.
func (m *Machine) witnessPing(p *partition, from string, msg *Message) {
	res := Message{Record: p.newer(msg.Epoch)}
	switch {
	case !p.active || p.rec.View != msg.View || msg.ToInc != m.cfg.Self.Incarnation:
		res.Result = ResultNotActive
	case p.sealed:
		res.Result = ResultSealed
	default:
		res.Result = ResultAcked
	}
	if p.rec.View == msg.View && p.rec.Owner.VM == from && p.rec.Owner.Incarnation == msg.FromInc {
		p.heard = m.now
		p.impaired = msg.Result == ResultImpaired
	}
	m.reply(from, msg, res)
}

// memberSeal seals the view here and returns a piece of its claims. The request
// carries the record that its sender read from the store.
func (m *Machine) memberSeal(p *partition, from string, msg *Message) {
	switch {
	case msg.ToInc > m.cfg.Self.Incarnation:
		return // meant for a later incarnation of this VM
	case msg.ToInc == m.cfg.Self.Incarnation && p.rec.View == msg.View && p.active:
		m.seal(p)
		res := Message{Result: ResultSealed, Piece: msg.Piece, Pieces: p.table.pieces(m.cfg.PieceClaims)}
		res.Claims = p.table.piece(msg.Piece, m.cfg.PieceClaims)
		m.reply(from, msg, res)
	case p.rec.Epoch > msg.Epoch:
		m.reply(from, msg, Message{Result: ResultNotActive, Record: p.newer(msg.Epoch)})
	case p.rec.Epoch == msg.Epoch && p.rec.View == msg.View:
		// This incarnation never held the view, so nothing was granted with its
		// acknowledgement.
		m.reply(from, msg, Message{Result: ResultLost})
	}
}

// memberInstall takes a piece of the claims for a proposed view.
func (m *Machine) memberInstall(p *partition, from string, msg *Message) {
	if msg.ToInc != m.cfg.Self.Incarnation || msg.Epoch <= p.rec.Epoch || m.leaving {
		m.reply(from, msg, Message{Result: ResultNotActive, Record: p.newer(msg.Epoch - 1), Piece: msg.Piece})
		return
	}
	s := m.stage(p, msg.Epoch, msg.View)
	if s.got.add(msg.Piece, msg.Pieces) {
		for i := range msg.Claims {
			s.table.put(&msg.Claims[i])
		}
	}
	if s.got.has(msg.Piece, msg.Pieces) {
		m.reply(from, msg, Message{Result: ResultAcked, Piece: msg.Piece})
	}
}

// stage returns the copy for a proposed view, creating it if needed.
func (m *Machine) stage(p *partition, epoch uint64, view string) *staged {
	for _, s := range p.staged {
		if s.view == view {
			return s
		}
	}
	if len(p.staged) >= maxStaged {
		p.staged = append(p.staged[:0], p.staged[1:]...)
	}
	s := &staged{epoch: epoch, view: view, table: newTable(m.names)}
	p.staged = append(p.staged, s)
	return s
}
