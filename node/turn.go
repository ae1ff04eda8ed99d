package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// turnTimeout bounds how long a request waits while the crash guard tries
	// an equal one. It covers the announcement of a try (250 ms), the try
	// itself and one more.
	turnTimeout = time.Second
	// turnPause is the time between two questions to the crash guard while
	// another VM tries the suspect.
	turnPause = 25 * time.Millisecond
	// maxWaitingTurns bounds the requests that wait for a turn.
	maxWaitingTurns = 512
)

// turn is the right of one request of this VM to try a suspect of the crash
// guard. Equal requests, such as reads of the same page, wait for its end without
// a place at an instance: when an upstream dies for another reason, the first
// answer clears all of them.
type turn struct {
	fingerprint crashguard.Fingerprint
	until       time.Time
	ended       chan struct{}
}

// turn waits until no other request of this VM tries the suspect. It returns nil
// for a request that is no suspect. waited is until when a request that waited
// may go on to wait, zero for one that did not.
func (c *crashNotes) turn(ctx context.Context, q *proxy.Query) (t *turn, waited time.Time, err error) {
	var f crashguard.Fingerprint
	copy(f[:], q.Fingerprint[:])
	until := time.Now().Add(turnTimeout)
	for {
		t, other, err := c.takeTurn(f, until)
		if other == nil {
			return t, waited, err
		}
		waited = until
		timer := time.NewTimer(time.Until(until))
		select {
		case <-other.ended:
		case <-timer.C:
			err = errTurn()
		case <-ctx.Done():
			err = verdict.Wrap(ctx.Err(), verdict.NotRun, contextReason(ctx))
		}
		timer.Stop()
		c.mu.Lock()
		c.waiting--
		c.mu.Unlock()
		if err != nil {
			return nil, waited, err
		}
	}
}

// takeTurn returns a turn, or the turn to wait for. Both are nil for a request
// that is no suspect.
func (c *crashNotes) takeTurn(f crashguard.Fingerprint, until time.Time) (mine, other *turn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.guard.Suspect(time.Now(), f) {
		return nil, nil, nil
	}
	if t := c.turns[f]; t != nil {
		if c.waiting >= maxWaitingTurns {
			return nil, nil, errTurn()
		}
		c.waiting++
		return nil, t, nil
	}
	if c.turns == nil {
		c.turns = make(map[crashguard.Fingerprint]*turn)
	}
	t := &turn{fingerprint: f, until: until, ended: make(chan struct{})}
	c.turns[f] = t
	return t, nil, nil
}

func errTurn() error {
	return verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, time.Second)
}

// again tells whether the request is to ask the crash guard again after err,
// because another VM tries the suspect or no other instance is free.
func (t *turn) again(ctx context.Context, err error) bool {
	var e *verdict.Error
	if t == nil || !errors.As(err, &e) || e.Reason != verdict.ReasonCrashGuard || e.RetryAfter > time.Second {
		return false
	}
	return pauseUntil(ctx, t.until)
}

// crowded tells whether a request that waited for a turn is to try again. All of
// them go on at the same moment, which is more than the region's limit lets in.
func crowded(ctx context.Context, until time.Time, err error) bool {
	var e *verdict.Error
	if until.IsZero() || !errors.As(err, &e) {
		return false
	}
	return (e.Reason == verdict.ReasonRegionLimit || e.Reason == verdict.ReasonSaturated) && pauseUntil(ctx, until)
}

// pauseUntil waits for turnPause, unless that would pass the limit or ctx ends.
func pauseUntil(ctx context.Context, limit time.Time) bool {
	if time.Now().Add(turnPause).After(limit) {
		return false
	}
	timer := time.NewTimer(turnPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// endTurn lets the next request try. A nil turn has no effect.
func (c *crashNotes) endTurn(t *turn) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turns[t.fingerprint] == t {
		delete(c.turns, t.fingerprint)
		close(t.ended)
	}
}
