package once

import (
	"math"
	"unsafe"
)

// nameTable assigns indexes to the VM names that claims refer to, so that a claim
// needs only 4 bytes for its holder. It grows by one entry per VM that ever held
// a claim.
type nameTable struct {
	byName map[string]uint32
	list   []string
}

func newNameTable() *nameTable { return &nameTable{byName: make(map[string]uint32)} }

func (n *nameTable) indexOf(s string) uint32 {
	if i, ok := n.byName[s]; ok {
		return i
	}
	i := uint32(len(n.list))
	n.byName[s] = i
	n.list = append(n.list, s)
	return i
}

// entry is the compact form of a Claim in a Table. It takes 56 bytes.
type entry struct {
	key         Key
	fingerprint uint64
	incarnation uint64
	seq         uint64
	holder      uint32
	changed     uint32
	attempt     uint16
	status      uint16
	state       State
}

// Entries are stored in pages, so that growth copies no entries and reserves at
// most one page.
const (
	pageBits = 10
	pageSize = 1 << pageBits
)

// Table holds the claims of one partition. Entries are dense; an
// open-addressing index of 4-byte positions finds them by key.
type Table struct {
	names *nameTable
	pages [][]entry
	count int
	// index holds position+1, or 0 for a free slot. Its length is a power of two.
	index        []uint32
	expireCursor int
}

func newTable(n *nameTable) *Table { return &Table{names: n, index: make([]uint32, 16)} }

// Len returns the number of claims.
func (t *Table) Len() int { return t.count }

// Bytes returns the memory of the claims and their index.
func (t *Table) Bytes() int {
	return len(t.pages)*pageSize*int(unsafe.Sizeof(entry{})) + cap(t.index)*4
}

func (t *Table) entryAt(i int) *entry { return &t.pages[i>>pageBits][i&(pageSize-1)] }

// findSlot returns the index slot of the key, or the free slot in which the key
// would be inserted.
func (t *Table) findSlot(k Key) int {
	mask := len(t.index) - 1
	i := int(k.indexHash()) & mask
	for t.index[i] != 0 && t.entryAt(int(t.index[i]-1)).key != k {
		i = (i + 1) & mask
	}
	return i
}

// Get returns the claim of a key.
func (t *Table) Get(k Key) (Claim, bool) {
	i := t.index[t.findSlot(k)]
	if i == 0 {
		return Claim{}, false
	}
	return t.claimAt(int(i - 1)), true
}

func (t *Table) claimAt(i int) Claim {
	e := t.entryAt(i)
	return Claim{
		Key: e.key, Fingerprint: e.fingerprint, State: e.state, Attempt: e.attempt, Status: e.status,
		Holder: t.names.list[e.holder], Incarnation: e.incarnation, Seq: e.seq, Changed: e.changed,
	}
}

// put inserts or replaces a claim.
func (t *Table) put(c *Claim) {
	e := entry{
		key: c.Key, fingerprint: c.Fingerprint, incarnation: c.Incarnation, seq: c.Seq,
		holder: t.names.indexOf(c.Holder), changed: c.Changed, attempt: c.Attempt, status: c.Status, state: c.State,
	}
	slot := t.findSlot(c.Key)
	if i := t.index[slot]; i != 0 {
		*t.entryAt(int(i - 1)) = e
		return
	}
	if (t.count+1)*4 > len(t.index)*3 {
		t.grow()
		slot = t.findSlot(c.Key)
	}
	if t.count == len(t.pages)*pageSize {
		t.pages = append(t.pages, make([]entry, pageSize))
	}
	*t.entryAt(t.count) = e
	t.count++
	t.index[slot] = uint32(t.count)
}

func (t *Table) grow() {
	t.index = make([]uint32, 2*len(t.index))
	for i := 0; i < t.count; i++ {
		t.index[t.findSlot(t.entryAt(i).key)] = uint32(i + 1)
	}
}

// removeAt removes the entry at position i; the last entry takes its place.
func (t *Table) removeAt(i int) {
	t.freeSlot(t.findSlot(t.entryAt(i).key))
	last := t.count - 1
	if i != last {
		slot := t.findSlot(t.entryAt(last).key)
		*t.entryAt(i) = *t.entryAt(last)
		t.index[slot] = uint32(i + 1)
	}
	*t.entryAt(last) = entry{}
	t.count--
	if len(t.pages)*pageSize-t.count >= 2*pageSize {
		t.pages[len(t.pages)-1] = nil
		t.pages = t.pages[:len(t.pages)-1]
	}
}

// freeSlot frees an index slot. It moves later entries of the probe sequence
// back, so that the index needs no tombstones.
func (t *Table) freeSlot(slot int) {
	mask := len(t.index) - 1
	for next := (slot + 1) & mask; t.index[next] != 0; next = (next + 1) & mask {
		home := int(t.entryAt(int(t.index[next]-1)).key.indexHash()) & mask
		if (next-home)&mask >= (next-slot)&mask {
			t.index[slot] = t.index[next]
			slot = next
		}
	}
	t.index[slot] = 0
}

// remove removes the claim of a key.
func (t *Table) remove(k Key) {
	if i := t.index[t.findSlot(k)]; i != 0 {
		t.removeAt(int(i - 1))
	}
}

// expire examines up to limit entries, starting where the previous call stopped,
// and removes those that have not changed for retention seconds.
func (t *Table) expire(now, retention uint32, limit int) (removed int) {
	for ; limit > 0 && t.count > 0; limit-- {
		if t.expireCursor >= t.count {
			t.expireCursor = 0
		}
		if isExpired(t.entryAt(t.expireCursor).changed, now, retention) {
			t.removeAt(t.expireCursor)
			removed++
			continue
		}
		t.expireCursor++
	}
	return removed
}

// isExpired reports whether a claim is past its retention. It must be past it by a
// full second, because times are truncated to seconds.
func isExpired(changed, now, retention uint32) bool {
	return int64(now) > int64(changed)+int64(min(retention, math.MaxInt32))
}

// numPieces returns the number of pieces, of up to size claims each, into which
// the table is divided for copying. It is at least one.
func (t *Table) numPieces(size int) int { return max(1, (t.count+size-1)/size) }

// piece returns the claims of piece i. Pieces stay the same as long as the table
// does not change.
func (t *Table) piece(i, size int) []Claim {
	from, to := min(i*size, t.count), min((i+1)*size, t.count)
	out := make([]Claim, 0, to-from)
	for j := from; j < to; j++ {
		out = append(out, t.claimAt(j))
	}
	return out
}
