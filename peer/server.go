// Package peer transports messages between VMs: drpc over TCP, optionally with
// mutual TLS. Every call has a deadline, and sizes, rates and connections are
// bounded.
package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer/peerpb"
)

// Handler answers the messages of other VMs. It is called concurrently.
type Handler interface {
	// Exchange answers a heartbeat. Nil means that it was meant for another VM.
	Exchange(ctx context.Context, m member.Message) *member.Message
	// Chunk returns data by its SHA-256 hash.
	Chunk(ctx context.Context, hash [32]byte) ([]byte, bool)
	// Versions returns the versions that are in force.
	Versions(ctx context.Context) *peerpb.VersionReply
	// HandleCrashReports processes crash reports of another VM.
	HandleCrashReports(ctx context.Context, reports []*peerpb.CrashNote)
}

// Defaults of ServerOptions.
const (
	DefaultMaxConnections = 4096
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultCallRate       = 2000
	DefaultExchangeRate   = 100
	DefaultChunkByteRate  = 32 << 20
)

// ServerOptions configure a Server. Zero values mean the defaults.
type ServerOptions struct {
	// TLS returns the configuration for each new connection, so that
	// certificates can change. Nil means no TLS.
	TLS func() (*tls.Config, error)
	// MaxConnections bounds open connections. Zero means 4,096.
	MaxConnections int
	// IdleTimeout closes connections without messages. Zero means 2 min.
	IdleTimeout time.Duration
	// CallRate bounds calls/s per connection, of all kinds. Zero means 2,000.
	CallRate int
	// ExchangeRate bounds the sum of heartbeats/s and crash report messages/s per
	// connection. Zero means 100.
	ExchangeRate int
	// ChunkByteRate bounds the chunks that are served by all connections, in
	// bytes/s. Zero means 32 MB/s.
	ChunkByteRate int
	// Log receives events. Nil means none.
	Log *slog.Logger
	// Counters receives counts. Nil means none.
	Counters *Counters
}

func (o ServerOptions) withDefaults() ServerOptions {
	setDefault := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.CallRate, DefaultCallRate)
	setDefault(&o.ExchangeRate, DefaultExchangeRate)
	setDefault(&o.ChunkByteRate, DefaultChunkByteRate)
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Counters == nil {
		o.Counters = new(Counters)
	}
	return o
}

// Server accepts connections of other VMs and passes their messages to a
// Handler.
type Server struct {
	opts     ServerOptions
	handler  Handler
	mux      *drpcmux.Mux
	rpc      *drpcserver.Server
	chunks   *rate.Limiter
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server for a listener, which Close closes. Serve starts
// it.
func NewServer(l net.Listener, h Handler, o ServerOptions) (*Server, error) {
	s := &Server{opts: o.withDefaults(), handler: h, mux: drpcmux.New(), listener: l, conns: make(map[net.Conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.chunks = rate.NewLimiter(rate.Limit(s.opts.ChunkByteRate), max(s.opts.ChunkByteRate, MaxMessageBytes))
	s.rpc = drpcserver.NewWithOptions(rateLimited{s}, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}})
	if err := peerpb.DRPCRegisterPeer(s.mux, peerService{s}); err != nil {
		return nil, errors.Wrap(err, "peer: register")
	}
	return s, nil
}

// Register adds another drpc service to the same listener. It must be called
// before Serve.
func (s *Server) Register(impl any, d drpc.Description) error {
	return errors.Wrap(s.mux.Register(impl, d), "peer: register")
}

// Serve accepts connections in the background until Close.
func (s *Server) Serve() { s.wg.Go(s.accept) }

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections and waits for their handlers.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return errors.Wrap(err, "peer: close")
}

// acceptPause keeps a listener that fails, for example for lack of file
// descriptors, from using up the processor.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return
		}
		if err != nil {
			event.PeerAcceptFailed.Log(s.opts.Log, "error", err)
			time.Sleep(acceptPause)
			continue
		}
		s.mu.Lock()
		isFull := len(s.conns) >= s.opts.MaxConnections
		if !isFull {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if isFull {
			s.opts.Counters.countRefusal("connections")
			c.Close()
			continue
		}
		s.wg.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(raw net.Conn) {
	defer func() {
		raw.Close()
		s.mu.Lock()
		delete(s.conns, raw)
		s.mu.Unlock()
	}()
	c := raw
	if s.opts.TLS != nil {
		cfg, err := s.opts.TLS()
		if err == nil {
			err = handshake(s.ctx, tls.Server(raw, cfg), &c)
		}
		if err != nil {
			s.opts.Counters.countRefusal("tls")
			event.PeerHandshakeFailed.Log(s.opts.Log, "peer", raw.RemoteAddr().String(), "error", err)
			return
		}
	}
	conn := &servedConn{
		Conn: c, idleTimeout: s.opts.IdleTimeout, counters: s.opts.Counters,
		calls:     rate.NewLimiter(rate.Limit(s.opts.CallRate), s.opts.CallRate),
		exchanges: rate.NewLimiter(rate.Limit(s.opts.ExchangeRate), 2*s.opts.ExchangeRate),
	}
	// The error is that of a closed or broken connection; calls report their own.
	_ = s.rpc.ServeOne(s.ctx, conn)
}

// handshakeTimeout bounds a TLS handshake.
const handshakeTimeout = 5 * time.Second

func handshake(ctx context.Context, t *tls.Conn, out *net.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		return err
	}
	*out = t
	return nil
}

