package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer"
	"github.com/currantferry/currantferry/store/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stepTimeout is far above the duration of a step, so that a busy machine does
// not fail a test; states and counts are checked.
const stepTimeout = 20 * time.Second

// startFleet returns a fleet with version 1 in force everywhere.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.publish(0)
	f.startMany(n)
	await(t, stepTimeout, "version 1 everywhere", func() bool { return inForceEverywhere(f.nodes, 1) })
	for _, v := range f.nodes {
		await(t, stepTimeout, "readiness", v.IsReady)
	}
	return f
}

// An accepted change must come into force on all VMs, and AwaitInForce must report
// VMs with an older version as lagging.
func TestChangeIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 6)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	m := config.Meta{ChangeID: "c2", By: "anna", At: time.Now()}
	r, err := f.nodes[0].Publish(ctx, 1, content("c2"), m)
	if err != nil || r.Version != 2 {
		t.Fatal(r, err)
	}
	if p := f.nodes[0].AwaitInForce(ctx, 2, nil); p.InForce != 6 || len(p.Lagging) != 0 {
		t.Fatalf("in force on %d of %d, lagging %v", p.InForce, p.Total, p.Lagging)
	}
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if p := f.nodes[0].AwaitInForce(short, 3, nil); p.InForce != 0 || len(p.Lagging) != 6 {
		t.Fatalf("in force on %d of %d, lagging %v", p.InForce, p.Total, p.Lagging)
	}
}

// A change must be in force on the VM that accepted it when Publish returns.
// Otherwise the next request to that VM would follow the previous rules.
func TestAcceptedChangeIsInForceHere(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	for v := uint64(2); v < 12; v++ {
		m := config.Meta{ChangeID: fmt.Sprint("c", v), By: "anna", At: time.Now()}
		r, err := f.nodes[0].Publish(t.Context(), v-1, content(m.ChangeID), m)
		if here := f.nodes[0].Version(); err != nil || r.Version != v || here != v {
			t.Fatalf("accepted as version %d with %v, in force here %d", r.Version, err, here)
		}
	}
}

// A VM must be able to start from its peers while the store is down. Without
// peers it must not accept callers, because no other VM confirmed its version.
func TestStartWithoutStore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 6)
	f.publish(1)
	await(t, stepTimeout, "version 2", func() bool { return inForceEverywhere(f.nodes, 2) })
	f.store.SetFault(standin.Fault{Down: true})
	isolated := f.start("vm-alone", "region0-a")
	f.configure = func(o *Options) { o.Seeds = append(o.Seeds, f.nodes[0].info, f.nodes[3].info) }
	n := f.start("vm-new", "region0-a")
	await(t, stepTimeout, "version 2 on the new node", func() bool { return n.Version() == 2 })
	await(t, stepTimeout, "readiness of the new node", n.IsReady)
	if isolated.IsReady() || isolated.Version() != 0 {
		t.Fatal("a VM without peers and store is ready")
	}
}

// A watch of the store that never returns must not hold back changes.
func TestStuckWatch(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure = func(o *Options) { o.StoreTimeout, o.WatchWait = 300*time.Millisecond, 200*time.Millisecond }
	f.publish(0)
	f.startMany(6)
	await(t, stepTimeout, "version 1", func() bool { return inForceEverywhere(f.nodes, 1) })
	f.store.SetFault(standin.Fault{StuckWatches: true})
	f.publish(1)
	await(t, stepTimeout, "version 2", func() bool { return inForceEverywhere(f.nodes, 2) })
}

// An older head in the store, as after a restore from a backup, must not
// replace the version in force, nor reach a VM that just started.
func TestOlderHeadInStoreIsRefused(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 6)
	old, err := f.client.Get(t.Context(), configstore.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	f.publish(1)
	await(t, stepTimeout, "version 2", func() bool { return inForceEverywhere(f.nodes, 2) })
	f.store.SetFault(standin.Fault{StaleKeys: map[string][]byte{configstore.HeadKey: old.Value}})
	n := f.start("vm-new", "region0-b")
	await(t, stepTimeout, "version 2 on the new node", func() bool { return n.Version() == 2 })
	for _, v := range f.nodes[:6] {
		if _, ok := v.inForce(2); !ok || v.Version() != 2 {
			t.Errorf("%s has version %d", v.info.ID, v.Version())
		}
	}
}

