package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pressureHigh and pressureLow are the numbers of requests per slot of a region above
	// which its spill share grows and below which it shrinks. The gap between them keeps
	// the share from oscillating.
	pressureHigh = 0.9
	pressureLow  = 0.5
	// peakDemandHalfLife is the half-life of the highest recent demand of a region.
	peakDemandHalfLife = 20 * time.Second
	// pressureFull is the load per slot at which a region takes hardly any spilled work.
	pressureFull = 1.2
	// busyWeightFactor and fullWeightFactor reduce a region's weight for spilled work from
	// pressureHigh and from pressureFull on.
	busyWeightFactor = 0.3
	fullWeightFactor = 0.02
	// longPressureHalfLife is the half-life of longPressure, for decisions that must not
	// change often.
	longPressureHalfLife = 4 * time.Second
	// rateHalfLife is the half-life of the request rates.
	rateHalfLife = 2 * time.Second
	// idleTimeout is the time without requests after which a service returns to its
	// initial spill share.
	idleTimeout = 5 * time.Second
	// convergenceStep is the part of the difference to the mean share of the region's
	// other VMs by which a VM approaches that mean in each tick.
	convergenceStep = 0.2
	// maxSpillRate bounds the change of a service's spill share per second.
	maxSpillRate = 0.12
	// pressureSpan is the excess over pressureHigh at which the spill share grows at its
	// full rate.
	pressureSpan = 0.2
	// maxSpill bounds the spill share.
	maxSpill = 0.9
	// steadyShiftFraction is the part of the cap on shifts that changes of the spill share
	// may use. The rest allows for random variation and for single requests that overflow.
	steadyShiftFraction = 0.5
	// overflowRatio is the share of requests that may leave the region one by one, beyond
	// the spill share. maxOverflowTokens bounds how many of them are saved up.
	overflowRatio     = 0.03
	maxOverflowTokens = 3.0
	// pressureHalfLife is the half-life of the pressure.
	pressureHalfLife = 500 * time.Millisecond
	// tickInterval is the interval of Tick, which is also assumed after a pause of more
	// than maxTickGap.
	tickInterval = 100 * time.Millisecond
	maxTickGap   = time.Second
	// unknownPressure is assumed for a region without recent load reports.
	unknownPressure = 0.5
)

// Tick updates the pressure, request rates and spill shares of all services. It is
// called several times a second.
func (p *Picker) Tick(now time.Time) {
	elapsed := now.Sub(p.lastTick)
	if p.lastTick.IsZero() || elapsed > maxTickGap {
		elapsed = tickInterval
	}
	p.lastTick = now
	total := 0.0
	order := make([]*service, 0, len(p.services))
	for _, s := range p.services {
		for region, group := range s.regions {
			s.updatePressure(now, region, group, elapsed)
		}
		s.updateRate(now, elapsed)
		s.decayObjects(elapsed)
		s.updateLimited()
		s.admission.tick(now, elapsed)
		if s.hasTraffic && now.Sub(s.lastArrival) > idleTimeout {
			s.hasTraffic, s.spill = false, p.initialSpill(s)
		}
		total += s.rate
		order = append(order, s)
	}
	// The cap applies to the requests of all services together, so a service with few
	// requests may move faster. Services with the lowest rate go first.
	slices.SortFunc(order, func(a, b *service) int { return cmp.Or(cmp.Compare(a.rate, b.rate), compareIDs(a.name, b.name)) })
	allowance := p.cfg.MaxShift * steadyShiftFraction * elapsed.Seconds() / p.cfg.ShiftWindow.Seconds()
	for n, s := range order {
		shared, known := s.sharedSpill(now)
		if !s.hasTraffic && known {
			// A VM that has just started uses the spill share of the others.
			s.spill = shared
		}
		if s.hasTraffic && total > 0 {
			fraction := s.rate / total
			maxStep := min(maxSpillRate*elapsed.Seconds(), allowance/max(fraction, 0.01))
			if n+1 < len(order) {
				// Services with more requests keep at least half of the allowance.
				maxStep = min(maxStep, allowance/2/max(fraction, 0.01))
			}
			before := s.spill
			s.updatePeakDemand(s.pressure[p.cfg.Region], elapsed)
			p.adjustSpill(s, maxStep)
			if known {
				// VMs with the same share send an object to the same region.
				s.spill += max(-maxStep, min(maxStep, (shared-s.spill)*convergenceStep))
			}
			allowance = max(0, allowance-math.Abs(s.spill-before)*fraction)
		}
		if now.Sub(s.objectsExpiredAt) > time.Second {
			s.objectsExpiredAt = now
			s.expireObjects(now)
		}
	}
}

