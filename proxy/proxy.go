// Package proxy is the request path of an entry VM. It forwards a caller's request
// to an upstream instance and returns the complete answer, or refuses the request
// with a verdict that states whether it may have run.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
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
	// HeaderService names the service of a request whose Host does not name it.
	HeaderService = "Currantferry-Service"
	// HeaderTimeout is the time until the caller's deadline in milliseconds. It is
	// forwarded to the upstream, reduced by the time already spent.
	HeaderTimeout = "Currantferry-Timeout-Ms"
	// HeaderReplayed marks an answer that was stored for an earlier send of the
	// request.
	HeaderReplayed = "Currantferry-Replayed"
	// HeaderLeaving is "true" in the answers of an instance that is shutting down.
	HeaderLeaving = "Currantferry-Leaving"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRequestID is forwarded. If the upstream's answer contains it too, the
	// values must match.
	HeaderRequestID = "X-Request-Id"
)

// proxyName identifies this system in Proxy-Status and Via.
const proxyName = "currantferry"

// Query describes an attempt to a Selector.
type Query struct {
	Service    *register.Service
	Route      register.Route
	Idempotent bool
	// Method and Path of the request, by which requests are classified by their
	// observed service time.
	Method string
	Path   string
	// Bytes is the declared length of the body, or -1.
	Bytes    int64
	Deadline time.Time
	// Exclude lists the IDs of the instances that were already tried, in order.
	Exclude []string
	// IsRetry marks an attempt after a failed one.
	IsRetry bool
	// Fingerprint is the same for a request and its resends.
	Fingerprint [32]byte
	// AffinityKey names the object that the request is about, or is empty.
	// Requests with equal keys are best served by the same instance.
	AffinityKey string
	// Regions lists the regions that may serve the request. Empty means all.
	Regions []string
	// Target is the intended response time. Zero means none.
	Target time.Duration
	// Priority orders requests when capacity is short; 0 is served first.
	Priority int
	// Timeout is the timeout that the caller stated, or zero.
	Timeout time.Duration
	// Team is the name of the team whose key the caller stated, or empty.
	Team string
	// IsTransit marks a request that another VM passed on, which must not be passed on
	// again.
	IsTransit bool
	// Attrs are additional fields for log lines about the request.
	Attrs []any
	// Routes are the routes by which the request was routed.
	Routes RoutesState
}

// Instance is the target of an attempt.
type Instance struct {
	ID      string
	Address string
}

// Outcome is the result of an attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// Reason of the failure, or empty.
	Reason verdict.Reason
	// Latency is the time until the header of the answer arrived or the attempt
	// failed.
	Latency time.Duration
	// Cancelled means that the attempt was ended early, for example because its
	// hedge was faster. It carries no information about the instance's health,
	// except that the instance needed at least Latency.
	Cancelled bool
	// AnswerBytes is the length of the body that was sent to the caller.
	AnswerBytes int64
	// Status of the instance's answer, or zero.
	Status int
	// Load is the load report in the instance's answer, or nil.
	Load *Load
	// ConnectionRefused means that the instance's host refused the connection: nothing
	// listens at its address.
	ConnectionRefused bool
	// Answered is when the header of the answer arrived, or zero.
	Answered time.Time
}

// Load is an instance's report of its own load.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is the current duration of the instance's work as a percentage
	// of the usual one. Zero means that the instance does not report it.
	WorkPercent int
}

// Selection is a chosen instance and the slot reserved there.
type Selection interface {
	Instance() Instance
	// HedgeAfter returns how long to wait before the request is hedged, or false if
	// it must not be hedged.
	HedgeAfter() (time.Duration, bool)
	// Hedge selects another instance for the same request, or returns false.
	Hedge() (Selection, bool)
	// Done records the outcome and frees the slot. It is called exactly once.
	Done(o Outcome)
}

// logAttrsProvider is implemented by selections that can explain their choice.
type logAttrsProvider interface {
	// LogAttrs returns fields for log lines about the attempt.
	LogAttrs() []any
}

// noticeReceiver is implemented by selections that process the notices of instances
// about new requests, such as leaving and wait notices.
type noticeReceiver interface {
	// ReceiveNotice is called with the notice in an answer before the answer is forwarded.
	// The notice may be empty, which ends a limit that the instance named before.
	ReceiveNotice(notice availability.Notice)
	// CanSend reports whether the request may still be sent to the instance. It
	// is called once there is a connection, just before the request is written.
	CanSend() bool
}

// selectionLogAttrs returns the log fields of a selection, at least its instance.
func selectionLogAttrs(s Selection) []any {
	if e, ok := s.(logAttrsProvider); ok {
		return e.LogAttrs()
	}
	return []any{"instance", s.Instance().ID}
}

// Selector chooses instances. Select may wait until a slot is free. Its errors are
// of type *verdict.Error with the verdict NotRun.
type Selector interface {
	Select(ctx context.Context, q *Query) (Selection, error)
}

