package entry

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/verdict"
)

// congest lets a round of probes find that connections to instances and to other VMs open late.
func congest(t *testing.T, s *selector) {
	t.Helper()
	hang := func(ctx context.Context, _ string) error {
		<-ctx.Done()
		return ctx.Err()
	}
	s.reach.Open, s.reach.OpenPeer = hang, hang
	s.reach.SetInstances([]string{"i-0:1", "i-1:1", "i-2:1", "i-3:1", "i-4:1", "i-5:1", "i-6:1", "i-7:1"})
	s.reach.SetPeers([]transit.Peer{{ID: "vm-2", Address: "vm-2:1", Region: "styria"}})
	for _, address := range []string{"i-0:1", "i-1:1"} {
		s.reach.Failed(address, time.Now())
	}
	var group conc.WaitGroup
	s.reach.Tick(t.Context(), &group)
	group.Wait()
	if !s.reach.IsCongested() {
		t.Fatal("not congested")
	}
}

// Connections that a congested VM could not open in time must not eject instances, which serve
// requests over open connections meanwhile, and what was ejected before the congestion was known
// must be used again. An instance that refuses connections must be ejected nevertheless.
func TestCongestedVMEjectsNoInstances(t *testing.T) {
	t.Parallel()
	for name, isRefused := range map[string]bool{"late": false, "refused": true} {
		s := newTestSelector(t, 8)
		s.reach.OnCongested = s.forgiveFailures
		s.reach.OnIsolated = s.forgiveFailures
		early := choose(t, s, orderQuery())
		early.Done(proxy.Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed})
		ejected := func(id string) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			is := false
			for _, c := range s.picker.EjectionChanges() {
				if c.ID == id {
					is = c.Duration > 0
				}
			}
			return is
		}
		if !ejected(early.Instance().ID) {
			t.Fatalf("%s: not ejected without congestion", name)
		}
		during := choose(t, s, orderQuery())
		congest(t, s)
		if s.reach.IsIsolated() {
			t.Errorf("%s: isolated", name)
		}
		s.mu.Lock()
		changes := s.picker.EjectionChanges()
		s.mu.Unlock()
		if len(changes) != 1 || changes[0].ID != early.Instance().ID || changes[0].Duration != 0 {
			t.Errorf("%s: changes %+v once congestion is known", name, changes)
		}
		during.Done(proxy.Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed, ConnectionRefused: isRefused})
		if got := ejected(during.Instance().ID); got != isRefused {
			t.Errorf("%s: ejected %t", name, got)
		}
		n := &Node{selector: s, reach: s.reach, ctx: t.Context()}
		for err, want := range map[error]placement.ConnectionResult{
			context.DeadlineExceeded: placement.ConnectionUnknown, syscall.ECONNREFUSED: placement.ConnectionFailed,
		} {
			if got := n.connectionResult(time.Now(), err); got != want {
				t.Errorf("%s: trial connection that ends with %v: %d", name, err, got)
			}
		}
	}
}

// A VM that knows no other VM must go on trying instances when its probes fail, or its callers
// are refused while instances may answer.
func TestLoneVMGoesOnTrying(t *testing.T) {
	t.Parallel()
	s := newTestSelector(t, 3)
	s.reach.Open = func(context.Context, string) error { return syscall.ECONNREFUSED }
	s.reach.SetInstances([]string{"i-0:1", "i-1:1", "i-2:1"})
	path := s.reach.Path()
	s.reach.Failed("i-0:1", time.Now())
	s.reach.Failed("i-1:1", time.Now())
	var group conc.WaitGroup
	s.reach.Tick(t.Context(), &group)
	group.Wait()
	if !s.reach.IsIsolated() || path.Err() != nil {
		t.Fatalf("isolated %t, path %v", s.reach.IsIsolated(), path.Err())
	}
	choose(t, s, orderQuery())
	s.reach.SetPeers([]transit.Peer{{ID: "vm-2", Address: "vm-2:1", Region: "styria"}})
	if chosen, err := s.Select(t.Context(), orderQuery()); err != nil {
		t.Error(err)
	} else if _, ok := chosen.(*transitSelection); !ok {
		t.Errorf("%T once another VM is known", chosen)
	}
}

// A VM that is isolated and then knows no other VM any more must try instances, on a path that
// is not given up.
func TestIsolatedVMLosesItsPeers(t *testing.T) {
	t.Parallel()
	s := newTestSelector(t, 3)
	s.reach.Open = func(context.Context, string) error { return syscall.ECONNREFUSED }
	s.reach.OpenPeer = func(context.Context, string) error { return nil }
	s.reach.SetInstances([]string{"i-0:1", "i-1:1", "i-2:1"})
	s.reach.SetPeers([]transit.Peer{{ID: "vm-2", Address: "vm-2:1", Region: "styria"}})
	s.reach.Failed("i-0:1", time.Now())
	s.reach.Failed("i-1:1", time.Now())
	var group conc.WaitGroup
	s.reach.Tick(t.Context(), &group)
	group.Wait()
	if !s.reach.MustPassOn() || s.reach.Path().Err() == nil {
		t.Fatalf("passes on %t, path %v", s.reach.MustPassOn(), s.reach.Path().Err())
	}
	s.reach.SetPeers(nil)
	if c := choose(t, s, orderQuery()); c.Path().Err() != nil {
		t.Errorf("path %v", c.Path().Err())
	}
}
