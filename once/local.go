package once

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// phase is the state of a local request.
type phase uint8

const (
	phaseClaiming phase = iota + 1
	phaseHeld
	phaseReleasing
	phaseCompleting
)

// localRequest is a request that this VM received and for which it claims a key.
type localRequest struct {
	seq         uint64
	key         Key
	fingerprint uint64
	partition   int
	phase       phase
	firstUnused uint64
	attempt     uint16
	status      uint16
	numSends    int
	deadline    time.Time
	nextSend    time.Time
}

const (
	// maxUnusedKeys bounds the keys whose abandoned claims are remembered. Once a
	// key is dropped, a resend through this VM may be refused as "in progress"
	// until retention ends.
	maxUnusedKeys = 8192
	// outcomeTimeout bounds how long an unacknowledged release or completion is
	// sent again.
	outcomeTimeout = 30 * time.Second
	// notOwnerRetryDelay is the pause before a request is sent again to a VM that
	// cannot answer as the owner yet, as during a view change.
	notOwnerRetryDelay = 50 * time.Millisecond
	// readInterval is the interval of the store reads for a partition whose owner
	// does not answer. It doubles up to maxReadInterval, to limit the load on the
	// store: every VM with a waiting request reads.
	readInterval    = time.Second
	maxReadInterval = 16 * time.Second
	// readAfterSends is the number of messages sent for a request after which
	// the record is read from the store. Before that, the members usually return
	// the new record.
	readAfterSends = 6
)

// Claim asks for a grant. The answer is in Effects.Answers of this or a later
// call, under the returned Seq.
func (m *Machine) Claim(now time.Time, key Key, fingerprint uint64) (uint64, Effects) {
	m.begin(now)
	m.nextSeq++
	seq := m.nextSeq
	l := &localRequest{
		seq: seq, key: key, fingerprint: fingerprint, partition: key.Partition(m.cfg.Partitions),
		phase: phaseClaiming, deadline: now.Add(m.cfg.ClaimTimeout), firstUnused: m.firstUnused[key],
	}
	if prev := m.locals[m.localByKey[key]]; prev != nil {
		m.answer(l, m.localConflict(prev, fingerprint))
		return seq, m.finish()
	}
	m.locals[seq] = l
	m.localByKey[key] = seq
	m.localOrder = append(m.localOrder, seq)
	m.sendLocal(l)
	return seq, m.finish()
}

// localConflict returns the answer to a second request for a key that another
// request of this VM is claiming, holds, or has completed without the owner having
// recorded the completion yet.
func (m *Machine) localConflict(prev *localRequest, fingerprint uint64) Answer {
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

// answer adds the answer to a local request to the effects.
func (m *Machine) answer(l *localRequest, a Answer) {
	a.Seq = l.seq
	if a.Err != nil && a.Err.Verdict == verdict.NotRun && l.phase != phaseClaiming {
		invariant.Check(invariant.NotRunIsTrue, false, "request %d of %s is refused as not run in phase %d",
			l.seq, m.cfg.Self.VM, l.phase)
	}
	m.eff.Answers = append(m.eff.Answers, a)
}

// removeLocal removes a local request.
func (m *Machine) removeLocal(l *localRequest) {
	delete(m.locals, l.seq)
	if m.localByKey[l.key] == l.seq {
		delete(m.localByKey, l.key)
	}
}

// markUnused records that the request was not run. If its grant is still in
// flight or the reply was lost, the key can be granted to this VM again.
func (m *Machine) markUnused(l *localRequest) {
	if _, ok := m.firstUnused[l.key]; ok {
		return
	}
	if len(m.unusedKeys) >= maxUnusedKeys {
		delete(m.firstUnused, m.unusedKeys[0])
		m.unusedKeys = m.unusedKeys[1:]
	}
	m.firstUnused[l.key] = l.seq
	m.unusedKeys = append(m.unusedKeys, l.key)
}

// refuse answers a claim that was not granted and removes its request.
func (m *Machine) refuse(l *localRequest, a Answer) {
	m.answer(l, a)
	m.markUnused(l)
	m.removeLocal(l)
}

// Abandon cancels a claim that has not been answered, or releases one that has
// been granted and not used.
func (m *Machine) Abandon(now time.Time, seq uint64) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseClaiming {
		m.abandonLocal(l)
	} else if l != nil && l.phase == phaseHeld {
		m.release(l)
	}
	return m.finish()
}

