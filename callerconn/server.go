// Package callerconn serves HTTP/1 connections on which callers send further requests
// before the first is answered. Idempotent requests of a connection run at the same time,
// and answers are sent in the order of the requests. Messages are parsed by net/http, whose
// server is the reference for everything that is not about pipelining.
package callerconn

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Budget bounds the bytes that connections hold in memory. It is safe for concurrent use.
type Budget interface {
	// Reserve takes n bytes, or returns false if they are not available.
	Reserve(n int64) bool
	// Release returns n bytes that were reserved.
	Release(n int64)
}

// Count is something that a Server counts.
type Count string

// What is counted.
const (
	// CountPipelined is a request that was started while an earlier one of its connection
	// was unanswered.
	CountPipelined Count = "pipelined"
	// CountWaited is a request that was received and had to wait for earlier ones.
	CountWaited Count = "waited"
	// CountCancelled is a request that was cancelled because an answer before it closed the
	// connection.
	CountCancelled Count = "cancelled"
	// CountMalformed is a connection that was closed after a malformed or too large head.
	CountMalformed Count = "malformed"
	// CountHeadTimeout is a connection that was closed because a head was not complete in
	// time.
	CountHeadTimeout Count = "head-timeout"
	// CountNotRead is a connection that was closed because the caller did not read an
	// answer.
	CountNotRead Count = "not-read"
	// CountNoMemory is a connection that was closed because the budget was used up.
	CountNoMemory Count = "no-memory"
	// CountAborted is a connection that was closed in the middle of an answer, or instead of
	// one.
	CountAborted Count = "aborted"
)

// Counts lists all values of Count.
var Counts = []Count{
	CountPipelined, CountWaited, CountCancelled, CountMalformed, CountHeadTimeout, CountNotRead, CountNoMemory, CountAborted,
}

// Server serves HTTP/1 connections. The fields must not change after the first call of
// Serve.
type Server struct {
	Handler http.Handler
	// IsPipelinable reports whether a request is idempotent, so that it may be started
	// before earlier requests are answered, and later ones before it is answered. It is
	// called with the head of the request. Nil means that no request is.
	IsPipelinable func(r *http.Request) bool
	// MaxPipelined bounds the started requests of a connection. Zero means 1.
	MaxPipelined int
	// Budget bounds the memory for large heads and for answers that wait for earlier ones.
	// Nil means no bound.
	Budget Budget
	// ReadHeaderTimeout bounds the time for a head, from its first byte, or from the
	// connection's start for the first one. Zero means no bound.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request. Zero means no bound.
	IdleTimeout time.Duration
	// NotReadTimeout is the time after which a connection is closed whose caller accepts no
	// byte of an answer. Zero means no bound.
	NotReadTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request. Zero means http.DefaultMaxHeaderBytes.
	MaxHeaderBytes int
	// MaxHeldBytes bounds the bytes of an answer that are held while earlier ones are not
	// complete. The handler is blocked beyond it. Zero means 64 KiB.
	MaxHeldBytes int
	// ConnContext, unless nil, returns the parent of the contexts of a connection's requests.
	// It is called before anything is read from the connection.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// OnCount, unless nil, is called for each Count. It must not block or call the server.
	OnCount func(Count)
	// ErrorLog receives panics of the handler and errors of the listener. Nil means the
	// standard logger.
	ErrorLog *log.Logger

	mu        sync.Mutex
	listeners map[net.Listener]bool
	conns     map[*conn]bool
	// idle is signalled when a connection has ended.
	idle      chan struct{}
	stopping  bool
	finishing atomic.Bool
}

const (
	defaultMaxHeldBytes = 64 << 10
	// maxAcceptDelay bounds the wait after a failed accept, for example for want of
	// descriptors.
	maxAcceptDelay = time.Second
)

// Serve accepts connections until the listener fails, or Shutdown or Close is called. It
// then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	if !s.addListener(l) {
		return http.ErrServerClosed
	}
	defer s.removeListener(l)
	delay := time.Duration(0)
	for {
		nc, err := l.Accept()
		if err != nil {
			var ne net.Error
			if s.isStopping() {
				return http.ErrServerClosed
			}
			//nolint:staticcheck // Temporary is what tells a lack of descriptors from a closed listener.
			if !errors.As(err, &ne) || !ne.Temporary() {
				return err
			}
			delay = min(max(2*delay, 5*time.Millisecond), maxAcceptDelay)
			s.logf("accept: %v; next attempt in %v", err, delay)
			time.Sleep(delay)
			continue
		}
		delay = 0
		c := newConn(s, nc)
		if !s.addConn(c) {
			nc.Close()
			return http.ErrServerClosed
		}
		go c.serve()
	}
}

// FinishConnections ends each connection after the last request that has arrived on it, or after
// its next request if there is none. The last answer has "Connection: close". Requests that were
// not started yet run one after the other.
func (s *Server) FinishConnections() { s.finishing.Store(true) }

// Shutdown closes the listeners and all connections without a started request. Started
// requests are answered, the last one of a connection with "Connection: close". It returns
// when all connections have ended, or with the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.FinishConnections()
	s.mu.Lock()
	s.stopLocked()
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		left, idle := len(s.conns), s.idle
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
	for c := range s.conns {
		c.nc.Close()
		c.cancel()
	}
	return nil
}

func (s *Server) stopLocked() {
	s.stopping = true
	if s.idle == nil {
		s.idle = make(chan struct{}, 1)
	}
	for l := range s.listeners {
		l.Close()
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	if s.listeners == nil {
		s.listeners, s.conns = make(map[net.Listener]bool), make(map[*conn]bool)
	}
	s.listeners[l] = true
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.idle != nil {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

func (s *Server) count(c Count) {
	if s.OnCount != nil {
		s.OnCount(c)
	}
}

func (s *Server) logf(format string, args ...any) {
	if s.ErrorLog != nil {
		s.ErrorLog.Printf(format, args...)
	} else {
		log.Printf(format, args...)
	}
}

func (s *Server) reserve(n int) bool { return s.Budget == nil || s.Budget.Reserve(int64(n)) }

func (s *Server) release(n int) {
	if s.Budget != nil && n > 0 {
		s.Budget.Release(int64(n))
	}
}

func (s *Server) maxPipelined() int { return max(s.MaxPipelined, 1) }

func (s *Server) maxHeldBytes() int {
	if s.MaxHeldBytes > 0 {
		return s.MaxHeldBytes
	}
	return defaultMaxHeldBytes
}

// maxHead returns the size of the largest head. Like net/http's server, it allows for the
// request line and for what is read ahead.
func (s *Server) maxHead() int {
	if s.MaxHeaderBytes > 0 {
		return s.MaxHeaderBytes + bufferBytes
	}
	return http.DefaultMaxHeaderBytes + bufferBytes
}

// FixedBudget is a Budget of a fixed number of bytes.
type FixedBudget struct{ left atomic.Int64 }

var _ Budget = (*FixedBudget)(nil)

// NewFixedBudget returns a budget of n bytes.
func NewFixedBudget(n int64) *FixedBudget {
	b := &FixedBudget{}
	b.left.Store(n)
	return b
}

// Reserve implements Budget.
func (b *FixedBudget) Reserve(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Release implements Budget.
func (b *FixedBudget) Release(n int64) { b.left.Add(n) }
