package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/currantferry/currantferry/standin"
)

// pathSelector chooses the fixture's instances in turn, each with the same path.
type pathSelector struct {
	*fixture
	path context.Context
}

type selectionWithPath struct {
	Selection
	path context.Context
}

func (s selectionWithPath) Path() context.Context { return s.path }

func (s *pathSelector) Select(ctx context.Context, q *Query) (Selection, error) {
	selection, err := s.fixture.Select(ctx, q)
	if err != nil {
		return nil, err
	}
	return selectionWithPath{selection, s.path}, nil
}

// newPathFixture returns a fixture whose VM loses its path when lose is called.
func newPathFixture(t *testing.T, addresses ...string) (f *fixture, lose func()) {
	t.Helper()
	f = newFixture(t, addresses...)
	path, lose := context.WithCancel(t.Context())
	f.handler.options.Selector = &pathSelector{fixture: f, path: path}
	return f, lose
}

// A read that an instance works on must get the instance's answer although this VM believes
// that it reaches no instance, and no retry is allowed. The read was given up, and its caller
// got 502 while the answer was on its way.
func TestBeliefDoesNotEndSentRead(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{ID: "u", WorkTime: 300 * time.Millisecond})
	f, lose := newPathFixture(t, u.Address())
	f.retries = 0
	time.AfterFunc(100*time.Millisecond, lose)
	res, _, err := f.do(t, "GET", "/a", "")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, %v", res, err)
	}
}
