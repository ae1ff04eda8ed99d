package testkit

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// CutKind is how Links fail.
type CutKind int

// Kinds of cuts.
const (
	// NoCut passes everything.
	NoCut CutKind = iota
	// SilentCut drops the bytes of all connections; new ones hang.
	SilentCut
	// ResetCut resets all connections; new ones hang.
	ResetCut
	// RefuseCut refuses new connections, while open ones live on.
	RefuseCut
	// NumCutKinds is the number of the kinds above, of which the soak draws.
	NumCutKinds
	// DropCut resets all connections and refuses new ones.
	DropCut
	// HoldCut drops the bytes of all connections, and opens new ones.
	HoldCut
	// SlowCut opens new connections late, while open ones are served as before: the link is
	// full.
	SlowCut
)

// A connection over links that are full opens after minSlowOpen to maxSlowOpen. Some take longer
// than the client's dial timeout.
const (
	minSlowOpen = 300 * time.Millisecond
	maxSlowOpen = 520 * time.Millisecond
)

// opens reports whether new connections are opened.
func (k CutKind) opens() bool { return k == NoCut || k == HoldCut || k == SlowCut }

// dropsBytes reports whether bytes of open connections are lost.
func (k CutKind) dropsBytes() bool { return k == SilentCut || k == HoldCut }

// Links are the links of a process to all addresses that it dials by them. They can be
// cut. The zero value passes everything. It is safe for concurrent use.
type Links struct {
	mu   sync.Mutex
	kind CutKind
	// only holds the addresses to which the links are cut. Nil means all.
	only  map[string]bool
	conns map[*linkConn]bool
	// speed is that of the links while they aren't cut.
	speed Speed
	// freeAt is when the link has carried the bytes read and written so far.
	freeAt [2]time.Time
	// healed is closed when the present cut ends.
	healed chan struct{}
	// DialTimeout is when Dial gives up; zero means 500 ms, as the dialer of requests does.
	DialTimeout time.Duration
}

// Speed is how fast links are. The zero value means that nothing is held up.
type Speed struct {
	// OpenDelay is how much later connections open.
	OpenDelay time.Duration
	// Backlog is how long bytes and opening packets wait behind the traffic of others, in each
	// direction.
	Backlog time.Duration
	// BytesPerSecond is the rate of all connections together in each direction; zero means
	// that bytes aren't held up.
	BytesPerSecond int
}

// windowBytes is what a connection carries within a Backlog.
const windowBytes = 64 << 10

// maxPaced is the number of bytes that a connection moves at once over slow links, so that
// the connections take turns.
const maxPaced = 4 << 10

// Indices of the directions of a link.
const (
	inbound = iota
	outbound
)

// SetSpeed changes the speed of the links to all addresses. Open connections stay open.
func (l *Links) SetSpeed(s Speed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.speed, l.freeAt = s, [2]time.Time{}
}

// openDelay returns how much later a connection opens.
func (l *Links) openDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speed.OpenDelay + 2*l.speed.Backlog
}

// backlog returns how long bytes wait.
func (l *Links) backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speed.Backlog
}

// isPaced reports whether bytes are held up.
func (l *Links) isPaced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speed.BytesPerSecond > 0
}

// reserve returns how long the link needs to carry n more bytes.
func (l *Links) reserve(direction, n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.speed.BytesPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if l.freeAt[direction].Before(now) {
		l.freeAt[direction] = now
	}
	l.freeAt[direction] = l.freeAt[direction].Add(time.Duration(n) * time.Second / time.Duration(l.speed.BytesPerSecond))
	return l.freeAt[direction].Sub(now)
}

// dialTimeout is the default of Links.DialTimeout.
const dialTimeout = 500 * time.Millisecond

// Cut cuts the links, or heals them with NoCut. Bytes that were dropped are lost, so their
// connections are reset at the end of a silent cut.
func (l *Links) Cut(kind CutKind) { l.cut(kind, nil) }

