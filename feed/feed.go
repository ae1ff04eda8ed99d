// Package feed keeps a copy of the platform's records on every VM. A few VMs watch the
// platform's store; the others follow one of them, which relays its copy. A VM falls
// back to the store when its relay does not answer or has lost the store.
package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/history"
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
	// Position is the one up to which the answer is complete. All records are of its
	// epoch.
	history.Position
	// HasEarlier says that a relay knows more of the epoch before, see relaySource.Earlier.
	HasEarlier bool
	// Age is the time since the store confirmed Revision. It is zero in answers of the
	// store itself.
	Age time.Duration
	// Steady is how long a relay had been in contact with the store, without a gap, when the
	// store confirmed Revision. It is zero if that is not known, and in answers of the store.
	Steady time.Duration
}

// ErrCompacted is returned by a source that does not have the changes after the
// requested position: it no longer keeps them, or is in a later epoch. The whole state
// must be read instead.
var ErrCompacted = errors.New("feed: history is no longer kept")

// ErrOutdated is returned for a source that is behind this VM.
var ErrOutdated = errors.New("feed: the source is behind this VM")

// Source provides records: the store, or another VM that relays them.
type Source interface {
	// Read returns the whole state.
	Read(ctx context.Context) (Answer, error)
	// Watch returns the changes after a position. If there are none, it waits up to wait
	// for one. The answer may be of a later epoch, and its records then lack those before
	// them.
	Watch(ctx context.Context, after history.Position, wait time.Duration) (Answer, error)
}

// Lister reads part of the state.
type Lister interface {
	// List returns the records whose keys begin with a prefix. They may be a few
	// seconds old.
	List(ctx context.Context, prefix string) (Answer, error)
}

// Sink receives the records of a Follower. Its methods are never called concurrently.
type Sink interface {
	// Reset replaces the whole state by that of a position. It is called before Apply,
	// except that a starting Follower first passes the records of relays to Apply. A
	// later epoch than before means that the store was restored from an older copy.
	Reset(now time.Time, at history.Position, records []Record)
	// Apply receives changes of an epoch; records is empty if an answer had none. The same
	// record may be delivered more than once.
	Apply(now time.Time, epoch uint64, records []Record)
	// ReportContact reports contact with the store, directly or through a relay, or that
	// the store failed to answer this VM. It is called before the records of the same
	// answer are delivered. Steady is how long this VM or its relay has been in contact with
	// the store without a gap: in that time the store had no outage.
	ReportContact(now time.Time, steady time.Duration, failed bool)
}
