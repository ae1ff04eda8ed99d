package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantferry/currantferry/lookup"
	"github.com/currantferry/currantferry/verdict"
)

// fleet is a set of fake entry VMs; the first one has the highest priority.
type fleet struct {
	vms     []*fakeVM
	lookups atomic.Int64
}

type fakeVM struct {
	server *httptest.Server
	// A frozen VM answers nothing until unfreeze is closed.
	frozen      atomic.Bool
	unfreeze    chan struct{}
	serve       http.HandlerFunc
	numRequests atomic.Int64
}

func newFleet(t *testing.T, handlers ...http.HandlerFunc) (*fleet, *Client) {
	t.Helper()
	f := new(fleet)
	var bootstrap []string
	for _, h := range handlers {
		vm := &fakeVM{serve: h, unfreeze: make(chan struct{})}
		vm.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handle(vm, w, r) }))
		f.vms = append(f.vms, vm)
		bootstrap = append(bootstrap, vm.address())
	}
	c := New(Options{Bootstrap: bootstrap, Timeout: 20 * time.Second})
	t.Cleanup(func() {
		c.Close()
		for _, vm := range f.vms {
			vm.server.CloseClientConnections()
			vm.server.Close()
		}
	})
	return f, c
}

func (vm *fakeVM) address() string { return strings.TrimPrefix(vm.server.URL, "http://") }

func (f *fleet) handle(vm *fakeVM, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path != lookup.Path {
		vm.numRequests.Add(1)
	}
	if vm.frozen.Load() {
		select {
		case <-vm.unfreeze:
		case <-r.Context().Done():
			return
		}
	}
	if r.URL.Path != lookup.Path {
		vm.serve(w, r)
		return
	}
	f.lookups.Add(1)
	answer := lookup.Response{TTLMillis: 60_000}
	for i, other := range f.vms {
		answer.VMs = append(answer.VMs, lookup.ResponseVM{ID: "vm", Address: other.address(), Priority: uint8(i), Weight: 1})
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func refuseWith(v verdict.Verdict, reason verdict.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		verdict.New(v, reason, 0).WriteHeaders(w.Header(), "fake")
		w.WriteHeader(reason.Status())
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var (
	idempotentRequest = Request{Service: "s", Method: http.MethodGet, Path: "/", Idempotent: true}
	keyedRequest      = Request{Service: "s", Method: http.MethodPost, Path: "/", Body: []byte("order"), Key: "key"}
	unkeyedRequest    = Request{Service: "s", Method: http.MethodPost, Path: "/", Body: []byte("photo")}
)

func do(t *testing.T, c *Client, r Request) *Answer {
	t.Helper()
	a, err := c.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A request must not wait for its whole deadline at a frozen VM, and later requests
// must not be sent there first.
func TestFrozenVMIsAvoided(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answerWith("one"), answerWith("two"))
	do(t, c, idempotentRequest)
	f.vms[0].frozen.Store(true)
	for _, r := range []Request{idempotentRequest, keyedRequest} {
		if a := do(t, c, r); string(a.Body) != "two" {
			t.Fatalf("answer %q", a.Body)
		}
	}
	if a := do(t, c, idempotentRequest); a.Sends != 1 {
		t.Fatalf("a later request was sent %d times", a.Sends)
	}
	close(f.vms[0].unfreeze)
	f.vms[0].frozen.Store(false)
	for deadline := time.Now().Add(10 * time.Second); string(do(t, c, idempotentRequest).Body) != "one"; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the VM is not used again after it answers")
		}
	}
}

// The answer of a VM must not be lost if the VM acquired the key, froze, and resumed
// after the request was hedged.
func TestResumedVMAnswersKeyedRequest(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answerWith("one"), refuseWith(verdict.MayHaveRun, verdict.ReasonKeyInProgress))
	do(t, c, idempotentRequest)
	f.vms[0].frozen.Store(true)
	go func() {
		for f.vms[1].numRequests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(f.vms[0].unfreeze)
	}()
	if a := do(t, c, keyedRequest); string(a.Body) != "one" || a.Status != http.StatusOK {
		t.Fatalf("status %d, answer %q", a.Status, a.Body)
	}
}

