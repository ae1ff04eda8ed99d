package entry

import (
	"context"
	"crypto/rand"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/verdict"
)

// defaultTimeout bounds a request if neither its caller nor its route sets a timeout.
const defaultTimeout = 10 * time.Second

// router finds the route of a request in the current version of the routes.
type router struct {
	mu    sync.RWMutex
	table *inventory.Table
	// maxBodyBytes bounds a request's body; zero means no bound.
	maxBodyBytes int64
	// balancers choose among the services of routes that have several.
	balancers map[*inventory.Route]*weightedRoundRobin
	// teams is nil if requests need no key. secret is the key of its hashes.
	teams  *inventory.TeamTable
	secret []byte

	// currency says whether the routes are as new as those of other VMs.
	currency *currency
	// awaitRefresh waits until the records are refreshed after a pause of this VM.
	awaitRefresh func(context.Context) error
	// confirmTime is how old the store's confirmation of the routes may be for a final refusal.
	confirmTime func() time.Duration
}

var _ proxy.Router = (*router)(nil)

func newRouter(c *currency) *router {
	return &router{
		secret: []byte(rand.Text()), currency: c, awaitRefresh: func(context.Context) error { return nil },
		confirmTime: func() time.Duration { return math.MaxInt64 },
	}
}

// RoutesState returns the state of the routes, for other VMs.
func (r *router) RoutesState() proxy.RoutesState { return r.currency.current() }

// set replaces the routes and returns the new teams, or nil if there are none.
func (r *router) set(routes *inventory.Routes) *inventory.TeamTable {
	table := inventory.NewTable(routes)
	balancers := make(map[*inventory.Route]*weightedRoundRobin)
	for i := range routes.Routes {
		if route := &routes.Routes[i]; len(route.Backends) > 1 {
			balancers[route] = newWeightedRoundRobin(route.Backends)
		}
	}
	teams := inventory.NewTeamTable(routes, r.secret)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table, r.balancers, r.maxBodyBytes, r.teams = table, balancers, routes.Limits.BodyBytes, teams
	return teams
}

// version returns the current version, or zero before the first routes.
func (r *router) version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.table == nil {
		return 0
	}
	return r.table.Version
}

// Route implements proxy.Router. It waits until this VM knows that its routes are as new as those
// by which another VM accepted the request or answered this VM's callers.
func (r *router) Route(req *http.Request, m *proxy.Meta) (proxy.Routed, error) {
	err := r.awaitRefresh(req.Context())
	if err == nil {
		err = r.currency.await(req.Context(), m.TransitRoutes)
	}
	if err != nil {
		return proxy.Routed{Attrs: []any{"version", r.version()}}, err
	}
	routed, err := r.route(req, m)
	var refusal *verdict.Error
	if errors.As(err, &refusal) && isFinalRefusal(refusal.Reason) && !r.currency.isConfirmed(r.confirmTime()) {
		err = verdict.New(verdict.NotRun, verdict.ReasonOutdated, defaultRetryAfter)
	}
	return routed, err
}

// isFinalRefusal reports whether callers don't repeat a request that is refused for a reason,
// which newer routes may lift.
func isFinalRefusal(r verdict.Reason) bool {
	return r == verdict.ReasonUnknownService || r == verdict.ReasonUnknownTeam
}

func (r *router) route(req *http.Request, m *proxy.Meta) (proxy.Routed, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.table == nil {
		return proxy.Routed{}, verdict.New(verdict.NotRun, verdict.ReasonNotReady, defaultRetryAfter)
	}
	route := r.table.Find(req.Host, proxy.RequestPath(req))
	if route == nil {
		return proxy.Routed{Attrs: []any{"version", r.table.Version}}, verdict.New(verdict.NotRun, verdict.ReasonUnknownService, 0)
	}
	team, err := r.team(route, m)
	if err != nil {
		return proxy.Routed{Attrs: []any{"version", r.table.Version}}, err
	}
	attrs := []any{"version", r.table.Version}
	regions, priority, teamName := route.Regions, route.Priority, ""
	if team != nil {
		teamName = team.Name
		attrs = append(attrs, "team", teamName)
		if team.Priority != nil {
			priority = *team.Priority
		}
		var ok bool
		if regions, ok = inventory.CommonRegions(route.Regions, team.Regions); !ok {
			return proxy.Routed{Attrs: attrs}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, defaultRetryAfter)
		}
	}
	service := route.Backends[0].Service
	if b := r.balancers[route]; b != nil {
		service = b.next()
	}
	idempotent := route.Idempotent
	return proxy.Routed{
		Service: &register.Service{Name: service},
		Route:   register.Route{Prefix: route.Prefix, Idempotent: &idempotent},
		Timeout: route.Timeout, DefaultTimeout: defaultTimeout, MaxAttempts: route.MaxAttempts, MaxBody: r.maxBodyBytes,
		Regions: regions, Target: route.Target, Priority: priority, Sticky: route.Sticky,
		HasTeams: r.teams != nil, Team: teamName, Attrs: attrs, Routes: r.currency.current(),
	}, nil
}

// isIdempotent reports whether a request may run more than once. Before the first routes,
// and without a route, it may not.
func (r *router) isIdempotent(req *http.Request) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.table == nil {
		return false
	}
	route := r.table.Find(req.Host, proxy.RequestPath(req))
	return route != nil && route.Idempotent
}

// team returns the team of a request, or nil if there are no teams or the route is public
// and the request has no known key. A request that another VM passed on names its team, or
// has the caller's key if that VM's routes have no teams; what differs between the two VMs'
// routes is no fault of the caller.
func (r *router) team(route *inventory.Route, m *proxy.Meta) (*inventory.Team, error) {
	var team *inventory.Team
	if r.teams != nil {
		if team = r.teams.ByName(m.TransitTeam); m.TransitTeam == "" {
			team = r.teams.ByKey(m.TeamKey)
		}
	}
	switch {
	case team == nil && m.TransitTeam != "":
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, defaultRetryAfter)
	case team != nil || r.teams == nil || route.Public:
		return team, nil
	case m.IsTransit:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, defaultRetryAfter)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownTeam, 0)
	}
}

// weightedRoundRobin distributes requests in proportion to weights: with each request
// every service gains credit equal to its weight, and the one with the most credit gets
// the request.
type weightedRoundRobin struct {
	mu       sync.Mutex
	backends []inventory.Backend
	total    float64
	credit   []float64
}

func newWeightedRoundRobin(backends []inventory.Backend) *weightedRoundRobin {
	w := &weightedRoundRobin{backends: backends, credit: make([]float64, len(backends))}
	for _, b := range backends {
		w.total += b.Weight
	}
	return w
}

func (w *weightedRoundRobin) next() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := 0
	for i := range w.backends {
		w.credit[i] += w.backends[i].Weight
		if w.credit[i] > w.credit[best] {
			best = i
		}
	}
	w.credit[best] -= w.total
	return w.backends[best].Service
}
