package proxy

import (
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/verdict"
)

// serve answers the request or refuses it.
func (x *exchange) serve() {
	if err := x.acquireClaim(); err != nil {
		x.refuse(err)
		return
	}
	if x.claim != nil && x.claim.Kept() != nil {
		x.replay(x.claim.Kept())
		return
	}
	if x.body.rest != nil {
		// An upstream may answer before it has read the whole body.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	x.h.options.Budget.Sent(x.query.Service.Name, x.caller)
	err := x.attemptAll()
	if err == nil {
		return
	}
	switch {
	case x.claim == nil:
	case err.Verdict == verdict.NotRun:
		x.claim.Release()
	default:
		x.claim.Forget()
	}
	x.refuse(err)
}

// acquireClaim takes the claim of a keyed request.
func (x *exchange) acquireClaim() error {
	if !x.isClaimed() {
		return nil
	}
	claim, err := x.h.options.Claimer.Claim(x.ctx, x.query.Service.Name, x.key, x.fingerprint)
	if err != nil {
		return err
	}
	x.claim = claim
	return nil
}

// attemptAll sends the request until it is answered or must be given up. The
// verdict of the error covers all attempts: it says not run only if none may
// have run.
func (x *exchange) attemptAll() *verdict.Error {
	worst := verdict.NotRun
	for {
		err := x.attemptOnce()
		if err == nil {
			return nil
		}
		if err.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}
		if finalErr := x.checkRetry(err); finalErr != nil {
			final := *finalErr
			final.Verdict = worst
			return &final
		}
		x.h.options.Metrics.Retried(err.Reason)
		event.RequestRetried.Log(x.h.options.Log, append(x.logAttrs(), "instance", x.lastInstance(), "reason", string(err.Reason),
			"verdict", err.Verdict.String(), "error", err.Err)...)
		x.query.IsRetry = true
	}
}

// checkRetry returns nil if another attempt is allowed, or the final error.
func (x *exchange) checkRetry(err *verdict.Error) *verdict.Error {
	if x.answerStarted || x.ctx.Err() != nil || (x.claim == nil && x.r.Context().Err() != nil) || x.attempts == 0 || x.attempts-x.unsent >= x.maxAttempts {
		return err
	}
	switch err.Reason {
	case verdict.ReasonNoUpstream, verdict.ReasonSaturated, verdict.ReasonLongShare, verdict.ReasonRegionLimit,
		verdict.ReasonLinkLimit, verdict.ReasonShiftCap, verdict.ReasonDeadlineAhead, verdict.ReasonCrashGuard, verdict.ReasonAskedToWait:
		// The selector or the guard refused; it would refuse again.
		return err
	}
	if !verdict.MayResend(err.Verdict, x.query.Idempotent) {
		return err
	}
	if !x.body.isRepeatable() {
		return &verdict.Error{Verdict: err.Verdict, Reason: verdict.ReasonBodyNotRepeating, RetryAfter: x.h.options.RetryAdvice, Err: err}
	}
	if err.Reason == verdict.ReasonConnectFailed || err.Reason == verdict.ReasonWithdrawn {
		// Nothing reached an instance, so the retry adds nothing to its load.
		if x.unsent++; x.unsent <= maxUnsent {
			return nil
		}
		return err
	}
	if !x.h.options.Budget.Retry(x.query.Service.Name, x.caller) {
		return &verdict.Error{Verdict: err.Verdict, Reason: verdict.ReasonRetryBudget, RetryAfter: x.h.options.RetryAdvice, Err: err}
	}
	return nil
}

// lastInstance is the one that was tried last.
func (x *exchange) lastInstance() string {
	if len(x.query.Exclude) == 0 {
		return ""
	}
	return x.query.Exclude[len(x.query.Exclude)-1]
}

// maxUnsent bounds the instances of one request that can't be connected to, or that
// are left before it is sent.
const maxUnsent = 3

// attemptOnce makes one attempt, hedged if it is a slow read, and passes the
// answer on.
func (x *exchange) attemptOnce() *verdict.Error {
	selection, err := x.h.options.Selector.Select(x.ctx, &x.query)
	if err != nil {
		return asError(err)
	}
	x.attempts++
	first := x.newAttempt(selection)
	x.query.Exclude = append(x.query.Exclude, selection.Instance().ID)
	winner := x.sendWithHedge(first)
	if winner.err != nil {
		winner.fail()
		return winner.err
	}
	return x.deliver(winner)
}

// A hedge may be refused for the moment, since the budget or the free slots are
// used up. It is asked for again after minHedgeRetryDelay, which doubles up to
// maxHedgeRetryDelay: at an instance that froze, the request would otherwise wait
// until its deadline.
const (
	minHedgeRetryDelay = 20 * time.Millisecond
	maxHedgeRetryDelay = 160 * time.Millisecond
)

// sendWithHedge sends an attempt, and a hedge if the answer is late. It returns the first
// attempt with an answer, or the last failure; all others have ended.
func (x *exchange) sendWithHedge(first *attempt) *attempt {
	delay, ok := first.selection.HedgeAfter()
	if !ok || !x.query.Idempotent || !x.body.isRepeatable() || x.body.rest != nil {
		first.send()
		return first
	}
	done := make(chan *attempt, 2)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { first.send(); done <- first })
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var second *attempt
	for retryDelay := max(delay, minHedgeRetryDelay); second == nil; retryDelay = min(2*retryDelay, maxHedgeRetryDelay) {
		select {
		case a := <-done:
			return a
		case <-timer.C:
		}
		second = x.hedge(first)
		timer.Reset(retryDelay)
	}
	group.Go(func() { second.send(); done <- second })
	winner := <-done
	if winner.err != nil {
		winner.fail()
		return <-done
	}
	loser := first
	if winner == first {
		loser = second
	}
	loser.cancel()
	<-done
	loser.endLoser()
	return winner
}

// hedge selects an instance for a second attempt, or returns nil.
func (x *exchange) hedge(first *attempt) *attempt {
	selection, ok := first.selection.Hedge()
	if !ok {
		return nil
	}
	x.query.Exclude = append(x.query.Exclude, selection.Instance().ID)
	x.h.options.Metrics.Retried(verdict.ReasonSlowUpstream)
	return x.newAttempt(selection)
}

// endLoser ends an attempt that another one overtook.
func (a *attempt) endLoser() {
	if a.res != nil {
		a.res.Body.Close()
	}
	o := Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonSlowUpstream, Cancelled: true}
	if a.err != nil {
		o.Verdict = a.err.Verdict
	}
	a.finish(o)
}
