package entry

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/placement"
)

// digestFormat is the first byte of a digest. It changes with the layout below, so
// that VMs of two releases do not misread each other.
const digestFormat = 5

// Resolution of shares and of rates per second in a digest.
const (
	shareSteps = 10_000
	rateSteps  = 10
)

// sender is the VM that a digest comes from. Far says that it is of another region
// than the receiver.
type sender struct {
	id  string
	far bool
}

// encodeDigest packs a digest: the format, the sender, then the shares, reports, notes
// on requests and replaced processes, each after their number. Numbers are varints, texts
// follow their length, and keys of instances have four bytes. A report takes about
// 10 bytes.
func encodeDigest(from sender, d *placement.Digest, notes []crashguard.LedgerNote) []byte {
	number := func(b []byte, v int64) []byte { return binary.AppendUvarint(b, uint64(max(v, 0))) }
	text := func(b []byte, s string) []byte { return append(number(b, int64(len(s))), s...) }
	b := text([]byte{digestFormat}, from.id)
	if from.far {
		b = number(b, 1)
	} else {
		b = number(b, 0)
	}
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
	b = number(b, int64(len(notes)))
	for _, n := range notes {
		b = binary.AppendVarint(text(append(b, n.Request[:]...), n.Process.ID), n.Process.Born)
		b = number(b, n.Age.Milliseconds())
	}
	b = number(b, int64(len(d.Replaced)))
	for _, key := range d.Replaced {
		b = binary.BigEndian.AppendUint32(b, uint32(key))
	}
	b = number(b, int64(len(d.Leaving)))
	for _, l := range d.Leaving {
		b = number(binary.BigEndian.AppendUint64(b, l.Process), l.Age.Milliseconds())
	}
	return b
}

// digestReader reads what encodeDigest packed. After an error all reads give zero.
type digestReader struct {
	rest []byte
	err  error
}

// digestNumberMost bounds the numbers of a digest.
const digestNumberMost = 1 << 30

func (r *digestReader) number() int {
	v, size := binary.Uvarint(r.rest)
	if r.err != nil || size <= 0 || v > digestNumberMost {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return int(v)
}

// signed reads a number of any size and sign.
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
		r.err = errors.New("digest is cut short or has a number out of range")
	}
}

// decodeDigest returns the digest of a datagram and its sender.
func decodeDigest(data []byte) (from sender, d *placement.Digest, notes []crashguard.LedgerNote, err error) {
	if len(data) == 0 || data[0] != digestFormat {
		return sender{}, nil, nil, errors.New("digest of another format")
	}
	r := &digestReader{rest: data[1:]}
	from.id, from.far = r.text(), r.number() != 0
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
		var note crashguard.LedgerNote
		copy(note.Request[:], r.bytes(len(note.Request)))
		note.Process.ID, note.Process.Born = r.text(), r.signed()
		note.Age = r.age()
		notes = append(notes, note)
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		d.Replaced = append(d.Replaced, placement.InstanceKey(binary.BigEndian.Uint32(r.bytes(4))))
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		d.Leaving = append(d.Leaving, placement.LeavingProcess{Process: binary.BigEndian.Uint64(r.bytes(8)), Age: r.age()})
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = errors.Errorf("digest with %d bytes too many", len(r.rest))
	}
	if r.err != nil {
		return sender{}, nil, nil, r.err
	}
	return from, d, notes, nil
}