// Claim is the right to run a request with an idempotency key.
type Claim interface {
	// Kept returns the stored answer of an earlier send, or nil.
	Kept() *Answer
	// Release frees the claim of a request that certainly did not run.
	Release()
	// MarkUnknown ends the claim of a request that may have run and whose result is
	// unknown. The key stays claimed.
	MarkUnknown()
	// Done stores the answer of the request. Without a body, the answer cannot be
	// replayed.
	Done(a *Answer)
}

// Claimer grants claims. Its errors are of type *verdict.Error.
type Claimer interface {
	Claim(ctx context.Context, service, key string, fingerprint [32]byte) (Claim, error)
}

// Answer is an answer that is stored for resends of its request.
type Answer struct {
	Status int
	Header http.Header
	// Body is nil if it was too large to store.
	Body []byte
}

// RetryBudget limits retries in proportion to requests.
type RetryBudget interface {
	// CountRequest counts a request, before its first attempt.
	CountRequest(service, caller string)
	// TakeRetry takes one retry from the budget, or returns false if it is used up.
	TakeRetry(service, caller string) bool
}

// Admission bounds the requests of teams.
type Admission interface {
	// Admit admits a request of a team, or returns a *verdict.Error with the verdict NotRun.
	// It is called once for each request that no other VM passed on, before its body is read.
	Admit(ctx context.Context, q *Query) error
	// Refund is called once for an admitted request that was refused and has not run.
	Refund(q *Query)
}

// Memory bounds the bytes that requests hold.
type Memory interface {
	// Reserve reserves n bytes, or none and returns false. It may wait for a moment.
	Reserve(n int64) bool
	// TryReserve is Reserve without a wait.
	TryReserve(n int64) bool
	// Release returns reserved bytes.
	Release(n int64)
}

// Services looks up services in the current register.
type Services interface {
	// Service returns the service of that name, or nil.
	Service(name string) *register.Service
}

// Options configures a Handler.
type Options struct {
	// Services is used by the default router only.
	Services Services
	// Router finds the route of a request. Nil means a router over Services.
	Router Router
	// Protocol defines the headers that callers and instances use. Nil means the
	// native protocol.
	Protocol Protocol
	Selector Selector
	Claimer  Claimer
	Budget   RetryBudget
	// Admission, unless nil, is asked about the requests of teams.
	Admission Admission
	Metrics   *metric.Set
	Log       *slog.Logger
	// Zone is the DNS zone of services, without leading and trailing dots. A Host
	// of SERVICE or SERVICE.ZONE names the service.
	Zone string
	// MaxConcurrent bounds the requests in flight. Zero means 4096.
	MaxConcurrent int
	// MaxBody bounds a request's body in bytes. Zero means 1 GiB.
	MaxBody int64
	// DefaultTimeout applies to requests for which neither the caller nor the
	// service states a timeout. Zero means register.DefaultTimeout.
	DefaultTimeout time.Duration
	// MaxAttempts bounds the attempts of a request. Zero means 3.
	MaxAttempts int
	// MaxConnections bounds the connections to one instance from this VM.
	// Zero means 100.
	MaxConnections int
	// MaxBufferBytes is the size up to which bodies are buffered in memory, so that a
	// request can be sent again and an answer checked for completeness before it
	// is forwarded. Zero means 64 KiB.
	MaxBufferBytes int64
	// DeadlineGrace is how long after the deadline the VM still waits for an
	// answer, since an instance that stops work at the deadline reports it only
	// then. Zero means no grace.
	DeadlineGrace time.Duration
	// DefaultRetryAfter is the Retry-After of refusals for which no better value is
	// known. Zero means 1 s.
	DefaultRetryAfter time.Duration
	// AcceptUnframed takes an orderly close of the connection as the end of an
	// answer that has neither a length nor chunks. If false, such answers fail.
	AcceptUnframed bool
	// FinishUnkeyed completes every request that is not idempotent even if its
	// caller disconnects. If false, only requests with a key are completed.
	FinishUnkeyed bool
	// Memory returns the memory of the caller's connection, from which bodies and answers are
	// reserved before they are buffered. Nil, or a nil result, means no bound.
	Memory func(r *http.Request) Memory
	// Upstream configures the connections to instances, and Transit those to other VMs.
	Upstream, Transit upstream.Options
	// Now replaces the clock in tests. Nil means time.Now.
	Now func() time.Time
}

const (
	defaultMaxConcurrent  = 4096
	defaultMaxBody        = 1 << 30
	defaultMaxAttempts    = 3
	defaultMaxConnections = 100
	defaultMaxBufferBytes = 64 << 10
	defaultRetryAfter     = time.Second
	// fingerprintBytes is how much of a body the request's fingerprint covers.
	fingerprintBytes = 4 << 10
)

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	options Options
	client  *upstream.Client
	// transitClient holds the connections to other VMs, nextTransit the last number of a
	// request that was passed on.
	transitClient *upstream.Client
	nextTransit   atomic.Uint64

	meters *meters
	gate   gate

	unknownHeaders *unknownHeaders
}