// A request must not be sent again if it could then run twice.
func TestUnkeyedRequestIsNotSentAgain(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answerWith("one"), answerWith("two"))
	do(t, c, idempotentRequest)
	f.vms[0].frozen.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*(noAnswerTimeout+probeTimeout))
	defer cancel()
	if _, err := c.Do(ctx, unkeyedRequest); err == nil || f.vms[1].numRequests.Load() != 0 {
		t.Fatalf("error %v, the other VM received %d requests", err, f.vms[1].numRequests.Load())
	}
}

// A VM that answers probes must not be hedged, because that would add load to slow
// upstreams.
func TestSlowUpstreamIsNotHedged(t *testing.T) {
	t.Parallel()
	_, c := newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * noAnswerTimeout)
		_, _ = io.WriteString(w, "one")
	}, answerWith("two"))
	if a := do(t, c, idempotentRequest); a.Sends != 1 || string(a.Body) != "one" {
		t.Fatalf("%d sends, answer %q", a.Sends, a.Body)
	}
}

// A VM that refuses a resend as "not run" doesn't know the outcome of an earlier send.
// Its verdict must not be reported as that of the whole request.
func TestVerdictCoversAllSends(t *testing.T) {
	t.Parallel()
	_, c := newFleet(t, abortConnection, refuseWith(verdict.NotRun, verdict.ReasonKeyUnavailable))
	if v, reason, refused := do(t, c, keyedRequest).Refusal(); !refused || v != verdict.MayHaveRun {
		t.Fatalf("refused %t, %s, %s", refused, v, reason)
	}
	_, c = newFleet(t, refuseWith(verdict.NotRun, verdict.ReasonStopping), refuseWith(verdict.NotRun, verdict.ReasonKeyUnavailable))
	if v, _, _ := do(t, c, keyedRequest).Refusal(); v != verdict.NotRun {
		t.Fatalf("verdict %s after two refusals as not run", v)
	}
}

// A request must not end as "may have run" because the VM that refused it hasn't
// released its key yet. It must not be sent again if the outcome of an earlier send is
// unknown.
func TestResendWaitsForKeyRelease(t *testing.T) {
	t.Parallel()
	var numRequests atomic.Int64
	inProgressOnce := func(w http.ResponseWriter, r *http.Request) {
		if numRequests.Add(1) == 1 {
			refuseWith(verdict.MayHaveRun, verdict.ReasonKeyInProgress)(w, r)
			return
		}
		_, _ = io.WriteString(w, "two")
	}
	busy := refuseWith(verdict.NotRun, verdict.ReasonRegionLimit)
	_, c := newFleet(t, busy, inProgressOnce)
	if a := do(t, c, keyedRequest); string(a.Body) != "two" {
		t.Fatalf("status %d, answer %q", a.Status, a.Body)
	}
	numRequests.Store(0)
	f, c := newFleet(t, abortConnection, inProgressOnce)
	if v, _, refused := do(t, c, keyedRequest).Refusal(); !refused || v != verdict.MayHaveRun || f.vms[1].numRequests.Load() != 1 {
		t.Fatalf("refused %t, %s, after %d sends to the second VM", refused, v, f.vms[1].numRequests.Load())
	}
}

// A truncated answer must not make the client stop using a VM.
func TestTruncatedAnswerMovesNoTraffic(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, answerWith("two"))
	for range 3 {
		do(t, c, idempotentRequest)
	}
	if n := f.vms[0].numRequests.Load(); n != 3 {
		t.Fatalf("the VM received %d requests of 3", n)
	}
}

// An answer that is truncated at the size limit must not look complete.
func TestLongAnswerIsAnError(t *testing.T) {
	t.Parallel()
	_, c := newFleet(t, answerWith("eleven byte"))
	c.maxAnswerBytes = 10
	if a, err := c.Do(context.Background(), unkeyedRequest); err == nil {
		t.Fatalf("answer %q", a.Body)
	}
}

// Concurrent requests must not cause a lookup each.
func TestRequestsShareALookup(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answerWith("one"))
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { do(t, c, idempotentRequest) })
	}
	group.Wait()
	if n := f.lookups.Load(); n != 1 {
		t.Fatalf("%d lookups", n)
	}
}
