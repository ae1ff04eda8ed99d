// Package membudget bounds the bytes that a VM holds for its callers. Bytes are reserved
// before they are allocated and released exactly once.
package membudget

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/currantferry/currantferry/invariant"
)

const (
	// tightShare is the used share of a budget from which on callers are closed.
	tightShare = 0.65
	// An account that holds more than smallBytes can use bulkShare of the budget only. The rest
	// is for connections, heads and small bodies, so that callers with large ones can't keep
	// ordinary callers out.
	bulkShare  = 0.75
	smallBytes = 96 << 10
)

// Budget is a number of bytes that many accounts share. It is safe for concurrent use.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// New returns a budget of the given bytes. Zero means no limit.
func New(limit int64) *Budget {
	b := new(Budget)
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. Zero means none. Bytes above a lowered limit stay reserved
// until they are released.
func (b *Budget) SetLimit(limit int64) {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	b.limit.Store(limit)
}

// Reserve reserves n bytes, or none and returns false if fewer are left.
func (b *Budget) Reserve(n int64) bool { return b.reserve(n, b.limit.Load()) }

func (b *Budget) reserve(n, limit int64) bool {
	for {
		used := b.used.Load()
		if n > limit-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	if left := b.used.Add(-n); left < 0 {
		invariant.Check(invariant.MemoryReleasedOnce, false, "%d bytes are reserved after a release of %d", left, n)
	}
}

// Used returns the reserved bytes, Limit the limit.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the limit in bytes; without one it is math.MaxInt64.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Excess returns by how many bytes the budget is too nearly used up.
func (b *Budget) Excess() int64 {
	return max(0, b.Used()-int64(tightShare*float64(b.Limit())))
}

// Account is what one connection holds of a budget. It is safe for concurrent use.
type Account struct {
	budget *Budget
	mu     sync.Mutex
	held   int64
	closed bool
}

// Account returns an empty account.
func (b *Budget) Account() *Account { return &Account{budget: b} }

// Reserve reserves n bytes, or none and returns false if fewer are left or the account is
// closed. For accounts that hold much, part of the budget is left to others.
func (a *Account) Reserve(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.budget.limit.Load()
	if a.held+n > smallBytes {
		limit = int64(bulkShare * float64(limit))
	}
	if a.closed || !a.budget.reserve(n, limit) {
		return false
	}
	a.held += n
	return true
}

// Release returns n bytes. After Close, which returned them, it does nothing.
func (a *Account) Release(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if n > a.held {
		invariant.Check(invariant.MemoryReleasedOnce, false, "%d bytes released of %d held", n, a.held)
		n = a.held
	}
	a.held -= n
	a.budget.Release(n)
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Close releases everything that the account holds. It may be called several times.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.budget.Release(a.held)
	a.held = 0
}
