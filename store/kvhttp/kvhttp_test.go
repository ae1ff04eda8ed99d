package kvhttp_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
	"github.com/currantferry/currantferry/store/standin"
)

func start(t *testing.T) (*standin.Server, *kvhttp.Client) {
	t.Helper()
	s := standin.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	c, err := kvhttp.New(kvhttp.Options{Addresses: []string{server.Listener.Addr().String()}, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return s, c
}

// A second writer must not overwrite a value that it hasn't read.
func TestCompareAndSwapConflict(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	if err := c.CompareAndSwap(ctx, store.Write{Key: "a/b", Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	if err := c.CompareAndSwap(ctx, store.Write{Key: "a/b", Value: []byte("2")}); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("create over an entry: %v", err)
	}
	e, err := c.Get(ctx, "a/b")
	if err != nil || string(e.Value) != "1" {
		t.Fatalf("got %q, %v", e.Value, err)
	}
	if err := c.CompareAndSwap(ctx, store.Write{Key: "a/b", Value: []byte("2"), Index: e.Index}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(ctx, "none"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("missing key: %v", err)
	}
}

// A lock holder must not write after its lease has expired.
func TestLapsedLeaseCannotWrite(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	old, err := c.GrantLease(ctx, "vm-1", 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Lock(ctx, "lock", []byte("vm-1"), old); err != nil {
		t.Fatal(err)
	}
	write := store.Write{Key: "plan", Value: []byte("1"), LockKey: "lock", Lease: old}
	if err := c.CompareAndSwap(ctx, write); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	e, err := c.Get(ctx, "plan")
	if err != nil {
		t.Fatal(err)
	}
	write.Index = e.Index
	if err := c.CompareAndSwap(ctx, write); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("write with a lapsed lease: %v", err)
	}
	if err := c.RenewLease(ctx, old); !errors.Is(err, store.ErrLeaseLost) {
		t.Fatalf("renew of a lapsed lease: %v", err)
	}
}

// A lost reply must not be taken for a write that had no effect.
func TestLostReplyLeavesOutcomeUnknown(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	s.SetFault(standin.Fault{LoseReplies: 1})
	err := c.CompareAndSwap(ctx, store.Write{Key: "k", Value: []byte("x")})
	if err == nil || errors.Is(err, store.ErrConflict) {
		t.Fatalf("lost reply: %v", err)
	}
	if e, err := c.Get(ctx, "k"); err != nil || string(e.Value) != "x" {
		t.Fatalf("read back: %q, %v", e.Value, err)
	}
}

// A watch must not miss a change, and must return after its waiting time.
func TestWatch(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	if err := c.CompareAndSwap(ctx, store.Write{Key: "k", Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	e, err := c.Get(ctx, "k")
	if err != nil {
		t.Fatal(err)
	}
	changed := make(chan store.Entry, 1)
	go func() {
		next, err := c.Watch(ctx, "k", e.Index, 5*time.Second)
		if err != nil {
			t.Error(err)
		}
		changed <- next
	}()
	if err := c.CompareAndSwap(ctx, store.Write{Key: "k", Value: []byte("2"), Index: e.Index}); err != nil {
		t.Fatal(err)
	}
	if next := <-changed; string(next.Value) != "2" {
		t.Fatalf("watch returned %q", next.Value)
	}
	e, err = c.Get(ctx, "k")
	if err != nil {
		t.Fatal(err)
	}
	if same, err := c.Watch(ctx, "k", e.Index, 20*time.Millisecond); err != nil || string(same.Value) != "2" {
		t.Fatalf("watch without a change: %q, %v", same.Value, err)
	}
}
