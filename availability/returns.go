package availability

import "time"

const (
	// returnsMost bounds the places that are dealt out; later callers share the last.
	returnsMost = 4096
	// patientPlaces is how many places later a caller must still be in time to leave
	// every other place to those with less time.
	patientPlaces = 8
)

// Returns deals out the times at which refused callers come back, so that they find
// room one after the other. Callers with time to spare take every second place: the
// others are for callers with less, and for those that come then for the first time.
type Returns struct {
	from time.Time
	// nextEven and nextOdd are the first free places.
	nextEven, nextOdd int
}

// Place returns when a caller comes back to instances that return at a time and then
// take requests at a rate. Latest is when it must be back to be served in time.
func (q *Returns) Place(from time.Time, rate float64, latest time.Time) time.Time {
	if !q.from.Equal(from) {
		*q = Returns{from: from, nextOdd: 1}
	}
	at := func(n int) time.Time { return from.Add(time.Duration(float64(n) / rate * float64(time.Second))) }
	n, next := q.nextEven, &q.nextEven
	if isPatient := latest.After(at(n + patientPlaces)); !isPatient && q.nextOdd < n {
		n, next = q.nextOdd, &q.nextOdd
	}
	*next = min(n+2, returnsMost)
	return at(n)
}
