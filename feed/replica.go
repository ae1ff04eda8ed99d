package feed

import (
	"sort"
	"sync"
	"time"
)

// maxHistory bounds the number of changes that a replica keeps for its followers.
const maxHistory = 4096

// replica is a copy of the records with the latest changes. It is safe for concurrent
// use.
type replica struct {
	mu      sync.Mutex
	records map[string]Record
	// history holds the latest changes, ordered by revision. Changes up to
	// compactedRevision are no longer kept.
	history           []Record
	compactedRevision uint64
	revision          uint64
	// confirmedAt is the uptime at which the store last confirmed revision.
	confirmedAt time.Duration
	loaded      bool
	changed     chan struct{}
}

func newReplica() *replica {
	return &replica{records: make(map[string]Record), changed: make(chan struct{})}
}

// reset replaces the state. Followers at an older revision must read the whole state.
func (c *replica) reset(uptime time.Duration, a *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = make(map[string]Record, len(a.Records))
	for _, r := range a.Records {
		c.records[r.Key] = r
	}
	c.history, c.compactedRevision, c.revision, c.loaded = nil, a.Revision, a.Revision, true
	c.confirm(uptime, a.Age)
	c.wake()
}

// apply stores the changes of an answer and returns those that were new.
func (c *replica) apply(uptime time.Duration, a *Answer) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []Record
	for _, r := range a.Records {
		if r.Revision <= c.revision {
			continue
		}
		changes = append(changes, r)
		if r.Removed {
			delete(c.records, r.Key)
		} else {
			c.records[r.Key] = r
		}
	}
	c.history = append(c.history, changes...)
	if excess := len(c.history) - maxHistory; excess > 0 {
		c.compactedRevision = c.history[excess-1].Revision
		c.history = append([]Record(nil), c.history[excess:]...)
	}
	c.confirm(uptime, a.Age)
	if a.Revision > c.revision {
		c.revision = a.Revision
		c.wake()
	}
	return changes
}

// confirm records a confirmation by the store. One that arrives through a relay can be
// older than the latest known one and is then ignored. The caller holds the lock.
func (c *replica) confirm(uptime time.Duration, age time.Duration) {
	if confirmedAt := uptime - age; confirmedAt > c.confirmedAt || c.confirmedAt == 0 {
		c.confirmedAt = confirmedAt
	}
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
	a := Answer{Revision: c.revision, Age: uptime - c.confirmedAt}
	for _, r := range c.records {
		a.Records = append(a.Records, r)
	}
	sort.Slice(a.Records, func(i, j int) bool { return a.Records[i].Key < a.Records[j].Key })
	return a, c.changed, true
}

// changesAfter returns the changes after a revision, and a channel that is closed at
// the next change.
func (c *replica) changesAfter(uptime time.Duration, revision uint64) (Answer, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || revision < c.compactedRevision {
		return Answer{}, nil, ErrCompacted
	}
	a := Answer{Revision: max(c.revision, revision), Age: uptime - c.confirmedAt}
	first := sort.Search(len(c.history), func(i int) bool { return c.history[i].Revision > revision })
	a.Records = append(a.Records, c.history[first:]...)
	return a, c.changed, nil
}

// position returns the revision and the time since the store confirmed it.
func (c *replica) position(uptime time.Duration) (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, uptime - c.confirmedAt
}
