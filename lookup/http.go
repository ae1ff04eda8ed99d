package lookup

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/steer"
	"github.com/currantferry/currantferry/verdict"
)

// Path is the path of the HTTP handler.
const Path = "/v1/lookup"

// retryAfter is the Retry-After of rejected lookups. Overload is expected to end
// within the TTL of answers.
const retryAfter = time.Second

// proxyName identifies this system in the Proxy-Status header.
const proxyName = "currantferry"

// maxQueryBytes bounds the length of the query string.
const maxQueryBytes = 1024

// Response is the JSON encoding of an answer.
type Response struct {
	Service string `json:"service"`
	// Site and Block are absent if the caller's address is in no block.
	Site  string `json:"site,omitempty"`
	Block string `json:"block,omitempty"`
	// Scope is the prefix whose addresses all get this answer.
	Scope string `json:"scope"`
	// TTLMillis is how long the answer may be cached.
	TTLMillis int64        `json:"ttl_ms"`
	VMs       []ResponseVM `json:"vms"`
}

// ResponseVM is an entry VM of an answer. A caller distributes its requests over the
// VMs with the lowest priority number in proportion to their weights, and uses the
// others when those fail.
type ResponseVM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Priority   uint8  `json:"priority"`
	Weight     uint16 `json:"weight"`
}

// Handler returns the HTTP handler of Path, for GET and HEAD.
func (c *Core) Handler() http.Handler {
	r := httprouter.New()
	c.Register(r)
	return r
}

// Register adds the handler of Path to a router.
func (c *Core) Register(r *httprouter.Router) {
	r.GET(Path, c.serveHTTP)
	r.HEAD(Path, c.serveHTTP)
}

func (c *Core) serveHTTP(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c.startRequest()
	defer c.endRequest()
	if c.isOverloaded() {
		c.reject(w, Overloaded, ErrOverloaded)
		return
	}
	q, err := parseQuery(r.URL.RawQuery)
	if err != nil {
		c.reject(w, Malformed, err)
		return
	}
	visibility := "public"
	if !q.caller.IsValid() {
		// The answer is valid for the address of this connection only. That address is
		// not part of the URL, which is the key of shared caches.
		visibility = "private"
		addr, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil {
			c.reject(w, Malformed, errors.New("caller: none given and the connection has no IP address"))
			return
		}
		q.caller = addr.Addr().Unmap().WithZone("")
	}
	a, err := c.Lookup(q.caller, q.service)
	if err != nil {
		c.reject(w, outcomeOf(err), err)
		return
	}
	body, err := json.Marshal(response(q, &a))
	if err != nil {
		c.reject(w, NotReady, err)
		return
	}
	c.count(HTTP, Answered)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", fmt.Sprintf("%s, max-age=%d", visibility, seconds(a.TTL)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func response(q query, a *steer.Answer) Response {
	scope, _ := q.caller.Prefix(int(a.Scope))
	out := Response{Service: q.service, Site: a.Site, Scope: scope.String(), TTLMillis: a.TTL.Milliseconds()}
	if a.Block.IsValid() {
		out.Block = a.Block.String()
	}
	for _, t := range a.Targets() {
		out.VMs = append(out.VMs, ResponseVM{
			ID: t.VM.ID, Address: t.VM.Address.String(), DataCentre: t.VM.DataCentre, Region: t.VM.Region,
			Priority: t.Priority, Weight: t.Weight,
		})
	}
	return out
}

// reject responds with the error as text. A rejected lookup has executed no request,
// so the verdict is always "not run".
func (c *Core) reject(w http.ResponseWriter, o Outcome, err error) {
	c.count(HTTP, o)
	e := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonNotReady, RetryAfter: retryAfter, Err: err}
	switch o {
	case UnknownService:
		e.Reason, e.RetryAfter = verdict.ReasonUnknownService, 0
	case Malformed:
		e.Reason, e.RetryAfter = verdict.ReasonBadRequest, 0
	case Overloaded:
		e.Reason = verdict.ReasonOverloaded
	case NoVM:
		e.Reason = verdict.ReasonNoUpstream
	default:
	}
	e.WriteHeaders(w.Header(), proxyName)
	w.Header().Set("Cache-Control", "no-store")
	http.Error(w, err.Error(), e.Reason.Status())
}

// query holds the parameters of a lookup.
type query struct {
	service string
	// caller is the zero address if the query has no caller parameter.
	caller netip.Addr
}

// parseQuery parses the query string of a lookup. It accepts the parameters service
// and caller, each at most once.
func parseQuery(raw string) (query, error) {
	var q query
	if len(raw) > maxQueryBytes {
		return q, errors.Errorf("query: %d bytes, at most %d are accepted", len(raw), maxQueryBytes)
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, errors.Wrap(err, "query")
	}
	for name, v := range values {
		if name != "service" && name != "caller" {
			return q, errors.Errorf("query: unknown parameter %q, accepted are service and caller", name)
		}
		if len(v) != 1 {
			return q, errors.Errorf("%s: given %d times, at most once is accepted", name, len(v))
		}
	}
	q.service = values.Get("service")
	if q.service == "" || len(q.service) > register.MaxNameLength {
		return q, errors.Errorf("service: %d bytes, a name of 1 to %d is needed", len(q.service), register.MaxNameLength)
	}
	if !values.Has("caller") {
		return q, nil
	}
	q.caller, err = parseCaller(values.Get("caller"))
	return q, err
}

// parseCaller parses an address or a prefix. A prefix stands for its first address.
func parseCaller(s string) (netip.Addr, error) {
	addr, err := netip.ParseAddr(s)
	if err != nil {
		p, prefixErr := netip.ParsePrefix(s)
		if prefixErr != nil {
			return netip.Addr{}, errors.Errorf("caller: %q is not an IP address or prefix", s)
		}
		addr = p.Masked().Addr()
	}
	if addr.Zone() != "" {
		return netip.Addr{}, errors.Errorf("caller: %q has a zone", s)
	}
	return addr.Unmap(), nil
}

// seconds converts a TTL to whole seconds, at least 1. It rounds down, so that callers
// don't cache an answer longer than allowed.
func seconds(ttl time.Duration) uint32 {
	return uint32(max(1, ttl/time.Second))
}
