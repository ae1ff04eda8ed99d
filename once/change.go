package once

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// changeStep is the step of a view change.
type changeStep uint8

const (
	// stepReading reads the record. It precedes sealing, so that during a store
	// outage nothing is sealed and a view whose members are up keeps granting.
	stepReading changeStep = iota + 1
	// stepConfirming asks the other VMs whether they know a newer record than the store,
	// which may have been restored from an older copy: before sealing, so that no obsolete
	// claims are copied, and before swapping, as the store may lose a view meanwhile.
	stepConfirming
	stepSealing
	stepInstalling
	stepSwapping
	// stepReadingBack reads the record after an unknown outcome or a conflict.
	stepReadingBack
)

// viewChange is a view change that this VM proposes.
type viewChange struct {
	step   changeStep
	reason Reason
	owner  string // preferred owner, or empty
	base   Record
	index  uint64
	// unconfirmed holds the VMs that have not answered while confirming, of numAsked.
	// isInstalled says that the new members hold the copy.
	unconfirmed map[string]bool
	numAsked    int
	isInstalled bool
	// Used while sealing.
	source       int // index of the member that is asked for its claims, -1 before the first
	numTried     int
	lost         []bool
	received     pieceSet
	pieces       int
	numRequested int // number of pieces requested
	table        *Table
	historyLost  bool // all members were lost
	// Used while installing.
	next    Record
	targets []*target
	// progress is the time of the last progress with the source or the store;
	// sent is the time of the last request to the source.
	progress, sent time.Time
}

// target is a member of the proposed view to which the claims are copied.
type target struct {
	member   Member
	acked    pieceSet
	numSent  int
	progress time.Time
	sent     time.Time
}

const (
	// maxPiecesInFlight bounds the pieces of a copy in flight to or from one VM.
	maxPiecesInFlight = 8
	// minChangeBackoff is the pause after a failed proposal. It doubles up to
	// maxChangeBackoff, to limit the load on a store that is down or has just
	// recovered.
	minChangeBackoff = 500 * time.Millisecond
	maxChangeBackoff = 4 * time.Second
)

func (m *Machine) startChange(p *partition, reason Reason, owner string) {
	p.change = &viewChange{step: stepReading, reason: reason, owner: owner, source: -1, progress: m.now}
	m.notify(EventChangeStarted, p, p.rec.Epoch, reason, "")
	m.avoidUnreachable(p, reason)
	if !p.reading {
		p.reading = true
		m.eff.Reads = append(m.eff.Reads, p.n)
	}
}

// avoidUnreachable keeps the unreachable members that caused the change out of the
// next view. The directory reports them only seconds later.
func (m *Machine) avoidUnreachable(p *partition, reason Reason) {
	until := m.now.Add(avoidTTL)
	switch reason {
	case ReasonOwnerUnreachable:
		m.dir.avoidUntil[p.rec.Owner.VM] = until
	case ReasonWitnessUnreachable:
		for i := range p.witnesses {
			if m.now.Sub(p.witnesses[i].lastAck) >= m.cfg.PeerTimeout {
				m.dir.avoidUntil[p.rec.Witnesses[i].VM] = until
			}
		}
	}
}

func (m *Machine) failChange(p *partition, text string) {
	m.notify(EventChangeFailed, p, p.rec.Epoch, p.change.reason, text)
	p.change = nil
	p.backoff = min(max(2*p.backoff, minChangeBackoff), maxChangeBackoff)
	p.nextChange = m.now.Add(p.backoff)
}

