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
	// permitTimeout bounds how long a request waits while the crash guard tries an
	// equal one. It covers the announcement of a trial (250 ms), the trial itself and
	// one more.
	permitTimeout = time.Second
	// permitRetryInterval is the time between two queries of the crash guard while
	// another VM tries the suspect.
	permitRetryInterval = 25 * time.Millisecond
	// maxPermitWaiters bounds the requests that wait for a permit.
	maxPermitWaiters = 512
)

// trialPermit is the exclusive right of one request of this VM to try a suspect of
// the crash guard. Equal requests, such as reads of the same page, wait for its
// release without a place at an instance: when an upstream crashes for another
// reason, the first answer clears all of them.
type trialPermit struct {
	fingerprint crashguard.Fingerprint
	until       time.Time
	released    chan struct{}
}

// acquirePermit waits until no other request of this VM tries the suspect. It returns
// nil for a request that is not a suspect. A request that had to wait may go
// on waiting until waitUntil; for others it is zero.
func (c *crashTracker) acquirePermit(ctx context.Context, q *proxy.Query) (t *trialPermit, waitUntil time.Time, err error) {
	var f crashguard.Fingerprint
	copy(f[:], q.Fingerprint[:])
	until := time.Now().Add(permitTimeout)
	for {
		t, other, err := c.tryAcquirePermit(f, until)
		if other == nil {
			return t, waitUntil, err
		}
		waitUntil = until
		timer := time.NewTimer(time.Until(until))
		select {
		case <-other.released:
		case <-timer.C:
			err = permitRefusal()
		case <-ctx.Done():
			err = verdict.Wrap(ctx.Err(), verdict.NotRun, contextReason(ctx))
		}
		timer.Stop()
		c.mu.Lock()
		c.numWaiting--
		c.mu.Unlock()
		if err != nil {
			return nil, waitUntil, err
		}
	}
}

// tryAcquirePermit returns a permit, or the permit of another request to wait for.
// Both are nil for a request that is not a suspect.
func (c *crashTracker) tryAcquirePermit(f crashguard.Fingerprint, until time.Time) (mine, other *trialPermit, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.guard.IsSuspect(time.Now(), f) {
		return nil, nil, nil
	}
	if t := c.permits[f]; t != nil {
		if c.numWaiting >= maxPermitWaiters {
			return nil, nil, permitRefusal()
		}
		c.numWaiting++
		return nil, t, nil
	}
	if c.permits == nil {
		c.permits = make(map[crashguard.Fingerprint]*trialPermit)
	}
	t := &trialPermit{fingerprint: f, until: until, released: make(chan struct{})}
	c.permits[f] = t
	return t, nil, nil
}

func permitRefusal() error {
	return verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, time.Second)
}

// shouldRetry reports whether the request should ask the crash guard again after err,
// because another VM tries the suspect or no other instance is free.
func (t *trialPermit) shouldRetry(ctx context.Context, err error) bool {
	var e *verdict.Error
	if t == nil || !errors.As(err, &e) || e.Reason != verdict.ReasonCrashGuard || e.RetryAfter > time.Second {
		return false
	}
	return pauseBefore(ctx, t.until)
}

// shouldRetryAfterWait reports whether a request that waited for a permit should try
// again. All such requests go on at the same moment, which may exceed the limit of
// the region.
func shouldRetryAfterWait(ctx context.Context, until time.Time, err error) bool {
	var e *verdict.Error
	if until.IsZero() || !errors.As(err, &e) {
		return false
	}
	return (e.Reason == verdict.ReasonRegionLimit || e.Reason == verdict.ReasonSaturated) && pauseBefore(ctx, until)
}

// pauseBefore waits for permitRetryInterval. It returns false if that would pass the
// limit or ctx ends first.
func pauseBefore(ctx context.Context, limit time.Time) bool {
	if time.Now().Add(permitRetryInterval).After(limit) {
		return false
	}
	timer := time.NewTimer(permitRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// releasePermit lets the next request try the suspect. A nil permit has no effect.
func (c *crashTracker) releasePermit(t *trialPermit) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.permits[t.fingerprint] == t {
		delete(c.permits, t.fingerprint)
		close(t.released)
	}
}
