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

// defaultTimeout bounds a request where neither its caller nor its route does.
const defaultTimeout = 10 * time.Second

// router finds the route of a request in the version in force.
type router struct {
	mu    sync.RWMutex
	table *inventory.Table
	// bodyMost bounds a request's body in bytes, or is zero.
	bodyMost int64
	// shares deal out the requests of routes with several services.
	shares map[*inventory.Route]*shares
}

var _ proxy.Router = (*router)(nil)

func newRouter() *router { return new(router) }

func (r *router) set(routes *inventory.Routes) {
	table := inventory.NewTable(routes)
	dealt := make(map[*inventory.Route]*shares)
	for i := range routes.Routes {
		if route := &routes.Routes[i]; len(route.Backends) > 1 {
			dealt[route] = newShares(route.Backends)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table, r.shares, r.bodyMost = table, dealt, routes.Limits.BodyBytes
}

// version is the one in force, or zero.
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
		return proxy.Routed{}, verdict.New(verdict.NotRun, verdict.ReasonNotReady, retryAdvice)
	}
	route := r.table.Find(req.Host, req.URL.Path)
	if route == nil {
		return proxy.Routed{Attrs: []any{"version", r.table.Version}}, verdict.New(verdict.NotRun, verdict.ReasonUnknownService, 0)
	}
	service := route.Backends[0].Service
	if s := r.shares[route]; s != nil {
		service = s.next()
	}
	idempotent := route.Idempotent
	return proxy.Routed{
		Service: &register.Service{Name: service},
		Route:   register.Route{Prefix: route.Prefix, Idempotent: &idempotent},
		Timeout: route.Timeout, Default: defaultTimeout, MaxAttempts: route.MaxAttempts, MaxBody: r.bodyMost,
		Regions: route.Regions, Target: route.Target, Priority: route.Priority, Sticky: route.Sticky,
		Attrs: []any{"version", r.table.Version},
	}, nil
}

// shares deals out requests in proportion to weights: each gets credit by its
// weight, and the one with most credit gets the request.
type shares struct {
	mu       sync.Mutex
	backends []inventory.Backend
	total    float64
	credit   []float64
}

func newShares(backends []inventory.Backend) *shares {
	s := &shares{backends: backends, credit: make([]float64, len(backends))}
	for _, b := range backends {
		s.total += b.Weight
	}
	return s
}

func (s *shares) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i := range s.backends {
		s.credit[i] += s.backends[i].Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.backends[best].Service
}
