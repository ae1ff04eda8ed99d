package proxy

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Connections of probes to other VMs must be closed once they have been idle for too long.
func TestConnectionsToVMsAreSwept(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var open atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() { _, _ = c.Read(make([]byte, 1)); open.Add(-1); c.Close() }()
		}
	}()
	f := newFixture(t)
	for range 30 {
		if err := f.handler.TransitClient().Open(t.Context(), l.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		f.handler.Sweep()
	}
	if n := open.Load(); n != 0 {
		t.Errorf("%d connections are open 8 s after their last use", n)
	}
}
