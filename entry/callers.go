package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"

	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/callerconn"
	"github.com/currantferry/currantferry/callerguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/quiesce"
)

// Names of the ports, the values of label "port" of the counters of callers.
const (
	portCaller = "caller"
	portReady  = "ready"
	portLookup = "lookup"
	portPeer   = "peer"
)

const (
	megabyte = 1 << 20
	// The memory for callers is callerMemoryShare of the VM's memory less baseMB for what the
	// process needs without callers, and minCallerMB at least. The heap's soft limit is 0.6 of the
	// memory, and garbage needs half as much as what is in use.
	callerMemoryShare = 0.35
	baseMB            = 8
	minCallerMB       = 4
	// Shares of the process's descriptors for the connections to each port. The rest is for
	// instances, other VMs and the store.
	callerShare, readyShare, lookupShare, peerShare = 0.45, 0.03, 0.05, 0.2
	// minConnections is the least default bound of a port. Few hundred ordinary callers come
	// from one address.
	minConnections = 64
	addressShare   = 0.75
	minOfAddress   = 512
	// maxDescriptors bounds the defaults where the process may open more.
	maxDescriptors = 65536
)

// callerLimits returns the bounds on callers, with the defaults that depend on the VM.
func callerLimits(s *Settings) callerguard.Limits {
	descriptors := float64(maxDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = min(descriptors, float64(limit.Cur))
	}
	connections := func(set, share float64) int {
		if set > 0 {
			return int(set)
		}
		return int(max(share*descriptors, minConnections))
	}
	c := &s.Callers
	out := callerguard.Limits{
		HeadFields: int(c.HeadFields), Grace: c.Grace, MinRate: c.MinRate,
		Connections: map[string]int{
			portCaller: connections(c.Connections, callerShare), portReady: connections(c.ReadyConnections, readyShare),
			portLookup: connections(c.LookupConnections, lookupShare), portPeer: connections(c.PeerConnections, peerShare),
		},
		ConnectionsPerAddress: int(c.AddressConnections),
	}
	if out.ConnectionsPerAddress == 0 {
		out.ConnectionsPerAddress = int(max(addressShare*float64(out.Connections[portCaller]), minOfAddress))
	}
	switch {
	case c.MemoryMB > 0:
		out.MemoryBytes = int64(c.MemoryMB * megabyte)
	case s.MemoryMB > 0:
		out.MemoryBytes = int64(max(callerMemoryShare*s.MemoryMB-baseMB, minCallerMB) * megabyte)
	}
	return out
}

// memoryOf returns the memory of the connection that carries a request.
func memoryOf(r *http.Request) proxy.Memory {
	if m := callerguard.Of(r); m != nil {
		return m
	}
	return nil
}

const (
	// notReadTimeout is how long a caller may accept no byte of an answer. Callers inside
	// the limits read slowly for some seconds at most.
	notReadTimeout = idleTimeout / 4
	// heldShare is the part of the VM's memory for answers that wait for earlier ones on
	// their connections, and for large heads.
	heldShare = 1.0 / 32
	// defaultHeldBytes applies if the memory is not known.
	defaultHeldBytes = 8 << 20
)

// callerServer serves the connections of callers.
type callerServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

var (
	_ callerServer = (*http.Server)(nil)
	_ callerServer = (*callerconn.Server)(nil)
)

// newCallerServer returns net/http's server, or the server for pipelined requests if the
// settings allow more than one request at a time on a connection.
func (n *Node) newCallerServer() callerServer {
	s := n.settings.Load()
	if s.MaxPipelined <= 1 {
		return n.newServer(quiesce.Handler(n.proxy, n.leaving.Load))
	}
	held := int64(defaultHeldBytes)
	if s.MemoryMB > 0 {
		held = int64(heldShare * s.MemoryMB * megabyte)
	}
	event.PipeliningEnabled.Log(n.log, "most", int(s.MaxPipelined), "held_bytes", held)
	return &callerconn.Server{
		Handler: n.proxy, IsPipelinable: n.router.isIdempotent, MaxPipelined: int(s.MaxPipelined), Budget: callerconn.NewFixedBudget(held),
		ReadHeaderTimeout: s.Callers.HeadTime, IdleTimeout: idleTimeout, NotReadTimeout: notReadTimeout, MaxHeaderBytes: int(s.Callers.HeadBytes),
		ConnContext: callerguard.ConnContext, OnCount: callerCounter(n.metrics.Scope()), ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// callerCounter counts what happens on the connections of callers.
func callerCounter(scope tally.Scope) func(callerconn.Count) {
	counters := make(map[callerconn.Count]tally.Counter)
	for _, c := range callerconn.Counts {
		counters[c] = scope.Tagged(map[string]string{"step": string(c)}).Counter("caller_pipeline")
	}
	return func(c callerconn.Count) { counters[c].Inc(1) }
}

// finishCallers asks callers to close their connections from now on. With pipelined
// requests, only the last answer may say so, since the caller repeats the requests behind
// it.
func (n *Node) finishCallers() {
	n.leaving.Store(true)
	if s, ok := n.callers.(*callerconn.Server); ok {
		s.FinishConnections()
	}
}
