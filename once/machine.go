package once

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
)

// Machine is the at-most-once state of one VM: its local requests, the
// partitions of which it is a member, and the view changes that it proposes.
type Machine struct {
	cfg       Config
	now       time.Time
	names     *names
	parts     []*partition
	eff       Effects
	loop      []Message // messages of this VM to itself
	nextID    uint64
	nextSeq   uint64
	nextView  uint64
	locals    map[uint64]*local
	order     []uint64 // local requests by Seq; ended ones are skipped
	byKey     map[Key]uint64
	unused    map[Key]uint64
	unusedLog []Key
	dir       directory
	leaving   bool
	// nextRebalance spaces the checks for moves, which look at the whole fleet.
	nextRebalance time.Time
}

// partition is the state of one partition on this VM.
type partition struct {
	n   int
	rec Record
	// role is that of this VM in rec; active means that it holds the claims.
	role   Role
	active bool
	sealed bool
	table  *Table
	staged []*staged
	// Owner.
	pending  map[Key]*pending
	queue    []queued
	nextNum  uint64
	peers    []peer
	lastPing time.Time
	// contact is the last sign of a VM outside the view or of the record.
	contact time.Time
	// paused is set after a pause of IsolationLimit or longer, until the record
	// has been read: what is heard right after it may be from before the pause.
	paused bool
	// staleRead marks a read that was under way at the pause.
	staleRead bool
	// Witness.
	heard    time.Time
	impaired bool
	// View changes.
	need       Reason
	needSince  time.Time
	change     *change
	nextChange time.Time
	reading    bool
	nextRead   time.Time
	// backoff and readWait grow while the store or the members do not answer.
	backoff  time.Duration
	readWait time.Duration
}

// staged is the copy of the claims for a proposed view.
type staged struct {
	epoch uint64
	view  string
	table *Table
	got   pieceSet
}

// maxStaged bounds the copies per partition. A copy that is dropped costs only
// another view change, because its holder then counts as lost in that view.
const maxStaged = 4

// pieceSet records which pieces of a copy have arrived.
type pieceSet struct {
	have  []bool
	count int
}

// maxPieces bounds the number that a peer may announce. It covers 134 million
// claims in pieces of the default size.
const maxPieces = 1 << 16

// add records a piece and tells whether it is new.
func (s *pieceSet) add(i, of int) bool {
	if s.have == nil && of >= 1 && of <= maxPieces {
		s.have = make([]bool, of)
	}
	if i < 0 || i >= len(s.have) || of != len(s.have) || s.have[i] {
		return false
	}
	s.have[i] = true
	s.count++
	return true
}

func (s *pieceSet) has(i, of int) bool {
	return of == len(s.have) && i >= 0 && i < of && s.have[i]
}

func (s *pieceSet) complete() bool { return s.have != nil && s.count == len(s.have) }

// New returns a machine that knows no records.
func New(now time.Time, cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg: cfg, now: now, names: newNames(),
		locals: make(map[uint64]*local), byKey: make(map[Key]uint64), unused: make(map[Key]uint64),
	}
	m.dir.init()
	for n := 0; n < cfg.Partitions; n++ {
		m.parts = append(m.parts, &partition{n: n, pending: make(map[Key]*pending)})
	}
	return m
}

func (m *Machine) begin(now time.Time) {
	// Round strips the monotonic reading, which may stand still during a pause.
	if now.Round(0).Sub(m.now.Round(0)) >= m.cfg.IsolationLimit {
		for _, p := range m.parts {
			p.paused, p.staleRead = true, p.reading
		}
	}
	m.now = now
	e := &m.eff
	clear(e.Sends)
	*e = Effects{
		Sends: e.Sends[:0], Reads: e.Reads[:0], Swaps: e.Swaps[:0], Answers: e.Answers[:0],
		Settled: e.Settled[:0], Views: e.Views[:0], Notes: e.Notes[:0],
	}
}

// finish handles the messages of this VM to itself and returns the effects.
func (m *Machine) finish() Effects {
	for len(m.loop) > 0 {
		msg := m.loop[0]
		m.loop = m.loop[1:]
		m.handle(m.cfg.Self.VM, &msg)
	}
	m.loop = nil
	return m.eff
}

