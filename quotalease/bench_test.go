package quotalease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// bucketPolicy is a baseline in which each VM keeps a token bucket of its own, for a part of
// the limit.
func bucketPolicy(s *sim, part float64) func(*simVM) bool {
	type state struct {
		level float64
		at    time.Time
	}
	states := make(map[*simVM]*state)
	return func(v *simVM) bool {
		st := states[v]
		if st == nil {
			st = &state{1, s.now}
			states[v] = st
		}
		rate := part * s.limit
		st.level = min(max(1, rate), st.level+rate*s.now.Sub(st.at).Seconds())
		st.at = s.now
		if st.level < 1 {
			return false
		}
		st.level--
		return true
	}
}

// BenchmarkSharedLimit reports, for leased tokens and two baselines, the share of the limit
// that is used, the largest number of requests in 4 s in units of the allowed one, and the
// messages and bytes per VM and second. Demand is three times the limit, spread evenly or all
// at one VM.
func BenchmarkSharedLimit(b *testing.B) {
	const limit, seconds = 7.5, 20
	for _, policy := range []string{"leases", "equal-shares", "each-for-itself"} {
		for _, numVMs := range []int{12, 63, 300, 740} {
			for _, demand := range []string{"even", "one-vm"} {
				b.Run(fmt.Sprintf("%s/vms=%d/%s", policy, numVMs, demand), func(b *testing.B) {
					for range b.N {
						s := newSim(rand.New(rand.NewPCG(seedOf(b), 1)), numVMs, limit)
						switch policy {
						case "equal-shares":
							s.policy = bucketPolicy(s, 1/float64(numVMs))
						case "each-for-itself":
							s.policy = bucketPolicy(s, 1)
						}
						for _, v := range s.vms {
							if demand == "even" {
								v.demand = 3 * limit / float64(numVMs)
							}
						}
						if demand == "one-vm" {
							s.vms[numVMs-1].demand = 3 * limit
						}
						s.run(5 * time.Second)
						before, messages, bytes := len(s.sent), s.messages, s.bytes
						s.run(seconds * time.Second)
						perVM := float64(numVMs * seconds)
						b.ReportMetric(float64(len(s.sent)-before)/seconds/limit, "of-limit")
						b.ReportMetric(float64(s.maxInWindow())/float64(allowed(limit)), "of-allowed")
						b.ReportMetric(float64(s.messages-messages)/perVM, "messages/VM/s")
						b.ReportMetric(float64(s.bytes-bytes)/perVM, "bytes/VM/s")
					}
				})
			}
		}
	}
}

// BenchmarkLease measures what a coordinator of 185 VMs needs for one request.
func BenchmarkLease(b *testing.B) {
	c := NewCoordinator(rand.Float64)
	now := time.Unix(1000, 0)
	var ids []string
	for k := range 185 {
		ids = append(ids, fmt.Sprint("vm-", k))
	}
	for n := range b.N {
		now = now.Add(2 * time.Millisecond)
		c.Vote(now, ids[n%len(ids)], len(ids))
		c.Lease(now, simProcess, 40, ids[n%len(ids)], 1, 0)
	}
}
