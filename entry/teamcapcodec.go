package entry

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/teamcap"
)

// teamCapFormat is the first byte of messages about teams' caps. It changes with the layout
// below; VMs drop messages of a format that they don't know.
const teamCapFormat = 0x82

// Kinds of messages about caps.
const (
	teamCapRequestKind = 1
	teamCapReplyKind   = 2
)

// Bits of the flags of a request.
const (
	teamCapIsVote = 1
	teamCapIsNew  = 2
)

// demandSteps is the number of steps per request and second in which demand is encoded.
const demandSteps = 16

// encodeTeamCapRequest encodes a request: format, kind, sender, boot, sequence number, newest
// reply, version of the metered teams, flags, weights and the entries, preceded by their number. An entry takes 13 to 20
// bytes.
func encodeTeamCapRequest(from string, q *teamcap.Request) []byte {
	b := appendText([]byte{teamCapFormat, teamCapRequestKind}, from)
	flags := uint64(0)
	if q.IsVote {
		flags |= teamCapIsVote
	}
	if q.Weight.IsNew {
		flags |= teamCapIsNew
	}
	for _, v := range []uint64{q.Boot, q.Seq, q.Ack, q.LowVersion, flags, uint64(q.Weight.Own), uint64(q.Weight.Total), uint64(len(q.Entries))} {
		b = binary.AppendUvarint(b, v)
	}
	for i := range q.Entries {
		e := &q.Entries[i]
		b = binary.BigEndian.AppendUint64(b, e.Team)
		demand := uint64(min(math.Ceil(e.Demand*demandSteps), maxDigestNumber))
		for _, v := range []uint64{e.Admitted, min(e.Recent, maxDigestNumber), min(e.Limit-min(e.Limit, e.Admitted), maxDigestNumber), uint64(min(e.Wanted, maxDigestNumber)), demand} {
			b = binary.AppendUvarint(b, v)
		}
	}
	return b
}

// encodeTeamCapReply encodes a reply: format, kind, sender, boot and sequence number of the
// request, the grants and the metered teams, each preceded by their number.
func encodeTeamCapReply(from string, r *teamcap.Reply) []byte {
	b := appendText([]byte{teamCapFormat, teamCapReplyKind}, from)
	for _, v := range []uint64{r.Boot, r.Seq, uint64(len(r.Grants))} {
		b = binary.AppendUvarint(b, v)
	}
	for _, g := range r.Grants {
		short := byte(0)
		if g.IsShort {
			short = 1
		}
		b = append(binary.AppendUvarint(binary.BigEndian.AppendUint64(b, g.Team), g.Limit), short)
	}
	b = binary.AppendUvarint(binary.AppendUvarint(b, r.LowVersion), uint64(len(r.Low)))
	for _, team := range r.Low {
		b = binary.BigEndian.AppendUint64(b, team)
	}
	return b
}

// decodeTeamCap decodes a message about caps. One of request and reply is not nil.
func decodeTeamCap(data []byte) (from string, request *teamcap.Request, reply *teamcap.Reply, err error) {
	if len(data) < 2 || data[0] != teamCapFormat {
		return "", nil, nil, errors.New("unknown format of a message about caps")
	}
	r := &digestReader{rest: data[2:]}
	from = r.text()
	switch data[1] {
	case teamCapRequestKind:
		request = &teamcap.Request{Boot: r.unsigned(), Seq: r.unsigned(), Ack: r.unsigned(), LowVersion: r.unsigned()}
		flags := r.number()
		request.IsVote = flags&teamCapIsVote != 0
		request.Weight = teamcap.Weight{IsNew: flags&teamCapIsNew != 0, Own: r.number(), Total: r.number()}
		for n := r.number(); n > 0 && r.err == nil; n-- {
			e := teamcap.Entry{Team: binary.BigEndian.Uint64(r.bytes(8)), Admitted: r.unsigned(), Recent: uint64(r.number())}
			e.Limit = e.Admitted + uint64(r.number())
			e.Wanted, e.Demand = r.number(), float64(r.number())/demandSteps
			request.Entries = append(request.Entries, e)
		}
	case teamCapReplyKind:
		reply = &teamcap.Reply{Boot: r.unsigned(), Seq: r.unsigned()}
		for n := r.number(); n > 0 && r.err == nil; n-- {
			g := teamcap.Grant{Team: binary.BigEndian.Uint64(r.bytes(8)), Limit: r.unsigned()}
			g.IsShort = r.bytes(1)[0] != 0
			reply.Grants = append(reply.Grants, g)
		}
		reply.LowVersion = r.unsigned()
		for n := r.number(); n > 0 && r.err == nil; n-- {
			reply.Low = append(reply.Low, binary.BigEndian.Uint64(r.bytes(8)))
		}
	default:
		r.fail()
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = errors.Errorf("message about caps has %d trailing bytes", len(r.rest))
	}
	if r.err != nil {
		return "", nil, nil, r.err
	}
	return from, request, reply, nil
}
