package proxy

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantferry/currantferry/standin"
)

// refusingSelector refuses a number of hedges, as an exhausted budget does.
type refusingSelector struct {
	*fixture
	refusals atomic.Int64
}

type refusingSelection struct {
	Selection
	s *refusingSelector
}

func (s *refusingSelector) Select(ctx context.Context, q *Query) (Selection, error) {
	selection, err := s.fixture.Select(ctx, q)
	return refusingSelection{selection, s}, err
}

func (c refusingSelection) Hedge() (Selection, bool) {
	if c.s.refusals.Add(-1) >= 0 {
		return nil, false
	}
	return c.Selection.Hedge()
}

// A read at a frozen instance must not wait until its deadline because the first
// requests for a hedge were refused.
func TestRefusedHedgeIsRetried(t *testing.T) {
	frozen := startUpstream(t, standin.UpstreamOptions{ID: "frozen", WorkTime: 20 * time.Second})
	fast := startUpstream(t, standin.UpstreamOptions{ID: "fast"})
	f := newFixture(t, frozen.Address(), fast.Address())
	f.hedge = 5 * time.Millisecond
	s := &refusingSelector{fixture: f}
	s.refusals.Store(3)
	f.handler.options.Selector = s
	res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "10000")
	if err != nil || res.Header.Get(standin.HeaderInstance) != "fast" {
		t.Fatalf("answer %v, %v", res, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.outcomes) != 2 {
		t.Fatalf("outcomes %v", f.outcomes)
	}
}
