package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/upstream"
	"github.com/currantferry/currantferry/verdict"
)

// Headers of a request that a VM passes on to another one, and of its answer. They are
// removed from what callers and instances send.
const (
	transitPrefix = "Currantferry-Transit"
	// HeaderTransit marks the request and identifies it on its connection. The answer
	// repeats it.
	HeaderTransit = transitPrefix
	// HeaderTransitKey is the key that the other VM announced to VMs only.
	HeaderTransitKey = transitPrefix + "-Key"
	// headerTransitLeft is the time until the deadline in milliseconds,
	// headerTransitAttempts the number of instances to which the request may still be sent,
	// and headerTransitTried the ID of an instance that was tried or leaves.
	headerTransitLeft     = transitPrefix + "-Left-Ms"
	headerTransitAttempts = transitPrefix + "-Attempts"
	headerTransitTried    = transitPrefix + "-Tried"
	// headerTransitTeam is the name of the request's team.
	headerTransitTeam = transitPrefix + "-Team"
	// headerTransitInstance is the ID of the instance that answered, headerTransitVerdict the
	// verdict, the reason and the Retry-After in milliseconds of a refusal.
	headerTransitInstance = transitPrefix + "-Instance"
	headerTransitVerdict  = transitPrefix + "-Verdict"
	// headerTransitRoutes states by which routes the VM accepted the request, and in an answer by
	// which the other VM routed it. Older releases leave it out.
	headerTransitRoutes = transitPrefix + "-Routes"
)

// unreadRefusal is the value of headerTransitVerdict in refusals of requests that were not read.
const unreadRefusal = "not-run overloaded 1000"

// UnreadRefusal is a header line for answers of a VM's peer port that are sent before the request
// is read, and can't repeat its HeaderTransit. Without it, the VM that passed the request on has to
// assume that it may have run.
const UnreadRefusal = headerTransitVerdict + ": " + unreadRefusal + "\r\n"

// transitSelection is implemented by selections whose target is another VM, which chooses
// the instance.
type transitSelection interface {
	Selection
	// Key is what the other VM expects of VMs that pass requests on to it.
	Key() string
	// Leaving returns the IDs of instances that leave as far as this VM knows. The other VM
	// may not know it yet.
	Leaving() []string
	// SetAnswer is called with the instance that answered, empty for a refusal, and with the
	// routes of the other VM, if it states them.
	SetAnswer(instance string, routes RoutesState)
}

// transitAdmitter is implemented by selectors that bound the requests which other VMs pass on.
type transitAdmitter interface {
	// AdmitTransit returns an error, with the verdict NotRun, if this VM does not take a request
	// over. It is called before the body is read, which may be most of the request's cost.
	AdmitTransit(q *Query) error
}

// maxDiscardedBytes is the length of a body that is read and discarded to keep a connection.
const maxDiscardedBytes = 4 << 10

// pathSelection is implemented by selections that know when this VM has lost its path to
// all instances.
type pathSelection interface {
	// Path returns a context that is cancelled when this VM reaches no instance any more.
	Path() context.Context
	// MayRunTwice reports whether the request, if it is idempotent, may run at another
	// instance while it may run at this one.
	MayRunTwice() bool
}

// States of an attempt, which decide whether it can be abandoned.
const (
	attemptConnecting int32 = iota
	attemptSending
	attemptAbandoned
)

// abandon ends an attempt whose VM has lost its path to the instances if nothing was sent, so
// that the request can be passed on. It reports whether it did. One that was sent goes on: the
// instance works on it, and its connection may live on although new ones can't be opened.
func (a *attempt) abandon() bool {
	if !a.state.CompareAndSwap(attemptConnecting, attemptAbandoned) {
		return a.state.Load() == attemptAbandoned
	}
	a.cancel()
	return true
}

// transitRequest is what the VM that passed a request on states about it.
type transitRequest struct {
	nonce string
	from  string
	// left is the time until the deadline, and attempts how often the request may be sent.
	left     time.Duration
	attempts int
	tried    []string
	team     string
	routes   RoutesState
}

func parseTransit(r *http.Request) (*transitRequest, error) {
	t := &transitRequest{nonce: r.Header.Get(HeaderTransit), from: callerAddress(r), tried: r.Header[headerTransitTried], team: r.Header.Get(headerTransitTeam)}
	left, err := strconv.ParseUint(r.Header.Get(headerTransitLeft), 10, 31)
	if err != nil {
		return t, errors.Wrap(err, headerTransitLeft)
	}
	t.left = time.Duration(left) * time.Millisecond
	attempts, err := strconv.ParseUint(r.Header.Get(headerTransitAttempts), 10, 8)
	if err != nil || attempts == 0 {
		return t, errors.Errorf("%s: %q", headerTransitAttempts, r.Header.Get(headerTransitAttempts))
	}
	t.attempts = int(attempts)
	if text := r.Header.Get(headerTransitRoutes); text != "" {
		if t.routes, err = parseRoutesState(text); err != nil {
			return t, err
		}
	}
	return t, nil
}

// apply makes the limits of the VM that passed the request on bind the exchange.
func (t *transitRequest) apply(x *exchange) {
	x.query.IsTransit = true
	x.query.Deadline = x.received.Add(t.left)
	x.query.Exclude = append(x.query.Exclude, t.tried...)
	x.query.Attrs = append(x.query.Attrs, "from", t.from, "from_version", t.routes.Version)
	x.maxAttempts = min(x.maxAttempts, t.attempts)
}

