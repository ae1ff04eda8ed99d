package configstore

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
	"github.com/currantferry/currantferry/store/standin"
)

// interceptedStore forwards calls and lets a test run code before and after each
// write.
type interceptedStore struct {
	store.Store
	before func(w store.Write)
	after  func(w store.Write, err error) error
}

func (s *interceptedStore) CompareAndSwap(ctx context.Context, w store.Write) error {
	if s.before != nil {
		s.before(w)
	}
	err := s.Store.CompareAndSwap(ctx, w)
	if s.after != nil {
		return s.after(w, err)
	}
	return err
}

func newStore(t *testing.T) (*standin.Server, *interceptedStore) {
	t.Helper()
	s := standin.New()
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	c, err := kvhttp.New(kvhttp.Options{Addresses: []string{h.Listener.Addr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return s, &interceptedStore{Store: c}
}

func content(slots int) config.Content {
	return config.Content{
		Register: &register.Register{
			Regions: []register.Region{{Name: "noord", DataCentres: []register.DataCentre{{Name: "noord-a"}}}},
			Services: []register.Service{{Name: "proefbank", Instances: []register.Instance{
				{ID: "p-1", Address: "127.0.0.1:1", DataCentre: "noord-a", Slots: slots},
				{ID: "p-2", Address: "127.0.0.1:2", DataCentre: "noord-a", Slots: 9},
			}}},
		},
		Rules: &rules.Rules{},
	}
}

func meta(id string) config.Meta {
	return config.Meta{ChangeID: id, By: "anna", At: time.Unix(1e9, 0).UTC(), Why: "because of " + id}
}

func publish(t *testing.T, p *Publisher, base uint64, c config.Content, id string) Result {
	t.Helper()
	r, err := p.Publish(t.Context(), base, c, meta(id))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A resent change must return the first result and not be applied a second time,
// also after later changes.
func TestResendReturnsFirstResult(t *testing.T) {
	_, s := newStore(t)
	p := New(s, Options{})
	first := publish(t, p, 0, content(1), "c1")
	if r := publish(t, p, 0, content(1), "c1"); !r.Resent || r.Version != first.Version {
		t.Fatalf("resend: %+v after %+v", r, first)
	}
	publish(t, p, 1, content(2), "c2")
	if r := publish(t, p, 0, content(1), "c1"); !r.Resent || r.Version != 1 {
		t.Fatalf("resend after another change: %+v", r)
	}
}

// After a lost reply, a write that took effect must be reported as accepted and
// must not be repeated, and a write that did not take effect must be repeated.
func TestLostReplyIsResolved(t *testing.T) {
	for name, applied := range map[string]bool{"after the write": true, "before the write": false} {
		t.Run(name, func(t *testing.T) {
			_, s := newStore(t)
			numLost := 0
			s.after = func(w store.Write, err error) error {
				if w.Key == HeadKey && numLost == 0 {
					numLost++
					if !applied {
						if err := s.Delete(t.Context(), HeadKey, headIndex(t, s)); err != nil {
							t.Fatal(err)
						}
					}
					return errors.New("connection reset")
				}
				return err
			}
			p := New(s, Options{})
			if r := publish(t, p, 0, content(1), "c1"); r.Version != 1 || r.Resent {
				t.Fatalf("%+v", r)
			}
			if got, err := p.Load(t.Context()); err != nil || got.Head.Version != 1 {
				t.Fatal(got, err)
			}
		})
	}
}

func headIndex(t *testing.T, s store.Store) uint64 {
	t.Helper()
	e, err := s.Get(t.Context(), HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	return e.Index
}

// A change whose reply is lost must be found if another operator has published
// a later change in the meantime, so that the head has another change ID.
func TestLostReplyFollowedByLaterChange(t *testing.T) {
	_, s := newStore(t)
	other := New(s.Store, Options{})
	publish(t, other, 0, content(1), "c0")
	s.after = func(w store.Write, err error) error {
		if w.Key != HeadKey || err != nil {
			return err
		}
		s.after = nil
		publish(t, other, 2, content(7), "theirs")
		return errors.New("connection reset")
	}
	r := publish(t, New(s, Options{}), 1, content(2), "mine")
	if r.Version != 2 {
		t.Fatalf("%+v", r)
	}
}

// If the store fails while the head is written, Publish must return
// ErrOutcomeUnknown, and a resend after the outage must succeed.
func TestOutcomeUnknownDuringOutage(t *testing.T) {
	srv, s := newStore(t)
	s.before = func(w store.Write) {
		if w.Key == HeadKey {
			srv.SetFault(standin.Fault{Down: true})
		}
	}
	p := New(s, Options{ChangeTimeout: 300 * time.Millisecond, CallTimeout: 100 * time.Millisecond})
	if _, err := p.Publish(t.Context(), 0, content(1), meta("c1")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	srv.SetFault(standin.Fault{})
	s.before = nil
	if r := publish(t, p, 0, content(1), "c1"); r.Version != 1 {
		t.Fatalf("%+v", r)
	}
}

// A second operator who changes the same value must get a conflict that shows both
// changes, and changes to different values must be merged.
func TestTwoOperators(t *testing.T) {
	_, s := newStore(t)
	p := New(s, Options{})
	publish(t, p, 0, content(1), "c1")
	publish(t, p, 1, content(2), "theirs")
	_, err := p.Publish(t.Context(), 1, content(3), meta("mine"))
	var conflict *config.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatal(err)
	}
	if len(conflict.Theirs) != 1 || conflict.Theirs[0].ChangeID != "theirs" || len(conflict.MyDiff) != 1 || len(conflict.TheirDiff) != 1 {
		t.Fatalf("conflict does not show both changes: %v", err)
	}
	c := content(1)
	c.Register.Services[0].Instances[1].Slots = 4
	if r := publish(t, p, 1, c, "apart"); r.Version != 3 || !r.Merged {
		t.Fatalf("%+v", r)
	}
	got, err := p.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if i := got.Register.Services[0].Instances; i[0].Slots != 2 || i[1].Slots != 4 {
		t.Fatalf("merged into %+v", i)
	}
}

// Concurrent changes must all be published, each as a version of its own.
func TestConcurrentChangesAreAllPublished(t *testing.T) {
	_, s := newStore(t)
	publish(t, New(s, Options{}), 0, content(1), "c0")
	var wg sync.WaitGroup
	versions := make([]uint64, 4)
	for i := range versions {
		wg.Go(func() {
			c := content(1)
			c.Rules.Drains = []rules.Drain{{ID: fmt.Sprint(i), Kind: rules.TargetInstance, Target: "p-1"}}
			r, err := New(s, Options{}).Publish(t.Context(), 1, c, meta(fmt.Sprint("d", i)))
			if err != nil {
				t.Error(err)
			}
			versions[i] = r.Version
		})
	}
	wg.Wait()
	got, err := New(s, Options{}).Load(t.Context())
	if err != nil || got.Head.Version != 5 || len(got.Rules.Drains) != 4 {
		t.Fatalf("versions %v, %v", versions, err)
	}
}

// A roll-forward must add a version and keep the history. After a backup with an
// older head is restored, Publish must fail until Restore has written the version
// in force back.
func TestRollForwardAndRestore(t *testing.T) {
	_, s := newStore(t)
	var inForce uint64
	p := New(s, Options{InForce: func() uint64 { return inForce }})
	publish(t, p, 0, content(1), "c1")
	backup, err := s.Get(t.Context(), HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	publish(t, p, 1, content(2), "c2")
	r, err := p.RollForward(t.Context(), 2, 1, meta("back"))
	if err != nil || r.Version != 3 {
		t.Fatal(r, err)
	}
	newest, err := p.Load(t.Context())
	if err != nil || newest.Register.Services[0].Instances[0].Slots != 1 {
		t.Fatal(newest, err)
	}
	h, err := p.History(t.Context())
	if err != nil || len(h) != 3 || h[1].ChangeID != "c2" || len(h[1].What) != 1 {
		t.Fatal(h, err)
	}
	inForce = 3
	if err := s.CompareAndSwap(t.Context(), store.Write{Key: HeadKey, Value: backup.Value, Index: headIndex(t, s)}); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Publish(t.Context(), 1, content(5), meta("c4")); !errors.Is(err, ErrStoreBehind) {
		t.Fatal(err)
	}
	if err := p.Restore(t.Context(), newest); err != nil {
		t.Fatal(err)
	}
	if r := publish(t, p, 3, content(5), "c4"); r.Version != 4 {
		t.Fatalf("%+v", r)
	}
}

// Clean must not delete chunks that a kept version or a change in progress needs,
// and must delete the others after the grace period.
func TestCleanKeepsReferencedChunks(t *testing.T) {
	_, s := newStore(t)
	p := New(s, Options{})
	for i := range uint64(NumKeptVersions + 4) {
		publish(t, p, i, content(int(i)+1), fmt.Sprint("c", i))
	}
	cleaner := NewCleaner(p)
	now := time.Unix(1e9, 0)
	clean := func() int {
		t.Helper()
		n, err := cleaner.Clean(t.Context(), now)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := clean(); n != 0 {
		t.Fatalf("the first Clean deleted %d chunks", n)
	}
	now = now.Add(CleanGracePeriod - time.Second)
	clean()
	// A change writes an unreferenced chunk again just before it would be deleted.
	publish(t, p, NumKeptVersions+4, content(1), "again")
	now = now.Add(time.Hour)
	if n := clean(); n == 0 {
		t.Fatal("no chunk deleted")
	}
	if got, err := p.Load(t.Context()); err != nil || got.Register.Services[0].Instances[0].Slots != 1 {
		t.Fatal(got, err)
	}
	for v := uint64(NumKeptVersions + 5); v >= 5; v-- {
		if _, err := p.LoadVersion(t.Context(), v); err != nil {
			t.Fatalf("version %d: %v", v, err)
		}
	}
	if _, err := p.LoadVersion(t.Context(), 2); !errors.Is(err, ErrVersionGone) {
		t.Fatal(err)
	}
}
