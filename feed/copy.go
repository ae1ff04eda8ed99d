package feed

import (
	"sort"
	"sync"
	"time"
)

// historyMost bounds the changes that a copy keeps for its followers.
const historyMost = 4096

// copyOf is a copy of the records with its latest changes. It is safe for
// concurrent use.
type copyOf struct {
	mu      sync.Mutex
	records map[string]Record
	// history holds the latest changes by revision; those up to floor are gone.
	history  []Record
	floor    uint64
	revision uint64
	// confirmed is the uptime at which the store last confirmed revision.
	confirmed time.Duration
	loaded    bool
	changed   chan struct{}
}

func newCopy() *copyOf {
	return &copyOf{records: make(map[string]Record), changed: make(chan struct{})}
}

// reset replaces the state. Followers with an older revision must read again.
func (c *copyOf) reset(up time.Duration, a *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = make(map[string]Record, len(a.Records))
	for _, r := range a.Records {
		c.records[r.Key] = r
	}
	c.history, c.floor, c.revision, c.loaded = nil, a.Revision, a.Revision, true
	c.touch(up, a.Age)
	c.wake()
}

// apply takes changes and returns those that were news.
func (c *copyOf) apply(up time.Duration, a *Answer) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var news []Record
	for _, r := range a.Records {
		if r.Revision <= c.revision {
			continue
		}
		news = append(news, r)
		if r.Removed {
			delete(c.records, r.Key)
		} else {
			c.records[r.Key] = r
		}
	}
	c.history = append(c.history, news...)
	if over := len(c.history) - historyMost; over > 0 {
		c.floor = c.history[over-1].Revision
		c.history = append([]Record(nil), c.history[over:]...)
	}
	c.touch(up, a.Age)
	if a.Revision > c.revision {
		c.revision = a.Revision
		c.wake()
	}
	return news
}

// touch notes a confirmation. Confirmations through a relay can be older than one
// that is known. The lock is held.
func (c *copyOf) touch(up time.Duration, age time.Duration) {
	if at := up - age; at > c.confirmed || c.confirmed == 0 {
		c.confirmed = at
	}
}

// wake lets waiting followers look. The lock is held.
func (c *copyOf) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// state returns the whole state, or false and a channel that is closed at the next
// change.
func (c *copyOf) state(up time.Duration) (Answer, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return Answer{}, c.changed, false
	}
	a := Answer{Revision: c.revision, Age: up - c.confirmed}
	for _, r := range c.records {
		a.Records = append(a.Records, r)
	}
	sort.Slice(a.Records, func(i, j int) bool { return a.Records[i].Key < a.Records[j].Key })
	return a, c.changed, true
}

// after returns the changes after a revision, and a channel that is closed at the
// next change.
func (c *copyOf) after(up time.Duration, revision uint64) (Answer, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || revision < c.floor {
		return Answer{}, nil, ErrCompacted
	}
	a := Answer{Revision: max(c.revision, revision), Age: up - c.confirmed}
	from := sort.Search(len(c.history), func(i int) bool { return c.history[i].Revision > revision })
	a.Records = append(a.Records, c.history[from:]...)
	return a, c.changed, nil
}

// position returns the revision and the age of its confirmation.
func (c *copyOf) position(up time.Duration) (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, up - c.confirmed
}