// ServeTransit serves a request that another VM passes on. The caller of ServeTransit
// must have checked that it comes from a VM.
func (h *Handler) ServeTransit(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, received: h.options.Now(), memory: h.memoryOf(r)}
	var err error
	x.transit, err = parseTransit(r)
	if err != nil {
		err = verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest)
	}
	w.Header().Set(HeaderTransit, x.transit.nonce)
	x.serveAdmitted(err)
}

// RefuseTransit refuses a request that was passed on without the right key.
func (h *Handler) RefuseTransit(w http.ResponseWriter, r *http.Request, e *verdict.Error) {
	x := &exchange{h: h, w: w, r: r, received: h.options.Now(), transit: &transitRequest{from: callerAddress(r)}}
	w.Header().Set(HeaderTransit, r.Header.Get(HeaderTransit))
	x.refuse(e)
}

// removeTransitHeaders removes what only VMs may state.
func removeTransitHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, transitPrefix) {
			delete(h, name)
		}
	}
}

// setTransitHeaders sets the headers of a request to another VM.
func (a *attempt) setTransitHeaders(h http.Header, s transitSelection) {
	x := a.x
	h.Set(HeaderTransitKey, s.Key())
	a.nonce = strconv.FormatUint(x.h.nextTransit.Add(1), 10)
	h.Set(HeaderTransit, a.nonce)
	h.Set(headerTransitLeft, strconv.FormatInt(max(1, time.Until(x.query.Deadline).Milliseconds()), 10))
	h.Set(headerTransitAttempts, strconv.Itoa(max(1, x.maxAttempts-(x.attempts-1-x.unsent))))
	if x.query.Team != "" {
		h.Set(headerTransitTeam, x.query.Team)
	}
	if x.query.Routes.Version > 0 {
		h.Set(headerTransitRoutes, x.query.Routes.String())
	}
	for _, id := range slices.Concat(s.Leaving(), x.query.Exclude) {
		h.Add(headerTransitTried, id)
	}
}

// sendTransit passes the request on to another VM and waits for the header of the answer.
func (a *attempt) sendTransit(s transitSelection, req *http.Request) {
	x := upstream.Exchange{
		Address: s.Instance().Address, Request: req, Repeatable: a.x.query.Idempotent,
		MatchAnswer: func(res *http.Response) upstream.Match {
			switch nonce := res.Header.Get(HeaderTransit); {
			case nonce == a.nonce:
				return upstream.MatchRequest
			case nonce == "" && res.Header.Get(headerTransitVerdict) == unreadRefusal:
				// The VM did not read the request, see UnreadRefusal.
				return upstream.MatchLast
			default:
				return upstream.MatchOther
			}
		},
	}
	res, err := a.x.h.transitClient.Do(a.ctx, &x)
	a.latency = a.x.h.options.Now().Sub(a.started)
	if err != nil {
		a.err = a.classify(err)
		return
	}
	a.written, a.answeredAt, a.status = true, a.x.h.options.Now(), res.StatusCode
	refusal, instance := res.Header.Get(headerTransitVerdict), res.Header.Get(headerTransitInstance)
	routes := a.routesOf(res)
	removeTransitHeaders(res.Header)
	s.SetAnswer(instance, routes)
	if refusal == "" {
		if receiver, ok := s.(noticeReceiver); ok {
			receiver.ReceiveNotice(a.x.h.options.Protocol.Notice(res))
		}
		a.res = res
		return
	}
	a.discardRefusal(res)
	a.err = parseTransitVerdict(refusal)
	if a.err.Reason == verdict.ReasonUnknownService && (routes.Version == 0 || routes.Position.Before(a.x.query.Routes.Position)) {
		// By the routes of this VM the request has a route.
		text := errors.Errorf("no route at a VM with version %d", routes.Version)
		a.err = verdict.Wrap(text, verdict.NotRun, verdict.ReasonOutdated)
		a.err.RetryAfter = a.x.h.options.DefaultRetryAfter
	}
	// The other VM has made all attempts that the request allows, unless it could not
	// accept it.
	a.isRefusalFinal = !isVMReason(a.err.Reason)
}

// isVMReason reports whether a refusal says something about the VM only, so that another
// VM may serve the request.
func isVMReason(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonNotReady, verdict.ReasonStopping, verdict.ReasonOverloaded, verdict.ReasonIsolated, verdict.ReasonOutdated:
		return true
	default:
		return false
	}
}

// formatTransitVerdict returns the value of headerTransitVerdict.
func formatTransitVerdict(e *verdict.Error) string {
	return strings.Join([]string{e.Verdict.String(), string(e.Reason), strconv.FormatInt(e.RetryAfter.Milliseconds(), 10)}, " ")
}

// parseTransitVerdict parses the value of headerTransitVerdict. What it can't read may
// have run.
func parseTransitVerdict(text string) *verdict.Error {
	fields := strings.Split(text, " ")
	if len(fields) != 3 {
		return verdict.Wrap(errors.Errorf("%s: %q", headerTransitVerdict, text), verdict.MayHaveRun, verdict.ReasonConnectionLost)
	}
	ms, err := strconv.ParseUint(fields[2], 10, 31)
	if err != nil {
		return verdict.Wrap(errors.Wrap(err, headerTransitVerdict), verdict.MayHaveRun, verdict.ReasonConnectionLost)
	}
	return verdict.New(verdict.Parse(fields[0]), verdict.Reason(fields[1]), time.Duration(ms)*time.Millisecond)
}
