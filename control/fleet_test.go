package control

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
	"github.com/currantferry/currantferry/store/standin"
)

// fleet is a stand-in of the store and some nodes that communicate over
// loopback.
type fleet struct {
	tb        testing.TB
	store     *standin.Server
	http      *httptest.Server
	client    *kvhttp.Client
	counters  *peer.Counters
	configure func(*Options)

	mu    sync.Mutex
	nodes []*node
}

type node struct {
	*Control
	info   member.Info
	pool   *peer.Pool
	server *peer.Server
	client *kvhttp.Client
	stop   sync.Once

	mu        sync.Mutex
	appliedAt map[uint64]time.Time
}

func newFleet(tb testing.TB) *fleet {
	tb.Helper()
	f := &fleet{tb: tb, store: standin.New(), counters: new(peer.Counters)}
	f.http = httptest.NewServer(f.store.Handler())
	tb.Cleanup(f.http.Close)
	f.client = f.storeClient()
	tb.Cleanup(f.client.Close)
	return f
}

func (f *fleet) storeClient() *kvhttp.Client {
	c, err := kvhttp.New(kvhttp.Options{Addresses: []string{f.http.Listener.Addr().String()}, Timeout: 5 * time.Second})
	if err != nil {
		f.tb.Fatal(err)
	}
	return c
}

// start adds a node in a data centre.
func (f *fleet) start(id, dc string) *node {
	f.tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.tb.Fatal(err)
	}
	n := &node{
		info:      member.Info{ID: id, DataCentre: dc, Region: dc[:len(dc)-2], Address: l.Addr().String()},
		pool:      peer.NewPool(peer.PoolOptions{Counters: f.counters}),
		client:    f.storeClient(),
		appliedAt: make(map[uint64]time.Time),
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	seed := uint64(len(f.nodes))
	f.mu.Unlock()
	o := Options{
		Self: n.info, Store: n.client, Lister: n.client, Pool: n.pool, Seed: seed,
		OnSnapshot: func(s *config.Snapshot) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.appliedAt[s.Head.Version] = time.Now()
		},
	}
	f.publishList()
	if f.configure != nil {
		f.configure(&o)
	}
	if n.Control, err = New(o); err != nil {
		f.tb.Fatal(err)
	}
	if n.server, err = peer.NewServer(l, n.Control, peer.ServerOptions{Counters: f.counters}); err != nil {
		f.tb.Fatal(err)
	}
	n.server.Serve()
	n.Declare(member.Serving)
	n.Start()
	f.tb.Cleanup(n.crash)
	return n
}

// publishList makes the platform's list name all nodes.
func (f *fleet) publishList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []store.VM
	for _, n := range f.nodes {
		vms = append(vms, store.VM{ID: n.info.ID, DataCentre: n.info.DataCentre, Region: n.info.Region, PeerAddress: n.info.Address})
	}
	f.store.SetVMs(vms)
}

// startMany adds n nodes in 3 regions with 2 data centres each.
func (f *fleet) startMany(n int) {
	for i := range n {
		f.start(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("region%d-%c", i%6/2, 'a'+i%2))
	}
}

// crash ends a node without the announcement of Leave.
func (n *node) crash() {
	n.stop.Do(func() {
		n.server.Close()
		n.Close()
		n.pool.Close()
		n.client.Close()
	})
}

// inForce returns when a version or a later one came into force.
func (n *node) inForce(version uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var first time.Time
	for v, at := range n.appliedAt {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// await polls until ok returns true.
func await(tb testing.TB, limit time.Duration, condition string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("no %s within %s", condition, limit)
		}
	}
}

func content(name string) config.Content {
	return config.Content{
		Register: &register.Register{
			Name:    name,
			Regions: []register.Region{{Name: "region0", DataCentres: []register.DataCentre{{Name: "region0-a"}}}},
		},
		Rules: &rules.Rules{},
	}
}

// publish writes a change from outside the fleet, as an operator's tool does.
func (f *fleet) publish(base uint64) configstore.Result {
	f.tb.Helper()
	m := config.Meta{ChangeID: fmt.Sprintf("change-%d", base+1), By: "anna", At: time.Now(), Why: "test"}
	r, err := configstore.New(f.client, configstore.Options{}).Publish(context.Background(), base, content(m.ChangeID), m)
	if err != nil {
		f.tb.Fatal(err)
	}
	return r
}

// inForceEverywhere reports whether a version came into force on all given
// nodes.
func inForceEverywhere(nodes []*node, version uint64) bool {
	for _, n := range nodes {
		if _, ok := n.inForce(version); !ok {
			return false
		}
	}
	return true
}
