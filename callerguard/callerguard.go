// Package callerguard holds the connections of callers to a VM's memory and descriptors. It
// bounds connections and heads, closes callers that make no progress, and, when the memory
// for callers is nearly used up, those that have held most for longest with the least
// progress.
package callerguard

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/membudget"
)

// Reasons why callers are refused or closed, the values of label "reason" of counter
// callers_closed.
const (
	reasonConnections = "connections"
	reasonAddress     = "address"
	reasonMemory      = "memory"
	reasonFields      = "fields"
	reasonSlow        = "slow"
)

var reasons = []string{reasonConnections, reasonAddress, reasonMemory, reasonFields, reasonSlow}

// Limits are the bounds on callers. Zero values of the last two mean no bound.
type Limits struct {
	// MemoryBytes is the budget for connections, heads, bodies and answers. Zero means none.
	MemoryBytes int64
	// HeadFields is the maximum number of fields in a head.
	HeadFields int
	// Grace is how long a caller may make less progress than MinRate, in bytes a second,
	// while the VM waits for it.
	Grace   time.Duration
	MinRate float64
	// ConnectionsPerAddress bounds the connections of one address to one port.
	ConnectionsPerAddress int
	// Connections bounds the connections to each port, by its name.
	Connections map[string]int
}

// Options configures a Guard.
type Options struct {
	Limits Limits
	// Ports are the names of all ports that will be protected.
	Ports []string
	// RefusalHeaders holds lines that are added to the heads of refusals, by the port's name.
	RefusalHeaders map[string]string
	// Scope receives the counters. Log receives events; nil discards them.
	Scope tally.Scope
	Log   *slog.Logger
}

const (
	// idleBytes is what an idle connection costs, activeBytes what it costs in addition from
	// the first byte of a request until its answer is sent: goroutines and buffers. 1,200 silent
	// connections need 10 MB (package abuse).
	idleBytes   = 8 << 10
	activeBytes = 24 << 10
	// headFactor is how many bytes a byte of a head costs when it is parsed and copied for an
	// instance, fieldBytes what each field costs beside them.
	headFactor = 3
	fieldBytes = 200
	// minStall is the time without a byte after which a connection that waits for its caller
	// can be closed to make room, minIdle that for idle ones. The bytes of ordinary callers
	// arrive within a few round trips of 16 ms.
	minStall = 100 * time.Millisecond
	minIdle  = 300 * time.Millisecond
	// longRequest is the age from which a request whose bytes trickle in can be closed too. The
	// score ranks those that send at a usual rate last.
	longRequest = 2 * time.Second
	// reliefInterval is the minimum time between two searches for connections to close, and
	// relieveWait how long a reservation waits for their memory.
	reliefInterval = 5 * time.Millisecond
	relieveWait    = time.Second
	// SweepInterval is how often Sweep is meant to be called.
	SweepInterval = 250 * time.Millisecond
	// quietTime is the time without refused or closed callers that ends a crowd.
	quietTime = 10 * time.Second
)

// Guard protects the ports of a VM. It is safe for concurrent use.
type Guard struct {
	log    *slog.Logger
	budget *membudget.Budget
	ports  map[string]*port
	limits atomic.Pointer[Limits]
	// lastRelief is the time of the last search, in Unix nanoseconds. closing counts the bytes
	// of connections that were closed and whose requests have not ended yet.
	lastRelief, closing atomic.Int64

	// The crowd that is being refused or closed, for its events. Used by Sweep only.
	isCrowded bool
	lastAct   time.Time
	reported  map[countKey]int64

	memory tally.Gauge
}

type countKey struct{ port, reason string }

// port is a listening port with its connections.
type port struct {
	guard *Guard
	name  string
	gauge tally.Gauge
	// refusalHeader is added to the heads of refusals.
	refusalHeader string

	mu        sync.Mutex
	conns     map[*conn]struct{}
	byAddress map[netip.Addr]int

	counts   map[string]*atomic.Int64
	counters map[string]tally.Counter
}

// New returns a guard.
func New(o Options) *Guard {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	g := &Guard{log: o.Log, budget: membudget.New(o.Limits.MemoryBytes), ports: make(map[string]*port), reported: make(map[countKey]int64)}
	g.memory = o.Scope.Gauge("caller_memory_bytes")
	g.limits.Store(&o.Limits)
	for _, name := range o.Ports {
		p := &port{
			guard: g, name: name, conns: make(map[*conn]struct{}), byAddress: make(map[netip.Addr]int),
			counts: make(map[string]*atomic.Int64), counters: make(map[string]tally.Counter),
			gauge: o.Scope.Tagged(map[string]string{"port": name}).Gauge("caller_connections"), refusalHeader: o.RefusalHeaders[name],
		}
		for _, reason := range reasons {
			p.counts[reason] = new(atomic.Int64)
			p.counters[reason] = o.Scope.Tagged(map[string]string{"port": name, "reason": reason}).Counter("callers_closed")
		}
		g.ports[name] = p
	}
	return g
}

// SetLimits changes the limits. Connections above a lowered bound stay open.
func (g *Guard) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.budget.SetLimit(l.MemoryBytes)
}

// Budget returns the memory budget for callers.
func (g *Guard) Budget() *membudget.Budget { return g.budget }

// Protect makes a server, which does not serve yet, hold its callers to the limits, and
// returns the listener to serve. The name is one of Options.Ports.
func (g *Guard) Protect(name string, server *http.Server, l net.Listener) net.Listener {
	p := g.ports[name]
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveGuarded(next, w, r) })
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.setIdle()
		}
	}
	return &listener{l, p}
}

