package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/verdict"
)

// newTestSelector returns a selector with a number of instances of the service "shop".
func newTestSelector(t *testing.T, instances int) *selector {
	t.Helper()
	metrics := metric.New()
	t.Cleanup(func() { _ = metrics.Close() })
	s := newSelector(placement.Config{VM: "vm-1", Region: "styria"}, slog.New(slog.DiscardHandler), metrics.Scope())
	s.probe = newCrashProbe(func(context.Context, string) error { return nil }, s.onConnRefused)
	var list []placement.Instance
	for n := range instances {
		id := fmt.Sprint("i-", n)
		list = append(list, placement.Instance{ID: id, Service: "shop", Region: "styria", Address: id + ":1", Slots: 4, StartMillis: 1})
	}
	s.setInstances(time.Now(), list)
	return s
}

func orderQuery() *proxy.Query {
	return &proxy.Query{
		Service: &register.Service{Name: "shop"}, Fingerprint: [32]byte{1}, Deadline: time.Now().Add(time.Second), Target: time.Second,
	}
}

// choose selects an instance for a request.
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

// answerElsewhere lets another instance than that of c accept a connection and answer
// another request, which shows that this VM still reaches instances.
func answerElsewhere(t *testing.T, s *selector, c *selection) {
	t.Helper()
	time.Sleep(minEvidenceDelay)
	q := orderQuery()
	q.Fingerprint, q.Exclude = [32]byte{2}, []string{c.Instance().ID}
	other := choose(t, s, q)
	s.onConnected(time.Now(), time.Now(), other.Instance().Address)
	other.Done(proxy.Outcome{Verdict: verdict.Ran, Status: http.StatusOK})
}

// Lost connections must not count as crashes if this VM turns out to reach no instance, and
// must count if another instance answers.
func TestLossesOfAnIsolatedVMAreNoCrashes(t *testing.T) {
	t.Parallel()
	for _, isolated := range []bool{true, false} {
		s := newTestSelector(t, 8)
		for range crashguard.DefaultLedgerMaxCrashes {
			c := choose(t, s, orderQuery())
			c.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
			s.onConnRefused(crashguard.Process{ID: c.Instance().ID, StartMillis: 1}, c.Instance().Address)
			if isolated {
				s.forgiveFailures(time.Now())
			}
			answerElsewhere(t, s, c)
		}
		if _, err := s.Select(t.Context(), orderQuery()); (err == nil) != isolated {
			t.Errorf("isolated %t: %v", isolated, err)
		}
	}
}

// A request that crashes instances must not be cleared by a server error: another instance
// may have failed it before running it.
func TestFailureAnswersClearNoCrashes(t *testing.T) {
	t.Parallel()
	for status, cleared := range map[int]bool{200: true, 404: true, 500: false, 503: false} {
		s := newTestSelector(t, 8)
		for range crashguard.DefaultLedgerMaxCrashes - 1 {
			c := choose(t, s, orderQuery())
			c.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
			s.onConnRefused(crashguard.Process{ID: c.Instance().ID, StartMillis: 1}, c.Instance().Address)
			answerElsewhere(t, s, c)
		}
		choose(t, s, orderQuery()).Done(proxy.Outcome{Verdict: verdict.Ran, Status: status})
		c := choose(t, s, orderQuery())
		c.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
		s.onConnRefused(crashguard.Process{ID: c.Instance().ID, StartMillis: 1}, c.Instance().Address)
		answerElsewhere(t, s, c)
		if _, err := s.Select(t.Context(), orderQuery()); (err == nil) != cleared {
			t.Errorf("after an answer of %d: %v", status, err)
		}
	}
}

// Signs of life from before a loss must not let it count as a crash, nor must answers over
// open connections prove that an instance refused a new one.
func TestEarlierExchangesConfirmNoCrash(t *testing.T) {
	t.Parallel()
	for name, confirm := range map[string]func(s *selector, early, late *selection, began time.Time){
		"answer to an earlier request": func(_ *selector, early, _ *selection, _ time.Time) {
			early.Done(proxy.Outcome{Verdict: verdict.Ran, Status: http.StatusOK})
		},
		"connection begun earlier": func(s *selector, early, _ *selection, began time.Time) {
			s.onConnected(time.Now(), began, early.Instance().Address)
		},
		"answer over an open connection": func(_ *selector, _, late *selection, _ time.Time) {
			late.Done(proxy.Outcome{Verdict: verdict.Ran, Status: http.StatusOK})
		},
		"connection after a failed round": func(s *selector, early, _ *selection, _ time.Time) {
			s.dropEvidence()
			s.onConnected(time.Now(), time.Now(), early.Instance().Address)
		},
	} {
		s := newTestSelector(t, 8)
		for range crashguard.DefaultLedgerMaxCrashes {
			began := time.Now()
			c := choose(t, s, orderQuery())
			other := orderQuery()
			other.Fingerprint, other.Exclude = [32]byte{2}, []string{c.Instance().ID}
			early := choose(t, s, other)
			c.Done(proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
			s.onConnRefused(crashguard.Process{ID: c.Instance().ID, StartMillis: 1}, c.Instance().Address)
			time.Sleep(2 * minEvidenceDelay)
			confirm(s, early, choose(t, s, other), began)
		}
		if _, err := s.Select(t.Context(), orderQuery()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
