package callerconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

// awaitTimeout is when a test gives up. It is no target.
const awaitTimeout = 15 * time.Second

// stage is a handler whose requests wait until the test lets them go on.
type stage struct {
	t       *testing.T
	started chan string

	mu      sync.Mutex
	gates   map[string]chan struct{}
	ended   map[string]error
	answers func(w http.ResponseWriter, r *http.Request)
}

func newStage(t *testing.T) *stage {
	return &stage{t: t, started: make(chan string, 1000), gates: make(map[string]chan struct{}), ended: make(map[string]error)}
}

func (s *stage) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *stage) release(path string) { close(s.gate(path)) }

func (s *stage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.started <- r.URL.Path
	gate := s.gate(r.URL.Path)
	select {
	case <-gate:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.ended[r.URL.Path] = r.Context().Err()
	s.mu.Unlock()
	if s.answers != nil {
		s.answers(w, r)
		return
	}
	fmt.Fprint(w, r.URL.Path)
}

// expectStarted fails unless exactly these requests were started, in any order.
func (s *stage) expectStarted(paths ...string) {
	s.t.Helper()
	want := make(map[string]bool)
	for _, p := range paths {
		want[p] = true
	}
	for range paths {
		select {
		case p := <-s.started:
			if !want[p] {
				s.t.Fatalf("%s was started, want one of %v", p, paths)
			}
			delete(want, p)
		case <-time.After(awaitTimeout):
			s.t.Fatalf("not started: %v", want)
		}
	}
	s.expectNoneStarted()
}

func (s *stage) expectNoneStarted() {
	s.t.Helper()
	select {
	case p := <-s.started:
		s.t.Fatalf("%s was started", p)
	case <-time.After(50 * time.Millisecond):
	}
}

// awaitEnd waits until a request has ended and returns the error of its context.
func (s *stage) awaitEnd(path string) (err error) {
	s.t.Helper()
	await(s.t, "end of "+path, func() (ok bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		err, ok = s.ended[path]
		return ok
	})
	return err
}

func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %s", what, awaitTimeout)
		}
	}
}

// expectAnswers reads answers and compares their bodies.
func expectAnswers(t *testing.T, r *bufio.Reader, bodies ...string) (last *http.Response) {
	t.Helper()
	for _, want := range bodies {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %s: %v", want, err)
		}
		b, err := io.ReadAll(res.Body)
		res.Body.Close()
		if string(b) != want || err != nil {
			t.Fatalf("answer %.100q, %v, want %.100q", b, err, want)
		}
		last = res
	}
	return last
}

func expectEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if b, err := io.ReadAll(r); len(b) > 0 || err != nil {
		t.Fatalf("%.100q, %v where the connection should end", b, err)
	}
}

func send(t *testing.T, c io.Writer, text ...string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.Join(text, "")); err != nil {
		t.Fatal(err)
	}
}

// Idempotent requests must not wait for the answers before them, and the answers must be
// sent in the order of the requests, as soon as it is their turn.
func TestPipelinedReadsRunTogether(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	c := dial(t, listen(t, newSubject(s)))
	r := bufio.NewReader(c)
	send(t, c, get("/a"), get("/b"), get("/c"))
	s.expectStarted("/a", "/b", "/c")
	s.release("/c")
	s.awaitEnd("/c")
	s.release("/a")
	expectAnswers(t, r, "/a")
	s.release("/b")
	expectAnswers(t, r, "/b", "/c")
	send(t, c, get("/d"))
	s.expectStarted("/d")
	s.release("/d")
	expectAnswers(t, r, "/d")
}

