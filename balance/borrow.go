package balance

// Borrowing a slot of another entry VM may make that VM's work wait, so it is for
// work that would otherwise wait at least this many mean service times here. An
// instance with few slots is full more often, and then frees one more seldom, so
// that a borrowed slot is worth less: short work waits for borrowAfterShort over
// the slots of an instance.
const (
	borrowAfterShort = 3.0
	borrowAfterLong  = 4.0
)

// The limit on borrowed slots grows while borrowed work is answered in normal
// time and shrinks when it waits. Less than 1 % of normal work takes borrowSlow
// times the mean.
const (
	borrowSlow   = 5
	borrowGrow   = 0.25
	borrowShrink = 0.85
)

func (b *Balancer) mayBorrow(c Class) bool {
	if float64(b.borrowed[c-1]) >= b.borrowLimit[c-1] {
		return false
	}
	after := borrowAfterShort / b.meanSlots
	if c == Long {
		after = borrowAfterLong
	}
	return b.ownSlots == 0 || b.wait(c) > after*b.service[c-1].mean
}

// borrowDraws bounds the search for two instances to compare.
const borrowDraws = 8

// chooseBorrowed compares two random instances by work of this VM, and by the
// hint of load reports, as the work of other VMs isn't seen.
func (b *Balancer) chooseBorrowed(t int64, except int32) int32 {
	first, n := int32(none), len(b.active)
	for range borrowDraws {
		i := b.active[b.random(n)]
		in := &b.instances[i]
		if i == except || i == first || in.total() >= b.borrowCap(in) || in.rampFrom != never || b.slow(in, t) {
			continue
		}
		if first == none {
			first = i
			continue
		}
		if b.load(in, t) < b.load(&b.instances[first], t) {
			return i
		}
		return first
	}
	return first
}

// borrowCap is the work that this VM puts on one instance, borrowed slots included.
func (b *Balancer) borrowCap(in *instance) int32 {
	return min(in.limit, max(in.own+1, in.slots))
}

// adaptBorrow shrinks the limit at most once in the time that slow work takes, as
// the answers that come together tell of the same wait.
func (b *Balancer) adaptBorrow(t int64, c Class, x float64) {
	l := &b.borrowLimit[c-1]
	if x <= borrowSlow {
		*l += borrowGrow
	} else if float64(t-b.borrowCut[c-1]) > borrowSlow*b.service[c-1].mean {
		b.borrowCut[c-1] = t
		*l *= borrowShrink
	}
	*l = min(max(*l, 1, float64(b.ownSlots)/10), float64(b.ownSlots)*float64(b.peers)+1)
}
