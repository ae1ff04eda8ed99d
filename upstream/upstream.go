// Package upstream exchanges single requests with instances over kept HTTP/1.1
// connections. It never sends a request twice by itself, and every failure says
// whether any byte of the request may have left this VM.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Options.
const (
	// DefaultDialTimeout covers one lost opening packet inside a region and the
	// round trip between regions.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdle is how long a connection is kept at most; half of the time
	// that the instance states, where that is less.
	DefaultIdle = 5 * time.Second
	// DefaultFresh is the longest idle time of a connection that carries a
	// request which must not run twice: an instance that forgot the connection
	// would leave its outcome unknown.
	DefaultFresh = time.Second
	// DefaultMaxIdle bounds the connections kept to one instance.
	DefaultMaxIdle = 32
	// DefaultDeadPeer is how long written bytes may stay unacknowledged, and
	// about how long a silent peer host goes unnoticed while an answer is due.
	DefaultDeadPeer = 3 * time.Second
	// DefaultHeaderBytes bounds the header of an answer, together with interim
	// answers before it: what common servers accept in a request.
	DefaultHeaderBytes = 64 << 10
	// DefaultHeaderTime bounds the time from the first byte of a header to its
	// end: it covers an opening segment that is lost and sent again twice.
	DefaultHeaderTime = 3 * time.Second
	// maxStrayAnswers bounds the answers to other requests that are skipped
	// before the connection is given up, and maxStrayBytes their bodies.
	maxStrayAnswers = 4
	maxStrayBytes   = 1 << 20
	// maxInterimAnswers bounds the interim answers before an answer: one every few
	// seconds of a long piece of work.
	maxInterimAnswers = 64
	bufferBytes       = 8 << 10
)

// Options of a Client. Zero values mean the defaults above.
type Options struct {
	DialTimeout time.Duration
	Idle        time.Duration
	Fresh       time.Duration
	MaxIdle     int
	DeadPeer    time.Duration
	HeaderBytes int64
	HeaderTime  time.Duration
	// MaxConnections bounds the connections to one instance from this client.
	// Zero means no bound.
	MaxConnections int
	// Now is for tests. Nil means time.Now.
	Now func() time.Time
}

