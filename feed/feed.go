// Package feed keeps a copy of the platform's records on every VM. A few VMs
// follow the platform's store; the others follow one of those, which relays what
// it hears. Each VM goes to the store by itself when its relay falls silent or
// loses touch with the store.
package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Record is a key of the store with its value, or its removal. Keys and values
// are opaque here.
type Record struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"x,omitempty"`
}

// Answer is what a source returned.
type Answer struct {
	// Records of a Read are the whole state, those of a Watch the changes.
	Records []Record
	// Revision up to which the answer is complete.
	Revision uint64
	// Age is how long ago the store confirmed that, zero for the store itself.
	Age time.Duration
}

// ErrCompacted means that the source no longer has the changes after a revision,
// so that the whole state must be read.
var ErrCompacted = errors.New("feed: history is no longer kept")

// Source is where records come from.
type Source interface {
	// Read returns the whole state.
	Read(ctx context.Context) (Answer, error)
	// Watch returns the changes after a revision, waiting up to wait for one.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Answer, error)
}

// Lister is a Source that also reads part of the state.
type Lister interface {
	// List returns the records whose keys begin with a prefix, as of some seconds
	// ago at most.
	List(ctx context.Context, prefix string) (Answer, error)
}

// Sink takes what a Follower learns. Its methods are called one at a time.
type Sink interface {
	// Reset replaces everything by the whole state as of a revision. It comes
	// first, but for the records of relays that a starting Follower hands to Apply.
	Reset(now time.Time, revision uint64, records []Record)
	// Apply takes changes, none if an answer brought none. Records may come again.
	Apply(now time.Time, records []Record)
	// Touch reports contact with the store, directly or through a relay, or that
	// the store failed this VM. It comes before the records of the same answer.
	// Age is that of the newest confirmation.
	Touch(now time.Time, age time.Duration, failed bool)
}
