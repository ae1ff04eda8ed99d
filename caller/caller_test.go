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

// fleet is a set of fake entry VMs; vm-1 has the highest priority.
type fleet struct {
	vms     []*fakeVM
	lookups atomic.Int64
}

type fakeVM struct {
	server *httptest.Server
	// frozen VMs answer nothing until thaw is closed.
	frozen atomic.Bool
	thaw   chan struct{}
	serve  http.HandlerFunc
	asked  atomic.Int64
}

func newFleet(t *testing.T, handlers ...http.HandlerFunc) (*fleet, *Client) {
	t.Helper()
	f := new(fleet)
	var bootstrap []string
	for _, h := range handlers {
		vm := &fakeVM{serve: h, thaw: make(chan struct{})}
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
		vm.asked.Add(1)
	}
	if vm.frozen.Load() {
		select {
		case <-vm.thaw:
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

func answers(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func refuses(v verdict.Verdict, reason verdict.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		verdict.New(v, reason, 0).WriteHeaders(w.Header(), "fake")
		w.WriteHeader(reason.Status())
	}
}

func cutsOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var (
	read   = Request{Service: "s", Method: http.MethodGet, Path: "/", Idempotent: true}
	order  = Request{Service: "s", Method: http.MethodPost, Path: "/", Body: []byte("order"), Key: "key"}
	upload = Request{Service: "s", Method: http.MethodPost, Path: "/", Body: []byte("photo")}
)

func do(t *testing.T, c *Client, r Request) *Answer {
	t.Helper()
	a, err := c.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against requests that wait for their whole deadline at a frozen VM, and
// against later ones that are sent there first.
func TestFrozenVMIsPassedOver(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answers("one"), answers("two"))
	do(t, c, read)
	f.vms[0].frozen.Store(true)
	for _, r := range []Request{read, order} {
		if a := do(t, c, r); string(a.Body) != "two" {
			t.Fatalf("answer %q", a.Body)
		}
	}
	if a := do(t, c, read); a.Sends != 1 {
		t.Fatalf("a later request was sent %d times", a.Sends)
	}
	close(f.vms[0].thaw)
	f.vms[0].frozen.Store(false)
	for deadline := time.Now().Add(10 * time.Second); string(do(t, c, read).Body) != "one"; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the VM is not used again after it answers")
		}
	}
}

// Guards against the loss of the answer of a VM that was granted the key, froze
// and came back.
func TestThawedVMAnswersItsOrder(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answers("one"), refuses(verdict.MayHaveRun, verdict.ReasonKeyInProgress))
	do(t, c, read)
	f.vms[0].frozen.Store(true)
	go func() {
		for f.vms[1].asked.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(f.vms[0].thaw)
	}()
	if a := do(t, c, order); string(a.Body) != "one" || a.Status != http.StatusOK {
		t.Fatalf("status %d, answer %q", a.Status, a.Body)
	}
}

// Guards against a second send of a request that may run twice by it.
func TestUnkeyedRequestIsNotSentAgain(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answers("one"), answers("two"))
	do(t, c, read)
	f.vms[0].frozen.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*(patience+probeTimeout))
	defer cancel()
	if _, err := c.Do(ctx, upload); err == nil || f.vms[1].asked.Load() != 0 {
		t.Fatalf("error %v, the other VM was asked %d times", err, f.vms[1].asked.Load())
	}
}

// Guards against more load on slow upstreams: a VM that answers probes is not
// passed over.
func TestSlowUpstreamIsWaitedFor(t *testing.T) {
	t.Parallel()
	_, c := newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * patience)
		_, _ = io.WriteString(w, "one")
	}, answers("two"))
	if a := do(t, c, read); a.Sends != 1 || string(a.Body) != "one" {
		t.Fatalf("%d sends, answer %q", a.Sends, a.Body)
	}
}

// Guards against a "not run" of a VM that knows nothing of an earlier send.
func TestVerdictCoversAllSends(t *testing.T) {
	t.Parallel()
	_, c := newFleet(t, cutsOff, refuses(verdict.NotRun, verdict.ReasonKeyUnavailable))
	if v, reason, refused := do(t, c, order).Refusal(); !refused || v != verdict.MayHaveRun {
		t.Fatalf("refused %t, %s, %s", refused, v, reason)
	}
	_, c = newFleet(t, refuses(verdict.NotRun, verdict.ReasonStopping), refuses(verdict.NotRun, verdict.ReasonKeyUnavailable))
	if v, _, _ := do(t, c, order).Refusal(); v != verdict.NotRun {
		t.Fatalf("verdict %s after two refusals as not run", v)
	}
}

// Guards against an order that ends as "may have run" because the VM that refused
// it has not given its key back yet, and against a resend of an order whose send
// before was lost.
func TestKeyOnItsWayBackIsWaitedFor(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	inProgressOnce := func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			refuses(verdict.MayHaveRun, verdict.ReasonKeyInProgress)(w, r)
			return
		}
		_, _ = io.WriteString(w, "two")
	}
	busy := refuses(verdict.NotRun, verdict.ReasonRegionLimit)
	_, c := newFleet(t, busy, inProgressOnce)
	if a := do(t, c, order); string(a.Body) != "two" {
		t.Fatalf("status %d, answer %q", a.Status, a.Body)
	}
	asked.Store(0)
	f, c := newFleet(t, cutsOff, inProgressOnce)
	if v, _, refused := do(t, c, order).Refusal(); !refused || v != verdict.MayHaveRun || f.vms[1].asked.Load() != 1 {
		t.Fatalf("refused %t, %s, after %d sends to the second VM", refused, v, f.vms[1].asked.Load())
	}
}

// Guards against traffic that leaves a VM because one answer was cut.
func TestCutAnswerMovesNoTraffic(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, answers("two"))
	for range 3 {
		do(t, c, read)
	}
	if n := f.vms[0].asked.Load(); n != 3 {
		t.Fatalf("the VM was asked %d times of 3", n)
	}
}

// Guards against an answer that is cut at the limit and looks whole.
func TestLongAnswerIsAnError(t *testing.T) {
	t.Parallel()
	_, c := newFleet(t, answers("eleven byte"))
	c.maxAnswer = 10
	if a, err := c.Do(context.Background(), upload); err == nil {
		t.Fatalf("answer %q", a.Body)
	}
}

// Guards against a lookup for each request that waits.
func TestRequestsShareALookup(t *testing.T) {
	t.Parallel()
	f, c := newFleet(t, answers("one"))
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { do(t, c, read) })
	}
	group.Wait()
	if n := f.lookups.Load(); n != 1 {
		t.Fatalf("%d lookups", n)
	}
}