// Listen is Protect for another server than net/http's. The guard bounds the number of its
// connections; the server calls ConnContext for each of them before it reads.
func (g *Guard) Listen(name string, l net.Listener) net.Listener { return &listener{l, g.ports[name]} }

// ConnContext hands a connection over to a server other than net/http's, see HandOver, and
// returns the parent of the contexts of its requests, by which Of finds its memory.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	HandOver(c)
	return context.WithValue(ctx, connKey{}, c)
}

type connKey struct{}

// Of returns the memory of the caller's connection that carries a request, or nil if its
// port is not protected.
func Of(r *http.Request) *Memory {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return &c.memory
	}
	return nil
}

// HandOver makes another server than net/http read a connection of a protected listener. The
// guard then doesn't look at what is read: heads, bodies and their progress are left to that
// server, which reserves their bytes from the memory returned. It is called before the first
// read, and returns nil if the connection is not protected.
func HandOver(c net.Conn) *Memory {
	guarded, ok := c.(*conn)
	if !ok {
		return nil
	}
	guarded.phase.Store(phaseHandler)
	return &guarded.memory
}

// Memory is what one connection holds of the budget.
type Memory struct {
	guard   *Guard
	account *membudget.Account
	port    *port
}

// Reserve reserves n bytes. If the budget is nearly used up, it closes other connections and
// waits for a moment. It returns false if there is still no room.
func (m *Memory) Reserve(n int64) bool {
	return m.reserve(n, relieveWait)
}

// TryReserve is Reserve without a wait.
func (m *Memory) TryReserve(n int64) bool { return m.reserve(n, 0) }

func (m *Memory) reserve(n int64, wait time.Duration) bool {
	if m.account.Reserve(n) {
		if m.guard.budget.Excess() > 0 {
			m.guard.relieve(time.Now())
		}
		return true
	}
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(reliefInterval) {
		m.guard.relieve(time.Now())
		if m.account.Reserve(n) {
			return true
		}
	}
	m.port.count(reasonMemory)
	return false
}

// Release returns n bytes.
func (m *Memory) Release(n int64) { m.account.Release(n) }

func (p *port) count(reason string) {
	p.counts[reason].Add(1)
	p.counters[reason].Inc(1)
}

// candidate is a connection that can be closed to make room.
type candidate struct {
	conn  *conn
	score float64
	held  int64
}

// candidates returns the connections of a port that wait for their callers.
func (p *port) candidates(now time.Time, accepts func(*conn) bool) []candidate {
	minRate := p.guard.limits.Load().MinRate
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []candidate
	for c := range p.conns {
		age, stalled := now.Sub(time.Unix(0, c.since.Load())), now.Sub(time.Unix(0, c.lastMoved.Load()))
		isVictim := c.isWaiting() && (stalled >= minStall || age >= longRequest) || c.phase.Load() == phaseIdle && age >= minIdle
		if !isVictim || accepts != nil && !accepts(c) {
			continue
		}
		held := c.memory.account.Held()
		out = append(out, candidate{c, membudget.Score(held, age, stalled, c.moved()-c.movedBefore.Load(), minRate), held})
	}
	return out
}

// relieve closes connections if the budget is nearly used up.
func (g *Guard) relieve(now time.Time) {
	last := g.lastRelief.Load()
	excess := g.budget.Excess() - g.closing.Load()
	if excess <= 0 || now.UnixNano()-last < int64(reliefInterval) || !g.lastRelief.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	var all []candidate
	for _, p := range g.ports {
		all = append(all, p.candidates(now, nil)...)
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	for _, c := range all {
		if excess <= 0 {
			return
		}
		if c.conn.evict(reasonMemory) {
			excess -= c.held
		}
	}
}

// Sweep closes the callers that make too little progress and logs crowds. Calls must not
// overlap.
func (g *Guard) Sweep(now time.Time) {
	l := g.limits.Load()
	for _, p := range g.ports {
		p.mu.Lock()
		conns := make([]*conn, 0, len(p.conns))
		for c := range p.conns {
			conns = append(conns, c)
		}
		p.mu.Unlock()
		p.gauge.Update(float64(len(conns)))
		for _, c := range conns {
			if c.progress.IsTooSlow(now, c.moved(), c.isWaiting(), l.Grace, l.MinRate) {
				c.evict(reasonSlow)
			}
		}
	}
	g.memory.Update(float64(g.budget.Used()))
	g.relieve(now)
	g.reportCrowd(now)
}

// reportCrowd logs once that callers are being refused or closed, and once that it ended.
func (g *Guard) reportCrowd(now time.Time) {
	var attrs []any
	acted := false
	for name, p := range g.ports {
		for reason, count := range p.counts {
			key := countKey{name, reason}
			if n := count.Load(); n > g.reported[key] {
				attrs = append(attrs, name+"_"+reason, n-g.reported[key])
				acted = true
				if !g.isCrowded {
					continue
				}
			}
		}
	}
	switch {
	case acted && !g.isCrowded:
		event.CallersLimited.Log(g.log, append(attrs, "memory_used", g.budget.Used(), "memory", g.budget.Limit())...)
		g.isCrowded, g.lastAct = true, now
		g.remember()
	case acted:
		g.lastAct = now
		g.remember()
	case g.isCrowded && now.Sub(g.lastAct) >= quietTime:
		var totals []any
		for name, p := range g.ports {
			for reason, count := range p.counts {
				if n := count.Load(); n > 0 {
					totals = append(totals, name+"_"+reason, n)
				}
			}
		}
		event.CallersLimitEnded.Log(g.log, totals...)
		g.isCrowded = false
	}
}

// remember makes the present counts those that were reported.
func (g *Guard) remember() {
	for name, p := range g.ports {
		for reason, count := range p.counts {
			g.reported[countKey{name, reason}] = count.Load()
		}
	}
}