// Step handles a message from another VM.
func (m *Machine) Step(now time.Time, from string, msg *Message) Effects {
	m.begin(now)
	m.handle(from, msg)
	return m.finish()
}

// Observe takes note of a record that was read from the store or written to
// it, here or on another VM. Older records are ignored.
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

// Usage returns the claims held here and the bytes that they take, copies for
// proposed views included.
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
		m.loop = append(m.loop, msg)
		return
	}
	m.eff.Sends = append(m.eff.Sends, Send{To: to, Message: msg})
}

// reply answers a request.
func (m *Machine) reply(to string, req *Message, res Message) {
	res.Kind, res.Reply, res.ID, res.ToInc = req.Kind, true, req.ID, req.FromInc
	res.Partition, res.Epoch, res.View = req.Partition, req.Epoch, req.View
	m.send(to, res)
}

// newer returns the record known here if the sender of the request has an older
// one.
func (p *partition) newer(epoch uint64) *Record {
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
	// Install carries a record that is only proposed.
	if msg.Record != nil && msg.Kind != KindInstall && msg.Record.Partition == p.n {
		m.observe(msg.Record)
	}
	if from != m.cfg.Self.VM && p.rec.RoleOf(Member{VM: from, Incarnation: msg.FromInc}) == RoleNone {
		p.contact = m.now
	}
	switch {
	case msg.Kind == KindClaim && msg.Reply:
		m.claimReply(msg)
	case msg.Kind == KindClaim:
		m.ownerClaim(p, from, msg)
	case (msg.Kind == KindRelease || msg.Kind == KindDone) && msg.Reply:
		m.finishReply(msg)
	case msg.Kind == KindRelease || msg.Kind == KindDone:
		m.ownerFinish(p, from, msg)
	case msg.Kind == KindRecord && msg.Reply:
		m.recordReply(p, from, msg)
	case msg.Kind == KindRecord:
		m.witnessRecord(p, from, msg)
	case msg.Kind == KindPing && msg.Reply:
		m.pingReply(p, from, msg)
	case msg.Kind == KindPing:
		m.witnessPing(p, from, msg)
	case msg.Kind == KindSeal && msg.Reply:
		m.sealReply(p, from, msg)
	case msg.Kind == KindSeal:
		m.memberSeal(p, from, msg)
	case msg.Kind == KindInstall && msg.Reply:
		m.installReply(p, from, msg)
	case msg.Kind == KindInstall:
		m.memberInstall(p, from, msg)
	case msg.Kind == KindView && !msg.Reply:
		m.reply(from, msg, Message{Result: ResultAcked, Record: p.newer(msg.Epoch)})
	}
}

// observe activates a newer record. Everything that belongs to older views is
// dropped: the claims that count are in the copies made for the new view.
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
	old := p.rec
	p.rec = *r
	m.dropPending(p)
	p.rec.Witnesses = append([]Member(nil), r.Witnesses...)
	p.role = p.rec.RoleOf(m.cfg.Self)
	p.active, p.sealed, p.table, p.impaired = false, false, nil, false
	keep := p.staged[:0]
	for _, s := range p.staged {
		switch {
		case s.epoch > r.Epoch:
			keep = append(keep, s)
		case s.view == r.View && p.role != RoleNone && s.got.complete():
			p.active, p.table = true, s.table
		}
	}
	clear(p.staged[len(keep):])
	p.staged = keep
	p.heard, p.lastPing, p.contact = m.now, time.Time{}, m.now
	p.need, p.needSince = "", time.Time{}
	p.backoff, p.readWait = 0, 0
	p.peers = make([]peer, len(p.rec.Witnesses))
	for i := range p.peers {
		p.peers[i].acked = m.now
	}
	m.eff.Views = append(m.eff.Views, p.rec)
	m.endChangeOn(p, &old)
	if p.role == RoleOwner && p.active {
		m.ping(p)
	}
	m.wakeLocals(p.n)
}
