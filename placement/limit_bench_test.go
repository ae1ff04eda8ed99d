package placement

import (
	"fmt"
	"testing"
	"time"
)

// setLimits makes every n-th instance name a limit of 2 to 8 requests a second.
func (s *sim) setLimits(n int) {
	s.limits = make(map[string]float64)
	for k := 0; k < len(s.ids); k += n {
		s.limits[s.ids[k]] = 2 + float64(k%7)
	}
	for _, region := range s.regions {
		for _, p := range s.vms[region] {
			electorates := make(map[string]Electorate)
			for _, r := range s.regions {
				electorates[r] = Electorate{
					Coordinators: []string{s.vms[r][0].cfg.VM, s.vms[r][1].cfg.VM}, NumVMs: len(s.vms[r]), Votes: r == region,
				}
			}
			p.SetElectorates(electorates)
		}
	}
}

// exchangeQuotas lets all VMs ask for tokens.
func (s *sim) exchangeQuotas() {
	for _, region := range s.regions {
		for _, p := range s.vms[region] {
			s.requestQuota(p, 200*time.Millisecond)
		}
	}
}

// requestQuota lets a VM ask the coordinators that it did not ask within an interval.
func (s *sim) requestQuota(p *Picker, interval time.Duration) {
	requests := p.QuotaRequests(s.now, interval)
	for k := range requests {
		q := &requests[k]
		delay := s.delay(p.cfg.Region, q.Region)
		for _, coordinator := range s.vms[q.Region] {
			if coordinator.cfg.VM != q.To {
				continue
			}
			s.at(s.now.Add(delay), func() {
				if reply, _, ok := coordinator.ServeQuota(s.now, p.cfg.VM, q); ok {
					s.at(s.now.Add(delay), func() { p.ApplyQuota(s.now, coordinator.cfg.VM, &reply) })
				}
			})
		}
	}
}

// awaitToken asks for a token if the request would use a limited instance, as an entry VM
// does, and returns how long the request waits for it.
func (s *sim) awaitToken(r *simRequest, q *Request) time.Duration {
	if len(s.limits) == 0 {
		return 0
	}
	need := r.vm.NeedsToken(s.now, q)
	if need == NoToken {
		return 0
	}
	s.requestQuota(r.vm, 20*time.Millisecond)
	switch need {
	case TokenLater:
		return 0
	case TokenFromAfar:
		return 150 * time.Millisecond
	default:
		return 15 * time.Millisecond
	}
}

// earliestWithinLimits returns the instance that would answer first, of those whose token
// bucket has room and that answer before the request is given up, or nil.
func (s *sim) earliestWithinLimits() func(r *simRequest) *simInstance {
	tokens, filledAt := make(map[string]float64), s.start
	return func(r *simRequest) *simInstance {
		for id, limit := range s.limits {
			tokens[id] = min(tokens[id]+limit*s.now.Sub(filledAt).Seconds(), max(1, limit))
		}
		filledAt = s.now
		best := s.earliestCompletion(r, func(i *simInstance) bool {
			_, isLimited := s.limits[i.ID]
			return (!isLimited || tokens[i.ID] >= 1) && i.running+len(i.queue) < i.Slots+i.maxQueue
		})
		if best != nil {
			tokens[best.ID]--
		}
		return best
	}
}

// largestLimitUse returns the most requests that an instance got in 4 s, in units of what the
// platform allows it.
func (s *sim) largestLimitUse(from time.Duration) float64 {
	const window = 4 * time.Second
	worst := 0.0
	for id, limit := range s.limits {
		arrivals, first := s.instances[id].arrivals, 0
		for n, at := range arrivals {
			for at.Sub(arrivals[first]) >= window {
				first++
			}
			if arrivals[first].Sub(s.start) >= from {
				worst = max(worst, float64(n-first+1)/(1.5*limit*window.Seconds()+5))
			}
		}
	}
	return worst
}

// BenchmarkLimitedDay reports what is served while a share of the 28 instances of a service
// name limits of 2 to 8 requests a second, beside an all-knowing placement that keeps the same
// limits: requests served and served in time in percent, and the largest sum of requests at a
// limited instance in 4 s in units of the allowed one.
func BenchmarkLimitedDay(b *testing.B) {
	d := &deployments[1]
	for _, every := range []int{0, 4, 2, 1} {
		for _, policy := range []string{"currantferry", "all-knowing"} {
			name := "Unlimited"
			if every > 0 {
				name = fmt.Sprintf("OneIn%d", every)
			}
			b.Run(name+"/"+policy, func(b *testing.B) {
				var w simWindow
				worst := 0.0
				for range b.N {
					s := d.sim(seedOf(b), steady(d.rate))
					s.digests, s.noise = 200*time.Millisecond, 0.15
					if every > 0 {
						s.setLimits(every)
					}
					if policy == "all-knowing" {
						s.choose = s.earliestWithinLimits()
					}
					s.run(44 * time.Second)
					w, worst = s.sum(8*time.Second, 40*time.Second), s.largestLimitUse(8*time.Second)
				}
				percent := func(n int) float64 { return 100 * float64(n) / float64(max(1, w.asked)) }
				b.ReportMetric(percent(w.inTime+w.late), "served-%")
				b.ReportMetric(percent(w.inTime), "in-time-%")
				b.ReportMetric(percent(w.refused), "refused-%")
				b.ReportMetric(worst, "largest-sum")
			})
		}
	}
}
