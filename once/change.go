package once

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// step is the step of a view change.
type step uint8

const (
	// stepReading reads the record first. A store that does not answer thus
	// prevents sealing, so that a view whose members live keeps granting.
	stepReading step = iota + 1
	stepSealing
	stepInstalling
	stepSwapping
	// stepReadingBack reads the record after an unknown outcome or a conflict.
	stepReadingBack
)

// change is a view change that this VM proposes.
type change struct {
	step   step
	reason Reason
	owner  string // preferred owner, or empty
	base   Record
	index  uint64
	// Sealing.
	source     int // index of the member that is asked, -1 before the first
	tried      int
	lost       []bool
	got        pieceSet
	pieces     int
	asked      int // pieces asked for
	table      *Table
	historyOff bool // all members were lost
	// Installing.
	next    Record
	targets []*target
	// progress is the time of the last progress with the asked member or the
	// store; sent is that of the last repetition.
	progress, sent time.Time
}

// target is a member of the proposed view that gets a copy.
type target struct {
	member   Member
	acked    pieceSet
	sentUpTo int
	progress time.Time
	sent     time.Time
}

const (
	// window bounds the pieces of a copy in flight to or from one VM.
	window = 8
	// changeBackoff is the pause after a failed proposal. It doubles up to
	// maxBackoff, to spare a store that is down or has just come back.
	changeBackoff = 500 * time.Millisecond
	maxBackoff    = 4 * time.Second
)

func (m *Machine) startChange(p *partition, reason Reason, owner string) {
	p.change = &change{step: stepReading, reason: reason, owner: owner, source: -1, progress: m.now}
	m.note(NoteChangeStarted, p, p.rec.Epoch, reason, "")
	m.avoidSilent(p, reason)
	if !p.reading {
		p.reading = true
		m.eff.Reads = append(m.eff.Reads, p.n)
	}
}

// avoidSilent keeps the members that caused the change out of the next view.
// The directory reports them only seconds later.
func (m *Machine) avoidSilent(p *partition, reason Reason) {
	until := m.now.Add(avoidFor)
	switch reason {
	case ReasonOwnerSilent:
		m.dir.avoid[p.rec.Owner.VM] = until
	case ReasonWitnessSilent:
		for i := range p.peers {
			if m.now.Sub(p.peers[i].acked) >= m.cfg.Silence {
				m.dir.avoid[p.rec.Witnesses[i].VM] = until
			}
		}
	}
}

func (m *Machine) failChange(p *partition, text string) {
	m.note(NoteChangeFailed, p, p.rec.Epoch, p.change.reason, text)
	p.change = nil
	p.backoff = min(max(2*p.backoff, changeBackoff), maxBackoff)
	p.nextChange = m.now.Add(p.backoff)
}

// endChangeOn ends the proposal that a newer record decided.
func (m *Machine) endChangeOn(p *partition, old *Record) {
	ch := p.change
	if ch == nil || ch.step == stepReading {
		return
	}
	p.change = nil
	if ch.next.View != p.rec.View || ch.step < stepSwapping {
		m.note(NoteChangeFailed, p, p.rec.Epoch, ch.reason, "another view was installed")
		return
	}
	m.note(NoteChangeInstalled, p, p.rec.Epoch, ch.reason, "")
	if ch.historyOff {
		m.note(NoteHistoryLost, p, p.rec.Epoch, ch.reason, "")
	}
	told := map[string]bool{m.cfg.Self.VM: true}
	for _, mb := range append(p.rec.Members(), old.Members()...) {
		if !told[mb.VM] {
			told[mb.VM] = true
			r := p.rec
			m.send(mb.VM, Message{Kind: KindView, Partition: p.n, Epoch: r.Epoch, View: r.View, Record: &r})
		}
	}
}

// StoreRead reports the outcome of a read. ok is false if the store did not
// answer; found is false if it has no record.
func (m *Machine) StoreRead(now time.Time, n int, r Record, index uint64, found, ok bool) Effects {
	m.begin(now)
	p := m.parts[n]
	p.reading = false
	if ok && found && r.Partition == n {
		m.observe(&r)
		if r.View == p.rec.View && !p.staleRead {
			p.contact, p.paused = now, false
		}
	}
	p.staleRead = false
	ch := p.change
	stale := !ok || (found && r.Epoch < p.rec.Epoch) || (!found && p.rec.Epoch > 0)
	switch {
	case ch == nil:
	case ch.step == stepReading && stale:
		m.failChange(p, "the store did not answer")
	case ch.step == stepReading:
		if need, _ := m.needed(p); need == "" && ch.owner == "" {
			m.failChange(p, "no longer needed")
			break
		}
		if found {
			ch.base = r
		}
		ch.index = index
		m.beginSeal(p, ch)
	case ch.step == stepReadingBack && !stale && index == ch.index:
		// The write did not take effect so far. It may still do so, hence the
		// same record again.
		m.beginSwap(ch)
	}
	return m.finish()
}

