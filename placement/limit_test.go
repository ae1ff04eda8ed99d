package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/verdict"
)

// nameLimit applies an answer of an instance that names a limit.
func nameLimit(p *Picker, now time.Time, id string, limit float64) {
	t := ticketOf(p, id)
	t.sentAt = now
	p.ApplyNotice(now, t, availability.Notice{HasLimit: true, Limit: limit})
}

// exchangeQuota lets a VM ask itself for tokens, as the only coordinator.
func exchangeQuota(t *testing.T, p *Picker, now time.Time) {
	t.Helper()
	requests := p.QuotaRequests(now, 0)
	for k := range requests {
		reply, _, ok := p.ServeQuota(now, p.cfg.VM, &requests[k])
		if !ok {
			t.Fatal("the VM does not serve its own request")
		}
		p.ApplyQuota(now, p.cfg.VM, &reply)
	}
}

// requestAt sends a request the way an entry VM does: it asks for a token first if the
// request needs one.
func requestAt(t *testing.T, p *Picker, now time.Time, key string, priority int) (Ticket, *verdict.Error) {
	t.Helper()
	r := &Request{Service: "shop", Route: "orders", Key: key, Target: time.Second, Deadline: now.Add(10 * time.Second), Priority: priority}
	if p.NeedsToken(now, r) != NoToken {
		exchangeQuota(t, p, now)
	}
	ticket, e := p.Pick(now, r)
	if e == nil {
		p.Done(now, &ticket, Outcome{Verdict: verdict.Ran, Latency: 100 * time.Millisecond})
	}
	return ticket, e
}

func newLimitedPicker(perRegion int, regions ...string) *Picker {
	p := newShopPicker("vm-1", perRegion, regions...)
	electorates := make(map[string]Electorate)
	for _, region := range regions {
		electorates[region] = Electorate{Coordinators: []string{"vm-1"}, NumVMs: 1, Votes: true}
	}
	p.SetElectorates(electorates)
	return p
}

// A request that one instance may not take within its limit must go to another one, not be
// refused.
func TestRequestsGoToInstancesWithRoom(t *testing.T) {
	p := newLimitedPicker(3, "a")
	nameLimit(p, at(0), "a-0", 1)
	sent := 0
	for n := range 400 {
		ticket, e := requestAt(t, p, at(float64(n)/40), fmt.Sprint(n), 1)
		if e != nil {
			t.Fatalf("request %d: %v", n, e)
		}
		if ticket.Instance.ID == "a-0" {
			sent++
		}
	}
	if sent < 8 || sent > 12 {
		t.Errorf("%d requests in 10 s at an instance that takes 1 a second", sent)
	}
}

// If all instances are at their limits, requests must be refused at once, and callers told
// to come back at different times.
func TestRefusalsAtTheLimitSpreadCallers(t *testing.T) {
	p := newLimitedPicker(2, "a")
	nameLimit(p, at(0), "a-0", 2)
	nameLimit(p, at(0), "a-1", 3)
	times := make(map[time.Duration]int)
	refused, served := 0, 0
	for n := range 200 {
		now := at(float64(n) / 20)
		_, e := requestAt(t, p, now, fmt.Sprint(n), 1)
		if e == nil {
			served++
			continue
		}
		refused++
		if e.Reason != verdict.ReasonAtLimit || e.Verdict != verdict.NotRun || e.RetryAfter <= 0 || e.RetryAfter > maxLimitRetryAfter {
			t.Fatalf("%+v", e)
		}
		times[now.Add(e.RetryAfter).Sub(at(0)).Round(10*time.Millisecond)]++
	}
	if served < 40 || served > 55 {
		t.Errorf("%d requests served in 10 s by instances that take 5 a second", served)
	}
	for after, n := range times {
		if n > refused/10 {
			t.Errorf("%d of %d callers are told to come back %s after the start", n, refused, after)
		}
	}
}

// While limited instances cannot serve all requests, the more urgent ones must be served
// first.
func TestUrgentRequestsGetTheScarceRoom(t *testing.T) {
	p := newLimitedPicker(1, "a")
	nameLimit(p, at(0), "a-0", 4)
	served := make(map[int]int)
	for n := range 400 {
		priority := n % 2
		if _, e := requestAt(t, p, at(float64(n)/20), fmt.Sprint(n), priority); e == nil {
			served[priority]++
		}
	}
	if served[0] < 9*served[1] || served[0] == 0 {
		t.Errorf("served by priority: %v", served)
	}
}

