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
	// receivedAt is the uptime at which the first VM received the change from the store, as far
	// as it is known.
	receivedAt time.Duration
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
	// Lag is how long ago the first VM received the oldest of the changes from the store. It is
	// zero in answers of the store, with the whole state, and of older releases.
	Lag time.Duration
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

// Origin says where records come from.
type Origin struct {
	// Source is the address of a relay, or "store".
	Source string
	// SentAt is the uptime at which the request was sent. The source had these records then, or
	// received them later.
	SentAt time.Duration
	// Position is the one up to which the records are complete. Its revision is zero if they
	// are a part of the state.
	Position history.Position
	// Lag is how long ago the first VM received the oldest of the changes from the store. It is
	// zero if the store sent them to this VM, and where an older release relays them.
	Lag time.Duration
}

// Contact is a contact with the store, directly or through a relay, or a failure of the store to
// answer this VM.
type Contact struct {
	// Steady is how long this VM or its relay has been in contact with the store without a gap:
	// in that time the store had no outage.
	Steady time.Duration
	Failed bool
	// IsWhole says that the whole state was read, so that changes since the last answer may be missing.
	IsWhole bool
	// Age is the time since the store confirmed the records.
	Age time.Duration
	// SentAt is the uptime at which the request was sent.
	SentAt time.Duration
}

// Sink receives the records of a Follower. Its methods are never called concurrently.
type Sink interface {
	// Reset replaces the whole state by that of o.Position. It is called before Apply,
	// except that a starting Follower first passes the records of relays to Apply. A
	// later epoch than before means that the store was restored from an older copy.
	Reset(now time.Time, o Origin, records []Record)
	// Apply receives changes of the epoch of o.Position; records is empty if an answer had none.
	// The same record may be delivered more than once.
	Apply(now time.Time, o Origin, records []Record)
	// ReportContact is called before the records of the same answer are delivered.
	ReportContact(now time.Time, c Contact)
}
