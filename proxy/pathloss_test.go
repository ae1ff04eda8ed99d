package proxy

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/standin"
)

// flapSelector is a selector whose path is lost and restored.
type flapSelector struct {
	*pathSelector
	mu   sync.Mutex
	path context.Context
}

type flapSelection struct {
	Selection
	s *flapSelector
}

func (s flapSelection) Path() context.Context {
	s.s.mu.Lock()
	defer s.s.mu.Unlock()
	return s.s.path
}

func (s flapSelection) MayRunTwice() bool { return true }

func (s *flapSelector) Select(ctx context.Context, q *Query) (Selection, error) {
	s.mu.Lock()
	path := s.path
	s.mu.Unlock()
	if path.Err() == nil {
		selection, err := s.fixture.Select(ctx, q)
		if err != nil {
			return nil, err
		}
		return flapSelection{selection, s}, nil
	}
	return s.pathSelector.Select(ctx, q)
}

func newFlap(t *testing.T, addresses ...string) (f *flapSelector, lose, restore func()) {
	p, lost := newPathFixture(t, addresses...)
	lost()
	f = &flapSelector{pathSelector: p}
	var cancel context.CancelFunc
	restore = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.path, cancel = context.WithCancel(t.Context())
	}
	restore()
	lose = func() { f.mu.Lock(); defer f.mu.Unlock(); cancel() }
	f.handler.options.Selector = f
	return f, lose, restore
}

// A short loss of the path, during which no other VM takes the read, must not take its hedge away.
func TestHedgeAfterShortLossOfPath(t *testing.T) {
	frozen := startUpstream(t, standin.UpstreamOptions{ID: "frozen", WorkTime: 20 * time.Second})
	fast := startUpstream(t, standin.UpstreamOptions{ID: "fast"})
	f, lose, restore := newFlap(t, frozen.Address(), fast.Address())
	f.hedge = 300 * time.Millisecond
	time.AfterFunc(100*time.Millisecond, lose)
	time.AfterFunc(200*time.Millisecond, restore)
	res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "3000")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, %v", res, err)
	}
}

// A read must be sent through another VM if the path is lost again after it was restored.
func TestPathLostAgainAddsAttempt(t *testing.T) {
	frozen := startUpstream(t, standin.UpstreamOptions{ID: "frozen", WorkTime: 20 * time.Second})
	other := startOtherVM(t, startUpstream(t, standin.UpstreamOptions{ID: "other"}).Address())
	f, lose, restore := newFlap(t, frozen.Address())
	time.AfterFunc(100*time.Millisecond, lose)
	time.AfterFunc(200*time.Millisecond, restore)
	time.AfterFunc(500*time.Millisecond, func() {
		f.fixture.mu.Lock()
		f.vms = []string{other.address}
		f.fixture.mu.Unlock()
		lose()
	})
	res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "3000")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, %v", res, err)
	}
}

// A read whose attempt through another VM was lost must be passed on again once there is budget.
func TestLostPassedOnReadWaitsForBudget(t *testing.T) {
	frozen := startUpstream(t, standin.UpstreamOptions{ID: "frozen", WorkTime: 20 * time.Second})
	other := startOtherVM(t, startUpstream(t, standin.UpstreamOptions{ID: "other"}).Address())
	f, lose := newPathFixture(t, frozen.Address())
	f.retries, f.vms = 1, []string{startLosingVM(t, 50*time.Millisecond), other.address}
	time.AfterFunc(lossTime, lose)
	time.AfterFunc(3*lossTime, func() { f.mu.Lock(); defer f.mu.Unlock(); f.retries = 5 })
	res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "3000")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, %v", res, err)
	}
}

// A panic while an attempt is sent must end its request, as it does for orders.
func TestPanicEndsRead(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{ID: "u"})
	f, _ := newPathFixture(t, u.Address())
	f.handler.options.Selector = sendPanics{f}
	for _, method := range []string{"POST", "GET"} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, method, f.server.URL+"/a", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "proefbank.example"
		if res, err := http.DefaultTransport.RoundTrip(req); err == nil {
			res.Body.Close()
		}
		for end := time.Now().Add(10 * time.Second); f.handler.InFlight() > 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: still in flight", method)
			}
		}
	}
}

// sendPanics selects instances whose attempts panic when they are sent.
type sendPanics struct{ *pathSelector }

type sendPanicsSelection struct{ *selectionWithPath }

func (s sendPanics) Select(ctx context.Context, q *Query) (Selection, error) {
	selection, err := s.pathSelector.Select(ctx, q)
	if err != nil {
		return nil, err
	}
	return &sendPanicsSelection{selection.(*selectionWithPath)}, nil
}

func (s *sendPanicsSelection) ReceiveNotice(availability.Notice) {}

func (s *sendPanicsSelection) CanSend() bool { panic("fault") }
