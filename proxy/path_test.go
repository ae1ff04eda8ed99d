package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/verdict"
)

// pathSelector chooses the fixture's instances until the path is lost, and other VMs in turn
// from then on. An empty address stands for a VM that is not available.
type pathSelector struct {
	*fixture
	path context.Context
	vms  []string
	// numSelected and numDone count the selections and their ends.
	numSelected, numDone atomic.Int64
}

type selectionWithPath struct {
	Selection
	s    *pathSelector
	done atomic.Bool
}

func (s *selectionWithPath) Path() context.Context { return s.s.path }

func (s *selectionWithPath) MayRunTwice() bool { return true }

func (s *selectionWithPath) Done(o Outcome) {
	if s.done.Swap(true) {
		panic("a selection was ended twice")
	}
	s.s.numDone.Add(1)
	s.Selection.Done(o)
}

// vmSelection is a selection of another VM.
type vmSelection struct{ s *selectionWithPath }

func (v vmSelection) Instance() Instance              { return v.s.Instance() }
func (vmSelection) HedgeAfter() (time.Duration, bool) { return 0, false }
func (vmSelection) Hedge() (Selection, bool)          { return nil, false }
func (v vmSelection) Done(o Outcome)                  { v.s.Done(o) }
func (vmSelection) Key() string                       { return "key" }
func (vmSelection) Leaving() []string                 { return nil }
func (vmSelection) SetAnswer(string, RoutesState)     {}

func (s *pathSelector) Select(ctx context.Context, q *Query) (Selection, error) {
	if s.path.Err() == nil {
		selection, err := s.fixture.Select(ctx, q)
		if err != nil {
			return nil, err
		}
		s.numSelected.Add(1)
		return &selectionWithPath{Selection: selection, s: s}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.vms {
		if s.vms[0] == "" && !q.IsRetry {
			s.vms = s.vms[1:]
		} else if slices.Contains(q.Exclude, "vm-"+s.vms[0]) {
			s.vms = append(s.vms[1:], s.vms[0])
		}
	}
	if len(s.vms) == 0 || s.vms[0] == "" {
		s.vms = s.vms[min(1, len(s.vms)):]
		return nil, verdict.New(verdict.NotRun, verdict.ReasonIsolated, time.Second)
	}
	address := s.vms[0]
	s.vms = append(s.vms[1:], address)
	s.numSelected.Add(1)
	return vmSelection{&selectionWithPath{Selection: fakeSelection{s.fixture, Instance{ID: "vm-" + address, Address: address}}, s: s}}, nil
}

// newPathFixture returns a fixture whose VM loses its path to the instances when lose is called.
func newPathFixture(t *testing.T, addresses ...string) (f *pathSelector, lose func()) {
	t.Helper()
	path, lose := context.WithCancel(t.Context())
	f = &pathSelector{fixture: newFixture(t, addresses...), path: path}
	f.handler.options.Selector = f
	return f, lose
}

// otherVM is another VM in front of instances of its own.
type otherVM struct {
	*fixture
	address string
	// attempts is the number that was allowed to the last request that was passed on.
	attempts atomic.Value
}

func startOtherVM(t *testing.T, addresses ...string) *otherVM {
	t.Helper()
	vm := &otherVM{fixture: newFixture(t, addresses...)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vm.attempts.Store(r.Header.Get(headerTransitAttempts))
		vm.handler.ServeTransit(w, r)
	}))
	t.Cleanup(server.Close)
	vm.address = server.Listener.Addr().String()
	return vm
}

// checkAllEnded waits until no request is in flight, and checks that each selection has ended.
func (s *pathSelector) checkAllEnded(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.handler.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests in flight", s.handler.InFlight())
		}
	}
	if selected, done := s.numSelected.Load(), s.numDone.Load(); selected != done {
		t.Errorf("%d selections, %d of them ended", selected, done)
	}
}

// lossTime is when the tests lose the path: requests have been sent, none is answered.
const lossTime = 100 * time.Millisecond

