package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/verdict"
)

const (
	// pauseThreshold is the time between two checks from which this VM is considered
	// paused: ten ticks, many times the delay of ticks on a small VM under load.
	pauseThreshold = time.Second
	// refreshTimeout bounds the wait for a refresh after a pause: a connection and a
	// round trip between regions. An unreachable store sends no refresh.
	refreshTimeout = 700 * time.Millisecond
)

// pauseGuard detects that this VM was paused or suspended, and holds requests until the
// VM has refreshed its records: meanwhile instances may have left, become cold or been
// evacuated. It is safe for concurrent use.
type pauseGuard struct {
	uptime func() time.Duration
	// refresh requests the changes since the last contact.
	refresh func()

	mu        sync.Mutex
	lastCheck time.Duration
	// refreshed is closed when the records are refreshed; nil unless the VM was paused.
	// noticedAt is the uptime at which the pause was noticed.
	refreshed chan struct{}
	noticedAt time.Duration
}

func newPauseGuard(uptime func() time.Duration, refresh func()) *pauseGuard {
	return &pauseGuard{uptime: uptime, refresh: refresh, lastCheck: uptime()}
}

// check returns how long the VM was paused since the last check, or zero, and a channel
// that is closed once the records are refreshed, or nil if no refresh is pending. It
// requests a refresh if the VM was paused.
func (g *pauseGuard) check() (paused time.Duration, refreshed <-chan struct{}) {
	up := g.uptime()
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := up - g.lastCheck; gap > pauseThreshold {
		paused = gap
		if g.refreshed == nil {
			g.refreshed = make(chan struct{})
		}
		g.noticedAt = up
		g.refresh()
	}
	g.lastCheck = up
	return paused, g.refreshed
}

// markRefreshed records that a request for records that was sent at an uptime has succeeded, or
// that it can't succeed now. One that was sent before the pause doesn't count.
func (g *pauseGuard) markRefreshed(sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshed != nil && sentAt >= g.noticedAt {
		close(g.refreshed)
		g.refreshed = nil
	}
}

// wait holds a request after a pause until the records are refreshed, at most for
// refreshTimeout after the pause was noticed. It returns an error with the verdict NotRun if they
// are not.
func (g *pauseGuard) wait(ctx context.Context, refreshed <-chan struct{}) error {
	if refreshed == nil {
		return nil
	}
	g.mu.Lock()
	left := g.noticedAt + refreshTimeout - g.uptime()
	g.mu.Unlock()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-refreshed:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return outdatedError(ctx)
}

// outdatedError returns the refusal of a request that could not wait longer for newer records.
func outdatedError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.NotRun, verdict.ReasonCallerGone, 0)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonOutdated, defaultRetryAfter)
}
