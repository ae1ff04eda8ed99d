package entry

import (
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/quiesce"
	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// maxTransitConnections bounds the connections to one VM: a VM with 90 requests a second
	// that take a few seconds each, with all of them at one other VM.
	maxTransitConnections = 512
	// maxIdleTransitConnections bounds the idle ones.
	maxIdleTransitConnections = 64
)

// transitOptions are the options of the connections to other VMs.
func transitOptions(o *Options) upstream.Options {
	return upstream.Options{MaxConnections: maxTransitConnections, MaxIdleConnections: maxIdleTransitConnections, Dial: o.DialPeer}
}

// transitHandler serves the requests that other VMs pass on, and leaves all others to
// next. Callers don't use this address.
func (n *Node) transitHandler(next *httprouter.Router) http.Handler {
	passedOn := quiesce.Handler(http.HandlerFunc(n.serveTransit), n.leaving.Load)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(proxy.HeaderTransit) == "" {
			next.ServeHTTP(w, r)
			return
		}
		passedOn.ServeHTTP(w, r)
	})
}

// serveTransit serves a request that another VM passes on. Only VMs know the key.
func (n *Node) serveTransit(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(proxy.HeaderTransitKey)), []byte(n.self.TransitKey)) != 1 {
		event.TransitDenied.Log(n.log, "from", r.RemoteAddr)
		n.proxy.RefuseTransit(w, r, verdict.New(verdict.NotRun, verdict.ReasonIsolated, defaultRetryAfter))
		return
	}
	n.proxy.ServeTransit(w, r)
}

// transitPeers returns the VMs to which requests can be passed on.
func transitPeers(v *view, self string) []transit.Peer {
	var peers []transit.Peer
	for i := range v.vms {
		if vm := &v.vms[i]; vm.ID != self && vm.TransitKey != "" && !vm.Starting {
			peers = append(peers, transit.Peer{ID: vm.ID, Address: vm.Relay, Key: vm.TransitKey, Region: vm.Region, Weight: weightOf(vm)})
		}
	}
	return peers
}

// transitSelection is another VM, chosen for a request that this VM can't serve.
type transitSelection struct {
	s        *selector
	peer     transit.Peer
	key      string
	chosenAt time.Time
	leaving  []string
	// instance is the one that answered, and version that of the other VM's routes.
	instance string
	version  uint64
}

// Instance implements proxy.Selection.
func (c *transitSelection) Instance() proxy.Instance {
	return proxy.Instance{ID: c.peer.ID, Address: c.peer.Address}
}

// Key returns what the other VM expects of those that pass requests on.
func (c *transitSelection) Key() string { return c.peer.Key }

// Leaving returns the IDs of instances that leave.
func (c *transitSelection) Leaving() []string { return c.leaving }

// SetAnswer records the instance that answered, and that the other VM may have newer routes.
func (c *transitSelection) SetAnswer(instance string, routes proxy.RoutesState) {
	c.instance, c.version = instance, routes.Version
	c.s.currency.bind(routes, c.peer.Address)
}

// LogAttrs returns the log attributes that explain the choice.
func (c *transitSelection) LogAttrs() []any {
	return []any{"key", c.key, "instance", c.instance, "via", c.peer.ID, "via_version", c.version}
}

// HedgeAfter implements proxy.Selection.
func (c *transitSelection) HedgeAfter() (time.Duration, bool) { return 0, false }

// Hedge implements proxy.Selection.
func (c *transitSelection) Hedge() (proxy.Selection, bool) { return nil, false }

// Done implements proxy.Selection.
func (c *transitSelection) Done(o proxy.Outcome) { c.s.reach.RecordOutcome(c.peer.ID, &o) }

// ReceiveNotice records the notice of the instance that answered the other VM. This VM has
// passed it on to a caller and is bound by it from now on.
func (c *transitSelection) ReceiveNotice(notice availability.Notice) {
	c.s.mu.Lock()
	ticket, ok := c.s.picker.Reference(c.instance, c.chosenAt)
	c.s.mu.Unlock()
	if !ok {
		return
	}
	// The wait is asked of the VM that sent the request to the instance.
	notice.Wait = 0
	(&selection{s: c.s, ticket: ticket}).ReceiveNotice(notice)
}

// CanSend implements the interface of selections that receive notices. The other VM checks
// what the instance has said.
func (c *transitSelection) CanSend() bool { return true }
