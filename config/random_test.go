package config

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
)

func envInt(name string, def uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return def
}

// simulation runs a store and several VMs in virtual time. Messages are delayed.
// While faults are enabled, messages are also lost or corrupted, VMs pause and
// restart, and the store is down or returns an older head.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Time
	heads         [][]byte
	chunks        map[Hash][]byte
	lastBuilt     *EncodedVersion
	vms           []*simulatedVM
	inTransit     []delayedUpdate
	lossPercent   int
	storeDown     bool
	storeStale    bool
	faultsEnabled bool
}

type simulatedVM struct {
	id             string
	tracker        *Tracker
	pausedUntil    time.Time
	highestApplied uint64
}

type delayedUpdate struct {
	deliverAt time.Time
	vm        *simulatedVM
	tracker   *Tracker
	update    Update
}

func (w *simulation) publish() {
	var prev *Head
	if w.lastBuilt != nil {
		prev = w.lastBuilt.Head
	}
	c := content("random", w.rng.IntN(50))
	c.Register.Services[0].Instances[0].Slots = 1 + w.rng.IntN(100)
	w.lastBuilt = build(w.t, prev, c, fmt.Sprint("c", len(w.heads)))
	for h, data := range chunkMap(w.lastBuilt) {
		w.chunks[h] = data
	}
	w.heads = append(w.heads, w.lastBuilt.HeadBytes)
}

// deliver passes an update to a VM after up to 300 ms, unless the update is lost
// or the VM restarts in the meantime.
func (w *simulation) deliver(v *simulatedVM, n Update) {
	if w.faultsEnabled && w.rng.IntN(100) < w.lossPercent {
		return
	}
	w.inTransit = append(w.inTransit, delayedUpdate{w.now.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond), v, v.tracker, n})
}

func (w *simulation) step(v *simulatedVM, n Update) {
	for _, e := range v.tracker.Step(w.now, n) {
		switch e := e.(type) {
		case Fetch:
			w.fetch(v, e)
		case Apply:
			if got := e.Snapshot.Head.Version; got <= v.highestApplied {
				w.t.Fatalf("%s applied version %d after %d", v.id, got, v.highestApplied)
			}
			v.highestApplied = e.Snapshot.Head.Version
		}
	}
}

func (w *simulation) fetch(v *simulatedVM, f Fetch) {
	var data []byte
	ok := false
	if f.Peer == "" {
		data, ok = w.chunks[f.Hash]
		ok = ok && !w.storeDown
	} else {
		for _, p := range w.vms {
			if p.id == f.Peer && !w.now.Before(p.pausedUntil) {
				data, ok = p.tracker.Chunk(f.Hash)
			}
		}
	}
	switch {
	case !ok:
		w.deliver(v, FetchFailed(f))
	case w.faultsEnabled && w.rng.IntN(50) == 0:
		w.deliver(v, ChunkReceived{Hash: f.Hash, Data: append([]byte("x"), data...), Peer: f.Peer})
	default:
		w.deliver(v, ChunkReceived{Hash: f.Hash, Data: data, Peer: f.Peer})
	}
}

func (w *simulation) injectFault() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(40) {
	case 0:
		v.tracker, v.highestApplied = NewTracker(w.rng.Uint64()), 0
	case 1:
		v.pausedUntil = w.now.Add(time.Duration(w.rng.IntN(8)) * time.Second)
	case 2:
		w.storeDown = !w.storeDown
	case 3:
		w.storeStale = !w.storeStale
	case 4:
		w.lossPercent = w.rng.IntN(60)
	case 5, 6:
		if !w.storeDown {
			w.publish()
		}
	}
}

