package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/benchloop"
)

// BenchmarkPick measures a Pick and a Done on one of 12 entry VMs, with 32 instances
// of 9 slots and 70 % of the own slots in use.
func BenchmarkPick(b *testing.B) {
	now := time.Unix(1000, 0)
	l := New(Config{}, 1)
	l.SetPeers(12, 3)
	l.SetInstances(now, testInstances(32, 9))
	var held []Ticket
	for range 17 {
		t, err := l.Pick(now, Request{Class: Short, Idempotent: true})
		if err != nil {
			b.Fatal(err)
		}
		held = append(held, t)
	}
	benchloop.Run(b, 200_000, func(i int) {
		now = now.Add(time.Millisecond)
		t, err := l.Pick(now, Request{Class: Short, Idempotent: true})
		if err != nil || t.IsWaiting() {
			b.Fatal("no instance", err)
		}
		l.Done(now, held[i%len(held)], Answered)
		held[i%len(held)] = t
	})
}

func testInstances(n, slots int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		list[i] = Instance{ID: fmt.Sprintf("instance-%03d", i), Slots: slots}
	}
	return list
}
