package monitor

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/upstream"
)

// A VM whose connections to instances are all in use must not take itself for isolated.
func TestConnectionLimitIsNoIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", slog.New(slog.DiscardHandler), tally.NoopScope)
		m.Open = func(context.Context, string) error { return upstream.ErrConnectionLimit }
		m.OpenPeer = func(context.Context, string) error { time.Sleep(time.Millisecond); return nil }
		var list []string
		for k := range 8 {
			list = append(list, fmt.Sprintf("10.0.0.%d:1", k))
		}
		m.SetInstances(list)
		m.SetPeers([]transit.Peer{{ID: "p", Address: "p", Region: "a"}, {ID: "q", Address: "q", Region: "a"}, {ID: "r", Address: "r", Region: "a"}})
		path := m.Path()
		for range 8 {
			m.Attempt(list[0])
		}
		var group conc.WaitGroup
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			m.Tick(t.Context(), &group)
		}
		group.Wait()
		if m.IsIsolated() || path.Err() != nil {
			t.Error("isolated although nothing was sent to any instance")
		}
	})
}

// A VM that became isolated while it knew no other VM must end its path once it knows one.
func TestPathIsLostWhenVMsAppear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", slog.New(slog.DiscardHandler), tally.NoopScope)
		m.Open = func(ctx context.Context, _ string) error { <-ctx.Done(); return ctx.Err() }
		m.OpenPeer = func(context.Context, string) error { return nil }
		m.SetInstances([]string{"a", "b", "c"})
		path := m.Path()
		for range 8 {
			m.Attempt("a")
		}
		var group conc.WaitGroup
		tick := func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				m.Tick(t.Context(), &group)
			}
		}
		tick()
		if !m.IsIsolated() {
			t.Fatal("not isolated")
		}
		m.SetPeers([]transit.Peer{{ID: "p", Address: "p", Region: "a"}, {ID: "q", Address: "q", Region: "a"}, {ID: "r", Address: "r", Region: "a"}})
		tick()
		group.Wait()
		if !m.MustPassOn() || path.Err() == nil {
			t.Errorf("must pass on %t, path %v", m.MustPassOn(), path.Err())
		}
	})
}

// A VM that can open no new connection to instances must notice it although requests on open
// connections are answered and other VMs that are listed are gone.
func TestHangingConnectionsAreNoticedWhileAnswersArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", slog.New(slog.DiscardHandler), tally.NoopScope)
		m.Open = func(ctx context.Context, _ string) error { <-ctx.Done(); return ctx.Err() }
		m.OpenPeer = func(ctx context.Context, address string) error {
			if address == "p" {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}
		m.SetInstances([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
		m.SetPeers([]transit.Peer{{ID: "p", Address: "p", Region: "a"}, {ID: "q", Address: "q", Region: "b"}, {ID: "r", Address: "r", Region: "b"}})
		var group conc.WaitGroup
		began, at := time.Now(), time.Duration(0)
		for k := range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, i := range []string{"a", "b", "c"} {
				m.Attempt(i)
				m.Failed(i, time.Now())
			}
			m.Tick(t.Context(), &group)
			if k%2 == 0 {
				m.Answered("a")
			}
			if m.IsIsolated() && at == 0 {
				at = time.Since(began)
			}
		}
		group.Wait()
		if at == 0 || at > 3*time.Second {
			t.Errorf("isolated after %s of 30 s (0: never)", at)
		}
	})
}
