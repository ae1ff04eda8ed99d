package callerguard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/invariant"
)

const testPort = "caller"

// fixture is a protected server whose sweeps have the test's clock.
type fixture struct {
	t       *testing.T
	guard   *Guard
	address string
	logs    *testkit.Buffer
	now     time.Time
	// release lets the handler of /wait go on.
	release chan struct{}
	// numHeld is the number of requests for /wait whose handlers run.
	numHeld atomic.Int64
}

func newFixture(t *testing.T, l Limits) *fixture {
	t.Helper()
	restore := invariant.OnViolation(func(v invariant.Violation) { t.Error(v) })
	f := &fixture{t: t, logs: new(testkit.Buffer), now: time.Now(), release: make(chan struct{})}
	f.guard = New(Options{Limits: l, Ports: []string{testPort}, Log: slog.New(slog.NewTextHandler(f.logs, nil))})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/ignore":
		case "/wait":
			f.numHeld.Add(1)
			<-f.release
		case "/large":
			_, _ = io.WriteString(w, strings.Repeat("x", 64<<20))
		default:
			n, _ := io.Copy(io.Discard, r.Body)
			fmt.Fprintf(w, "%d", n)
		}
	})}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = raw.Addr().String()
	l2 := f.guard.Protect(testPort, server, raw)
	go func() { _ = server.Serve(l2) }()
	t.Cleanup(func() {
		server.Close()
		f.await("all bytes released", func() bool { return f.guard.Budget().Used() == 0 })
		restore()
	})
	return f
}

func (f *fixture) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func (f *fixture) dial() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return c
}

func (f *fixture) send(c net.Conn, text string) {
	f.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		f.t.Fatal(err)
	}
}

// sweep lets seconds pass.
func (f *fixture) sweep(seconds int) {
	for range 4 * seconds {
		f.now = f.now.Add(SweepInterval)
		f.guard.Sweep(f.now)
	}
}

func (f *fixture) count(reason string) int64 {
	return f.guard.ports[testPort].counts[reason].Load()
}

// numWaiting returns the connections that wait for their callers.
func (f *fixture) numWaiting() int {
	p := f.guard.ports[testPort]
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := 0
	for c := range p.conns {
		if c.isWaiting() {
			waiting++
		}
	}
	return waiting
}

// awaitStandstill waits until the buffers of the connections are full.
func (f *fixture) awaitStandstill() {
	f.t.Helper()
	last := int64(-1)
	f.await("no more bytes move", func() bool {
		time.Sleep(100 * time.Millisecond)
		before := last
		last = 0
		p := f.guard.ports[testPort]
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.conns {
			last += c.moved()
		}
		return last == before
	})
}

func status(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

var usual = Limits{HeadFields: 100, Grace: 8 * time.Second, MinRate: 1024, Connections: map[string]int{testPort: 100}}

// Callers that stop in a head, a body or an answer, or in a body that nobody reads, must be
// closed after the grace period and not before, with one event for all of them.
func TestStalledCallersAreClosed(t *testing.T) {
	for name, sent := range map[string]string{
		"head":             "GET / HTTP/1.1\r\nHost: a\r\n",
		"body":             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nabc",
		"chunked body":     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"body that nobody": "POST /ignore HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nabc",
		"answer":           "GET /large HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, usual)
			for range 5 {
				f.send(f.dial(), sent)
			}
			f.await("the VM waits for the callers", func() bool { return f.numWaiting() == 5 })
			f.awaitStandstill()
			f.sweep(7)
			if n := f.count(reasonSlow); n != 0 {
				t.Errorf("%d closed within the grace period", n)
			}
			f.sweep(10)
			if n := f.count(reasonSlow); n != 5 {
				t.Errorf("%d closed after it, want 5", n)
			}
			f.sweep(11)
			if text := f.logs.String(); strings.Count(text, "event=2390") != 1 || strings.Count(text, "event=2391") != 1 {
				t.Errorf("want one event for the crowd and one for its end:\n%s", text)
			}
		})
	}
}

