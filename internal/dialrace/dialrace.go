// Package dialrace opens connections over links that may delay or lose the first packets: if an
// attempt is late, another one begins beside it, and the first to connect wins.
package dialrace

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// maxAttempts bounds the attempts for one connection.
const maxAttempts = 4

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type result struct {
	conn net.Conn
	err  error
}

// New returns a DialFunc that begins an attempt with dial after each delay, until one connects,
// one fails, or all together have taken timeout.
func New(dial DialFunc, delay func() time.Duration, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		results := make(chan result, maxAttempts)
		var group conc.WaitGroup
		begin := func() {
			group.Go(func() {
				conn, err := dial(ctx, network, address)
				results <- result{conn, err}
			})
		}
		timer := time.NewTimer(delay())
		defer timer.Stop()
		begin()
		begun := 1
		for {
			select {
			case r := <-results:
				cancel()
				group.Wait()
				for range begun - 1 {
					if other := <-results; other.conn != nil {
						_ = other.conn.Close()
					}
				}
				return r.conn, r.err
			case <-timer.C:
				if begun < maxAttempts {
					begin()
					begun++
					timer.Reset(delay())
				}
			}
		}
	}
}
