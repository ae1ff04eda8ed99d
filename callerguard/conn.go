package callerguard

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/currantferry/currantferry/membudget"
)

// Phases of a connection. The VM waits for the caller while it reads a head or the rest of a
// body that no handler wants, and, in a handler, while it reads the body.
const (
	phaseIdle int32 = iota
	phaseHead
	phaseHandler
	phaseRest
)

// writeBytes is how much is written at once, so that a slow caller's progress is seen.
const writeBytes = 16 << 10

// conn is a caller's connection. Its Read is called by one goroutine at a time, as net/http
// does.
type conn struct {
	net.Conn
	port    *port
	address netip.Addr
	memory  Memory

	phase atomic.Int32
	// since is when the phase idle, or the present request, began, in Unix nanoseconds.
	since atomic.Int64
	// in and out count bytes. movedBefore is their sum when the request began.
	in, out, movedBefore atomic.Int64
	// lastMoved is when the last byte was read or written, in Unix nanoseconds.
	lastMoved atomic.Int64
	// readsBody and writes say that a read of the body or a write is in progress.
	readsBody, writes atomic.Bool
	evicted, closed   atomic.Bool
	// closingBytes is what the connection held when it was evicted.
	closingBytes atomic.Int64

	// requestBytes is what the request holds, beside what its handler reserves.
	requestBytes atomic.Int64
	// fields is the number of fields in the head, isLineEmpty whether its present line is.
	fields      int
	isLineEmpty bool

	// pipelined is the number of requests in a row that had arrived before the answer to the
	// one before was sent.
	pipelined int

	// progress is used by Guard.Sweep only.
	progress membudget.Progress
}

// errRefused ends a connection. net/http answers nothing after an error of this kind.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the caller is outside the limits")}

func (c *conn) moved() int64 { return c.in.Load() + c.out.Load() }