// Many VMs that restart at once must not each read every chunk and head from
// the store.
func TestRestartOfManyCausesNoHerd(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	// Regular reads of the list grow with the duration of the test and are
	// excluded.
	f.configure = func(o *Options) { o.ListInterval = time.Hour }
	f.publish(0)
	f.startMany(12)
	for _, n := range f.nodes {
		await(t, stepTimeout, "readiness", n.IsReady)
	}
	before := f.store.Counts()
	const restarted = 18
	var wg sync.WaitGroup
	for i := range restarted {
		wg.Go(func() { f.start(fmt.Sprint("vm-new-", i), fmt.Sprintf("region%d-%c", i%6/2, 'a'+i%2)) })
	}
	wg.Wait()
	for _, n := range f.nodes {
		await(t, stepTimeout, "readiness", n.IsReady)
	}
	// Each VM reads the list once, and the head at most once to confirm its
	// version. 12 VMs watch, and a VM that takes over as a watcher reads the
	// head.
	reads := f.store.Counts().Reads - before.Reads
	t.Logf("%d reads of the store for %d restarted VMs", reads, restarted)
	if reads > 2*restarted+12 {
		t.Errorf("%d reads of the store for %d restarted VMs", reads, restarted)
	}
}

// An outage of the store must change neither versions nor readiness, and only
// the watchers may call the store while it lasts.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 12)
	f.store.SetFault(standin.Fault{Down: true})
	time.Sleep(time.Second)
	before := f.store.Counts()
	time.Sleep(2 * time.Second)
	after := f.store.Counts()
	// 12 watchers call once or twice a second at first and read the list as
	// often. The pause doubles from 250 ms.
	if calls := after.Reads + after.Watches - before.Reads - before.Watches; calls > 12*2*4 {
		t.Errorf("%d calls in 2 s of an outage", calls)
	}
	for _, n := range f.nodes {
		if n.Version() != 1 || !n.IsReady() {
			t.Errorf("%s: version %d, ready %v", n.info.ID, n.Version(), n.IsReady())
		}
	}
	f.store.SetFault(standin.Fault{})
	f.publish(1)
	await(t, stepTimeout, "version 2 after the outage", func() bool { return inForceEverywhere(f.nodes, 2) })
}

// Other VMs must learn from an announcement that a VM stops, not by timeout.
func TestLeaveIsKnownAtOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 6)
	n := f.nodes[5]
	n.Leave(t.Context())
	n.crash()
	for _, v := range f.nodes[:5] {
		await(t, stepTimeout, "departure", func() bool {
			m, _ := v.Member(n.info.ID)
			return m.State == member.Gone
		})
	}
}

// Sections and the platform's list must reach all VMs.
func TestSectionsAndListSpread(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.publish(0)
	var mu sync.Mutex
	got := make(map[string]string)
	f.configure = func(o *Options) {
		o.Member.Sections = map[uint8]member.SectionKind{1: {Reconciled: true}}
		id := o.Self.ID
		o.OnSection = func(s member.Section) {
			mu.Lock()
			defer mu.Unlock()
			got[id] = string(s.Value)
		}
	}
	f.startMany(6)
	f.nodes[2].SetSection(1, 1, []byte("value"))
	await(t, stepTimeout, "section on 5 nodes", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(got) == 5 && got["vm-000"] == "value"
	})
	for _, n := range f.nodes {
		await(t, stepTimeout, "list on every node", func() bool {
			listed := 0
			for _, m := range n.Members() {
				if m.Listed {
					listed++
				}
			}
			return listed == 6
		})
	}
}

// A list from a peer must be refused if its hash is not the announced one.
func TestDecodeListChecksHash(t *testing.T) {
	t.Parallel()
	if _, err := decodeList([]byte("[]"), [32]byte{1}); err == nil {
		t.Fatal("a list with another hash was accepted")
	}
	if _, err := New(Options{Pool: new(peer.Pool)}); err == nil {
		t.Fatal("options without an ID were accepted")
	}
}
