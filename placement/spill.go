package placement

import "time"

const (
	// pressureHigh and pressureLow are the requests per slot of a region above
	// which work leaves it and below which it returns. The gap keeps the share
	// from swinging.
	pressureHigh = 0.9
	pressureLow  = 0.7
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
	// unknownPressure is assumed for a region that was not heard of lately.
	unknownPressure = 0.5
)

// Tick adapts the share of objects that run in other regions. It is called
// several times a second.
func (p *Picker) Tick(now time.Time) {
	elapsed := now.Sub(p.ticks)
	if p.ticks.IsZero() || elapsed > time.Second {
		elapsed = 100 * time.Millisecond
	}
	p.ticks = now
	for _, s := range p.services {
		for region, group := range s.regions {
			s.measure(now, region, group, elapsed)
		}
		p.adapt(s, elapsed)
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
}

// adapt moves the share of objects that run elsewhere.
func (p *Picker) adapt(s *service, elapsed time.Duration) {
	own := s.pressure[p.cfg.Region]
	least := 1.0
	for region := range s.regions {
		if region != p.cfg.Region {
			least = min(least, s.pressure[region])
		}
	}
	step := p.cfg.ShiftMost * shiftMargin * elapsed.Seconds() / p.cfg.ShiftWindow.Seconds()
	switch {
	case own > pressureHigh && least < pressureHigh:
		s.spill = min(spillMost, s.spill+step*min(1, (own-pressureHigh)/pressureSpan))
	case own < pressureLow || least > own:
		s.spill = max(0, s.spill-step)
	}
	s.overflow = min(overflowMost, s.overflow)
}

// Arrived counts a request of a service, which earns a part of an overflow.
func (p *Picker) Arrived(service string) {
	if s := p.services[service]; s != nil {
		s.started = true
		s.overflow = min(overflowMost, s.overflow+overflowShare)
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

// States describes all services.
func (p *Picker) States(now time.Time) []State {
	out := make([]State, 0, len(p.services))
	for _, s := range p.services {
		st := State{Service: s.name, Spill: s.spill, Pressure: make(map[string]float64), Instances: len(s.instances)}
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
		out = append(out, st)
	}
	return out
}
