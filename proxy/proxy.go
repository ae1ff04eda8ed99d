// Package proxy is the request path of an entry VM: it sends a caller's request
// to an upstream instance and passes the whole answer back, or refuses it with a
// verdict that says whether it may have run.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/verdict"
)

// Header names of the request path.
const (
	// HeaderService names the service where the Host does not.
	HeaderService = "Currantferry-Service"
	// HeaderTimeout is the caller's deadline in milliseconds from now. It is
	// passed on to the upstream, reduced by the time already spent.
	HeaderTimeout = "Currantferry-Timeout-Ms"
	// HeaderReplayed marks a kept answer of an earlier send.
	HeaderReplayed = "Currantferry-Replayed"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRequestID is passed on; where the upstream repeats it, it must match.
	HeaderRequestID = "X-Request-Id"
)

// proxyName identifies this system in Proxy-Status and Via.
const proxyName = "currantferry"

// Query is what a Selector knows about an attempt.
type Query struct {
	Service    *register.Service
	Route      register.Route
	Idempotent bool
	// Method and Path of the request, for classes by observed service time.
	Method string
	Path   string
	// Bytes is the declared length of the body, or -1.
	Bytes    int64
	Deadline time.Time
	// Exclude names instances that were tried already.
	Exclude []string
	// IsRetry marks an attempt after a failed one.
	IsRetry bool
	// Fingerprint identifies the request and its resends.
	Fingerprint [32]byte
}

// Instance is the target of an attempt.
type Instance struct {
	ID      string
	Address string
}

// Outcome is what became of an attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// Reason of a failure, or empty.
	Reason verdict.Reason
	// Latency until the header of the answer, or until the failure.
	Latency time.Duration
	// Cancelled attempts say nothing about the instance's health, except that
	// it took at least Latency.
	Cancelled bool
	// AnswerBytes is the length of the answer that was passed on.
	AnswerBytes int64
}

// Selection is an instance that was chosen, with the place that it takes up.
type Selection interface {
	Instance() Instance
	// HedgeAfter returns how long to wait before a read is hedged.
	HedgeAfter() (time.Duration, bool)
	// Hedge selects another instance for the same request, or returns false.
	Hedge() (Selection, bool)
	// Done frees the place. It is called exactly once.
	Done(o Outcome)
}

// Selector chooses instances. Select may wait until a place is free, and refuses
// with a *verdict.Error that says not run.
type Selector interface {
	Select(ctx context.Context, q *Query) (Selection, error)
}

// Claim is the right to run a request with an idempotency key.
type Claim interface {
	// Kept returns the answer of an earlier send, or nil.
	Kept() *Answer
	// Release says that the request was proven not to have run.
	Release()
	// Forget says that the request may have run, and nobody will know.
	Forget()
	// Done says that the request was answered. A nil body was not kept.
	Done(a *Answer)
}

// Claimer grants claims, or refuses with a *verdict.Error.
type Claimer interface {
	Claim(ctx context.Context, service, key string, fingerprint [32]byte) (Claim, error)
}

// Answer is a kept answer.
type Answer struct {
	Status int
	Header http.Header
	// Body is nil when it was too large to keep.
	Body []byte
}

// RetryBudget limits attempts after the first.
type RetryBudget interface {
	// Sent counts a first attempt.
	Sent(service, caller string)
	// Retry takes one retry from the budget.
	Retry(service, caller string) bool
}

// Services finds a service of the register in force, or nil.
type Services interface {
	Service(name string) *register.Service
}

// Options configures a Handler.
type Options struct {
	Services Services
	Selector Selector
	Claimer  Claimer
	Budget   RetryBudget
	Metrics  *metric.Set
	Log      *slog.Logger
	// Zone is the DNS zone of services, without dots at its ends. A Host of
	// SERVICE or SERVICE.ZONE names the service.
	Zone string
	// MaxConcurrent bounds the requests in flight. Zero means 4096.
	MaxConcurrent int
	// MaxBody bounds a request's body in bytes. Zero means 1 GiB.
	MaxBody int64
	// DefaultTimeout is the deadline where neither caller nor service states
	// one. Zero means register.DefaultTimeout.
	DefaultTimeout time.Duration
	// MaxAttempts bounds the attempts of a request. Zero means 3.
	MaxAttempts int
	// MaxConnections bounds the connections to one instance from this VM.
	// Zero means 100.
	MaxConnections int
	// Now is for tests. Nil means time.Now.
	Now func() time.Time
}

const (
	defaultMaxConcurrent  = 4096
	defaultMaxBody        = 1 << 30
	defaultMaxAttempts    = 3
	defaultMaxConnections = 100
	// smallBody is the size up to which bodies are held in memory, so that a
	// request can be sent again and an answer checked before it is passed on.
	smallBody = 64 << 10
	// fingerprintBytes of a larger body go into its fingerprint.
	fingerprintBytes = 4 << 10
	// retryAdvice is what callers are told when no better advice is known.
	retryAdvice = time.Second
	dialTimeout = 500 * time.Millisecond
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options   Options
	transport *http.Transport
	gate      gate
}

// New returns a handler.
func New(o Options) *Handler {
	if o.MaxConcurrent <= 0 {
		o.MaxConcurrent = defaultMaxConcurrent
	}
	if o.MaxBody <= 0 {
		o.MaxBody = defaultMaxBody
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Handler{options: o, transport: newTransport(o.MaxConnections), gate: gate{limit: o.MaxConcurrent}}
}

// SetReady lets callers in, or refuses them with "not-ready".
func (h *Handler) SetReady(ready bool) { h.gate.setReady(ready) }

// Stop refuses new requests and waits until those in flight have ended, or ctx
// has. It returns the number still in flight.
func (h *Handler) Stop(ctx context.Context) int {
	left := h.gate.stop(ctx)
	invariant.Check(invariant.NothingCutOff, left == 0, "%d requests in flight at the bound of the stop", left)
	h.transport.CloseIdleConnections()
	return left
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return h.gate.inFlight() }

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.gate.enter(); err != nil {
		h.refuse(w, err)
		return
	}
	defer h.gate.leave()
	x, err := h.newExchange(w, r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	defer x.cancel()
	x.serve()
}

// refuse writes the final answer of a request that this VM gives up on.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	e := asError(err)
	if e.RetryAfter == 0 && e.Verdict == verdict.NotRun && e.Reason.Status() >= http.StatusInternalServerError {
		e.RetryAfter = retryAdvice
	}
	h.options.Metrics.Refused(e.Reason)
	event.RequestRefused.Log(h.options.Log, "reason", string(e.Reason), "verdict", e.Verdict.String(), "error", e.Err)
	e.WriteHeaders(w.Header(), proxyName)
	// The cause stays in the log, since it may name internal addresses.
	http.Error(w, fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Reason.Text()), e.Reason.Status())
}
