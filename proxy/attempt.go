package proxy

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

// attempt is one send of a request to one instance.
type attempt struct {
	x         *exchange
	selection Selection
	ctx       context.Context
	cancel    context.CancelFunc
	started   time.Time
	latency   time.Duration
	reader    *attemptBody
	load      *Load
	status    int
	// res is the answer's header with an open body, or nil.
	res *http.Response
	err *verdict.Error
	// isWhole says that the body of the answer was read to its end.
	isWhole bool

	// state is attemptConnecting, attemptSending or attemptAbandoned.
	state atomic.Int32
	// nonce identifies the attempt to another VM.
	nonce string
	// written means that bytes of the request may have reached the instance.
	written bool
	// connectionRefused means that nothing listens at the instance's address.
	connectionRefused bool
	// isRefusalFinal says that another VM refused the request for a reason that is not its own.
	isRefusalFinal bool
	// answeredAt is when the header of the answer arrived, or zero.
	answeredAt time.Time
}

func (x *exchange) newAttempt(s Selection) *attempt {
	ctx, cancel := context.WithCancel(x.ctx)
	return &attempt{x: x, selection: s, ctx: ctx, cancel: cancel, started: x.h.options.Now()}
}

// send sends the request and waits for the header of the answer.
func (a *attempt) send() {
	req, err := a.request()
	if err != nil {
		a.err = verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest)
		return
	}
	if s, ok := a.selection.(transitSelection); ok {
		a.sendTransit(s, req)
		return
	}
	o := &a.x.h.options
	x := upstream.Exchange{
		Address: a.selection.Instance().Address, Request: req, ID: a.x.meta.ID, Repeatable: a.x.query.Idempotent,
		MatchAnswer: func(res *http.Response) upstream.Match { return o.Protocol.MatchAnswer(&a.x.meta, res) },
	}
	receiver, isReceiver := a.selection.(noticeReceiver)
	x.CanSend = func() bool {
		return (!isReceiver || receiver.CanSend()) && a.state.CompareAndSwap(attemptConnecting, attemptSending)
	}
	if s, ok := a.selection.(pathSelection); ok {
		stop := context.AfterFunc(s.Path(), func() { a.abandon() })
		defer stop()
	}
	res, err := a.x.h.client.Do(a.ctx, &x)
	a.latency = o.Now().Sub(a.started)
	if err != nil {
		a.err = a.classify(err)
		return
	}
	a.written, a.answeredAt = true, o.Now()
	a.status = res.StatusCode
	removeTransitHeaders(res.Header)
	if names := o.Protocol.UnknownHeaders(res.Header); names != nil {
		a.x.h.unknownHeaders.record(a.x.query.Service.Name, a.selection.Instance().ID, names)
	}
	reason, retryAfter := o.Protocol.NotRunReason(res)
	// A misdirected request was answered by another instance, so neither the load
	// nor the notice of its answer is about the selected one.
	if load, ok := o.Protocol.Load(res.Header); ok && reason != verdict.ReasonMisdirected {
		a.load = &load
	}
	if notice := o.Protocol.Notice(res); isReceiver && reason != verdict.ReasonMisdirected {
		// The connection to a leaving instance is not reused.
		res.Close = res.Close || notice.Leaving
		receiver.ReceiveNotice(notice)
	}
	if reason != "" {
		a.discardRefusal(res)
		if retryAfter <= 0 {
			retryAfter = o.DefaultRetryAfter
		}
		a.err = verdict.New(verdict.NotRun, reason, retryAfter)
		return
	}
	a.res = res
}

const (
	// maxRefusalBytes and refusalTimeout bound how much of a refusal's body is read, and for how
	// long, so that its connection can be reused. The body usually arrives with the head; the
	// request waits for it.
	maxRefusalBytes = 4 << 10
	refusalTimeout  = 50 * time.Millisecond
)

// discardRefusal reads the body of a refusal, since the connection can be reused only after its
// end.
func (a *attempt) discardRefusal(res *http.Response) {
	timer := time.AfterFunc(refusalTimeout, a.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxRefusalBytes))
	res.Body.Close()
}

// request returns the request to the instance.
func (a *attempt) request() (*http.Request, error) {
	r := a.x.r
	a.reader = a.x.body.newReader()
	address, err := a.x.target.forwardURL(a.selection.Instance().Address)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(a.ctx, r.Method, "", a.reader)
	if err != nil {
		return nil, err
	}
	req.URL, req.Host = address, r.Host
	req.Header = r.Header.Clone()
	removeHopByHop(req.Header)
	removeTransitHeaders(req.Header)
	if a.x.hasTeams {
		a.x.h.options.Protocol.SetTeam(req.Header, a.x.query.Team)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// Prevents net/http from adding its own.
		req.Header["User-Agent"] = nil
	}
	req.ContentLength = a.x.body.length
	if a.x.body.length == 0 {
		req.Body = http.NoBody
	}
	if s, ok := a.selection.(transitSelection); ok {
		a.setTransitHeaders(req.Header, s)
		return req, nil
	}
	a.x.h.options.Protocol.SetRequestHeaders(req.Header, &a.x.meta, a.selection.Instance(), time.Until(a.x.query.Deadline))
	return req, nil
}

