package balance

import (
	"testing"
	"time"
)

// TestRefusingProbedRarely guards against frequent probes of instances that refuse
// requests, which use up the retry budget of a service with few requests.
func TestRefusingProbedRarely(t *testing.T) {
	b := newTestBalancer(1, 0, 10, 3)
	refused := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		k, err := b.Pick(now, Request{Class: Short, Idempotent: true})
		if err != nil || k.IsWaiting() {
			t.Fatal(k, err)
		}
		if b.byID[k.Instance] < 3 {
			refused++
			b.Done(now, k, Refused)
		} else {
			b.Done(now.Add(mean), k, Answered)
		}
	}
	// Each of the three is suspected, then probed at growing intervals.
	if refused > 3*15 {
		t.Errorf("%d of 600 requests went to refusing instances", refused)
	}
	for k := range b.instances {
		if b.instances[k].isSuspected != (k < 3) {
			t.Errorf("instance %d suspected: %v", k, b.instances[k].isSuspected)
		}
	}
}

// TestUnderPressure guards against idle slots of suspected instances while requests
// wait for admission, and against requests to instances that fail.
func TestUnderPressure(t *testing.T) {
	b := newTestBalancer(1, 0, 10, 3)
	b.addScore(&b.instances[0], 0, maxScore)
	b.instances[1].lastFailed = true
	b.addScore(&b.instances[1], 0, maxScore)
	if n := len(fill(t, b, start, Short)); n >= 30-3 {
		t.Fatalf("%d requests started", n)
	}
	b.SetUnderPressure(true)
	fill(t, b, start, Short)
	if slow, failed := b.instances[0].total(), b.instances[1].total(); slow != 3 || failed != 0 {
		t.Errorf("%d requests on a suspected instance, %d on one that fails", slow, failed)
	}
}

// TestFailedWhileDraining guards against an instance that is suspected when it is
// drained and is never probed again after its drain ends.
func TestFailedWhileDraining(t *testing.T) {
	b := New(Config{}, 1)
	list := []Instance{{ID: "a", Slots: 9}, {ID: "b", Slots: 9}}
	b.SetInstances(start, list)
	b.SetPeers(1, 0)
	picked := 0
	for k := range 8000 {
		now := start.Add(time.Duration(k) * 5 * time.Millisecond)
		if k == 230 || k == 900 {
			list[0].Draining = k == 230
			b.SetInstances(now, list)
		}
		b.Tick(now)
		ticket, err := b.Pick(now, Request{Class: Short, Idempotent: true})
		if err != nil || ticket.IsWaiting() {
			t.Fatal(ticket, err)
		}
		if ticket.Instance == "a" && k >= 200 && k < 800 {
			b.Done(now, ticket, ConnectFailed)
			continue
		}
		if ticket.Instance == "a" && k >= 6000 {
			picked++
		}
		b.Done(now.Add(4*time.Millisecond), ticket, Answered)
	}
	if picked < 500 {
		t.Errorf("the returned instance got %d of 2000 requests", picked)
	}
}

// TestFailedAmongSuspects guards against an instance that refuses connections and
// attracts all requests once the others are suspected to be slow.
func TestFailedAmongSuspects(t *testing.T) {
	b := newTestBalancer(1, 0, 4, 3)
	for k := range b.instances {
		b.instances[k].lastFailed = k == 0
		b.addScore(&b.instances[k], 0, maxScore)
	}
	fill(t, b, start, Short)
	if n := b.instances[0].total(); n != 0 {
		t.Errorf("%d requests on the instance that fails", n)
	}
	for k := range b.instances {
		b.instances[k].lastFailed = true
	}
	fill(t, b, start, Short)
	if n := b.instances[0].total(); n == 0 {
		t.Error("no instance is tried when all of them fail")
	}
}

// TestFailedInstanceReturnsForAnyWork guards against an instance that failed once and gets no
// work again because no request of its service may be the probe.
func TestFailedInstanceReturnsForAnyWork(t *testing.T) {
	for _, r := range []Request{
		{Class: Short, Idempotent: true},
		{Class: Short},
		{Class: Long, Idempotent: true},
		{Class: Long},
	} {
		b := newTestBalancer(1, 0, 3, 3)
		picked := 0
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			now := start.Add(at)
			b.Tick(now)
			k, err := b.Pick(now, r)
			if err != nil || k.IsWaiting() {
				t.Fatal(k, err)
			}
			isFailing := b.byID[k.Instance] == 0 && at < 10*time.Second
			switch {
			case isFailing:
				b.Done(now, k, ConnectFailed)
			default:
				b.Done(now.Add(mean), k, Answered)
			}
			if b.byID[k.Instance] == 0 && at > 40*time.Second {
				picked++
			}
		}
		if picked == 0 {
			t.Errorf("class %d, idempotent %v: the instance that works again got none of the requests", r.Class, r.Idempotent)
		}
	}
}
