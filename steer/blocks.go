package steer

import (
	"cmp"
	"encoding/binary"
	"iter"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
)

// MaxSites is the largest number of sites in a block table; a site number takes
// two bytes.
const MaxSites = 1 << 16

// Blocks maps caller addresses to sites by the longest matching prefix. It is
// immutable and safe for concurrent use.
//
// Prefixes are stored in sorted arrays without pointers, which take 8 bytes for an
// IPv4 block and 12 bytes for an IPv6 block of at most 64 bits. A trie allocates
// each of its nodes, and two tries exceed the memory that a VM may spend for control;
// see README.md.
type Blocks struct {
	sites []string
	v4    table4
	v6    table6
}

// Match is the result of a look-up in the block table.
type Match struct {
	// Site is the number of the site, see Blocks.SiteName.
	Site uint16
	// Bits is the length of the matched block's prefix.
	Bits uint8
	// Scope is the shortest prefix length around the address within which
	// every address has the same match. It is longer than Bits where a more
	// specific block lies inside the matched one.
	Scope uint8
	// OK is false when no block contains the address. Bits is then zero.
	OK bool
}

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.v4.len() + b.v6.len() }

// Bytes returns the size of the arrays in bytes.
func (b *Blocks) Bytes() int {
	n := b.v4.bytes() + b.v6.bytes()
	for _, s := range b.sites {
		n += 16 + len(s)
	}
	return n
}

// Sites returns the names of the sites by number. The caller must not change it.
func (b *Blocks) Sites() []string { return b.sites }

// SiteName returns the name of a site number.
func (b *Blocks) SiteName(site uint16) string { return b.sites[site] }

// Lookup returns the longest block that contains addr. An IPv4-mapped IPv6 address
// is looked up as an IPv4 address.
func (b *Blocks) Lookup(addr netip.Addr) Match {
	addr = addr.Unmap()
	if addr.Is4() {
		return b.v4.lookup(key4(addr))
	}
	if !addr.IsValid() {
		return Match{}
	}
	return b.v6.lookup(key6(addr))
}

// All yields the blocks in sorted order, IPv4 first.
func (b *Blocks) All() iter.Seq2[netip.Prefix, string] {
	return func(yield func(netip.Prefix, string) bool) {
		for i, start := range b.v4.start {
			if !yield(prefix4(start, b.v4.entry[i].bits()), b.sites[b.v4.entry[i].site()]) {
				return
			}
		}
		for i := range b.v6.hi {
			hi, lo := b.v6.at(i)
			if !yield(prefix6(hi, lo, b.v6.entry[i].bits()), b.sites[b.v6.entry[i].site()]) {
				return
			}
		}
	}
}

// BlocksBuilder builds a table from sorted blocks. Its memory is bounded by the size
// of the table.
type BlocksBuilder struct {
	b           *Blocks
	siteNumbers map[string]uint16
	// enclosing holds the blocks that contain the last added one, itself included.
	enclosing []netip.Prefix
	last      netip.Prefix
}

// NewBlocksBuilder returns a builder with capacity for the given numbers of IPv4 and
// IPv6 blocks. More may be added; growing the arrays then takes more memory.
func NewBlocksBuilder(v4, v6 int) *BlocksBuilder {
	b := new(Blocks)
	b.v4.reserve(v4)
	b.v6.reserve(v6)
	return &BlocksBuilder{b: b, siteNumbers: make(map[string]uint16)}
}

// ComparePrefixes orders blocks as BlocksBuilder.Add expects them: IPv4 first,
// then by address, then the shorter prefix.
func ComparePrefixes(a, b netip.Prefix) int {
	if c := cmp.Compare(a.Addr().BitLen(), b.Addr().BitLen()); c != 0 {
		return c
	}
	if c := a.Addr().Compare(b.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(a.Bits(), b.Bits())
}

// Add appends a block. Blocks must be in the order of ComparePrefixes, unique and
// without host bits.
func (bb *BlocksBuilder) Add(p netip.Prefix, site string) error {
	if !p.IsValid() || p != p.Masked() || p.Addr().Is4In6() || p.Addr().Zone() != "" {
		return errors.Errorf("steer: block %s is not a prefix without host bits", p)
	}
	if bb.last.IsValid() && ComparePrefixes(bb.last, p) >= 0 {
		return errors.Errorf("steer: block %s comes after %s, blocks must be sorted and appear once", p, bb.last)
	}
	bb.last = p
	number, err := bb.siteNumber(site)
	if err != nil {
		return err
	}
	for len(bb.enclosing) > 0 && !bb.enclosing[len(bb.enclosing)-1].Overlaps(p) {
		bb.enclosing = bb.enclosing[:len(bb.enclosing)-1]
	}
	e := newEntry(number, uint8(p.Bits()), len(bb.enclosing) > 0)
	if p.Addr().Is4() {
		bb.b.v4.add(key4(p.Addr()), e)
	} else {
		hi, lo := key6(p.Addr())
		bb.b.v6.add(hi, lo, e)
	}
	bb.enclosing = append(bb.enclosing, p)
	return nil
}

func (bb *BlocksBuilder) siteNumber(site string) (uint16, error) {
	if n, ok := bb.siteNumbers[site]; ok {
		return n, nil
	}
	if len(bb.b.sites) == MaxSites {
		return 0, errors.Errorf("steer: site %q is one more than the %d that a table holds", site, MaxSites)
	}
	n := uint16(len(bb.b.sites))
	bb.b.sites = append(bb.b.sites, site)
	bb.siteNumbers[site] = n
	return n, nil
}

// Build returns the table. The builder must not be used afterwards.
func (bb *BlocksBuilder) Build() *Blocks {
	b := bb.b
	bb.b = nil
	b.v4.buildFirstLevel()
	b.v6.buildFirstLevel()
	return b
}

// NewBlocks builds a table from the blocks of a register, in any order. It is
// meant for registers that fit in JSON; large tables are built by BuildBlocks.
func NewBlocks(blocks []register.Block) (*Blocks, error) {
	sorted := slices.Clone(blocks)
	slices.SortFunc(sorted, func(a, b register.Block) int { return ComparePrefixes(a.Prefix, b.Prefix) })
	v4 := 0
	for i := range sorted {
		if sorted[i].Prefix.Addr().Is4() {
			v4++
		}
	}
	bb := NewBlocksBuilder(v4, len(sorted)-v4)
	for i := range sorted {
		if err := bb.Add(sorted[i].Prefix, sorted[i].Site); err != nil {
			return nil, err
		}
	}
	return bb.Build(), nil
}

func key4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func key6(a netip.Addr) (hi, lo uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}

func prefix4(start uint32, length uint8) netip.Prefix {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], start)
	return netip.PrefixFrom(netip.AddrFrom4(b), int(length))
}

func prefix6(hi, lo uint64, length uint8) netip.Prefix {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], hi)
	binary.BigEndian.PutUint64(b[8:], lo)
	return netip.PrefixFrom(netip.AddrFrom16(b), int(length))
}

// commonBits4 returns the number of leading bits that two IPv4 addresses share.
func commonBits4(a, b uint32) uint8 { return uint8(bits.LeadingZeros32(a ^ b)) }

func commonBits6(ahi, alo, bhi, blo uint64) uint8 {
	if ahi != bhi {
		return uint8(bits.LeadingZeros64(ahi ^ bhi))
	}
	return 64 + uint8(bits.LeadingZeros64(alo^blo))
}
