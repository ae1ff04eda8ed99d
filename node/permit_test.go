package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/transit/monitor"
	"github.com/currantferry/currantferry/verdict"
)

// newTestSelector returns a selector of one service with instances i-1 to i-N.
func newTestSelector(instances, slots int) *selector {
	s := newSelector(plan.NewGate(plan.GateConfig{VM: "vm-1"}), &crashTracker{guard: crashguard.New(crashguard.Config{VM: "vm-1"})}, new(observations), monitor.New("", slog.New(slog.DiscardHandler), tally.NoopScope))
	p := newPool(balance.Config{}, 1)
	var list []balance.Instance
	addresses := make(map[string]string)
	for i := range instances {
		id := fmt.Sprintf("i-%d", i+1)
		list = append(list, balance.Instance{ID: id, Slots: slots})
		addresses[id] = "127.0.0.1:1"
	}
	p.setInstances(time.Now(), list, addresses)
	s.pools[poolKey{"s", ""}] = p
	return s
}

func testQuery(fingerprint byte) *proxy.Query {
	return &proxy.Query{
		Service: &register.Service{Name: "s"}, Method: "GET", Path: "/page", Idempotent: true,
		Deadline: time.Now().Add(20 * time.Second), Fingerprint: [32]byte{fingerprint},
	}
}

// After an upstream crashed while it served a page that many callers read, the other
// reads must not be refused, and must not occupy places at instances while they wait.
func TestEqualReadsWaitForTheSuspect(t *testing.T) {
	s := newTestSelector(3, 2)
	ctx := context.Background()
	first, err := s.Select(ctx, testQuery(1))
	if err != nil {
		t.Fatal(err)
	}
	first.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})

	const reads = 100
	var group sync.WaitGroup
	var refused, early atomic.Int64
	var cleared atomic.Bool
	for range reads {
		group.Go(func() {
			selection, err := s.Select(ctx, testQuery(1))
			if err != nil {
				refused.Add(1)
				return
			}
			if !cleared.Load() && early.Add(1) == 1 {
				time.Sleep(20 * time.Millisecond)
				cleared.Store(true)
			}
			selection.Done(proxy.Outcome{Verdict: verdict.Ran})
		})
	}
	for range 20 {
		other, err := s.Select(ctx, testQuery(2))
		if err != nil {
			t.Fatalf("another request: %v", err)
		}
		other.Done(proxy.Outcome{Verdict: verdict.Ran})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	if refused.Load() > 0 || early.Load() != 1 {
		t.Fatalf("%d of %d reads refused, %d ran before the first was answered", refused.Load(), reads, early.Load())
	}
}

// A trial permit must always be released, and a request that crashes its instances
// must not be sent to a third one.
func TestCrashingRequestIsStillRefused(t *testing.T) {
	s := newTestSelector(4, 2)
	var group sync.WaitGroup
	var crashes atomic.Int64
	for range 10 {
		group.Go(func() {
			for range 3 {
				selection, err := s.Select(context.Background(), testQuery(1))
				if err != nil {
					continue
				}
				crashes.Add(1)
				selection.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
			}
		})
	}
	group.Wait()
	// Requests sent before the first crash cannot be told apart from others, so the
	// number of crashes has no fixed bound here.
	if len(s.crash.permits) != 0 || s.crash.numWaiting != 0 {
		t.Fatalf("%d permits and %d waiting requests are left", len(s.crash.permits), s.crash.numWaiting)
	}
	if _, err := s.Select(context.Background(), testQuery(1)); err == nil {
		t.Fatalf("sent again after %d crashes", crashes.Load())
	}
}
