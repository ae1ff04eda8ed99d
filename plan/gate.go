package plan

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// RegionState is what an entry VM itself observes of a region.
type RegionState uint8

// States of a region.
const (
	RegionUp RegionState = iota
	// RegionNoUpstreams means that the region's instances take no work, while
	// its entry VMs may be serving. A drain of a whole region counts as this.
	RegionNoUpstreams
	// RegionUnreachable means that nothing in the region answers.
	RegionUnreachable
)

// Defaults of GateConfig.
const (
	// DefaultShiftEvery is the time between two shifts that a Gate makes on its
	// way to a plan's shares.
	DefaultShiftEvery = 10 * time.Second
	shiftWindow       = 60 * time.Second
	// priorityReserve is the part of a link share that each step of priority
	// below the highest leaves to the services above it, priorityReserveMost
	// the most of it.
	priorityReserve     = 0.1
	priorityReserveMost = 0.5
	retryAfterRegion    = time.Second
)

// GateConfig names the entry VM of a Gate.
type GateConfig struct {
	VM          string
	Incarnation uint64
	Region      string
	// ShiftEvery is the time between two shifts on the way to a plan's shares,
	// each at most the cap per step. Default 10 s.
	ShiftEvery time.Duration
}

// Gate is an entry VM's enforcement of its part of a plan. Until it has a plan
// that names its VM it serves its own region only.
type Gate struct {
	cfg      GateConfig
	plan     *Plan
	share    *Share
	own      int
	services map[string]*gateService
	links    []linkBuckets // by region
	state    []RegionState
	// lost tells whether any region is lost.
	lost      bool
	confirmed uint64
	// layout counts changes of the order of the regions.
	layout uint32
}

// gateService is the state of one service. It outlives plans, as requests in
// flight do.
type gateService struct {
	name string
	// index in the plan, -1 when the plan doesn't have the service.
	index   int
	reserve float64
	// effective are the shares that apply now. They follow the plan's at the
	// pace of the caps, also when plans were missed.
	effective []float64
	row       []float64 // effective, or the failover row while a region is lost
	credit    []float64
	shifts    []Shift
	admit     float64 // fraction to admit
	admitted  float64 // credit of the above
	limits    []int64 // on concurrent work by target
	inFlight  []int64
	// strict applies the own region's limit exactly; otherwise it is exceeded by
	// at most spare while the VM's usual work needs it.
	strict   bool
	spare    int64
	usual    float64 // mean work in the own region over about usualOver
	usualAt  time.Time
	pressure bool
	answer   float64 // mean bytes of an answer
	refusals [3]*verdict.Error
}

const (
	refuseRegion = iota
	refuseLink
	refuseCap
)

// NewGate returns a gate without a plan.
func NewGate(cfg GateConfig) *Gate {
	if cfg.ShiftEvery <= 0 {
		cfg.ShiftEvery = DefaultShiftEvery
	}
	return &Gate{cfg: cfg, own: -1, services: make(map[string]*gateService)}
}

// SetPlan installs a plan. It refuses one that is older than the present one,
// lacks the VM's region or has other regions than the present one.
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
		g.reorder(p.Regions)
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

// reorder follows a change of the register's regions.
func (g *Gate) reorder(regions []string) {
	index := make([]int, len(regions))
	for i, r := range regions {
		index[i] = g.plan.Region(r)
	}
	g.layout++
	g.state, g.links = pick(g.state, index), pick(g.links, index)
	own := slices.Index(regions, g.cfg.Region)
	for _, s := range g.services {
		s.effective, s.credit = pick(s.effective, index), pick(s.credit, index)
		s.effective[own] = 1 - remoteShare(s.effective, own)
		s.limits, s.inFlight = pick(s.limits, index), pick(s.inFlight, index)
		s.row = nil
	}
}

func (g *Gate) setService(i, highest int, first bool) {
	p := &g.plan.Services[i]
	n := len(g.plan.Regions)
	s := g.services[p.Name]
	if s == nil {
		s = &gateService{name: p.Name}
		s.effective, s.credit = make([]float64, n), make([]float64, n)
		s.limits, s.inFlight = make([]int64, n), make([]int64, n)
		s.effective[g.own] = 1
		if first && g.share != nil {
			// A process that starts joins the others, which obey the plan already.
			copy(s.effective, p.Rows[g.own].Share)
		}
		for k, r := range []verdict.Reason{verdict.ReasonRegionLimit, verdict.ReasonLinkLimit, verdict.ReasonShiftCap} {
			s.refusals[k] = verdict.New(verdict.NotRun, r, retryAfterRegion)
		}
		g.services[p.Name] = s
	}
	s.index = i
	s.reserve = min(priorityReserveMost, priorityReserve*float64(highest-p.Priority))
}