// A request that isn't idempotent must run alone: callers repeat all requests behind an
// answer that closes the connection.
func TestOrdersRunAlone(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	c := dial(t, listen(t, newSubject(s)))
	r := bufio.NewReader(c)
	send(t, c, get("/a"), get("/b"), post("/order", strings.Repeat("x", 10000)), get("/c"), get("/d"), post("/order2", "y"))
	s.expectStarted("/a", "/b")
	s.release("/b")
	s.awaitEnd("/b")
	s.expectNoneStarted()
	s.release("/a")
	expectAnswers(t, r, "/a", "/b")
	s.expectStarted("/order")
	s.release("/order")
	expectAnswers(t, r, "/order")
	s.expectStarted("/c", "/d")
	s.release("/c")
	s.release("/d")
	s.release("/order2")
	expectAnswers(t, r, "/c", "/d", "/order2")
	s.expectStarted("/order2")
	// Without a body, the next head can be read at once.
	send(t, c, post("/order3", ""), get("/e"))
	s.expectStarted("/order3")
	s.release("/order3")
	expectAnswers(t, r, "/order3")
	s.expectStarted("/e")
	s.release("/e")
	expectAnswers(t, r, "/e")
}

// One connection must not have more requests in flight than the setting allows.
func TestPipelineIsBounded(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	server := newSubject(s)
	server.MaxPipelined = 3
	c := dial(t, listen(t, server))
	r := bufio.NewReader(c)
	var all []string
	for n := range 200 {
		path := "/" + strconv.Itoa(n)
		all = append(all, path)
		send(t, c, get(path))
	}
	s.expectStarted("/0", "/1", "/2")
	s.release("/2")
	s.awaitEnd("/2")
	s.expectNoneStarted()
	for _, path := range all {
		if path != "/2" {
			s.release(path)
		}
	}
	expectAnswers(t, r, all...)
}

// A caller that leaves must end all its requests, also while one is held back, and what was
// held back must not run.
func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn){
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		for held, input := range map[string]string{"none held": "", "order held": post("/order", "x"), "half a head": "GET /x HT"} {
			t.Run(name+", "+held, func(t *testing.T) {
				t.Parallel()
				s := newStage(t)
				server := newSubject(s)
				c := dial(t, listen(t, server))
				send(t, c, get("/a"), get("/b"), input)
				s.expectStarted("/a", "/b")
				leave(c)
				for _, path := range []string{"/a", "/b"} {
					if err := s.awaitEnd(path); err == nil {
						t.Errorf("%s was not cancelled", path)
					}
				}
				s.expectNoneStarted()
				ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
				defer cancel()
				if err := server.Shutdown(ctx); err != nil {
					t.Errorf("the connection has not ended: %v", err)
				}
			})
		}
	}
}

// Behind an answer that closes the connection, requests must be cancelled and none may be
// started; the answers before it must arrive whole although the caller has sent more.
func TestNothingRunsBehindAClosingAnswer(t *testing.T) {
	t.Parallel()
	for name, closes := range map[string]func(w http.ResponseWriter){
		"header": func(w http.ResponseWriter) { w.Header().Set("Connection", "close") },
		"abort":  func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"late abort": func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("begun"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t)
			s.answers = func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/b" {
					closes(w)
				}
				fmt.Fprint(w, r.URL.Path)
			}
			c := dial(t, listen(t, newSubject(s)))
			r := bufio.NewReader(c)
			send(t, c, get("/a"), get("/b"), get("/c"), post("/order", strings.Repeat("x", 100<<10)))
			s.expectStarted("/a", "/b", "/c")
			s.release("/b")
			if err := s.awaitEnd("/c"); err == nil {
				t.Error("/c was not cancelled")
			}
			s.expectNoneStarted()
			s.release("/a")
			expectAnswers(t, r, "/a")
			if name == "header" {
				if res := expectAnswers(t, r, "/b"); !res.Close {
					t.Error("the last answer doesn't say that the connection closes")
				}
			}
			expectEnd(t, r)
		})
	}
}

// A closing answer must end the connection although a request behind it waits for its body.
func TestClosingAnswerDoesNotWaitForABody(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	s.answers = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/b" {
			_, _ = io.ReadAll(r.Body)
			return
		}
		w.Header().Set("Connection", "close")
	}
	c := dial(t, listen(t, newSubject(s)))
	send(t, c, get("/a"), "GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
	s.expectStarted("/a", "/b")
	s.release("/b")
	s.awaitEnd("/b")
	s.release("/a")
	r := bufio.NewReader(c)
	expectAnswers(t, r, "")
	expectEnd(t, r)
}

