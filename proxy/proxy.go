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

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/metric"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/upstream"
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
	// HeaderLeaving is "true" in the answers of an instance that leaves.
	HeaderLeaving = "Currantferry-Leaving"
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
	// AffinityKey names the object that the request is about, or is empty.
	// Requests with equal keys are best served by the same instance.
	AffinityKey string
	// Regions are those that may serve the request. Empty means all.
	Regions []string
	// Target is the response time that is aimed at. Zero means none.
	Target time.Duration
	// Priority orders requests when room is short, 0 first.
	Priority int
	// Timeout is how long the caller said it waits, or zero.
	Timeout time.Duration
	// Attrs are further fields of the log lines about the request.
	Attrs []any
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
	// Status of the instance's answer, or zero.
	Status int
	// Load is what the instance reported with its answer, or nil.
	Load *Load
	// Refused says that nothing listens at the instance's address.
	Refused bool
	// Answered is when the header of the answer arrived, or zero.
	Answered time.Time
}

// Load is the report of an instance about itself.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes at the moment, 100 as usual. Zero
	// means that the instance does not tell.
	WorkPercent int
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

// logAttrsProvider is implemented by selections that can say what decided.
type logAttrsProvider interface {
	// LogAttrs returns fields for log lines about the attempt.
	LogAttrs() []any
}

// noticeReceiver is implemented by selections that take what instances say about new
// requests.
type noticeReceiver interface {
	// Said takes what the instance's answer says, before it is passed on.
	Said(notice availability.Word)
	// IsWanted tells whether the instance still takes the request, which is about to
	// be written.
	IsWanted() bool
}

// selectionLogAttrs returns the log fields of a selection, the instance at least.
func selectionLogAttrs(s Selection) []any {
	if e, ok := s.(logAttrsProvider); ok {
		return e.LogAttrs()
	}
	return []any{"instance", s.Instance().ID}
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
	// Services are those of the native routing. Not used with a Router.
	Services Services
	// Router finds the route of a request. Nil means by Services.
	Router Router
	// Protocol is what callers and instances speak. Nil means the native one.
	Protocol Protocol
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
	// HoldBytes is the size up to which bodies are held in memory, so that a
	// request can be sent again and an answer checked before it is passed on.
	// Zero means 64 KiB.
	HoldBytes int64
	// DeadlineGrace is how long after the deadline an answer is still waited
	// for, since an instance that stops at the deadline says so then. Zero
	// means not at all.
	DeadlineGrace time.Duration
	// RetryAdvice is what callers are told when no better advice is known.
	// Zero means 1 s.
	RetryAdvice time.Duration
	// AcceptUnframed takes the clean end of a connection as the end of an
	// answer without length. False fails such answers.
	AcceptUnframed bool
	// FinishUnkeyed carries every request that is not idempotent to its end
	// when its caller has gone. False does so for keyed ones only.
	FinishUnkeyed bool
	// Upstream configures the connections to instances.
	Upstream upstream.Options
	// Now is for tests. Nil means time.Now.
	Now func() time.Time
}

const (
	defaultMaxConcurrent  = 4096
	defaultMaxBody        = 1 << 30
	defaultMaxAttempts    = 3
	defaultMaxConnections = 100
	defaultHoldBytes      = 64 << 10
	defaultRetryAdvice    = time.Second
	// fingerprintBytes of a larger body go into its fingerprint.
	fingerprintBytes = 4 << 10
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options Options
	client  *upstream.Client
	meters  *meters
	gate    gate
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
	if o.HoldBytes <= 0 {
		o.HoldBytes = defaultHoldBytes
	}
	if o.RetryAdvice <= 0 {
		o.RetryAdvice = defaultRetryAdvice
	}
	if o.Protocol == nil {
		o.Protocol = nativeProtocol{}
	}
	if o.Router == nil {
		o.Router = &serviceRouter{services: o.Services, zone: o.Zone, defaultTimeout: o.DefaultTimeout}
	}
	o.Upstream.MaxConnections = o.MaxConnections
	h := &Handler{options: o, client: upstream.New(o.Upstream), gate: gate{limit: o.MaxConcurrent}}
	if o.Metrics != nil {
		h.meters = &meters{scope: o.Metrics.Scope(), answers: make(map[answerKey]answerMeter)}
	}
	return h
}

// Client returns the connections to instances.
func (h *Handler) Client() *upstream.Client { return h.client }

// SetReady lets callers in, or refuses them with "not-ready".
func (h *Handler) SetReady(ready bool) { h.gate.setReady(ready) }

// Stop refuses new requests and waits until those in flight have ended, or ctx
// has. It returns the number still in flight.
func (h *Handler) Stop(ctx context.Context) int {
	left := h.gate.stop(ctx)
	invariant.Check(invariant.NothingCutOff, left == 0, "%d requests in flight at the bound of the stop", left)
	h.client.CloseIdle()
	return left
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return h.gate.inFlight() }

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, received: h.options.Now()}
	if err := h.gate.enter(); err != nil {
		x.meta, _ = h.options.Protocol.Caller(r)
		x.refuse(err)
		return
	}
	defer h.gate.leave()
	if err := x.prepare(); err != nil {
		x.refuse(err)
		return
	}
	defer x.cancel()
	x.serve()
}

// refuse writes the final answer of a request that this VM gives up on.
func (x *exchange) refuse(err error) {
	e := *asError(err)
	o := &x.h.options
	status := o.Protocol.Refusal(x.w.Header(), &x.meta, &e)
	if e.RetryAfter == 0 && e.Verdict == verdict.NotRun && status >= http.StatusInternalServerError {
		e.RetryAfter = o.RetryAdvice
		status = o.Protocol.Refusal(x.w.Header(), &x.meta, &e)
	}
	o.Metrics.Refused(e.Reason)
	event.RequestRefused.Log(o.Log, append(x.logAttrs(), "instance", x.lastInstance(), "reason", string(e.Reason), "verdict", e.Verdict.String(),
		"status", status, "retry_after_ms", e.RetryAfter.Milliseconds(), "error", e.Err)...)
	// The cause stays in the log, since it may name internal addresses.
	http.Error(x.w, fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Reason.Text()), status)
}

// logAttrs are the fields of every log line about the request.
func (x *exchange) logAttrs() []any {
	out := []any{"request", x.meta.ID, "attempts", x.attempts, "took_ms", x.h.options.Now().Sub(x.received).Milliseconds()}
	if x.query.Service != nil {
		out = append(out, "service", x.query.Service.Name, "route", x.query.Route.Prefix, "left_ms", time.Until(x.query.Deadline).Milliseconds())
	}
	return append(out, x.query.Attrs...)
}
