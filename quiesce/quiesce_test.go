package quiesce_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantferry/currantferry/quiesce"
)

// pipes is a listener that accepts pipes.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) { return <-p, nil }
func (p pipes) Close() error              { return nil }
func (p pipes) Addr() net.Addr            { return nil }

// dial connects a caller to l. The server reads what it sends until it closes.
func dial(t *testing.T, p pipes, l *quiesce.Listener) net.Conn {
	near, far := net.Pipe()
	go func() { p <- far }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, c); c.Close() }()
	return near
}

func trickle(callers []net.Conn) {
	for err := error(nil); err == nil; time.Sleep(time.Second / 2) {
		_, err = callers[0].Write([]byte("x"))
	}
}

// A stop must wait for callers that sent something within the quiet time, but neither for others
// nor when all have gone, and never longer than its bound. Unused connections must be closed.
func TestAwaitQuiet(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(callers []net.Conn)
		want time.Duration
	}{
		"quiet":   {func([]net.Conn) {}, quiesce.QuietTime},
		"gone":    {func(c []net.Conn) { time.Sleep(time.Second / 2); c[0].Close(); c[1].Close() }, time.Second / 2},
		"one":     {func(c []net.Conn) { time.Sleep(time.Second / 2); c[0].Close(); _, _ = c[1].Write([]byte("x")) }, time.Second/2 + quiesce.QuietTime},
		"trickle": {trickle, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := make(pipes)
				l := quiesce.New(p)
				callers := []net.Conn{dial(t, p, l), dial(t, p, l)}
				unused := dial(t, p, l)
				if name == "gone" {
					unused.Close()
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				started := time.Now()
				l.Close()
				var group sync.WaitGroup
				defer group.Wait()
				group.Go(func() { c.act(callers) })
				l.AwaitQuiet(ctx)
				if took := time.Since(started); took != c.want {
					t.Errorf("waited %s, want %s", took, c.want)
				}
				if _, err := unused.Read(make([]byte, 1)); err == nil {
					t.Error("the unused connection is open")
				}
				callers[0].Close()
				callers[1].Close()
			})
		})
	}
}

// An answer that begins during the stop must close its connection, also if its request came
// before: otherwise the caller's next request meets a closed connection.
func TestLateAnswersCloseTheirConnections(t *testing.T) {
	isLeaving := false
	handler := quiesce.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isLeaving = r.URL.Path == "/late"
		w.WriteHeader(http.StatusOK)
		if err := http.NewResponseController(w).Flush(); err != nil {
			t.Error(err)
		}
	}), func() bool { return isLeaving })
	for path, want := range map[string]string{"/early": "", "/late": "close"} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if got := w.Header().Get("Connection"); got != want {
			t.Errorf("%s: Connection %q, want %q", path, got, want)
		}
	}
}

// A connection that is accepted after no other was left must not end the process when it closes.
func TestConnectionAfterTheLast(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := quiesce.New(raw)
	defer l.Close()
	l.AwaitQuiet(t.Context())
	caller, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}
