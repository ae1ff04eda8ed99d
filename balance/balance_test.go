package balance

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

var start = time.Unix(1000, 0)

const mean = 20 * time.Millisecond

func newTestBalancer(peers, rank, instances, slots int) *Balancer {
	b := New(Config{}, uint64(rank+1))
	b.SetPeers(peers, rank)
	b.SetInstances(start, testInstances(instances, slots))
	return b
}

// violations runs fn and returns the names of the invariants that it violates.
func violations(fn func()) []invariant.Name {
	var names []invariant.Name
	defer invariant.OnViolation(func(v invariant.Violation) { names = append(names, v.Name) })()
	fn()
	return names
}

// fill picks until a request of the class is queued, and returns the started ones.
func fill(t *testing.T, b *Balancer, now time.Time, c Class) []Ticket {
	t.Helper()
	var out []Ticket
	for range 10000 {
		k, err := b.Pick(now, Request{Class: c})
		if err != nil {
			t.Fatal(err)
		}
		if k.IsWaiting() {
			b.Done(now, k, Cancelled)
			return out
		}
		out = append(out, k)
	}
	t.Fatal("no request is ever queued")
	return nil
}

// TestSlotAssignment guards against slots that two entry VMs own, or that no entry
// VM owns.
func TestSlotAssignment(t *testing.T) {
	for _, size := range [][2]int{{32, 9}, {12, 3}, {28, 9}, {12, 4}, {5, 1}, {1, 40}} {
		for peers := 1; peers <= 45; peers++ {
			owned := make([]int32, size[0])
			low, high := int32(1<<30), int32(0)
			for rank := range peers {
				b := newTestBalancer(peers, rank, size[0], size[1])
				for i := range b.instances {
					owned[i] += b.instances[i].own
				}
				low, high = min(low, b.ownSlots), max(high, b.ownSlots)
			}
			for i, n := range owned {
				if int(n) != size[1] {
					t.Fatalf("%v, %d VMs: instance %d has %d slots assigned", size, peers, i, n)
				}
			}
			if high-low > 2 {
				t.Fatalf("%v, %d VMs: own slots from %d to %d", size, peers, low, high)
			}
		}
	}
}

// TestDrain guards against new requests on a draining instance, and against full
// load on its cold caches after the drain is cancelled.
func TestDrain(t *testing.T) {
	b := newTestBalancer(1, 0, 2, 4)
	list := testInstances(2, 4)
	list[0].Draining = true
	b.SetInstances(start, list)
	count := func(now time.Time) int {
		n := 0
		for range 200 {
			now = now.Add(mean)
			k, err := b.Pick(now, Request{Class: Short})
			if err != nil {
				t.Fatal(err)
			}
			if k.Instance == list[0].ID {
				n++
			}
			b.Done(now.Add(mean), k, Answered)
		}
		return n
	}
	if n := count(start); n != 0 {
		t.Fatalf("%d requests went to the draining instance", n)
	}
	list[0].Draining = false
	b.SetInstances(start.Add(5*time.Second), list)
	early := count(start.Add(5 * time.Second))
	late := count(start.Add(20 * time.Second))
	if early == 0 || 2*early > late {
		t.Fatalf("%d of 200 requests after the drain, %d when warm", early, late)
	}
	list[1].Draining = true
	list[0].Draining = true
	b.SetInstances(start.Add(40*time.Second), list)
	if _, err := b.Pick(start.Add(40*time.Second), Request{}); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("everything drains: got %v", err)
	}
}

// TestConnectionLimit guards against more connections than this VM's part of an
// instance's limit.
func TestConnectionLimit(t *testing.T) {
	b := New(Config{}, 1)
	b.SetPeers(10, 0)
	list := testInstances(3, 100)
	for i := range list {
		list[i].MaxConnections = 40
	}
	b.SetInstances(start, list)
	if n := len(fill(t, b, start, Short)); n != 12 {
		t.Fatalf("%d requests in flight, want 3 instances with 4 each", n)
	}
}

