// Package demo runs the whole system in one process over loopback sockets: a
// stand-in store, stand-in upstreams in two regions and three entry VMs, with
// traffic, a planned drain, a sudden death and a store outage.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/node"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/settings"
	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
	storestandin "github.com/currantferry/currantferry/store/standin"
)

// Names of the demo's services.
const (
	serviceReads  = "proefbank"
	serviceOrders = "rolinname"
)

// place is a data centre with its region.
type place struct{ region, dataCentre string }

var places = []place{{"randstad", "rotterdam-a"}, {"randstad", "amsterdam-b"}, {"noord", "groningen-a"}}

// instancesPerPlace of each service.
const instancesPerPlace = 2

// Fleet is the running system with its surroundings.
type Fleet struct {
	Store     *storestandin.Server
	Ledger    *standin.Ledger
	Register  *register.Register
	Rules     *rules.Rules
	upstreams map[string]*standin.Upstream
	nodes     map[string]*node.Node
	client    *kvhttp.Client
	server    *http.Server
	address   string
	version   uint64
	log       *slog.Logger
}

// StartFleet starts everything and waits until all entry VMs take callers.
func StartFleet(ctx context.Context, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{
		Store: storestandin.New(), Ledger: standin.NewLedger(), Rules: new(rules.Rules),
		upstreams: make(map[string]*standin.Upstream), nodes: make(map[string]*node.Node), log: log,
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.address = l.Addr().String()
	f.server = &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.server.Serve(l) }()
	if f.client, err = kvhttp.New(kvhttp.Options{Addresses: []string{f.address}}); err != nil {
		return err
	}
	if err := f.startUpstreams(); err != nil {
		return err
	}
	if err := f.bootstrap(ctx); err != nil {
		return err
	}
	for i, p := range places {
		if err := f.startNode(fmt.Sprintf("vm-%d", i+1), p); err != nil {
			return err
		}
	}
	f.list()
	return f.waitReady(ctx)
}

func (f *Fleet) startUpstreams() error {
	for _, service := range []string{serviceReads, serviceOrders} {
		for _, p := range places {
			for i := range instancesPerPlace {
				id := fmt.Sprintf("%s-%s-%d", service, p.dataCentre, i+1)
				u, err := standin.StartUpstream(standin.UpstreamOptions{ID: id, Slots: 9, Ledger: f.Ledger})
				if err != nil {
					return err
				}
				f.upstreams[id] = u
			}
		}
	}
	f.Register = f.register()
	return nil
}

func (f *Fleet) register() *register.Register {
	r := &register.Register{
		Name: "demo",
		Regions: []register.Region{
			{Name: "randstad", DataCentres: []register.DataCentre{{Name: "rotterdam-a"}, {Name: "amsterdam-b"}}},
			{Name: "noord", DataCentres: []register.DataCentre{{Name: "groningen-a"}}},
		},
		Links: []register.Link{{A: "randstad", B: "noord", BitsPerSecond: 4_000_000_000, OneWayMillis: 0.1}},
	}
	for _, name := range []string{serviceReads, serviceOrders} {
		s := register.Service{Name: name, TimeoutMillis: 5000}
		if name == serviceOrders {
			s.Routes = []register.Route{{Method: http.MethodPost, Prefix: "/", RequireKey: true, Class: "short"}}
		}
		for _, p := range places {
			for i := range instancesPerPlace {
				u := f.upstreams[fmt.Sprintf("%s-%s-%d", name, p.dataCentre, i+1)]
				s.Instances = append(s.Instances, register.Instance{ID: u.ID(), Address: u.Address(), DataCentre: p.dataCentre, Slots: 9})
			}
		}
		r.Services = append(r.Services, s)
	}
	return r
}

