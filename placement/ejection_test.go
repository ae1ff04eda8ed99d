package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// trialOutcomes are the ways in which a trial request can end without an answer that shows
// that the instance works.
var trialOutcomes = map[string]Outcome{
	"connect failed":  {Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed},
	"connection lost": {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost},
	"truncated":       {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonTruncated},
	"mismatch":        {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerMismatch},
	"deadline":        {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline},
	"caller gone":     {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCallerGone, Cancelled: true},
	"withdrawn":       {Verdict: verdict.NotRun, Reason: verdict.ReasonWithdrawn, Cancelled: true},
	"bad request":     {Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest},
	"error answered":  {Verdict: verdict.Ran, Failed: true},
}

// awaitOrder opens the trial connections that are due and picks an instance for an order every
// 100 ms, until there is one.
func awaitOrder(t *testing.T, p *Picker, from time.Time) (Ticket, time.Time) {
	t.Helper()
	end := from.Add(maxEjection + time.Second)
	for now := from; now.Before(end); now = now.Add(tickInterval) {
		for _, c := range p.TrialConnections(now) {
			p.EndTrialConnection(now, &c, ConnectionOpened)
		}
		if ticket, e := p.Pick(now, &Request{Service: "shop", Target: time.Second, Deadline: now.Add(time.Second)}); e == nil {
			return ticket, now
		}
	}
	t.Fatalf("no order is sent to the ejected instance within %s", end.Sub(from))
	return Ticket{}, time.Time{}
}

// An ejected instance must be tried again however its trial request ended. The end of a trial
// by a single lost connection, by an answered error or by a caller that left used to go
// unnoticed, and the instance never got another request.
func TestTrialsGoOnHoweverTheyEnd(t *testing.T) {
	for name, outcome := range trialOutcomes {
		t.Run(name, func(t *testing.T) {
			p := newShopPicker("vm-1", 1, "a")
			now := at(0)
			p.services["shop"].instances["a-0"].eject(now, false)
			for range 6 {
				var ticket Ticket
				ticket, now = awaitOrder(t, p, now)
				now = now.Add(50 * time.Millisecond)
				p.Done(now, &ticket, outcome)
			}
		})
	}
}

// Requests that were under way together and fail together must eject an instance once. Each
// pair of them used to double the time until its trial.
func TestFailuresOfOneMomentEjectOnce(t *testing.T) {
	for name, reason := range map[string]verdict.Reason{"connect failed": verdict.ReasonConnectFailed, "connection lost": verdict.ReasonConnectionLost} {
		t.Run(name, func(t *testing.T) {
			p := newShopPicker("vm-1", 1, "a")
			var tickets []Ticket
			for range 12 {
				ticket, e := p.Pick(at(0), &Request{Service: "shop", Idempotent: true, Target: time.Minute, Deadline: at(60)})
				if e != nil {
					t.Fatal(e)
				}
				tickets = append(tickets, ticket)
			}
			for k := range tickets {
				p.Done(at(1+float64(k)/1000), &tickets[k], Outcome{Verdict: verdict.MayHaveRun, Reason: reason})
			}
			if i := p.services["shop"].instances["a-0"]; i.ejection != minEjection {
				t.Errorf("ejected for %s", i.ejection)
			}
		})
	}
}

// An instance at whose address another one answered must get work again if it answers there
// itself, also if it gets only orders: an order that reaches another instance is not run.
func TestReplacedInstanceReturnsWithOrders(t *testing.T) {
	p := newShopPicker("vm-1", 1, "a")
	ticket, _ := awaitOrder(t, p, at(0))
	p.Done(at(1), &ticket, Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonMisdirected})
	ticket, tried := awaitOrder(t, p, at(1))
	p.Done(tried, &ticket, Outcome{Verdict: verdict.Ran, Latency: time.Millisecond})
	if _, e := p.Pick(tried, &Request{Service: "shop", Target: time.Second, Deadline: tried.Add(time.Second)}); e != nil {
		t.Errorf("refused after the instance has answered: %v", e.Err)
	}
	if len(p.services["shop"].eligible(&Request{}, "a")) != 1 {
		t.Error("the instance still counts as replaced after it has answered")
	}
}

// A caller that is refused because all instances are ejected must be told to come back when the
// first of them has been tried: not before, and not long after.
func TestRefusalNamesTheNextTrial(t *testing.T) {
	p := newShopPicker("vm-1", 3, "a")
	for n, after := range []float64{0, 0, 0, 1} {
		i := p.services["shop"].instances[fmt.Sprint("a-", n%3)]
		i.eject(at(after), true)
	}
	order := func(seconds float64, exclude ...string) time.Duration {
		t.Helper()
		_, e := p.Pick(at(seconds), &Request{Service: "shop", Target: time.Second, Deadline: at(seconds + 5), Exclude: exclude})
		if e == nil || e.Verdict != verdict.NotRun {
			t.Fatalf("at %g s: %v", seconds, e)
		}
		return e.RetryAfter
	}
	// a-0 is ejected until 2 s, the others until 0.5 s.
	for _, c := range []struct {
		at      float64
		exclude []string
		want    time.Duration
	}{
		{0.1, nil, 400*time.Millisecond + trialTime},
		{0.1, []string{"a-1", "a-2"}, 1900*time.Millisecond + trialTime},
		{0.5, nil, trialTime},
		{0.7, nil, minRetryAfter},
		{0.1, []string{"a-0", "a-1", "a-2"}, defaultRetryAfter},
	} {
		if got := order(c.at, c.exclude...); (got - min(c.want, maxRetryAfter)).Abs() > time.Millisecond {
			t.Errorf("at %g s without %v: come back in %s, want %s", c.at, c.exclude, got, c.want)
		}
	}
}
