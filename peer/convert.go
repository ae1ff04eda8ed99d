package peer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer/peerpb"
)

// Limits of a received message. A message that exceeds one is refused as a
// whole.
const (
	// MaxMessageBytes bounds one message. It leaves room for a chunk of 1 MB.
	MaxMessageBytes = 1<<20 + 64<<10
	// maxExchangeBytes bounds a heartbeat with digest. Senders stay below 8 KB
	// plus the members and evidence that the other side requested.
	maxExchangeBytes = 64 << 10
	maxUpdates       = 2048
	maxSections      = 1024
	maxKeys          = 64
	maxTextBytes     = 256
	maxSectionBytes  = 512
	maxAge           = 24 * time.Hour
	bucketCount      = 32
)

// ToProto converts a message to its wire form.
func ToProto(m *member.Message) *peerpb.ExchangeMessage {
	p := &peerpb.ExchangeMessage{
		From: m.From, To: m.To, Boot: m.Inc.Boot, Seq: m.Inc.Seq, State: uint32(m.State), ViewHash: m.ViewHash,
		Config: toDocument(m.Docs[member.DocConfig]), Plan: toDocument(m.Docs[member.DocPlan]), List: toDocument(m.Docs[member.DocList]),
		Buckets: m.Buckets, Resync: m.Resync, Ask: m.Ask,
		StoreStamp: m.StoreStamp, StoreAgeMs: toMillis(m.StoreAge), Unknown: m.Unknown,
	}
	for i := range m.Updates {
		u := &m.Updates[i]
		w := &peerpb.Update{
			Key: u.Key, Boot: u.Inc.Boot, Seq: u.Inc.Seq, State: uint32(u.Declared),
			Suspected: u.Suspected, Gone: u.Gone, AgeMs: toMillis(u.Age),
		}
		if u.Info != nil {
			w.Info = &peerpb.Info{
				Id: u.Info.ID, DataCentre: u.Info.DataCentre, Region: u.Info.Region, Rack: u.Info.Rack, Address: u.Info.Address,
			}
		}
		p.Updates = append(p.Updates, w)
	}
	for _, s := range m.Sections {
		p.Sections = append(p.Sections, &peerpb.Section{Kind: uint32(s.Kind), Owner: s.Owner, Version: s.Version, Value: s.Value})
	}
	for _, h := range m.Evidence {
		p.Heard = append(p.Heard, &peerpb.Evidence{Key: h.Key, Boot: h.Inc.Boot, Seq: h.Inc.Seq, AgeMs: toMillis(h.Age)})
	}
	return p
}

func toDocument(v member.DocVersion) *peerpb.Document {
	if v.Version == 0 {
		return nil
	}
	d := &peerpb.Document{Version: v.Version}
	if v.Hash != ([32]byte{}) {
		d.Hash = v.Hash[:]
	}
	return d
}

func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxAge) / time.Millisecond)
}

func fromMillis(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxAge)
}

// FromProto checks a received message and converts it.
func FromProto(p *peerpb.ExchangeMessage, reply bool) (member.Message, error) {
	if err := checkExchange(p); err != nil {
		return member.Message{}, err
	}
	m := member.Message{
		From: p.From, To: p.To, Inc: member.Incarnation{Boot: p.Boot, Seq: p.Seq}, State: member.State(p.State),
		Reply: reply, Unknown: p.Unknown, ViewHash: p.ViewHash, StoreStamp: p.StoreStamp, StoreAge: fromMillis(p.StoreAgeMs), Buckets: p.Buckets, Resync: p.Resync, Ask: p.Ask,
	}
	for i, d := range []*peerpb.Document{p.Config, p.Plan, p.List} {
		m.Docs[i].Version = d.GetVersion()
		copy(m.Docs[i].Hash[:], d.GetHash())
	}
	for _, w := range p.Updates {
		u := member.Update{
			Key: w.GetKey(), Inc: member.Incarnation{Boot: w.GetBoot(), Seq: w.GetSeq()}, Declared: member.State(w.GetState()),
			Suspected: w.GetSuspected(), Gone: w.GetGone(), Age: fromMillis(w.GetAgeMs()),
		}
		if i := w.GetInfo(); i != nil {
			u.Info = &member.Info{ID: i.Id, DataCentre: i.DataCentre, Region: i.Region, Rack: i.Rack, Address: i.Address}
		}
		m.Updates = append(m.Updates, u)
	}
	for _, s := range p.Sections {
		m.Sections = append(m.Sections, member.Section{
			Kind: uint8(s.GetKind()), Owner: s.GetOwner(), Version: s.GetVersion(), Value: s.GetValue(),
		})
	}
	for _, h := range p.Heard {
		m.Evidence = append(m.Evidence, member.Evidence{
			Key: h.GetKey(), Inc: member.Incarnation{Boot: h.GetBoot(), Seq: h.GetSeq()}, Age: fromMillis(h.GetAgeMs()),
		})
	}
	return m, nil
}

func checkExchange(p *peerpb.ExchangeMessage) error {
	switch {
	case p.From == "" || len(p.From) > maxTextBytes:
		return errors.New("peer: message without a sender")
	case p.Boot == 0 || !canDeclare(p.State):
		return errors.New("peer: message without an incarnation or with an unknown state")
	case len(p.Updates) > maxUpdates || len(p.Sections) > maxSections:
		return errors.Errorf("peer: too many updates or sections in a message: %d, %d", len(p.Updates), len(p.Sections))
	case len(p.Ask) > maxKeys || len(p.Heard) > maxKeys || (len(p.Buckets) != 0 && len(p.Buckets) != bucketCount):
		return errors.New("peer: message with too many keys")
	}
	for _, d := range []*peerpb.Document{p.Config, p.Plan, p.List} {
		if n := len(d.GetHash()); n != 0 && n != 32 {
			return errors.Errorf("peer: document hash has %d bytes, not 32", n)
		}
	}
	for _, u := range p.Updates {
		if u.GetBoot() == 0 || !canDeclare(u.GetState()) {
			return errors.New("peer: update without an incarnation or with an unknown state")
		}
		if i := u.GetInfo(); i != nil {
			for _, text := range []string{i.Id, i.DataCentre, i.Region, i.Rack, i.Address} {
				if len(text) > maxTextBytes {
					return errors.New("peer: update with an overlong text")
				}
			}
		}
	}
	for _, s := range p.Sections {
		if s.GetKind() > 255 || len(s.GetOwner()) > maxTextBytes || len(s.GetValue()) > maxSectionBytes {
			return errors.New("peer: section outside its limits")
		}
	}
	return nil
}

// canDeclare reports whether a VM may declare the state of itself.
func canDeclare(s uint32) bool {
	switch member.State(min(s, 255)) {
	case member.Joining, member.Serving, member.Leaving, member.Gone:
		return true
	}
	return false
}