// Idle callers and callers whose request is being handled must not be closed for lack of
// progress: it isn't theirs.
func TestPatientCallersStay(t *testing.T) {
	f := newFixture(t, usual)
	idle, waiting := f.dial(), f.dial()
	f.send(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	idleReader := bufio.NewReader(idle)
	if s := status(t, idleReader); s != http.StatusOK {
		t.Fatal(s)
	}
	f.send(waiting, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	f.await("the request is handled and neither waits for its caller", func() bool { return f.numHeld.Load() == 1 && f.numWaiting() == 0 })
	f.sweep(60)
	close(f.release)
	if s := status(t, bufio.NewReader(waiting)); s != http.StatusOK {
		t.Error(s)
	}
	f.send(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if s := status(t, idleReader); s != http.StatusOK {
		t.Error(s)
	}
}

// Only fields of heads count: a body with many lines, and fields of several requests on one
// connection, in any pieces, must not be refused. More fields than the limit are.
func TestFields(t *testing.T) {
	head := func(fields int) string {
		return "POST / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("f: x\r\n", fields-2) + "Content-Length: 2000\r\n\r\n"
	}
	lines := strings.Repeat("\n", 2000)
	for name, c := range map[string]struct {
		text    string
		answers []int
	}{
		"at the limit":         {head(100) + lines, []int{200}},
		"keep-alive":           {strings.Repeat(head(100)+lines, 5), []int{200, 200, 200, 200, 200}},
		"above the limit":      {head(101) + lines, []int{431}},
		"above it in the 2nd":  {head(3) + lines + head(2000) + lines, []int{200, 431}},
		"without an end":       {"GET / HTTP/1.1\r\n" + strings.Repeat("f: x\r\n", 5000), []int{431}},
		"bare ends of lines":   {strings.ReplaceAll(head(101), "\r", ""), []int{431}},
		"many short pipelined": {strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 50), []int{200, 200, 200}},
	} {
		for _, piece := range []int{1, 7, 1000, 1 << 20} {
			f := newFixture(t, usual)
			conn := f.dial()
			go func() {
				for text := c.text; text != ""; {
					n := min(piece, len(text))
					if _, err := io.WriteString(conn, text[:n]); err != nil {
						return
					}
					text = text[n:]
				}
			}()
			r := bufio.NewReader(conn)
			for n, want := range c.answers {
				if got := status(t, r); got != want {
					t.Errorf("%s in pieces of %d: answer %d is %d, want %d", name, piece, n, got, want)
				}
			}
		}
	}
}

// At the bound on connections, one that stalls must be closed in favour of a new caller, and
// one whose request is being handled must not.
func TestNewCallersFindRoom(t *testing.T) {
	l := usual
	l.Connections = map[string]int{testPort: 3}
	f := newFixture(t, l)
	running := f.dial()
	f.send(running, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	f.await("the request is handled", func() bool { return f.guard.Budget().Used() > activeBytes && f.numWaiting() == 0 })
	f.send(f.dial(), "GET / HTTP/1.1\r\n")
	f.dial()
	f.await("three connections", func() bool {
		p := f.guard.ports[testPort]
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.conns) == 3
	})
	time.Sleep(2 * minIdle)
	for range 2 {
		c := f.dial()
		f.send(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if s := status(t, bufio.NewReader(c)); s != http.StatusOK {
			t.Errorf("a new caller got %d", s)
		}
	}
	close(f.release)
	if s := status(t, bufio.NewReader(running)); s != http.StatusOK {
		t.Errorf("the request that was being handled got %d", s)
	}
}

// A caller with many pipelined requests must not keep its place at a port that is full: its
// connection ends after some of them, with whole answers. Elsewhere all are answered.
func TestPipelinedCallersLeaveAFullPort(t *testing.T) {
	const requests = 200
	for _, c := range []struct{ bound, least, most int }{{2, 1, requests - 1}, {3, requests, requests}} {
		l := usual
		l.Connections = map[string]int{testPort: c.bound}
		f := newFixture(t, l)
		other := f.dial()
		f.send(other, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if s := status(t, bufio.NewReader(other)); s != http.StatusOK {
			t.Fatal(s)
		}
		conn := f.dial()
		f.send(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", requests))
		r := bufio.NewReader(conn)
		answered := 0
		for ; answered < requests; answered++ {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, res.Body)
			if res.Close {
				answered++
				break
			}
		}
		if answered < c.least || answered > c.most {
			t.Errorf("bound %d: %d of %d requests answered, want %d to %d", c.bound, answered, requests, c.least, c.most)
		}
	}
}

// When the memory is nearly used up, the connections that hold it without progress must be
// closed, and a later caller must find room.
func TestMemoryIsTakenFromStalledCallers(t *testing.T) {
	l := usual
	l.MemoryBytes = 20 * (idleBytes + activeBytes + 4096)
	f := newFixture(t, l)
	numReset := 0
	for range 30 {
		c, err := net.Dial("tcp", f.address)
		if errors.Is(err, syscall.ECONNRESET) {
			// The guard refused the connection before the call returned.
			numReset++
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nabc")
	}
	time.Sleep(2 * minIdle)
	for range 5 {
		c := f.dial()
		f.send(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if s := status(t, bufio.NewReader(c)); s != http.StatusOK {
			t.Errorf("a later caller got %d", s)
		}
	}
	if f.count(reasonMemory) == 0 || int(f.count(reasonMemory)) < numReset || f.guard.Budget().Used() > l.MemoryBytes {
		t.Errorf("%d closed, %d of %d bytes used", f.count(reasonMemory), f.guard.Budget().Used(), l.MemoryBytes)
	}
}

// A connection that another server reads must not be refused for what looks like a head with
// too many fields, and must still be closed when its caller does not read.
func TestHandOver(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	g := New(Options{Limits: usual, Ports: []string{testPort}})
	l := g.Protect(testPort, &http.Server{Handler: http.NotFoundHandler()}, raw)
	caller, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	m := HandOver(c)
	if m == nil || !m.Reserve(100) {
		t.Fatal("no memory")
	}
	lines := strings.Repeat("\n", 5000)
	go func() { _, _ = io.WriteString(caller, lines) }()
	if _, err := io.ReadFull(c, make([]byte, len(lines))); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	now := time.Now()
	for end := now.Add(10 * time.Second); time.Now().Before(end); now = now.Add(SweepInterval) {
		g.Sweep(now)
		select {
		case err := <-written:
			if err == nil {
				t.Error("written to a caller that does not read")
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Error("the caller was not closed")
}

// BenchmarkRequest compares requests on one connection through a protected server with an
// unprotected one.
func BenchmarkRequest(b *testing.B) {
	for _, protected := range []bool{false, true} {
		b.Run(fmt.Sprintf("protected=%t", protected), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := l.Addr().String()
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			if protected {
				limits := usual
				limits.MemoryBytes = 1 << 30
				l = New(Options{Limits: limits, Ports: []string{testPort}}).Protect(testPort, server, l)
			}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			buffer := make([]byte, 4096)
			for b.Loop() {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Currantferry-Request-Id: 1\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkGuard is the cost of the guard for one request without the network: its head is
// counted and reserved, and released when the connection is idle again.
func BenchmarkGuard(b *testing.B) {
	limits := usual
	limits.MemoryBytes = 1 << 30
	g := New(Options{Limits: limits, Ports: []string{testPort}})
	client, server := net.Pipe()
	defer client.Close()
	c := g.ports[testPort].admit(server)
	defer c.Close()
	head := []byte("GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Currantferry-Request-Id: 1234567890abcdef\r\nX-Currantferry-Deadline-Ms: 1500\r\nUser-Agent: x\r\nAccept-Encoding: gzip\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		c.begin()
		if err := c.addHead(head); err != nil {
			b.Fatal(err)
		}
		c.phase.Store(phaseHandler)
		c.setIdle()
	}
}
