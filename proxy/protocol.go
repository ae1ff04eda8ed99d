package proxy

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

// Meta holds the metadata in the headers of a caller's request.
type Meta struct {
	// ID identifies this send of the request. Empty means that it has none.
	ID string
	// Timeout is how long the caller waits. Zero means that it states no timeout.
	Timeout time.Duration
	// AffinityKey names the object that the request is about, or is empty.
	AffinityKey string
	// Caller is the caller's address without its port.
	Caller string
	// Key is the idempotency key, or empty.
	Key string
	// TeamKey is the secret by which the caller's team is known, or empty. It is not logged
	// or sent on.
	TeamKey string
	// IsTransit says that another VM passed the request on, and TransitTeam is the team that
	// it named, if any.
	IsTransit   bool
	TransitTeam string
	// TransitRoutes are the routes by which that VM accepted the request, if it states them.
	TransitRoutes RoutesState
}

// Protocol defines the headers by which callers and instances exchange metadata.
// Implementations are stateless.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(r *http.Request) (Meta, error)
	// SetTeam removes a team's key, and whatever the caller stated as its team, from the
	// headers of a request, and sets the team's name unless it is empty.
	SetTeam(h http.Header, team string)
	// SetRequestHeaders sets the headers of the request to an instance. h contains the
	// caller's headers without the hop-by-hop ones.
	SetRequestHeaders(h http.Header, m *Meta, i Instance, remaining time.Duration)
	// MatchAnswer reports whether the answer matches the request.
	MatchAnswer(m *Meta, res *http.Response) upstream.Match
	// NotRunReason returns the reason if the answer states that the instance did not run
	// the request: ReasonUpstreamRefused or ReasonMisdirected. retryAfter is the
	// instance's advice, or zero. Otherwise the reason is empty.
	NotRunReason(res *http.Response) (reason verdict.Reason, retryAfter time.Duration)
	// UnknownHeaders returns the names of the answer's headers that have a prefix reserved
	// for the protocol but no known meaning. It is nil if there are none.
	UnknownHeaders(h http.Header) []string
	// Notice returns the instance's notice about new requests.
	Notice(res *http.Response) availability.Notice
	// Load returns the load report of an answer, or false if there is none.
	Load(h http.Header) (Load, bool)
	// Refusal sets the headers of a refusal by this VM and returns its status.
	Refusal(h http.Header, m *Meta, e *verdict.Error) (status int)
}

// Routed is the route of a request with its limits.
type Routed struct {
	// Service is never nil.
	Service *register.Service
	Route   register.Route
	// Timeout bounds the whole request. Zero means that only the caller's applies.
	Timeout time.Duration
	// DefaultTimeout is the timeout if neither the caller nor the route states one.
	DefaultTimeout time.Duration
	// MaxAttempts bounds how often the request is sent. Zero means the handler's
	// bound.
	MaxAttempts int
	// MaxBody bounds the request's body in bytes. Zero means the handler's
	// bound.
	MaxBody int64
	// Regions, Target and Priority are copied to the Query.
	Regions  []string
	Target   time.Duration
	Priority int
	// HasTeams says that teams are known by their keys, and Team is the name of the
	// request's team, or empty.
	HasTeams bool
	Team     string
	// Sticky means that requests with equal affinity keys are sent to the same
	// instance where possible. If false, affinity keys are ignored.
	Sticky bool
	// Attrs are additional fields of log lines, such as the version of the routes.
	Attrs []any
	// Routes are the routes by which the request was routed.
	Routes RoutesState
}

// Router finds the route of a request. Its errors are of type *verdict.Error.
type Router interface {
	Route(r *http.Request, m *Meta) (Routed, error)
}

// nativeProtocol is the protocol of the product's own callers and instances.
type nativeProtocol struct{}

var _ Protocol = nativeProtocol{}

// Notice implements Protocol.
func (nativeProtocol) Notice(res *http.Response) availability.Notice {
	return availability.ParseNotice(res.StatusCode, res.Header.Get("Retry-After"), res.Header.Get(HeaderLeaving) == "true")
}