// TestClassify guards against long work that is classified as short.
func TestClassify(t *testing.T) {
	b := newTestBalancer(1, 0, 2, 4)
	for i := range 200 {
		route, d := uint64(7), mean
		if i%20 == 19 {
			route, d = 8, 30*mean
		}
		k, _ := b.Pick(start, Request{Route: route, Deadline: start.Add(time.Hour)})
		b.Done(start.Add(d), k, Answered)
	}
	for _, c := range []struct {
		r    Request
		want Class
	}{
		{Request{}, Short},
		{Request{Length: 2 << 20}, Long},
		{Request{Length: 2 << 20, Class: Short}, Short},
		{Request{Class: Long}, Long},
		{Request{Route: 7}, Short},
		{Request{Route: 8}, Long},
		{Request{Route: 8 + routeTableSize}, Short},
	} {
		if got := b.classify(&c.r); got != c.want {
			t.Errorf("%+v: class %d, want %d", c.r, got, c.want)
		}
	}
}

// TestLongShare guards against long work that takes the slots reserved for short
// work, and against slots that stay empty while there is no short work.
func TestLongShare(t *testing.T) {
	b := newTestBalancer(1, 0, 10, 10)
	now := start
	short := fill(t, b, now, Short)
	for _, k := range short {
		b.Done(now, k, Answered)
	}
	long := fill(t, b, now, Long)
	if n := len(long); n < 60 || n > 70 {
		t.Fatalf("%d slots of 100 with long work right after short work, want about 65", n)
	}
	if n := len(fill(t, b, now, Short)); n < 30 {
		t.Fatalf("short work got %d slots, want the other 35", n)
	}
	b = newTestBalancer(1, 0, 10, 10)
	if n := len(fill(t, b, start.Add(time.Minute), Long)); n < 99 {
		t.Fatalf("%d slots of 100 with long work while short work is idle", n)
	}
}

// TestLongNotStarved guards against long work that is never served while short work
// keeps arriving.
func TestLongNotStarved(t *testing.T) {
	b := newTestBalancer(1, 0, 4, 4)
	now := start
	running := fill(t, b, now, Short)
	want, _ := b.Pick(now, Request{Class: Long})
	for range 200 {
		now = now.Add(time.Millisecond)
		b.Pick(now, Request{Class: Short}) //nolint:errcheck // a refusal is fine
		b.Done(now, running[0], Answered)
		running = running[1:]
		for _, e := range b.Tick(now) {
			if e.Ticket.Key() == want.Key() {
				if e.Err != nil {
					t.Fatal(e.Err)
				}
				return
			}
			running = append(running, e.Ticket)
		}
	}
	t.Fatal("long work never started")
}

// TestAdmission guards against refusals that come late or whose verdict isn't
// NotRun.
func TestAdmission(t *testing.T) {
	b := newTestBalancer(1, 0, 2, 2)
	fill(t, b, start, Short)
	var refusal *verdict.Error
	_, err := b.Pick(start, Request{Class: Short, Deadline: start.Add(mean / 2)})
	if !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonDeadlineAhead || refusal.RetryAfter <= 0 {
		t.Fatalf("deadline too close: %v", err)
	}
	k, err := b.Pick(start, Request{Class: Short, Deadline: start.Add(5 * mean)})
	if err != nil || !k.IsWaiting() {
		t.Fatalf("deadline far enough: %v, %v", k, err)
	}
	b.Tick(start)
	events := b.Tick(start.Add(6 * mean))
	if len(events) != 1 || events[0].Ticket.Key() != k.Key() || events[0].Err == nil || events[0].Err.Verdict != verdict.NotRun {
		t.Fatalf("deadline passed while waiting: %+v", events)
	}
	n := 0
	for ; n < 1000; n++ {
		if _, err = b.Pick(start, Request{Class: Short, Deadline: start.Add(time.Hour)}); err != nil {
			break
		}
	}
	if !errors.As(err, &refusal) || refusal.Reason != verdict.ReasonSaturated || n != 4*8 {
		t.Fatalf("%d requests wait, then %v", n, err)
	}
}

