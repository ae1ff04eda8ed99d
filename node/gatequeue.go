package node

import (
	"context"
	"slices"
	"time"

	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// maxGateWait bounds how long a request waits for capacity in any region. It is
	// below usual deadlines, so that a refusal still reaches the caller in time. At
	// 90 % load and 200 ms of service time, a VM with 3 slots refuses up to 2.6 % of
	// the requests with a bound of 1 s, and 0.7 % with 2 s.
	maxGateWait = 2 * time.Second
	// maxGateWaiters bounds the waiting requests of a service.
	maxGateWaiters = 1024
)

// gateQueue holds the requests of a service that wait for the gate, in order of
// arrival. A nil queue is empty.
type gateQueue struct {
	// waiters has a channel for each request. The first is signalled when there may
	// be capacity.
	waiters []chan struct{}
}

// wake lets the first waiting request try again. The caller holds the lock of the
// selector.
func (q *gateQueue) wake() {
	if q == nil || len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0] <- struct{}{}:
	default:
	}
}

// admit asks the gate for a grant. It waits if other requests wait already or there
// is no capacity.
func (s *selector) admit(ctx context.Context, q *proxy.Query) (plan.Grant, error) {
	request := plan.Request{Service: q.Service.Name, Bytes: max(0, q.Bytes)}
	s.mu.Lock()
	queue := s.queues[q.Service.Name]
	if queue == nil {
		queue = new(gateQueue)
		s.queues[q.Service.Name] = queue
	}
	var refused *verdict.Error
	if len(queue.waiters) == 0 {
		var grant plan.Grant
		if grant, refused = s.gate.Admit(time.Now(), request); refused == nil {
			s.mu.Unlock()
			return grant, nil
		}
	}
	if len(queue.waiters) >= maxGateWaiters || (refused != nil && !isCapacityRefusal(refused)) {
		s.mu.Unlock()
		if refused == nil {
			refused = verdict.New(verdict.NotRun, verdict.ReasonRegionLimit, time.Second)
		}
		return plan.Grant{}, refused
	}
	signal := make(chan struct{}, 1)
	queue.waiters = append(queue.waiters, signal)
	s.mu.Unlock()
	return s.awaitCapacity(ctx, queue, signal, request)
}

// isCapacityRefusal reports whether the reason of a refusal may end when other requests
// end.
func isCapacityRefusal(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonRegionLimit, verdict.ReasonLinkLimit, verdict.ReasonShiftCap:
		return true
	default:
		return false
	}
}

// awaitCapacity tries again at each signal until the request is admitted, maxGateWait
// has passed or ctx has ended.
func (s *selector) awaitCapacity(ctx context.Context, queue *gateQueue, signal chan struct{}, request plan.Request) (plan.Grant, error) {
	timer := time.NewTimer(maxGateWait)
	defer timer.Stop()
	refused := verdict.New(verdict.NotRun, verdict.ReasonRegionLimit, time.Second)
	for {
		var ended bool
		select {
		case <-signal:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		s.mu.Lock()
		if queue.waiters[0] == signal {
			grant, err := s.gate.Admit(time.Now(), request)
			if err == nil {
				queue.remove(signal)
				s.mu.Unlock()
				return grant, nil
			}
			refused = err
		}
		if ended {
			queue.remove(signal)
		}
		s.mu.Unlock()
		if ended {
			return plan.Grant{}, refused
		}
	}
}

// remove takes a request out of the queue and lets the next one try. The caller holds
// the lock of the selector.
func (q *gateQueue) remove(signal chan struct{}) {
	if i := slices.Index(q.waiters, signal); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	q.wake()
}

// backloggedServices returns the services whose requests wait for the gate, or would
// wait if one arrived now.
func (s *selector) backloggedServices() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]bool, len(s.queues))
	for service, q := range s.queues {
		q.wake()
		if len(q.waiters) > 0 || s.gate.IsFull(service) {
			out[service] = true
		}
	}
	return out
}
