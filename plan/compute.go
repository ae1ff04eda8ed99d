package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
)

// Compute returns the next plan and its moves against the previous one. It returns an
// error if the input is not valid; the previous plan then remains in force.
func Compute(in Input) (*Plan, []Move, error) {
	c, err := newComputation(&in)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range c.byPriority() {
		c.computeRows(s)
	}
	c.linkFreeAfterLoss = make([][][]float64, c.n)
	for l := range c.n {
		for a := range c.n {
			c.linkFreeAfterLoss[l] = append(c.linkFreeAfterLoss[l], slices.Clone(c.linkFree[a]))
		}
	}
	for _, s := range c.byPriority() {
		c.planLosses(s)
		c.setRemoteLimits(s)
	}
	c.assignShares()
	c.checkInvariants()
	return c.plan, c.moves, nil
}

// computation is the state of one call of Compute.
type computation struct {
	in    *Input
	plan  *Plan
	prev  *Plan
	moves []Move
	n     int // number of regions
	// linkFree is what planned overflow leaves of each link's limit, in bytes/s.
	linkFree [][]float64
	// linkFreeAfterLoss is the same for the loss of each region.
	linkFreeAfterLoss [][][]float64
	state             map[*Service]*serviceState
}

// serviceState is the planner's working state for one service. A frozen region has no
// fresh measurement of its capacity and gets no more work than before; a frozen row
// has no fresh measurement of its demand and is not shifted.
type serviceState struct {
	svc            *register.Service
	prev           *Service
	frozenRegions  []bool
	frozenRows     []bool
	keepFraction   []float64 // fraction of own work that may stay before a planned drain
	remoteCapacity []float64 // capacity for work of other regions, reduced before a planned drain
}

func newComputation(in *Input) (*computation, error) {
	if in.Register == nil || in.Rules == nil || in.Now.IsZero() {
		return nil, errors.New("plan: register, rules and time are needed")
	}
	regions := in.Register.RegionNames()
	if len(regions) == 0 || len(regions) > MaxRegions {
		return nil, errors.Errorf("plan: %d regions are outside 1 to %d", len(regions), MaxRegions)
	}
	if in.ChangeID == "" {
		return nil, errors.New("plan: a change ID is needed")
	}
	if in.Previous != nil && in.Now.Before(in.Previous.At) {
		return nil, errors.Errorf("plan: the clock is %v behind the previous plan", in.Previous.At.Sub(in.Now))
	}
	c := &computation{in: in, n: len(regions), state: make(map[*Service]*serviceState)}
	c.prev = translate(in.Previous, in.Register, regions)
	c.plan = &Plan{Version: 1, ChangeID: in.ChangeID, At: in.Now, Regions: regions}
	if in.Previous != nil {
		c.plan.Version = in.Previous.Version + 1
	}
	c.setLinks()
	c.plan.Services = make([]Service, len(in.Register.Services))
	for i := range in.Register.Services {
		c.initService(i)
	}
	return c, nil
}

// setLinks sets the limits of the links to their capacity less the headroom.
func (c *computation) setLinks() {
	c.plan.Links = make([][]int64, c.n)
	c.linkFree = make([][]float64, c.n)
	for a := range c.n {
		c.plan.Links[a] = make([]int64, c.n)
		c.linkFree[a] = make([]float64, c.n)
		for b := range c.n {
			l := c.in.Register.Link(c.plan.Regions[a], c.plan.Regions[b])
			if a == b || l == nil {
				continue
			}
			limit := float64(l.BitsPerSecond) / 8 * (1 - c.in.Rules.Headroom())
			c.plan.Links[a][b] = int64(limit)
			// Overflow is planned within the fraction that is assigned to VMs.
			c.linkFree[a][b] = limit * (1 - UnassignedFraction)
		}
	}
}

// initService sets the measured and configured values of a service.
func (c *computation) initService(i int) {
	svc := &c.in.Register.Services[i]
	limits := c.in.Rules.Cap(svc.Name)
	s := &c.plan.Services[i]
	*s = Service{
		Name: svc.Name, Priority: svc.Priority,
		Slots: make([]int, c.n), Limit: make([]int, c.n),
		Healthy: make([]float64, c.n), Remote: make([]float64, c.n), Rows: make([]Row, c.n),
		Step: limits.StepPercent / 100, Minute: limits.MinutePercent / 100, Failover: limits.FailoverPercent / 100,
	}
	st := &serviceState{svc: svc, frozenRegions: make([]bool, c.n), frozenRows: make([]bool, c.n)}
	if c.prev != nil {
		st.prev = c.prev.Service(svc.Name)
	}
	c.state[s] = st
	for r := range c.n {
		c.setCapacity(s, st, r)
		c.setDemand(s, st, r)
	}
}

