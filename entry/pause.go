package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// pausedAfter is the time between two signs of life after which this VM counts
	// as paused: ten ticks, many times what a small VM under load is late by.
	pausedAfter = time.Second
	// resumeWait bounds the wait for news after a pause: a connection and a
	// question between regions. A store that is away has no news.
	resumeWait = 700 * time.Millisecond
)

// pauseGuard notices that this VM was paused or suspended, and holds requests until
// the VM has asked what changed meanwhile: instances may have left, turned cold or
// been evacuated. It is safe for concurrent use.
type pauseGuard struct {
	uptime func() time.Duration
	// refresh asks for what is new.
	refresh func()

	mu   sync.Mutex
	last time.Duration
	// fresh is closed when news came; nil while the VM was not paused.
	fresh chan struct{}
}

func newPauseGuard(uptime func() time.Duration, refresh func()) *pauseGuard {
	return &pauseGuard{uptime: uptime, refresh: refresh, last: uptime()}
}

// alive is a sign of life. It returns how long the VM was paused, or zero, and what is
// closed once the VM knows what changed, or nil.
func (g *pauseGuard) alive() (paused time.Duration, fresh <-chan struct{}) {
	up := g.uptime()
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := up - g.last; gap > pausedAfter {
		paused = gap
		if g.fresh == nil {
			g.fresh = make(chan struct{})
		}
		g.refresh()
	}
	g.last = up
	return paused, g.fresh
}

// heard says that news came, or that there is none to be had.
func (g *pauseGuard) heard() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fresh != nil {
		close(g.fresh)
		g.fresh = nil
	}
}

// wait holds a request after a pause.
func (g *pauseGuard) wait(ctx context.Context, fresh <-chan struct{}) {
	if fresh == nil {
		return
	}
	timer := time.NewTimer(resumeWait)
	defer timer.Stop()
	select {
	case <-fresh:
	case <-timer.C:
		g.heard()
	case <-ctx.Done():
	}
}
