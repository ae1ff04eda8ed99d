package proxy

import (
	"net/http"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/verdict"
)

// serve answers an admitted request, or refuses it.
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
	if x.transit == nil {
		x.h.options.Budget.CountRequest(x.query.Service.Name, x.caller)
	}
	err := x.attemptAll()
	if err == nil {
		return
	}
	switch {
	case x.claim == nil:
	case err.Verdict == verdict.NotRun:
		x.claim.Release()
	default:
		x.claim.MarkUnknown()
	}
	x.refuse(err)
}

// acquireClaim sets the claim, if the request needs one.
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

// attemptAll sends the request until it is answered or no further attempt is
// allowed. The verdict of the error covers all attempts: it is NotRun only if no
// attempt may have run.
func (x *exchange) attemptAll() *verdict.Error {
	for {
		err := x.attemptOnce()
		if err == nil {
			return nil
		}
		x.mayHaveRun = x.mayHaveRun || err.Verdict != verdict.NotRun
		if finalErr := x.checkRetry(err); finalErr != nil {
			final := *finalErr
			final.Verdict = verdict.NotRun
			if x.mayHaveRun {
				final.Verdict = verdict.MayHaveRun
			}
			return &final
		}
		x.recordRetry(err)
		x.query.IsRetry = true
	}
}

// recordRetry counts and logs that another attempt follows after err.
func (x *exchange) recordRetry(err *verdict.Error) {
	x.h.options.Metrics.CountRetry(err.Reason)
	event.RequestRetried.Log(x.h.options.Log, append(x.logAttrs(), "instance", x.lastInstance(), "reason", string(err.Reason),
		"verdict", err.Verdict.String(), "error", err.Err)...)
}

// checkRetry returns nil if another attempt is allowed after err, or else the final
// error of the request.
func (x *exchange) checkRetry(err *verdict.Error) *verdict.Error {
	if x.answerStarted || x.ctx.Err() != nil || (x.claim == nil && x.r.Context().Err() != nil) || x.attempts == 0 || x.attempts-x.unsent >= x.maxAttempts {
		return err
	}
	if x.isRefusalFinal {
		return err
	}
	switch err.Reason {
	case verdict.ReasonNoUpstream, verdict.ReasonSaturated, verdict.ReasonLongShare, verdict.ReasonRegionLimit,
		verdict.ReasonLinkLimit, verdict.ReasonShiftCap, verdict.ReasonDeadlineAhead, verdict.ReasonCrashGuard, verdict.ReasonAskedToWait, verdict.ReasonAtLimit,
		verdict.ReasonPrecedence, verdict.ReasonTeamShare:
		// The selector or the crash guard refused and would refuse again.
		return err
	}
	if !verdict.CanResend(err.Verdict, x.query.Idempotent) {
		return err
	}
	if !x.body.isRepeatable() {
		return &verdict.Error{Verdict: err.Verdict, Reason: verdict.ReasonBodyNotRepeatable, RetryAfter: x.h.options.DefaultRetryAfter, Err: err}
	}
	if err.Reason == verdict.ReasonConnectFailed || err.Reason == verdict.ReasonWithdrawn || err.Reason == verdict.ReasonConnectionLimit || (err.Verdict == verdict.NotRun && isVMReason(err.Reason)) {
		// Nothing was sent to an instance, so a retry adds no load and needs no
		// retry budget.
		if x.unsent++; x.unsent <= maxUnsent {
			return nil
		}
		return err
	}
	if !x.h.options.Budget.TakeRetry(x.query.Service.Name, x.caller) {
		return &verdict.Error{Verdict: err.Verdict, Reason: verdict.ReasonRetryBudget, RetryAfter: x.h.options.DefaultRetryAfter, Err: err}
	}
	return nil
}

// lastInstance returns the ID of the instance that was tried last, or "".
func (x *exchange) lastInstance() string {
	if len(x.query.Exclude) == 0 {
		return ""
	}
	return x.query.Exclude[len(x.query.Exclude)-1]
}

// maxUnsent bounds the attempts of one request that end before it is sent: the
// connection failed, or the selection was withdrawn.
const maxUnsent = 3

// attemptOnce makes one attempt, with others beside it if it is late or this VM loses its
// path to the instances, and forwards the answer.
func (x *exchange) attemptOnce() *verdict.Error {
	selection, err := x.h.options.Selector.Select(x.ctx, &x.query)
	if err != nil {
		return asError(err)
	}
	x.attempts++
	first := x.newAttempt(selection)
	x.query.Exclude = append(x.query.Exclude, selection.Instance().ID)
	winner := x.send(first)
	if winner.err != nil {
		return winner.err
	}
	if x.transit != nil {
		x.w.Header().Set(headerTransitInstance, winner.selection.Instance().ID)
		x.setTransitRoutes(x.query.Routes)
	}
	return x.deliver(winner)
}
