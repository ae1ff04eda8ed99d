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

func (sim *simulation) publish() {
	var prev *Head
	if sim.lastBuilt != nil {
		prev = sim.lastBuilt.Head
	}
	c := content("random", sim.rng.IntN(50))
	c.Register.Services[0].Instances[0].Slots = 1 + sim.rng.IntN(100)
	sim.lastBuilt = build(sim.t, prev, c, fmt.Sprint("c", len(sim.heads)))
	for h, data := range chunkMap(sim.lastBuilt) {
		sim.chunks[h] = data
	}
	sim.heads = append(sim.heads, sim.lastBuilt.HeadBytes)
}

// deliver passes an update to a VM after up to 300 ms, unless the update is lost
// or the VM restarts in the meantime.
func (sim *simulation) deliver(v *simulatedVM, u Update) {
	if sim.faultsEnabled && sim.rng.IntN(100) < sim.lossPercent {
		return
	}
	sim.inTransit = append(sim.inTransit, delayedUpdate{sim.now.Add(time.Duration(sim.rng.IntN(300)) * time.Millisecond), v, v.tracker, u})
}

func (sim *simulation) step(v *simulatedVM, u Update) {
	for _, e := range v.tracker.Step(sim.now, u) {
		switch e := e.(type) {
		case Fetch:
			sim.fetch(v, e)
		case Apply:
			if got := e.Snapshot.Head.Version; got <= v.highestApplied {
				sim.t.Fatalf("%s applied version %d after %d", v.id, got, v.highestApplied)
			}
			v.highestApplied = e.Snapshot.Head.Version
		}
	}
}

func (sim *simulation) fetch(v *simulatedVM, f Fetch) {
	var data []byte
	ok := false
	if f.Peer == "" {
		data, ok = sim.chunks[f.Hash]
		ok = ok && !sim.storeDown
	} else {
		for _, p := range sim.vms {
			if p.id == f.Peer && !sim.now.Before(p.pausedUntil) {
				data, ok = p.tracker.Chunk(f.Hash)
			}
		}
	}
	switch {
	case !ok:
		sim.deliver(v, FetchFailed(f))
	case sim.faultsEnabled && sim.rng.IntN(50) == 0:
		sim.deliver(v, ChunkReceived{Hash: f.Hash, Data: append([]byte("x"), data...), Peer: f.Peer})
	default:
		sim.deliver(v, ChunkReceived{Hash: f.Hash, Data: data, Peer: f.Peer})
	}
}

func (sim *simulation) injectFault() {
	v := sim.vms[sim.rng.IntN(len(sim.vms))]
	switch sim.rng.IntN(40) {
	case 0:
		v.tracker, v.highestApplied = NewTracker(sim.rng.Uint64()), 0
	case 1:
		v.pausedUntil = sim.now.Add(time.Duration(sim.rng.IntN(8)) * time.Second)
	case 2:
		sim.storeDown = !sim.storeDown
	case 3:
		sim.storeStale = !sim.storeStale
	case 4:
		sim.lossPercent = sim.rng.IntN(60)
	case 5, 6:
		if !sim.storeDown {
			sim.publish()
		}
	}
}

// tick advances time by 100 ms and delivers what is due. The first two VMs watch
// the store, and every VM receives the version of a random VM.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(100 * time.Millisecond)
	due := sim.inTransit
	sim.inTransit = nil
	for _, d := range due {
		switch {
		case d.tracker != d.vm.tracker:
		case d.deliverAt.After(sim.now) || sim.now.Before(d.vm.pausedUntil):
			sim.inTransit = append(sim.inTransit, d)
		default:
			sim.step(d.vm, d.update)
		}
	}
	for i, v := range sim.vms {
		if sim.now.Before(v.pausedUntil) {
			continue
		}
		sim.step(v, nil)
		if i < 2 && !sim.storeDown && sim.rng.IntN(5) == 0 {
			head := sim.heads[len(sim.heads)-1]
			if sim.storeStale && sim.faultsEnabled {
				head = sim.heads[sim.rng.IntN(len(sim.heads))]
			}
			sim.deliver(v, StoreHead{Data: head, Watcher: true})
		}
		p := sim.vms[sim.rng.IntN(len(sim.vms))]
		if s := p.tracker.Current(); s != nil && p != v {
			sim.deliver(v, PeerVersion{Peer: p.id, Version: s.Head.Version, Head: s.HeadHash()})
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
		sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, round)), now: start, chunks: make(map[Hash][]byte), faultsEnabled: true}
		for i := range 8 {
			sim.vms = append(sim.vms, &simulatedVM{id: fmt.Sprint("vm-", i), tracker: NewTracker(seed + uint64(i))})
		}
		sim.publish()
		for range 600 {
			sim.injectFault()
			sim.tick()
		}
		sim.faultsEnabled, sim.storeDown, sim.storeStale = false, false, false
		for _, v := range sim.vms {
			v.pausedUntil = time.Time{}
		}
		sim.publish()
		for range 80 {
			sim.tick()
		}
		for _, v := range sim.vms {
			if got := v.tracker.Version(); got != uint64(len(sim.heads)) {
				t.Errorf("%s has version %d of %d 8 s after the faults ended; %s", v.id, got, len(sim.heads), run)
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
