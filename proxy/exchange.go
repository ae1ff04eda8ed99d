package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/verdict"
)

// exchange is one request of a caller with its answer.
type exchange struct {
	h      *Handler
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	cancel context.CancelFunc

	received    time.Time
	target      target
	meta        Meta
	query       Query
	maxAttempts int
	caller      string
	key         string
	fingerprint [32]byte
	body        *body
	claim       Claim
	attempts    int
	// unsent counts the attempts that ended before anything was sent, see
	// maxUnsent.
	unsent int
	// mayHaveRun says that an attempt that failed may have run.
	mayHaveRun bool
	// transit is set if another VM passed the request on.
	transit *transitRequest
	// isRefusalFinal is set when another VM refused a request that was passed on to it, for
	// a reason that is not its own.
	isRefusalFinal bool
	// hasTeams says that the request is forwarded with its team instead of its key.
	hasTeams bool
	// isAdmitted says that the request counts towards its team's cap.
	isAdmitted bool
	// memory is what the request holds of its connection's memory.
	memory reservation
	// answerStarted is set once the header of an answer is sent to the caller.
	answerStarted bool
}

// prepare routes the request, sets its deadline and buffers its body.
func (x *exchange) prepare() error {
	o := &x.h.options
	var err error
	if x.meta, err = o.Protocol.ParseRequest(x.r); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest)
	}
	if x.transit != nil {
		x.meta.IsTransit, x.meta.TransitTeam, x.meta.TransitRoutes = true, x.transit.team, x.transit.routes
	}
	x.target = parseTarget(x.r)
	routed, err := o.Router.Route(x.r, &x.meta)
	if err != nil {
		x.query.Attrs = routed.Attrs
		return err
	}
	if _, err := x.target.forwardURL(""); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest)
	}
	x.key, x.caller = x.meta.Key, x.meta.Caller
	x.setQuery(&routed)
	x.hasTeams = routed.HasTeams
	last := x.query.Deadline.Add(o.DeadlineGrace)
	if err := x.h.gate.check(last); err != nil {
		return err
	}
	if a, ok := o.Selector.(transitAdmitter); ok && x.transit != nil {
		if err := a.AdmitTransit(&x.query); err != nil {
			return err
		}
	}
	if o.Admission != nil && x.query.Team != "" && x.transit == nil {
		if err := o.Admission.Admit(x.r.Context(), &x.query); err != nil {
			return err
		}
		x.isAdmitted = true
	}
	maxBody := o.MaxBody
	if routed.MaxBody > 0 {
		maxBody = min(maxBody, routed.MaxBody)
	}
	if x.r.ContentLength > maxBody {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, 0)
	}
	if routed.Route.RequireKey && x.key == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonKeyRequired, 0)
	}
	parent := x.r.Context()
	isClaimedElsewhere := x.transit != nil && x.key != "" && !x.query.Idempotent
	if x.isClaimed() || isClaimedElsewhere || (o.FinishUnkeyed && !x.query.Idempotent) {
		// A request that must not run twice is completed even if the caller
		// disconnects, so that a resend gets its answer.
		parent = context.WithoutCancel(parent)
	}
	if err := x.receiveBody(last, maxBody); err != nil {
		return err
	}
	x.ctx, x.cancel = context.WithDeadline(parent, last)
	x.fingerprint = x.hashRequest(x.query.Service.Name)
	// The service is left out, since a route's weights may select another one for a
	// resend.
	x.query.Fingerprint = x.hashRequest(x.r.Host, x.r.Header.Get(HeaderService))
	return nil
}

// receiveBody buffers the body of a request that ends at last.
func (x *exchange) receiveBody(last time.Time, maxBody int64) error {
	o := &x.h.options
	if x.r.ContentLength == 0 {
		x.body = new(body)
		return nil
	}
	wait := &bodyWait{last: last, setDeadline: func(t time.Time) { _ = http.NewResponseController(x.w).SetReadDeadline(t) }}
	if err := x.h.gate.beginBody(wait); err != nil {
		return err
	}
	var err error
	x.body, err = readBody(x.r, o.MaxBufferBytes, maxBody, &x.memory)
	isStopping := x.h.gate.endBody(wait, err)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNoMemory):
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonOverloaded)
	case isStopping && errors.Is(err, os.ErrDeadlineExceeded):
		e := verdict.Wrap(err, verdict.NotRun, verdict.ReasonStopping)
		e.RetryAfter = stoppingRetryAfter
		return e
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest)
	}
}