// Observe records what the VM itself sees of a region. A loss applies the
// failover allowances of the plan at once.
func (g *Gate) Observe(now time.Time, region string, state RegionState) {
	if g.plan == nil {
		return
	}
	r := g.plan.Region(region)
	if r < 0 || g.state[r] == state {
		return
	}
	if state == RegionUp {
		// What was moved by a loss moves back at the pace of the caps.
		for _, s := range g.services {
			copy(s.effective, s.row)
			s.shifts = s.shifts[:0]
		}
	}
	g.state[r] = state
	g.refresh(now)
}

// Pressure tells whether the instances of the VM's own region are at their limit
// for a service, by load reports or refusals. The region's limit then applies
// exactly.
func (g *Gate) Pressure(now time.Time, service string, on bool) {
	if s := g.services[service]; s != nil && s.pressure != on {
		s.pressure = on
		g.refresh(now)
	}
}

// Tick moves the shares towards the plan's. It is called about once a second.
func (g *Gate) Tick(now time.Time) {
	if g.plan == nil {
		return
	}
	g.refresh(now)
}

// Confirmed returns the newest plan version that the VM obeys entirely: nothing
// in flight exceeds its shares. The planner may give away what older versions
// gave to this VM.
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
	g.lost = slices.ContainsFunc(g.state, func(s RegionState) bool { return s != RegionUp })
	for _, s := range g.services {
		g.follow(now, s)
		g.setRow(s)
		g.setLimits(s)
	}
}

// follow moves the effective shares towards the plan's: at most the cap per step
// each time, and the cap per minute within any 60 s.
func (g *Gate) follow(now time.Time, s *gateService) {
	if s.index < 0 || g.share == nil {
		return
	}
	p := &g.plan.Services[s.index]
	target := p.Rows[g.own].Share
	want := moved(s.effective, target)
	if want < epsilon {
		return
	}
	s.shifts = slices.DeleteFunc(s.shifts, func(m Shift) bool { return now.Sub(m.At) >= shiftWindow })
	if n := len(s.shifts); n > 0 && now.Sub(s.shifts[n-1].At) < g.cfg.ShiftEvery {
		return
	}
	amount := min(want, p.Step, p.Minute-total(s.shifts))
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
	sum := total(s.shifts)
	invariant.Check(invariant.ShiftUnderCap, sum <= p.Minute+epsilon,
		"VM %s moves %.3f of %s within 60 s, cap %.3f", g.cfg.VM, sum, s.name, p.Minute)
}

// setRow chooses the shares that apply: the effective ones, or those agreed for
// the loss of a region.
func (g *Gate) setRow(s *gateService) {
	if s.row == nil {
		s.row = make([]float64, len(s.effective))
	}
	copy(s.row, s.effective)
	s.admit = 1
	if !g.lost || s.index < 0 || g.share == nil {
		return
	}
	p := &g.plan.Services[s.index]
	if g.state[g.own] != RegionUp {
		copy(s.row, p.Losses[g.own].Rows[g.own])
		s.admit = p.Losses[g.own].Admit[g.own]
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
			s.admit = min(s.admit, p.Losses[r].Admit[g.own])
		}
	}
	switch {
	case g.state[g.own] == RegionUp:
		s.row[g.own] += left
	case reachable > 0:
		// With a second region lost, only the part meant for the others is admitted.
		s.admit *= reachable / (reachable + left)
	default:
		s.admit = 0
	}
}

// setLimits computes the limits on concurrent work. For the own region it is the
// VM's part of the slots that other regions' work leaves.
func (g *Gate) setLimits(s *gateService) {
	for t := range s.limits {
		s.limits[t] = 0
	}
	s.strict = false
	if s.index < 0 || g.share == nil {
		return
	}
	p := &g.plan.Services[s.index]
	copy(s.limits, g.share.Slots[s.index])
	s.strict = g.lost || s.pressure || p.Rows[g.own].Short > 0
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
			slots -= float64(v.heldBy().Slots[s.index][g.own])
		}
	}
	mine := s.limits[g.own]
	if whole := int64(max(0, slots)); all > 0 && whole < all {
		mine = (before+mine)*whole/all - before*whole/all
	}
	// With fewer slots than VMs some would get none; one each is the least that
	// lets every VM serve, and the instances' own limits hold the rest.
	s.limits[g.own] = max(1, mine)
	s.spare = int64(math.Ceil(math.Sqrt(float64(s.limits[g.own]))))
}
