package balance

// Borrowing a slot of another entry VM may delay that VM's requests, so only a
// request that would otherwise wait at least this many mean service times borrows.
// For short work the bound is borrowWaitShort divided by the slots of an instance:
// an instance with few slots is full more often and frees a slot less often, so
// that a borrowed slot on it is worth less.
const (
	borrowWaitShort = 3.0
	borrowWaitLong  = 4.0
)

// The limit on borrowed slots grows while borrowed work is answered in normal time
// and shrinks when it takes longer than borrowSlowFactor times the mean, as less
// than 1 % of normal work does.
const (
	borrowSlowFactor  = 5
	borrowLimitStep   = 0.25
	borrowLimitFactor = 0.85
)

// canBorrow reports whether a request of class c may borrow a slot now.
func (b *Balancer) canBorrow(c Class) bool {
	if float64(b.borrowed[c-1]) >= b.borrowLimit[c-1] {
		return false
	}
	minWait := borrowWaitShort / b.meanSlots
	if c == Long {
		minWait = borrowWaitLong
	}
	return b.ownSlots == 0 || b.expectedWait(c) > minWait*b.classEstimates[c-1].mean
}

// maxBorrowDraws limits the random draws for two instances to compare.
const maxBorrowDraws = 8

// chooseBorrowed compares two random instances by this VM's requests on them and
// by their load reports, the only information about the requests of other VMs.
func (b *Balancer) chooseBorrowed(t int64, except int32) int32 {
	candidate, n := int32(none), len(b.active)
	for range maxBorrowDraws {
		i := b.active[b.random(n)]
		in := &b.instances[i]
		if i == except || i == candidate || in.total() >= b.maxInFlight(in) || in.rampStart != never || b.isSlow(in, t) {
			continue
		}
		if candidate == none {
			candidate = i
			continue
		}
		if b.load(in, t) < b.load(&b.instances[candidate], t) {
			return i
		}
		return candidate
	}
	return candidate
}

// maxInFlight limits this VM's requests on one instance, borrowed slots included.
func (b *Balancer) maxInFlight(in *instance) int32 {
	return min(in.connectionLimit, max(in.own+1, in.slots))
}

// adaptBorrowLimit adjusts the limit to the relative latency of a borrowed request.
// It reduces the limit at most once in the time that slow work takes, since answers
// that arrive together were delayed by the same cause.
func (b *Balancer) adaptBorrowLimit(t int64, c Class, relLatency float64) {
	l := &b.borrowLimit[c-1]
	if relLatency <= borrowSlowFactor {
		*l += borrowLimitStep
	} else if float64(t-b.borrowLimitCutAt[c-1]) > borrowSlowFactor*b.classEstimates[c-1].mean {
		b.borrowLimitCutAt[c-1] = t
		*l *= borrowLimitFactor
	}
	*l = min(max(*l, 1, float64(b.ownSlots)/10), float64(b.ownSlots)*float64(b.peers)+1)
}