// tick advances time by 100 ms and delivers what is due. The first two VMs watch
// the store, and every VM receives the version of a random VM.
func (w *simulation) tick() {
	w.now = w.now.Add(100 * time.Millisecond)
	due := w.inTransit
	w.inTransit = nil
	for _, d := range due {
		switch {
		case d.tracker != d.vm.tracker:
		case d.deliverAt.After(w.now) || w.now.Before(d.vm.pausedUntil):
			w.inTransit = append(w.inTransit, d)
		default:
			w.step(d.vm, d.update)
		}
	}
	for i, v := range w.vms {
		if w.now.Before(v.pausedUntil) {
			continue
		}
		w.step(v, nil)
		if i < 2 && !w.storeDown && w.rng.IntN(5) == 0 {
			head := w.heads[len(w.heads)-1]
			if w.storeStale && w.faultsEnabled {
				head = w.heads[w.rng.IntN(len(w.heads))]
			}
			w.deliver(v, StoreHead{Data: head, Watcher: true})
		}
		p := w.vms[w.rng.IntN(len(w.vms))]
		if s := p.tracker.Current(); s != nil && p != v {
			w.deliver(v, PeerVersion{Peer: p.id, Version: s.Head.Version, Head: s.HeadHash()})
		}
	}
}

// With random message loss, pauses, restarts, store outages and older heads in the
// store, no VM may revert to an older version. Within 8 s after the faults end,
// the newest version must be in force on every VM.
func TestRandomisedHistoryNeverReverts(t *testing.T) {
	for round := range envInt("CURRANTFERRY_ROUNDS", 10) {
		seed := envInt("CURRANTFERRY_SEED", 1)
		run := fmt.Sprintf("round %d; CURRANTFERRY_SEED=%d go test ./config -run %s", round, seed, t.Name())
		restore := invariant.OnViolation(func(v invariant.Violation) { t.Errorf("%s; %s", v, run) })
		w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, round)), now: start, chunks: make(map[Hash][]byte), faultsEnabled: true}
		for i := range 8 {
			w.vms = append(w.vms, &simulatedVM{id: fmt.Sprint("vm-", i), tracker: NewTracker(seed + uint64(i))})
		}
		w.publish()
		for range 600 {
			w.injectFault()
			w.tick()
		}
		w.faultsEnabled, w.storeDown, w.storeStale = false, false, false
		for _, v := range w.vms {
			v.pausedUntil = time.Time{}
		}
		w.publish()
		for range 80 {
			w.tick()
		}
		for _, v := range w.vms {
			if got := v.tracker.Version(); got != uint64(len(w.heads)) {
				t.Errorf("%s has version %d of %d 8 s after the faults ended; %s", v.id, got, len(w.heads), run)
			}
		}
		restore()
	}
}

// A malformed head record from the store or a peer must not make the decoder panic
// or exceed its limits, and a record that is accepted must encode and parse again.
func FuzzHead(f *testing.F) {
	b := build(f, nil, content("a", 3), "c1")
	f.Add(b.HeadBytes)
	f.Add([]byte(`{"version":1,"change_id":"x","by":"y","chunks":[{"section":"rules","refs":["AA.-1","."]}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := ParseHead(data)
		if err != nil {
			return
		}
		again, err := h.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseHead(again); err != nil {
			t.Fatal(err)
		}
		_, _ = NewSnapshot(data, nil)
		NewTracker(1).Step(start, StoreHead{Data: data})
	})
}

// A malformed chunk must not make a decoder panic or exceed its limits.
func FuzzChunk(f *testing.F) {
	for _, c := range build(f, nil, content("a", 3), "c1").Chunks {
		f.Add(c.Data)
	}
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		raw, err := Unpack(data)
		if len(raw) > maxRawBytes {
			t.Fatalf("%d bytes", len(raw))
		}
		if err != nil {
			return
		}
		_, _ = ParseHistory(data)
		_, _ = ParseArchivedHead(data)
		blocks, err := decodeBlocks(data, make(map[string]string))
		if err != nil {
			return
		}
		for _, b := range blocks {
			if !b.Prefix.IsValid() {
				t.Fatalf("block %v", b)
			}
		}
	})
}
