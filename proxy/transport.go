package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// newTransport returns the HTTP/1.1 client side. HTTP/1.1 carries one request at
// a time on a connection, so that bytes written tell whether a request was sent.
func newTransport(maxConnections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
		ReadBufferSize:      32 << 10,
	}
}

// countedConn counts the writes that were begun, and can be sealed against
// further ones.
type countedConn struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
}

func (c *countedConn) Write(b []byte) (int, error) {
	// The count is raised before the check of the seal, so that seal either
	// sees the write or stops it.
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// seal closes the connection and tells whether anything was or may yet be
// written since the count was before. After false nothing will be.
func (c *countedConn) seal(before int64) (written bool) {
	c.sealed.Store(true)
	written = c.writes.Load() != before
	c.Close()
	return written
}