// classify returns the verdict and the reason of a failed exchange.
func (a *attempt) classify(err error) *verdict.Error {
	var failed *upstream.Error
	if errors.As(err, &failed) {
		a.written = failed.Written
	}
	v := verdict.MayHaveRun
	if !a.written {
		v = verdict.NotRun
		a.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	}
	a.reader.detach()
	switch {
	case errors.Is(context.Cause(a.x.ctx), context.DeadlineExceeded):
		return verdict.Wrap(err, v, verdict.ReasonDeadline)
	case a.x.ctx.Err() != nil:
		return verdict.Wrap(err, v, verdict.ReasonCallerGone)
	case a.state.Load() == attemptAbandoned:
		return verdict.Wrap(err, v, verdict.ReasonIsolated)
	case a.ctx.Err() != nil:
		return verdict.Wrap(err, v, verdict.ReasonSlowUpstream)
	case failed != nil && failed.Stray > 0:
		return a.x.addRetryAfter(verdict.Wrap(err, v, verdict.ReasonAnswerMismatch))
	case errors.Is(err, upstream.ErrWithdrawn):
		return verdict.Wrap(err, v, verdict.ReasonWithdrawn)
	case errors.Is(err, upstream.ErrConnectionLimit):
		return verdict.Wrap(err, v, verdict.ReasonConnectionLimit)
	case v == verdict.NotRun:
		return verdict.Wrap(err, v, verdict.ReasonConnectFailed)
	default:
		return a.x.addRetryAfter(verdict.Wrap(err, v, verdict.ReasonConnectionLost))
	}
}

// addRetryAfter advises the caller to retry, unless a resend could run the request
// twice.
func (x *exchange) addRetryAfter(e *verdict.Error) *verdict.Error {
	if x.query.Idempotent || x.key != "" {
		e.RetryAfter = x.h.options.DefaultRetryAfter
	}
	return e
}

// finish ends the attempt and frees its slot.
func (a *attempt) finish(o Outcome) {
	a.cancel()
	o.Latency, o.Load, o.Answered, o.Status, o.ConnectionRefused = a.latency, a.load, a.answeredAt, a.status, a.connectionRefused
	a.selection.Done(o)
}

// fail ends the attempt with its error.
func (a *attempt) fail() {
	a.x.mayHaveRun = a.x.mayHaveRun || a.err.Verdict != verdict.NotRun
	a.x.isRefusalFinal = a.x.isRefusalFinal || a.isRefusalFinal
	cancelled := a.err.Reason == verdict.ReasonSlowUpstream || a.err.Reason == verdict.ReasonCallerGone
	a.finish(Outcome{Verdict: a.err.Verdict, Reason: a.err.Reason, Cancelled: cancelled})
}

// attemptBody reads the request's body for one attempt: the buffered prefix, then
// the rest.
type attemptBody struct {
	b        *body
	prefix   segmentReader
	detached bool
	mu       sync.Mutex
}

func (b *body) newReader() *attemptBody {
	return &attemptBody{b: b, prefix: segmentReader{s: &b.prefix}}
}

func (r *attemptBody) Read(p []byte) (int, error) {
	r.mu.Lock()
	if r.detached {
		r.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	if r.prefix.remaining() > 0 {
		n, err := r.prefix.Read(p)
		r.mu.Unlock()
		return n, err
	}
	if r.b.rest == nil {
		r.mu.Unlock()
		return 0, io.EOF
	}
	r.b.consumed = true
	r.mu.Unlock()
	return r.b.rest.Read(p)
}

// detach makes further reads fail, so that an ended attempt does not consume data
// that the next one needs.
func (r *attemptBody) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detached = true
}

// Close implements io.Closer. The HTTP server closes the caller's body itself.
func (r *attemptBody) Close() error {
	r.detach()
	return nil
}

// via is the Via header, shared by all requests and never modified.
var via = []string{"1.1 " + proxyName}

// hopByHop lists the headers of RFC 9110, section 7.6.1, that are not forwarded, in
// canonical form. Expect is handled by this VM, which reads the body itself.
var hopByHop = []string{"Connection", "Expect", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func removeHopByHop(h http.Header) {
	for _, f := range h["Connection"] {
		for _, name := range strings.Split(f, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
