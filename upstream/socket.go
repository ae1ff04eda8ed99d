package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// userTimeoutControl returns a dialer's control function that bounds how long written bytes
// may stay unacknowledged. Without it a write to a host that lost power hangs until the
// caller's deadline.
func userTimeoutControl(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		// Kernels without the option are supported; then the caller's deadline bounds the
		// wait.
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
	}
}

// hasPendingInput reports whether an idle connection was closed by its peer or has
// received unexpected bytes.
func hasPendingInput(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = !isEAGAIN(err)
		return true
	})
	return err != nil || pending
}

func isEAGAIN(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK)
}
