// Package store is the interface to the platform's key-value service, which holds all
// persistent state. Package kvhttp implements Store over the HTTP protocol that such
// services publish; other adapters can be added.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Errors of a Store. After any other error the outcome is unknown: a write may have
// taken effect.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the condition of a write was not met, and nothing was
	// written.
	ErrConflict = errors.New("store: condition not met")
	// ErrLeaseLost means that the lease no longer exists.
	ErrLeaseLost = errors.New("store: lease lost")
)

// LeaseID identifies a lease. The empty ID stands for no lease.
type LeaseID string

// Entry is a key with its value, index and lock holder.
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
	// Index must equal the index of the entry. Zero means that the key must not exist.
	Index uint64
	// LockKey, if not empty, is a key whose lock Lease must hold at the time of the
	// write.
	LockKey string
	Lease   LeaseID
}

// Store is the platform's key-value service. Implementations are safe for concurrent
// use. Each method makes one call to the service and respects the deadline of ctx.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes if the condition is met, and returns ErrConflict
	// otherwise. After any other error the outcome is unknown.
	CompareAndSwap(ctx context.Context, w Write) error
	// Delete removes key if its index is unchanged. Its errors are those of
	// CompareAndSwap.
	Delete(ctx context.Context, key string, index uint64) error
	// Watch returns the entry of key when its index exceeds after, or the unchanged
	// entry after wait. A missing key has index zero.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// GrantLease returns a lease that expires unless it is renewed within ttl.
	GrantLease(ctx context.Context, name string, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease, or returns ErrLeaseLost.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and releases the locks that it holds.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Lock acquires the lock of key for the lease and writes value. It returns
	// ErrConflict while another lease holds the lock.
	Lock(ctx context.Context, key string, value []byte, id LeaseID) error
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID         string
	DataCentre string
	Region     string
	// PeerAddress is the IP address and port at which other VMs reach this VM.
	PeerAddress string
	Leaving     bool
}

// VMLister reads the platform's list of live and leaving VMs. The list lags behind.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
