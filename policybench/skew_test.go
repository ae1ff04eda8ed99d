package policybench

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/fakeupstream"
)

// TestUnevenLoad guards against slots that stay idle because their owners have no
// work: one of 12 entry VMs gets all traffic, six times its own slots' worth.
func TestUnevenLoad(t *testing.T) {
	cfg, _ := fakeupstream.Deployment("rolregister", "proefbank")
	cfg.Entries, cfg.Load, cfg.Timeout = 1, 0.5, time.Second
	cfg.Seed, cfg.Length = number(t, "CURRANTFERRY_SEED", defaultSeed), 5*time.Second
	s := fakeupstream.New(cfg, build("currantferry", cfg, 12)).Run()
	t.Logf("%d requests, %d refused, %d missed, p99 %v", s.Requests, s.Refused, s.Missed, s.Percentile(fakeupstream.Short, 0.99))
	if unanswered := s.Refused + s.Missed; 100*unanswered > s.Requests {
		t.Fatalf("seed %d: %d of %d requests unanswered with half of the slots idle", cfg.Seed, unanswered, s.Requests)
	}
}

// TestOverload guards against collapse at twice the capacity: goodput has to stay
// near the capacity, and what can't run has to be refused and not to time out.
func TestOverload(t *testing.T) {
	cfg, _ := fakeupstream.Deployment("rolregister", "proefbank")
	cfg.Load, cfg.Timeout = 2, time.Second
	cfg.Seed, cfg.Length = number(t, "CURRANTFERRY_SEED", defaultSeed), 5*time.Second
	s := fakeupstream.New(cfg, build("currantferry", cfg, 12)).Run()
	answered := len(s.Latency[fakeupstream.Short])
	t.Logf("%d requests, %d refused, %d missed, p99 %v", s.Requests, s.Refused, s.Missed, s.Percentile(fakeupstream.Short, 0.99))
	if capacity := s.Requests / 2; 10*answered < 9*capacity || 100*s.Missed > s.Requests {
		t.Fatalf("seed %d: %d of %d requests answered, %d missed their deadline, at twice the capacity", cfg.Seed, answered, s.Requests, s.Missed)
	}
}
