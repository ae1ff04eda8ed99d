package balance

// Class is the kind of work of a request.
type Class uint8

// Classes of work.
const (
	// Unknown leaves the class to the declared length and the observed service
	// time of the route.
	Unknown Class = iota
	Short
	Long
)

// estimate is a running mean of latencies in nanoseconds.
type estimate struct {
	mean float64
	n    float64
}

// Latencies count at most clip times the mean, so that a slow spell doesn't move
// the mean that it is recognised by.
const (
	clip    = 6
	samples = 400 // the mean covers about this many requests
)

func (e *estimate) add(latency float64) {
	if e.n > 20 {
		latency = min(latency, clip*e.mean)
	}
	e.n = min(e.n+1, samples)
	e.mean += (latency - e.mean) / e.n
	// A mean of zero would make every later latency an outlier.
	e.mean = max(e.mean, 1000)
}

// routeTable is the number of routes whose service times are kept. Routes that
// share an entry replace each other.
const routeTable = 256

// routeMinimum is how many requests of a route are observed before it counts.
const routeMinimum = 5

type routeEstimate struct {
	route uint64
	estimate
}

func (b *Balancer) route(id uint64) *routeEstimate { return &b.routes[id%routeTable] }

func (b *Balancer) classify(r *Request) Class {
	if r.Class == Short || r.Class == Long {
		return r.Class
	}
	if r.Length >= b.cfg.LongLength {
		return Long
	}
	if r.Route != 0 {
		e := b.route(r.Route)
		if e.route == r.Route && e.n >= routeMinimum && e.mean > b.cfg.LongFactor*b.service[Short-1].mean {
			return Long
		}
	}
	return Short
}

// learnAfter is how many requests of a class have to be answered before a latency
// counts as unusual. The first answers after a start are the quick ones, against
// which all other work in flight would look late.
const learnAfter = 50

// expected returns the mean latency of the route, or else of the class, or 0 while
// it isn't known.
func (b *Balancer) expected(route uint64, c Class) float64 {
	if route != 0 {
		if e := b.route(route); e.route == route && e.n >= routeMinimum {
			return e.mean
		}
	}
	if e := &b.service[c-1]; e.n >= learnAfter {
		return e.mean
	}
	return 0
}

// observe records the latency of a completed request.
func (b *Balancer) observe(f *flight, latency float64) {
	b.service[f.class-1].add(latency)
	if f.route == 0 {
		return
	}
	e := b.route(f.route)
	if e.route != f.route {
		*e = routeEstimate{route: f.route}
	}
	e.add(latency)
}