// setCapacity sets the capacity to plan with: the registered capacity less its drained
// part, bounded by the measured capacity or, if the measurement is old, by the capacity
// in the previous plan.
func (c *computation) setCapacity(s *Service, st *serviceState, r int) {
	registered := 0.0
	for i := range st.svc.Instances {
		in := &st.svc.Instances[i]
		if c.in.Register.RegionOf(in.DataCentre) != c.plan.Regions[r] {
			continue
		}
		f := 1.0
		if c.in.Drains != nil {
			f = c.in.Drains.InstanceFraction(c.in.Now, in.ID)
		}
		registered += f * float64(in.Slots)
	}
	s.Slots[r] = int(registered)
	s.Healthy[r] = registered
	m, ok := c.measuredCapacity(s.Name, c.plan.Regions[r])
	switch {
	case ok:
		s.Healthy[r] = min(registered, m)
	case st.prev != nil:
		s.Healthy[r] = min(registered, st.prev.Healthy[r])
	}
	st.frozenRegions[r] = !ok
	s.Remote[r] = s.Healthy[r]
	if st.prev != nil {
		// Capacity for other regions' work grows gradually, since caches are cold.
		step := min(c.in.Now.Sub(c.prev.At), MeasurementDelay).Seconds() / rampTime.Seconds() * registered
		if !ok {
			step = 0
		}
		s.Remote[r] = min(s.Healthy[r], st.prev.Remote[r]+step)
	}
}

func (c *computation) measuredCapacity(service, region string) (float64, bool) {
	best := time.Time{}
	slots := 0.0
	for i := range c.in.Capacity {
		m := &c.in.Capacity[i]
		if m.Service == service && m.Region == region && m.At.After(best) && isPlausible(m.Slots) {
			best, slots = m.At, m.Slots
		}
	}
	return slots, c.isFresh(best)
}

func (c *computation) isFresh(at time.Time) bool {
	return !at.IsZero() && c.in.Now.Sub(at) <= MaxMeasurementAge
}

func isPlausible(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) }

// setDemand sets the demand to the newest measurement. An old one is still the best
// estimate, but its row is not shifted.
func (c *computation) setDemand(s *Service, st *serviceState, r int) {
	row := &s.Rows[r]
	if !slices.ContainsFunc(c.in.VMs, func(v VM) bool { return v.Region == c.plan.Regions[r] }) {
		st.frozenRows[r] = true
		return // callers of a region without entry VMs reach those of other regions
	}
	best := time.Time{}
	for i := range c.in.Demand {
		d := &c.in.Demand[i]
		if d.Service != s.Name || d.Origin != c.plan.Regions[r] || !d.At.After(best) ||
			!isPlausible(d.Slots) || !isPlausible(d.RequestBytes) || !isPlausible(d.AnswerBytes) {
			continue
		}
		best = d.At
		row.Demand, row.RequestBytes, row.AnswerBytes = d.Slots, d.RequestBytes, d.AnswerBytes
	}
	if !c.isFresh(best) {
		st.frozenRows[r] = true
		if st.prev != nil {
			old := &st.prev.Rows[r]
			row.Demand, row.RequestBytes, row.AnswerBytes = old.Demand, old.RequestBytes, old.AnswerBytes
		}
	}
}

// byPriority returns the services in descending order of priority.
func (c *computation) byPriority() []*Service {
	out := make([]*Service, len(c.plan.Services))
	for i := range c.plan.Services {
		out[i] = &c.plan.Services[i]
	}
	slices.SortStableFunc(out, func(a, b *Service) int { return cmp.Compare(b.Priority, a.Priority) })
	return out
}