// StoreSwapped reports the outcome of a swap.
func (m *Machine) StoreSwapped(now time.Time, r Record, res SwapResult) Effects {
	m.begin(now)
	p := m.parts[r.Partition]
	if res == SwapDone {
		m.observe(&r)
	}
	if ch := p.change; ch != nil && ch.step == stepSwapping && ch.next.View == r.View {
		ch.step, ch.progress = stepReadingBack, m.now
		m.readBack(p)
	}
	return m.finish()
}

func (m *Machine) readBack(p *partition) {
	if !p.reading {
		p.reading = true
		m.eff.Reads = append(m.eff.Reads, p.n)
	}
}

// beginSeal seals this VM if it is a member, or asks another one.
func (m *Machine) beginSeal(p *partition, ch *change) {
	ch.lost = make([]bool, len(ch.base.Members()))
	if ch.base.Epoch == 0 {
		ch.table = newTable(m.names)
		m.beginInstall(p, ch)
		return
	}
	if _, ok := m.place(p.n, ch.base, ch.owner); !ok {
		// A seal cannot be undone, so it waits until a view can follow.
		m.failChange(p, "too few VMs")
		return
	}
	if p.role != RoleNone {
		if p.active {
			m.seal(p)
			ch.table = p.table
			m.beginInstall(p, ch)
			return
		}
		for i, mb := range ch.base.Members() {
			if mb == m.cfg.Self {
				ch.lost[i] = true
			}
		}
	}
	ch.step = stepSealing
	m.nextSource(p, ch)
}

// nextSource asks the next member that is not lost. Without one, history is lost.
func (m *Machine) nextSource(p *partition, ch *change) {
	members := ch.base.Members()
	allLost := true
	for i, mb := range members {
		ch.lost[i] = ch.lost[i] || m.lost(mb)
		allLost = allLost && ch.lost[i]
	}
	if allLost {
		ch.table, ch.historyOff = newTable(m.names), true
		m.beginInstall(p, ch)
		return
	}
	for {
		if ch.tried >= len(members) {
			m.failChange(p, "no member answered")
			return
		}
		ch.tried++
		ch.source++
		if !ch.lost[ch.source] {
			break
		}
	}
	ch.got, ch.pieces, ch.asked = pieceSet{}, 0, 1
	ch.table, ch.progress = newTable(m.names), m.now
	m.askPiece(p, ch, 0)
}

func (m *Machine) askPiece(p *partition, ch *change, piece int) {
	ch.sent = m.now
	mb, r := ch.base.Members()[ch.source], ch.base
	m.send(mb.VM, Message{
		Kind: KindSeal, Partition: p.n, Epoch: r.Epoch, View: r.View, ToInc: mb.Incarnation, Record: &r, Piece: piece,
	})
}

// sealReply takes a piece of a sealed member's claims.
func (m *Machine) sealReply(p *partition, from string, msg *Message) {
	ch := p.change
	if ch == nil || ch.step != stepSealing || msg.View != ch.base.View || ch.source < 0 {
		return
	}
	mb := ch.base.Members()[ch.source]
	if mb.VM != from {
		return
	}
	switch {
	case msg.Result == ResultLost && msg.FromInc >= mb.Incarnation:
		ch.lost[ch.source] = true
		m.nextSource(p, ch)
	case msg.Result == ResultSealed && msg.FromInc == mb.Incarnation:
		if !ch.got.add(msg.Piece, msg.Pieces) {
			return
		}
		ch.progress = m.now
		for i := range msg.Claims {
			ch.table.put(&msg.Claims[i])
		}
		if ch.got.complete() {
			m.beginInstall(p, ch)
			return
		}
		for ; ch.asked < msg.Pieces && ch.asked < ch.got.count+window; ch.asked++ {
			m.askPiece(p, ch, ch.asked)
		}
	}
}

// beginInstall chooses the members of the next view and copies the claims.
func (m *Machine) beginInstall(p *partition, ch *change) {
	next, ok := m.place(p.n, ch.base, ch.owner)
	if !ok {
		m.failChange(p, "too few VMs")
		return
	}
	next.Epoch, next.View, next.LostUntil = ch.base.Epoch+1, m.viewName(), ch.base.LostUntil
	if ch.historyOff {
		next.LostUntil = m.now.Add(m.cfg.Retention + m.cfg.IsolationLimit)
	}
	if !m.now.Before(next.LostUntil) {
		next.LostUntil = time.Time{}
	}
	ch.step, ch.next, ch.targets = stepInstalling, next, nil
	for _, mb := range next.Members() {
		if mb == m.cfg.Self {
			s := m.stage(p, next.Epoch, next.View)
			s.table = ch.table // no change to it before the view is activated
			s.got.add(0, 1)
			continue
		}
		t := &target{member: mb, progress: m.now, sent: m.now}
		ch.targets = append(ch.targets, t)
		m.sendPieces(p, ch, t)
	}
	m.checkInstalled(ch)
}