// nativeHeaders are the headers with the prefix of the native protocol.
var nativeHeaders = map[string]bool{
	HeaderService: true, HeaderTimeout: true, HeaderReplayed: true, HeaderLeaving: true,
	verdict.HeaderVerdict: true, verdict.HeaderReason: true,
}

// UnknownHeaders implements Protocol.
func (nativeProtocol) UnknownHeaders(h http.Header) []string {
	return UnknownHeaders(h, nativeHeaders, "Currantferry-")
}

// UnknownHeaders returns the names of headers that begin with one of the prefixes and are
// not known, in alphabetical order.
func UnknownHeaders(h http.Header, known map[string]bool, prefixes ...string) (names []string) {
	for name := range h {
		if !known[name] && slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (nativeProtocol) ParseRequest(r *http.Request) (Meta, error) {
	m := Meta{ID: r.Header.Get(HeaderRequestID), Caller: callerAddress(r), Key: r.Header.Get(HeaderKey)}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return m, errors.Wrap(err, HeaderTimeout)
		}
		// At least 1, since zero would mean that the caller states no timeout.
		m.Timeout = time.Duration(min(max(ms, 1), register.MaxTimeoutMillis)) * time.Millisecond
	}
	return m, nil
}

// SetTeam implements Protocol. The native protocol knows no keys of teams.
func (nativeProtocol) SetTeam(http.Header, string) {}

func (nativeProtocol) SetRequestHeaders(h http.Header, m *Meta, _ Instance, remaining time.Duration) {
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	h["Via"] = via
	h.Add("X-Forwarded-For", m.Caller)
}

// MatchAnswer implements Protocol. Native instances may omit the request ID. A copy of a
// refusal without it would refuse the next request, which may run.
func (p nativeProtocol) MatchAnswer(m *Meta, res *http.Response) upstream.Match {
	got := res.Header.Get(HeaderRequestID)
	if m.ID != "" && got != "" && m.ID != got {
		return upstream.MatchOther
	}
	if reason, _ := p.NotRunReason(res); reason != "" && (m.ID == "" || got == "") {
		return upstream.MatchLast
	}
	return upstream.MatchRequest
}

func (nativeProtocol) NotRunReason(res *http.Response) (verdict.Reason, time.Duration) {
	if res.StatusCode < 400 || res.Header.Get(verdict.HeaderVerdict) != verdict.NotRun.String() {
		return "", 0
	}
	s, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return verdict.ReasonUpstreamRefused, 0
	}
	return verdict.ReasonUpstreamRefused, time.Duration(s) * time.Second
}

func (nativeProtocol) Load(http.Header) (Load, bool) { return Load{}, false }

func (nativeProtocol) Refusal(h http.Header, _ *Meta, e *verdict.Error) int {
	e.WriteHeaders(h, proxyName)
	return e.Reason.Status()
}

// serviceRouter finds routes in the services of the register.
type serviceRouter struct {
	services       Services
	zone           string
	defaultTimeout time.Duration
}

func (s *serviceRouter) Route(r *http.Request, _ *Meta) (Routed, error) {
	service := s.service(r)
	if service == nil {
		return Routed{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownService, 0)
	}
	out := Routed{Service: service, Route: matchRoute(service, r), DefaultTimeout: service.Timeout()}
	if service.TimeoutMillis == 0 && s.defaultTimeout > 0 {
		out.DefaultTimeout = s.defaultTimeout
	}
	return out, nil
}

// service returns the service that the header or the Host names, or nil.
func (s *serviceRouter) service(r *http.Request) *register.Service {
	name := r.Header.Get(HeaderService)
	if name == "" {
		name = strings.ToLower(r.Host)
		if host, _, err := net.SplitHostPort(name); err == nil {
			name = host
		}
		name = strings.TrimSuffix(name, ".")
		if s.zone != "" {
			name = strings.TrimSuffix(name, "."+s.zone)
		}
	}
	return s.services.Service(name)
}