// translate returns the previous plan with its lists in the order of the current
// register, so that regions and services can be added or removed. It returns nil if
// there is no previous plan.
func translate(p *Plan, reg *register.Register, regions []string) *Plan {
	if p == nil {
		return nil
	}
	names := make([]string, len(reg.Services))
	for i := range reg.Services {
		names[i] = reg.Services[i].Name
	}
	same := slices.Equal(p.Regions, regions) &&
		slices.EqualFunc(p.Services, names, func(s Service, n string) bool { return s.Name == n })
	if same {
		return p
	}
	t := &Plan{Version: p.Version, ChangeID: p.ChangeID, At: p.At, Regions: regions}
	index := make([]int, len(regions)) // index of each region in the old lists, or -1
	for i, r := range regions {
		index[i] = p.Region(r)
	}
	for _, n := range names {
		if s := p.Service(n); s != nil {
			t.Services = append(t.Services, translateService(s, index))
		}
	}
	for i := range p.VMs {
		v := &p.VMs[i]
		r := slices.Index(index, v.Region)
		if r < 0 {
			continue
		}
		w := Share{ID: v.ID, Incarnation: v.Incarnation, Region: r, Since: v.Since}
		w.Slots, w.Out, w.In = translateAmounts(p, names, index, v.Slots, v.Out, v.In)
		if v.Held != nil {
			w.Held = new(Held)
			w.Held.Slots, w.Held.Out, w.Held.In = translateAmounts(p, names, index, v.Held.Slots, v.Held.Out, v.Held.In)
		}
		t.VMs = append(t.VMs, w)
	}
	return t
}

func translateAmounts(p *Plan, names []string, index []int, slots [][]int64, out, in []int64) ([][]int64, []int64, []int64) {
	s := make([][]int64, len(names))
	for i, n := range names {
		s[i] = make([]int64, len(index))
		old := slices.IndexFunc(p.Services, func(s Service) bool { return s.Name == n })
		if old >= 0 && old < len(slots) {
			s[i] = reindex(slots[old], index)
		}
	}
	return s, reindex(out, index), reindex(in, index)
}

func translateService(s *Service, index []int) Service {
	t := *s
	t.Slots, t.Limit = reindex(s.Slots, index), reindex(s.Limit, index)
	t.Healthy, t.Remote = reindex(s.Healthy, index), reindex(s.Remote, index)
	t.Rows, t.Losses = reindex(s.Rows, index), nil
	for o := range t.Rows {
		row := &t.Rows[o]
		share := reindex(row.Share, index)
		if len(row.Share) == 0 {
			share = make([]float64, len(index))
		}
		// The region of origin serves the work that went to a removed region.
		share[o] = 1 - remoteShare(share, o)
		row.Share = share
	}
	return t
}

// reindex returns the elements of list at the given indexes, and the zero value for
// an index outside the list.
func reindex[T any](list []T, index []int) []T {
	out := make([]T, len(index))
	for i, j := range index {
		if j >= 0 && j < len(list) {
			out[i] = list[j]
		}
	}
	return out
}

// epsilon is the tolerance for rounding errors in sums of fractions.
const epsilon = 1e-6

// checkInvariants checks the planner's invariants on the finished plan.
func (c *computation) checkInvariants() {
	p := c.plan
	for i := range p.Services {
		s := &p.Services[i]
		for o := range s.Rows {
			shifts := s.Rows[o].Shifts
			if len(shifts) == 0 || !shifts[len(shifts)-1].At.Equal(p.At) {
				continue // earlier shifts may exceed a cap that was lowered later
			}
			sum := sumShifts(shifts)
			invariant.Check(invariant.ShiftUnderCap, sum <= s.Minute+epsilon && shifts[len(shifts)-1].Amount <= s.Step+epsilon,
				"plan %d moves %.3f of %s of %s within %v, cap %.3f", p.Version, sum, p.Regions[o], s.Name, ShiftWindow, s.Minute)
		}
		for t := range s.Limit {
			room := s.Remote[t]*(1-c.in.Rules.Headroom()) - localWork(s, t)
			invariant.Check(invariant.RegionNotOver, float64(s.Limit[t]) <= max(0, room)+epsilon,
				"plan %d lets %d slots of %s into %s, room %.1f", p.Version, s.Limit[t], s.Name, p.Regions[t], room)
		}
	}
	c.checkShares()
}

func percent(f float64) string { return fmt.Sprintf("%.1f %%", 100*f) }
