package steer

import "math/bits"

// firstLevelBits is the binary logarithm of the number of buckets in the first level
// of a table, which takes 256 KB. The first level replaces about two thirds of the
// search steps, each of which is a dependent read.
const firstLevelBits = 16

// entry holds the site of a block, its length and whether it lies inside another
// block. Without the last, the look-up of an address in no block would search for an
// enclosing block at every length. One word takes a byte more than separate arrays
// and saves each look-up a cache miss or two.
type entry uint32

func newEntry(site uint16, bits uint8, isNested bool) entry {
	e := entry(site) | entry(bits)<<16
	if isNested {
		e |= 1 << 24
	}
	return e
}

func (e entry) site() uint16   { return uint16(e) }
func (e entry) bits() uint8    { return uint8(e >> 16) }
func (e entry) isNested() bool { return e>>24 != 0 }

// countAtMost returns how many of the sorted keys are at most k.
//
// Each round reads three keys and continues with a quarter of the range, so that the
// reads overlap; in a binary search each read would wait for the previous one. The
// comparisons are arithmetic, because half of all branches on them would be
// mispredicted.
func countAtMost[K uint32 | uint64](keys []K, k K) int {
	base, n := 0, len(keys)
	for n > 8 {
		quarter := n >> 2
		base += quarter * (lessOrEqual(keys[base+quarter], k) + lessOrEqual(keys[base+2*quarter], k) + lessOrEqual(keys[base+3*quarter], k))
		n -= 3 * quarter
	}
	count := base
	for _, key := range keys[base : base+n] {
		count += lessOrEqual(key, k)
	}
	return count
}

// lessOrEqual returns 1 if a <= b, else 0.
func lessOrEqual[K uint32 | uint64](a, b K) int {
	_, borrow := bits.Sub64(uint64(b), uint64(a), 0)
	return 1 - int(borrow)
}

// firstLevel is the first level of a table: the index at which the keys of each
// bucket begin. The buckets divide the range between the smallest and the largest key
// evenly, so that the few ranges in which IPv6 addresses are allocated are spread
// over many buckets.
type firstLevel[K uint32 | uint64] struct {
	starts []uint32
	low    K
	shift  uint
}

func newFirstLevel[K uint32 | uint64](keys []K) firstLevel[K] {
	if len(keys) == 0 {
		return firstLevel[K]{}
	}
	low, high := keys[0], keys[len(keys)-1]
	t := firstLevel[K]{low: low, shift: uint(max(0, bits.Len64(uint64(high-low))-firstLevelBits))}
	buckets := int((high-low)>>t.shift) + 1
	t.starts = make([]uint32, buckets+1)
	next := 0
	for i, k := range keys {
		for b := int((k - low) >> t.shift); next <= b; next++ {
			t.starts[next] = uint32(i)
		}
	}
	for ; next <= buckets; next++ {
		t.starts[next] = uint32(len(keys))
	}
	return t
}

// countAtMost returns how many of the keys are at most k.
func (t *firstLevel[K]) countAtMost(keys []K, k K) int {
	if len(keys) == 0 || k < t.low {
		return 0
	}
	b := uint64(k-t.low) >> t.shift
	if b+1 >= uint64(len(t.starts)) {
		return len(keys)
	}
	from := t.starts[b]
	return int(from) + countAtMost(keys[from:t.starts[b+1]], k)
}

func (t *firstLevel[K]) bytes() int { return 4 * cap(t.starts) }

// table4 holds IPv4 blocks sorted by start, then by length.
type table4 struct {
	top   firstLevel[uint32]
	start []uint32
	entry []entry
}

func (t *table4) len() int { return len(t.start) }

func (t *table4) bytes() int {
	return t.top.bytes() + 4*cap(t.start) + 4*cap(t.entry)
}

func (t *table4) reserve(n int) {
	t.start = make([]uint32, 0, n)
	t.entry = make([]entry, 0, n)
}

func (t *table4) add(start uint32, e entry) {
	t.start = append(t.start, start)
	t.entry = append(t.entry, e)
}

func (t *table4) buildFirstLevel() { t.top = newFirstLevel(t.start) }