// A read that an instance works on must get the instance's answer although this VM believes
// that it reaches no instance, and no retry is allowed. The read was given up, and its caller
// got 502 while the answer was on its way.
func TestBeliefDoesNotEndSentRead(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{ID: "u", WorkTime: 300 * time.Millisecond})
	other := startOtherVM(t, startUpstream(t, standin.UpstreamOptions{ID: "other"}).Address())
	for name, prepare := range map[string]func(f *pathSelector){
		"no retry budget":  func(f *pathSelector) { f.retries, f.vms = 0, []string{other.address} },
		"one attempt only": func(f *pathSelector) { f.handler.options.MaxAttempts, f.vms = 1, []string{other.address} },
		"no other VM":      func(*pathSelector) {},
	} {
		t.Run(name, func(t *testing.T) {
			f, lose := newPathFixture(t, u.Address())
			prepare(f)
			time.AfterFunc(lossTime, lose)
			res, _, err := f.do(t, "GET", "/a", "")
			if err != nil || res.StatusCode != http.StatusOK || res.Header.Get(standin.HeaderInstance) != "u" {
				t.Fatalf("answer %v, %v", res, err)
			}
			f.checkAllEnded(t)
		})
	}
}

// A read whose instance can't be reached any more must be served through another VM soon after
// this VM has lost its path, also if none or no retry budget is available at once. It must not be allowed more
// attempts than it has left, and an order must not run a second time.
func TestLostPathAddsAttemptThroughAnotherVM(t *testing.T) {
	frozen := startUpstream(t, standin.UpstreamOptions{ID: "frozen", WorkTime: 20 * time.Second})
	other := startOtherVM(t, startUpstream(t, standin.UpstreamOptions{ID: "other"}).Address())
	for name, vms := range map[string][]string{
		"at once": {other.address}, "later": {"", "", "", "", other.address}, "after one that refuses connections": {closedPort(t), other.address},
	} {
		t.Run(name, func(t *testing.T) {
			f, lose := newPathFixture(t, frozen.Address())
			f.retries, f.vms = 1, vms
			time.AfterFunc(lossTime, lose)
			res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "5000")
			if err != nil || res.StatusCode != http.StatusOK || res.Header.Get(standin.HeaderInstance) != "other" {
				t.Fatalf("answer %v, %v", res, err)
			}
			if got := other.attempts.Load(); got != fmt.Sprint(defaultMaxAttempts-1) {
				t.Errorf("%v attempts were allowed to the other VM", got)
			}
			f.checkAllEnded(t)
			if f.retries != 0 {
				t.Errorf("%d of 1 retries left", f.retries)
			}
		})
	}
	t.Run("once the budget has filled", func(t *testing.T) {
		f, lose := newPathFixture(t, frozen.Address())
		f.retries, f.vms = 0, []string{other.address}
		time.AfterFunc(lossTime, lose)
		time.AfterFunc(3*lossTime, func() { f.mu.Lock(); defer f.mu.Unlock(); f.retries = 1 })
		res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "5000")
		if err != nil || res.StatusCode != http.StatusOK || res.Header.Get(standin.HeaderInstance) != "other" {
			t.Fatalf("answer %v, %v", res, err)
		}
		f.checkAllEnded(t)
	})
	f, lose := newPathFixture(t, frozen.Address())
	f.vms = []string{other.address}
	time.AfterFunc(lossTime, lose)
	res, _, err := f.do(t, "POST", "/order", "x", HeaderTimeout, "500")
	if err != nil {
		t.Fatal(err)
	}
	wantVerdict(t, res, verdict.MayHaveRun, verdict.ReasonDeadline)
	f.checkAllEnded(t)
	if n := f.numSelected.Load(); n != 1 {
		t.Errorf("the order was sent %d times", n)
	}
}

// startLosingVM starts a server that closes the connection of each request after a delay, as a
// VM or an instance does that is killed. The request may have run.
func startLosingVM(t *testing.T, delay time.Duration) string {
	t.Helper()
	address, _ := rawUpstream(t, func(int) (string, bool) { time.Sleep(delay); return "", false })
	return address
}

