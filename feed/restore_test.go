package feed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/internal/testkit"
)

// modelStore is a store that can be restored to any of its earlier revisions. It keeps all
// states that it ever had.
type modelStore struct {
	// states holds the revision of each key at each position, log the changes of the
	// present epoch and of the copy.
	states map[history.Position]map[string]uint64
	log    []Record
	at     history.Position
}

func newModelStore() *modelStore {
	s := &modelStore{states: make(map[history.Position]map[string]uint64), at: history.Position{Epoch: 1, Revision: 1}}
	s.states[s.at] = map[string]uint64{}
	return s
}

func (s *modelStore) write(key string, removed bool) {
	state := maps.Clone(s.states[s.at])
	if _, exists := state[key]; removed && !exists {
		return
	}
	s.at.Revision++
	state[key] = s.at.Revision
	if removed {
		delete(state, key)
	}
	s.states[s.at] = state
	s.log = append(s.log, Record{Key: key, Revision: s.at.Revision, Removed: removed})
}

// restore goes back by a number of revisions and begins the next epoch.
func (s *modelStore) restore(revisions uint64) {
	back := history.Position{Epoch: s.at.Epoch, Revision: max(s.at.Revision-min(revisions, s.at.Revision), 1)}
	for s.states[back] == nil {
		// The copy is older than the last restore.
		back.Epoch--
	}
	state := s.states[back]
	s.at = history.Position{Epoch: s.at.Epoch + 1, Revision: back.Revision}
	s.states[s.at] = state
	kept := s.log[:0:0]
	for _, r := range s.log {
		if r.Revision <= back.Revision {
			kept = append(kept, r)
		}
	}
	s.log = kept
}

func (s *modelStore) read() Answer {
	a := Answer{Position: s.at}
	for key, revision := range s.states[s.at] {
		a.Records = append(a.Records, Record{Key: key, Revision: revision})
	}
	return a
}

func (s *modelStore) watch(after history.Position) (Answer, error) {
	if after.Revision > s.at.Revision {
		return Answer{}, ErrCompacted
	}
	a := Answer{Position: s.at}
	for _, r := range s.log {
		if r.Revision > after.Revision {
			a.Records = append(a.Records, r)
		}
	}
	return a, nil
}

// modelVM follows the store or another VM. One request at a time is on its way; its answer
// is delivered any time later.
type modelVM struct {
	*replica
	direct  bool
	source  *replica
	pending func() error
}

// ask sends the next request, whose answer is what the source knows now.
func (vm *modelVM) ask(s *modelStore, needsState bool) {
	if needsState || !vm.isLoaded() {
		var a Answer
		if vm.direct {
			a = s.read()
		} else {
			var ok bool
			if a, _, ok = vm.source.state(0); !ok {
				return
			}
		}
		vm.pending = func() error { return vm.load(0, &a, history.Position{}) }
		return
	}
	position, _ := vm.position(0)
	var a Answer
	var err error
	if vm.direct {
		a, err = s.watch(position)
	} else {
		a, _, err = vm.source.changesAfter(0, position)
	}
	vm.pending = func() error {
		if err != nil {
			return err
		}
		_, err := vm.apply(0, &a)
		return err
	}
}

// deliver delivers the pending answer. An answer that asks for the whole state is followed
// by the request for it.
func (vm *modelVM) deliver(s *modelStore) {
	pending := vm.pending
	vm.pending = nil
	if pending != nil && errors.Is(pending(), ErrCompacted) {
		vm.ask(s, true)
	}
}

// check fails unless the replica is one of the states that the store had, and no older one
// than before.
func (vm *modelVM) check(t *testing.T, s *modelStore, before history.Position) {
	t.Helper()
	if !vm.isLoaded() {
		return
	}
	if vm.at.Before(before) {
		t.Fatalf("position %+v after %+v", vm.at, before)
	}
	want := s.states[vm.at]
	if want == nil || len(want) != len(vm.records) {
		t.Fatalf("%d records at %+v, want %d", len(vm.records), vm.at, len(want))
	}
	for key, revision := range want {
		if vm.records[key].Revision != revision {
			t.Fatalf("%s at %+v: revision %d, want %d", key, vm.at, vm.records[key].Revision, revision)
		}
	}
}

// A replica must at all times be a state that the store had, and never go back, whatever
// the store is restored to, and however late the answers of the store and of relays in
// other epochs arrive. Once answers arrive, all replicas must reach the store's state.
func TestReplicasFollowARestoredStore(t *testing.T) {
	const defaultRounds = 300
	seed, rounds := testkit.Seed(t, 1), testkit.Rounds(t, defaultRounds)
	for round := range rounds {
		rng := rand.New(rand.NewPCG(seed, uint64(round)))
		store := newModelStore()
		vms := make([]*modelVM, 2+rng.IntN(6))
		for k := range vms {
			vms[k] = &modelVM{replica: newReplica(), direct: k == 0 || rng.IntN(3) == 0}
			if k > 0 {
				vms[k].source = vms[rng.IntN(k)].replica
			}
		}
		for range 200 {
			switch n := rng.IntN(100); {
			case n < 4:
				store.restore(uint64(rng.IntN(15)))
			case n < 30:
				store.write(fmt.Sprint("k", rng.IntN(8)), rng.IntN(3) == 0)
			default:
				vm := vms[rng.IntN(len(vms))]
				before := vm.at
				if vm.pending != nil {
					vm.deliver(store)
				} else {
					vm.ask(store, rng.IntN(20) == 0)
				}
				vm.check(t, store, before)
				if rng.IntN(10) == 0 && !vm.direct {
					// The VM changes to another relay, which may be in an earlier epoch.
					vm.source = vms[rng.IntN(len(vms))].replica
				}
			}
		}
		for k, vm := range vms {
			vm.pending = nil
			vm.direct = vm.direct || vm.source == vm.replica
			if k > 0 {
				vm.source = vms[0].replica
			}
			for range 3 {
				vm.ask(store, false)
				vm.deliver(store)
				vm.deliver(store)
			}
			if vm.at != store.at {
				t.Fatalf("round %d, seed %d: VM %d is at %+v, the store at %+v", round, seed, k, vm.at, store.at)
			}
			vm.check(t, store, history.Position{})
		}
	}
}

