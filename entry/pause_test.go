package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a VM that goes on by what it knew before a pause: requests wait until
// it has asked what changed, but not for a store that is away.
func TestRequestsWaitForNewsAfterAPause(t *testing.T) {
	t.Parallel()
	var up, asked atomic.Int64
	g := newPauseGuard(func() time.Duration { return time.Duration(up.Load()) }, func() { asked.Add(1) })
	up.Add(int64(pausedAfter / 2))
	if paused, fresh := g.alive(); paused != 0 || fresh != nil {
		t.Fatal("paused without a pause")
	}
	up.Add(int64(3 * time.Second))
	paused, fresh := g.alive()
	if paused != 3*time.Second || fresh == nil || asked.Load() != 1 {
		t.Fatalf("paused for %s, asked %d times", paused, asked.Load())
	}
	// A second request after the pause waits too, and asks no more.
	if paused, second := g.alive(); paused != 0 || second == nil || asked.Load() != 1 {
		t.Fatalf("the second request does not wait, asked %d times", asked.Load())
	}
	done := make(chan struct{})
	go func() { defer close(done); g.wait(context.Background(), fresh) }()
	select {
	case <-done:
		t.Fatal("went on before news came")
	case <-time.After(50 * time.Millisecond):
	}
	g.heard()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("still waits after news came")
	}
	if _, fresh := g.alive(); fresh != nil {
		t.Error("requests wait after news came")
	}
	up.Add(int64(3 * time.Second))
	_, fresh = g.alive()
	began := time.Now()
	g.wait(context.Background(), fresh)
	if took := time.Since(began); took < resumeWait/2 || took > 5*time.Second {
		t.Errorf("waited %s for a store that is away", took)
	}
}
