package budget

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// Remaining returns the time that an upstream has for a request: what is left
// until the deadline, less the way there and back. It is zero or negative when
// no answer can arrive in time.
func Remaining(now, deadline time.Time, oneWay time.Duration) time.Duration {
	return deadline.Sub(now) - 2*oneWay
}

// Shrink returns the timeout to pass on to the next hop: what remains of a
// timeout that was received at received, less the way there and back and a
// margin for this hop's own work on the answer. Zero means that the next hop
// must not be asked.
func Shrink(now, received time.Time, timeout, oneWay, margin time.Duration) time.Duration {
	return max(0, Remaining(now, received.Add(timeout), oneWay)-margin)
}

// Service time histogram: buckets grow by a factor of 2^(1/4) from 100 us, so a
// quantile is at most 19 % too high and 64 buckets reach 6 s. Longer times
// count in the last bucket.
const (
	buckets       = 64
	firstBucket   = 100 * time.Microsecond
	bucketsPer2   = 4
	halveAt       = 2048.0 // observations
	minObserved   = 20.0
	admitQuantile = 0.5
)

// ServiceTime keeps the distribution of observed service times of one service
// and class. Older observations fade: all weights are halved each time that
// 2048 have been collected.
type ServiceTime struct {
	weight [buckets]float64
	total  float64
	longer time.Duration // highest time seen in the last bucket
}

// Observe adds the service time of a completed request.
func (s *ServiceTime) Observe(d time.Duration) {
	i := 0
	if d > firstBucket {
		i = int(math.Ceil(bucketsPer2 * math.Log2(float64(d)/float64(firstBucket))))
	}
	if i >= buckets-1 {
		i = buckets - 1
		s.longer = max(s.longer, d)
	}
	s.weight[i]++
	s.total++
	if s.total < halveAt {
		return
	}
	s.total = 0
	for i := range s.weight {
		s.weight[i] /= 2
		s.total += s.weight[i]
	}
}

// Quantile returns the service time below which the fraction q of the
// observations lies. It is zero while fewer than 20 were made.
func (s *ServiceTime) Quantile(q float64) time.Duration {
	if s.total < minObserved {
		return 0
	}
	left := q * s.total
	for i, w := range s.weight {
		left -= w
		if left <= 0 && i < buckets-1 {
			return time.Duration(float64(firstBucket) * math.Exp2(float64(i)/bucketsPer2))
		}
	}
	return s.longer
}

// Admit refuses a request that would more likely than not miss its deadline:
// the time that remains is below the expected wait plus the median service
// time. The refusal says "not run" and names the wait as time to come back.
func (s *ServiceTime) Admit(remaining, wait time.Duration) *verdict.Error {
	if remaining <= 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, 0)
	}
	if remaining < wait+s.Quantile(admitQuantile) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineAhead, wait)
	}
	return nil
}
