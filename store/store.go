// Package store is the interface to the platform's key-value service, the only
// place where state lasts. Package kvhttp adapts the published HTTP protocol of
// such services; other adapters implement Store.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Errors of a Store. Others mean that the outcome is unknown: a write may have
// taken effect.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the condition of a write did not hold and
	// nothing was written.
	ErrConflict = errors.New("store: condition not met")
	// ErrLeaseLost means that the lease does not exist any more.
	ErrLeaseLost = errors.New("store: lease lost")
)

// LeaseID names a lease. The empty ID is no lease.
type LeaseID string

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Index grows with every write to the key. It is never zero.
	Index uint64
	// Holder is the lease that holds the key's lock, or empty.
	Holder LeaseID
}

// Write is a conditional write of one key.
type Write struct {
	Key   string
	Value []byte
	// Index must be that of the entry; zero means that the key must not exist.
	Index uint64
	// LockKey, if not empty, must be locked by Lease at the time of the write.
	LockKey string
	Lease   LeaseID
}

// Store is the platform's service. Implementations are safe for concurrent use.
// Every method is one call to the service, and obeys the deadline of ctx.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes if the condition holds, and otherwise returns
	// ErrConflict. Any other error leaves the outcome unknown.
	CompareAndSwap(ctx context.Context, w Write) error
	// Delete removes key if it still has the index. Like CompareAndSwap
	// otherwise.
	Delete(ctx context.Context, key string, index uint64) error
	// Watch returns the entry of key once its index is greater than after, or
	// the unchanged entry when wait has passed. A missing key has index zero.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// GrantLease returns a lease that lapses unless it is renewed within ttl.
	GrantLease(ctx context.Context, name string, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease, or returns ErrLeaseLost.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and frees the locks that it holds.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Lock takes key's lock for the lease and writes value, or returns
	// ErrConflict while another lease holds it.
	Lock(ctx context.Context, key string, value []byte, id LeaseID) error
}

// VM is a line of the platform's list of VMs.
type VM struct {
	ID         string
	DataCentre string
	Region     string
	// PeerAddress is where the VM's peers reach it, an IP address and port.
	PeerAddress string
	Leaving     bool
}

// VMLister reads the platform's list of live and leaving VMs, which lags.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
