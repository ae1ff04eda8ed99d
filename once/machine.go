package once

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// Machine is the at-most-once state of one VM: its local requests, the
// partitions of which it is a member, and the view changes that it proposes.
type Machine struct {
	cfg          Config
	now          time.Time
	names        *nameTable
	parts        []*partition
	eff          Effects
	selfMessages []Message // messages of this VM to itself
	nextID       uint64
	nextSeq      uint64
	nextView     uint64
	locals       map[uint64]*localRequest
	localOrder   []uint64 // local requests by Seq; removed ones are skipped
	localByKey   map[Key]uint64
	firstUnused  map[Key]uint64
	unusedKeys   []Key
	dir          directory
	leaving      bool
	// nextRebalance is the time of the next check for moves. The checks are
	// spaced because each examines the whole fleet.
	nextRebalance time.Time
}

// partition is the state of one partition on this VM.
type partition struct {
	n   int
	rec Record
	// role is the role of this VM in rec; active means that it holds the claims
	// of the view.
	role   Role
	active bool
	sealed bool
	table  *Table
	staged []*stagedCopy
	// Used by the owner.
	pending   map[Key]*pendingChange
	queue     []pendingRef
	nextNum   uint64
	witnesses []witnessState
	lastPing  time.Time
	// lastOutsideContact is the time of the last contact with a VM outside the
	// view, or of the last read of the record; see Config.IsolationLimit.
	lastOutsideContact time.Time
	// mustReadRecord is set after a pause of IsolationLimit or longer, until the
	// record has been read: messages that arrive right after the pause may have
	// been sent before it.
	mustReadRecord bool
	// staleRead means that the read in progress was started before the pause.
	staleRead bool
	// Used by witnesses.
	lastOwnerMessage time.Time
	ownerImpaired    bool
	// Used for view changes. need is the reason for one, or empty.
	need       Reason
	needSince  time.Time
	change     *viewChange
	nextChange time.Time
	reading    bool
	nextRead   time.Time
	// backoff and readBackoff grow while the store or the members do not answer.
	backoff     time.Duration
	readBackoff time.Duration
}

// stagedCopy is a copy of the claims that was received for a proposed view.
type stagedCopy struct {
	epoch    uint64
	view     string
	table    *Table
	received pieceSet
}

// maxStaged bounds the staged copies per partition. Dropping one costs at most
// another view change: a member without its copy is treated as lost in that view.
const maxStaged = 4

// pieceSet records which pieces of a copy have arrived.
type pieceSet struct {
	have  []bool
	count int
}

// maxPieces bounds the number of pieces that a message may announce for a copy.
// It allows 134 million claims in pieces of the default size.
const maxPieces = 1 << 16

// add records that piece i of total has arrived and reports whether it is new and
// valid.
func (s *pieceSet) add(i, total int) bool {
	if s.have == nil && total >= 1 && total <= maxPieces {
		s.have = make([]bool, total)
	}
	if i < 0 || i >= len(s.have) || total != len(s.have) || s.have[i] {
		return false
	}
	s.have[i] = true
	s.count++
	return true
}

func (s *pieceSet) has(i, total int) bool {
	return total == len(s.have) && i >= 0 && i < total && s.have[i]
}

func (s *pieceSet) isComplete() bool { return s.have != nil && s.count == len(s.have) }

// New returns a machine that knows no records.
func New(now time.Time, cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg: cfg, now: now, names: newNameTable(),
		locals: make(map[uint64]*localRequest), localByKey: make(map[Key]uint64), firstUnused: make(map[Key]uint64),
	}
	m.dir.init()
	for n := 0; n < cfg.Partitions; n++ {
		m.parts = append(m.parts, &partition{n: n, pending: make(map[Key]*pendingChange)})
	}
	return m
}

func (m *Machine) begin(now time.Time) {
	// Round strips the monotonic clock reading, which may stop during a pause.
	if now.Round(0).Sub(m.now.Round(0)) >= m.cfg.IsolationLimit {
		for _, p := range m.parts {
			p.mustReadRecord, p.staleRead = true, p.reading
		}
	}
	m.now = now
	e := &m.eff
	clear(e.Sends)
	*e = Effects{
		Sends: e.Sends[:0], Reads: e.Reads[:0], Swaps: e.Swaps[:0], Answers: e.Answers[:0],
		Settled: e.Settled[:0], NewRecords: e.NewRecords[:0], Events: e.Events[:0],
	}
}

// finish handles the messages of this VM to itself and returns the effects.
func (m *Machine) finish() Effects {
	for len(m.selfMessages) > 0 {
		msg := m.selfMessages[0]
		m.selfMessages = m.selfMessages[1:]
		m.handle(m.cfg.Self.VM, &msg)
	}
	m.selfMessages = nil
	return m.eff
}

// Step handles a message from another VM.
func (m *Machine) Step(now time.Time, from string, msg *Message) Effects {
	m.begin(now)
	m.handle(from, msg)
	return m.finish()
}

// Observe passes in a record that was read from the store or written to it, here
// or on another VM. The record takes effect if it is newer than the known one.
func (m *Machine) Observe(now time.Time, r Record) Effects {
	m.begin(now)
	m.observe(&r)
	return m.finish()
}

// Records returns the records known here, by partition.
func (m *Machine) Records() []Record {
	var out []Record
	for _, p := range m.parts {
		if p.rec.Epoch > 0 {
			out = append(out, p.rec)
		}
	}
	return out
}