// TestSlowInstance guards against requests that keep going to a slow instance, and
// against an instance that gets no requests after it has recovered.
func TestSlowInstance(t *testing.T) {
	b := newTestBalancer(1, 0, 8, 2)
	now, slowStarts, startsAfterRecovery := start, 0, 0
	for i := range 8000 {
		now = now.Add(mean)
		k, err := b.Pick(now, Request{Class: Short, Idempotent: true})
		if err != nil {
			t.Fatal(err)
		}
		d := mean
		if k.Instance == "instance-003" {
			switch {
			case i >= 1000 && i < 2000:
				d, slowStarts = 10*mean, slowStarts+1
			case i >= 4000:
				startsAfterRecovery++
			}
		}
		b.Done(now.Add(d), k, Answered)
	}
	// The 1000 requests take 20 s, and a probe is due about every second.
	if slowStarts > 45 {
		t.Errorf("%d of 1000 requests went to the slow instance", slowStarts)
	}
	if startsAfterRecovery < 300 {
		t.Errorf("%d of 4000 requests went to the instance after its slow period", startsAfterRecovery)
	}
}

// TestProbesSpread guards against entry VMs that probe an instance at the same time.
func TestProbesSpread(t *testing.T) {
	var at []int64
	for rank := range 12 {
		b := newTestBalancer(12, rank, 32, 9)
		b.addScore(&b.instances[0], 0, maxScore)
		at = append(at, b.instances[0].probeAt)
	}
	slices.Sort(at)
	if spread := time.Duration(at[11] - at[0]); spread < 75*time.Millisecond {
		t.Fatalf("12 VMs probe within %v", spread)
	}
}

// TestHedge guards against hedges beyond the budget, hedges of requests that aren't
// idempotent, and hedges on the instance of the first attempt.
func TestHedge(t *testing.T) {
	b := newTestBalancer(1, 0, 8, 4)
	hedges, now := 0, start
	for i := range 2 * minClassSamples {
		now = now.Add(mean)
		k, _ := b.Pick(now, Request{Class: Short, Idempotent: true})
		if _, ok := b.HedgeAfter(k); ok != (i >= minClassSamples) {
			t.Fatalf("hedge %v after %d requests", ok, i)
		}
		b.Done(now.Add(mean), k, Answered)
	}
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		k, _ := b.Pick(now, Request{Class: Short, Idempotent: i%2 == 0})
		if _, ok := b.HedgeAfter(k); ok != (i%2 == 0) {
			t.Fatalf("request %d: hedge %v", i, ok)
		}
		h, ok := b.Hedge(now, k)
		if ok {
			hedges++
			if _, again := b.Hedge(now, k); again || h.Instance == k.Instance {
				t.Fatalf("hedge of %s on %s, a second one: %v", k.Instance, h.Instance, again)
			}
			b.Done(now, h, Cancelled)
		}
		b.Done(now, k, Answered)
	}
	if hedges < 20 || hedges > (2000+2*minClassSamples)*2/100+hedgeBurst {
		t.Fatalf("%d hedges of 2000 requests", hedges)
	}
}

// TestInvariantsTrip guards against invariant checks that miss a violation.
func TestInvariantsTrip(t *testing.T) {
	request := func(b *Balancer, r Request) int32 { return b.newFlight(&r, Short, never) }
	for name, broken := range map[invariant.Name]func(b *Balancer){
		invariant.NoNewAfterDrain: func(b *Balancer) {
			b.instances[0].isDraining = true
			b.startFlight(0, request(b, Request{}), 0)
		},
		invariant.SlotsWithin: func(b *Balancer) {
			b.instances[0].connectionLimit = 1
			b.startFlight(0, request(b, Request{}), 0)
			b.startFlight(0, request(b, Request{}), 0)
		},
		invariant.HedgeIdempotent: func(b *Balancer) {
			s := request(b, Request{})
			b.startFlight(0, s, 0)
			b.numRequests = 1000
			b.hedge(0, s, 1)
		},
		invariant.HedgeWithin: func(b *Balancer) {
			for range hedgeBurst + 1 {
				s := request(b, Request{Idempotent: true})
				b.startFlight(0, s, 0)
				b.hedge(0, s, 1)
			}
		},
	} {
		got := violations(func() { broken(newTestBalancer(1, 0, 2, 40)) })
		if len(got) != 1 || got[0] != name {
			t.Errorf("broken policy: got %v, want %s", got, name)
		}
	}
}
