package feed

import (
	"sort"
	"time"

	"github.com/currantferry/currantferry/history"
)

const (
	// removedTTL is how long a removed record is remembered. A restored copy is some seconds
	// old.
	removedTTL = time.Minute
	// earlierTTL is how long after a restore VMs that start receive what was known before
	// it. Owners have written their records again by then.
	earlierTTL = 5 * time.Second
)

// removedRecord is a record with its removal.
type removedRecord struct {
	record   Record
	revision uint64
	at       time.Duration
}

// earlierEpoch is what was known at the end of the epoch before, as far as it differs from
// the state after the restore. A VM that starts knows it only from a relay.
type earlierEpoch struct {
	at history.Position
	// endedAt is the uptime at which the restore was noticed.
	endedAt time.Duration
	records map[string]earlierRecord
}

// earlierRecord is a record as it was, and the revision of its removal or zero.
type earlierRecord struct {
	record    Record
	removedAt uint64
}

// recordRemoval remembers a record that is removed. The caller holds the lock.
func (c *replica) recordRemoval(uptime time.Duration, removal Record) {
	for key, r := range c.removed {
		if uptime-r.at > removedTTL {
			delete(c.removed, key)
		}
	}
	if old, exists := c.records[removal.Key]; exists {
		c.removed[removal.Key] = removedRecord{old, removal.Revision, uptime}
	}
}

// beginEpoch remembers what was known before a restore that led to the given records. The
// caller holds the lock.
func (c *replica) beginEpoch(uptime time.Duration, restored map[string]Record) {
	next := earlierEpoch{at: c.at, endedAt: uptime, records: make(map[string]earlierRecord)}
	if uptime-c.earlier.endedAt <= earlierTTL {
		// Owners have not written these again since the restore before this one.
		for key, r := range c.earlier.records {
			next.records[key] = r
		}
	}
	for key, old := range c.records {
		_, isEarlier := next.records[key]
		if r, exists := restored[key]; !isEarlier && (!exists || r.Revision != old.Revision || string(r.Value) != string(old.Value)) {
			next.records[key] = earlierRecord{record: old}
		}
	}
	for key, r := range c.removed {
		_, isEarlier := next.records[key]
		if _, exists := restored[key]; exists && !isEarlier && uptime-r.at <= removedTTL {
			next.records[key] = earlierRecord{r.record, r.revision}
		}
	}
	c.earlier, c.removed = next, make(map[string]removedRecord)
}

// earlierState returns what was known at the end of the epoch before, or false if there is
// none or its owners have had the time to write it again. Removals follow their records.
func (c *replica) earlierState(uptime time.Duration) (Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.earlier.records) == 0 || uptime-c.earlier.endedAt > earlierTTL {
		return Answer{}, false
	}
	a := Answer{Position: c.earlier.at}
	for key, r := range c.earlier.records {
		a.Records = append(a.Records, r.record)
		if r.removedAt > 0 {
			a.Records = append(a.Records, Record{Key: key, Revision: r.removedAt, Removed: true})
		}
	}
	sort.Slice(a.Records, func(i, j int) bool {
		x, y := &a.Records[i], &a.Records[j]
		return x.Key < y.Key || (x.Key == y.Key && !x.Removed && y.Removed)
	})
	return a, true
}

// replayEarlier passes the state of the epoch before to the sink, so that it knows what the
// state after the restore lacks. The restored state must follow.
func replayEarlier(sink Sink, now time.Time, o Origin, earlier, restored *Answer) {
	known := make(map[string]bool)
	var records, removals []Record
	for _, r := range earlier.Records {
		known[r.Key] = true
		if r.Removed {
			removals = append(removals, r)
		} else {
			records = append(records, r)
		}
	}
	for _, r := range restored.Records {
		if !known[r.Key] && r.Revision <= earlier.Revision {
			records = append(records, r)
		}
	}
	o.Position = earlier.Position
	sink.Reset(now, o, records)
	sink.Apply(now, o, removals)
}
