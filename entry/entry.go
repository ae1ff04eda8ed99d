// Package entry runs an entry VM on a platform that brings its own store, instance
// registration and routes. It answers lookups, forwards requests to instances and
// follows the platform's records. Decisions are made by the packages inventory,
// placement, budget and crashguard; proxy sends the requests.
package entry

import (
	"context"
	"crypto/rand"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/budget"
	"github.com/currantferry/currantferry/callerguard"
	"github.com/currantferry/currantferry/coldwatch"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/feed"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/quiesce"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/transit/monitor"
	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

// Registry writes this VM's records to the platform's store. Every method makes one
// call. The epochs are those of the store's answers, zero if it does not tell.
type Registry interface {
	// GrantLease returns a lease that expires unless it is renewed within ttl.
	GrantLease(ctx context.Context, name string, ttl time.Duration) (Lease, error)
	// RenewLease extends a lease, or returns store.ErrLeaseLost.
	RenewLease(ctx context.Context, id store.LeaseID) (epoch uint64, err error)
	// Put writes a key that is removed when the lease ends.
	Put(ctx context.Context, key string, value []byte, id store.LeaseID) (epoch uint64, err error)
	// Delete removes a key. A missing key is no error.
	Delete(ctx context.Context, key string) error
}

// CallerLocation is the location of a caller. Empty fields are unknown.
type CallerLocation struct{ Region, DataCentre string }

// Platform is the interface of an entry VM to its platform.
type Platform struct {
	Source interface {
		feed.Source
		feed.Lister
	}
	Registry Registry
	// Decode decodes a record of the platform.
	Decode   func(feed.Record) inventory.Change
	Protocol proxy.Protocol
	// Health may be nil. Then instances are cold by their records alone.
	Health HealthProtocol
	// ServeReady and ServeLookup register the platform's handlers for the readiness
	// check and for the lookups of callers.
	ServeReady  func(router *httprouter.Router, isReady func() bool)
	ServeLookup func(router *httprouter.Router, lookup func(CallerLocation) ([]string, time.Duration))
}

// Options configures a Node.
type Options struct {
	Settings *Settings
	Platform Platform
	// Log receives events. Nil disables logging.
	Log *slog.Logger
	// Dial, if not nil, opens the connections to instances. Tests use it to cut this VM
	// off. DialPeer is the same for connections to other VMs for requests, DialRelay for records.
	Dial, DialPeer, DialRelay func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// maxBufferedBodyBytes is the size up to which request bodies are buffered, so that a
	// request that an instance refused can be sent to another one. It is about three
	// times the largest upload of the workloads.
	maxBufferedBodyBytes = 1 << 20
	// deadlineGrace leaves time for an answer that an instance in another region sends
	// at the deadline.
	deadlineGrace = 120 * time.Millisecond
	// defaultRetryAfter is the Retry-After time for callers when no better estimate exists.
	defaultRetryAfter = 300 * time.Millisecond
	// idleTimeout bounds connections of callers that send nothing. It is longer than the
	// timeouts that operators set today, so that this VM doesn't close connections first.
	idleTimeout = time.Minute
	// maxConcurrentRequests bounds the requests in flight. A VM with 0.3 cores forwards a
	// few hundred requests a second, each of which takes up to a few seconds.
	maxConcurrentRequests = 2048
	// maxConnectionsPerInstance bounds the connections to one instance.
	maxConnectionsPerInstance = 64
	// tickInterval is how often the placement adapts and deferred removals are checked.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is how often idle connections are closed.
	sweepInterval = time.Second
	// retryShare is the part of the retry limit that the VMs use. The rest covers retries
	// that fall into another window than their request.
	retryShare = 0.75
	// retryBurst is the number of retries that a VM can accumulate for a service while it
	// knows no other VM. retrySlackShare is the part of the slack over all VMs that the
	// VMs together can accumulate from then on.
	retryBurst      = 1
	retrySlackShare = 0.5
)

// Node is a running entry VM. It is safe for concurrent use.
type Node struct {
	// settings are those in force. A reload replaces them.
	settings atomic.Pointer[Settings]
	platform Platform
	log      *slog.Logger
	metrics  *metric.Set
	proxy    *proxy.Handler
	follower *feed.Follower
	pause    *pauseGuard
	currency *currency
	router   *router
	selector *selector
	reach    *monitor.Monitor
	teamCaps *teamCaps
	sharers  *sharers
	cold     *coldWatcher
	self     inventory.VM

	budgetMu sync.Mutex
	budget   *budget.Retry

	mu  sync.Mutex
	inv *inventory.Inventory
	// unknownDataCentres are those of instances that the settings don't name.
	unknownDataCentres map[string]bool
	// view is the current set of VMs, read by lookups, relays and digests.
	view    atomic.Pointer[view]
	leaving atomic.Bool
	ready   atomic.Bool
	// announcesEarly says that the VM relays records before it is ready.
	announcesEarly atomic.Bool
	// digestRound counts the digests sent, so that all peers are reached in rotation.
	digestRound int
	// isLoaded says that the state of the store was received. mu guards it.
	isLoaded bool
	// epoch is the latest epoch of the store that this VM knows, rewriteAt the time, in Unix
	// nanoseconds, from which records of earlier ones are written again.
	epoch     atomic.Uint64
	rewriteAt atomic.Int64
	// announceSignal is signalled when this VM's record must be written or withdrawn.
	announceSignal chan struct{}

	guard   *callerguard.Guard
	callers callerServer
	// callerConns are the connections of callers.
	callerConns *quiesce.Listener
	servers     []*http.Server
	listeners   []net.Listener
	digests     *net.UDPConn
	ctx         context.Context
	cancel      context.CancelFunc
	group       conc.WaitGroup
}

// Start opens the listeners and begins to follow the platform's records. Requests are
// refused until routes are known.
func Start(o Options) (*Node, error) {
	if o.Settings == nil || o.Platform.Source == nil || o.Platform.Registry == nil {
		return nil, errors.New("entry: settings, source and registry are required")
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := o.Settings
	n := &Node{
		platform: o.Platform, log: o.Log.With("vm", s.ID), metrics: metric.New(),
		inv: inventory.New(), unknownDataCentres: make(map[string]bool), announceSignal: make(chan struct{}, 1),
		budget: budget.NewRetry(budget.Config{Ratio: retryShare * s.RetryRatio, Burst: retryBurst}),
		self: inventory.VM{
			ID: s.ID, Region: s.Region, DataCentre: s.DataCentre, Caller: s.Caller.String(), Relay: s.Peer.String(),
			Boot: uint64(time.Now().UnixNano()), Capacity: capacity(s), TransitKey: rand.Text(),
		},
	}
	n.settings.Store(s)
	n.currency = newCurrency(n.log, feed.Uptime)
	n.currency.tolerance = func() time.Duration { return time.Duration(toleranceShare * float64(n.settings.Load().ConfigTime)) }
	n.router = newRouter(n.currency)
	n.router.confirmTime = func() time.Duration { return n.settings.Load().ConfigTime }
	n.view.Store(newView(nil, time.Now(), nil, s.Region))
	n.selector = newSelector(placement.Config{
		VM: s.ID, Region: s.Region, ColdOver: s.ColdOver, ColdSlack: s.ColdSlack, MaxShift: s.MaxShift, DrainTime: s.DrainTime, ObjectAffinity: placement.ObjectAffinity(s.ObjectAffinity),
		IgnoresPriority: s.Precedence != precedenceOn, Random: mathrand.Float64,
	}, n.log, n.metrics.Scope())
	n.selector.currency = n.currency
	n.selector.reach = monitor.New(s.Region, n.log, n.metrics.Scope())
	n.selector.admission = transit.NewAdmission(n.self.Capacity)
	n.reach = n.selector.reach
	n.teamCaps = newTeamCaps(&n.self, teamBound(s), n.log, n.metrics.Scope())
	n.teamCaps.send = n.sendTeamCap
	n.sharers = newSharers(&n.self, n.leaseTTL(), s.FirstStart == firstStartYes, n.log, n.metrics.Scope())
	n.sharers.apply = n.onSharersChanged
	n.onSharersChanged(*n.sharers.current.Load())
	n.cold = newColdWatcher(&o, n.metrics.Scope())
	n.guard = callerguard.New(callerguard.Options{
		Limits: callerLimits(s), Ports: []string{portCaller, portReady, portLookup, portPeer},
		RefusalHeaders: map[string]string{portPeer: proxy.UnreadRefusal}, Scope: n.metrics.Scope(), Log: n.log,
	})
	n.proxy = proxy.New(proxy.Options{
		Router: n.router, Protocol: o.Platform.Protocol, Selector: n.selector, Budget: n, Admission: n.teamCaps, Metrics: n.metrics, Log: n.log,
		MaxConcurrent: maxConcurrentRequests, MaxConnections: maxConnectionsPerInstance, MaxBufferBytes: maxBufferedBodyBytes, DeadlineGrace: deadlineGrace,
		Memory: memoryOf, DefaultRetryAfter: defaultRetryAfter, AcceptUnframed: true, FinishUnkeyed: true, Upstream: upstream.Options{Observer: n.reach, Dial: o.Dial}, Transit: transitOptions(&o),
	})
	n.reach.Open = n.proxy.Client().Open
	n.reach.OpenPeer = n.proxy.TransitClient().Open
	n.follower = feed.New(feed.Options{
		Store: o.Platform.Source, Sink: n, Lister: o.Platform.Source, RelayPrefix: vmPrefix, Log: n.log, Dial: o.DialRelay,
		Relays:        func() ([]string, bool) { return n.view.Load().relays(n.self.ID) },
		MaxStartDelay: startSpread, OnNoRelay: n.announceEarly,
	})
	n.pause = newPauseGuard(feed.Uptime, n.follower.Refresh)
	n.selector.pause = n.pause
	n.router.awaitRefresh = n.selector.awaitRefresh
	n.currency.catchUp = n.catchUp
	n.selector.onPaused = func() {
		n.teamCaps.paused.Store(true)
		n.sharers.tick()
	}
	n.teamCaps.checkPause = func() {
		if paused, _ := n.pause.check(); paused > 0 {
			n.selector.recordPause(paused)
		}
	}
	n.reach.OnConnected = n.selector.onConnected
	n.reach.OnIsolated = n.selector.forgiveFailures
	n.reach.OnRoundFailed = n.selector.dropEvidence
	n.reach.OnCongested = n.selector.forgiveFailures
	n.selector.closeIdle = n.proxy.Client().CloseIdleTo
	n.selector.requestQuota = n.requestQuota
	n.selector.probe = newCrashProbe(n.proxy.Client().Open, n.selector.onConnRefused)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	for _, run := range []func(){
		func() { n.follower.Run(n.ctx) },
		n.announceLoop,
		n.recordRefusals,
		func() { n.runEvery(tickInterval, n.tick) },
		func() { n.runEvery(digestInterval, n.sendDigest) },
		n.receiveDigests,
		func() { n.runEvery(coldwatch.PulseInterval, n.pulse) },
		func() { n.runEvery(coldTick, n.askInstances) },
		func() { n.runEvery(routesNoticeInterval, func(time.Time) { n.sendRoutesNotice(repeatedNotices) }) },
		func() { n.runEvery(teamCapInterval, n.teamCaps.tick) },
		func() { n.runEvery(callerguard.SweepInterval, n.guard.Sweep) },
		func() { n.runEvery(sweepInterval, func(time.Time) { n.proxy.Sweep() }) },
	} {
		n.group.Go(run)
	}
	for range probeWorkers {
		n.group.Go(func() { n.selector.probe.run(n.ctx) })
	}
	event.DaemonStarted.Log(n.log, "region", s.Region, "data_centre", s.DataCentre, "caller", n.self.Caller, "boot", n.self.Boot)
	return n, nil
}

func (n *Node) runEvery(interval time.Duration, step func(time.Time)) {
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

// listen opens the sockets of all roles.
func (n *Node) listen() error {
	s := n.settings.Load()
	ready, lookup, peers := newMux(), newMux(), newMux()
	n.platform.ServeReady(ready, n.isReady)
	n.platform.ServeLookup(lookup, n.lookup)
	n.follower.Serve(peers)
	peers.Handler(http.MethodGet, "/metrics", n.metrics.Handler())
	n.callers = n.newCallerServer()
	if err := n.serve(portCaller, s.Caller, n.callers); err != nil {
		return errors.Wrap(err, "caller listener")
	}
	var err error
	if n.digests, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Peer)); err != nil {
		return errors.Wrap(err, "peer listener for digests")
	}
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{{portReady, s.Ready, ready}, {portLookup, s.Lookup, lookup}, {portPeer, s.Peer, n.transitHandler(peers)}} {
		server := n.newServer(l.handler)
		if err := n.serve(l.name, l.address, server); err != nil {
			return errors.Wrap(err, l.name+" listener")
		}
		n.servers = append(n.servers, server)
	}
	return nil
}

func newMux() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	return r
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	s := n.settings.Load()
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: s.Callers.HeadTime, IdleTimeout: idleTimeout, MaxHeaderBytes: int(s.Callers.HeadBytes),
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

func (n *Node) serve(port string, address netip.AddrPort, server callerServer) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, l)
	if port == portCaller {
		n.callerConns = quiesce.New(l)
		l = n.callerConns
	}
	if s, ok := server.(*http.Server); ok {
		l = n.guard.Protect(port, s, l)
	} else {
		l = n.guard.Listen(port, l)
	}
	n.group.Go(func() {
		err := server.Serve(l)
		if isClosed := errors.Is(err, http.ErrServerClosed) || (n.leaving.Load() && errors.Is(err, net.ErrClosed)); err != nil && !isClosed {
			event.ListenerFailed.Log(n.log, "address", address.String(), "error", err)
		}
	})
	return nil
}

func (n *Node) isReady() bool { return n.ready.Load() && !n.leaving.Load() }

// CountRequest implements proxy.RetryBudget. Each service has one budget.
func (n *Node) CountRequest(service, _ string) {
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	n.budget.RecordRequest(time.Now(), service, service)
}

// TakeRetry implements proxy.RetryBudget.
func (n *Node) TakeRetry(service, _ string) bool {
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	return n.budget.Allow(time.Now(), service, service, verdict.NotRun) == nil
}

// close stops the node immediately and waits for its goroutines.
func (n *Node) close() {
	n.cancel()
	for _, s := range n.servers {
		_ = s.Close()
	}
	if n.callers != nil {
		_ = n.callers.Close()
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
	if n.digests != nil {
		_ = n.digests.Close()
	}
	n.group.Wait()
	_ = n.metrics.Close()
}
