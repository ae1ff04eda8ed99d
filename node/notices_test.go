package node

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/verdict"
)

// stubServices replaces the register and the retry budget of a handler.
type stubServices struct{}

func (stubServices) Service(name string) *register.Service { return &register.Service{Name: name} }
func (stubServices) CountRequest(string, string)           {}
func (stubServices) TakeRetry(string, string) bool         { return true }

// noticeFixture returns a function that sends a request through a handler, and the
// two stand-in instances behind it.
func noticeFixture(t *testing.T) (send func() *httptest.ResponseRecorder, upstreams [2]*standin.Upstream) {
	t.Helper()
	s := newTestSelector(2, 4)
	p := s.pool("s", "")
	addresses := make(map[string]string)
	for k, i := range p.listed {
		u, err := standin.StartUpstream(standin.UpstreamOptions{ID: i.ID})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = u.Close() })
		upstreams[k], addresses[i.ID] = u, u.Address()
	}
	p.setInstances(time.Now(), p.listed, addresses)
	metrics := metric.New()
	t.Cleanup(func() { _ = metrics.Close() })
	h := proxy.New(proxy.Options{Services: stubServices{}, Selector: s, Budget: stubServices{}, Metrics: metrics})
	s.closeIdle = h.Client().CloseIdleTo
	h.SetReady(true)
	go func() {
		for t.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
			p.poll(time.Now(), false)
		}
	}()
	return func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "http://s/page", http.NoBody)
		r.Header.Set(proxy.HeaderService, "s")
		h.ServeHTTP(w, r)
		return w
	}, upstreams
}

// The node must send no requests to an instance that announces that it leaves or asks
// to wait, and must use an instance again after its wait.
func TestNodeHonoursInstanceNotices(t *testing.T) {
	t.Parallel()
	send, u := noticeFixture(t)
	sendAll := func(phase string) {
		t.Helper()
		for n := range 40 {
			if w := send(); w.Code != http.StatusOK {
				t.Fatalf("%s, request %d: %d %s", phase, n, w.Code, w.Body)
			}
		}
	}
	sendAll("before any notice")
	u[0].SetRetryAfter("0.5")
	before := u[0].NumArrivals()
	began := time.Now()
	sendAll("while one instance asked to wait")
	if n := u[0].NumArrivals() - before; n > 1 && time.Since(began) < 500*time.Millisecond {
		t.Errorf("%d requests reached the instance that asked to wait", n)
	}
	u[0].SetRetryAfter("")
	time.Sleep(time.Until(began.Add(600 * time.Millisecond)))
	before = u[0].NumArrivals()
	// It gets requests at the pace of an instance that has just started.
	for end := time.Now().Add(5 * time.Second); u[0].NumArrivals() == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance is not used again after its wait")
		}
		sendAll("after the wait has ended")
	}
	u[1].SetLeaving(true)
	for end := time.Now().Add(10 * time.Second); send().Header().Get(standin.HeaderLeaving) == ""; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance is not used")
		}
	}
	before = u[1].NumArrivals()
	sendAll("while one instance leaves")
	if n := u[1].NumArrivals() - before; n > 0 {
		t.Errorf("%d requests reached the instance that leaves", n)
	}
}

// Callers must not wait until their deadline when no instance accepts requests: the
// refusal comes at once and states when to come back.
func TestNodeRefusalStatesReturnTime(t *testing.T) {
	t.Parallel()
	send, u := noticeFixture(t)
	u[0].SetRetryAfter("5")
	u[1].SetRetryAfter("3")
	send()
	send()
	began := time.Now()
	w := send()
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(verdict.HeaderReason) != string(verdict.ReasonAskedToWait) || time.Since(began) > time.Second {
		t.Errorf("%d %v after %s", w.Code, w.Header(), time.Since(began))
	}
	// Earlier refused callers have the first places; the header has whole seconds.
	if after := w.Header().Get("Retry-After"); after != "3" && after != "4" {
		t.Errorf("Retry-After %q", after)
	}
	if n := u[0].NumArrivals() + u[1].NumArrivals(); n != 2 {
		t.Errorf("%d requests reached the instances", n)
	}
}

// Requests that wait for a slot must not wait until their deadline when the instances
// ask to wait meanwhile.
func TestQueuedRequestsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	s := newTestSelector(1, 1)
	p := s.pool("s", "")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var held []balance.Ticket
	for range 64 {
		short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		ticket, err := p.pick(short, balance.Request{Deadline: time.Now().Add(10 * time.Second)})
		stop()
		if err != nil {
			break
		}
		held = append(held, ticket)
	}
	failed := make(chan error, 1)
	go func() {
		_, err := p.pick(ctx, balance.Request{Deadline: time.Now().Add(10 * time.Second)})
		failed <- err
	}()
	time.Sleep(50 * time.Millisecond)
	p.applyNotice(time.Now(), "i-1", availability.Notice{Wait: 5 * time.Second})
	select {
	case err := <-failed:
		var e *verdict.Error
		if !errors.As(err, &e) || e.Reason != verdict.ReasonAskedToWait || e.RetryAfter < 4*time.Second {
			t.Errorf("%v", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the request still waits for a slot")
	}
	for _, h := range held {
		p.done(h, balance.Answered)
	}
}
