package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pressureHigh and pressureLow are the requests per slot of a region above
	// which work leaves it and below which it returns. The gap keeps the share
	// from swinging.
	pressureHigh = 0.9
	pressureLow  = 0.7
	// pressureFull is the load per slot at which a region takes next to nothing
	// from elsewhere.
	pressureFull = 1.2
	// busyRoom and fullRoom are the parts of a region's slots that count for work
	// from elsewhere above pressureHigh and pressureFull.
	busyRoom = 0.3
	fullRoom = 0.02
	// lastingHalf smooths the pressure for decisions that must not change often.
	lastingHalf = 4 * time.Second
	// rateHalf smooths the rates of requests.
	rateHalf = 2 * time.Second
	// quietAfter is how long without requests makes a service start anew.
	quietAfter = 5 * time.Second
	// agreeStep is the part of the way to the mean share of the region's other VMs
	// that a VM goes in one tick.
	agreeStep = 0.2
	// spillFastest bounds how fast the share of a service moves, per second.
	spillFastest = 0.12
	// pressureSpan is the excess over pressureHigh at which the share grows at
	// its full rate.
	pressureSpan = 0.2
	// spillMost bounds the share of objects that run elsewhere.
	spillMost = 0.9
	// shiftMargin is the part of the cap on shifts that the steady share uses;
	// the rest is for chance and for single requests that overflow.
	shiftMargin = 0.5
	// overflowShare is the part of requests that may leave the region singly.
	overflowShare = 0.03
	overflowMost  = 3.0
	// pressureHalf smooths the pressure.
	pressureHalf = 500 * time.Millisecond
	// usualTick is the interval of Tick, assumed after a pause of more than tickMost.
	usualTick = 100 * time.Millisecond
	tickMost  = time.Second
	// unknownPressure is assumed for a region that was not heard of lately.
	unknownPressure = 0.5
)

// Tick adapts the share of objects that run in other regions. It is called
// several times a second.
func (p *Picker) Tick(now time.Time) {
	elapsed := now.Sub(p.ticks)
	if p.ticks.IsZero() || elapsed > tickMost {
		elapsed = usualTick
	}
	p.ticks = now
	total := 0.0
	order := make([]*service, 0, len(p.services))
	for _, s := range p.services {
		for region, group := range s.regions {
			s.measure(now, region, group, elapsed)
		}
		s.countArrivals(now, elapsed)
		if s.started && now.Sub(s.lastArrival) > quietAfter {
			s.started, s.spill = false, p.initialSpill(s)
		}
		total += s.rate
		order = append(order, s)
	}
	// The cap counts the requests of all services together, so a service with
	// few of them may move faster.
	slices.SortFunc(order, func(a, b *service) int { return cmp.Or(cmp.Compare(a.rate, b.rate), compare(a.name, b.name)) })
	allowance := p.cfg.ShiftMost * shiftMargin * elapsed.Seconds() / p.cfg.ShiftWindow.Seconds()
	for n, s := range order {
		shared, known := s.sharedSpill(now)
		if !s.started && known {
			// A VM that has just started places objects as the others do.
			s.spill = shared
		}
		if s.started && total > 0 {
			part := s.rate / total
			most := min(spillFastest*elapsed.Seconds(), allowance/max(part, 0.01))
			if n+1 < len(order) {
				// Leaves the larger ones at least half.
				most = min(most, allowance/2/max(part, 0.01))
			}
			before := s.spill
			p.adapt(s, most)
			if known {
				// VMs that agree leave objects in one place.
				s.spill += max(-most, min(most, (shared-s.spill)*agreeStep))
			}
			allowance = max(0, allowance-math.Abs(s.spill-before)*part)
		}
		if now.Sub(s.forgotten) > time.Second {
			s.forgotten = now
			s.forget(now)
		}
	}
}

// startLoad is the load per slot, over all regions, that is assumed before anything
// was measured: nothing is held by the instances yet, so work takes longest.
const startLoad = 0.75

// initialSpill is the share that leaves the region if the callers of all regions
// ask alike and the service is loaded as assumed.
func (p *Picker) initialSpill(s *service) float64 {
	all, own, regions := 0.0, 0.0, 0
	for region, group := range s.regions {
		if len(group) == 0 {
			continue
		}
		regions++
		for _, i := range group {
			all += float64(i.Slots)
			if region == p.cfg.Region {
				own += float64(i.Slots)
			}
		}
	}
	if all == 0 || own == 0 {
		return 0
	}
	return min(spillMost, max(0, 1-own*float64(regions)/all/startLoad))
}

// measure smooths the load per slot of a region.
func (s *service) measure(now time.Time, region string, group []*instance, elapsed time.Duration) {
	used, slots := 0.0, 0.0
	for _, i := range group {
		if now.Sub(i.loadAt) > loadKeep || i.loadAt.IsZero() {
			continue
		}
		used += float64(i.inFlight(now))
		slots += float64(max(1, i.Slots))
	}
	seen := unknownPressure
	if slots > 0 {
		seen = used / slots
	}
	old, known := s.pressure[region]
	if !known {
		old = seen
	}
	s.pressure[region] = seen + (old-seen)*decay(elapsed, pressureHalf)
	slow, known := s.lasting[region]
	if !known {
		slow = seen
	}
	s.lasting[region] = seen + (slow-seen)*decay(elapsed, lastingHalf)
}

// countArrivals smooths the rate of requests.
func (s *service) countArrivals(now time.Time, elapsed time.Duration) {
	seen := s.arrived / elapsed.Seconds()
	if s.arrived > 0 {
		s.lastArrival = now
	}
	s.arrived = 0
	s.rate = seen + (s.rate-seen)*decay(elapsed, rateHalf)
}

// adapt moves the share of objects that run elsewhere by at most step.
func (p *Picker) adapt(s *service, step float64) {
	own := s.pressure[p.cfg.Region]
	least := math.Inf(1)
	for region := range s.regions {
		if region != p.cfg.Region {
			least = min(least, s.pressure[region])
		}
	}
	switch {
	case own > pressureHigh && least < pressureHigh:
		s.spill = min(spillMost, s.spill+step*min(1, (own-pressureHigh)/pressureSpan))
	case own < pressureLow || least > own:
		s.spill = max(0, s.spill-step)
	}
}

// Arrived counts a request of a service, which earns a part of an overflow.
func (p *Picker) Arrived(service string) {
	p.overflow = min(overflowMost, p.overflow+overflowShare)
	if s := p.services[service]; s != nil {
		s.started = true
		s.arrived++
	}
}

// State describes a service for logs and reports.
type State struct {
	Service   string
	Spill     float64
	Pressure  map[string]float64
	Instances int
	Ejected   int
	Cold      int
}

// Spills returns the share of each service's objects that run elsewhere.
func (p *Picker) Spills() map[string]float64 {
	out := make(map[string]float64, len(p.services))
	for name, s := range p.services {
		out[name] = s.spill
	}
	return out
}

// State describes a service.
func (p *Picker) State(now time.Time, service string) State {
	st := State{Service: service, Pressure: make(map[string]float64)}
	s := p.services[service]
	if s == nil {
		return st
	}
	st.Spill, st.Instances = s.spill, len(s.instances)
	for region, v := range s.pressure {
		st.Pressure[region] = v
	}
	for _, i := range s.instances {
		if i.ejectFor > 0 {
			st.Ejected++
		}
		if i.isCold(now) {
			st.Cold++
		}
	}
	return st
}