func (m *Machine) abandonLocal(l *localRequest) {
	m.markUnused(l)
	m.removeLocal(l)
	m.sendRelease(l.partition, l.key, l.seq)
}

func (m *Machine) sendRelease(part int, key Key, seq uint64) {
	p := m.parts[part]
	if p.rec.Epoch == 0 {
		return
	}
	m.send(p.rec.Owner.VM, Message{
		Kind: KindRelease, Partition: part, Epoch: p.rec.Epoch, View: p.rec.View, Claim: m.localClaim(key, seq),
	})
}

func (m *Machine) localClaim(key Key, seq uint64) Claim {
	return Claim{Key: key, Holder: m.cfg.Self.VM, Incarnation: m.cfg.Self.Incarnation, Seq: seq}
}

// Release records that a granted request is proven not to have run.
func (m *Machine) Release(now time.Time, seq uint64) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseHeld {
		m.release(l)
	}
	return m.finish()
}

func (m *Machine) release(l *localRequest) {
	m.markUnused(l)
	l.phase = phaseReleasing
	// The next local request for the key may claim it, and reports this one as unused.
	delete(m.localByKey, l.key)
	m.sendOutcome(l)
}

// Done records that a granted request ran, with its HTTP status.
func (m *Machine) Done(now time.Time, seq uint64, status int) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseHeld {
		l.phase, l.status = phaseCompleting, uint16(status)
		m.sendOutcome(l)
	}
	return m.finish()
}

// MarkUnknown ends a granted request whose outcome is unknown. The claim stays
// granted until retention ends.
func (m *Machine) MarkUnknown(now time.Time, seq uint64) Effects {
	m.begin(now)
	if l := m.locals[seq]; l != nil && l.phase == phaseHeld {
		m.removeLocal(l)
	}
	return m.finish()
}

func (m *Machine) sendOutcome(l *localRequest) {
	l.deadline, l.numSends = m.now.Add(outcomeTimeout), 0
	m.sendLocal(l)
}

// sendLocal sends the message of the request's phase to the owner. Repetitions go
// to the witnesses as well, because members are the first to have a newer record.
func (m *Machine) sendLocal(l *localRequest) {
	p := m.parts[l.partition]
	wait := m.cfg.ResendInterval
	if l.phase != phaseClaiming {
		wait <<= min(l.numSends, 4)
	}
	l.nextSend = m.now.Add(wait)
	if l.numSends >= readAfterSends || p.rec.Epoch == 0 {
		m.readRecord(p)
	}
	if p.rec.Epoch == 0 {
		return
	}
	l.numSends++
	msg := Message{Partition: p.n, Epoch: p.rec.Epoch, View: p.rec.View, Claim: m.localClaim(l.key, l.seq)}
	switch l.phase {
	case phaseClaiming:
		msg.Kind, msg.FirstUnusedSeq, msg.Claim.Fingerprint = KindClaim, l.firstUnused, l.fingerprint
	case phaseReleasing:
		msg.Kind = KindRelease
	case phaseCompleting:
		msg.Kind, msg.Claim.Status = KindDone, l.status
	default:
		return
	}
	m.send(p.rec.Owner.VM, msg)
	if l.numSends > 1 {
		for _, w := range p.rec.Witnesses {
			m.send(w.VM, msg)
		}
	}
}

