// Package quiesce follows the connections of a listener, so that a stopping server can keep
// them open until its callers have gone or are quiet. A request that is on its way to a
// connection when the server closes it would get no answer.
package quiesce

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// QuietTime is the time without a byte from or to any caller after which the rest of the
// connections can be closed. Requests take 0.6 s and more on slow links.
const QuietTime = time.Second

// Listener is a listener whose connections are followed.
type Listener struct {
	net.Listener
	// start is the origin of lastMoved, the time of the last byte from or to a caller, or of
	// the listener's end if that was later.
	start     time.Time
	lastMoved atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// emptied is closed when no connection is left while AwaitQuiet waits. Nil means that it
	// doesn't wait.
	emptied chan struct{}
}

// New returns a listener that follows the connections of l.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, start: time.Now(), conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close stops accepting connections. Open ones are not affected.
func (l *Listener) Close() error {
	l.recordMove()
	return l.Listener.Close()
}

func (l *Listener) recordMove() { l.lastMoved.Store(int64(time.Since(l.start))) }

// AwaitQuiet waits until no connection is left, no byte has moved on any of them for QuietTime
// after the listener was closed, or ctx is done. Connections on which nothing ever arrived are
// closed then: net/http's server would wait for their first request.
func (l *Listener) AwaitQuiet(ctx context.Context) {
	for {
		left := QuietTime - (time.Since(l.start) - time.Duration(l.lastMoved.Load()))
		if left <= 0 {
			break
		}
		timer := time.NewTimer(left)
		select {
		case <-l.empty():
			timer.Stop()
			return
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
		}
		break
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.hasRead.Load() {
			_ = c.Conn.Close()
		}
	}
}

// empty returns a channel that is closed when no connection is left.
func (l *Listener) empty() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.emptied == nil {
		l.emptied = make(chan struct{})
	}
	emptied := l.emptied
	l.signalEmpty()
	return emptied
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.signalEmpty()
}

// signalEmpty ends the wait of AwaitQuiet if no connection is left. The lock is held.
func (l *Listener) signalEmpty() {
	if len(l.conns) == 0 && l.emptied != nil {
		close(l.emptied)
		l.emptied = nil
	}
}

type conn struct {
	net.Conn
	l       *Listener
	hasRead atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.l.recordMove()
		c.hasRead.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.l.recordMove()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.remove(c)
	return c.Conn.Close()
}

// CloseWrite lets a server close a connection in both directions in turn.
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
