package entry

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/roster"
)

// digestFormat is the first byte of a digest. It changes with the layout below, so
// that VMs of two releases don't misread each other's digests.
const digestFormat = 7

// Steps per unit in which shares and rates per second are encoded in a digest.
const (
	shareSteps = 10_000
	rateSteps  = 10
)

// sender is the VM that a digest comes from. It is remote if it belongs to another region
// than the receiver, and isolated if it reaches no instance.
type sender struct {
	id               string
	remote, isolated bool
	signal           roster.Signal
}

// Bits of the sender's flags in a digest.
const (
	senderIsRemote   = 1
	senderIsIsolated = 2
	// Earlier releases ignore the following bits. The highest ones are a hash and the number of the
	// VMs that the sender counts.
	senderLacksStore   = 4
	senderIsIdle       = 8
	senderIsJoining    = 16
	senderMembersShift = 5
	senderDigestShift  = 13
)

// encodeDigest encodes a digest: the format, the sender, then the shares, load reports,
// crash reports, replaced instances, leaving processes and limits, each list preceded by its
// length. Numbers are varints, strings follow their length, and keys of instances take
// four bytes. A load report takes about 10 bytes.
func encodeDigest(from sender, d *placement.Digest, crashes []crashguard.LedgerReport) []byte {
	number := func(b []byte, v int64) []byte { return binary.AppendUvarint(b, uint64(max(v, 0))) }
	text := func(b []byte, s string) []byte { return append(number(b, int64(len(s))), s...) }
	b := text([]byte{digestFormat}, from.id)
	flags := int64(0)
	if from.remote {
		flags |= senderIsRemote
	}
	if from.isolated {
		flags |= senderIsIsolated
	}
	if from.signal.LacksStore {
		flags |= senderLacksStore
	}
	if from.signal.IsIdle {
		flags |= senderIsIdle
	}
	if from.signal.IsJoining {
		flags |= senderIsJoining
	}
	b = number(b, flags|int64(from.signal.Members)<<senderMembersShift|int64(from.signal.Digest)<<senderDigestShift)
	b = number(b, int64(len(d.Shares)))
	for name, share := range d.Shares {
		b = number(number(text(b, name), int64(math.Round(share.Share*shareSteps))), int64(math.Round(share.Rate*rateSteps)))
	}
	b = number(b, int64(len(d.Reports)))
	for _, r := range d.Reports {
		b = binary.BigEndian.AppendUint32(b, uint32(r.Instance))
		for _, v := range []int64{int64(r.Load.Running), int64(r.Load.Waiting), int64(r.Load.Slots), int64(r.Load.WorkPercent), r.Age.Milliseconds(), int64(100 * r.Ratio)} {
			b = number(b, v)
		}
	}
	b = number(b, int64(len(crashes)))
	for _, r := range crashes {
		b = binary.AppendVarint(text(append(b, r.Request[:]...), r.Process.ID), r.Process.StartMillis)
		b = number(b, r.Age.Milliseconds())
	}
	b = number(b, int64(len(d.Replaced)))
	for _, key := range d.Replaced {
		b = binary.BigEndian.AppendUint32(b, uint32(key))
	}
	b = number(b, int64(len(d.Leaving)))
	for _, l := range d.Leaving {
		b = number(binary.BigEndian.AppendUint64(b, l.Process), l.Age.Milliseconds())
	}
	b = number(b, int64(len(d.Limits)))
	for k := range d.Limits {
		b = appendLimitReport(b, &d.Limits[k])
	}
	return b
}

// digestReader decodes the fields of a digest. After an error all reads return zero
// values.
type digestReader struct {
	rest []byte
	err  error
}

// maxDigestNumber bounds the unsigned numbers of a digest.
const maxDigestNumber = 1 << 30

func (r *digestReader) number() int {
	v, size := binary.Uvarint(r.rest)
	if r.err != nil || size <= 0 || v > maxDigestNumber {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return int(v)
}

// signed reads a signed number without bound.
func (r *digestReader) signed() int64 {
	v, size := binary.Varint(r.rest)
	if r.err != nil || size <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return v
}

func (r *digestReader) bytes(n int) []byte {
	if r.err != nil || n > len(r.rest) {
		r.fail()
		return make([]byte, min(n, len(crashguard.Fingerprint{})))
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *digestReader) text() string { return string(r.bytes(r.number())) }

func (r *digestReader) age() time.Duration { return time.Duration(r.number()) * time.Millisecond }

func (r *digestReader) fail() {
	if r.err == nil {
		r.err = errors.New("digest is truncated or has a number out of range")
	}
}

// decodeDigest decodes a datagram and returns the digest, its sender and its crash
// reports.
func decodeDigest(data []byte) (from sender, d *placement.Digest, crashes []crashguard.LedgerReport, err error) {
	if len(data) == 0 || data[0] != digestFormat {
		return sender{}, nil, nil, errors.New("unknown digest format")
	}
	r := &digestReader{rest: data[1:]}
	from.id = r.text()
	flags := r.number()
	from.remote, from.isolated = flags&senderIsRemote != 0, flags&senderIsIsolated != 0
	from.signal = roster.Signal{
		LacksStore: flags&senderLacksStore != 0, IsIdle: flags&senderIsIdle != 0, IsJoining: flags&senderIsJoining != 0,
		Members: flags >> senderMembersShift & roster.MaxMembers, Digest: uint32(flags >> senderDigestShift),
	}
	d = &placement.Digest{Shares: make(map[string]placement.Share)}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		name := r.text()
		d.Shares[name] = placement.Share{Share: float64(r.number()) / shareSteps, Rate: float64(r.number()) / rateSteps}
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		key := placement.InstanceKey(binary.BigEndian.Uint32(r.bytes(4)))
		load := placement.Load{Running: r.number(), Waiting: r.number(), Slots: r.number(), WorkPercent: r.number()}
		d.Reports = append(d.Reports, placement.Report{Instance: key, Load: load, Age: r.age(), Ratio: float64(r.number()) / 100})
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		var report crashguard.LedgerReport
		copy(report.Request[:], r.bytes(len(report.Request)))
		report.Process.ID, report.Process.StartMillis = r.text(), r.signed()
		report.Age = r.age()
		crashes = append(crashes, report)
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		d.Replaced = append(d.Replaced, placement.InstanceKey(binary.BigEndian.Uint32(r.bytes(4))))
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		d.Leaving = append(d.Leaving, placement.LeavingProcess{Process: binary.BigEndian.Uint64(r.bytes(8)), Age: r.age()})
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		d.Limits = append(d.Limits, r.limitReport())
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = errors.Errorf("digest has %d trailing bytes", len(r.rest))
	}
	if r.err != nil {
		return sender{}, nil, nil, r.err
	}
	return from, d, crashes, nil
}
