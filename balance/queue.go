package balance

import (
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// Event tells the end of a wait in the entry VM.
type Event struct {
	// Ticket has the key of the ticket that Pick returned, and the instance if
	// the request has started.
	Ticket Ticket
	// Err is a refusal that says NotRun, or nil.
	Err *verdict.Error
}

// queue is first-in first-out. Withdrawn requests leave a gap.
type queue struct {
	slots []int32
	head  int
	n     int // without gaps
}

func (q *queue) len() int { return q.n }

func (q *queue) push(s int32) {
	q.slots = append(q.slots, s)
	q.n++
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
	q.n--
	if q.n == 0 {
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
			q.n--
			break
		}
	}
	if q.n == 0 {
		q.slots, q.head = q.slots[:0], 0
	}
}

// wait estimates how long one more request of a class would wait here.
func (b *Balancer) wait(c Class) float64 {
	ahead := float64(b.queues[c-1].len() + 1)
	short, long := float64(b.out[Short-1]), float64(b.out[Long-1])
	rate := short/b.service[Short-1].mean + long/b.service[Long-1].mean
	if c == Long {
		// Short work goes first, except in the slots that long work keeps.
		rate = max(1, long) / b.service[Long-1].mean
	}
	return ahead / max(rate, 1/b.service[c-1].mean)
}

func (b *Balancer) enqueue(t int64, r *Request, c Class, deadline int64) (Ticket, error) {
	wait := b.wait(c)
	if float64(deadline-t) < wait+b.service[c-1].mean {
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
	b.notePeak(t)
	return b.ticket(s), nil
}

// retryAfter is the wait, at least 100 ms so that callers don't return at once.
func retryAfter(wait float64) time.Duration {
	return max(100*time.Millisecond, time.Duration(wait))
}

// scanEvery is how often the queues are searched for passed deadlines, in
// nanoseconds.
const scanEvery = 5e6

// Tick starts waiting work for which a slot is free and refuses work whose
// deadline has passed. Call it after Done and every few milliseconds. The slice
// is valid until the next call.
func (b *Balancer) Tick(now time.Time) []Event {
	t := b.ns(now)
	b.events = b.events[:0]
	if b.queues[0].len()+b.queues[1].len() == 0 {
		return nil
	}
	if t-b.scanned >= scanEvery {
		b.scanned = t
		b.expire(t, &b.queues[0])
		b.expire(t, &b.queues[1])
	}
	for {
		first, second := Short, Long
		// Long work goes first until it runs in half of the slots open to it, so
		// that a flood of short work can't starve it.
		if b.out[Long-1] < max(1, b.ownLong/2) {
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
	b.start(t, s, i)
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
		q.n--
		b.release(s)
	}
	if q.n == 0 {
		q.slots, q.head = q.slots[:0], 0
	}
}