// An instance that takes nothing must be found out when it takes requests again, although
// it gets hardly any until then.
func TestInstanceWithoutRoomIsTriedAgain(t *testing.T) {
	p := newLimitedPicker(2, "a")
	nameLimit(p, at(0), "a-0", 0)
	sent := 0
	for n := range 800 {
		now := at(float64(n) / 20)
		if ticket, e := requestAt(t, p, now, fmt.Sprint(n), 1); e == nil && ticket.Instance.ID == "a-0" {
			sent++
		}
	}
	if sent < 5 || sent > 12 {
		t.Errorf("%d requests in 40 s at an instance that takes none", sent)
	}
	// The next trial is answered without a limit.
	for n := 0; n < 200; n++ {
		now := at(40 + float64(n)/20)
		if ticket, e := requestAt(t, p, now, fmt.Sprint(n), 1); e == nil && ticket.Instance.ID == "a-0" {
			ticket.sentAt = now
			p.ApplyNotice(now, &ticket, availability.Notice{})
		}
	}
	if p.LimitOf(ticketOf(p, "a-0")).InForce {
		t.Error("the end of the limit was not noticed within 10 s")
	}
}

// A request that was picked before the limit was known must not be sent without a token.
func TestLimitWithdrawsPickedRequests(t *testing.T) {
	p := newLimitedPicker(1, "a")
	ticket, e := p.Pick(at(1), &Request{Service: "shop", Key: "k", Deadline: at(9)})
	if e != nil || !p.SetSent(at(1), &ticket) {
		t.Fatal("not picked", e)
	}
	late, _ := p.Pick(at(1), &Request{Service: "shop", Key: "k", Deadline: at(9)})
	nameLimit(p, at(1.1), "a-0", 5)
	if p.SetSent(at(1.2), &late) {
		t.Error("a request is sent without a token")
	}
}

// A VM that was paused must not use tokens that ran out meanwhile, nor lease what it had saved
// up, even if its clock stood still.
func TestPausedVMForgetsLeases(t *testing.T) {
	p := newLimitedPicker(1, "a")
	nameLimit(p, at(0), "a-0", 20)
	r := &Request{Service: "shop", Key: "k", Deadline: at(9)}
	p.NeedsToken(at(1), r)
	exchangeQuota(t, p, at(1))
	p.NeedsToken(at(1.5), r)
	exchangeQuota(t, p, at(1.5))
	if !p.services["shop"].instances["a-0"].hasRoom(at(1.5)) {
		t.Fatal("no token before the pause")
	}
	p.ForgetLeases()
	if _, e := p.Pick(at(1.5), r); e == nil || e.Reason != verdict.ReasonAtLimit {
		t.Errorf("after the pause: %v", e)
	}
	p.NeedsToken(at(1.5), r)
	exchangeQuota(t, p, at(1.5))
	if p.services["shop"].instances["a-0"].hasRoom(at(1.5)) {
		t.Error("tokens from before the pause are leased")
	}
}

// Requests that run in another region, by their spill share or because their own region is at
// its limits, must use the room of the limited instances there.
func TestLimitedInstancesOfOtherRegionsAreUsed(t *testing.T) {
	for name, own := range map[string]int{"no instances here": 0, "own instances at their limits": 1} {
		t.Run(name, func(t *testing.T) {
			p := newLimitedPicker(2, "a", "b")
			if own == 0 {
				p.Update(at(0), nil, []string{"a-0", "a-1"})
			} else {
				nameLimit(p, at(0), "a-0", 1)
				nameLimit(p, at(0), "a-1", 1)
			}
			nameLimit(p, at(0), "b-0", 5)
			nameLimit(p, at(0), "b-1", 5)
			served := make(map[string]int)
			for n := range 600 {
				if ticket, e := requestAt(t, p, at(float64(n)/30), fmt.Sprint(n), 1); e == nil {
					served[ticket.Instance.Region]++
				}
			}
			if served["b"] < 160 {
				t.Errorf("%v requests served in 20 s; the instances of b take 200", served)
			}
		})
	}
}
