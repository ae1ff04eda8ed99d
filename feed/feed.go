// Package feed keeps a copy of the platform's records on every VM. A few VMs watch the
// platform's store; the others follow one of them, which relays its copy. A VM falls
// back to the store when its relay does not answer or has lost the store.
package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Record is a key of the store with its value, or the removal of the key. Package feed
// does not interpret keys and values.
type Record struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"x,omitempty"`
}

// Answer is the answer of a Source.
type Answer struct {
	// Records holds the whole state after a Read, and the changes after a Watch.
	Records []Record
	// Revision is the revision up to which the answer is complete.
	Revision uint64
	// Epoch counts how often the store was restored from a copy. Zero means that the
	// store does not tell.
	Epoch uint64
	// Age is the time since the store confirmed Revision. It is zero in answers of the
	// store itself.
	Age time.Duration
}

// ErrCompacted is returned by a source that no longer keeps the changes after the
// requested revision. The whole state must be read instead.
var ErrCompacted = errors.New("feed: history is no longer kept")

// Source provides records: the store, or another VM that relays them.
type Source interface {
	// Read returns the whole state.
	Read(ctx context.Context) (Answer, error)
	// Watch returns the changes after a revision. If there are none, it waits up to
	// wait for one.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Answer, error)
}

// Lister reads part of the state.
type Lister interface {
	// List returns the records whose keys begin with a prefix. They may be a few
	// seconds old.
	List(ctx context.Context, prefix string) (Answer, error)
}

// Sink receives the records of a Follower. Its methods are never called concurrently.
type Sink interface {
	// Reset replaces the whole state by that of a revision. It is called before Apply,
	// except that a starting Follower first passes the records of relays to Apply.
	Reset(now time.Time, revision uint64, records []Record)
	// Apply receives changes; records is empty if an answer had none. The same record
	// may be delivered more than once.
	Apply(now time.Time, records []Record)
	// ReportContact reports contact with the store, directly or through a relay, or that
	// the store failed to answer this VM. It is called before the records of the same
	// answer are delivered. Age is the time since the store's latest confirmation.
	ReportContact(now time.Time, age time.Duration, failed bool)
}
