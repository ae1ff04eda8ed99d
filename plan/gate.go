package plan

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// RegionState is the state of a region as an entry VM itself observes it.
type RegionState uint8

// States of a region.
const (
	RegionUp RegionState = iota
	// RegionNoUpstreams means that the region's instances accept no work, while its
	// entry VMs may be serving. It is also the state of a drained region.
	RegionNoUpstreams
	// RegionUnreachable means that nothing in the region answers.
	RegionUnreachable
)

// Defaults of GateConfig.
const (
	// DefaultShiftInterval is the default of GateConfig.ShiftInterval.
	DefaultShiftInterval = 10 * time.Second
	gateShiftWindow      = 60 * time.Second
	// priorityReserve is the fraction of a link share that a service leaves to
	// services of higher priority, for each step of priority below the highest;
	// maxPriorityReserve is the upper bound of the sum.
	priorityReserve    = 0.1
	maxPriorityReserve = 0.5
	refusalRetryAfter  = time.Second
)

// GateConfig identifies the entry VM of a Gate and holds its options.
type GateConfig struct {
	VM          string
	Incarnation uint64
	Region      string
	// ShiftInterval is the shortest time between two shifts towards a plan's shares,
	// each of which is at most the cap per step. Default 10 s.
	ShiftInterval time.Duration
}

// Gate enforces an entry VM's part of a plan. Until it has a plan with a share for
// its VM it admits requests to its own region only.
type Gate struct {
	cfg      GateConfig
	plan     *Plan
	share    *Share
	own      int
	services map[string]*gateService
	links    []linkBuckets // by region
	state    []RegionState
	// anyLost means that some region is lost.
	anyLost   bool
	confirmed uint64
	// layoutVersion counts the changes of the list of regions.
	layoutVersion uint32
}

// gateService is the state of one service. It is kept when the plan changes, since
// requests are in flight.
type gateService struct {
	name string
	// index is the service's index in the plan, -1 if the plan lacks it.
	index int
	// reservedFraction is the fraction of link shares left to higher priorities.
	reservedFraction float64
	// effective are the shares that apply now. They follow those of the plan no
	// faster than the caps allow, even if the VM missed plans.
	effective     []float64
	row           []float64 // effective, or the failover row while a region is lost
	targetCredit  []float64
	shifts        []Shift
	admitFraction float64 // fraction of requests to admit
	admitCredit   float64 // accumulated admitFraction; one admission costs 1
	limits        []int64 // limits on concurrent work by target region
	inFlight      []int64
	// isStrict means that the own region's limit applies exactly; otherwise the VM may
	// exceed it by spare while its mean work is near it.
	isStrict        bool
	spare           int64
	meanWork        float64 // mean work in the own region, over about meanWorkWindow
	meanWorkAt      time.Time
	isUnderPressure bool
	meanAnswerBytes float64 // running mean
	refusals        [3]*verdict.Error
}

const (
	refuseRegion = iota
	refuseLink
	refuseCap
)

// NewGate returns a gate without a plan.
func NewGate(cfg GateConfig) *Gate {
	if cfg.ShiftInterval <= 0 {
		cfg.ShiftInterval = DefaultShiftInterval
	}
	return &Gate{cfg: cfg, own: -1, services: make(map[string]*gateService)}
}

// SetPlan installs a plan. It rejects one that lacks the VM's region, has more than
// MaxRegions regions or isn't newer than the current one.
func (g *Gate) SetPlan(now time.Time, p *Plan) error {
	own := p.Region(g.cfg.Region)
	switch {
	case own < 0:
		return errors.Errorf("plan %d: no region %q", p.Version, g.cfg.Region)
	case len(p.Regions) > MaxRegions:
		return errors.Errorf("plan %d: %d regions, at most %d are possible", p.Version, len(p.Regions), MaxRegions)
	case g.plan != nil && p.Version <= g.plan.Version:
		return errors.Errorf("plan %d is not newer than %d", p.Version, g.plan.Version)
	}
	if g.plan == nil {
		g.state = make([]RegionState, len(p.Regions))
		g.links = make([]linkBuckets, len(p.Regions))
	} else if !slices.Equal(g.plan.Regions, p.Regions) {
		g.reindexRegions(p.Regions)
	}
	first := g.plan == nil
	g.plan, g.own = p, own
	g.share = p.Share(g.cfg.VM, g.cfg.Incarnation)
	highest := 0
	for i := range p.Services {
		highest = max(highest, p.Services[i].Priority)
	}
	for _, s := range g.services {
		s.index = -1
	}
	for i := range p.Services {
		g.setService(i, highest, first)
	}
	for r := range g.links {
		l := &g.links[r]
		l.advance(now)
		l.out.rate, l.in.rate = 0, 0
		if g.share != nil {
			l.out.rate, l.in.rate = float64(g.share.Out[r]), float64(g.share.In[r])
		}
	}
	g.refresh(now)
	return nil
}