func (t *table4) lookup(k uint32) Match {
	n := t.top.countAtMost(t.start, k)
	var m Match
	for i := n - 1; i >= 0; {
		e := t.entry[i]
		length, c := e.bits(), commonBits4(k, t.start[i])
		if c >= length {
			m.OK, m.Bits, m.Site, m.Scope = true, length, e.site(), max(m.Scope, length)
			break
		}
		// A block that starts before k and does not contain k limits the scope; the
		// nearest one shares the most bits with k.
		m.Scope = max(m.Scope, c+1)
		if !e.isNested() {
			break
		}
		// A block that contains both k and this block is at most c bits long.
		start := k &^ (1<<(32-c) - 1)
		for i = t.top.countAtMost(t.start, start) - 1; i >= 0 && t.start[i] == start && t.entry[i].bits() > c; {
			i--
		}
	}
	if n < len(t.start) {
		if c := commonBits4(k, t.start[n]); c >= m.Bits {
			m.Scope = max(m.Scope, c+1)
		}
	}
	return m
}

// table6 holds IPv6 blocks sorted by start, then by length.
type table6 struct {
	top firstLevel[uint64]
	hi  []uint64
	// lo is nil while every block has at most 64 bits, which halves the size of the
	// keys.
	lo    []uint64
	entry []entry
}

func (t *table6) len() int { return len(t.hi) }

func (t *table6) bytes() int {
	return t.top.bytes() + 8*cap(t.hi) + 8*cap(t.lo) + 4*cap(t.entry)
}

func (t *table6) reserve(n int) {
	t.hi = make([]uint64, 0, n)
	t.entry = make([]entry, 0, n)
}

func (t *table6) at(i int) (hi, lo uint64) {
	if t.lo != nil {
		lo = t.lo[i]
	}
	return t.hi[i], lo
}

func (t *table6) add(hi, lo uint64, e entry) {
	if lo != 0 && t.lo == nil {
		t.lo = make([]uint64, len(t.hi), cap(t.hi))
	}
	t.hi = append(t.hi, hi)
	if t.lo != nil {
		t.lo = append(t.lo, lo)
	}
	t.entry = append(t.entry, e)
}

func (t *table6) buildFirstLevel() { t.top = newFirstLevel(t.hi) }

// countAtMost returns the number of blocks whose start is at most the address.
func (t *table6) countAtMost(hi, lo uint64) int {
	n := t.top.countAtMost(t.hi, hi)
	if t.lo == nil || n == 0 || t.hi[n-1] != hi {
		return n
	}
	from := 0
	if hi > 0 {
		from = t.top.countAtMost(t.hi, hi-1)
	}
	return from + countAtMost(t.lo[from:n], lo)
}

func (t *table6) lookup(hi, lo uint64) Match {
	n := t.countAtMost(hi, lo)
	var m Match
	for i := n - 1; i >= 0; {
		startHi, startLo := t.at(i)
		e := t.entry[i]
		length, c := e.bits(), commonBits6(hi, lo, startHi, startLo)
		if c >= length {
			m.OK, m.Bits, m.Site, m.Scope = true, length, e.site(), max(m.Scope, length)
			break
		}
		m.Scope = max(m.Scope, c+1)
		if !e.isNested() {
			break
		}
		i = t.lastEnclosing(hi, lo, c)
	}
	if n < len(t.hi) {
		startHi, startLo := t.at(n)
		if c := commonBits6(hi, lo, startHi, startLo); c >= m.Bits {
			m.Scope = max(m.Scope, c+1)
		}
	}
	return m
}

// lastEnclosing returns the index of the last block that may contain both the
// address and a block that shares its first c bits. That is the last block that
// starts at or before the address cut to c bits; one that starts exactly there must
// be at most c bits long. It returns -1 if there is none.
func (t *table6) lastEnclosing(hi, lo uint64, c uint8) int {
	if c < 64 {
		hi, lo = hi&^(1<<(64-c)-1), 0
	} else {
		lo &^= 1<<(128-c) - 1
	}
	i := t.countAtMost(hi, lo) - 1
	for i >= 0 && t.entry[i].bits() > c {
		if startHi, startLo := t.at(i); startHi != hi || startLo != lo {
			break
		}
		i--
	}
	return i
}
