package once

import (
	"math"
	"unsafe"
)

// names numbers the VM names that claims refer to, so that a claim takes 4
// bytes for its holder. It grows by one entry per VM that ever held a claim.
type names struct {
	byName map[string]uint32
	list   []string
}

func newNames() *names { return &names{byName: make(map[string]uint32)} }

func (n *names) number(s string) uint32 {
	if i, ok := n.byName[s]; ok {
		return i
	}
	i := uint32(len(n.list))
	n.byName[s] = i
	n.list = append(n.list, s)
	return i
}

// entry is the compact form of a claim, 56 bytes.
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

// Entries live in pages, so that growth neither copies nor reserves more than
// one page.
const (
	pageBits = 10
	pageSize = 1 << pageBits
)

// Table holds the claims of one partition. Entries are dense; an
// open-addressing index of 4-byte positions finds them by key.
type Table struct {
	names *names
	pages [][]entry
	count int
	// index holds position+1, or 0 for a free slot. Its length is a power of two.
	index []uint32
	sweep int
}

func newTable(n *names) *Table { return &Table{names: n, index: make([]uint32, 16)} }

// Len returns the number of claims.
func (t *Table) Len() int { return t.count }

// Bytes returns the memory of the claims and their index.
func (t *Table) Bytes() int {
	return len(t.pages)*pageSize*int(unsafe.Sizeof(entry{})) + cap(t.index)*4
}

func (t *Table) at(i int) *entry { return &t.pages[i>>pageBits][i&(pageSize-1)] }

// find returns the index slot of the key, or the free slot where it belongs.
func (t *Table) find(k Key) int {
	mask := len(t.index) - 1
	i := int(k.slot()) & mask
	for t.index[i] != 0 && t.at(int(t.index[i]-1)).key != k {
		i = (i + 1) & mask
	}
	return i
}

// Get returns the claim of a key.
func (t *Table) Get(k Key) (Claim, bool) {
	i := t.index[t.find(k)]
	if i == 0 {
		return Claim{}, false
	}
	return t.claim(int(i - 1)), true
}

func (t *Table) claim(i int) Claim {
	e := t.at(i)
	return Claim{
		Key: e.key, Fingerprint: e.fingerprint, State: e.state, Attempt: e.attempt, Status: e.status,
		Holder: t.names.list[e.holder], Incarnation: e.incarnation, Seq: e.seq, Changed: e.changed,
	}
}

// put inserts or replaces a claim.
func (t *Table) put(c *Claim) {
	e := entry{
		key: c.Key, fingerprint: c.Fingerprint, incarnation: c.Incarnation, seq: c.Seq,
		holder: t.names.number(c.Holder), changed: c.Changed, attempt: c.Attempt, status: c.Status, state: c.State,
	}
	slot := t.find(c.Key)
	if i := t.index[slot]; i != 0 {
		*t.at(int(i - 1)) = e
		return
	}
	if (t.count+1)*4 > len(t.index)*3 {
		t.grow()
		slot = t.find(c.Key)
	}
	if t.count == len(t.pages)*pageSize {
		t.pages = append(t.pages, make([]entry, pageSize))
	}
	*t.at(t.count) = e
	t.count++
	t.index[slot] = uint32(t.count)
}

func (t *Table) grow() {
	t.index = make([]uint32, 2*len(t.index))
	for i := 0; i < t.count; i++ {
		t.index[t.find(t.at(i).key)] = uint32(i + 1)
	}
}

// removeAt removes the entry at position i; the last entry takes its place.
func (t *Table) removeAt(i int) {
	t.unindex(t.find(t.at(i).key))
	last := t.count - 1
	if i != last {
		slot := t.find(t.at(last).key)
		*t.at(i) = *t.at(last)
		t.index[slot] = uint32(i + 1)
	}
	*t.at(last) = entry{}
	t.count--
	if len(t.pages)*pageSize-t.count >= 2*pageSize {
		t.pages[len(t.pages)-1] = nil
		t.pages = t.pages[:len(t.pages)-1]
	}
}

// unindex frees a slot and moves later entries of the probe sequence back, so
// that no tombstones are needed.
func (t *Table) unindex(slot int) {
	mask := len(t.index) - 1
	for next := (slot + 1) & mask; t.index[next] != 0; next = (next + 1) & mask {
		home := int(t.at(int(t.index[next]-1)).key.slot()) & mask
		if (next-home)&mask >= (next-slot)&mask {
			t.index[slot] = t.index[next]
			slot = next
		}
	}
	t.index[slot] = 0
}

// remove removes the claim of a key.
func (t *Table) remove(k Key) {
	if i := t.index[t.find(k)]; i != 0 {
		t.removeAt(int(i - 1))
	}
}

// expire looks at up to limit entries, continuing where the last call stopped,
// and removes those that have not changed for retention seconds.
func (t *Table) expire(now, retention uint32, limit int) (removed int) {
	for ; limit > 0 && t.count > 0; limit-- {
		if t.sweep >= t.count {
			t.sweep = 0
		}
		if expired(t.at(t.sweep).changed, now, retention) {
			t.removeAt(t.sweep)
			removed++
			continue
		}
		t.sweep++
	}
	return removed
}

// expired tells whether retention is over. The extra second covers the
// truncation of times to seconds.
func expired(changed, now, retention uint32) bool {
	return int64(now) > int64(changed)+int64(min(retention, math.MaxInt32))
}

// pieces returns how many pieces of size claims the table has, at least one.
func (t *Table) pieces(size int) int { return max(1, (t.count+size-1)/size) }

// piece returns the claims of piece i. Pieces stay the same as long as the
// table does not change.
func (t *Table) piece(i, size int) []Claim {
	from, to := min(i*size, t.count), min((i+1)*size, t.count)
	out := make([]Claim, 0, to-from)
	for j := from; j < to; j++ {
		out = append(out, t.claim(j))
	}
	return out
}
