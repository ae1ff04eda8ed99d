package oncerpc

import (
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/once/oncepb"
)

// holderTable assigns indexes to the VM names in the claims of a message.
type holderTable struct {
	names []string
	index map[string]uint32
}

func (h *holderTable) indexOf(s string) uint32 {
	if i, ok := h.index[s]; ok {
		return i
	}
	if h.index == nil {
		h.index = make(map[string]uint32)
	}
	i := uint32(len(h.names))
	h.index[s] = i
	h.names = append(h.names, s)
	return i
}

func toClaim(c *once.Claim, h *holderTable) *oncepb.ClaimEntry {
	return &oncepb.ClaimEntry{
		Key: append([]byte(nil), c.Key[:]...), Fingerprint: c.Fingerprint, State: uint32(c.State),
		Attempt: uint32(c.Attempt), Status: uint32(c.Status), Holder: h.indexOf(c.Holder),
		Incarnation: c.Incarnation, Seq: c.Seq, Changed: c.Changed,
	}
}

func fromClaim(e *oncepb.ClaimEntry, holders []string) (once.Claim, error) {
	if len(e.GetKey()) != len(once.Key{}) || int(e.GetHolder()) >= len(holders) || e.GetAttempt() > 0xffff ||
		e.GetStatus() > 0xffff || e.GetState() > uint32(once.StateDone) {
		return once.Claim{}, errors.New("oncerpc: malformed claim")
	}
	return once.Claim{
		Key: once.Key(e.GetKey()), Fingerprint: e.GetFingerprint(), State: once.State(e.GetState()),
		Attempt: uint16(e.GetAttempt()), Status: uint16(e.GetStatus()), Holder: holders[e.GetHolder()],
		Incarnation: e.GetIncarnation(), Seq: e.GetSeq(), Changed: e.GetChanged(),
	}, nil
}

// ToRecord returns the wire form of a record.
func ToRecord(r *once.Record) *oncepb.PartitionRecord {
	if r == nil {
		return nil
	}
	out := &oncepb.PartitionRecord{
		Partition: uint32(r.Partition), Epoch: r.Epoch, View: r.View,
		Owner: &oncepb.Member{Vm: r.Owner.VM, Incarnation: r.Owner.Incarnation},
	}
	for _, w := range r.Witnesses {
		out.Witnesses = append(out.Witnesses, &oncepb.Member{Vm: w.VM, Incarnation: w.Incarnation})
	}
	if !r.LostUntil.IsZero() {
		out.LostUntil = r.LostUntil.UnixNano()
	}
	return out
}

// FromRecord reads the wire form of a record.
func FromRecord(r *oncepb.PartitionRecord) *once.Record {
	if r == nil {
		return nil
	}
	out := &once.Record{
		Partition: int(r.GetPartition()), Epoch: r.GetEpoch(), View: r.GetView(),
		Owner: once.Member{VM: r.GetOwner().GetVm(), Incarnation: r.GetOwner().GetIncarnation()},
	}
	for _, w := range r.GetWitnesses() {
		out.Witnesses = append(out.Witnesses, once.Member{VM: w.GetVm(), Incarnation: w.GetIncarnation()})
	}
	if r.GetLostUntil() != 0 {
		out.LostUntil = time.Unix(0, r.GetLostUntil())
	}
	return out
}

// ToWire returns the wire form of a message.
func ToWire(from string, m *once.Message) *oncepb.Message {
	var h holderTable
	out := &oncepb.Message{
		Kind: uint32(m.Kind), From: from, FromIncarnation: m.FromInc, ToIncarnation: m.ToInc, Id: m.ID,
		Partition: uint32(m.Partition), Epoch: m.Epoch, View: m.View, Result: uint32(m.Result),
		Unused: m.FirstUnusedSeq, Record: ToRecord(m.Record), Piece: uint32(m.Piece), Pieces: uint32(m.Pieces),
	}
	if m.Claim != (once.Claim{}) {
		out.Claim = toClaim(&m.Claim, &h)
	}
	for i := range m.Claims {
		out.Claims = append(out.Claims, toClaim(&m.Claims[i], &h))
	}
	out.Holders = h.names
	return out
}

// FromWire reads the wire form of a message and returns its sender.
func FromWire(w *oncepb.Message, reply bool) (string, *once.Message, error) {
	m := &once.Message{
		Kind: once.Kind(w.GetKind()), Reply: reply, ID: w.GetId(), FromInc: w.GetFromIncarnation(),
		ToInc: w.GetToIncarnation(), Partition: int(w.GetPartition()), Epoch: w.GetEpoch(), View: w.GetView(),
		Result: once.Result(w.GetResult()), FirstUnusedSeq: w.GetUnused(), Record: FromRecord(w.GetRecord()),
		Piece: int(w.GetPiece()), Pieces: int(w.GetPieces()),
	}
	if w.GetClaim() != nil {
		c, err := fromClaim(w.GetClaim(), w.GetHolders())
		if err != nil {
			return "", nil, err
		}
		m.Claim = c
	}
	if len(w.GetClaims()) > 0 {
		m.Claims = make([]once.Claim, len(w.GetClaims()))
	}
	for i, e := range w.GetClaims() {
		c, err := fromClaim(e, w.GetHolders())
		if err != nil {
			return "", nil, err
		}
		m.Claims[i] = c
	}
	return w.GetFrom(), m, nil
}
