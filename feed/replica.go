package feed

import (
	"sort"
	"sync"
	"time"

	"github.com/currantferry/currantferry/history"
)

// maxHistory and maxHistoryBytes bound the changes that a replica keeps for its followers, by
// number and by the size of their keys and values. A large configuration is most of a
// megabyte, and each version of it counts. Followers that are further behind read the
// whole state.
const (
	maxHistory      = 4096
	maxHistoryBytes = 8 << 20
)

// replica is a copy of the records with the latest changes. It decides which answers
// continue it. It is safe for concurrent use.
type replica struct {
	mu      sync.Mutex
	records map[string]Record
	// changes holds the latest changes of the present epoch, ordered by revision. Those up
	// to compactedRevision are no longer kept.
	changes           []Record
	historyBytes      int
	compactedRevision uint64
	at                history.Position
	// confirmedAt is the uptime at which the store last confirmed at.
	confirmedAt time.Duration
	// steadySince is the uptime from which on the store was in contact with this VM or its
	// relay without a gap. Zero means that the contact was lost.
	steadySince time.Duration
	// maxGap is the longest time between two confirmations without a gap.
	maxGap  time.Duration
	loaded  bool
	changed chan struct{}
	// removed holds the records that were removed lately, and earlier what was known at the
	// end of the epoch before and differs from the state after the restore.
	removed map[string]removedRecord
	earlier earlierEpoch
}

func newReplica() *replica {
	return &replica{maxGap: DefaultMaxAge, records: make(map[string]Record), changed: make(chan struct{}), removed: make(map[string]removedRecord)}
}

// load replaces the state by that of an answer. It returns ErrOutdated if the answer is
// older than the replica, or than minPosition. Followers at an older position must read
// the whole state.
func (c *replica) load(uptime time.Duration, a *Answer, minPosition history.Position) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded && a.Before(c.at) || a.Before(minPosition) {
		return ErrOutdated
	}
	records := make(map[string]Record, len(a.Records))
	for _, r := range a.Records {
		records[r.Key] = r
	}
	if c.at.Epoch != a.Epoch {
		// A confirmation of the old epoch says nothing about the new one.
		c.confirmedAt = 0
		if c.loaded {
			c.beginEpoch(uptime, records)
		}
	}
	c.records = records
	c.changes, c.historyBytes, c.compactedRevision, c.at, c.loaded = nil, 0, a.Revision, a.Position, true
	c.confirm(uptime, a)
	c.wake()
	return nil
}

// apply stores the changes of an answer and returns those that were new. It returns
// ErrCompacted if the answer is of a later epoch, so that the whole state must be read,
// and ErrOutdated if it is of an earlier one.
func (c *replica) apply(uptime time.Duration, a *Answer) ([]Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.Epoch > c.at.Epoch:
		return nil, ErrCompacted
	case a.Epoch < c.at.Epoch:
		return nil, ErrOutdated
	}
	var changes []Record
	for _, r := range a.Records {
		if r.Revision <= c.at.Revision {
			continue
		}
		r.receivedAt = uptime - a.Lag
		changes = append(changes, r)
		delete(c.earlier.records, r.Key)
		if r.Removed {
			c.recordRemoval(uptime, r)
			delete(c.records, r.Key)
		} else {
			c.records[r.Key] = r
		}
	}
	c.appendChanges(changes)
	c.confirm(uptime, a)
	if a.Revision > c.at.Revision {
		c.at.Revision = a.Revision
		c.wake()
	}
	return changes, nil
}

// appendChanges adds changes to the history and drops the oldest beyond its bounds. The
// caller holds the lock.
func (c *replica) appendChanges(changes []Record) {
	for i := range changes {
		c.historyBytes += changes[i].size()
	}
	c.changes = append(c.changes, changes...)
	excess := max(0, len(c.changes)-maxHistory)
	for i := range excess {
		c.historyBytes -= c.changes[i].size()
	}
	for excess < len(c.changes) && c.historyBytes > maxHistoryBytes {
		c.historyBytes -= c.changes[excess].size()
		excess++
	}
	if excess > 0 {
		c.compactedRevision = c.changes[excess-1].Revision
		c.changes = append([]Record(nil), c.changes[excess:]...)
	}
}

// size returns the bytes of a record's key and value.
func (r *Record) size() int { return len(r.Key) + len(r.Value) }

// confirm records a confirmation by the store. One that arrives through a relay can be
// older than the latest known one and is then ignored. The caller holds the lock.
func (c *replica) confirm(uptime time.Duration, a *Answer) {
	confirmedAt := uptime - a.Age
	if c.steadySince == 0 || confirmedAt-c.confirmedAt > c.maxGap {
		c.steadySince = confirmedAt
	}
	c.steadySince = min(c.steadySince, max(1, confirmedAt-a.Steady))
	if confirmedAt > c.confirmedAt || c.confirmedAt == 0 {
		c.confirmedAt = confirmedAt
	}
}

// loseContact records that the store failed to answer this VM.
func (c *replica) loseContact() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steadySince = 0
}

// steady returns how long the store has been in contact without a gap when it last confirmed
// the position. The caller holds the lock.
func (c *replica) steady() time.Duration {
	if c.steadySince == 0 {
		return 0
	}
	return max(0, c.confirmedAt-c.steadySince)
}

// wake wakes the requests that wait for a change. The caller holds the lock.
func (c *replica) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// state returns the whole state, or false if none is loaded yet, and a channel that is
// closed at the next change.
func (c *replica) state(uptime time.Duration) (Answer, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return Answer{}, c.changed, false
	}
	a := Answer{Position: c.at, Age: uptime - c.confirmedAt, Steady: c.steady()}
	for _, r := range c.records {
		a.Records = append(a.Records, r)
	}
	sort.Slice(a.Records, func(i, j int) bool { return a.Records[i].Key < a.Records[j].Key })
	return a, c.changed, true
}

// changesAfter returns the changes after a position, and a channel that is closed at the
// next change. It returns ErrCompacted if they are not kept or the replica is in a later
// epoch, and ErrOutdated if it is in an earlier one.
func (c *replica) changesAfter(uptime time.Duration, after history.Position) (Answer, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.loaded && after.Epoch > c.at.Epoch:
		return Answer{}, nil, ErrOutdated
	case !c.loaded || after.Epoch < c.at.Epoch || after.Revision < c.compactedRevision:
		return Answer{}, nil, ErrCompacted
	}
	a := Answer{Position: c.at, Age: uptime - c.confirmedAt, Steady: c.steady()}
	a.Revision = max(a.Revision, after.Revision)
	first := sort.Search(len(c.changes), func(i int) bool { return c.changes[i].Revision > after.Revision })
	a.Records = append(a.Records, c.changes[first:]...)
	for i := range a.Records {
		a.Lag = max(a.Lag, uptime-a.Records[i].receivedAt)
	}
	return a, c.changed, nil
}

// contact returns how long the store has been in contact without a gap, up to now.
func (c *replica) contact(uptime time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.steadySince == 0 {
		return 0
	}
	return uptime - c.steadySince
}

// position returns the position and the time since the store confirmed it.
func (c *replica) position(uptime time.Duration) (history.Position, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, uptime - c.confirmedAt
}
