package dialrace

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// A connection must open although the first packets are lost, and a refusal must end the wait. Connections that
// open too late must be closed.
func TestLateAttemptsAreOvertaken(t *testing.T) {
	const delay = 20 * time.Millisecond
	for name, c := range map[string]struct {
		lost    int64
		refused bool
		want    bool
	}{
		"none lost": {0, false, true}, "one lost": {1, false, true}, "three lost": {3, false, true}, "all lost": {maxAttempts, false, false}, "refused": {0, true, false},
	} {
		var begun, open atomic.Int64
		dial := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
			if begun.Add(1) <= c.lost {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if c.refused {
				return nil, errors.New("refused")
			}
			open.Add(1)
			local, _ := net.Pipe()
			return countedConn{local, &open}, nil
		}, func() time.Duration { return delay }, 20*delay)
		conn, err := dial(t.Context(), "tcp", "")
		if (err == nil) != c.want {
			t.Errorf("%s: %v", name, err)
		}
		if conn != nil {
			conn.Close()
		}
		if begun.Load() > maxAttempts || open.Load() != 0 {
			t.Errorf("%s: %d attempts, %d connections left open", name, begun.Load(), open.Load())
		}
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
}

func (c countedConn) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}