// sendPieces keeps window pieces in flight.
func (m *Machine) sendPieces(p *partition, ch *change, t *target) {
	total := ch.table.pieces(m.cfg.PieceClaims)
	for ; t.sentUpTo < total && t.sentUpTo < t.acked.count+window; t.sentUpTo++ {
		m.sendPiece(p, ch, t, t.sentUpTo, total)
	}
}

func (m *Machine) sendPiece(p *partition, ch *change, t *target, i, total int) {
	m.send(t.member.VM, Message{
		Kind: KindInstall, Partition: p.n, Epoch: ch.next.Epoch, View: ch.next.View, ToInc: t.member.Incarnation,
		Piece: i, Pieces: total, Claims: ch.table.piece(i, m.cfg.PieceClaims),
	})
}

// installReply handles a new member's acknowledgement of a piece.
func (m *Machine) installReply(p *partition, from string, msg *Message) {
	ch := p.change
	if ch == nil || ch.step != stepInstalling || msg.View != ch.next.View {
		return
	}
	for _, t := range ch.targets {
		if t.member.VM != from || t.member.Incarnation != msg.FromInc {
			continue
		}
		if msg.Result != ResultAcked {
			m.dir.avoid[from] = m.now.Add(avoidFor)
			m.beginInstall(p, ch)
			return
		}
		if t.acked.add(msg.Piece, ch.table.pieces(m.cfg.PieceClaims)) {
			t.progress = m.now
			m.sendPieces(p, ch, t)
			m.checkInstalled(ch)
		}
		return
	}
	if msg.Result != ResultAcked {
		// Another incarnation answered.
		m.dir.avoid[from] = m.now.Add(avoidFor)
	}
}

// checkInstalled writes the record once every new member holds the copy.
func (m *Machine) checkInstalled(ch *change) {
	for _, t := range ch.targets {
		if !t.acked.complete() {
			return
		}
	}
	m.beginSwap(ch)
}

func (m *Machine) beginSwap(ch *change) {
	p := m.parts[ch.next.Partition]
	if p.role != RoleNone && p.active && !p.sealed && p.rec.View == ch.base.View {
		invariant.Check(invariant.AtMostOnce, false, "partition %d installs epoch %d while this member of epoch %d is not sealed",
			p.n, ch.next.Epoch, ch.base.Epoch)
	}
	ch.step, ch.progress = stepSwapping, m.now
	m.eff.Swaps = append(m.eff.Swaps, Swap{Record: ch.next, Index: ch.index})
}

// tickChange repeats and times out the messages of a view change.
func (m *Machine) tickChange(p *partition) {
	ch := p.change
	if ch == nil {
		return
	}
	resend, give := m.cfg.ResendInterval, 2*m.cfg.ResendInterval
	switch ch.step {
	case stepSealing:
		if m.now.Sub(ch.progress) >= give {
			m.nextSource(p, ch)
		} else if m.now.Sub(ch.sent) >= resend {
			m.askMissing(p, ch)
		}
	case stepInstalling:
		for _, t := range ch.targets {
			if t.acked.complete() {
				continue
			}
			if m.now.Sub(t.progress) >= give {
				m.dir.avoid[t.member.VM] = m.now.Add(avoidFor)
				m.beginInstall(p, ch)
				return
			}
			if m.now.Sub(t.sent) >= resend && m.now.Sub(t.progress) >= resend {
				t.sent = m.now
				m.resendPieces(p, ch, t)
			}
		}
	case stepReadingBack:
		if m.now.Sub(ch.progress) >= max(p.backoff, changeBackoff) {
			p.backoff = min(max(2*p.backoff, changeBackoff), maxBackoff)
			ch.progress = m.now
			m.readBack(p)
		}
	}
}

func (m *Machine) askMissing(p *partition, ch *change) {
	for i := 0; i < ch.asked; i++ {
		if ch.got.have == nil || !ch.got.have[i] {
			m.askPiece(p, ch, i)
		}
	}
}

func (m *Machine) resendPieces(p *partition, ch *change, t *target) {
	total := ch.table.pieces(m.cfg.PieceClaims)
	for i := 0; i < t.sentUpTo; i++ {
		if t.acked.have == nil || !t.acked.have[i] {
			m.sendPiece(p, ch, t, i, total)
		}
	}
}
