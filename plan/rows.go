package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/currantferry/currantferry/rules"
)

// rows sets the shares of a service, from the previous ones towards the target
// and no faster than the caps allow.
func (c *computation) rows(s *Service) {
	st := c.state[s]
	c.fade(s, st)
	target := c.target(s, st)
	for o := range s.Rows {
		row := &s.Rows[o]
		before := c.before(st, o)
		row.Share = before
		if st.prev != nil {
			row.Shifts = recent(st.prev.Rows[o].Shifts, c.in.Now)
		}
		if !st.frozenRow[o] && row.Demand > 0 {
			c.shift(s, st, o, before, target[o])
		}
		row.Short = c.short(s, st, o)
	}
}

// before returns the shares in force. Without a plan, every region serves its own.
func (c *computation) before(st *serviceState, o int) []float64 {
	if st.prev != nil {
		return slices.Clone(st.prev.Rows[o].Share)
	}
	share := make([]float64, c.n)
	share[o] = 1
	return share
}

func recent(shifts []Shift, now time.Time) []Shift {
	var out []Shift
	for _, m := range shifts {
		if now.Sub(m.At) < ShiftWindow {
			out = append(out, m)
		}
	}
	return out
}

func total(shifts []Shift) float64 {
	sum := 0.0
	for i := range shifts {
		sum += shifts[i].Amount
	}
	return sum
}

// fade takes work from regions whose drain is planned, early enough that all of
// it can leave under the cap one window before the drain starts.
func (c *computation) fade(s *Service, st *serviceState) {
	st.away = slices.Clone(s.Remote)
	st.keep = make([]float64, c.n)
	for r := range st.keep {
		st.keep[r] = 1
	}
	if s.Minute <= 0 {
		return
	}
	lead := time.Duration(float64(ShiftWindow) / s.Minute)
	for i := range c.in.Rules.Drains {
		d := &c.in.Rules.Drains[i]
		r := c.plan.Region(d.Target)
		ahead := d.Start.Sub(c.in.Now) - ShiftWindow
		if d.Kind != rules.TargetRegion || r < 0 || ahead <= -ShiftWindow || ahead >= lead {
			continue
		}
		st.keep[r] = min(st.keep[r], max(0, float64(ahead)/float64(lead)))
		st.away[r] = s.Remote[r] * st.keep[r]
	}
}

// room is what a region can take of other regions' work, in slots.
func (c *computation) room(s *Service, st *serviceState, t int) float64 {
	return max(0, st.away[t]*(1-c.in.Rules.Headroom())-s.Rows[t].Demand)
}

// overflow returns the part of a row's demand that must leave its region. Between
// the two marks, what left before keeps leaving.
func (c *computation) overflow(s *Service, st *serviceState, o int) float64 {
	d := s.Rows[o].Demand
	gone := remoteShare(c.before(st, o), o) * d
	least := max(0, d-overflowAbove*s.Healthy[o], d*(1-st.keep[o]))
	most := max(least, d-overflowBelow*s.Healthy[o])
	return min(max(gone, least), most)
}

// target returns the wanted shares. Each region serves its own work first; the
// overflow goes to the regions that already get some of it, then to the nearest,
// within their room and the links.
func (c *computation) target(s *Service, st *serviceState) [][]float64 {
	room := make([]float64, c.n)
	over := make([]float64, c.n)
	order := make([]int, c.n)
	share := make([][]float64, c.n)
	for r := range c.n {
		room[r] = c.room(s, st, r)
		over[r] = c.overflow(s, st, r)
		order[r] = r
		share[r] = make([]float64, c.n)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(over[b], over[a]) })
	for _, o := range order {
		row := &s.Rows[o]
		left := over[o]
		for _, t := range c.nearest(st, o, room) {
			if left <= 0 {
				break
			}
			most := room[t]
			if st.frozenRegion[t] {
				most = min(most, c.before(st, o)[t]*row.Demand)
			}
			take := c.takeLink(c.linkFree, row, o, t, min(left, most))
			share[o][t] = take / row.Demand
			room[t] -= take
			left -= take
		}
		share[o][o] = max(0, 1-remoteShare(share[o], o))
	}
	return share
}

// nearest returns the other regions, the present targets of the row first.
func (c *computation) nearest(st *serviceState, o int, room []float64) []int {
	before := c.before(st, o)
	var out []int
	for t := range c.n {
		if t != o {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		if used := cmp.Compare(before[b], before[a]); used != 0 {
			return used
		}
		if near := cmp.Compare(c.latency(o, a), c.latency(o, b)); near != 0 {
			return near
		}
		return cmp.Compare(room[b], room[a])
	})
	return out
}

func (c *computation) latency(a, b int) float64 {
	if l := c.in.Register.Link(c.plan.Regions[a], c.plan.Regions[b]); l != nil {
		return l.OneWayMillis
	}
	return math.Inf(1)
}

