package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/lookup"
	"github.com/currantferry/currantferry/verdict"
)

// keyReleasePause is the pause before a resend if the key is still in progress
// although all earlier sends were refused as not run. The VM that refused sends its
// refusal before it has released the key, which takes up to one round trip between
// regions (110 ms).
const keyReleasePause = 150 * time.Millisecond

// request is the state of a request over all its sends.
type request struct {
	client *Client
	ctx    context.Context
	r      *Request
	// queue holds the VMs to try next, in order of preference, from the last lookup.
	queue    []lookup.ResponseVM
	numSends int
	// outstanding holds the sends without a result, by number.
	outstanding map[int]*outstandingSend
	results     chan result

	// refused is the last refusal, and err the last error.
	refused *Answer
	err     error
	// uncertain is set if a send may have run but has no final answer.
	uncertain bool
	// unresolved is set if a send ended without a refusal as not run.
	unresolved bool
	// pause is the wait before the next send.
	pause time.Duration
}

// outstandingSend is a send without a result.
type outstandingSend struct {
	vm lookup.ResponseVM
	// hedged is set if the request was sent to another VM as well, because this VM
	// doesn't answer.
	hedged bool
}

type result struct {
	send   int
	answer *Answer
	err    error
}

// Do sends a request and returns the answer, which may be a refusal. It returns an
// error if no VM answered. A request that is safe to resend is hedged if its VM stops
// answering: it is sent to another VM without waiting for the first one.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	q := &request{client: c, ctx: ctx, r: &r, outstanding: make(map[int]*outstandingSend), results: make(chan result, c.options.MaxSends)}
	for {
		q.waitPause()
		if err := q.send(); err != nil && len(q.outstanding) == 0 {
			if q.refused != nil {
				return q.finish(q.refused), nil
			}
			return nil, err
		}
		answer, resend := q.wait()
		switch {
		case resend:
		case answer != nil:
			return q.finish(answer), nil
		default:
			return nil, q.err
		}
	}
}

// waitPause waits for the pause before the next send.
func (q *request) waitPause() {
	if q.pause == 0 {
		return
	}
	timer := time.NewTimer(q.pause)
	defer timer.Stop()
	q.pause = 0
	select {
	case <-timer.C:
	case <-q.ctx.Done():
	}
}

// finish completes the answer with the number of sends and whether one may have run.
func (q *request) finish(a *Answer) *Answer {
	a.Sends, a.uncertain = q.numSends, q.uncertain
	return a
}

// send sends the request to the next VM.
func (q *request) send() error {
	if len(q.queue) == 0 {
		found, err := q.client.Lookup(q.ctx, q.r.Service)
		if err != nil {
			return err
		}
		if q.queue = q.client.preferenceOrder(found.VMs); len(q.queue) == 0 {
			return errors.New("lookup: no entry VM")
		}
	}
	vm := q.queue[0]
	q.queue = q.queue[1:]
	n := q.numSends
	q.numSends++
	q.outstanding[n] = &outstandingSend{vm: vm}
	go func() {
		answer, err := q.client.send(q.ctx, vm, q.r)
		q.results <- result{n, answer, err}
	}()
	return nil
}

// wait returns the final answer, or true if the request is to be sent to another VM.
// It returns neither if all sends ended in errors.
func (q *request) wait() (*Answer, bool) {
	timer := time.NewTimer(noAnswerTimeout)
	defer timer.Stop()
	for {
		select {
		case res := <-q.results:
			delete(q.outstanding, res.send)
			canResend := q.recordResult(res)
			if res.answer != nil && res.answer != q.refused {
				return res.answer, false
			}
			if canResend && q.canSend() {
				return nil, true
			}
			if len(q.outstanding) == 0 {
				return q.refused, false
			}
		case <-timer.C:
			if q.shouldHedge() {
				return nil, true
			}
			timer.Reset(noAnswerTimeout / 3)
		}
	}
}

func (q *request) canSend() bool { return q.numSends < q.client.options.MaxSends && q.ctx.Err() == nil }

// recordResult records the result of a send and reports whether the request may be
// sent to another VM after it.
func (q *request) recordResult(res result) bool {
	if res.err != nil {
		q.err = res.err
		if !isDialError(res.err) {
			q.uncertain, q.unresolved = true, true
		}
		return q.isResendSafe() || isDialError(res.err)
	}
	v, reason, refused := res.answer.Refusal()
	if !refused {
		return false
	}
	q.refused = res.answer
	if v != verdict.NotRun {
		q.uncertain = true
	}
	if reason == verdict.ReasonKeyInProgress && res.send > 0 && !q.unresolved && len(q.outstanding) == 0 {
		q.pause = keyReleasePause
		return true
	}
	q.unresolved = q.unresolved || v != verdict.NotRun
	return res.answer.Status >= http.StatusInternalServerError && verdict.CanResend(v, q.r.Idempotent)
}

// isResendSafe reports whether a second send is harmless.
func (q *request) isResendSafe() bool { return q.r.Idempotent || q.r.Key != "" }

// shouldHedge reports whether the request is to be sent to another VM because one with
// an outstanding send has stopped answering, and marks that send as hedged. The send
// is not cancelled: its VM may have acquired the key, and then only its answer is
// useful.
func (q *request) shouldHedge() bool {
	if !q.isResendSafe() || !q.canSend() {
		return false
	}
	for _, o := range q.outstanding {
		if !o.hedged && q.client.isSuspect(o.vm.Address) {
			o.hedged = true
			return true
		}
	}
	return false
}

// isDialError reports whether no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
