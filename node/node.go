// Package node assembles one entry VM: lookup, request path, at-most-once claims,
// membership, configuration, planning and the admin listener.
package node

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/currantferry/currantferry/budget"
	"github.com/currantferry/currantferry/certs"
	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/control"
	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/lookup"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/once/oncepb"
	"github.com/currantferry/currantferry/once/oncerpc"
	"github.com/currantferry/currantferry/peer"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/quiesce"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/settings"
	"github.com/currantferry/currantferry/steer"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/transit/monitor"
	"github.com/currantferry/currantferry/upstream"
)

// Options configures a Node.
type Options struct {
	Settings *settings.Settings
	// Store and Lister are the platform's services.
	Store  store.Store
	Lister store.VMLister
	// Dial, if not nil, opens the connections to instances.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Log receives the log events. Nil discards them.
	Log *slog.Logger
}

// Node is one running entry VM. It is safe for concurrent use.
type Node struct {
	settings *settings.Settings
	log      *slog.Logger
	store    store.Store
	metrics  *metric.Set
	counters *peer.Counters

	control *control.Control
	pool    *peer.Pool
	// claimPool and oncePool carry the at-most-once messages, see conn.
	claimPool, oncePool *peer.Pool

	peers          *peer.Server
	runner         *oncerpc.Runner
	proxy          *proxy.Handler
	lookups        *lookup.Core
	dns            *lookup.DNSServer
	selector       *selector
	crash          *crashTracker
	planner        *planner
	prober         *prober
	observed       *observations
	events         *event.Ring
	servers        []*http.Server
	callerListener *quiesce.Listener
	adminListener  net.Listener
	// transitAddress is where other VMs pass requests on, with transitKey. reach observes
	// whether this VM has to pass its own on.
	transitAddress netip.AddrPort
	transitKey     string
	reach          *monitor.Monitor
	tls            tlsReloaders

	boot    uint64
	self    member.Info
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	ready   chan struct{}
	once    sync.Once

	mu       sync.Mutex
	leaving  bool
	snapshot *config.Snapshot
	blocks   *steer.Blocks
	// blockCounts holds the number of blocks by address family.
	blockCounts blockCounts
	services    map[string]*register.Service
	drains      *drain.Tracker
	// snapshotAt is when snapshot took effect on this VM.
	snapshotAt time.Time
	steering   *steer.Builder
	sections   sectionSet
	budgetMu   sync.Mutex
	budget     *budget.Retry
}

// tlsReloaders holds the certificates of the listeners. A nil Reloader means plain TCP.
type tlsReloaders struct{ caller, peer, admin *certs.Reloader }

// maxEvents bounds the log events that the administration API shows.
const maxEvents = 512

