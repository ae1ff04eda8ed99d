package entry

import (
	"net/http"
	"sync"
	"time"

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
}

var _ proxy.Router = (*router)(nil)

func newRouter() *router { return new(router) }

func (r *router) set(routes *inventory.Routes) {
	table := inventory.NewTable(routes)
	balancers := make(map[*inventory.Route]*weightedRoundRobin)
	for i := range routes.Routes {
		if route := &routes.Routes[i]; len(route.Backends) > 1 {
			balancers[route] = newWeightedRoundRobin(route.Backends)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table, r.balancers, r.maxBodyBytes = table, balancers, routes.Limits.BodyBytes
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

// Route implements proxy.Router.
func (r *router) Route(req *http.Request) (proxy.Routed, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.table == nil {
		return proxy.Routed{}, verdict.New(verdict.NotRun, verdict.ReasonNotReady, defaultRetryAfter)
	}
	route := r.table.Find(req.Host, proxy.RequestPath(req))
	if route == nil {
		return proxy.Routed{Attrs: []any{"version", r.table.Version}}, verdict.New(verdict.NotRun, verdict.ReasonUnknownService, 0)
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
		Regions: route.Regions, Target: route.Target, Priority: route.Priority, Sticky: route.Sticky,
		Attrs: []any{"version", r.table.Version},
	}, nil
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