// reindexRegions adapts the state to a changed list of regions.
func (g *Gate) reindexRegions(regions []string) {
	index := make([]int, len(regions))
	for i, r := range regions {
		index[i] = g.plan.Region(r)
	}
	g.layoutVersion++
	g.state, g.links = reindex(g.state, index), reindex(g.links, index)
	own := slices.Index(regions, g.cfg.Region)
	for _, s := range g.services {
		s.effective, s.targetCredit = reindex(s.effective, index), reindex(s.targetCredit, index)
		s.effective[own] = 1 - remoteShare(s.effective, own)
		s.limits, s.inFlight = reindex(s.limits, index), reindex(s.inFlight, index)
		s.row = nil
	}
}

func (g *Gate) setService(i, highest int, first bool) {
	p := &g.plan.Services[i]
	n := len(g.plan.Regions)
	s := g.services[p.Name]
	if s == nil {
		s = &gateService{name: p.Name}
		s.effective, s.targetCredit = make([]float64, n), make([]float64, n)
		s.limits, s.inFlight = make([]int64, n), make([]int64, n)
		s.effective[g.own] = 1
		if first && g.share != nil {
			// A VM that starts uses the plan's shares at once, as the other VMs do
			// already.
			copy(s.effective, p.Rows[g.own].Share)
		}
		for k, r := range []verdict.Reason{verdict.ReasonRegionLimit, verdict.ReasonLinkLimit, verdict.ReasonShiftCap} {
			s.refusals[k] = verdict.New(verdict.NotRun, r, refusalRetryAfter)
		}
		g.services[p.Name] = s
	}
	s.index = i
	s.reservedFraction = min(maxPriorityReserve, priorityReserve*float64(highest-p.Priority))
}

// Observe sets the state of a region as the VM observes it. When a region is lost,
// the plan's failover allowances apply at once.
func (g *Gate) Observe(now time.Time, region string, state RegionState) {
	if g.plan == nil {
		return
	}
	r := g.plan.Region(region)
	if r < 0 || g.state[r] == state {
		return
	}
	if state == RegionUp {
		// Work that moved because of the loss returns no faster than the caps allow.
		for _, s := range g.services {
			copy(s.effective, s.row)
			s.shifts = s.shifts[:0]
		}
	}
	g.state[r] = state
	g.refresh(now)
}

// SetUnderPressure sets whether the instances of the VM's own region are at their limit
// for a service, according to load reports or refusals. The VM's limit in the region then
// applies exactly.
func (g *Gate) SetUnderPressure(now time.Time, service string, underPressure bool) {
	if s := g.services[service]; s != nil && s.isUnderPressure != underPressure {
		s.isUnderPressure = underPressure
		g.refresh(now)
	}
}

// Tick moves the shares towards the plan's. Call it about once a second.
func (g *Gate) Tick(now time.Time) {
	if g.plan == nil {
		return
	}
	g.refresh(now)
}

// Confirmed returns the newest plan version that the VM obeys entirely: no work in
// flight in other regions exceeds its shares. The planner may reassign what only
// older versions granted to this VM.
func (g *Gate) Confirmed() uint64 {
	if g.plan == nil {
		return 0
	}
	for _, s := range g.services {
		for t, n := range s.inFlight {
			if t != g.own && n > s.limits[t] {
				return g.confirmed
			}
		}
	}
	g.confirmed = g.plan.Version
	return g.confirmed
}

// Version returns the version of the plan in use, 0 without one.
func (g *Gate) Version() uint64 {
	if g.plan == nil {
		return 0
	}
	return g.plan.Version
}

