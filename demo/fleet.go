// Package demo runs the whole system in one process over loopback sockets: a stand-in
// store, stand-in upstreams in two regions and three entry VMs, with traffic, a planned
// drain, a crash of an entry VM and a store outage.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
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

// instancesPerPlace is the number of instances of each service in each data centre.
const instancesPerPlace = 2

// Fleet is the running system with its store and upstreams.
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
	// control is the listener of the stand-ins' control page.
	control       net.Listener
	controlServer *http.Server
	version       uint64
	log           *slog.Logger
	// dial, if not nil, returns the dialer of a VM for its connections to instances.
	dial func(vm string) func(ctx context.Context, network, address string) (net.Conn, error)
	// tls holds the files with which VMs authenticate each other. Empty means plain TCP.
	tls settings.TLS
}

func newFleet(log *slog.Logger) *Fleet {
	return &Fleet{
		Store: storestandin.New(), Ledger: standin.NewLedger(), Rules: new(rules.Rules),
		upstreams: make(map[string]*standin.Upstream), nodes: make(map[string]*node.Node), log: log,
	}
}

// StartFleet starts the whole fleet and waits until all entry VMs are ready.
func StartFleet(ctx context.Context, log *slog.Logger) (*Fleet, error) {
	f := newFleet(log)
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
	f.updateVMList()
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
	return f.startControl()
}

// startControl serves one control page for all upstreams.
func (f *Fleet) startControl() error {
	var err error
	if f.control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	upstreams := make([]*standin.Upstream, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		upstreams = append(upstreams, u)
	}
	f.controlServer = &http.Server{Handler: standin.ControlHandler(upstreams...), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.controlServer.Serve(f.control) }()
	return nil
}

// register returns the register of the demo, with the addresses of the running upstreams.
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
			s.Routes = []register.Route{
				{Method: http.MethodPost, Prefix: "/order", RequireKey: true, Class: "short"},
				{Method: http.MethodPost, Prefix: "/rollbook", Class: "long"},
			}
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

// bootstrap publishes the first configuration, before any VM is started.
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
	s.TLS = f.tls
	o := node.Options{Settings: s, Store: f.client, Lister: f.client, Log: f.log}
	if f.dial != nil {
		o.Dial = f.dial(id)
	}
	n, err := node.Start(o)
	if err != nil {
		return errors.Wrap(err, id)
	}
	f.nodes[id] = n
	return nil
}

// updateVMList sets the platform's list of VMs to those that run.
func (f *Fleet) updateVMList() {
	var vms []store.VM
	for _, id := range f.ids() {
		m := f.nodes[id].Control().Self()
		vms = append(vms, store.VM{ID: id, DataCentre: m.DataCentre, Region: m.Region, PeerAddress: f.nodes[id].PeerAddress()})
	}
	f.Store.SetVMs(vms)
}

// ids returns the sorted IDs of the VMs that run.
func (f *Fleet) ids() []string { return slices.Sorted(maps.Keys(f.nodes)) }

// Replace starts a VM in the data centre with the given index in places, and waits until
// all VMs are ready.
func (f *Fleet) Replace(ctx context.Context, id string, placeIndex int) error {
	if err := f.startNode(id, places[placeIndex]); err != nil {
		return err
	}
	f.updateVMList()
	return f.waitReady(ctx)
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
	for _, id := range f.ids() {
		addresses = append(addresses, f.nodes[id].CallerAddress())
	}
	return addresses
}

// Node returns a running entry VM, or nil.
func (f *Fleet) Node(id string) *node.Node { return f.nodes[id] }

// Publish publishes the fleet's register and rules, and returns the time until they were in
// force on all VMs.
func (f *Fleet) Publish(ctx context.Context, why string) (time.Duration, error) {
	n := f.anyNode()
	if n == nil {
		return 0, errors.New("no entry VM runs")
	}
	start := time.Now()
	result, err := n.Control().Publish(ctx, f.version, config.Content{Register: f.Register, Rules: f.Rules}, f.meta(why))
	if err != nil {
		return 0, err
	}
	f.version = result.Version
	progress := n.Control().AwaitInForce(ctx, f.version, nil)
	if progress.InForce < progress.Total {
		return 0, errors.Errorf("in force on %d of %d, late: %v", progress.InForce, progress.Total, progress.Lagging)
	}
	return time.Since(start), nil
}

// anyNode returns one of the running VMs, or nil.
func (f *Fleet) anyNode() *node.Node {
	for _, id := range f.ids() {
		return f.nodes[id]
	}
	return nil
}

// Kill stops an entry VM as a crash would. The platform's list still contains it, since the
// list is updated late.
func (f *Fleet) Kill(id string) {
	if n := f.nodes[id]; n != nil {
		delete(f.nodes, id)
		n.Kill()
	}
}

// Stop stops an entry VM gracefully. It returns the number of requests that were cut off,
// and whether the VM was running.
func (f *Fleet) Stop(ctx context.Context, id string) (int, bool) {
	n := f.nodes[id]
	if n == nil {
		return 0, false
	}
	delete(f.nodes, id)
	cutOff := n.Stop(ctx)
	f.updateVMList()
	return cutOff, true
}

// SetToken makes all further changes require a token.
func (f *Fleet) SetToken(ctx context.Context, token string) error {
	next := *f.Rules
	next.Teams = []rules.Team{{Name: "platform", Platform: true, TokenHashes: []string{rules.HashToken(token)}}}
	f.Rules = &next
	_, err := f.Publish(ctx, "token of the demo's operator")
	return err
}

// Addresses are the addresses of a fleet that keeps running after the scenario.
type Addresses struct {
	// VMs by ID.
	VMs map[string]VMAddresses `json:"vms"`
	// Store is the address of the stand-in store, Control that of the control
	// page of all stand-in upstreams.
	Store   string `json:"store"`
	Control string `json:"control"`
	// Token is the token that changes require. Empty means that none is set.
	Token string `json:"token,omitempty"`
}

// VMAddresses are the listeners of one entry VM.
type VMAddresses struct {
	Caller string `json:"caller"`
	DNS    string `json:"dns"`
	Admin  string `json:"admin"`
}

// Addresses returns the listeners of the entry VMs that run and of the stand-ins.
func (f *Fleet) Addresses() Addresses {
	a := Addresses{VMs: make(map[string]VMAddresses), Store: f.address, Control: f.control.Addr().String()}
	for id, n := range f.nodes {
		a.VMs[id] = VMAddresses{Caller: n.CallerAddress(), DNS: n.DNSAddress(), Admin: n.AdminAddress()}
	}
	return a
}

// Close stops all VMs and stand-ins.
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
	if f.controlServer != nil {
		_ = f.controlServer.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}
