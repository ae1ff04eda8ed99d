package balance

import (
	"testing"
	"time"
)

// TestRefusingProbedRarely guards against probes of refusing instances that use
// up the retries of a service with few requests.
func TestRefusingProbedRarely(t *testing.T) {
	b := newTest(1, 0, 10, 3)
	refused := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		k, err := b.Pick(now, Request{Class: Short, Idempotent: true})
		if err != nil || k.Waiting() {
			t.Fatal(k, err)
		}
		if b.byID[k.Instance] < 3 {
			refused++
			b.Done(now, k, Refused)
		} else {
			b.Done(now.Add(mean), k, Answered)
		}
	}
	// Each of the three is found, then probed with growing intervals.
	if refused > 3*15 {
		t.Errorf("%d of 600 requests went to refusing instances", refused)
	}
	for k := range b.instances {
		if b.instances[k].suspect != (k < 3) {
			t.Errorf("instance %d suspected: %v", k, b.instances[k].suspect)
		}
	}
}

// TestPressed guards against slots that stay idle while requests wait for room,
// and against work for instances that fail.
func TestPressed(t *testing.T) {
	b := newTest(1, 0, 10, 3)
	b.learn(&b.instances[0], 0, maxScore)
	b.instances[1].failed = true
	b.learn(&b.instances[1], 0, maxScore)
	if n := len(fill(t, b, start, Short)); n >= 30-3 {
		t.Fatalf("%d requests started", n)
	}
	b.SetPressed(true)
	fill(t, b, start, Short)
	if slow, failed := b.instances[0].total(), b.instances[1].total(); slow != 3 || failed != 0 {
		t.Errorf("%d requests on a suspected instance, %d on one that fails", slow, failed)
	}
}
