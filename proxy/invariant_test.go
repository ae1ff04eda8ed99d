package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/standin"
)

// violations counts the violations of one check until the test ends.
func violations(t *testing.T, name invariant.Name) *int {
	t.Helper()
	count := new(int)
	t.Cleanup(invariant.OnViolation(func(v invariant.Violation) {
		if v.Name == name {
			*count++
		}
	}))
	return count
}

// The check of complete answers must be able to fail. Its trigger is a response that
// ends early without an error, which no transport should return.
func TestShortAnswerTripsTheCheck(t *testing.T) {
	f := newFixture(t)
	count := violations(t, invariant.AnswerWhole)
	w := httptest.NewRecorder()
	x := &exchange{h: f.handler, w: w, r: httptest.NewRequest(http.MethodGet, "/", nil), ctx: context.Background()}
	x.query.Service = &register.Service{Name: "proefbank"}
	a := x.newAttempt(fakeSelection{f, Instance{ID: "i"}})
	a.res = &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: defaultMaxBufferBytes + 1,
		Body: io.NopCloser(strings.NewReader("short")), Request: x.r,
	}
	if err := x.deliver(a); err != nil || *count != 1 {
		t.Fatalf("error %v, %d violations", err, *count)
	}
}

// A stop that times out with a request in flight must violate the check.
func TestStopAtItsBoundTripsTheCheck(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{ID: "u"})
	f := newFixture(t, u.Address())
	count := violations(t, invariant.NothingCutOff)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = f.do(t, "GET", "/slow", "", standin.HeaderWorkMillis, "100")
	}()
	for f.handler.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopCtx, cancel := context.WithCancel(context.Background())
	cancel()
	if left := f.handler.Stop(stopCtx); left != 1 || *count != 1 {
		t.Errorf("%d left, %d violations", left, *count)
	}
	<-ended
}
