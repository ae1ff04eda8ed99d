package steer

import (
	"encoding/binary"
	"iter"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// MaxChunkBytes is the largest size of a chunk, which is also the largest size of a
// value in the store.
const MaxChunkBytes = 1 << 20

// A chunk ends after a block whose prefix hash has the bits of cutMask zero, so that
// a change of one block replaces one chunk instead of all that follow. Smaller chunks
// make a change cheaper but the list of their hashes longer; a mean of 5,000 blocks
// (21 KB) is near the minimum of the sum: 0.8 KB/s at 2,100 changes a day, of the
// 3 KB/s that a VM may spend for control.
const (
	cutMask        = 1<<12 - 1
	minChunkBlocks = 1 << 10
)

// wireMagic starts a chunk; its last byte is the version of the format.
const wireMagic = "CFB\x01"

// A chunk consists of the magic, the numbers of sites, IPv4 blocks and IPv6 blocks,
// the names of the sites, and for each block its length, site and start. The start is
// encoded as the difference from that of the previous block, in units of the block's
// own size. All numbers except the length are unsigned varints. Each chunk can be
// decoded without the others.

// EncodeBlocks writes blocks, which must be in the order of ComparePrefixes, as
// chunks of at most MaxChunkBytes. emit must copy the chunk to keep it. Memory
// is bounded by one chunk.
func EncodeBlocks(blocks iter.Seq2[netip.Prefix, string], emit func(chunk []byte) error) error {
	e := &encoder{emit: emit, siteNumbers: make(map[string]int)}
	for p, site := range blocks {
		if !p.IsValid() || p != p.Masked() || p.Addr().Is4In6() || p.Addr().Zone() != "" {
			return errors.Errorf("steer: block %s is not a prefix without host bits", p)
		}
		if e.last.IsValid() && ComparePrefixes(e.last, p) >= 0 {
			return errors.Errorf("steer: block %s comes after %s, blocks must be sorted and appear once", p, e.last)
		}
		if len(site) == 0 || len(site) > maxSiteNameLength {
			return errors.Errorf("steer: site %q of block %s is not a name of 1 to %d bytes", site, p, maxSiteNameLength)
		}
		if err := e.add(p, site); err != nil {
			return err
		}
	}
	return e.flush()
}

const (
	maxSiteNameLength = 255
	// maxBlockSize bounds the encoded size of one block with a new site: length,
	// site, start and name.
	maxBlockSize = 1 + binary.MaxVarintLen32 + 2*binary.MaxVarintLen64 + 2 + maxSiteNameLength
	// maxHeaderSize bounds the encoded size of the magic and the three numbers.
	maxHeaderSize = len(wireMagic) + 3*binary.MaxVarintLen64
)

type encoder struct {
	emit         func([]byte) error
	siteNumbers  map[string]int
	names        []byte
	body, out    []byte
	v4, v6       int
	last         netip.Prefix
	hi, lo       uint64
	isCutPending bool
}

func (e *encoder) add(p netip.Prefix, site string) error {
	if e.isCutPending || len(e.names)+len(e.body)+maxBlockSize+maxHeaderSize > MaxChunkBytes {
		if err := e.flush(); err != nil {
			return err
		}
	}
	n, ok := e.siteNumbers[site]
	if !ok {
		n = len(e.siteNumbers)
		e.siteNumbers[site] = n
		e.names = append(binary.AppendUvarint(e.names, uint64(len(site))), site...)
	}
	if p.Addr().Is6() && e.v6 == 0 {
		e.hi, e.lo = 0, 0
	}
	e.body = append(e.body, uint8(p.Bits()))
	e.body = binary.AppendUvarint(e.body, uint64(n))
	if p.Addr().Is4() {
		e.v4++
		hi := uint64(key4(p.Addr()))
		shift := uint(32 - p.Bits())
		e.body = binary.AppendUvarint(e.body, hi>>shift-e.hi>>shift)
		e.hi = hi
	} else {
		e.v6++
		hi, lo := key6(p.Addr())
		e.body = appendDelta6(e.body, hi, lo, e.hi, e.lo, p.Bits())
		e.hi, e.lo = hi, lo
	}
	e.last = p
	e.isCutPending = e.v4+e.v6 >= minChunkBlocks && prefixHash(p)&cutMask == 0
	return nil
}

func appendDelta6(body []byte, hi, lo, lastHi, lastLo uint64, length int) []byte {
	if length <= 64 {
		shift := uint(64 - length)
		return binary.AppendUvarint(body, hi>>shift-lastHi>>shift)
	}
	body = binary.AppendUvarint(body, hi-lastHi)
	if hi != lastHi {
		lastLo = 0
	}
	shift := uint(128 - length)
	return binary.AppendUvarint(body, lo>>shift-lastLo>>shift)
}

func (e *encoder) flush() error {
	if e.v4+e.v6 == 0 {
		return nil
	}
	e.out = append(e.out[:0], wireMagic...)
	e.out = binary.AppendUvarint(e.out, uint64(len(e.siteNumbers)))
	e.out = binary.AppendUvarint(e.out, uint64(e.v4))
	e.out = binary.AppendUvarint(e.out, uint64(e.v6))
	e.out = append(append(e.out, e.names...), e.body...)
	if err := e.emit(e.out); err != nil {
		return err
	}
	clear(e.siteNumbers)
	e.names, e.body = e.names[:0], e.body[:0]
	e.v4, e.v6, e.hi, e.lo, e.isCutPending = 0, 0, 0, 0, false
	return nil
}

// prefixHash is the same on every VM and in every version.
func prefixHash(p netip.Prefix) uint64 {
	var b [17]byte
	a := p.Addr().As16()
	copy(b[:], a[:])
	b[16] = uint8(p.Bits())
	return xxhash.Sum64(b[:])
}

// CountBlocks returns the numbers of blocks in the header of a chunk, so that a
// builder can reserve exactly the memory that it needs.
func CountBlocks(chunk []byte) (v4, v6 int, err error) {
	d := decoder{rest: chunk}
	_, v4, v6, err = d.header()
	return v4, v6, err
}

// DecodeBlocks reads one chunk and calls add for each block in order. It returns an
// error at the first block that is out of order or out of range, or if bytes follow
// the last block; add may have been called for earlier blocks.
func DecodeBlocks(chunk []byte, add func(p netip.Prefix, site string) error) error {
	d := decoder{rest: chunk}
	sites, v4, v6, err := d.header()
	if err != nil {
		return err
	}
	names := make([]string, sites)
	for i := range names {
		n := d.uvarint()
		if n == 0 || n > maxSiteNameLength || n > uint64(len(d.rest)) {
			return errors.New("steer: block chunk: length of a site name out of range")
		}
		names[i] = string(d.rest[:n])
		d.rest = d.rest[n:]
	}
	var last netip.Prefix
	for i := range v4 + v6 {
		if i == v4 {
			d.hi, d.lo = 0, 0
		}
		p, site, err := d.block(i < v4, uint64(sites))
		if err != nil {
			return errors.Wrapf(err, "steer: block chunk: block %d", i)
		}
		if last.IsValid() && ComparePrefixes(last, p) >= 0 {
			return errors.Errorf("steer: block chunk: block %d: %s comes after %s", i, p, last)
		}
		last = p
		if err := add(p, names[site]); err != nil {
			return err
		}
	}
	if len(d.rest) != 0 {
		return errors.Errorf("steer: block chunk: %d bytes after the last block", len(d.rest))
	}
	return nil
}

// BuildBlocks makes a table from chunks, which must be in the order in which they
// were emitted. It reserves exactly the memory of the table.
func BuildBlocks(chunks [][]byte) (*Blocks, error) {
	v4, v6 := 0, 0
	for _, c := range chunks {
		n4, n6, err := CountBlocks(c)
		if err != nil {
			return nil, err
		}
		v4, v6 = v4+n4, v6+n6
	}
	bb := NewBlocksBuilder(v4, v6)
	for _, c := range chunks {
		if err := DecodeBlocks(c, bb.Add); err != nil {
			return nil, err
		}
	}
	return bb.Build(), nil
}

type decoder struct {
	rest        []byte
	hi, lo      uint64
	isTruncated bool
}

func (d *decoder) header() (sites, v4, v6 int, err error) {
	if len(d.rest) > MaxChunkBytes {
		return 0, 0, 0, errors.Errorf("steer: block chunk of %d bytes, at most %d are accepted", len(d.rest), MaxChunkBytes)
	}
	if len(d.rest) < len(wireMagic) || string(d.rest[:len(wireMagic)]) != wireMagic {
		return 0, 0, 0, errors.New("steer: block chunk: unknown format")
	}
	d.rest = d.rest[len(wireMagic):]
	var n [3]uint64
	for i := range n {
		n[i] = d.uvarint()
		// Each site and block takes at least 2 bytes, so this bounds the memory that
		// a forged chunk can make the decoder allocate.
		if d.isTruncated || n[i] > uint64(len(d.rest)) {
			return 0, 0, 0, errors.New("steer: block chunk: numbers of sites and blocks exceed the chunk")
		}
	}
	return int(n[0]), int(n[1]), int(n[2]), nil
}

// uvarint reads a number. It sets isTruncated if the chunk ends first.
func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.isTruncated = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

var (
	errTruncated  = errors.New("chunk is truncated")
	errOutOfRange = errors.New("length, site or start out of range")
)

func (d *decoder) block(is4 bool, sites uint64) (netip.Prefix, uint64, error) {
	if len(d.rest) == 0 {
		return netip.Prefix{}, 0, errTruncated
	}
	n := int(d.rest[0])
	d.rest = d.rest[1:]
	site := d.uvarint()
	delta := d.uvarint()
	if site >= sites || n > 128 || (is4 && n > 32) {
		return netip.Prefix{}, 0, errOutOfRange
	}
	var p netip.Prefix
	if is4 {
		shift := uint(32 - n)
		unit := d.hi>>shift + delta
		if delta > 1<<32 || unit > (1<<32-1)>>shift {
			return p, 0, errOutOfRange
		}
		d.hi = unit << shift
		p = prefix4(uint32(d.hi), uint8(n))
	} else if !d.start6(n, delta) {
		return p, 0, errOutOfRange
	} else if p = prefix6(d.hi, d.lo, uint8(n)); p.Addr().Is4In6() {
		return p, 0, errOutOfRange
	}
	if d.isTruncated {
		return p, 0, errTruncated
	}
	return p, site, nil
}

// start6 advances hi and lo by delta to the start of a block of n bits. It returns
// false if the start is out of range.
func (d *decoder) start6(n int, delta uint64) bool {
	if n <= 64 {
		shift := uint(64 - n)
		unit := d.hi>>shift + delta
		if unit < delta || (shift > 0 && unit<<shift>>shift != unit) || (n == 0 && unit != 0) {
			return false
		}
		d.hi, d.lo = unit<<shift, 0
		return true
	}
	hi := d.hi + delta
	if hi < delta {
		return false
	}
	if delta != 0 {
		d.lo = 0
	}
	shift := uint(128 - n)
	step := d.uvarint()
	unit := d.lo>>shift + step
	if unit < step || unit<<shift>>shift != unit {
		return false
	}
	d.hi, d.lo = hi, unit<<shift
	return true
}