// At a stop, each request that was started must be answered, the last answer must say that
// the connection closes, and idle connections must be closed.
func TestShutdownAnswersWhatWasStarted(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	server := newSubject(s)
	address := listen(t, server)
	c, idle, half := dial(t, address), dial(t, address), dial(t, address)
	r := bufio.NewReader(c)
	send(t, half, "GET /half HT")
	send(t, c, get("/a"), get("/b"), post("/order", "x"), get("/c"))
	s.expectStarted("/a", "/b")
	done := make(chan error, 1)
	go func() { done <- server.Shutdown(t.Context()) }()
	expectEnd(t, bufio.NewReader(idle))
	expectEnd(t, bufio.NewReader(half))
	s.release("/b")
	s.awaitEnd("/b")
	s.release("/a")
	expectAnswers(t, r, "/a")
	if res := expectAnswers(t, r, "/b"); !res.Close {
		t.Error("the last answer doesn't say that the connection closes")
	}
	expectEnd(t, r)
	if err := <-done; err != nil {
		t.Error(err)
	}
	s.expectNoneStarted()
}

// While the server finishes connections, each request that has arrived must be answered, those
// that were not started one after the other, and the last answer of each connection must have
// "Connection: close", also on connections that were idle.
func TestFinishedConnectionsAnswerWhatHasArrived(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	server := newSubject(s)
	address := listen(t, server)
	c, idle := dial(t, address), dial(t, address)
	r := bufio.NewReader(c)
	send(t, c, get("/a"), get("/b"))
	s.expectStarted("/a", "/b")
	server.FinishConnections()
	send(t, c, get("/c"), post("/order", "x"), get("/d"))
	s.expectNoneStarted()
	s.release("/a")
	s.release("/b")
	expectAnswers(t, r, "/a")
	for _, next := range []string{"/c", "/order", "/d"} {
		s.expectStarted(next)
		s.release(next)
	}
	if res := expectAnswers(t, r, "/b", "/c", "/order"); res.Close {
		t.Error("the connection closes before a request that has arrived")
	}
	if res := expectAnswers(t, r, "/d"); !res.Close {
		t.Error("the connection doesn't close")
	}
	expectEnd(t, r)
	s.release("/e")
	send(t, idle, get("/e"))
	r = bufio.NewReader(idle)
	if res := expectAnswers(t, r, "/e"); !res.Close {
		t.Error("the connection doesn't close")
	}
	expectEnd(t, r)
}

// Under load, a stop must lose no request: each that was started is answered, in order.
func TestShutdownUnderLoadLosesNothing(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(testkit.Seed(t, 1), 0))
	for range testkit.Rounds(t, 5) {
		var started atomic.Int64
		server := newSubject(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			started.Add(1)
			n, _ := strconv.Atoi(r.URL.Path[1:])
			time.Sleep(time.Duration(n%7) * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
			if n%5 == 0 {
				_, _ = w.Write(make([]byte, 10000))
				return
			}
			fmt.Fprint(w, n)
		}))
		address := listen(t, server)
		var answered atomic.Int64
		var group sync.WaitGroup
		for k := range 20 {
			c := dial(t, address)
			go func() {
				for n := range 10000 {
					text := get("/" + strconv.Itoa(n))
					if (n+k)%11 == 0 {
						text = post("/"+strconv.Itoa(n), "body")
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
			group.Go(func() {
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					res, err := http.ReadResponse(r, nil)
					if err != nil {
						return
					}
					b, err := io.ReadAll(res.Body)
					res.Body.Close()
					if want := strconv.Itoa(n); err != nil || (n%5 == 0 && len(b) != 10000) || (n%5 != 0 && string(b) != want) {
						t.Errorf("answer %d: %d bytes, %v", n, len(b), err)
						return
					}
					answered.Add(1)
				}
			})
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if err := server.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		group.Wait()
		if answered.Load() != started.Load() {
			t.Errorf("%d requests were started, %d answered", started.Load(), answered.Load())
		}
	}
}
