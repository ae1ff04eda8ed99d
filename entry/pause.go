package entry

import (
	"context"
	"sync"
	"time"
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
	refreshed chan struct{}
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
		g.refresh()
	}
	g.lastCheck = up
	return paused, g.refreshed
}

// markRefreshed records that the refresh has succeeded, or that it can't succeed now.
func (g *pauseGuard) markRefreshed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshed != nil {
		close(g.refreshed)
		g.refreshed = nil
	}
}

// wait holds a request after a pause until the records are refreshed, at most for
// refreshTimeout.
func (g *pauseGuard) wait(ctx context.Context, refreshed <-chan struct{}) {
	if refreshed == nil {
		return
	}
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-refreshed:
	case <-timer.C:
		g.markRefreshed()
	case <-ctx.Done():
	}
}
