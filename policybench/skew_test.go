package policybench

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/fakeupstream"
)

// runEntriesOf12 runs the first entry VMs of a group of 12. The others get no requests.
func runEntriesOf12(t *testing.T, entries int, load float64) (uint64, *fakeupstream.Stats) {
	cfg, _ := fakeupstream.Deployment("rolregister", "proefbank")
	cfg.Entries, cfg.Load, cfg.Timeout, cfg.Length = entries, load, time.Second, 3*time.Second
	cfg.Seed = envUint(t, "CURRANTFERRY_SEED", defaultSeed)
	s := fakeupstream.New(cfg, newPolicyFunc("currantferry", cfg, 12)).Run()
	t.Logf("%d requests, %d refused, %d missed, p99 %v", s.Requests, s.Refused, s.Missed, s.Percentile(fakeupstream.Short, 0.99))
	return cfg.Seed, s
}

// Slots must not stay idle because the entry VM that owns them has no work: one of 12 entry
// VMs gets all traffic, six times the capacity of its own slots.
func TestUnevenLoad(t *testing.T) {
	seed, s := runEntriesOf12(t, 1, 0.5)
	if unanswered := s.Refused + s.Missed; 100*unanswered > s.Requests {
		t.Fatalf("seed %d: %d of %d requests unanswered with half of the slots idle", seed, unanswered, s.Requests)
	}
}

// At a load of twice the capacity, goodput must stay near the capacity, and requests that
// can't run must be refused rather than time out.
func TestOverload(t *testing.T) {
	seed, s := runEntriesOf12(t, 12, 2)
	answered := len(s.Latency[fakeupstream.Short])
	if capacity := s.Requests / 2; 10*answered < 9*capacity || 100*s.Missed > s.Requests {
		t.Fatalf("seed %d: %d of %d requests answered, %d missed their deadline, at twice the capacity", seed, answered, s.Requests, s.Missed)
	}
}
