package budget

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// Remaining returns the time that an upstream has for a request: the time until the
// deadline less the round trip. It is zero or negative if no answer can arrive in time.
func Remaining(now, deadline time.Time, oneWay time.Duration) time.Duration {
	return deadline.Sub(now) - 2*oneWay
}

// Shrink returns the timeout to pass on to the next hop: the rest of a timeout that
// arrived at the time received, less the round trip and a margin for this hop's own
// work on the answer. Zero means that the request must not be sent to the next hop.
func Shrink(now, received time.Time, timeout, oneWay, margin time.Duration) time.Duration {
	return max(0, Remaining(now, received.Add(timeout), oneWay)-margin)
}

// Service time histogram: the bucket bounds grow by a factor of 2^(1/4) from 100 us, so
// a quantile is at most 19 % too high and 64 buckets reach 6 s. Longer times are
// counted in the last bucket.
const (
	numBuckets         = 64
	firstBucket        = 100 * time.Microsecond
	bucketsPerDoubling = 4
	maxObserved        = 2048.0 // observations
	minObserved        = 20.0
	admitQuantile      = 0.5
)

// ServiceTime is the distribution of the service times of one service and class. Older
// observations lose weight: all weights are halved each time their sum reaches 2048.
type ServiceTime struct {
	weight      [numBuckets]float64
	total       float64
	maxOverflow time.Duration // longest time in the last bucket
}

// Observe adds the service time of a completed request.
func (s *ServiceTime) Observe(d time.Duration) {
	i := 0
	if d > firstBucket {
		i = int(math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/float64(firstBucket))))
	}
	if i >= numBuckets-1 {
		i = numBuckets - 1
		s.maxOverflow = max(s.maxOverflow, d)
	}
	s.weight[i]++
	s.total++
	if s.total < maxObserved {
		return
	}
	s.total = 0
	for i := range s.weight {
		s.weight[i] /= 2
		s.total += s.weight[i]
	}
}

// Quantile returns the service time below which the fraction q of the observations
// lies, or zero while there are fewer than 20.
func (s *ServiceTime) Quantile(q float64) time.Duration {
	if s.total < minObserved {
		return 0
	}
	left := q * s.total
	for i, w := range s.weight {
		left -= w
		if left <= 0 && i < numBuckets-1 {
			return time.Duration(float64(firstBucket) * math.Exp2(float64(i)/bucketsPerDoubling))
		}
	}
	return s.maxOverflow
}

// Admit refuses a request that would more likely than not miss its deadline: the
// remaining time is less than the expected wait plus the median service time. The
// refusal has verdict "not run" and the wait as its Retry-After.
func (s *ServiceTime) Admit(remaining, wait time.Duration) *verdict.Error {
	if remaining <= 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, 0)
	}
	if remaining < wait+s.Quantile(admitQuantile) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineAhead, wait)
	}
	return nil
}
