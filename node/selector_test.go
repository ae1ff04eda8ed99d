package node

import (
	"context"
	"testing"
	"time"

	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

// A retry must not go to the instance that has just failed. While the next probe of
// that instance was due, the balancer chose it for every request.
func TestRetryAvoidsTheFailedInstance(t *testing.T) {
	s := newTestSelector(3, 4)
	ctx := context.Background()
	fingerprint := byte(0)
	query := func(exclude ...string) *proxy.Query {
		fingerprint++
		q := testQuery(fingerprint)
		q.Exclude = exclude
		return q
	}
	const failing = "i-1"
	for range 100 {
		selection, err := s.Select(ctx, query())
		if err != nil {
			t.Fatal(err)
		}
		o := proxy.Outcome{Verdict: verdict.Ran}
		if selection.Instance().ID == failing {
			o = proxy.Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed}
		}
		selection.Done(o)
	}
	// The first probe of a suspected instance is due after 150 ms.
	for range 5 {
		time.Sleep(200 * time.Millisecond)
		selection, err := s.Select(ctx, query(failing))
		if err != nil {
			t.Fatal(err)
		}
		if selection.Instance().ID == failing {
			t.Fatal("the retry went to the excluded instance")
		}
		selection.Done(proxy.Outcome{Verdict: verdict.Ran})
	}
}

// A retry must not wait for a place that it holds itself.
func TestOnlyInstanceIsTriedAgain(t *testing.T) {
	s := newTestSelector(1, 1)
	q := testQuery(1)
	q.Exclude = []string{"i-1"}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 3 {
		selection, err := s.Select(ctx, q)
		if err != nil {
			t.Fatal(err)
		}
		selection.Done(proxy.Outcome{Verdict: verdict.Ran})
	}
}

// A retry must not go back to the failed instance because all places of the others
// are taken for a moment.
func TestRetryWaitsForAnotherInstance(t *testing.T) {
	s := newTestSelector(2, 1)
	ctx := context.Background()
	first, err := s.Select(ctx, testQuery(1))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(exchangeTimeout / 5)
		first.Done(proxy.Outcome{Verdict: verdict.Ran})
	}()
	failed := map[string]string{"i-1": "i-2", "i-2": "i-1"}[first.Instance().ID]
	q := testQuery(2)
	q.Exclude = []string{failed}
	second, err := s.Select(ctx, q)
	if err != nil || second.Instance().ID == failed {
		t.Fatalf("selected %v, error %v", second, err)
	}
	second.Done(proxy.Outcome{Verdict: verdict.Ran})
}
