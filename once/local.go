package once

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// phase is the phase of a local request.
type phase uint8

const (
	phaseClaiming phase = iota + 1
	phaseHeld
	phaseReleasing
	phaseCompleting
)

// local is a request of this VM.
type local struct {
	seq         uint64
	key         Key
	fingerprint uint64
	part        int
	phase       phase
	unused      uint64
	attempt     uint16
	status      uint16
	tries       int
	deadline    time.Time
	nextSend    time.Time
}

const (
	// maxUnused bounds the keys whose claims were abandoned. Forgetting one
	// makes a resend through this VM see "in progress" until retention ends.
	maxUnused = 8192
	// finishTimeout bounds how long a release or completion is repeated.
	finishTimeout = 30 * time.Second
	// notOwnerDelay is the pause before a claim is repeated to an owner that
	// cannot answer yet, as during a view change.
	notOwnerDelay = 50 * time.Millisecond
	// readInterval is the pause between the store reads for a partition whose
	// owner does not answer. It doubles up to maxReadInterval, because every VM
	// with a waiting request reads.
	readInterval    = time.Second
	maxReadInterval = 16 * time.Second
	// readAfterTries is the number of attempts after which a request asks the
	// store. The members learn of a new record first.
	readAfterTries = 6
)

// Claim asks for a grant. The answer comes in Effects.Answers of this or a
// later call, with the returned number.
func (m *Machine) Claim(now time.Time, key Key, fingerprint uint64) (uint64, Effects) {
	m.begin(now)
	m.nextSeq++
	seq := m.nextSeq
	l := &local{
		seq: seq, key: key, fingerprint: fingerprint, part: key.Partition(m.cfg.Partitions),
		phase: phaseClaiming, deadline: now.Add(m.cfg.ClaimTimeout), unused: m.unused[key],
	}
	if prev := m.locals[m.byKey[key]]; prev != nil {
		m.answer(l, m.localConflict(prev, fingerprint))
		return seq, m.finish()
	}
	m.locals[seq] = l
	m.byKey[key] = seq
	m.order = append(m.order, seq)
	m.sendLocal(l)
	return seq, m.finish()
}

// localConflict returns the answer to a second request for a key that a request
// of this VM claims, holds or has completed.
func (m *Machine) localConflict(prev *local, fingerprint uint64) Answer {
	switch {
	case prev.fingerprint != fingerprint:
		return Answer{Err: verdict.New(verdict.NotRun, verdict.ReasonKeyReused, 0)}
	case prev.phase == phaseCompleting:
		return Answer{
			Err:    verdict.New(verdict.Ran, verdict.ReasonKeyDone, 0),
			Status: int(prev.status), Holder: m.cfg.Self.VM, Incarnation: m.cfg.Self.Incarnation,
		}
	default:
		return Answer{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonKeyInProgress, retryAfter)}
	}
}

// answer answers a local request.
func (m *Machine) answer(l *local, a Answer) {
	a.Seq = l.seq
	if a.Err != nil && a.Err.Verdict == verdict.NotRun && l.phase != phaseClaiming {
		invariant.Check(invariant.NotRunIsTrue, false, "request %d of %s is refused as not run in phase %d",
			l.seq, m.cfg.Self.VM, l.phase)
	}
	m.eff.Answers = append(m.eff.Answers, a)
}

// end forgets a local request.
func (m *Machine) end(l *local) {
	delete(m.locals, l.seq)
	if m.byKey[l.key] == l.seq {
		delete(m.byKey, l.key)
	}
}

// setUnused notes that the request was not run, so that a grant of it that is
// still on its way, or whose reply was lost, can be granted again to this VM.
func (m *Machine) setUnused(l *local) {
	if _, ok := m.unused[l.key]; ok {
		return
	}
	if len(m.unusedLog) >= maxUnused {
		delete(m.unused, m.unusedLog[0])
		m.unusedLog = m.unusedLog[1:]
	}
	m.unused[l.key] = l.seq
	m.unusedLog = append(m.unusedLog, l.key)
}

