package httpanswer

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/testkit"
)

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := Dialer(new(net.Dialer).DialContext)(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// writeUntilError writes until the connection fails.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 1000)); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// A reader must see a reset that the kernel reported to the writer, and the bytes before it. A
// peer that ended its side first and then refused further bytes has sent everything.
func TestReaderSeesResetOfWriter(t *testing.T) {
	for name, tc := range map[string]struct {
		isReset bool
		want    error
	}{"reset": {true, syscall.ECONNRESET}, "orderly end": {false, nil}} {
		t.Run(name, func(t *testing.T) {
			address := testkit.StartServer(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 5))
				_, _ = io.WriteString(c, "answer")
				if tc.isReset {
					_ = c.SetLinger(0)
				}
			})
			c := dial(t, address)
			if _, err := io.WriteString(c, "first"); err != nil {
				t.Fatal(err)
			}
			if !tc.isReset {
				// The end of the peer's side arrives before the next write.
				time.Sleep(50 * time.Millisecond)
			}
			t.Logf("write: %v", writeUntilError(c))
			got, err := io.ReadAll(c)
			if string(got) != "answer" || !errors.Is(err, tc.want) {
				t.Errorf("read %q, %v; want the answer and %v", got, err, tc.want)
			}
		})
	}
}

// The end of the peer's side must be seen while a write waits for a peer that reads nothing.
func TestEndIsSeenDuringWrite(t *testing.T) {
	ended := make(chan struct{})
	address := testkit.StartServer(t, func(c *net.TCPConn) {
		time.Sleep(50 * time.Millisecond)
		_ = c.CloseWrite()
		<-ended
	})
	t.Cleanup(func() { close(ended) })
	c := dial(t, address)
	written := make(chan error, 1)
	go func() {
		for {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				written <- err
				return
			}
		}
	}()
	began := time.Now()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // io.EOF must not be wrapped.
		t.Errorf("read: %v", err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the end was seen after %s", took)
	}
	if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write: %v", err)
	}
}

// failingConn is a connection whose writes fail and whose reads end.
type failingConn struct {
	net.Conn
	err error
}

func (c failingConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.err)}
}
func (failingConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (failingConn) SetWriteDeadline(time.Time) error { return nil }

// Every error with which the kernel ends a connection is a loss, and nothing else.
func TestLosses(t *testing.T) {
	for _, tc := range []struct{ written, want error }{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{syscall.EPIPE, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{net.ErrClosed, io.EOF},
	} {
		c, err := Dialer(func(context.Context, string, string) (net.Conn, error) { return failingConn{err: tc.written}, nil })(t.Context(), "tcp", "")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("x"))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, tc.want) {
			t.Errorf("after %v the reader saw %v, want %v", tc.written, err, tc.want)
		}
	}
}