// New returns a handler that refuses all requests until SetReady.
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
	if o.MaxBufferBytes <= 0 {
		o.MaxBufferBytes = defaultMaxBufferBytes
	}
	if o.DefaultRetryAfter <= 0 {
		o.DefaultRetryAfter = defaultRetryAfter
	}
	if o.Protocol == nil {
		o.Protocol = nativeProtocol{}
	}
	if o.Router == nil {
		o.Router = &serviceRouter{services: o.Services, zone: o.Zone, defaultTimeout: o.DefaultTimeout}
	}
	o.Upstream.MaxConnections = o.MaxConnections
	h := &Handler{options: o, client: upstream.New(o.Upstream), transitClient: upstream.New(o.Transit), gate: gate{limit: o.MaxConcurrent}}
	if o.Selector != nil {
		h.options.Selector = &gatedSelector{o.Selector, &h.gate, o.DeadlineGrace}
	}
	h.unknownHeaders = newUnknownHeaders(o.Log, o.Metrics)
	if o.Metrics != nil {
		h.meters = &meters{scope: o.Metrics.Scope(), answers: make(map[answerKey]answerMeter)}
	}
	return h
}

// Client returns the client that holds the connections to instances.
func (h *Handler) Client() *upstream.Client { return h.client }

// TransitClient returns the client that holds the connections to other VMs.
func (h *Handler) TransitClient() *upstream.Client { return h.transitClient }

// Sweep closes the connections to instances and other VMs that have been idle for too long. It
// should be called about once a second.
func (h *Handler) Sweep() {
	h.client.Sweep()
	h.transitClient.Sweep()
}

// SetReady sets whether requests are admitted or refused with "not-ready".
func (h *Handler) SetReady(ready bool) { h.gate.setReady(ready) }

// Finish begins a stop that ends at end. From then on a request is sent only if its deadline,
// with Options.DeadlineGrace, is not later. Each other one is refused at once, so that it need
// not be cut off while an instance runs it; those that were sent before are not affected.
func (h *Handler) Finish(end time.Time) { h.gate.finish(end) }

// Stop refuses new requests and waits until those in flight have ended or ctx is
// done. It returns the number of requests still in flight.
func (h *Handler) Stop(ctx context.Context) int {
	left := h.gate.stop(ctx)
	invariant.Check(invariant.NothingCutOff, left == 0, "%d requests in flight at the bound of the stop", left)
	h.client.CloseIdle()
	h.transitClient.CloseIdle()
	return left
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return h.gate.inFlight() }

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, received: h.options.Now(), memory: h.memoryOf(r)}
	x.serveAdmitted(nil)
}

func (h *Handler) memoryOf(r *http.Request) reservation {
	if h.options.Memory == nil {
		return reservation{}
	}
	return reservation{memory: h.options.Memory(r)}
}

// serveAdmitted serves the request if the gate admits it and err is nil.
func (x *exchange) serveAdmitted(err error) {
	if err == nil {
		err = x.h.gate.enter()
	}
	if err != nil {
		x.meta, _ = x.h.options.Protocol.ParseRequest(x.r)
		x.refuse(err)
		return
	}
	defer x.h.gate.leave()
	defer x.memory.releaseAll()
	if err := x.prepare(); err != nil {
		x.refuse(err)
		return
	}
	defer x.cancel()
	x.serve()
}

// refuse answers the request with an error of this VM.
func (x *exchange) refuse(err error) {
	e := *asError(err)
	o := &x.h.options
	if x.isAdmitted && e.Verdict == verdict.NotRun {
		x.isAdmitted = false
		o.Admission.Refund(&x.query)
	}
	status := o.Protocol.Refusal(x.w.Header(), &x.meta, &e)
	if e.RetryAfter == 0 && e.Verdict == verdict.NotRun && status >= http.StatusInternalServerError {
		e.RetryAfter = o.DefaultRetryAfter
		status = o.Protocol.Refusal(x.w.Header(), &x.meta, &e)
	}
	if x.transit != nil {
		x.w.Header().Set(headerTransitVerdict, formatTransitVerdict(&e))
		if r, ok := o.Router.(routesTracker); ok {
			x.setTransitRoutes(r.RoutesState())
		}
		if x.body == nil && (x.r.ContentLength < 0 || x.r.ContentLength > maxDiscardedBytes) {
			// Without it the server would read the body to keep the connection.
			x.w.Header().Set("Connection", "close")
		}
	}
	o.Metrics.CountRefusal(e.Reason)
	event.RequestRefused.Log(o.Log, append(x.logAttrs(), "instance", x.lastInstance(), "reason", string(e.Reason), "verdict", e.Verdict.String(),
		"status", status, "retry_after_ms", e.RetryAfter.Milliseconds(), "error", e.Err)...)
	// The caller gets no cause, since it may contain internal addresses.
	http.Error(x.w, fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Reason.Text()), status)
}

// logAttrs returns the fields of every log line about the request.
func (x *exchange) logAttrs() []any {
	out := []any{"request", x.meta.ID, "attempts", x.attempts, "took_ms", x.h.options.Now().Sub(x.received).Milliseconds()}
	if x.query.Service != nil {
		out = append(out, "service", x.query.Service.Name, "route", x.query.Route.Prefix, "left_ms", time.Until(x.query.Deadline).Milliseconds())
	}
	return append(out, x.query.Attrs...)
}