// refuse answers a claim that was not granted.
func (m *Machine) refuse(l *local, a Answer) {
	m.answer(l, a)
	m.setUnused(l)
	m.end(l)
}

// Abandon gives up a claim that has not been answered, or releases one that has
// been granted and not used.
func (m *Machine) Abandon(now time.Time, seq uint64) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseClaiming {
		m.giveUp(l)
	} else if l != nil && l.phase == phaseHeld {
		m.release(l)
	}
	return m.finish()
}

func (m *Machine) giveUp(l *local) {
	m.setUnused(l)
	m.end(l)
	m.sendRelease(l.part, l.key, l.seq)
}

func (m *Machine) sendRelease(part int, key Key, seq uint64) {
	p := m.parts[part]
	if p.rec.Epoch == 0 {
		return
	}
	m.send(p.rec.Owner.VM, Message{
		Kind: KindRelease, Partition: part, Epoch: p.rec.Epoch, View: p.rec.View, Claim: m.ownClaim(key, seq),
	})
}

func (m *Machine) ownClaim(key Key, seq uint64) Claim {
	return Claim{Key: key, Holder: m.cfg.Self.VM, Incarnation: m.cfg.Self.Incarnation, Seq: seq}
}

// Release says that a granted request is proven not to have run.
func (m *Machine) Release(now time.Time, seq uint64) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseHeld {
		m.release(l)
	}
	return m.finish()
}

func (m *Machine) release(l *local) {
	m.setUnused(l)
	l.phase = phaseReleasing
	// The key is free for the next local request, which names this one as unused.
	delete(m.byKey, l.key)
	m.startFinish(l)
}

// Done says that a granted request ran, with its HTTP status.
func (m *Machine) Done(now time.Time, seq uint64, status int) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseHeld {
		l.phase, l.status = phaseCompleting, uint16(status)
		m.startFinish(l)
	}
	return m.finish()
}

// Forget says that the outcome of a granted request is unknown. The claim stays
// granted until retention ends.
func (m *Machine) Forget(now time.Time, seq uint64) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseHeld {
		m.end(l)
	}
	return m.finish()
}

func (m *Machine) startFinish(l *local) {
	l.deadline, l.tries = m.now.Add(finishTimeout), 0
	m.sendLocal(l)
}

// sendLocal sends the message of the request's phase to the owner. Repetitions
// go to the witnesses as well, which learn of a newer record first.
func (m *Machine) sendLocal(l *local) {
	p := m.parts[l.part]
	wait := m.cfg.ResendInterval
	if l.phase != phaseClaiming {
		wait <<= min(l.tries, 4)
	}
	l.nextSend = m.now.Add(wait)
	if l.tries >= readAfterTries || p.rec.Epoch == 0 {
		m.readRecord(p)
	}
	if p.rec.Epoch == 0 {
		return
	}
	l.tries++
	msg := Message{Partition: p.n, Epoch: p.rec.Epoch, View: p.rec.View, Claim: m.ownClaim(l.key, l.seq)}
	switch l.phase {
	case phaseClaiming:
		msg.Kind, msg.Unused, msg.Claim.Fingerprint = KindClaim, l.unused, l.fingerprint
	case phaseReleasing:
		msg.Kind = KindRelease
	case phaseCompleting:
		msg.Kind, msg.Claim.Status = KindDone, l.status
	default:
		return
	}
	m.send(p.rec.Owner.VM, msg)
	if l.tries > 1 {
		for _, w := range p.rec.Witnesses {
			m.send(w.VM, msg)
		}
	}
}

// readRecord asks for the record in the store, at intervals that grow until
// there is a newer one.
func (m *Machine) readRecord(p *partition) {
	if p.reading || m.now.Before(p.nextRead) {
		return
	}
	p.readWait = min(max(2*p.readWait, readInterval), maxReadInterval)
	p.reading, p.nextRead = true, m.now.Add(p.readWait)
	m.eff.Reads = append(m.eff.Reads, p.n)
}

