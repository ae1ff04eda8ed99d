// Package httpanswer helps HTTP/1.1 clients to reject broken answers that net/http takes for
// whole: those that were cut off while the request was still being written, and those with a
// malformed head.
package httpanswer

import (
	"context"
	"io"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer whose connections never end in an orderly way for their reader if they
// were lost: Read returns the loss instead of io.EOF.
//
// The kernel reports the loss of a TCP connection, such as a reset, once. If a writer gets the
// report, a reader sees the same as after an orderly end. For an answer whose end is that of the
// connection, the part that arrived would then look like the whole.
//
// After the reader has seen the end of the connection, writes fail with os.ErrDeadlineExceeded.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection whose reader learns of a loss that was reported to a writer. For NewTransport
// it also scans the heads of answers.
type conn struct {
	net.Conn
	// mu is held during each write. It guards lost, the loss that was reported to a write, or nil.
	mu   sync.Mutex
	lost error

	// scanMu guards scan, which is inactive unless the head of an answer is expected.
	scanMu sync.Mutex
	scan   HeadScan
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scanRead(p[:n])
	if err != io.EOF { //nolint:errorlint // Only the end itself is compared, as io.Reader requires.
		return n, err
	}
	// A write in progress may have the report of a loss already. It is interrupted, since it may
	// wait for as long as the peer reads nothing.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return n, c.lost
	}
	return n, io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = errors.Wrap(err, "connection lost during an answer")
	}
	return n, err
}

// isLoss reports whether the kernel ended a connection with an error. EPIPE is none: the peer had
// ended its side in an orderly way before it refused what was sent later.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// expectAnswer begins to scan the head of the next answer, of which nothing may have arrived.
func (c *conn) expectAnswer() {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	c.scan.Begin(math.MaxInt)
}

// scanned returns the scan of the answer's head.
func (c *conn) scanned() *HeadScan {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	scan := c.scan
	return &scan
}

// scanRead scans bytes that were read. The head of an answer follows those of its interim answers.
func (c *conn) scanRead(p []byte) {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	for len(p) > 0 && c.scan.isActive {
		p, _ = c.scan.Scan(p)
		if !c.scan.isActive && c.scan.isInterim {
			c.scan.Begin(math.MaxInt)
		}
	}
}

// SyscallConn implements syscall.Conn. It fails if the connection has no socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no socket", c.Conn)
	}
	return s.SyscallConn()
}

// SetLinger sets what happens to unsent bytes when the connection is closed, see
// net.TCPConn.SetLinger.
func (c *conn) SetLinger(sec int) error {
	s, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Errorf("%T can't be reset", c.Conn)
	}
	return s.SetLinger(sec)
}