// Start opens the listeners and joins the other VMs. The node serves callers once its
// configuration is confirmed, see Ready.
func Start(o Options) (*Node, error) {
	if o.Settings == nil || o.Store == nil || o.Lister == nil {
		return nil, errors.New("node: settings, store and lister are needed")
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := o.Settings
	events := event.NewRing(maxEvents)
	o.Log = slog.New(events.Handler(o.Log.Handler()))
	n := &Node{
		events: events, observed: new(observations),
		settings: s, log: o.Log.With("vm", s.VM.ID), store: o.Store,
		metrics: metric.New(), started: time.Now(), ready: make(chan struct{}),
		services: make(map[string]*register.Service),
		drains:   drain.New(drain.Config{}),
		budget:   budget.NewRetry(budget.Config{}),
		steering: steer.New(steer.Config{TTL: s.Lookup.TTL, DataCentre: s.VM.DataCentre}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.watchInvariants()
	if err := n.open(o); err != nil {
		n.Kill()
		return nil, err
	}
	n.run()
	event.DaemonStarted.Log(n.log, "region", s.VM.Region, "data_centre", s.VM.DataCentre, "caller", n.CallerAddress())
	return n, nil
}

// open creates every component. The background loops are started by run.
func (n *Node) open(o Options) error {
	if err := n.loadCertificates(); err != nil {
		return err
	}
	if err := n.openPeerListener(o); err != nil {
		return err
	}
	n.openRequestPath(o)
	if err := n.openLookups(); err != nil {
		return err
	}
	return n.openListeners()
}

func (n *Node) loadCertificates() error {
	t := n.settings.TLS
	for _, k := range []struct {
		reloader      **certs.Reloader
		name          string
		cert, key, ca string
	}{
		{&n.tls.caller, "caller", t.CallerCert, t.CallerKey, ""},
		{&n.tls.peer, "peer", t.PeerCert, t.PeerKey, t.PeerCA},
		{&n.tls.admin, "admin", t.AdminCert, t.AdminKey, ""},
	} {
		if k.cert == "" {
			continue
		}
		reloader, err := certs.Load(certs.Config{Name: k.name, CertFile: k.cert, KeyFile: k.key, CAFile: k.ca, Scope: n.metrics.Scope(), Log: n.log})
		if err != nil {
			return errors.Wrapf(err, "certificate of the %s listener", k.name)
		}
		*k.reloader = reloader
	}
	return nil
}

func (n *Node) openPeerListener(o Options) error {
	s := n.settings
	l, err := net.Listen("tcp", s.Listen.Peer.String())
	if err != nil {
		return errors.Wrap(err, "peer listener")
	}
	n.self = member.Info{
		ID: s.VM.ID, DataCentre: s.VM.DataCentre, Region: s.VM.Region,
		Address: advertised(s.Listen.AdvertisePeer, l.Addr()),
	}
	n.reach = monitor.New(n.self.Region, n.log, n.metrics.Scope())
	n.counters = &peer.Counters{Scope: n.metrics.Scope()}
	pool := peer.PoolOptions{Log: n.log, Counters: n.counters}
	server := peer.ServerOptions{Log: n.log, Counters: n.counters}
	if n.tls.peer != nil {
		pool.TLS = n.tls.peer.PeerClient
		server.TLS = n.tls.peer.PeerServer
	}
	n.pool = peer.NewPool(pool)
	n.oncePool = peer.NewPool(pool)
	pool.MaxCallsPerPeer = claimsPerPeer
	n.claimPool = peer.NewPool(pool)
	n.control, err = control.New(control.Options{
		Self: n.self, Store: o.Store, Lister: o.Lister, Pool: n.pool, Seed: xxhash.Sum64String(s.VM.ID),
		Seeds: n.resolveSeeds(), StoreTimeout: s.Store.Timeout, Log: n.log,
		Member:     member.Options{Sections: sectionKinds(s.Once.Partitions), OwnInterval: s.Peers.Heartbeat},
		OnSnapshot: n.onSnapshot, OnReady: n.onReady, OnMember: n.onMember,
		OnPlan: n.onPlan, OnSection: n.onSection, OnCrashReports: n.onCrashReports, Chunk: n.planChunk, DrainStates: n.unfinishedDrains,
	})
	if err != nil {
		l.Close()
		return err
	}
	n.boot = n.control.Self().Incarnation.Boot
	if n.peers, err = peer.NewServer(l, n.control, server); err != nil {
		return err
	}
	n.runner = oncerpc.New(oncerpc.Options{
		Config: once.Config{
			Self: once.Member{VM: s.VM.ID, Incarnation: n.boot}, DataCentre: s.VM.DataCentre, Region: s.VM.Region,
			Partitions: s.Once.Partitions, MaxClaims: s.Once.MaxClaims, Retention: s.Once.Retention,
		},
		Transport: oncerpc.NewDRPC(s.VM.ID, n.conn), Store: o.Store, Logger: n.log,
		Scope: n.metrics.Scope(), OnRecord: n.onRecord, MaxKeptBytes: runnerKeptBytes(s.Request.KeepAnswersBytes),
	})
	return n.peers.Register(oncerpc.NewServer(n.runner), oncepb.DRPCOnceDescription{})
}

// runnerKeptBytes converts the setting, where 0 keeps no answers, to the option of
// the runner, where 0 means the default and a negative value keeps none.
func runnerKeptBytes(bytes int64) int {
	if bytes == 0 {
		return -1
	}
	return int(bytes)
}

// unlimitedIfZero converts a limit of the settings, where 0 means no limit.
func unlimitedIfZero(bytes int64) int64 {
	if bytes == 0 {
		return math.MaxInt64
	}
	return bytes
}

// claimsPerPeer bounds the concurrent claims that wait for one owner. An owner delays
// its answer for up to 3 s while a witness is unreachable.
const claimsPerPeer = 128

// conn returns a connection to a VM by its ID. Claims, other at-most-once messages
// and heartbeats have pools of their own, each with its own limit of calls to one
// peer: claims that wait for an unreachable witness must not block the heartbeats and
// pings between reachable VMs.
func (n *Node) conn(vm string, kind once.Kind) (drpc.Conn, error) {
	m, ok := n.control.Member(vm)
	if !ok || m.Address == "" {
		return nil, errors.Errorf("VM %s is not known", vm)
	}
	if kind == once.KindClaim {
		return n.claimPool.Conn(m.Address), nil
	}
	return n.oncePool.Conn(m.Address), nil
}

func (n *Node) openRequestPath(o Options) {
	s := n.settings
	gate := plan.NewGate(plan.GateConfig{VM: s.VM.ID, Incarnation: n.boot, Region: s.VM.Region})
	n.crash = &crashTracker{guard: crashguard.New(crashguard.Config{VM: s.VM.ID}), broadcast: n.broadcast}
	n.selector = newSelector(gate, n.crash, n.observed, n.reach)
	n.planner = &planner{n: n}
	n.prober = newProber(n, o.Dial)
	n.proxy = proxy.New(proxy.Options{
		Services: n, Selector: n.selector, Claimer: &claimer{n.runner}, Budget: n,
		Metrics: n.metrics, Log: n.log, Zone: s.Lookup.Zone,
		MaxConcurrent: s.Request.MaxConcurrent, MaxBody: unlimitedIfZero(s.Request.MaxBody), DefaultTimeout: s.Request.DefaultTimeout,
		Upstream: upstream.Options{Observer: n.reach, Dial: o.Dial}, Transit: n.transitOptions(),
	})
	n.reach.Open = n.proxy.Client().Open
	n.reach.OpenPeer = n.openTransit
	n.selector.log, n.selector.closeIdle = n.log, n.proxy.Client().CloseIdleTo
}

func (n *Node) openLookups() error {
	s := n.settings
	n.lookups = lookup.NewCore(lookup.Config{MaxConcurrent: s.Lookup.MaxConcurrent, Scope: n.metrics.Scope(), Log: n.log})
	if !s.Listen.DNS.IsValid() {
		return nil
	}
	dns, err := lookup.ListenDNS(lookup.DNSConfig{Core: n.lookups, Listen: s.Listen.DNS, Zone: s.Lookup.Zone, Log: n.log})
	if err != nil {
		return errors.Wrap(err, "DNS listener")
	}
	n.dns = dns
	return nil
}

func (n *Node) openListeners() error {
	s := n.settings
	router := httprouter.New()
	n.lookups.Register(router)
	// Every other path is a request for a service.
	router.NotFound = n.proxy
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	var err error
	if n.callerListener, err = n.listen(s.Listen.Caller, quiesce.Handler(router, n.isLeaving), n.tls.caller, (*certs.Reloader).Caller); err != nil {
		return errors.Wrap(err, "caller listener")
	}
	if err := n.openTransitListener(); err != nil {
		return err
	}
	if !s.Listen.Admin.IsValid() {
		return nil
	}
	admin, err := n.listen(s.Listen.Admin, n.adminHandler(), n.tls.admin, (*certs.Reloader).Admin)
	if err != nil {
		return errors.Wrap(err, "admin listener")
	}
	n.adminListener = admin
	return nil
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

func (n *Node) listen(a netip.AddrPort, h http.Handler, reloader *certs.Reloader, tlsConfig func(*certs.Reloader) *tls.Config) (*quiesce.Listener, error) {
	tcp, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, err
	}
	l := quiesce.New(tcp)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, Protocols: protocols,
		MaxHeaderBytes: n.settings.Request.MaxHeaderBytes, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.servers = append(n.servers, server)
	if reloader != nil {
		server.TLSConfig = tlsConfig(reloader)
		n.group.Go(func() { _ = server.ServeTLS(l, "", "") })
	} else {
		n.group.Go(func() { _ = server.Serve(l) })
	}
	return l, nil
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

func (n *Node) run() {
	n.peers.Serve()
	n.publishEndpoint()
	n.publishTransit()
	n.control.Start()
	n.group.Go(func() { _ = n.runner.Run(n.ctx) })
	for _, loop := range []struct {
		interval time.Duration
		step     func(now time.Time)
	}{
		{10 * time.Millisecond, n.pollPools},
		{reachInterval, n.tickReach},
		{200 * time.Millisecond, n.refresh},
		{time.Second, n.everySecond},
		{time.Second, func(time.Time) { n.proxy.Sweep() }},
		{planInterval, n.planner.step},
		{probeInterval, n.prober.step},
	} {
		n.group.Go(func() { n.runEvery(loop.interval, loop.step) })
	}
	for _, k := range []*certs.Reloader{n.tls.caller, n.tls.peer, n.tls.admin} {
		if k != nil {
			n.group.Go(func() { k.Run(n.ctx) })
		}
	}
}

func (n *Node) runEvery(interval time.Duration, step func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			step(now)
		case <-n.ctx.Done():
			return
		}
	}
}

// Ready returns a channel that is closed once the node serves callers.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// CallerAddress returns the address of the caller listener.
func (n *Node) CallerAddress() string { return n.callerListener.Addr().String() }

// AdminAddress returns the address of the admin listener, or empty without one.
func (n *Node) AdminAddress() string { return addressOf(n.adminListener) }

// PeerAddress returns the address at which other VMs reach this one.
func (n *Node) PeerAddress() string { return n.self.Address }

// DNSAddress returns the address of the DNS listener, or empty without one.
func (n *Node) DNSAddress() string {
	if n.dns == nil {
		return ""
	}
	return n.dns.Addr().String()
}

func addressOf(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

// advertised returns the address of the settings. The port, or the whole address, is
// that of the opened listener where the settings leave it out.
func advertised(a netip.AddrPort, opened net.Addr) string {
	tcp, ok := opened.(*net.TCPAddr)
	if !ok || (a.IsValid() && a.Port() != 0) {
		return a.String()
	}
	if a.IsValid() {
		return netip.AddrPortFrom(a.Addr(), tcp.AddrPort().Port()).String()
	}
	return tcp.AddrPort().String()
}

// Control returns the membership and the configuration.
func (n *Node) Control() *control.Control { return n.control }

// Metrics returns the metrics of the node.
func (n *Node) Metrics() *metric.Set { return n.metrics }

// Traffic returns the bytes received from and sent to other VMs.
func (n *Node) Traffic() (in, out int64) { return n.counters.Bytes() }

// TransitAddress returns the address at which other VMs pass requests on to this one.
func (n *Node) TransitAddress() string { return n.transitAddress.String() }
