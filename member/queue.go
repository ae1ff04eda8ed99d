package member

import "slices"

// queue holds items that are sent a limited number of times each, in
// descending order of the sends that are left.
type queue[T comparable] struct {
	items []queued[T]
}

type queued[T comparable] struct {
	item      T
	sendsLeft int
}

// push adds an item or restarts its count. An item that was not sent yet keeps
// its place: otherwise items that change more often than the queue is emptied
// would never be sent.
func (q *queue[T]) push(item T, sends int) {
	for i := range q.items {
		if q.items[i].item == item && q.items[i].sendsLeft == sends {
			return
		}
	}
	q.remove(item)
	i, _ := slices.BinarySearchFunc(q.items, sends, func(e queued[T], left int) int {
		// Descending by sendsLeft; equal ones keep their order of arrival.
		if e.sendsLeft >= left {
			return -1
		}
		return 1
	})
	q.items = slices.Insert(q.items, i, queued[T]{item, sends})
}

func (q *queue[T]) remove(item T) {
	q.items = slices.DeleteFunc(q.items, func(e queued[T]) bool { return e.item == item })
}

// take calls send for items in order until it returns stop. Each item for
// which it returns sent has one send less left.
func (q *queue[T]) take(send func(T) (sent, stop bool)) {
	var resend []queued[T]
	keep := q.items[:0]
	stopped := false
	for _, e := range q.items {
		if stopped {
			keep = append(keep, e)
			continue
		}
		sent, stop := send(e.item)
		stopped = stop
		if !sent {
			keep = append(keep, e)
			continue
		}
		if e.sendsLeft--; e.sendsLeft > 0 {
			resend = append(resend, e)
		}
	}
	q.items = keep
	for _, e := range resend {
		q.push(e.item, e.sendsLeft)
	}
}
