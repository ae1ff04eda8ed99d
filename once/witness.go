package once

import "github.com/currantferry/currantferry/invariant"

// handleRecord records a claim as a witness, on behalf of the owner of the view. A
// sealed member acknowledges nothing.
func (m *Machine) handleRecord(p *partition, from string, msg *Message) {
	res := Message{Claim: msg.Claim, Record: p.newerRecord(msg.Epoch)}
	owner := Member{VM: from, Incarnation: msg.FromInc}
	switch {
	case !p.active || p.rec.View != msg.View || p.rec.Owner != owner || msg.ToInc != m.cfg.Self.Incarnation:
		res.Result = ResultNotActive
	case p.sealed:
		res.Result = ResultSealed
	default:
		p.lastOwnerMessage = m.now
		res.Result = m.recordClaim(p, &msg.Claim)
	}
	if res.Result != ResultNone {
		m.reply(from, msg, res)
	}
}

// recordClaim merges a claim into the witness's table. The owner's changes to a key
// are ordered by attempt and, within an attempt, by state. ResultNone means
// that the claim is older than the one in the table, or was rejected by an
// invariant check.
func (m *Machine) recordClaim(p *partition, c *Claim) Result {
	retention := m.retentionSeconds()
	held, known := p.table.Get(c.Key)
	switch {
	case !known:
		if p.table.Len() >= m.cfg.MaxClaims && p.table.expire(unixSeconds(m.now), retention, 64) == 0 {
			return ResultFull
		}
	case isExpired(held.Changed, c.Changed, retention):
		// The owner has removed the key and counts its attempts from 1 again.
	case isExpired(c.Changed, held.Changed, retention), c.Attempt < held.Attempt:
		return ResultNone
	case c.Attempt > held.Attempt:
		if held.State == StateDone {
			invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d grants %s again after it was done",
				p.n, p.rec.Epoch, c.Key)
			return ResultNone
		}
	case !held.isSameRequest(c):
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

// handlePing answers the owner's ping. handle has already observed its record.
func (m *Machine) handlePing(p *partition, from string, msg *Message) {
	res := Message{Record: p.newerRecord(msg.Epoch)}
	switch {
	case !p.active || p.rec.View != msg.View || msg.ToInc != m.cfg.Self.Incarnation:
		res.Result = ResultNotActive
	case p.sealed:
		res.Result = ResultSealed
	default:
		res.Result = ResultAcked
	}
	if p.rec.View == msg.View && p.rec.Owner.VM == from && p.rec.Owner.Incarnation == msg.FromInc {
		p.lastOwnerMessage = m.now
		p.ownerImpaired = msg.Result == ResultImpaired
	}
	m.reply(from, msg, res)
}

// handleSeal seals the view on this member and replies with a piece of its claims.
// The request carries the record that its sender read from the store.
func (m *Machine) handleSeal(p *partition, from string, msg *Message) {
	switch {
	case msg.ToInc > m.cfg.Self.Incarnation:
		return // for a later incarnation of this VM
	case msg.ToInc == m.cfg.Self.Incarnation && p.rec.View == msg.View && p.active:
		m.seal(p)
		res := Message{Result: ResultSealed, Piece: msg.Piece, Pieces: p.table.numPieces(m.cfg.PieceClaims)}
		res.Claims = p.table.piece(msg.Piece, m.cfg.PieceClaims)
		m.reply(from, msg, res)
	case p.rec.Epoch > msg.Epoch:
		m.reply(from, msg, Message{Result: ResultNotActive, Record: p.newerRecord(msg.Epoch)})
	case p.rec.Epoch == msg.Epoch && p.rec.View == msg.View:
		// This incarnation never held the view, so it acknowledged no grant of it.
		m.reply(from, msg, Message{Result: ResultLost})
	}
}

// handleInstall receives a piece of the claims for a proposed view.
func (m *Machine) handleInstall(p *partition, from string, msg *Message) {
	if msg.ToInc != m.cfg.Self.Incarnation || msg.Epoch <= p.rec.Epoch || m.leaving {
		m.reply(from, msg, Message{Result: ResultNotActive, Record: p.newerRecord(msg.Epoch - 1), Piece: msg.Piece})
		return
	}
	s := m.stage(p, msg.Epoch, msg.View)
	if s.received.add(msg.Piece, msg.Pieces) {
		for i := range msg.Claims {
			s.table.put(&msg.Claims[i])
		}
	}
	if s.received.has(msg.Piece, msg.Pieces) {
		m.reply(from, msg, Message{Result: ResultAcked, Piece: msg.Piece})
	}
}

// stage returns the copy for a proposed view, creating it if needed.
func (m *Machine) stage(p *partition, epoch uint64, view string) *stagedCopy {
	for _, s := range p.staged {
		if s.view == view {
			return s
		}
	}
	if len(p.staged) >= maxStaged {
		p.staged = append(p.staged[:0], p.staged[1:]...)
	}
	s := &stagedCopy{epoch: epoch, view: view, table: newTable(m.names)}
	p.staged = append(p.staged, s)
	return s
}