// An attempt through another VM that fails or is refused must not end the one at the instance,
// nor may the instance's failure end that through the other VM.
func TestFailedAttemptLeavesTheOther(t *testing.T) {
	slow := startUpstream(t, standin.UpstreamOptions{ID: "slow", WorkTime: 600 * time.Millisecond}).Address()
	empty := startOtherVM(t)
	full := startOtherVM(t, slow)
	full.handler.options.Selector = fullSelector{full.fixture}
	for name, c := range map[string]struct{ instance, vm string }{
		"the other VM refuses for good": {slow, empty.address},
		"the other VM is at its limit":  {slow, full.address},
		"the other VM is killed":        {slow, startLosingVM(t, 50*time.Millisecond)},
		"the other VM does not listen":  {slow, closedPort(t)},
		"the instance crashes":          {startLosingVM(t, 300*time.Millisecond), startOtherVM(t, slow).address},
	} {
		t.Run(name, func(t *testing.T) {
			f, lose := newPathFixture(t, c.instance)
			f.vms = []string{c.vm}
			time.AfterFunc(lossTime, lose)
			res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "3000")
			if err != nil || res.StatusCode != http.StatusOK || res.Header.Get(standin.HeaderInstance) != "slow" {
				t.Fatalf("answer %v, %v", res, err)
			}
			f.checkAllEnded(t)
		})
	}
}

// The verdict must say that a request may have run if any of its attempts may have, whichever
// ended last.
func TestVerdictCoversBothAttempts(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nCurrantferry-Verdict: not-run\r\nCurrantferry-Reason: shed\r\n\r\n"
	refusing, _ := rawUpstream(t, func(int) (string, bool) { time.Sleep(300 * time.Millisecond); return refusal, true })
	for name, c := range map[string]struct{ instance, vm string }{
		"the other VM is killed first": {refusing, startLosingVM(t, 50*time.Millisecond)},
		"the instance crashes first":   {startLosingVM(t, 200*time.Millisecond), startOtherVM(t, refusing).address},
	} {
		t.Run(name, func(t *testing.T) {
			f, lose := newPathFixture(t, c.instance)
			f.handler.options.MaxAttempts, f.vms = 2, []string{c.vm}
			time.AfterFunc(lossTime, lose)
			res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "3000")
			if err != nil {
				t.Fatal(err)
			}
			if got := res.Header.Get(verdict.HeaderVerdict); got != verdict.MayHaveRun.String() {
				t.Errorf("status %d, verdict %q, reason %q", res.StatusCode, got, res.Header.Get(verdict.HeaderReason))
			}
			f.checkAllEnded(t)
			if n := f.numSelected.Load(); n != 2 {
				t.Errorf("%d attempts, 2 wanted", n)
			}
		})
	}
}

// A caller that leaves must end both attempts.
func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	frozen := startUpstream(t, standin.UpstreamOptions{ID: "frozen", WorkTime: 20 * time.Second}).Address()
	other := startOtherVM(t, frozen)
	f, lose := newPathFixture(t, frozen)
	f.vms = []string{other.address}
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(c, "GET /a HTTP/1.1\r\nHost: proefbank.example\r\n\r\n")
	time.AfterFunc(lossTime, lose)
	for end := time.Now().Add(10 * time.Second); other.handler.InFlight() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no attempt through the other VM")
		}
	}
	c.Close()
	f.checkAllEnded(t)
	for end := time.Now().Add(10 * time.Second); other.handler.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the other VM still works for a caller that left")
		}
	}
}

// Each selection must be ended once and each caller get an answer, whatever the order in which
// the path is lost, attempts end and other VMs are found. It is meant for the race detector.
func TestPathIsLostAtAnyTime(t *testing.T) {
	for round := range 12 {
		u := startUpstream(t, standin.UpstreamOptions{ID: "u", WorkTime: 30 * time.Millisecond, Slots: 100})
		other := startOtherVM(t, startUpstream(t, standin.UpstreamOptions{ID: "other", WorkTime: 20 * time.Millisecond, Slots: 100}).Address())
		f, lose := newPathFixture(t, u.Address(), startLosingVM(t, 25*time.Millisecond), u.Address())
		f.retries, f.vms = 1000, []string{"", other.address, "", other.address, closedPort(t), other.address}
		if round%2 == 1 {
			f.hedge = 10 * time.Millisecond
		}
		var group sync.WaitGroup
		for range 24 {
			group.Go(func() {
				time.Sleep(rand.N(20 * time.Millisecond))
				res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "5000")
				if err != nil || res.StatusCode != http.StatusOK {
					t.Errorf("answer %v, %v", res, err)
				}
			})
		}
		time.Sleep(rand.N(40 * time.Millisecond))
		lose()
		group.Wait()
		f.checkAllEnded(t)
	}
}