// readRecord requests a read of the record from the store, at intervals that grow
// until a newer record is found.
func (m *Machine) readRecord(p *partition) {
	if p.reading || m.now.Before(p.nextRead) {
		return
	}
	p.readBackoff = min(max(2*p.readBackoff, readInterval), maxReadInterval)
	p.reading, p.nextRead = true, m.now.Add(p.readBackoff)
	m.eff.Reads = append(m.eff.Reads, p.n)
}

// handleClaimReply handles the owner's reply to a claim. A grant for a request
// that was abandoned meanwhile is released.
func (m *Machine) handleClaimReply(msg *Message) {
	l := m.locals[msg.Claim.Seq]
	if l == nil || l.phase != phaseClaiming || l.key != msg.Claim.Key {
		first, ok := m.firstUnused[msg.Claim.Key]
		if msg.Result == ResultGranted && l == nil && ok && msg.Claim.Seq >= first {
			m.sendRelease(msg.Partition, msg.Claim.Key, msg.Claim.Seq)
		}
		return
	}
	switch msg.Result {
	case ResultGranted:
		if m.localByKey[l.key] != l.seq {
			invariant.Check(invariant.AtMostOnce, false, "%s was granted key %s twice", m.cfg.Self.VM, l.key)
		}
		l.phase, l.attempt = phaseHeld, msg.Claim.Attempt
		delete(m.firstUnused, l.key)
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
		m.scheduleRetry(l)
	}
}

// scheduleRetry plans to send a request again in notOwnerRetryDelay, unless it is due
// earlier. If the reply carried a newer record, observe has already sent it again.
func (m *Machine) scheduleRetry(l *localRequest) {
	if at := m.now.Add(notOwnerRetryDelay); l.nextSend.After(at) {
		l.nextSend = at
	}
}

// handleOutcomeReply handles the reply to a release or completion.
func (m *Machine) handleOutcomeReply(msg *Message) {
	l := m.locals[msg.Claim.Seq]
	if l == nil || l.key != msg.Claim.Key {
		return
	}
	if (l.phase == phaseReleasing) != (msg.Kind == KindRelease) || l.phase == phaseHeld {
		return
	}
	if msg.Result != ResultAcked {
		m.scheduleRetry(l)
		return
	}
	m.eff.Settled = append(m.eff.Settled, l.seq)
	m.removeLocal(l)
}

// resendLocals sends the requests of a partition again, after its record changed.
func (m *Machine) resendLocals(part int) {
	for _, seq := range m.localOrder {
		if l := m.locals[seq]; l != nil && l.partition == part && l.phase != phaseHeld {
			l.numSends = 0
			m.sendLocal(l)
		}
	}
}

// tickLocals sends unanswered local requests again and times them out.
func (m *Machine) tickLocals() {
	keep := m.localOrder[:0]
	for _, seq := range m.localOrder {
		l := m.locals[seq]
		if l == nil {
			continue
		}
		keep = append(keep, seq)
		switch {
		case l.phase == phaseHeld:
		case !m.now.Before(l.deadline) && l.phase == phaseClaiming:
			m.answer(l, Answer{Err: verdict.New(verdict.NotRun, verdict.ReasonKeyUnavailable, retryAfter)})
			m.abandonLocal(l)
		case !m.now.Before(l.deadline):
			m.removeLocal(l)
		case !m.now.Before(l.nextSend):
			m.sendLocal(l)
		}
	}
	m.localOrder = keep
}

// IsSettling reports whether the outcome of a local request is known but not yet
// recorded by every member.
func (m *Machine) IsSettling(seq uint64) bool {
	l := m.locals[seq]
	return l != nil && (l.phase == phaseReleasing || l.phase == phaseCompleting)
}

// NumUnsettled returns the number of local requests that are settling.
func (m *Machine) NumUnsettled() int {
	n := 0
	for seq := range m.locals {
		if m.IsSettling(seq) {
			n++
		}
	}
	return n
}