// initialLoad is the load per slot over all regions that is assumed before any
// measurement. It is high because the instances hold no objects yet and work takes
// longest.
const initialLoad = 0.75

// initialSpill returns the spill share under the assumptions that all regions receive
// the same number of requests and that the load is initialLoad.
func (p *Picker) initialSpill(s *service) float64 {
	allSlots, ownSlots, numRegions := 0.0, 0.0, 0
	for region, group := range s.regions {
		if len(group) == 0 {
			continue
		}
		numRegions++
		for _, i := range group {
			allSlots += float64(i.Slots)
			if region == p.cfg.Region {
				ownSlots += float64(i.Slots)
			}
		}
	}
	if allSlots == 0 || ownSlots == 0 {
		return 0
	}
	return min(maxSpill, max(0, 1-ownSlots*float64(numRegions)/allSlots/initialLoad))
}

// updatePressure updates the smoothed loads per slot of a region.
func (s *service) updatePressure(now time.Time, region string, group []*instance, elapsed time.Duration) {
	used, slots := 0.0, 0.0
	for _, i := range group {
		if now.Sub(i.loadAt) > loadTTL || i.loadAt.IsZero() {
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
	s.pressure[region] = seen + (old-seen)*decay(elapsed, pressureHalfLife)
	oldLong, known := s.longPressure[region]
	if !known {
		oldLong = seen
	}
	s.longPressure[region] = seen + (oldLong-seen)*decay(elapsed, longPressureHalfLife)
}

// updateRate updates the smoothed request rate.
func (s *service) updateRate(now time.Time, elapsed time.Duration) {
	seen := s.numArrived / elapsed.Seconds()
	if s.numArrived > 0 {
		s.lastArrival = now
	}
	s.numArrived = 0
	s.rate = seen + (s.rate-seen)*decay(elapsed, rateHalfLife)
}

// updatePeakDemand updates the highest recent demand of this region: the pressure that all
// its requests would cause without spilling. Queues make the pressure of a full region grow
// faster than its demand, so it counts up to pressureFull.
func (s *service) updatePeakDemand(own float64, elapsed time.Duration) {
	demand := min(own, pressureFull) / (1 - min(s.spill, maxSpill))
	s.peakDemand = max(demand, s.peakDemand*decay(elapsed, peakDemandHalfLife))
}

// adjustSpill moves the spill share by at most maxStep: up while this region is under
// pressure and another one is not, and down while this region has capacity for what returns,
// or every other one is under more pressure or as full. A region takes back no more than it
// can serve at the recent peak of its demand, since the share grows more slowly than demand
// may rise.
func (p *Picker) adjustSpill(s *service, maxStep float64) {
	own := s.pressure[p.cfg.Region]
	lowest := math.Inf(1)
	for region := range s.regions {
		if region != p.cfg.Region {
			lowest = min(lowest, s.pressure[region])
		}
	}
	switch {
	case own > pressureHigh && lowest < pressureHigh:
		s.spill = min(maxSpill, s.spill+maxStep*min(1, (own-pressureHigh)/pressureSpan))
	case own < pressureLow:
		needed := max(0, 1-pressureLow/max(s.peakDemand, pressureLow))
		s.spill = max(min(s.spill, needed), s.spill-maxStep)
	case lowest > own, lowest > pressureHigh && own < lowest+pressureSpan:
		s.spill = max(0, s.spill-maxStep)
	}
}

// RecordArrival counts a request of a service, and adds its part of an overflow token.
func (p *Picker) RecordArrival(service string) {
	p.overflowTokens = min(maxOverflowTokens, p.overflowTokens+overflowRatio)
	if s := p.services[service]; s != nil {
		s.hasTraffic = true
		s.numArrived++
	}
}

// State describes the placement of a service for logs and reports.
type State struct {
	Service   string
	Spill     float64
	Pressure  map[string]float64
	Instances int
	Ejected   int
	Cold      int
}

// SpillShares returns the spill share of each service.
func (p *Picker) SpillShares() map[string]float64 {
	out := make(map[string]float64, len(p.services))
	for name, s := range p.services {
		out[name] = s.spill
	}
	return out
}

// State returns the state of a service.
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
		if i.ejection > 0 {
			st.Ejected++
		}
		if i.isCold(now) {
			st.Cold++
		}
	}
	return st
}
