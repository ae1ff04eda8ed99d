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

// An answer that ends early or stalls must not cost the read the answer of the other attempt,
// which was cancelled as soon as the header of the bad answer had arrived. Another VM passes small
// answers on whole only.
func TestBadAnswerLeavesTheOtherAttempt(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab"
	ended, _ := rawUpstream(t, func(int) (string, bool) { return begun, false })
	stalled, _ := rawUpstream(t, func(int) (string, bool) { return begun, true })
	slow := startUpstream(t, standin.UpstreamOptions{ID: "slow", WorkTime: 400 * time.Millisecond}).Address()
	for name, c := range map[string]struct {
		addresses []string
		vm        string
	}{
		"hedge ends early":      {[]string{slow, ended}, ""},
		"hedge stalls":          {[]string{slow, stalled}, ""},
		"other VM's ends early": {[]string{slow}, startOtherVM(t, ended).address},
		"other VM's stalls":     {[]string{slow}, startOtherVM(t, stalled).address},
	} {
		t.Run(name, func(t *testing.T) {
			f, lose := newPathFixture(t, c.addresses...)
			f.retries = 0
			if c.vm == "" {
				f.hedge = 50 * time.Millisecond
			} else {
				f.retries, f.vms = 1, []string{c.vm}
				time.AfterFunc(lossTime, lose)
			}
			res, _, err := f.do(t, "GET", "/a", "", HeaderTimeout, "3000")
			if err != nil || res.StatusCode != 200 || res.Header.Get(standin.HeaderInstance) != "slow" {
				t.Fatalf("answer %v, %v", res, err)
			}
			f.checkAllEnded(t)
		})
	}
}
