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

// world is a store and some VMs in virtual time. Messages are lost, VMs pause
// and restart, the store is down, slow or shows an older head.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	heads   [][]byte
	chunks  map[Hash][]byte
	last    *Built
	vms     []*configVM
	later   []delayed
	loss    int // percent
	down    bool
	stale   bool
	trouble bool
}

type configVM struct {
	id      string
	tracker *Tracker
	pause   time.Time
	highest uint64
}

type delayed struct {
	at  time.Time
	vm  *configVM
	tr  *Tracker
	new News
}

func (w *world) publish() {
	var prev *Head
	if w.last != nil {
		prev = w.last.Head
	}
	c := content("random", w.rng.IntN(50))
	c.Register.Services[0].Instances[0].Slots = 1 + w.rng.IntN(100)
	w.last = build(w.t, prev, c, fmt.Sprint("c", len(w.heads)))
	for h, data := range chunkMap(w.last) {
		w.chunks[h] = data
	}
	w.heads = append(w.heads, w.last.HeadBytes)
}

// deliver hands news to a VM after a while, unless it is lost or the VM restarts.
func (w *world) deliver(v *configVM, n News) {
	if w.trouble && w.rng.IntN(100) < w.loss {
		return
	}
	w.later = append(w.later, delayed{w.now.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond), v, v.tracker, n})
}

func (w *world) step(v *configVM, n News) {
	for _, e := range v.tracker.Step(w.now, n) {
		switch e := e.(type) {
		case Fetch:
			w.fetch(v, e)
		case Apply:
			if got := e.Snapshot.Head.Version; got <= v.highest {
				w.t.Fatalf("%s applied version %d after %d", v.id, got, v.highest)
			}
			v.highest = e.Snapshot.Head.Version
		}
	}
}

func (w *world) fetch(v *configVM, f Fetch) {
	var data []byte
	ok := false
	if f.Peer == "" {
		data, ok = w.chunks[f.Hash]
		ok = ok && !w.down
	} else {
		for _, p := range w.vms {
			if p.id == f.Peer && !w.now.Before(p.pause) {
				data, ok = p.tracker.Chunk(f.Hash)
			}
		}
	}
	switch {
	case !ok:
		w.deliver(v, Failed(f))
	case w.trouble && w.rng.IntN(50) == 0:
		w.deliver(v, Received{Hash: f.Hash, Data: append([]byte("x"), data...), Peer: f.Peer})
	default:
		w.deliver(v, Received{Hash: f.Hash, Data: data, Peer: f.Peer})
	}
}

func (w *world) disturb() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(40) {
	case 0:
		v.tracker, v.highest = NewTracker(w.rng.Uint64()), 0
	case 1:
		v.pause = w.now.Add(time.Duration(w.rng.IntN(8)) * time.Second)
	case 2:
		w.down = !w.down
	case 3:
		w.stale = !w.stale
	case 4:
		w.loss = w.rng.IntN(60)
	case 5, 6:
		if !w.down {
			w.publish()
		}
	}
}

// tick lets 100 ms pass: the first two VMs watch the store, and every VM hears
// of the version of another one.
func (w *world) tick() {
	w.now = w.now.Add(100 * time.Millisecond)
	due := w.later
	w.later = nil
	for _, d := range due {
		switch {
		case d.tr != d.vm.tracker:
		case d.at.After(w.now) || w.now.Before(d.vm.pause):
			w.later = append(w.later, d)
		default:
			w.step(d.vm, d.new)
		}
	}
	for i, v := range w.vms {
		if w.now.Before(v.pause) {
			continue
		}
		w.step(v, nil)
		if i < 2 && !w.down && w.rng.IntN(5) == 0 {
			head := w.heads[len(w.heads)-1]
			if w.stale && w.trouble {
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

// Runs losses, pauses, restarts, outages and an older head in the store at
// random. Guards against a version that reverts on a VM, and against one that is
// not in force everywhere within 8 s once the links return.
func TestRandomisedHistoryNeverReverts(t *testing.T) {
	for round := range envInt("CURRANTFERRY_ROUNDS", 10) {
		seed := envInt("CURRANTFERRY_SEED", 1)
		run := fmt.Sprintf("round %d; CURRANTFERRY_SEED=%d go test ./config -run %s", round, seed, t.Name())
		restore := invariant.OnViolation(func(v invariant.Violation) { t.Errorf("%s; %s", v, run) })
		w := &world{t: t, rng: rand.New(rand.NewPCG(seed, round)), now: start, chunks: make(map[Hash][]byte), trouble: true}
		for i := range 8 {
			w.vms = append(w.vms, &configVM{id: fmt.Sprint("vm-", i), tracker: NewTracker(seed + uint64(i))})
		}
		w.publish()
		for range 600 {
			w.disturb()
			w.tick()
		}
		w.trouble, w.down, w.stale = false, false, false
		for _, v := range w.vms {
			v.pause = time.Time{}
		}
		w.publish()
		for range 80 {
			w.tick()
		}
		for _, v := range w.vms {
			if got := v.tracker.Version(); got != uint64(len(w.heads)) {
				t.Errorf("%s has version %d of %d 8 s after the links returned; %s", v.id, got, len(w.heads), run)
			}
		}
		restore()
	}
}

// Guards against a record from the store or a peer that makes a decoder panic or
// pass its limits.
func FuzzHead(f *testing.F) {
	b := build(f, nil, content("a", 3), "c1")
	f.Add(b.HeadBytes)
	f.Add([]byte(`{"version":1,"change_id":"x","by":"y","chunks":[{"section":"rules","sha256":"00","bytes":-1}]}`))
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

// Guards against the same for chunks.
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
		_, _ = ParseArchived(data)
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
