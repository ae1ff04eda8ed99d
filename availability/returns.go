package availability

import "time"

const (
	// maxReturnPlaces bounds the places that are assigned. Later callers share the last
	// one.
	maxReturnPlaces = 4096
	// minSparePlaces is the spare time of a caller, in places, from which on it leaves
	// every second place to callers with less time.
	minSparePlaces = 8
)

// ReturnSchedule schedules when refused callers come back, so that each of them finds a
// free slot. Callers with spare time get every second place. The others are for callers
// with less time, and for those that ask for the first time then.
type ReturnSchedule struct {
	from time.Time
	// nextEven and nextOdd are the first free even and odd places.
	nextEven, nextOdd int
}

// Place returns when a caller should come back to instances that return at the time
// from and then accept requests at the given rate per second. Latest is the latest time
// at which the caller can still be served in time.
func (q *ReturnSchedule) Place(from time.Time, rate float64, latest time.Time) time.Time {
	if !q.from.Equal(from) {
		*q = ReturnSchedule{from: from, nextOdd: 1}
	}
	at := func(n int) time.Time { return from.Add(time.Duration(float64(n) / rate * float64(time.Second))) }
	n, next := q.nextEven, &q.nextEven
	if hasSpareTime := latest.After(at(n + minSparePlaces)); !hasSpareTime && q.nextOdd < n {
		n, next = q.nextOdd, &q.nextOdd
	}
	*next = min(n+2, maxReturnPlaces)
	return at(n)
}
