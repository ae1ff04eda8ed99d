package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialTLS returns a dialer that encrypts the connections of another one.
func dialTLS(dial dialFunc, config func() (*tls.Config, error)) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		cfg, err := config()
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &tlsConn{Conn: tls.Client(raw, cfg), raw: raw}
		if err := c.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		return c, nil
	}
}

// tlsConn gives access to the socket of an encrypted connection, so that bytes which arrive
// while it is idle are noticed and it can be reset.
type tlsConn struct {
	*tls.Conn
	raw net.Conn
}

// SyscallConn implements syscall.Conn.
func (c *tlsConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no socket", c.raw)
	}
	return s.SyscallConn()
}

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *tlsConn) SetLinger(sec int) error {
	s, ok := c.raw.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Errorf("%T can't be reset", c.raw)
	}
	return s.SetLinger(sec)
}
