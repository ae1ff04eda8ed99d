package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/verdict"
)

// After a pause a VM must not use outdated records: requests wait until it has refreshed
// them, but not longer than the timeout if the store is unreachable.
func TestRequestsWaitForRefreshAfterPause(t *testing.T) {
	t.Parallel()
	var up, refreshes atomic.Int64
	g := newPauseGuard(func() time.Duration { return time.Duration(up.Load()) }, func() { refreshes.Add(1) })
	up.Add(int64(pauseThreshold / 2))
	if paused, refreshed := g.check(); paused != 0 || refreshed != nil {
		t.Fatal("paused without a pause")
	}
	up.Add(int64(3 * time.Second))
	paused, refreshed := g.check()
	if paused != 3*time.Second || refreshed == nil || refreshes.Load() != 1 {
		t.Fatalf("paused for %s, refreshed %d times", paused, refreshes.Load())
	}
	// A second request after the pause also waits, without another refresh.
	if paused, second := g.check(); paused != 0 || second == nil || refreshes.Load() != 1 {
		t.Fatalf("the second request does not wait, refreshed %d times", refreshes.Load())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := g.wait(context.Background(), refreshed); err != nil {
			t.Error(err)
		}
	}()
	select {
	case <-done:
		t.Fatal("continued before the refresh")
	case <-time.After(50 * time.Millisecond):
	}
	// An answer to a request from before the pause says nothing about the time since.
	g.markRefreshed(time.Second)
	select {
	case <-done:
		t.Fatal("continued with an answer from before the pause")
	case <-time.After(50 * time.Millisecond):
	}
	g.markRefreshed(time.Duration(up.Load()))
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("still waits after the refresh")
	}
	if _, refreshed := g.check(); refreshed != nil {
		t.Error("requests wait after the refresh")
	}
	up.Add(int64(3 * time.Second))
	_, refreshed = g.check()
	began := time.Now()
	err := g.wait(context.Background(), refreshed)
	if took := time.Since(began); took < refreshTimeout/2 || took > 5*time.Second {
		t.Errorf("waited %s for an unreachable store", took)
	}
	var refusal *verdict.Error
	if !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonOutdated {
		t.Errorf("%v without a refresh, want a refusal that may be repeated", err)
	}
	// The store can't be reached by anybody, or by this VM: it goes on with what it has.
	g.markRefreshed(time.Duration(up.Load()))
	if _, refreshed := g.check(); refreshed != nil {
		t.Error("requests wait although the refresh has failed")
	}
}
