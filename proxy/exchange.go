package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/verdict"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	h      *Handler
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	cancel context.CancelFunc

	query       Query
	caller      string
	key         string
	fingerprint [32]byte
	body        *body
	claim       Claim
	attempts    int
	// begun is set once any part of an answer went to the caller.
	begun bool
}

func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	service := h.service(r)
	if service == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownService, 0)
	}
	timeout, err := h.timeoutOf(r, service)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest)
	}
	if r.ContentLength > h.options.MaxBody {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, 0)
	}
	x := &exchange{h: h, w: w, r: r, key: r.Header.Get(HeaderKey), caller: callerOf(r)}
	route := routeOf(service, r)
	x.query = Query{
		Service:    service,
		Route:      route,
		Idempotent: isIdempotent(route, r.Method),
		Method:     r.Method,
		Path:       r.URL.Path,
		Bytes:      r.ContentLength,
		Deadline:   h.options.Now().Add(timeout),
	}
	if route.RequireKey && x.key == "" {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonKeyRequired, 0)
	}
	parent := r.Context()
	if x.isClaimed() {
		// A request that must not run twice is carried to its end even when
		// the caller goes, so that a resend gets its answer.
		parent = context.WithoutCancel(parent)
	}
	x.ctx, x.cancel = context.WithDeadline(parent, x.query.Deadline)
	x.body, err = readBody(r, h.options.MaxBody)
	if err != nil {
		x.cancel()
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest)
	}
	x.fingerprint = x.sum()
	x.query.Fingerprint = x.fingerprint
	return x, nil
}

// isClaimed tells whether the request needs a claim: it is not idempotent and
// carries a key.
func (x *exchange) isClaimed() bool { return x.key != "" && !x.query.Idempotent }

func (h *Handler) service(r *http.Request) *register.Service {
	name := r.Header.Get(HeaderService)
	if name == "" {
		name = strings.ToLower(r.Host)
		if host, _, err := net.SplitHostPort(name); err == nil {
			name = host
		}
		name = strings.TrimSuffix(name, ".")
		if h.options.Zone != "" {
			name = strings.TrimSuffix(name, "."+h.options.Zone)
		}
	}
	return h.options.Services.Service(name)
}

func (h *Handler) timeoutOf(r *http.Request, s *register.Service) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		if s.TimeoutMillis == 0 && h.options.DefaultTimeout > 0 {
			return h.options.DefaultTimeout, nil
		}
		return s.Timeout(), nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(ms, register.MaxTimeoutMillis)) * time.Millisecond, nil
}

// callerOf returns the caller's address without its port.
func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// routeOf returns the route with the longest prefix; one that names the method
// goes before one that does not.
func routeOf(s *register.Service, r *http.Request) register.Route {
	var best register.Route
	rank := -1
	for _, route := range s.Routes {
		if !strings.HasPrefix(r.URL.Path, route.Prefix) || (route.Method != "" && route.Method != r.Method) {
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

// sum is the fingerprint of the request: what would make two sends the same.
func (x *exchange) sum() [32]byte {
	s := sha256.New()
	field := func(b []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		s.Write(length[:])
		s.Write(b)
	}
	field([]byte(x.query.Service.Name))
	field([]byte(x.r.Method))
	field([]byte(x.r.URL.RequestURI()))
	field([]byte(strconv.FormatInt(x.r.ContentLength, 10)))
	field(x.body.prefix)
	var out [32]byte
	s.Sum(out[:0])
	return out
}

// body is a request body. Small ones are held whole; of others a prefix is held
// and the rest can be sent only once.
type body struct {
	prefix []byte
	// rest is nil when prefix is the whole body.
	rest   io.Reader
	length int64
	// taken is set when an attempt has begun to read rest.
	taken bool
}

func readBody(r *http.Request, limit int64) (*body, error) {
	b := &body{length: r.ContentLength}
	if r.ContentLength == 0 {
		return b, nil
	}
	if r.ContentLength > 0 && r.ContentLength <= smallBody {
		b.prefix = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, b.prefix)
		return b, err
	}
	const keep = int64(fingerprintBytes)
	prefix, err := io.ReadAll(io.LimitReader(r.Body, keep))
	if err != nil {
		return nil, err
	}
	b.prefix = prefix
	if int64(len(prefix)) < keep {
		b.length = int64(len(prefix))
		return b, nil
	}
	b.rest = http.MaxBytesReader(nil, r.Body, limit-keep)
	return b, nil
}

// isRepeatable tells whether the body can be sent (again) from its start.
func (b *body) isRepeatable() bool { return b.rest == nil || !b.taken }