// A follower in a later epoch than its relay must leave it, and one in an earlier epoch
// must read the whole state.
func TestFollowerAndRelayInDifferentEpochs(t *testing.T) {
	for name, epochs := range map[string][2]uint64{"relay behind": {2, 1}, "relay ahead": {1, 2}} {
		t.Run(name, func(t *testing.T) {
			relayStore := newMemorySource()
			relay := start(t, relayStore, func() ([]string, bool) { return nil, true })
			eventually(t, "state", relay.follower.replica.isLoaded)
			load := func(epoch uint64) {
				a := &Answer{Position: history.Position{Epoch: epoch, Revision: 9}}
				if err := relay.follower.replica.load(Uptime(), a, history.Position{}); err != nil {
					t.Fatal(err)
				}
			}
			relayStore.setDown(true)
			load(epochs[1])
			source := &relaySource{relay.follower.client, relay.address(), time.Second, at(0)}
			_, err := source.Watch(t.Context(), history.Position{Epoch: epochs[0], Revision: 9}, 10*time.Millisecond)
			want := ErrCompacted
			if epochs[0] > epochs[1] {
				want = ErrOutdated
			}
			if !errors.Is(err, want) {
				t.Errorf("%v, want %v", err, want)
			}
		})
	}
}

// A store that does not tell its epoch, also after it did, must be followed as before.
func TestStoreWithoutEpochIsFollowed(t *testing.T) {
	store := newMemorySource()
	vm := start(t, store, func() ([]string, bool) { return nil, true })
	eventually(t, "state", vm.follower.replica.isLoaded)
	vm.follower.replica.mu.Lock()
	vm.follower.replica.at.Epoch = 3
	vm.follower.replica.mu.Unlock()
	store.put(2, "a")
	eventually(t, "change", func() bool { return vm.sink.has("a") })
}

// A relay must hand over what it knew before a restore, removals included, also if it has
// just answered with the whole state of that time, and only for a while.
func TestRelayHandsOverWhatItKnewBeforeARestore(t *testing.T) {
	store := newMemorySource()
	var offset atomic.Int64
	relay := newTestVM(store, func() ([]string, bool) { return nil, true })
	relay.follower.options.Uptime = func() time.Duration { return Uptime() + time.Duration(offset.Load()) }
	defer relay.server.Close()
	r := relay.follower.replica
	now := relay.follower.options.Uptime
	first := &Answer{Position: history.Position{Epoch: 1, Revision: 4}, Records: []Record{{Key: "kept", Revision: 2}, {Key: "old", Revision: 3}, {Key: "left", Revision: 4}}}
	if err := r.load(now(), first, history.Position{}); err != nil {
		t.Fatal(err)
	}
	changes := &Answer{Position: history.Position{Epoch: 1, Revision: 7}, Records: []Record{{Key: "old", Revision: 5}, {Key: "left", Revision: 6, Removed: true}, {Key: "new", Revision: 7}}}
	if _, err := r.apply(now(), changes); err != nil {
		t.Fatal(err)
	}
	source := &relaySource{http.DefaultClient, relay.address(), time.Second, history.Position{}}
	if a, err := source.Read(t.Context()); err != nil || a.HasEarlier || len(a.Records) != 3 {
		t.Fatalf("%+v %v before the restore", a, err)
	}
	restored := &Answer{Position: history.Position{Epoch: 2, Revision: 4}, Records: first.Records}
	if err := r.load(now(), restored, history.Position{}); err != nil {
		t.Fatal(err)
	}
	a, err := source.Earlier(t.Context())
	want := []Record{{Key: "left", Revision: 4}, {Key: "left", Revision: 6, Removed: true}, {Key: "new", Revision: 7}, {Key: "old", Revision: 5}}
	if err != nil || a.Position != (history.Position{Epoch: 1, Revision: 7}) || fmt.Sprint(a.Records) != fmt.Sprint(want) {
		t.Fatalf("%+v %v, want %v", a, err, want)
	}
	if a, err := source.Read(t.Context()); err != nil || !a.HasEarlier {
		t.Errorf("%+v %v after the restore", a, err)
	}
	// What its owner has written again is no longer handed over.
	if _, err := r.apply(now(), &Answer{Position: history.Position{Epoch: 2, Revision: 5}, Records: []Record{{Key: "new", Revision: 5}}}); err != nil {
		t.Fatal(err)
	}
	if a, err := source.Earlier(t.Context()); err != nil || len(a.Records) != 3 {
		t.Errorf("%+v %v after one owner has written again", a, err)
	}
	offset.Store(int64(earlierTTL + time.Second))
	if _, err := source.Earlier(t.Context()); err == nil {
		t.Error("handed over too late")
	}
}