func (o *Options) defaults() {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Idle <= 0 {
		o.Idle = DefaultIdle
	}
	if o.Fresh <= 0 {
		o.Fresh = DefaultFresh
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	if o.DeadPeer <= 0 {
		o.DeadPeer = DefaultDeadPeer
	}
	if o.HeaderBytes <= 0 {
		o.HeaderBytes = DefaultHeaderBytes
	}
	if o.HeaderTime <= 0 {
		o.HeaderTime = DefaultHeaderTime
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// Belonging tells whose an answer is.
type Belonging uint8

const (
	// Foreign answers are to other requests, and are skipped.
	Foreign Belonging = iota
	// Unnamed answers don't say whose they are. They are taken only on a
	// connection that carried no other request, which is then not kept.
	Unnamed
	// Own answers are to the request.
	Own
)

// Exchange is one request to one instance.
type Exchange struct {
	Address string
	// Request is written as it stands; GetBody is not used.
	Request *http.Request
	// Repeatable allows a connection that has been idle for long.
	Repeatable bool
	// Belongs tells whose an answer is. Nil takes every answer as the request's.
	Belongs func(*http.Response) Belonging
	// Wanted is asked once there is a connection, before anything is written. False
	// gives the request up with ErrWithdrawn. Nil means yes.
	Wanted func() bool
}

// Error is a failed exchange.
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

// ErrConnectionLimit means that MaxConnections are in use.
var ErrConnectionLimit = errors.New("upstream: connection limit of the instance reached")

// ErrWithdrawn means that the request was no longer wanted when it was to be written.
var ErrWithdrawn = errors.New("upstream: not wanted any more when there was a connection")

// Client keeps connections to instances. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	hosts  map[string]*host
	opened int64
	closed bool
}

// host holds the connections to one address.
type host struct {
	// idle connections, the latest used last.
	idle []*conn
	open int
}

// New returns a client without connections.
func New(o Options) *Client {
	o.defaults()
	return &Client{
		options: o,
		hosts:   make(map[string]*host),
		dialer: net.Dialer{
			Timeout:         o.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.DeadPeer / 3, Interval: o.DeadPeer / 3, Count: 2},
			Control:         deadPeerControl(o.DeadPeer),
		},
	}
}

// Do writes the request and waits for the header of its answer. The body of the
// answer must be closed. Errors are *Error.
func (c *Client) Do(ctx context.Context, x *Exchange) (*http.Response, error) {
	n, err := c.take(ctx, x)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if x.Wanted != nil && !x.Wanted() {
		n.close()
		return nil, &Error{Err: ErrWithdrawn}
	}
	return n.exchange(ctx, x)
}

// take returns an idle connection that is fit for the request, or a new one.
func (c *Client) take(ctx context.Context, x *Exchange) (*conn, error) {
	for {
		n := c.takeIdle(x)
		if n == nil {
			break
		}
		if n.isQuiet() {
			return n, nil
		}
		n.close()
	}
	return c.dial(ctx, x.Address)
}

// Open opens a connection and keeps it for the next request. An error that is
// syscall.ECONNREFUSED says that nothing listens at the address.
func (c *Client) Open(ctx context.Context, address string) error {
	n, err := c.dial(ctx, address)
	if err == nil {
		c.keep(n)
	}
	return err
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	if !c.reserve(address) {
		return nil, ErrConnectionLimit
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.release(address)
		return nil, err
	}
	n := &conn{client: c, address: address, raw: raw, idleFor: c.options.Idle}
	n.reader = bufio.NewReaderSize(&n.bounded, bufferBytes)
	n.bounded.from = raw
	return n, nil
}

func (c *Client) takeIdle(x *Exchange) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[x.Address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	n := h.idle[len(h.idle)-1]
	idle := c.options.Now().Sub(n.lastUsed)
	if idle > n.idleFor || (!x.Repeatable && idle > c.options.Fresh) {
		// All others have been idle for longer.
		return nil
	}
	h.idle = h.idle[:len(h.idle)-1]
	return n
}

func (c *Client) reserve(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		h = new(host)
		c.hosts[address] = h
	}
	if c.options.MaxConnections > 0 && h.open >= c.options.MaxConnections {
		return false
	}
	h.open++
	c.opened++
	return true
}

func (c *Client) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h.open--; h.open == 0 {
		delete(c.hosts, address)
	}
}

// keep puts a connection back, or closes it when enough are kept.
func (c *Client) keep(n *conn) {
	c.mu.Lock()
	h := c.hosts[n.address]
	full := c.closed || h == nil || len(h.idle) >= c.options.MaxIdle
	if !full {
		n.lastUsed = c.options.Now()
		h.idle = append(h.idle, n)
	}
	c.mu.Unlock()
	if full {
		n.close()
	}
}

// Sweep closes the connections that have been idle for too long. It is called
// about once a second.
func (c *Client) Sweep() {
	now := c.options.Now()
	c.closeIdle(func(n *conn) bool { return now.Sub(n.lastUsed) > n.idleFor })
}

// CloseIdle closes all idle connections; later ones are not kept.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.closeIdle(func(*conn) bool { return true })
}

// Forget closes the idle connections to an address whose instance has gone.
func (c *Client) Forget(address string) {
	c.closeIdle(func(n *conn) bool { return n.address == address })
}

func (c *Client) closeIdle(due func(*conn) bool) {
	var out []*conn
	c.mu.Lock()
	for _, h := range c.hosts {
		kept := h.idle[:0]
		for _, n := range h.idle {
			if due(n) {
				out = append(out, n)
			} else {
				kept = append(kept, n)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	c.mu.Unlock()
	for _, n := range out {
		n.close()
	}
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}