// bootstrap writes the first configuration before any VM runs.
func (f *Fleet) bootstrap(ctx context.Context) error {
	publisher := configstore.New(f.client, configstore.Options{})
	result, err := publisher.Publish(ctx, 0, config.Content{Register: f.Register, Rules: f.Rules}, f.meta("first import of the register"))
	if err != nil {
		return errors.Wrap(err, "first configuration")
	}
	f.version = result.Version
	return nil
}

func (f *Fleet) meta(why string) config.Meta {
	return config.Meta{ChangeID: fmt.Sprintf("demo-%d", time.Now().UnixNano()), By: "demo", At: time.Now(), Why: why}
}

func (f *Fleet) startNode(id string, p place) error {
	s := settings.Default()
	s.VM = settings.VM{ID: id, Region: p.region, DataCentre: p.dataCentre}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	s.Listen = settings.Listen{Caller: loopback, Peer: loopback, Admin: loopback, DNS: loopback}
	s.Lookup.TTL = time.Second
	s.Lookup.Zone = "demo.internal"
	s.Node.LookupGrace = 1500 * time.Millisecond
	s.Store.Timeout = time.Second
	for _, n := range f.nodes {
		s.Peers.Seeds = append(s.Peers.Seeds, netip.MustParseAddrPort(n.PeerAddress()))
	}
	n, err := node.Start(node.Options{Settings: s, Store: f.client, Lister: f.client, Log: f.log})
	if err != nil {
		return errors.Wrap(err, id)
	}
	f.nodes[id] = n
	return nil
}

// list tells the platform's list which VMs there are.
func (f *Fleet) list() {
	var vms []store.VM
	for i, p := range places {
		id := fmt.Sprintf("vm-%d", i+1)
		if n := f.nodes[id]; n != nil {
			vms = append(vms, store.VM{ID: id, DataCentre: p.dataCentre, Region: p.region, PeerAddress: n.PeerAddress()})
		}
	}
	f.Store.SetVMs(vms)
}

func (f *Fleet) waitReady(ctx context.Context) error {
	for id, n := range f.nodes {
		select {
		case <-n.Ready():
		case <-ctx.Done():
			return errors.Errorf("%s is not ready", id)
		}
	}
	return nil
}

// Callers returns the caller addresses of the entry VMs that run.
func (f *Fleet) Callers() []string {
	var addresses []string
	for i := range places {
		if n := f.nodes[fmt.Sprintf("vm-%d", i+1)]; n != nil {
			addresses = append(addresses, n.CallerAddress())
		}
	}
	return addresses
}

// Node returns a running entry VM, or nil.
func (f *Fleet) Node(id string) *node.Node { return f.nodes[id] }

// Publish puts the fleet's register and rules in force and returns how long that
// took on all VMs.
func (f *Fleet) Publish(ctx context.Context, why string) (time.Duration, error) {
	n := f.any()
	if n == nil {
		return 0, errors.New("no entry VM runs")
	}
	start := time.Now()
	result, err := n.Control().Publish(ctx, f.version, config.Content{Register: f.Register, Rules: f.Rules}, f.meta(why))
	if err != nil {
		return 0, err
	}
	f.version = result.Version
	progress := n.Control().InForce(ctx, f.version, nil)
	if progress.InForce < progress.Total {
		return 0, errors.Errorf("in force on %d of %d, late: %v", progress.InForce, progress.Total, progress.Lagging)
	}
	return time.Since(start), nil
}

func (f *Fleet) any() *node.Node {
	for i := range places {
		if n := f.nodes[fmt.Sprintf("vm-%d", i+1)]; n != nil {
			return n
		}
	}
	return nil
}

// Kill ends an entry VM as its sudden death would. The platform's list still
// names it, since the list lags.
func (f *Fleet) Kill(id string) {
	if n := f.nodes[id]; n != nil {
		delete(f.nodes, id)
		n.Kill()
	}
}

// Close stops everything that was started.
func (f *Fleet) Close() {
	for id := range f.nodes {
		f.Kill(id)
	}
	for _, u := range f.upstreams {
		_ = u.Close()
	}
	if f.client != nil {
		f.client.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}
