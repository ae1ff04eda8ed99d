package entry

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/verdict"
)

// testSelector knows a number of instances of the service "shop".
func testSelector(t *testing.T, instances int) *selector {
	t.Helper()
	metrics := metric.New()
	t.Cleanup(func() { _ = metrics.Close() })
	s := newSelector(placement.Config{VM: "vm-1", Region: "styria"}, slog.New(slog.DiscardHandler), metrics.Scope())
	s.probe = newDeathProbe(func(context.Context, string) error { return nil }, s.refusedConnection)
	var list []placement.Instance
	for n := range instances {
		id := fmt.Sprint("i-", n)
		list = append(list, placement.Instance{ID: id, Service: "shop", Region: "styria", Address: id + ":1", Slots: 4, Born: 1})
	}
	s.setInstances(time.Now(), list)
	return s
}

func orderQuery() *proxy.Query {
	return &proxy.Query{
		Service: &register.Service{Name: "shop"}, Fingerprint: [32]byte{1}, Deadline: time.Now().Add(time.Second), Target: time.Second,
	}
}

// choose selects an instance for a request that is sent once.
func choose(t *testing.T, s *selector, q *proxy.Query) *selection {
	t.Helper()
	chosen, err := s.Select(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	c, ok := chosen.(*selection)
	if !ok {
		t.Fatalf("%T", chosen)
	}
	return c
}

// Guards against a request that crashes instances and is forgiven because another
// instance failed it before it began to run it.
func TestFailureAnswersClearNoDeaths(t *testing.T) {
	t.Parallel()
	for status, cleared := range map[int]bool{200: true, 404: true, 500: false, 503: false} {
		s := testSelector(t, 8)
		for range crashguard.DefaultLedgerDeaths - 1 {
			c := choose(t, s, orderQuery())
			c.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
			s.refusedConnection(crashguard.Process{ID: c.Instance().ID, Born: 1})
		}
		choose(t, s, orderQuery()).Done(proxy.Outcome{Verdict: verdict.Ran, Status: status})
		c := choose(t, s, orderQuery())
		c.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
		s.refusedConnection(crashguard.Process{ID: c.Instance().ID, Born: 1})
		if _, err := s.Select(t.Context(), orderQuery()); (err == nil) != cleared {
			t.Errorf("after an answer of %d: %v", status, err)
		}
	}
}
