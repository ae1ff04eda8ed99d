package oncerpc

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/verdict"
)

// answerTimeout bounds the call that fetches a kept answer from another VM.
const answerTimeout = time.Second

// Grant is the permission to run a request once. It must be ended by one call of
// Release, Done or MarkUnknown; further calls have no effect.
type Grant struct {
	r   *Runner
	key once.Key
	seq uint64
	// Attempt is the number of the grant for the key, from 1.
	Attempt int
}

// Claim asks for the permission to run the request of a key. The fingerprint
// identifies the content of the request; a key that is in use with another
// fingerprint is refused. The error is a *DoneError if the request ran before,
// otherwise a *verdict.Error.
func (r *Runner) Claim(ctx context.Context, key once.Key, fingerprint uint64) (*Grant, error) {
	ch := make(chan once.Answer, 1)
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil, verdict.New(verdict.NotRun, verdict.ReasonStopping, time.Second)
	}
	seq, eff := r.m.Claim(time.Now(), key, fingerprint)
	r.claims[seq] = ch
	r.apply(eff)
	r.mu.Unlock()
	var a once.Answer
	select {
	case a = <-ch:
	case <-ctx.Done():
		return nil, r.abandon(ctx.Err(), seq)
	case <-r.ctx.Done():
		return nil, r.abandon(r.ctx.Err(), seq)
	}
	if a.Err == nil {
		r.metrics.claim("granted")
		return &Grant{r: r, key: key, seq: seq, Attempt: int(a.Attempt)}, nil
	}
	r.metrics.claim(string(a.Err.Reason))
	if a.Err.Verdict != verdict.Ran {
		return nil, a.Err
	}
	return nil, &DoneError{Err: a.Err, Status: a.Status, Answer: r.fetchAnswer(ctx, key, &a)}
}

// abandon cancels a claim and returns the error for its caller. A grant that
// arrived meanwhile is released.
func (r *Runner) abandon(cause error, seq uint64) error {
	r.mu.Lock()
	delete(r.claims, seq)
	r.apply(r.m.Abandon(time.Now(), seq))
	r.mu.Unlock()
	r.metrics.claim("abandoned")
	e := verdict.Wrap(errors.Wrap(cause, "oncerpc: claim"), verdict.NotRun, verdict.ReasonKeyUnavailable)
	e.RetryAfter = time.Second
	return e
}

// fetchAnswer returns the kept answer of a request that ran on this or another VM,
// or nil if there is none.
func (r *Runner) fetchAnswer(ctx context.Context, key once.Key, a *once.Answer) *Answer {
	if a.Holder == r.opt.Config.Self.VM {
		return r.KeptAnswer(a.Incarnation, key)
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	kept, err := r.opt.Transport.Answer(ctx, a.Holder, a.Incarnation, key)
	if err != nil {
		r.metrics.answer("failed")
		return nil
	}
	if kept == nil {
		r.metrics.answer("missing")
		return nil
	}
	r.metrics.answer("served")
	return kept
}

// KeptAnswer returns the answer of a request that the given incarnation of this VM
// ran, or nil if it is not kept. The answer must not be changed.
func (r *Runner) KeptAnswer(incarnation uint64, key once.Key) *Answer {
	if incarnation != r.opt.Config.Self.Incarnation {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keptAnswers.byKey[key]
}

// Done records that the request ran, and keeps its answer if it is small enough.
// The answer may be nil and must not be changed afterwards. Done does not wait;
// the completion is sent again until the owner has acknowledged it, for up to 30 s.
func (g *Grant) Done(status int, answer *Answer) {
	g.r.mu.Lock()
	defer g.r.mu.Unlock()
	g.r.keptAnswers.put(g.key, answer)
	g.r.apply(g.r.m.Done(time.Now(), g.seq, status))
}

// Release records that the request is proven not to have run, so that the key may
// be granted again. It waits until all members have recorded the release or ctx
// ends. In either case the release is sent again, if necessary, for up to 30 s.
func (g *Grant) Release(ctx context.Context) error {
	r := g.r
	ch := make(chan struct{})
	r.mu.Lock()
	r.settled[g.seq] = ch
	r.apply(r.m.Release(time.Now(), g.seq))
	if !r.m.IsSettling(g.seq) {
		delete(r.settled, g.seq)
		r.mu.Unlock()
		return nil
	}
	r.mu.Unlock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	r.mu.Lock()
	delete(r.settled, g.seq)
	r.mu.Unlock()
	return errors.Wrap(ctx.Err(), "oncerpc: release")
}

// MarkUnknown ends the grant of a request whose outcome is unknown. The key stays
// claimed until retention ends, so that the request is not run again.
func (g *Grant) MarkUnknown() {
	g.r.mu.Lock()
	defer g.r.mu.Unlock()
	g.r.apply(g.r.m.MarkUnknown(time.Now(), g.seq))
}