func (g *Gate) refresh(now time.Time) {
	g.anyLost = slices.ContainsFunc(g.state, func(s RegionState) bool { return s != RegionUp })
	for _, s := range g.services {
		g.advanceShares(now, s)
		g.setRow(s)
		g.setLimits(s)
	}
}

// advanceShares moves the effective shares towards the plan's: by at most the cap per
// step each time, and by at most the cap per minute within any 60 s.
func (g *Gate) advanceShares(now time.Time, s *gateService) {
	if s.index < 0 || g.share == nil {
		return
	}
	p := &g.plan.Services[s.index]
	target := p.Rows[g.own].Share
	want := movedFraction(s.effective, target)
	if want < epsilon {
		return
	}
	s.shifts = slices.DeleteFunc(s.shifts, func(m Shift) bool { return now.Sub(m.At) >= gateShiftWindow })
	if n := len(s.shifts); n > 0 && now.Sub(s.shifts[n-1].At) < g.cfg.ShiftInterval {
		return
	}
	amount := min(want, p.Step, p.Minute-sumShifts(s.shifts))
	if amount < epsilon {
		return
	}
	for t := range s.effective {
		s.effective[t] += (target[t] - s.effective[t]) * amount / want
	}
	s.shifts = append(s.shifts, Shift{At: now, Amount: amount})
	g.checkShifts(s, p)
}

func (g *Gate) checkShifts(s *gateService, p *Service) {
	sum := sumShifts(s.shifts)
	invariant.Check(invariant.ShiftUnderCap, sum <= p.Minute+epsilon,
		"VM %s moves %.3f of %s within 60 s, cap %.3f", g.cfg.VM, sum, s.name, p.Minute)
}

// setRow sets the shares that apply: the effective ones, or those planned for the
// loss of a region.
func (g *Gate) setRow(s *gateService) {
	if s.row == nil {
		s.row = make([]float64, len(s.effective))
	}
	copy(s.row, s.effective)
	s.admitFraction = 1
	if !g.anyLost || s.index < 0 || g.share == nil {
		return
	}
	p := &g.plan.Services[s.index]
	if g.state[g.own] != RegionUp {
		copy(s.row, p.Losses[g.own].Rows[g.own])
		s.admitFraction = p.Losses[g.own].Admit[g.own]
	}
	left, reachable := 0.0, 0.0
	for r, state := range g.state {
		if state == RegionUp {
			reachable += s.row[r]
			continue
		}
		if r != g.own {
			left += s.row[r]
			s.row[r] = 0
			s.admitFraction = min(s.admitFraction, p.Losses[r].Admit[g.own])
		}
	}
	switch {
	case g.state[g.own] == RegionUp:
		s.row[g.own] += left
	case reachable > 0:
		// If a second region is lost, only the part for the remaining targets is
		// admitted.
		s.admitFraction *= reachable / (reachable + left)
	default:
		s.admitFraction = 0
	}
}

// setLimits computes the limits on concurrent work. The limit in the own region is
// the VM's part of the slots that the work of other regions leaves.
func (g *Gate) setLimits(s *gateService) {
	for t := range s.limits {
		s.limits[t] = 0
	}
	s.isStrict = false
	if s.index < 0 || g.share == nil {
		return
	}
	p := &g.plan.Services[s.index]
	copy(s.limits, g.share.Slots[s.index])
	s.isStrict = g.anyLost || s.isUnderPressure || p.Rows[g.own].Short > 0
	slots := min(float64(p.Slots[g.own]), p.Healthy[g.own])
	var all, before int64
	for i := range g.plan.VMs {
		v := &g.plan.VMs[i]
		if v.Region == g.own {
			if v == g.share {
				before = all
			}
			all += v.Slots[s.index][g.own]
			continue
		}
		if p.Rows[v.Region].Share[g.own] > 0 || g.state[v.Region] == RegionNoUpstreams {
			slots -= float64(v.heldAmounts().Slots[s.index][g.own])
		}
	}
	mine := s.limits[g.own]
	if whole := int64(max(0, slots)); all > 0 && whole < all {
		mine = (before+mine)*whole/all - before*whole/all
	}
	// With fewer slots than VMs some VMs would get none. Each VM may use at least one,
	// so that it can serve; the instances' own limits bound the sum.
	s.limits[g.own] = max(1, mine)
	s.spare = int64(math.Ceil(math.Sqrt(float64(s.limits[g.own]))))
}
