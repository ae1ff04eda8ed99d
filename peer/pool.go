package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer/peerpb"
)

// Defaults of PoolOptions.
const (
	DefaultDialTimeout     = time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultPoolIdleTimeout = time.Minute
	DefaultMaxCallsPerPeer = 16
	DefaultMinBackoff      = 100 * time.Millisecond
	DefaultMaxBackoff      = 2 * time.Second
)

// PoolOptions configure a Pool. Zero values mean the defaults.
type PoolOptions struct {
	// TLS returns the configuration for each new connection, so that
	// certificates can change. Nil means no TLS.
	TLS func() (*tls.Config, error)
	// DialTimeout bounds a connection attempt. Zero means 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline. Zero means 2 s.
	CallTimeout time.Duration
	// IdleTimeout closes connections that are not used. Zero means 1 min, which
	// is longer than the interval between heartbeats.
	IdleTimeout time.Duration
	// MaxCallsPerPeer bounds the calls to one peer at a time. A connection carries one
	// call at a time; up to two idle ones are kept per peer and more are opened
	// while calls overlap. Zero means 16.
	MaxCallsPerPeer int
	// MinBackoff and MaxBackoff bound the pause after a failed connection
	// attempt, which doubles and is jittered. Zero means 100 ms and 2 s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Log receives events. Nil means none.
	Log *slog.Logger
	// Counters receives counts. Nil means none.
	Counters *Counters
}

func (o PoolOptions) withDefaults() PoolOptions {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.IdleTimeout, DefaultPoolIdleTimeout)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	if o.MaxCallsPerPeer <= 0 {
		o.MaxCallsPerPeer = DefaultMaxCallsPerPeer
	}
	if o.Counters == nil {
		o.Counters = new(Counters)
	}
	return o
}

// Errors of a Pool. With any of them the call was not sent.
var (
	ErrBackoff = errors.New("peer: waiting before the next connection attempt")
	ErrBusy    = errors.New("peer: too many calls to this peer at the same time")
	ErrClosed  = errors.New("peer: pool is closed")
)

// Pool holds connections to other VMs by address. It is safe for concurrent use.
type Pool struct {
	opts   PoolOptions
	conns  *drpcpool.Pool[string, drpcpool.Conn]
	dialer net.Dialer

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
	peers  map[string]*peerState
}

// peerState holds the call slots and the backoff of an address.
type peerState struct {
	slots    chan struct{}
	backoff  time.Duration
	retryAt  time.Time
	lastUsed time.Time
}

// NewPool returns an empty pool.
func NewPool(o PoolOptions) *Pool {
	o = o.withDefaults()
	return &Pool{
		opts:   o,
		conns:  drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: o.IdleTimeout, KeyCapacity: 2}),
		dialer: net.Dialer{Timeout: o.DialTimeout, KeepAlive: 15 * time.Second},
		peers:  make(map[string]*peerState),
	}
}

// Close waits for the running calls, bounded by their contexts, and closes all
// connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.calls.Wait()
	return errors.Wrap(p.conns.Close(), "peer: close")
}

// Conn returns a connection to an address for generated drpc clients. It
// connects on the first call, and again after the connection broke.
func (p *Pool) Conn(address string) drpc.Conn {
	return &pooledConn{pool: p, address: address, closed: make(chan struct{})}
}

// Client returns the client of the Peer service at an address.
func (p *Pool) Client(address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(p.Conn(address))
}

// ResetBackoff resets the backoff of an address, so that the next call connects at
// once. It is called when a message of the peer at the address arrived.
func (p *Pool) ResetBackoff(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.peers[address]; s != nil {
		s.backoff, s.retryAt = 0, time.Time{}
	}
}

// Exchange sends a heartbeat and returns the reply.
func (p *Pool) Exchange(ctx context.Context, address string, m *member.Message) (member.Message, error) {
	p.opts.Counters.countCall("exchange")
	reply, err := p.Client(address).Exchange(ctx, ToProto(m))
	if err != nil {
		return member.Message{}, err
	}
	return FromProto(reply, true)
}

// ErrNoChunk means that the peer does not have a chunk.
var ErrNoChunk = errors.New("peer: chunk not found")

