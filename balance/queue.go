package balance

import (
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// Event reports that a queued request has started or was refused.
type Event struct {
	// Ticket has the key of the ticket that Pick returned, and the instance if
	// the request has started.
	Ticket Ticket
	// Err is a refusal whose verdict is NotRun, or nil.
	Err *verdict.Error
}

// queue is a FIFO queue of flights. Withdrawn requests leave a gap.
type queue struct {
	slots []int32
	head  int
	count int // requests, gaps not included
}

func (q *queue) len() int { return q.count }

func (q *queue) push(s int32) {
	q.slots = append(q.slots, s)
	q.count++
}

func (q *queue) front() int32 {
	for q.slots[q.head] == none {
		q.head++
	}
	return q.slots[q.head]
}

func (q *queue) pop() int32 {
	s := q.front()
	q.head++
	q.count--
	if q.count == 0 {
		q.slots, q.head = q.slots[:0], 0
	} else if q.head > 64 && 2*q.head > len(q.slots) {
		q.slots = q.slots[:copy(q.slots, q.slots[q.head:])]
		q.head = 0
	}
	return s
}

func (q *queue) withdraw(s int32) {
	for k := q.head; k < len(q.slots); k++ {
		if q.slots[k] == s {
			q.slots[k] = none
			q.count--
			break
		}
	}
	if q.count == 0 {
		q.slots, q.head = q.slots[:0], 0
	}
}

// expectedWait estimates how long one more request of a class would wait in the
// queue, in nanoseconds.
func (b *Balancer) expectedWait(c Class) float64 {
	ahead := float64(b.queues[c-1].len() + 1)
	short, long := float64(b.inFlight[Short-1]), float64(b.inFlight[Long-1])
	rate := short/b.classEstimates[Short-1].mean + long/b.classEstimates[Long-1].mean
	if c == Long {
		// Short work is served first, so long work is assumed to get only the slots
		// that already run long work.
		rate = max(1, long) / b.classEstimates[Long-1].mean
	}
	return ahead / max(rate, 1/b.classEstimates[c-1].mean)
}

func (b *Balancer) enqueue(t int64, r *Request, c Class, deadline int64) (Ticket, error) {
	wait := b.expectedWait(c)
	if float64(deadline-t) < wait+b.classEstimates[c-1].mean {
		return Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonDeadlineAhead, retryAfter(wait))
	}
	if q := &b.queues[c-1]; q.len() >= b.cfg.QueuePerSlot*int(max(1, b.ownSlots)) {
		reason := verdict.ReasonSaturated
		if c == Long {
			reason = verdict.ReasonLongShare
		}
		return Ticket{}, verdict.New(verdict.NotRun, reason, retryAfter(wait))
	}
	s := b.newFlight(r, c, deadline)
	b.flights[s].state = waiting
	b.queues[c-1].push(s)
	b.updatePeak(t)
	return b.ticket(s), nil
}

// retryAfter is the expected wait, at least 100 ms so that callers don't retry at
// once.
func retryAfter(wait float64) time.Duration {
	return max(100*time.Millisecond, time.Duration(wait))
}

// scanInterval is the time in nanoseconds between searches of the queues for expired
// deadlines.
const scanInterval = 5e6

// Tick starts queued requests for which a slot is free and refuses those whose
// deadline has passed. Call it after Done and every few milliseconds. The returned
// slice is valid until the next call.
func (b *Balancer) Tick(now time.Time) []Event {
	t := b.ns(now)
	b.events = b.events[:0]
	if b.queues[0].len()+b.queues[1].len() == 0 {
		return nil
	}
	if t-b.scannedAt >= scanInterval {
		b.scannedAt = t
		b.expire(t, &b.queues[0])
		b.expire(t, &b.queues[1])
	}
	for {
		first, second := Short, Long
		// Long work is served first until it occupies half of the slots open to it,
		// so that short work can't starve it.
		if b.inFlight[Long-1] < max(1, b.ownLong/2) {
			first, second = Long, Short
		}
		if !b.dispatch(t, first) && !b.dispatch(t, second) {
			return b.events
		}
	}
}

func (b *Balancer) dispatch(t int64, c Class) bool {
	q := &b.queues[c-1]
	if q.len() == 0 || len(b.active) == 0 {
		return false
	}
	i := b.choose(t, c)
	if i == none {
		return false
	}
	s := q.pop()
	b.startFlight(t, s, i)
	b.events = append(b.events, Event{Ticket: b.ticket(s)})
	return true
}

func (b *Balancer) expire(t int64, q *queue) {
	for k := q.head; k < len(q.slots); k++ {
		s := q.slots[k]
		if s == none || b.flights[s].deadline > t {
			continue
		}
		e := Event{Ticket: b.ticket(s), Err: verdict.New(verdict.NotRun, verdict.ReasonDeadline, 0)}
		b.events = append(b.events, e)
		q.slots[k] = none
		q.count--
		b.releaseFlight(s)
	}
	if q.count == 0 {
		q.slots, q.head = q.slots[:0], 0
	}
}
