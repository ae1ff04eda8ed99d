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

// releasePause is the wait before a resend whose key is in progress, although
// every send before was refused as not run: the VM that refused gives the key
// back without holding its refusal back, which takes up to one round trip
// between regions (110 ms).
const releasePause = 150 * time.Millisecond

// request is one request on its way through entry VMs.
type request struct {
	c   *Client
	ctx context.Context
	r   *Request
	// queue are the VMs to ask next, by the last lookup.
	queue []lookup.ResponseVM
	sends int
	// out are the sends without a result, by number.
	out     map[int]*out
	results chan result

	// refused is the last refusal, err the last error.
	refused *Answer
	err     error
	// uncertain is set when a send may have run without an answer.
	uncertain bool
	// lost is set when a send ended without a refusal that says not run.
	lost bool
	// pause before the next send.
	pause time.Duration
}

// out is a send without a result.
type out struct {
	vm lookup.ResponseVM
	// passed is set when another VM was asked because this one is silent.
	passed bool
}

type result struct {
	send   int
	answer *Answer
	err    error
}

// Do sends a request. It returns an error when no VM answered at all; a refusal
// is an Answer. A request that another VM may be asked for as well is not left
// waiting at a VM that has ceased to answer.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	q := &request{c: c, ctx: ctx, r: &r, out: make(map[int]*out), results: make(chan result, c.options.MaxSends)}
	for {
		q.rest()
		if err := q.send(); err != nil && len(q.out) == 0 {
			if q.refused != nil {
				return q.end(q.refused), nil
			}
			return nil, err
		}
		answer, again := q.wait()
		switch {
		case again:
		case answer != nil:
			return q.end(answer), nil
		default:
			return nil, q.err
		}
	}
}

// rest waits for the pause before the next send.
func (q *request) rest() {
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

func (q *request) end(a *Answer) *Answer {
	a.Sends, a.uncertain = q.sends, q.uncertain
	return a
}

// send sends the request to the next VM.
func (q *request) send() error {
	if len(q.queue) == 0 {
		found, err := q.c.Lookup(q.ctx, q.r.Service)
		if err != nil {
			return err
		}
		if q.queue = q.c.order(found.VMs); len(q.queue) == 0 {
			return errors.New("lookup: no entry VM")
		}
	}
	vm := q.queue[0]
	q.queue = q.queue[1:]
	n := q.sends
	q.sends++
	q.out[n] = &out{vm: vm}
	go func() {
		answer, err := q.c.send(q.ctx, vm, q.r)
		q.results <- result{n, answer, err}
	}()
	return nil
}

// wait returns the final answer, or true when another VM is to be asked. Both
// are absent when only errors came.
func (q *request) wait() (*Answer, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case res := <-q.results:
			delete(q.out, res.send)
			mayResend := q.note(res)
			if res.answer != nil && res.answer != q.refused {
				return res.answer, false
			}
			if mayResend && q.maySend() {
				return nil, true
			}
			if len(q.out) == 0 {
				return q.refused, false
			}
		case <-timer.C:
			if q.passSilent() {
				return nil, true
			}
			timer.Reset(patience / 3)
		}
	}
}

func (q *request) maySend() bool { return q.sends < q.c.options.MaxSends && q.ctx.Err() == nil }

// note records a result and tells whether another VM may be asked after it.
func (q *request) note(res result) bool {
	if res.err != nil {
		q.err = res.err
		if !isNotSent(res.err) {
			q.uncertain, q.lost = true, true
		}
		return q.isSafe() || isNotSent(res.err)
	}
	v, reason, refused := res.answer.Refusal()
	if !refused {
		return false
	}
	q.refused = res.answer
	if v != verdict.NotRun {
		q.uncertain = true
	}
	if reason == verdict.ReasonKeyInProgress && res.send > 0 && !q.lost && len(q.out) == 0 {
		q.pause = releasePause
		return true
	}
	q.lost = q.lost || v != verdict.NotRun
	return res.answer.Status >= http.StatusInternalServerError && verdict.MayResend(v, q.r.Idempotent)
}

// isSafe tells whether a second send does no harm.
func (q *request) isSafe() bool { return q.r.Idempotent || q.r.Key != "" }

// passSilent tells whether another VM is to be asked because one of those that
// were asked has ceased to answer. The send there goes on: it may have been
// granted the key, and then only its answer is of use.
func (q *request) passSilent() bool {
	if !q.isSafe() || !q.maySend() {
		return false
	}
	for _, o := range q.out {
		if !o.passed && q.c.suspect(o.vm.Address) {
			o.passed = true
			return true
		}
	}
	return false
}

// isNotSent tells whether no connection was made.
func isNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