// endDecidedChange ends this VM's proposal after a newer record took effect. If
// that record is the proposed one, it is announced to the members of both views.
func (m *Machine) endDecidedChange(p *partition, previous *Record) {
	ch := p.change
	if ch == nil || ch.step == stepReading {
		return
	}
	p.change = nil
	if ch.next.View != p.rec.View || ch.step < stepSwapping {
		m.notify(EventChangeFailed, p, p.rec.Epoch, ch.reason, "another view was installed")
		return
	}
	m.notify(EventChangeInstalled, p, p.rec.Epoch, ch.reason, "")
	if ch.historyLost {
		m.notify(EventHistoryLost, p, p.rec.Epoch, ch.reason, "")
	}
	notified := map[string]bool{m.cfg.Self.VM: true}
	for _, mb := range append(p.rec.Members(), previous.Members()...) {
		if !notified[mb.VM] {
			notified[mb.VM] = true
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
			p.lastOutsideContact, p.mustReadRecord = now, false
		}
	}
	p.staleRead = false
	ch := p.change
	isBehind := ok && r.Epoch < p.rec.Epoch
	if isBehind {
		m.writeAgain(p, index)
	}
	switch {
	case ch == nil:
	case ch.step == stepReading && isBehind:
		m.failChange(p, "the store has an earlier record")
	case ch.step == stepReading && !ok:
		m.failChange(p, "the store did not answer")
	case ch.step == stepReading:
		if need, _ := m.changeNeeded(p); need == "" && ch.owner == "" {
			m.failChange(p, "no longer needed")
			break
		}
		if found {
			ch.base = r
		}
		ch.index = index
		m.beginConfirm(p, ch)
	case ch.step == stepReadingBack && ok && !isBehind && index == ch.index && r.View == ch.base.View:
		// The write has not taken effect so far. It may still do so, so the same
		// record is written again.
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

// beginSeal seals this VM if it holds the view, or asks another member to.
func (m *Machine) beginSeal(p *partition, ch *viewChange) {
	ch.lost = make([]bool, len(ch.base.Members()))
	if ch.base.Epoch == 0 {
		ch.table = newTable(m.names)
		m.beginInstall(p, ch)
		return
	}
	if _, ok := m.place(p.n, ch.base, ch.owner); !ok {
		// A seal cannot be undone, so the view is sealed only once another can
		// follow.
		m.failChange(p, "too few eligible VMs")
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

// nextSource asks the next member that is not lost for its claims. If all members
// are lost, the view change continues without claims.
func (m *Machine) nextSource(p *partition, ch *viewChange) {
	members := ch.base.Members()
	allLost := true
	for i, mb := range members {
		ch.lost[i] = ch.lost[i] || m.isLost(mb)
		allLost = allLost && ch.lost[i]
	}
	if allLost {
		ch.table, ch.historyLost = newTable(m.names), true
		m.beginInstall(p, ch)
		return
	}
	for {
		if ch.numTried >= len(members) {
			m.failChange(p, "no member answered")
			return
		}
		ch.numTried++
		ch.source++
		if !ch.lost[ch.source] {
			break
		}
	}
	ch.received, ch.pieces, ch.numRequested = pieceSet{}, 0, 1
	ch.table, ch.progress = newTable(m.names), m.now
	m.requestPiece(p, ch, 0)
}

func (m *Machine) requestPiece(p *partition, ch *viewChange, piece int) {
	ch.sent = m.now
	mb, r := ch.base.Members()[ch.source], ch.base
	m.send(mb.VM, Message{
		Kind: KindSeal, Partition: p.n, Epoch: r.Epoch, View: r.View, ToInc: mb.Incarnation, Record: &r, Piece: piece,
	})
}

// handleSealReply takes a piece of a sealed member's claims.
func (m *Machine) handleSealReply(p *partition, from string, msg *Message) {
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
		if !ch.received.add(msg.Piece, msg.Pieces) {
			return
		}
		ch.progress = m.now
		for i := range msg.Claims {
			ch.table.put(&msg.Claims[i])
		}
		if ch.received.isComplete() {
			m.beginInstall(p, ch)
			return
		}
		for ; ch.numRequested < msg.Pieces && ch.numRequested < ch.received.count+maxPiecesInFlight; ch.numRequested++ {
			m.requestPiece(p, ch, ch.numRequested)
		}
	}
}

// beginInstall chooses the members of the next view and starts to copy the claims
// to them.
func (m *Machine) beginInstall(p *partition, ch *viewChange) {
	next, ok := m.place(p.n, ch.base, ch.owner)
	if !ok {
		m.failChange(p, "too few eligible VMs")
		return
	}
	next.Epoch, next.View, next.LostUntil = ch.base.Epoch+1, m.newViewName(), ch.base.LostUntil
	if ch.historyLost {
		next.LostUntil = m.now.Add(m.cfg.Retention + m.cfg.IsolationLimit)
	}
	if !m.now.Before(next.LostUntil) {
		next.LostUntil = time.Time{}
	}
	ch.step, ch.next, ch.targets = stepInstalling, next, nil
	for _, mb := range next.Members() {
		if mb == m.cfg.Self {
			s := m.stage(p, next.Epoch, next.View)
			s.table = ch.table // shared: it does not change before the view is activated
			s.received.add(0, 1)
			continue
		}
		t := &target{member: mb, progress: m.now, sent: m.now}
		ch.targets = append(ch.targets, t)
		m.sendPieces(p, ch, t)
	}
	m.checkInstalled(ch)
}

// sendPieces sends pieces to a target until maxPiecesInFlight are unacknowledged.
func (m *Machine) sendPieces(p *partition, ch *viewChange, t *target) {
	total := ch.table.numPieces(m.cfg.PieceClaims)
	for ; t.numSent < total && t.numSent < t.acked.count+maxPiecesInFlight; t.numSent++ {
		m.sendPiece(p, ch, t, t.numSent, total)
	}
}

func (m *Machine) sendPiece(p *partition, ch *viewChange, t *target, i, total int) {
	m.send(t.member.VM, Message{
		Kind: KindInstall, Partition: p.n, Epoch: ch.next.Epoch, View: ch.next.View, ToInc: t.member.Incarnation,
		Piece: i, Pieces: total, Claims: ch.table.piece(i, m.cfg.PieceClaims),
	})
}

// handleInstallReply handles a new member's acknowledgement of a piece.
func (m *Machine) handleInstallReply(p *partition, from string, msg *Message) {
	ch := p.change
	if ch == nil || ch.step != stepInstalling || msg.View != ch.next.View {
		return
	}
	for _, t := range ch.targets {
		if t.member.VM != from || t.member.Incarnation != msg.FromInc {
			continue
		}
		if msg.Result != ResultAcked {
			m.dir.avoidUntil[from] = m.now.Add(avoidTTL)
			m.beginInstall(p, ch)
			return
		}
		if t.acked.add(msg.Piece, ch.table.numPieces(m.cfg.PieceClaims)) {
			t.progress = m.now
			m.sendPieces(p, ch, t)
			m.checkInstalled(ch)
		}
		return
	}
	if msg.Result != ResultAcked {
		// The reply is from another incarnation of a target's VM.
		m.dir.avoidUntil[from] = m.now.Add(avoidTTL)
	}
}

// checkInstalled starts the write of the record once every new member holds the
// copy.
func (m *Machine) checkInstalled(ch *viewChange) {
	for _, t := range ch.targets {
		if !t.acked.isComplete() {
			return
		}
	}
	ch.isInstalled = true
	m.beginConfirm(m.parts[ch.next.Partition], ch)
}

func (m *Machine) beginSwap(ch *viewChange) {
	p := m.parts[ch.next.Partition]
	if p.role != RoleNone && p.active && !p.sealed && p.rec.View == ch.base.View {
		invariant.Check(invariant.AtMostOnce, false, "partition %d installs epoch %d while this member of epoch %d is not sealed",
			p.n, ch.next.Epoch, ch.base.Epoch)
	}
	ch.step, ch.progress = stepSwapping, m.now
	m.eff.Swaps = append(m.eff.Swaps, Swap{Record: ch.next, Index: ch.index})
}

// tickChange sends unanswered messages of a view change again and times them out.
func (m *Machine) tickChange(p *partition) {
	ch := p.change
	if ch == nil {
		return
	}
	resendAfter, giveUpAfter := m.cfg.ResendInterval, 2*m.cfg.ResendInterval
	switch ch.step {
	case stepConfirming:
		if m.now.Sub(ch.progress) >= giveUpAfter {
			m.endConfirm(p, ch)
		} else if m.now.Sub(ch.sent) >= resendAfter {
			ch.sent = m.now
			m.sendConfirm(p, ch)
		}
	case stepSealing:
		if m.now.Sub(ch.progress) >= giveUpAfter {
			m.nextSource(p, ch)
		} else if m.now.Sub(ch.sent) >= resendAfter {
			m.requestMissingPieces(p, ch)
		}
	case stepInstalling:
		for _, t := range ch.targets {
			if t.acked.isComplete() {
				continue
			}
			if m.now.Sub(t.progress) >= giveUpAfter {
				m.dir.avoidUntil[t.member.VM] = m.now.Add(avoidTTL)
				m.beginInstall(p, ch)
				return
			}
			if m.now.Sub(t.sent) >= resendAfter && m.now.Sub(t.progress) >= resendAfter {
				t.sent = m.now
				m.resendPieces(p, ch, t)
			}
		}
	case stepReadingBack:
		if m.now.Sub(ch.progress) >= max(p.backoff, minChangeBackoff) {
			p.backoff = min(max(2*p.backoff, minChangeBackoff), maxChangeBackoff)
			ch.progress = m.now
			m.readBack(p)
		}
	}
}

func (m *Machine) requestMissingPieces(p *partition, ch *viewChange) {
	for i := 0; i < ch.numRequested; i++ {
		if ch.received.have == nil || !ch.received.have[i] {
			m.requestPiece(p, ch, i)
		}
	}
}

func (m *Machine) resendPieces(p *partition, ch *viewChange, t *target) {
	total := ch.table.numPieces(m.cfg.PieceClaims)
	for i := 0; i < t.numSent; i++ {
		if t.acked.have == nil || !t.acked.have[i] {
			m.sendPiece(p, ch, t, i, total)
		}
	}
}
