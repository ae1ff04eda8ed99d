// Package verdict says, for every request that ends without an answer from an
// upstream, whether the request may have run.
package verdict

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Verdict tells what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an error nobody classified is
	// never taken as permission to send a request again.
	MayHaveRun Verdict = iota
	// NotRun is proven: the request was never written to an upstream, or the
	// upstream itself said that it did not run it.
	NotRun
	// Ran means that an upstream completed the request.
	Ran
)

// Header names of a refusal. The values of HeaderVerdict are those of
// Verdict.String; those of HeaderReason are the Reason constants.
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

// Parse reads the header form of a verdict. Unknown text is MayHaveRun.
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
	// RetryAfter tells the caller when to come back. Zero means that the
	// caller gets no such advice.
	RetryAfter time.Duration
	// Err is the cause. Nil is allowed.
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

// Of returns the verdict of err, which is MayHaveRun where err carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// MayResend tells whether a request that failed with v may be sent to another
// upstream. A request that is not idempotent is sent again only when it is
// proven not to have run.
func MayResend(v Verdict, idempotent bool) bool {
	return v == NotRun || (idempotent && v == MayHaveRun)
}

// WriteHeaders sets the headers of a refusal, RFC 9209's Proxy-Status among
// them. Retry-After is in whole seconds, rounded up.
func (e *Error) WriteHeaders(h http.Header, proxy string) {
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, string(e.Reason))
	h.Set("Proxy-Status", fmt.Sprintf("%s; error=%s; details=%q", proxy, e.Reason.ProxyError(), string(e.Reason)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
}