// servedConn is an accepted connection with its idle timeout and rate limits.
type servedConn struct {
	net.Conn
	idleTimeout time.Duration
	counters    *Counters
	calls       *rate.Limiter
	exchanges   *rate.Limiter
}

func (c *servedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.counters.countReceived(n)
	return n, err
}

func (c *servedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counters.countSent(n)
	return n, err
}

// rateLimited applies the call rate of a connection to every call on it.
type rateLimited struct{ s *Server }

func (l rateLimited) HandleRPC(stream drpc.Stream, rpc string) error {
	if c := connFrom(stream.Context()); c != nil && !c.calls.Allow() {
		l.s.opts.Counters.countRefusal("call-rate")
		return ErrRateLimited
	}
	return l.s.mux.HandleRPC(stream, rpc)
}

func connFrom(ctx context.Context) *servedConn {
	if tr, ok := drpcctx.Transport(ctx); ok {
		if c, ok := tr.(*servedConn); ok {
			return c
		}
	}
	return nil
}

// ErrRateLimited is returned for a call above the allowed rate.
var ErrRateLimited = errors.New("peer: too many calls")

// peerService implements the drpc service Peer over the Handler.
type peerService struct{ s *Server }

var _ peerpb.DRPCPeerServer = peerService{}

func (v peerService) allowExchange(ctx context.Context, kind string, p proto.Message) error {
	if c := connFrom(ctx); c != nil && !c.exchanges.Allow() {
		v.s.opts.Counters.countRefusal(kind + "-rate")
		return ErrRateLimited
	}
	if n := proto.Size(p); n > maxExchangeBytes {
		v.s.opts.Counters.countRefusal(kind + "-size")
		return errors.Errorf("peer: message of %d bytes, at most %d", n, maxExchangeBytes)
	}
	return nil
}

func (v peerService) Exchange(ctx context.Context, p *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	if err := v.allowExchange(ctx, "exchange", p); err != nil {
		return nil, err
	}
	m, err := FromProto(p, false)
	if err != nil {
		v.s.opts.Counters.countRefusal("exchange-malformed")
		return nil, err
	}
	reply := v.s.handler.Exchange(ctx, m)
	if reply == nil {
		return nil, errors.New("peer: message for another VM")
	}
	v.s.opts.Counters.countCall("exchange-served")
	return ToProto(reply), nil
}

func (v peerService) Chunk(ctx context.Context, p *peerpb.ChunkRequest) (*peerpb.ChunkReply, error) {
	if len(p.Hash) != 32 {
		return nil, errors.Errorf("peer: chunk hash has %d bytes, not 32", len(p.Hash))
	}
	data, ok := v.s.handler.Chunk(ctx, [32]byte(p.Hash))
	if !ok {
		return &peerpb.ChunkReply{}, nil
	}
	if !v.s.chunks.AllowN(time.Now(), len(data)) {
		v.s.opts.Counters.countRefusal("chunk-rate")
		return nil, ErrRateLimited
	}
	v.s.opts.Counters.countCall("chunk-served")
	return &peerpb.ChunkReply{Data: data, Found: true}, nil
}

func (v peerService) Version(ctx context.Context, _ *peerpb.VersionRequest) (*peerpb.VersionReply, error) {
	v.s.opts.Counters.countCall("version-served")
	return v.s.handler.Versions(ctx), nil
}

// Limits of the crash reports of one message.
const (
	maxCrashReports     = 64
	maxCrashReportBytes = 16 << 10
)

func (v peerService) CrashNote(ctx context.Context, p *peerpb.CrashNoteRequest) (*peerpb.CrashNoteReply, error) {
	if err := v.allowExchange(ctx, "crash-note", p); err != nil {
		return nil, err
	}
	if len(p.Notes) > maxCrashReports {
		return nil, errors.Errorf("peer: %d crash reports in a message, at most %d", len(p.Notes), maxCrashReports)
	}
	for _, n := range p.Notes {
		if len(n.GetNote()) > maxCrashReportBytes {
			return nil, errors.New("peer: crash report exceeds the size limit")
		}
	}
	v.s.opts.Counters.countCall("crash-note-served")
	v.s.handler.HandleCrashReports(ctx, p.Notes)
	return &peerpb.CrashNoteReply{}, nil
}
