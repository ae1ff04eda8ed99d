package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/store"
)

// Lease is a lease of the platform's store. Its ID is unique in one epoch only: after a
// restore the store may give it to another VM.
type Lease struct {
	ID    store.LeaseID
	Epoch uint64
}

// errRestored means that the store was restored between two calls.
var errRestored = errors.New("entry: the store was restored while a record was written")

// rewriteSpread is the window over which the VMs write their records again after the
// store was restored. All VMs learn of the restore within a second; with two writes for
// each, 740 VMs then stay below the rate of the store.
const rewriteSpread = time.Second

// leasedRecord is a record of this VM in the store that exists as long as its lease is
// renewed. It is not safe for concurrent use.
type leasedRecord struct {
	registry Registry
	key      string
	ttl      time.Duration
	// lease is the one under which the record was written, or zero.
	lease Lease
}

// isOutdated reports whether the record was written in an earlier epoch of the store.
func (r *leasedRecord) isOutdated(epoch uint64) bool {
	return r.lease.ID != "" && r.lease.Epoch < epoch
}

// maintain renews the lease, or takes a new one and writes the record. epoch is the latest
// epoch of the store that this VM knows; a lease of an earlier one is dropped, neither
// renewed nor ended. If rewrite is set, it writes the record also under a lease that may
// still be valid, since the record was removed or is outdated.
func (r *leasedRecord) maintain(ctx context.Context, epoch uint64, value []byte, rewrite bool) error {
	if r.isOutdated(epoch) {
		r.lease = Lease{}
	}
	if r.lease.ID != "" && !rewrite {
		answered, err := r.registry.RenewLease(ctx, r.lease.ID)
		isLost := errors.Is(err, store.ErrLeaseLost) || err == nil && answered != r.lease.Epoch
		if !isLost {
			return err
		}
		r.lease = Lease{}
	}
	if r.lease.ID == "" {
		var err error
		if r.lease, err = r.registry.GrantLease(ctx, r.key, r.ttl); err != nil {
			r.lease = Lease{}
			return err
		}
	}
	answered, err := r.registry.Put(ctx, r.key, value, r.lease.ID)
	if err == nil && answered != r.lease.Epoch {
		err = errRestored
	}
	if err != nil {
		// The record may or may not have been written; the next attempt writes it again.
		r.lease = Lease{}
	}
	return err
}

// remove removes the record by its key. The lease expires by itself: its ID may have been
// given to another VM since.
func (r *leasedRecord) remove(ctx context.Context) error {
	r.lease = Lease{}
	return r.registry.Delete(ctx, r.key)
}