// Chunk fetches data by its SHA-256 hash. The caller verifies it.
func (p *Pool) Chunk(ctx context.Context, address string, hash [32]byte) ([]byte, error) {
	p.opts.Counters.countCall("chunk")
	reply, err := p.Client(address).Chunk(ctx, &peerpb.ChunkRequest{Hash: hash[:]})
	if err != nil {
		return nil, err
	}
	if !reply.Found {
		return nil, ErrNoChunk
	}
	return reply.Data, nil
}

// Version asks a peer which versions it has in force.
func (p *Pool) Version(ctx context.Context, address string) (*peerpb.VersionReply, error) {
	p.opts.Counters.countCall("version")
	return p.Client(address).Version(ctx, &peerpb.VersionRequest{})
}

// SendCrashReports sends crash reports to a peer.
func (p *Pool) SendCrashReports(ctx context.Context, address string, reports []*peerpb.CrashNote) error {
	p.opts.Counters.countCall("crash-note")
	_, err := p.Client(address).CrashNote(ctx, &peerpb.CrashNoteRequest{Notes: reports})
	return err
}

// maxPeers is how many addresses are kept before idle ones are dropped.
const maxPeers = 8192

// acquireSlot takes a slot for a call to an address.
func (p *Pool) acquireSlot(address string) (*peerState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	s := p.peers[address]
	if s == nil {
		p.pruneIdle()
		s = &peerState{slots: make(chan struct{}, p.opts.MaxCallsPerPeer)}
		p.peers[address] = s
	}
	select {
	case s.slots <- struct{}{}:
	default:
		p.opts.Counters.countRefusal("busy")
		return nil, ErrBusy
	}
	s.lastUsed = time.Now()
	p.calls.Add(1)
	return s, nil
}

func (p *Pool) releaseSlot(s *peerState) {
	<-s.slots
	p.calls.Done()
}

// pruneIdle drops addresses that were not used for IdleTimeout, once there are
// maxPeers.
func (p *Pool) pruneIdle() {
	if len(p.peers) < maxPeers {
		return
	}
	for a, s := range p.peers {
		if len(s.slots) == 0 && time.Since(s.lastUsed) > p.opts.IdleTimeout {
			delete(p.peers, a)
		}
	}
}

func (p *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	p.mu.Lock()
	s := p.peers[address]
	inBackoff := s != nil && time.Now().Before(s.retryAt)
	p.mu.Unlock()
	if inBackoff {
		p.opts.Counters.countRefusal("backoff")
		return nil, ErrBackoff
	}
	c, err := p.connect(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.peers[address]; s != nil {
		if err != nil {
			s.backoff = min(max(2*s.backoff, p.opts.MinBackoff), p.opts.MaxBackoff)
			s.retryAt = time.Now().Add(s.backoff/2 + rand.N(s.backoff))
		} else {
			s.backoff, s.retryAt = 0, time.Time{}
		}
	}
	if err != nil {
		p.opts.Counters.countRefusal("connect")
		event.PeerConnectFailed.Log(p.opts.Log, "address", address, "error", err)
		return nil, errors.Wrap(err, "peer: connect")
	}
	p.opts.Counters.countCall("connect")
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}}), nil
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := raw
	if p.opts.TLS != nil {
		cfg, err := p.opts.TLS()
		if err == nil {
			err = handshake(ctx, tls.Client(raw, cfg), &c)
		}
		if err != nil {
			raw.Close()
			return nil, err
		}
	}
	return &dialledConn{Conn: c, counters: p.opts.Counters}, nil
}

// dialledConn counts the bytes of an outgoing connection.
type dialledConn struct {
	net.Conn
	counters *Counters
}

func (c *dialledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.countReceived(n)
	return n, err
}

func (c *dialledConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.countSent(n)
	return n, err
}

// pooledConn is a drpc.Conn that takes a connection from the pool for each
// call.
type pooledConn struct {
	pool    *Pool
	address string
	once    sync.Once
	closed  chan struct{}
}

var _ drpc.Conn = (*pooledConn)(nil)

func (c *pooledConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *pooledConn) Closed() <-chan struct{} { return c.closed }

func (c *pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	s, err := c.pool.acquireSlot(c.address)
	if err != nil {
		return err
	}
	defer c.pool.releaseSlot(s)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.pool.opts.CallTimeout)
		defer cancel()
	}
	return c.pool.conns.Get(ctx, c.address, c.pool.dial).Invoke(ctx, rpc, enc, in, out)
}

// NewStream returns an error: messages between VMs are single calls, whose
// size and duration are bounded.
func (c *pooledConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("peer: streams are not supported")
}