// takeLink takes the bytes of some slots of a row's work from both directions of
// a link and returns the slots that fit.
func (c *computation) takeLink(free [][]float64, row *Row, o, t int, slots float64) float64 {
	if slots <= 0 || row.Demand <= 0 || c.plan.Links[o][t] == 0 {
		return 0
	}
	out, in := row.RequestBytes/row.Demand, row.AnswerBytes/row.Demand
	if out > 0 {
		slots = min(slots, free[o][t]/out)
	}
	if in > 0 {
		slots = min(slots, free[t][o]/in)
	}
	slots = max(0, slots)
	free[o][t] -= slots * out
	free[t][o] -= slots * in
	return slots
}

// shift moves a row towards its target.
func (c *computation) shift(s *Service, st *serviceState, o int, before, target []float64) {
	row := &s.Rows[o]
	want := moved(before, target)
	if want < epsilon {
		return
	}
	outward := remoteShare(target, o) > remoteShare(before, o)
	forced := c.forced(s, st, o, before)
	if !forced && (want < minShift || swingsBack(row.Shifts, outward)) {
		return
	}
	amount := min(want, s.Step, s.Minute-total(row.Shifts))
	if amount < epsilon {
		return
	}
	share := make([]float64, c.n)
	for t := range share {
		share[t] = before[t] + (target[t]-before[t])*amount/want
	}
	row.Share = share
	row.Shifts = append(row.Shifts, Shift{At: c.in.Now, Amount: amount, Outward: outward})
	c.explain(s, o, before, want)
}

// swingsBack tells whether a shift would undo one that may not yet show in the
// measurements.
func swingsBack(shifts []Shift, outward bool) bool {
	return len(shifts) > 0 && shifts[len(shifts)-1].Outward != outward
}

// forced tells whether the shares in force ask more of a region than it has.
func (c *computation) forced(s *Service, st *serviceState, o int, before []float64) bool {
	d := s.Rows[o].Demand
	for t, f := range before {
		limit := s.Healthy[o]
		if t != o {
			limit = c.room(s, st, t)
		}
		if f*d > limit+epsilon {
			return true
		}
	}
	return false
}

// localWork is a region's own work that stays in it, as planned.
func localWork(s *Service, t int) float64 { return s.Rows[t].Demand * s.Rows[t].Share[t] }

// short is the part of a row's demand that its shares cannot place.
func (c *computation) short(s *Service, st *serviceState, o int) float64 {
	row := &s.Rows[o]
	if row.Demand <= 0 {
		return 0
	}
	sum := 0.0
	for t, f := range row.Share {
		limit := s.Healthy[o]
		if t != o {
			limit = c.room(s, st, t)
		}
		sum += max(0, f*row.Demand-limit)
	}
	if sum < minShift*row.Demand {
		return 0
	}
	return sum / row.Demand
}

// explain records the moves of a row for reports.
func (c *computation) explain(s *Service, o int, before []float64, want float64) {
	row := &s.Rows[o]
	from := 0
	for t := range before {
		if row.Share[t]-before[t] < row.Share[from]-before[from] {
			from = t
		}
	}
	done := row.Shifts[len(row.Shifts)-1].Amount
	for t := range before {
		amount := row.Share[t] - before[t]
		if amount < epsilon {
			continue
		}
		m := Move{
			Service: s.Name, Origin: c.plan.Regions[o], From: c.plan.Regions[from], To: c.plan.Regions[t],
			Percent: 100 * amount,
		}
		m.Text = fmt.Sprintf("%s: %s of the work of %s moves from %s to %s: %s", m.Service, percent(amount),
			m.Origin, m.From, m.To, c.why(s, o, from, t))
		if rest := want - done; rest > epsilon {
			m.Text += fmt.Sprintf("; %s more waits for the cap of %s per step and %s in 60 s",
				percent(rest), percent(s.Step), percent(s.Minute))
		}
		c.moves = append(c.moves, m)
	}
}

func (c *computation) why(s *Service, o, from, to int) string {
	st := c.state[s]
	row := &s.Rows[o]
	switch {
	case st.keep[from] < 1:
		return fmt.Sprintf("a drain of %s is planned", c.plan.Regions[from])
	case from == o:
		return fmt.Sprintf("demand %.1f of %.1f healthy slots at home is above %s, room for %.1f in %s",
			row.Demand, s.Healthy[o], percent(overflowAbove), c.room(s, st, to), c.plan.Regions[to])
	case to == o:
		return fmt.Sprintf("demand %.1f of %.1f healthy slots at home, room for %.1f left in %s",
			row.Demand, s.Healthy[o], c.room(s, st, from), c.plan.Regions[from])
	default:
		return fmt.Sprintf("room for %.1f in %s and %.1f in %s", c.room(s, st, from), c.plan.Regions[from],
			c.room(s, st, to), c.plan.Regions[to])
	}
}
