// Package verdict classifies failed requests by whether an upstream may have run them,
// and by the reason of the failure.
package verdict

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Verdict is what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an unclassified error never permits a resend.
	MayHaveRun Verdict = iota
	// NotRun is proven: the request was never written to an upstream, or the upstream
	// stated that it did not run it.
	NotRun
	// Ran means that an upstream completed the request.
	Ran
)

// Header names of a refusal. HeaderVerdict has the values of Verdict.String, and
// HeaderReason those of the Reason constants.
const (
	HeaderVerdict = "Currantferry-Verdict"
	HeaderReason  = "Currantferry-Reason"
)

func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the value of HeaderVerdict. Unknown values are MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is a refusal or failure of a request.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the time after which the caller may retry. If it is zero, the refusal
	// has no Retry-After header.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// New returns an error without a cause.
func New(v Verdict, r Reason, retryAfter time.Duration) *Error {
	return &Error{Verdict: v, Reason: r, RetryAfter: retryAfter}
}

// Wrap returns an error with a cause.
func Wrap(err error, v Verdict, r Reason) *Error {
	return &Error{Verdict: v, Reason: r, Err: err}
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err, or MayHaveRun if err has none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// CanResend reports whether a request that failed with v may be sent to another
// upstream. A request that is not idempotent is sent again only if it is proven not to
// have run.
func CanResend(v Verdict, idempotent bool) bool {
	return v == NotRun || (idempotent && v == MayHaveRun)
}

// WriteHeaders sets the headers of a refusal, including Proxy-Status of RFC 9209.
// Retry-After is in whole seconds, rounded up.
func (e *Error) WriteHeaders(h http.Header, proxy string) {
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, string(e.Reason))
	h.Set("Proxy-Status", fmt.Sprintf("%s; error=%s; details=%q", proxy, e.Reason.ProxyError(), string(e.Reason)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
}
