package balance

// Class is the class of a request: short or long work.
type Class uint8

// Classes of work.
const (
	// Unknown requests are classified by their declared length and the observed
	// service time of their route.
	Unknown Class = iota
	Short
	Long
)

// estimate is a running mean of latencies in nanoseconds.
type estimate struct {
	mean float64
	n    float64
}

// Latencies are clipped to maxLatencyFactor times the mean, so that a slow period
// doesn't move the mean by which it is detected.
const (
	maxLatencyFactor = 6
	maxSamples       = 400 // the running mean covers about this many requests
)

func (e *estimate) add(latency float64) {
	if e.n > 20 {
		latency = min(latency, maxLatencyFactor*e.mean)
	}
	e.n = min(e.n+1, maxSamples)
	e.mean += (latency - e.mean) / e.n
	// With a mean of zero every later latency would be an outlier.
	e.mean = max(e.mean, 1000)
}

// routeTableSize is the number of routes whose service times are kept. Routes that
// share an entry replace each other.
const routeTableSize = 256

// minRouteSamples is the number of observed requests from which the mean of a route
// is used.
const minRouteSamples = 5

type routeEstimate struct {
	route uint64
	estimate
}

func (b *Balancer) route(id uint64) *routeEstimate { return &b.routes[id%routeTableSize] }

func (b *Balancer) classify(r *Request) Class {
	if r.Class == Short || r.Class == Long {
		return r.Class
	}
	if r.Length >= b.cfg.LongLength {
		return Long
	}
	if r.Route != 0 {
		e := b.route(r.Route)
		if e.route == r.Route && e.n >= minRouteSamples && e.mean > b.cfg.LongFactor*b.classEstimates[Short-1].mean {
			return Long
		}
	}
	return Short
}

// minClassSamples is the number of answered requests of a class from which
// latencies are compared with its mean. The first answers after a start are the
// fastest ones; compared with them all other work in flight would seem late.
const minClassSamples = 50

// expected returns the mean latency of the route, or of the class if that of the
// route isn't known, or 0 while neither is known.
func (b *Balancer) expected(route uint64, c Class) float64 {
	if route != 0 {
		if e := b.route(route); e.route == route && e.n >= minRouteSamples {
			return e.mean
		}
	}
	if e := &b.classEstimates[c-1]; e.n >= minClassSamples {
		return e.mean
	}
	return 0
}

// observe records the latency of a completed request.
func (b *Balancer) observe(f *flight, latency float64) {
	b.classEstimates[f.class-1].add(latency)
	if f.route == 0 {
		return
	}
	e := b.route(f.route)
	if e.route != f.route {
		*e = routeEstimate{route: f.route}
	}
	e.add(latency)
}
