package steer

import "math/bits"

// topBits is the logarithm of the number of buckets in the first level of a
// table, which takes 256 KB. It replaces about two thirds of the search steps,
// and each step is a dependent read.
const topBits = 16

// entry is what a table keeps for a block besides its start: the site, the
// length, and whether the block lies inside another one. Without the latter, an
// address in no block would search for an outer block at every length. One word
// costs a byte more than separate arrays and saves a cache miss or two of each
// look-up.
type entry uint32

func newEntry(site uint16, bits uint8, inner bool) entry {
	e := entry(site) | entry(bits)<<16
	if inner {
		e |= 1 << 24
	}
	return e
}

func (e entry) site() uint16 { return uint16(e) }
func (e entry) bits() uint8  { return uint8(e >> 16) }
func (e entry) inner() bool  { return e>>24 != 0 }

// last returns the number of keys in the sorted keys that are at most k.
//
// Each round reads three keys at once and keeps a quarter, so that the reads
// overlap; with one key a round each read would wait for the one before. The
// comparisons are arithmetic, because half of all branches on them would be
// mispredicted.
func last[K uint32 | uint64](keys []K, k K) int {
	base, n := 0, len(keys)
	for n > 8 {
		quarter := n >> 2
		base += quarter * (atMost(keys[base+quarter], k) + atMost(keys[base+2*quarter], k) + atMost(keys[base+3*quarter], k))
		n -= 3 * quarter
	}
	count := base
	for _, key := range keys[base : base+n] {
		count += atMost(key, k)
	}
	return count
}

// atMost is 1 if a <= b and else 0.
func atMost[K uint32 | uint64](a, b K) int {
	_, borrow := bits.Sub64(uint64(b), uint64(a), 0)
	return 1 - int(borrow)
}

// top is the first level of a table: where the keys of each bucket begin. Buckets
// divide the range between the smallest and the largest key evenly, so that the
// few ranges in which IPv6 addresses are allocated spread over many of them.
type top[K uint32 | uint64] struct {
	from  []uint32
	low   K
	shift uint
}

func newTop[K uint32 | uint64](keys []K) top[K] {
	if len(keys) == 0 {
		return top[K]{}
	}
	low, high := keys[0], keys[len(keys)-1]
	t := top[K]{low: low, shift: uint(max(0, bits.Len64(uint64(high-low))-topBits))}
	buckets := int((high-low)>>t.shift) + 1
	t.from = make([]uint32, buckets+1)
	next := 0
	for i, k := range keys {
		for b := int((k - low) >> t.shift); next <= b; next++ {
			t.from[next] = uint32(i)
		}
	}
	for ; next <= buckets; next++ {
		t.from[next] = uint32(len(keys))
	}
	return t
}

// last returns the number of keys that are at most k.
func (t *top[K]) last(keys []K, k K) int {
	if len(keys) == 0 || k < t.low {
		return 0
	}
	b := uint64(k-t.low) >> t.shift
	if b+1 >= uint64(len(t.from)) {
		return len(keys)
	}
	from := t.from[b]
	return int(from) + last(keys[from:t.from[b+1]], k)
}

func (t *top[K]) bytes() int { return 4 * cap(t.from) }

// table4 holds IPv4 blocks sorted by start, then by length.
type table4 struct {
	top   top[uint32]
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

func (t *table4) finish() { t.top = newTop(t.start) }

func (t *table4) lookup(k uint32) Match {
	n := t.top.last(t.start, k)
	var m Match
	for i := n - 1; i >= 0; {
		e := t.entry[i]
		length, c := e.bits(), common4(k, t.start[i])
		if c >= length {
			m.OK, m.Bits, m.Site, m.Scope = true, length, e.site(), max(m.Scope, length)
			break
		}
		// A block before k that does not contain k limits the scope; the
		// nearest one shares the most bits.
		m.Scope = max(m.Scope, c+1)
		if !e.inner() {
			break
		}
		// A block that contains both k and this block has at most the c bits
		// that they share.
		start := k &^ (1<<(32-c) - 1)
		for i = t.top.last(t.start, start) - 1; i >= 0 && t.start[i] == start && t.entry[i].bits() > c; {
			i--
		}
	}
	if n < len(t.start) {
		if c := common4(k, t.start[n]); c >= m.Bits {
			m.Scope = max(m.Scope, c+1)
		}
	}
	return m
}

// table6 holds IPv6 blocks sorted by start, then by length.
type table6 struct {
	top top[uint64]
	hi  []uint64
	// lo is nil while every block has at most 64 bits, which halves the keys.
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

func (t *table6) finish() { t.top = newTop(t.hi) }

// search returns the number of blocks whose start is at most the address.
func (t *table6) search(hi, lo uint64) int {
	n := t.top.last(t.hi, hi)
	if t.lo == nil || n == 0 || t.hi[n-1] != hi {
		return n
	}
	from := 0
	if hi > 0 {
		from = t.top.last(t.hi, hi-1)
	}
	return from + last(t.lo[from:n], lo)
}

func (t *table6) lookup(hi, lo uint64) Match {
	n := t.search(hi, lo)
	var m Match
	for i := n - 1; i >= 0; {
		startHi, startLo := t.at(i)
		e := t.entry[i]
		length, c := e.bits(), common6(hi, lo, startHi, startLo)
		if c >= length {
			m.OK, m.Bits, m.Site, m.Scope = true, length, e.site(), max(m.Scope, length)
			break
		}
		m.Scope = max(m.Scope, c+1)
		if !e.inner() {
			break
		}
		i = t.outer(hi, lo, c)
	}
	if n < len(t.hi) {
		startHi, startLo := t.at(n)
		if c := common6(hi, lo, startHi, startLo); c >= m.Bits {
			m.Scope = max(m.Scope, c+1)
		}
	}
	return m
}

// outer returns the last block that starts at most at the first c bits of the
// address and is not longer than c bits if it starts there.
func (t *table6) outer(hi, lo uint64, c uint8) int {
	if c < 64 {
		hi, lo = hi&^(1<<(64-c)-1), 0
	} else {
		lo &^= 1<<(128-c) - 1
	}
	i := t.search(hi, lo) - 1
	for i >= 0 && t.entry[i].bits() > c {
		if startHi, startLo := t.at(i); startHi != hi || startLo != lo {
			break
		}
		i--
	}
	return i
}