// Usage returns the number of claims held here and the bytes that they take,
// including copies for proposed views.
func (m *Machine) Usage() (claims, bytes int) {
	for _, p := range m.parts {
		if p.table != nil {
			claims += p.table.Len()
			bytes += p.table.Bytes()
		}
		for _, s := range p.staged {
			if s.table != p.table {
				claims += s.table.Len()
				bytes += s.table.Bytes()
			}
		}
	}
	return claims, bytes
}

func (m *Machine) send(to string, msg Message) {
	msg.FromInc = m.cfg.Self.Incarnation
	if !msg.Reply {
		m.nextID++
		msg.ID = m.nextID
	}
	if to == m.cfg.Self.VM {
		m.selfMessages = append(m.selfMessages, msg)
		return
	}
	m.eff.Sends = append(m.eff.Sends, Send{To: to, Message: msg})
}

// reply sends the reply to a request.
func (m *Machine) reply(to string, req *Message, res Message) {
	res.Kind, res.Reply, res.ID, res.ToInc = req.Kind, true, req.ID, req.FromInc
	res.Partition, res.Epoch, res.View = req.Partition, req.Epoch, req.View
	m.send(to, res)
}

// newerRecord returns the record known here if its epoch is after the given one,
// which is that of the sender of a request. Otherwise it returns nil.
func (p *partition) newerRecord(epoch uint64) *Record {
	if p.rec.Epoch <= epoch {
		return nil
	}
	r := p.rec
	return &r
}

func (m *Machine) handle(from string, msg *Message) {
	if msg.Partition < 0 || msg.Partition >= len(m.parts) {
		return
	}
	if msg.Reply && msg.ToInc != m.cfg.Self.Incarnation {
		return
	}
	p := m.parts[msg.Partition]
	// A record in an Install message would be a proposed one, so it must not take
	// effect.
	if msg.Record != nil && msg.Kind != KindInstall && msg.Record.Partition == p.n {
		m.observe(msg.Record)
	}
	if from != m.cfg.Self.VM && p.rec.RoleOf(Member{VM: from, Incarnation: msg.FromInc}) == RoleNone {
		p.lastOutsideContact = m.now
	}
	switch {
	case msg.Kind == KindClaim && msg.Reply:
		m.handleClaimReply(msg)
	case msg.Kind == KindClaim:
		m.handleClaim(p, from, msg)
	case (msg.Kind == KindRelease || msg.Kind == KindDone) && msg.Reply:
		m.handleOutcomeReply(msg)
	case msg.Kind == KindRelease || msg.Kind == KindDone:
		m.handleOutcome(p, from, msg)
	case msg.Kind == KindRecord && msg.Reply:
		m.handleRecordReply(p, from, msg)
	case msg.Kind == KindRecord:
		m.handleRecord(p, from, msg)
	case msg.Kind == KindPing && msg.Reply:
		m.handlePingReply(p, from, msg)
	case msg.Kind == KindPing:
		m.handlePing(p, from, msg)
	case msg.Kind == KindSeal && msg.Reply:
		m.handleSealReply(p, from, msg)
	case msg.Kind == KindSeal:
		m.handleSeal(p, from, msg)
	case msg.Kind == KindInstall && msg.Reply:
		m.handleInstallReply(p, from, msg)
	case msg.Kind == KindInstall:
		m.handleInstall(p, from, msg)
	case msg.Kind == KindView && msg.Reply:
		m.handleViewReply(p, from, msg)
	case msg.Kind == KindView:
		m.reply(from, msg, Message{Result: ResultAcked, Record: p.newerRecord(msg.Epoch)})
	}
}

// observe activates a newer record. It drops the state of older views: the claims
// that are still valid are in the copies made for the new view.
func (m *Machine) observe(r *Record) {
	if r.Partition < 0 || r.Partition >= len(m.parts) || r.Epoch == 0 {
		return
	}
	p := m.parts[r.Partition]
	if r.Epoch == p.rec.Epoch && r.View != p.rec.View {
		invariant.Check(invariant.AtMostOnce, false, "partition %d epoch %d has views %s and %s",
			p.n, r.Epoch, p.rec.View, r.View)
	}
	if r.Epoch <= p.rec.Epoch {
		return
	}
	previous := p.rec
	p.rec = *r
	m.dropPending(p)
	p.rec.Witnesses = append([]Member(nil), r.Witnesses...)
	p.role = p.rec.RoleOf(m.cfg.Self)
	p.active, p.sealed, p.table, p.ownerImpaired = false, false, nil, false
	keep := p.staged[:0]
	for _, s := range p.staged {
		switch {
		case s.epoch > r.Epoch:
			keep = append(keep, s)
		case s.view == r.View && p.role != RoleNone && s.received.isComplete():
			p.active, p.table = true, s.table
		}
	}
	clear(p.staged[len(keep):])
	p.staged = keep
	p.lastOwnerMessage, p.lastPing, p.lastOutsideContact = m.now, time.Time{}, m.now
	p.need, p.needSince = "", time.Time{}
	p.backoff, p.readBackoff = 0, 0
	p.witnesses = make([]witnessState, len(p.rec.Witnesses))
	for i := range p.witnesses {
		p.witnesses[i].lastAck = m.now
	}
	m.eff.NewRecords = append(m.eff.NewRecords, p.rec)
	m.endDecidedChange(p, &previous)
	if p.role == RoleOwner && p.active {
		m.pingWitnesses(p)
	}
	m.resendLocals(p.n)
}