func (x *exchange) setQuery(routed *Routed) {
	timeout := routed.DefaultTimeout
	if x.meta.Timeout > 0 {
		timeout = x.meta.Timeout
	}
	if routed.Timeout > 0 && (timeout <= 0 || routed.Timeout < timeout) {
		timeout = routed.Timeout
	}
	x.maxAttempts = routed.MaxAttempts
	if x.maxAttempts <= 0 {
		x.maxAttempts = x.h.options.MaxAttempts
	}
	x.query = Query{
		Service:    routed.Service,
		Route:      routed.Route,
		Idempotent: isIdempotent(routed.Route, x.r.Method),
		Method:     x.r.Method,
		Path:       x.target.path,
		Bytes:      x.r.ContentLength,
		Deadline:   x.received.Add(timeout),
		Regions:    routed.Regions,
		Target:     routed.Target,
		Priority:   routed.Priority,
		Timeout:    x.meta.Timeout,
		Team:       routed.Team,
		Attrs:      routed.Attrs,
		Routes:     routed.Routes,
	}
	if routed.Sticky {
		x.query.AffinityKey = x.meta.AffinityKey
	}
	if x.transit != nil {
		x.transit.apply(x)
	}
}

// isClaimed reports whether the request needs a claim: it has an idempotency key and
// is not idempotent by itself.
func (x *exchange) isClaimed() bool {
	return x.key != "" && !x.query.Idempotent && x.transit == nil
}

// callerAddress returns the caller's address without its port.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// matchRoute returns the matching route with the longest prefix. Of two with the
// same prefix it prefers the one that names the method.
func matchRoute(s *register.Service, r *http.Request) register.Route {
	var best register.Route
	path := RequestPath(r)
	rank := -1
	for _, route := range s.Routes {
		if !strings.HasPrefix(path, route.Prefix) || (route.Method != "" && route.Method != r.Method) {
			continue
		}
		score := 2 * len(route.Prefix)
		if route.Method != "" {
			score++
		}
		if score > rank {
			best, rank = route, score
		}
	}
	return best
}

func isIdempotent(route register.Route, method string) bool {
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// hashRequest returns a hash that is equal for two sends of the same request to the
// same target. The length of a buffered body is included whether or not the caller
// declared it, so that a resend in chunks has the same hash.
func (x *exchange) hashRequest(target ...string) [32]byte {
	s := sha256.New()
	writeField := func(b []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		s.Write(length[:])
		s.Write(b)
	}
	for _, t := range target {
		writeField([]byte(t))
	}
	writeField([]byte(x.r.Method))
	writeField([]byte(x.target.String()))
	writeField([]byte(strconv.FormatInt(x.body.length, 10)))
	writeField(x.body.prefix.first(fingerprintBytes))
	var out [32]byte
	s.Sum(out[:0])
	return out
}

// body is a request body. Small bodies are buffered whole. Of larger ones only a
// prefix is buffered, and the rest can be sent only once.
type body struct {
	prefix segments
	// rest is nil if prefix is the whole body.
	rest io.Reader
	// length is -1 if it is not known.
	length int64
	// consumed is set when an attempt has begun to read rest.
	consumed bool
}

// readBody buffers a body of up to maxBuffered bytes, or the prefix of a larger one.
func readBody(r *http.Request, maxBuffered, limit int64, m *reservation) (*body, error) {
	b := &body{length: r.ContentLength}
	if r.ContentLength == 0 {
		return b, nil
	}
	prefixBytes := maxBuffered
	if r.ContentLength > maxBuffered {
		prefixBytes = fingerprintBytes
	}
	var err error
	if r.ContentLength > 0 && r.ContentLength <= maxBuffered {
		b.prefix, err = readSegments(r.Body, r.ContentLength, m, true)
		if err == nil && b.prefix.length < r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return b, err
	}
	if b.prefix, err = readSegments(r.Body, prefixBytes, m, true); err != nil {
		return nil, err
	}
	if b.prefix.length < prefixBytes {
		b.length = b.prefix.length
		return b, nil
	}
	b.rest = http.MaxBytesReader(nil, r.Body, limit-prefixBytes)
	return b, nil
}

// isRepeatable reports whether the body can be sent from its start, for the first
// time or again.
func (b *body) isRepeatable() bool { return b.rest == nil || !b.consumed }
