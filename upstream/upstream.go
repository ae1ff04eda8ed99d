// Package upstream sends single requests to instances over persistent HTTP/1.1
// connections. It never resends a request itself, and every error states whether any byte
// of the request may have left this VM.
package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/httpanswer"
)

// Defaults of Options.
const (
	// DefaultDialTimeout covers one lost SYN packet inside a region, and the round trip
	// between regions.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultMaxIdleTime is the maximum idle time of a connection. If the instance states
	// a keep-alive time, half of it applies if that is shorter.
	DefaultMaxIdleTime = 5 * time.Second
	// DefaultMaxIdleUnrepeatable is the maximum idle time of a connection that carries a
	// request which must not run twice: if the instance dropped the connection, the
	// outcome of the request would be unknown.
	DefaultMaxIdleUnrepeatable = time.Second
	// DefaultMaxIdleConnections bounds the idle connections to one instance.
	DefaultMaxIdleConnections = 32
	// DefaultUnackedTimeout is how long written bytes may stay unacknowledged, and about
	// how long it takes to detect an unreachable peer while an answer is due.
	DefaultUnackedTimeout = 3 * time.Second
	// DefaultMaxHeaderBytes bounds the header of an answer including the interim answers
	// before it. It equals the limit of common servers for a request header.
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultMaxHeaderFields bounds the fields of one header: instances send some ten. A field
	// of four bytes costs ten times as much once it is parsed.
	DefaultMaxHeaderFields = 500
	// DefaultHeaderTimeout bounds the time from the first byte of a header to its end.
	// It covers two retransmissions of the first segment.
	DefaultHeaderTimeout = 3 * time.Second
	// maxStrayAnswers bounds the answers to other requests that are skipped before the
	// connection is closed, and maxStrayBytes their bodies.
	maxStrayAnswers = 4
	maxStrayBytes   = 1 << 20
	bufferBytes     = 8 << 10
	// maxRequests is the number of requests after which a connection is closed. It bounds the
	// IDs that are kept for each, 2 KB.
	maxRequests = 256
)

// Options configures a Client. Zero values select the defaults above.
type Options struct {
	DialTimeout         time.Duration
	MaxIdleTime         time.Duration
	MaxIdleUnrepeatable time.Duration
	MaxIdleConnections  int
	UnackedTimeout      time.Duration
	MaxHeaderBytes      int64
	MaxHeaderFields     int
	HeaderTimeout       time.Duration
	// MaxConnections bounds the connections of this client to one instance. Zero means
	// no bound.
	MaxConnections int
	// Dial, if not nil, opens the connections instead of a net.Dialer with the timeouts
	// above. Tests use it to cut this client off.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS, if not nil, returns the configuration with which each connection is encrypted.
	TLS func() (*tls.Config, error)
	// Observer, if not nil, observes the connections.
	Observer Observer
	// Now replaces the clock in tests. Nil means time.Now.
	Now func() time.Time
}

func (o *Options) setDefaults() {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxIdleTime <= 0 {
		o.MaxIdleTime = DefaultMaxIdleTime
	}
	if o.MaxIdleUnrepeatable <= 0 {
		o.MaxIdleUnrepeatable = DefaultMaxIdleUnrepeatable
	}
	if o.MaxIdleConnections <= 0 {
		o.MaxIdleConnections = DefaultMaxIdleConnections
	}
	if o.UnackedTimeout <= 0 {
		o.UnackedTimeout = DefaultUnackedTimeout
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.MaxHeaderFields <= 0 {
		o.MaxHeaderFields = DefaultMaxHeaderFields
	}
	if o.HeaderTimeout <= 0 {
		o.HeaderTimeout = DefaultHeaderTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// Observer observes which instances can be reached. Its methods must not block.
type Observer interface {
	// Attempt is called before a connection is opened or a request is written.
	Attempt(address string)
	// Connected is called when a connection was opened, with the time at which that began,
	// and Answered when the first bytes of an answer arrived.
	Connected(address string, began time.Time)
	Answered(address string)
	// Failed is called when a connection could not be opened, or was lost before an answer.
	// An exchange that its caller gave up is no failure. since is the time from which the
	// instance could not be reached, as far as that is known.
	Failed(address string, since time.Time)
}

// Match is the result of matching an answer with a request.
type Match uint8

const (
	// MatchOther answers match another request, and are skipped.
	MatchOther Match = iota
	// MatchUnknown answers carry no request ID. They are accepted only on a connection
	// that carried no other request, and the connection is not reused.
	MatchUnknown
	// MatchRequest answers match the request.
	MatchRequest
	// MatchLast answers match the request too, but a copy of them would match any request, so
	// the connection is not reused.
	MatchLast
)

// Exchange is one request to one instance.
type Exchange struct {
	Address string
	// Request is written as it is; GetBody is not used.
	Request *http.Request
	// ID is the ID by which MatchAnswer matches an answer, or empty. Callers may send several
	// requests with the same ID. These share no connection, since a faulty instance may repeat
	// the answer to one of them when the next is due.
	ID string
	// Repeatable says that the request may run twice. It allows a connection that has
	// been idle for longer.
	Repeatable bool
	// MatchAnswer returns whether an answer matches the request. Nil accepts every answer.
	MatchAnswer func(*http.Response) Match
	// CanSend is called when there is a connection, before anything is written. If it
	// returns false, the request is abandoned with ErrWithdrawn. Nil means true.
	CanSend func() bool
}

// Error is the error of a failed exchange.
type Error struct {
	// Written says that bytes of the request may have reached the instance.
	Written bool
	// Answered says that bytes of an answer arrived before the failure.
	Answered bool
	// Stray is the number of skipped answers to other requests.
	Stray int
	Err   error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrConnectionLimit means that MaxConnections connections to the instance are in use.
var ErrConnectionLimit = errors.New("upstream: connection limit of the instance reached")

// ErrWithdrawn means that CanSend returned false before the request was written.
var ErrWithdrawn = errors.New("upstream: request withdrawn before it was written")

// Client keeps connections to instances. It is safe for concurrent use.
type Client struct {
	options Options

	mu     sync.Mutex
	pools  map[string]*pool
	opened int64
	closed bool
}

// pool holds the connections to one address.
type pool struct {
	// idle holds the idle connections, the most recently used last.
	idle []*conn
	open int
}

// New returns a client without connections.
func New(o Options) *Client {
	o.setDefaults()
	if o.Dial == nil {
		o.Dial = o.newDialer().DialContext
	}
	// Below TLS, where the kernel reports a loss.
	o.Dial = httpanswer.Dialer(o.Dial)
	if o.TLS != nil {
		o.Dial = dialTLS(o.Dial, o.TLS)
	}
	return &Client{options: o, pools: make(map[string]*pool)}
}

// newDialer returns the dialer for connections to instances. UnackedTimeout also decides
// when unanswered keep-alive probes end an idle connection, whatever their count.
func (o *Options) newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.UnackedTimeout / 3, Interval: o.UnackedTimeout / 3, Count: 2},
		Control:         userTimeoutControl(o.UnackedTimeout),
	}
}

// Do writes the request and waits for the header of its answer. The caller must close the
// body of the answer. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, x *Exchange) (*http.Response, error) {
	n, err := c.acquire(ctx, x)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if x.CanSend != nil && !x.CanSend() {
		n.close()
		return nil, &Error{Err: ErrWithdrawn}
	}
	return n.exchange(ctx, x)
}

