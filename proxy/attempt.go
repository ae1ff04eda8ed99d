package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/verdict"
)

// attempt is one send to one instance.
type attempt struct {
	x         *exchange
	selection Selection
	ctx       context.Context
	cancel    context.CancelFunc
	started   time.Time
	latency   time.Duration
	reader    *attemptBody
	// res is the answer's header with an open body, or nil.
	res *http.Response
	err *verdict.Error

	mu     sync.Mutex
	conn   *countedConn
	before int64
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
	res, err := a.x.h.transport.RoundTrip(req)
	a.latency = a.x.h.options.Now().Sub(a.started)
	if err != nil {
		a.err = a.classify(err)
		return
	}
	if e := a.refusal(res); e != nil {
		res.Body.Close()
		a.err = e
		return
	}
	a.res = res
}

func (a *attempt) request() (*http.Request, error) {
	r := a.x.r
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	a.reader = a.x.body.newReader()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.selection.Instance().Address+r.URL.RequestURI(), a.reader)
	if err != nil {
		return nil, err
	}
	req.Host = r.Host
	req.Header = r.Header.Clone()
	removeHopByHop(req.Header)
	// The transport sends a request again by itself when it carries this
	// header in canonical form. In lower case it is the same header to the
	// upstream, and only this package decides what is sent again.
	if a.x.key != "" {
		req.Header.Del(HeaderKey)
		req.Header["idempotency-key"] = []string{a.x.key}
	}
	req.ContentLength = a.x.body.length
	if a.x.body.length == 0 {
		// A body that is not nil and has no GetBody keeps the transport from
		// repeating the request; declared as unknown, it is found to be empty.
		req.ContentLength = -1
		if r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions {
			req.ContentLength = 0
			req.Body = http.NoBody
		}
	}
	remaining := time.Until(a.x.query.Deadline)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.Header["Via"] = via
	req.Header.Add("X-Forwarded-For", a.x.caller)
	return req, nil
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	a.before = c.writes.Load()
}

// mayBeWritten tells whether any byte of the request was or may yet be written.
func (a *attempt) mayBeWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.seal(a.before)
}

// classify gives a failed round trip its verdict.
func (a *attempt) classify(err error) *verdict.Error {
	v := verdict.MayHaveRun
	if !a.mayBeWritten() {
		v = verdict.NotRun
	}
	a.reader.detach()
	switch {
	case errors.Is(context.Cause(a.x.ctx), context.DeadlineExceeded):
		return verdict.Wrap(err, v, verdict.ReasonDeadline)
	case a.x.ctx.Err() != nil:
		return verdict.Wrap(err, v, verdict.ReasonCallerGone)
	case a.ctx.Err() != nil:
		return verdict.Wrap(err, v, verdict.ReasonSlowUpstream)
	case v == verdict.NotRun:
		return verdict.Wrap(err, v, verdict.ReasonConnectFailed)
	default:
		return a.x.advise(verdict.Wrap(err, v, verdict.ReasonConnectionLost))
	}
}

// advise tells the caller when to come back, unless a resend could run a request
// twice.
func (x *exchange) advise(e *verdict.Error) *verdict.Error {
	if x.query.Idempotent || x.key != "" {
		e.RetryAfter = retryAdvice
	}
	return e
}

// refusal returns an error when the upstream says that it did not run the
// request, or when the answer is not for this request.
func (a *attempt) refusal(res *http.Response) *verdict.Error {
	if res.StatusCode >= 400 && res.Header.Get(verdict.HeaderVerdict) == verdict.NotRun.String() {
		e := verdict.New(verdict.NotRun, verdict.ReasonUpstreamRefused, retryAdvice)
		if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
			e.RetryAfter = time.Duration(s) * time.Second
		}
		return e
	}
	sent, got := a.x.r.Header.Get(HeaderRequestID), res.Header.Get(HeaderRequestID)
	if sent != "" && got != "" && sent != got {
		a.mayBeWritten()
		return verdict.Wrap(errors.Errorf("answer to request %q", got), verdict.MayHaveRun, verdict.ReasonAnswerMismatch)
	}
	return nil
}

// finish ends the attempt and frees its place.
func (a *attempt) finish(o Outcome) {
	a.cancel()
	o.Latency = a.latency
	a.selection.Done(o)
}

// fail ends the attempt with its error.
func (a *attempt) fail() {
	cancelled := a.err.Reason == verdict.ReasonSlowUpstream || a.err.Reason == verdict.ReasonCallerGone
	a.finish(Outcome{Verdict: a.err.Verdict, Reason: a.err.Reason, Cancelled: cancelled})
}

// attemptBody is the body of one attempt.
type attemptBody struct {
	b        *body
	prefix   *bytes.Reader
	detached bool
	mu       sync.Mutex
}

func (b *body) newReader() *attemptBody {
	return &attemptBody{b: b, prefix: bytes.NewReader(b.prefix)}
}

func (r *attemptBody) Read(p []byte) (int, error) {
	r.mu.Lock()
	if r.detached {
		r.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	if r.prefix.Len() > 0 {
		n, err := r.prefix.Read(p)
		r.mu.Unlock()
		return n, err
	}
	if r.b.rest == nil {
		r.mu.Unlock()
		return 0, io.EOF
	}
	r.b.taken = true
	r.mu.Unlock()
	return r.b.rest.Read(p)
}

// detach makes further reads fail, so that an ended attempt takes nothing from
// the body of the next one.
func (r *attemptBody) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detached = true
}

// Close implements io.Closer. The caller's body is closed by its server.
func (r *attemptBody) Close() error {
	r.detach()
	return nil
}

// via is shared by all requests and never changed.
var via = []string{"1.1 " + proxyName}

// hopByHop are the headers of RFC 9110, section 7.6.1, that are not passed on, in
// canonical form.
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

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
