package node

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/quiesce"
	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// reachInterval is how often it is checked whether instances must be probed.
	reachInterval = 100 * time.Millisecond
	// transitRefuseRetryAfter is the Retry-After of requests that no VM can serve.
	transitRefuseRetryAfter = time.Second
	// maxTransitConnections bounds the connections to one VM, and
	// maxIdleTransitConnections the idle ones.
	maxTransitConnections     = 512
	maxIdleTransitConnections = 64
)

// transitSection says where and by which key other VMs pass requests on to a VM, and
// whether that VM reaches no instance itself.
type transitSection struct {
	Address  netip.AddrPort `json:"a"`
	Key      string         `json:"k"`
	Isolated bool           `json:"i,omitempty"`
}

// transitOptions are the options of the connections to other VMs, which are encrypted as
// those for messages are.
func (n *Node) transitOptions() upstream.Options {
	o := upstream.Options{MaxConnections: maxTransitConnections, MaxIdleConnections: maxIdleTransitConnections}
	if n.tls.peer != nil {
		o.TLS = n.tls.peer.PeerClient
	}
	return o
}

// openTransitListener opens the listener for the requests that other VMs pass on.
func (n *Node) openTransitListener() error {
	address := n.settings.Listen.Transit
	if !address.IsValid() {
		address = netip.AddrPortFrom(n.settings.Listen.Peer.Addr(), 0)
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "transit listener")
	}
	// Without a port, advertised takes that of the listener.
	host := netip.AddrPortFrom(n.settings.Listen.AdvertisePeer.Addr(), 0)
	if n.transitAddress, err = netip.ParseAddrPort(advertised(host, l.Addr())); err != nil {
		l.Close()
		return errors.Wrap(err, "address of the transit listener")
	}
	n.transitKey = rand.Text()
	server := &http.Server{
		Handler: quiesce.Handler(http.HandlerFunc(n.serveTransit), n.isLeaving), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: n.settings.Request.MaxHeaderBytes, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.servers = append(n.servers, server)
	if n.tls.peer == nil {
		n.group.Go(func() { _ = server.Serve(l) })
		return nil
	}
	if server.TLSConfig, err = n.tls.peer.PeerServer(); err != nil {
		l.Close()
		return err
	}
	// Requests are forwarded over HTTP/1.1 connections.
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	n.group.Go(func() { _ = server.ServeTLS(l, "", "") })
	return nil
}

// serveTransit serves a request that another VM passes on. Only VMs know the key.
func (n *Node) serveTransit(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(proxy.HeaderTransitKey)), []byte(n.transitKey)) != 1 {
		event.TransitDenied.Log(n.log, "from", r.RemoteAddr)
		n.proxy.RefuseTransit(w, r, verdict.New(verdict.NotRun, verdict.ReasonIsolated, transitRefuseRetryAfter))
		return
	}
	n.proxy.ServeTransit(w, r)
}

// openTransit opens a connection to another VM, as instances are probed: without encryption,
// whose round trips would make VMs of other regions look slower than instances there.
func (n *Node) openTransit(ctx context.Context, address string) error {
	if n.tls.peer == nil {
		return n.proxy.TransitClient().Open(ctx, address)
	}
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		c.Close()
	}
	return err
}

// publishTransit gossips how requests are passed on to this VM, if it has changed.
func (n *Node) publishTransit() {
	s := transitSection{Address: n.transitAddress, Key: n.transitKey, Isolated: n.reach.IsIsolated()}
	n.mu.Lock()
	n.sections.init()
	same := n.sections.transit[n.self.ID] == s
	n.sections.transit[n.self.ID] = s
	n.mu.Unlock()
	if !same {
		n.setSection(sectionTransit, s)
	}
}

// setTransitPeers updates the VMs to which requests can be passed on.
func (n *Node) setTransitPeers(members []member.Member) {
	var peers []transit.Peer
	isIsolated := make(map[string]bool)
	n.mu.Lock()
	n.sections.init()
	for _, m := range members {
		if s, ok := n.sections.transit[m.ID]; ok && m.ID != n.self.ID && m.State == member.Serving {
			peers = append(peers, transit.Peer{ID: m.ID, Address: s.Address.String(), Key: s.Key, Region: m.Region, Weight: 1})
			isIsolated[m.ID] = s.Isolated
		}
	}
	n.mu.Unlock()
	n.reach.SetPeers(peers)
	for id, isolated := range isIsolated {
		n.reach.RecordPeer(id, isolated)
	}
}

// tickReach probes instances if their connections suggest that this VM reaches none, and
// tells the other VMs.
func (n *Node) tickReach(time.Time) {
	n.reach.SetInstances(n.selector.addresses())
	n.reach.Tick(n.ctx, &n.group)
	n.publishTransit()
}

// transitSelection is another VM, chosen for a request that this VM can't serve.
type transitSelection struct {
	s    *selector
	peer transit.Peer
	// instance is the one that answered.
	instance string
}

// Instance implements proxy.Selection.
func (c *transitSelection) Instance() proxy.Instance {
	return proxy.Instance{ID: c.peer.ID, Address: c.peer.Address}
}

// Key returns what the other VM expects of those that pass requests on.
func (c *transitSelection) Key() string { return c.peer.Key }

// Leaving returns no instances: the register tells all VMs which leave.
func (c *transitSelection) Leaving() []string { return nil }

// SetAnswer records the instance that answered.
func (c *transitSelection) SetAnswer(instance string, _ proxy.RoutesState) { c.instance = instance }

// LogAttrs returns the log attributes that explain the choice.
func (c *transitSelection) LogAttrs() []any {
	return []any{"instance", c.instance, "via", c.peer.ID}
}

// HedgeAfter implements proxy.Selection.
func (c *transitSelection) HedgeAfter() (time.Duration, bool) { return 0, false }

// Hedge implements proxy.Selection.
func (c *transitSelection) Hedge() (proxy.Selection, bool) { return nil, false }

// Done implements proxy.Selection.
func (c *transitSelection) Done(o proxy.Outcome) {
	c.s.reach.RecordOutcome(c.peer.ID, &o)
	c.s.observed.recordOutcome(o)
}

// addresses returns the addresses of all instances.
func (s *selector) addresses() []string {
	var out []string
	for _, p := range s.allPools() {
		out = p.appendAddresses(out)
	}
	return out
}

// selectVM returns the VM to which a request is passed on, or nil if this VM serves it.
// refused says that no instance was available here.
func (s *selector) selectVM(q *proxy.Query, refused bool) proxy.Selection {
	if q.IsTransit {
		return nil
	}
	peer, ok := s.reach.PassOn(time.Now(), q, refused)
	if !ok {
		return nil
	}
	return &transitSelection{s: s, peer: peer}
}

// Path returns a context that is cancelled when this VM reaches no instance any more.
func (c *selection) Path() context.Context { return c.s.reach.Path() }

// MayRunTwice returns false for a suspect of the crash guard, which never runs on two
// instances at the same time.
func (c *selection) MayRunTwice() bool { return !c.s.crash.isSuspect(&c.q) }