// acquire returns an idle connection that may carry the request, or a new one.
func (c *Client) acquire(ctx context.Context, x *Exchange) (*conn, error) {
	for {
		n := c.acquireIdle(x)
		if n == nil {
			break
		}
		if n.isReusable() {
			return n, nil
		}
		n.close()
	}
	return c.dial(ctx, x.Address)
}

// Open opens a connection and keeps it for the next request. The error
// syscall.ECONNREFUSED means that nothing listens at the address.
func (c *Client) Open(ctx context.Context, address string) error {
	n, err := c.dial(ctx, address)
	if err == nil {
		c.putIdle(n)
	}
	return err
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	if !c.reserve(address) {
		return nil, ErrConnectionLimit
	}
	if o := c.options.Observer; o != nil {
		o.Attempt(address)
	}
	began := time.Now()
	raw, err := c.options.Dial(ctx, "tcp", address)
	if err != nil {
		c.release(address)
		if o := c.options.Observer; o != nil && ctx.Err() == nil {
			o.Failed(address, began)
		}
		return nil, err
	}
	if o := c.options.Observer; o != nil {
		o.Connected(address, began)
	}
	n := &conn{client: c, address: address, raw: raw, maxIdleTime: c.options.MaxIdleTime}
	n.reader = bufio.NewReaderSize(&n.input, bufferBytes)
	n.input.source = raw
	return n, nil
}

func (c *Client) acquireIdle(x *Exchange) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[x.Address]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	for k := len(p.idle) - 1; k >= 0; k-- {
		n := p.idle[k]
		idle := c.options.Now().Sub(n.lastUsed)
		if idle > n.maxIdleTime || (!x.Repeatable && idle > c.options.MaxIdleUnrepeatable) {
			// The other connections have been idle for longer.
			return nil
		}
		if x.ID != "" && slices.Contains(n.ids, xxhash.Sum64String(x.ID)) {
			continue
		}
		p.idle = slices.Delete(p.idle, k, k+1)
		return n
	}
	return nil
}

func (c *Client) reserve(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = new(pool)
		c.pools[address] = p
	}
	if c.options.MaxConnections > 0 && p.open >= c.options.MaxConnections {
		return false
	}
	p.open++
	c.opened++
	return true
}

func (c *Client) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p.open--; p.open == 0 {
		delete(c.pools, address)
	}
}

// putIdle returns a connection to its pool, or closes it if the pool is full.
func (c *Client) putIdle(n *conn) {
	c.mu.Lock()
	p := c.pools[n.address]
	full := c.closed || p == nil || len(p.idle) >= c.options.MaxIdleConnections
	if !full {
		n.lastUsed = c.options.Now()
		p.idle = append(p.idle, n)
	}
	c.mu.Unlock()
	if full {
		n.close()
	}
}

// Sweep closes the connections that have been idle for too long. It should be called
// about once a second.
func (c *Client) Sweep() {
	now := c.options.Now()
	c.closeIdle(func(n *conn) bool { return now.Sub(n.lastUsed) > n.maxIdleTime })
}

// CloseIdle closes all idle connections. Connections returned later are closed too.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.closeIdle(func(*conn) bool { return true })
}

// CloseIdleTo closes the idle connections to an address whose instance leaves or has
// ended.
func (c *Client) CloseIdleTo(address string) {
	c.closeIdle(func(n *conn) bool { return n.address == address })
}

func (c *Client) closeIdle(expired func(*conn) bool) {
	var expiredConns []*conn
	c.mu.Lock()
	for _, p := range c.pools {
		kept := p.idle[:0]
		for _, n := range p.idle {
			if expired(n) {
				expiredConns = append(expiredConns, n)
			} else {
				kept = append(kept, n)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
	c.mu.Unlock()
	for _, n := range expiredConns {
		n.close()
	}
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}
