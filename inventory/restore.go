package inventory

import (
	"cmp"
	"time"
)

const (
	// evacuationHoldTime is how long an evacuation that a restored store lacks is kept. It
	// is the time in which the operators write it again, and that in which they expect an
	// evacuation to take effect.
	evacuationHoldTime = 5 * time.Second
	// endedEvacuationTTL is how long an evacuation that had ended is set aside. The
	// operators may have ordered it anew since, and it takes effect well within the bound.
	endedEvacuationTTL = 2 * time.Second
	// doubtedTTL is how long the record of a process is set aside. A process that is gone
	// loses its record within three missed reports, or with its lease, and one that lives
	// corrects it with its next report.
	doubtedTTL = 10 * time.Second
	// endedRefusalTTL is how long the record of a request that is no longer refused is set
	// aside. Nobody renews or corrects it before its lease ends.
	endedRefusalTTL = 10 * time.Minute
)

// beginEpoch returns the records of a state that are to be applied, and the effects of
// those that are set aside.
func (v *Inventory) beginEpoch(now time.Time, epoch uint64, changes []Change) ([]Effect, []Change) {
	isRestored := v.isLoaded && epoch > v.epoch
	v.epoch, v.isLoaded = epoch, true
	if !isRestored {
		return nil, changes
	}
	v.restoredAt = now
	var effects []Effect
	accepted := make([]Change, 0, len(changes))
	for i := range changes {
		c := &changes[i]
		e := v.entries[entryKey{c.Kind, c.ID}]
		ttl := setAside(e, c)
		if ttl == 0 {
			accepted = append(accepted, *c)
			continue
		}
		// What is written or removed from now on is newer than the record.
		e.change.Position = c.Position
		e.deferredUntil = time.Time{}
		e.doubted, e.doubtedUntil = c, now.Add(ttl)
		v.pending[entryKey{c.Kind, c.ID}] = e
		effects = append(effects, Effect{Change: *c, Doubted: true})
	}
	return effects, accepted
}

// setAside returns how long a record of a restored store must not take effect, because it
// is older than what is known of its key, or zero. A process is known by its start and by
// the number of its reports, an evacuation by the position at which it was ordered.
func setAside(e *entry, c *Change) time.Duration {
	if e == nil || c.Unusable != nil {
		return 0
	}
	isGone := !e.removedAt.IsZero()
	switch c.Kind {
	case KindInstance:
		known := e.change.Instance
		if known == nil {
			return 0
		}
		order := cmp.Or(cmp.Compare(c.Instance.StartMillis, known.StartMillis), cmp.Compare(c.Instance.Reports, known.Reports))
		if order < 0 || order == 0 && (isGone || known.Draining) {
			return doubtedTTL
		}
	case KindVM:
		if known := e.change.VM; isGone && known != nil && c.VM.Boot == known.Boot {
			return doubtedTTL
		}
	case KindEvacuation:
		if isGone && c.Revision == e.presentAt.Revision {
			return endedEvacuationTTL
		}
	case KindRefused:
		if isGone {
			return endedRefusalTTL
		}
	}
	return 0
}

// believe applies a record that was set aside and has stayed in the store.
func (v *Inventory) believe(now time.Time, e *entry, effects []Effect) []Effect {
	c := *e.doubted
	e.doubted = nil
	if c.Kind == KindInstance && c.Instance.Cold > 0 {
		c.Instance.ColdUntil = now.Add(c.Instance.Cold)
	}
	*e = entry{change: c, presentAt: c.Position}
	delete(v.pending, entryKey{c.Kind, c.ID})
	return append(effects, Effect{Change: c})
}