// claimReply handles the owner's answer to a claim.
func (m *Machine) claimReply(msg *Message) {
	l := m.locals[msg.Claim.Seq]
	if l == nil || l.phase != phaseClaiming || l.key != msg.Claim.Key {
		first, ok := m.unused[msg.Claim.Key]
		if msg.Result == ResultGranted && l == nil && ok && msg.Claim.Seq >= first {
			m.sendRelease(msg.Partition, msg.Claim.Key, msg.Claim.Seq)
		}
		return
	}
	switch msg.Result {
	case ResultGranted:
		if m.byKey[l.key] != l.seq {
			invariant.Check(invariant.AtMostOnce, false, "%s was granted key %s twice", m.cfg.Self.VM, l.key)
		}
		l.phase, l.attempt = phaseHeld, msg.Claim.Attempt
		delete(m.unused, l.key)
		m.answer(l, Answer{Attempt: l.attempt})
	case ResultInProgress:
		m.refuse(l, Answer{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonKeyInProgress, retryAfter)})
	case ResultDone:
		m.refuse(l, Answer{
			Err:    verdict.New(verdict.Ran, verdict.ReasonKeyDone, 0),
			Status: int(msg.Claim.Status), Holder: msg.Claim.Holder, Incarnation: msg.Claim.Incarnation,
		})
	case ResultReused:
		m.refuse(l, Answer{Err: verdict.New(verdict.NotRun, verdict.ReasonKeyReused, 0)})
	case ResultFull:
		m.refuse(l, Answer{Err: verdict.New(verdict.NotRun, verdict.ReasonKeyTableFull, time.Minute)})
	case ResultHistoryLost:
		m.refuse(l, Answer{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonKeyHistoryLost, 0)})
	default:
		m.retrySoon(l)
	}
}

// retrySoon repeats a request soon. A newer record in the reply has already been
// observed and has woken the request.
func (m *Machine) retrySoon(l *local) {
	if at := m.now.Add(notOwnerDelay); l.nextSend.After(at) {
		l.nextSend = at
	}
}

// finishReply handles the answer to a release or completion.
func (m *Machine) finishReply(msg *Message) {
	l := m.locals[msg.Claim.Seq]
	if l == nil || l.key != msg.Claim.Key {
		return
	}
	if (l.phase == phaseReleasing) != (msg.Kind == KindRelease) || l.phase == phaseHeld {
		return
	}
	if msg.Result != ResultAcked {
		m.retrySoon(l)
		return
	}
	m.eff.Settled = append(m.eff.Settled, l.seq)
	m.end(l)
}

// wakeLocals sends the requests of a partition again, after its record changed.
func (m *Machine) wakeLocals(part int) {
	for _, seq := range m.order {
		if l := m.locals[seq]; l != nil && l.part == part && l.phase != phaseHeld {
			l.tries = 0
			m.sendLocal(l)
		}
	}
}

// tickLocals repeats and times out local requests.
func (m *Machine) tickLocals() {
	keep := m.order[:0]
	for _, seq := range m.order {
		l := m.locals[seq]
		if l == nil {
			continue
		}
		keep = append(keep, seq)
		switch {
		case l.phase == phaseHeld:
		case !m.now.Before(l.deadline) && l.phase == phaseClaiming:
			m.answer(l, Answer{Err: verdict.New(verdict.NotRun, verdict.ReasonKeyUnavailable, retryAfter)})
			m.giveUp(l)
		case !m.now.Before(l.deadline):
			m.end(l)
		case !m.now.Before(l.nextSend):
			m.sendLocal(l)
		}
	}
	m.order = keep
}

// Settling tells whether the outcome of a request has yet to be recorded.
func (m *Machine) Settling(seq uint64) bool {
	l := m.locals[seq]
	return l != nil && (l.phase == phaseReleasing || l.phase == phaseCompleting)
}

// Unsettled counts the local requests whose outcome has yet to be recorded.
func (m *Machine) Unsettled() int {
	n := 0
	for seq := range m.locals {
		if m.Settling(seq) {
			n++
		}
	}
	return n
}