// CutTo cuts the links to some addresses only, and heals those to all others.
func (l *Links) CutTo(kind CutKind, addresses ...string) {
	only := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		only[a] = true
	}
	l.cut(kind, only)
}

func (l *Links) cut(kind CutKind, only map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.kind
	wasCut := make(map[*linkConn]bool)
	for c := range l.conns {
		wasCut[c] = before.dropsBytes() && l.isCut(c.address)
	}
	l.kind, l.only = kind, only
	if l.healed != nil {
		close(l.healed)
	}
	l.healed = make(chan struct{})
	if kind == ResetCut || kind == DropCut || before.dropsBytes() {
		for c := range l.conns {
			if !wasCut[c] && !l.isCut(c.address) {
				continue
			}
			resetOnClose(c.TCPConn)
			c.TCPConn.Close()
		}
	}
}

// isCut reports whether a cut concerns an address. The lock is held.
func (l *Links) isCut(address string) bool { return l.only == nil || l.only[address] }

// state returns how the link to an address fails.
func (l *Links) state(address string) (CutKind, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
	if !l.isCut(address) {
		return NoCut, l.healed
	}
	return l.kind, l.healed
}

// Dial opens a connection to an address.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(l.DialTimeout, dialTimeout))
	defer cancel()
	for {
		c, err := l.dial(ctx, network, address)
		if err != nil || c != nil {
			return c, err
		}
	}
}

// dial opens a connection. It returns nil if the links were cut meanwhile.
func (l *Links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		kind, healed := l.state(address)
		if kind == RefuseCut || kind == DropCut {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		if kind == SlowCut {
			delay := minSlowOpen + rand.N(maxSlowOpen-minSlowOpen)
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(delay):
			}
			break
		}
		if kind.opens() {
			break
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-healed:
		}
	}
	if delay := l.openDelay(); delay > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(delay):
		}
	}
	raw, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return raw, nil
	}
	c := &linkConn{TCPConn: tcp, links: l, address: address, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.kind.opens() && l.isCut(address) {
		tcp.Close()
		return nil, nil
	}
	if l.conns == nil {
		l.conns = make(map[*linkConn]bool)
	}
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection over Links.
type linkConn struct {
	*net.TCPConn
	links     *Links
	address   string
	closeOnce sync.Once
	closed    chan struct{}
	// inWindow is how many bytes may be read before the next ones wait for a Backlog.
	inWindow int
}

// wait waits for a Backlog, or until the connection is closed.
func (c *linkConn) wait() {
	if d := c.links.backlog(); d > 0 {
		select {
		case <-time.After(d):
		case <-c.closed:
		}
	}
}

// hold waits until the link has carried n more bytes, or the connection is closed.
func (c *linkConn) hold(direction, n int) {
	d := c.links.reserve(direction, n)
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-c.closed:
	}
}

func (c *linkConn) Read(p []byte) (int, error) {
	if len(p) > maxPaced && c.links.isPaced() {
		p = p[:maxPaced]
	}
	began := time.Now()
	n, err := c.TCPConn.Read(p)
	if time.Since(began) > time.Millisecond || c.inWindow < n {
		c.wait()
		c.inWindow = windowBytes
	}
	c.inWindow -= n
	c.hold(inbound, n)
	if kind, healed := c.links.state(c.address); kind.dropsBytes() {
		// The bytes are lost; the end of the cut resets the connection.
		select {
		case <-healed:
			return 0, syscall.ECONNRESET
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

func (c *linkConn) Write(p []byte) (int, error) {
	if kind, _ := c.links.state(c.address); kind.dropsBytes() {
		return len(p), nil
	}
	c.wait()
	written := 0
	for len(p) > maxPaced && c.links.isPaced() {
		c.hold(outbound, maxPaced)
		n, err := c.TCPConn.Write(p[:maxPaced])
		written += n
		if err != nil {
			return written, err
		}
		p = p[maxPaced:]
	}
	c.hold(outbound, len(p))
	n, err := c.TCPConn.Write(p)
	return written + n, err
}

func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}