// isWaiting reports whether the VM waits for the caller.
func (c *conn) isWaiting() bool {
	switch c.phase.Load() {
	case phaseHead, phaseRest:
		return true
	default:
		return c.readsBody.Load() || c.writes.Load()
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.in.Add(int64(n))
	c.lastMoved.Store(time.Now().UnixNano())
	switch c.phase.Load() {
	case phaseIdle:
		c.pipelined = 0
		c.begin()
		fallthrough
	case phaseHead:
		if refused := c.addHead(p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// begin starts a request.
func (c *conn) begin() {
	c.since.Store(c.lastMoved.Load())
	c.movedBefore.Store(c.moved())
	c.phase.Store(phaseHead)
	c.fields, c.isLineEmpty = 0, true
}

// addHead counts bytes of a head before they are parsed. It answers and returns an error if
// the head has too many fields or there is no memory for it: the request has not run.
func (c *conn) addHead(data []byte) error {
	fields, size := 0, 0
	for size < len(data) {
		end := bytes.IndexByte(data[size:], '\n')
		line := data[size:]
		if end >= 0 {
			line = line[:end]
		}
		size += len(line)
		if c.isLineEmpty = c.isLineEmpty && (len(line) == 0 || len(line) == 1 && line[0] == '\r'); end < 0 {
			break
		}
		size++
		if c.isLineEmpty && c.fields+fields > 0 {
			// The end of the head. If the parser goes on to read the head, the line was not
			// empty: its start was read together with the request before.
			break
		}
		fields++
		c.isLineEmpty = true
	}
	c.fields += fields
	if limit := c.memory.guard.limits.Load().HeadFields; limit > 0 && c.fields > limit+1 {
		c.refuse(reasonFields, http.StatusRequestHeaderFieldsTooLarge, "")
		return errRefused
	}
	cost := int64(headFactor*size + fieldBytes*fields)
	if c.requestBytes.Load() == 0 {
		cost += activeBytes
	}
	if !c.memory.reserve(cost, 0) {
		c.refuse("", http.StatusServiceUnavailable, "Retry-After: 1\r\n")
		return errRefused
	}
	c.requestBytes.Add(cost)
	return nil
}

// refuseTimeout bounds the write of a refusal.
const refuseTimeout = 100 * time.Millisecond

// refuse answers a request whose head is not complete, before the connection is closed.
func (c *conn) refuse(reason string, status int, header string) {
	if reason != "" {
		c.port.count(reason)
	}
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+header+c.port.refusalHeader+"Connection: close\r\nContent-Length: 0\r\n\r\n")
}

func (c *conn) Write(p []byte) (int, error) {
	c.writes.Store(true)
	defer c.writes.Store(false)
	written := 0
	for {
		n, err := c.Conn.Write(p[:min(len(p), writeBytes)])
		written += n
		c.out.Add(int64(n))
		c.lastMoved.Store(time.Now().UnixNano())
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// setIdle ends a request.
func (c *conn) setIdle() {
	c.memory.Release(c.requestBytes.Swap(0))
	c.since.Store(c.lastMoved.Load())
	c.movedBefore.Store(c.moved())
	c.phase.Store(phaseIdle)
}

// evict closes the connection with a reset, which drops what the kernel still buffers. What
// it holds is released by Close, after the server has ended the request. It returns false if
// the connection was evicted before.
func (c *conn) evict(reason string) bool {
	if c.evicted.Swap(true) {
		return false
	}
	held := c.memory.account.Held()
	c.memory.guard.closing.Add(held)
	c.closingBytes.Store(held)
	if c.closed.Load() {
		c.endClosing()
	}
	c.port.count(reason)
	c.remove()
	_ = c.SetLinger(0)
	_ = c.Conn.Close()
	return true
}

// remove makes the connection's place free.
func (c *conn) remove() {
	p := c.port
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.conns[c]; !ok {
		return
	}
	delete(p.conns, c)
	if p.byAddress[c.address]--; p.byAddress[c.address] == 0 {
		delete(p.byAddress, c.address)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.remove()
	c.memory.account.Close()
	c.endClosing()
	return c.Conn.Close()
}

// endClosing counts the connection's bytes as released, once.
func (c *conn) endClosing() { c.memory.guard.closing.Add(-c.closingBytes.Swap(0)) }

// CloseWrite lets net/http close a connection in both directions in turn.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger lets a server reset a connection.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// listener accepts connections within the bounds of its port.
type listener struct {
	net.Listener
	port *port
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw); c != nil {
			return c, nil
		}
		if tcp, ok := raw.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		raw.Close()
	}
}

// admit returns the connection of a new caller, or nil if there is no room for it. It makes
// room by closing a connection that waits for its caller.
func (p *port) admit(raw net.Conn) *conn {
	g := p.guard
	c := &conn{Conn: raw, port: p, memory: Memory{guard: g, account: g.budget.Account(), port: p}}
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		c.address = a.AddrPort().Addr().Unmap()
	}
	now := time.Now()
	c.since.Store(now.UnixNano())
	c.lastMoved.Store(now.UnixNano())
	limits := g.limits.Load()
	p.mu.Lock()
	total, ofAddress := len(p.conns), p.byAddress[c.address]
	p.mu.Unlock()
	if limit := limits.ConnectionsPerAddress; limit > 0 && ofAddress >= limit {
		if !p.makeRoom(now, reasonAddress, func(o *conn) bool { return o.address == c.address }) {
			return nil
		}
	} else if limit := limits.Connections[p.name]; limit > 0 && total >= limit {
		if !p.makeRoom(now, reasonConnections, nil) {
			return nil
		}
	}
	if !c.memory.reserve(idleBytes, 0) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	p.byAddress[c.address]++
	return c
}

// makeRoom closes one connection of the port, or counts the refusal of the new one.
func (p *port) makeRoom(now time.Time, reason string, accepts func(*conn) bool) bool {
	candidates := p.candidates(now, accepts)
	if len(candidates) == 0 {
		p.count(reason)
		return false
	}
	worst := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	worst.conn.evict(reason)
	return true
}

// maxPipelined is the number of pipelined requests after which a connection is closed, once
// the present one is answered, while its port is at its bound. Otherwise callers with many
// requests at once would keep the others out.
const maxPipelined = 16

// isFull reports whether the port is at its bound on connections.
func (p *port) isFull() bool {
	limit := p.guard.limits.Load().Connections[p.name]
	p.mu.Lock()
	defer p.mu.Unlock()
	return limit > 0 && len(p.conns) >= limit
}

// trackedBody tells the connection when a handler reads the body.
type trackedBody struct {
	io.ReadCloser
	conn *conn
}

func (b *trackedBody) Read(p []byte) (int, error) {
	b.conn.readsBody.Store(true)
	n, err := b.ReadCloser.Read(p)
	b.conn.readsBody.Store(false)
	return n, err
}

// serveGuarded calls the handler of a request.
func serveGuarded(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		next.ServeHTTP(w, r)
		return
	}
	if c.phase.Load() == phaseIdle {
		// The whole head came together with the request before.
		c.begin()
		if c.pipelined++; c.pipelined > maxPipelined && c.port.isFull() {
			w.Header().Set("Connection", "close")
		}
		if c.memory.reserve(activeBytes, 0) {
			c.requestBytes.Add(activeBytes)
		}
	}
	c.phase.Store(phaseHandler)
	defer c.phase.Store(phaseRest)
	if r.Body != nil && r.Body != http.NoBody {
		// net/http looks at the body of its own request when it ends the exchange.
		guarded := new(http.Request)
		*guarded = *r
		guarded.Body = &trackedBody{r.Body, c}
		r = guarded
	}
	next.ServeHTTP(w, r)
}
