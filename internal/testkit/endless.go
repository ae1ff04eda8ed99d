package testkit

import (
	"context"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// MaxEndlessBytes is when an endless answer ends by itself.
const MaxEndlessBytes = 64 << 20

// Endless is a server at a loopback address that sends bytes without end on each of its
// connections, whatever it is asked.
type Endless struct {
	listener net.Listener
	bytes    atomic.Int64
}

// StartEndless starts a server that waits for the first bytes on a connection, writes a
// beginning and then repeats a part until the connection is closed or MaxEndlessBytes were
// written.
func StartEndless(t *testing.T, beginning, part string) *Endless {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Endless{listener: l}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { e.serve(c, beginning, part) })
		}
	})
	t.Cleanup(func() { l.Close(); group.Wait() })
	return e
}

func (e *Endless) serve(c net.Conn, beginning, part string) {
	defer c.Close()
	// A reader that never closes must fail the test, not block it.
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	block := []byte(strings.Repeat(part, max(1, 16<<10/len(part))))
	n, err := io.WriteString(c, beginning)
	for sent := n; err == nil && sent < MaxEndlessBytes; sent += n {
		e.bytes.Add(int64(n))
		n, err = c.Write(block)
	}
	e.bytes.Add(int64(n))
}

// Address returns the address of the server.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Bytes returns how many bytes were written to all connections.
func (e *Endless) Bytes() int64 { return e.bytes.Load() }

// EndlessHeads are answers whose head never ends, as beginning and repeated part.
var EndlessHeads = map[string][2]string{
	"no answer":       {"", "z"},
	"one field":       {"HTTP/1.1 200 OK\r\nLong: ", "x"},
	"fields":          {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
	"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
}

// WatchHeap samples the size of the heap until the returned function is called, which returns
// the maximum growth in bytes.
func WatchHeap() (growth func() int64) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	// Garbage that is not collected yet must not count.
	percent := debug.SetGCPercent(10)
	for range 3 {
		// What pools keep is freed by the second collection.
		runtime.GC()
	}
	before, peak := heap(), int64(0)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			peak = max(peak, heap())
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	return func() int64 {
		close(done)
		group.Wait()
		debug.SetGCPercent(percent)
		return max(peak, heap()) - before
	}
}

// CheckEndless runs a call against a server for each form of an endless answer, as beginning
// and repeated part. The heap must not grow by more than maxGrowth, and the call must end by its
// deadline. The call's error is only logged: an answer may be whole before the endless part.
func CheckEndless(t *testing.T, forms map[string][2]string, maxGrowth int64, deadline time.Duration, call func(ctx context.Context, address string) error) {
	t.Helper()
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			e := StartEndless(t, form[0], form[1])
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			growth := WatchHeap()
			began := time.Now()
			err := call(ctx, e.Address())
			// The slack is for a machine that is busy.
			if took := time.Since(began); took > deadline+3*time.Second {
				t.Errorf("the call ended after %s", took)
			}
			peak := growth()
			t.Logf("%v; heap +%d KB, %d KB sent", err, peak>>10, e.Bytes()>>10)
			if peak > maxGrowth {
				t.Errorf("the heap grew by %d KB", peak>>10)
			}
		})
	}
}
