package plan

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/currantferry/currantferry/invariant"
)

func compareShare(s Share, r Ref) int {
	if c := strings.Compare(s.ID, r.ID); c != 0 {
		return c
	}
	return cmp.Compare(s.Incarnation, r.Incarnation)
}

// entry is one VM incarnation while shares are assigned.
type entry struct {
	share Share
	held  Held // always filled in
	// pending means that the VM has not confirmed its last reduction. It gets
	// no further one until then, so that its confirmation ends it.
	pending bool
	// joined means that the previous plan did not name the VM; it may use what
	// is kept unassigned.
	joined bool
	shrunk bool
}

// holder is an entry's part of one limit.
type holder struct {
	e         *entry
	cur, held *int64
	target    int64
}

// assign gives each VM its part of every limit.
func (c *computation) assign() {
	entries := c.entries()
	byRegion := make([][]*entry, c.n)
	for _, e := range entries {
		byRegion[e.share.Region] = append(byRegion[e.share.Region], e)
	}
	for i := range c.plan.Services {
		for t := range c.n {
			c.localLane(i, t, byRegion[t])
			c.remoteLane(i, t, byRegion)
		}
	}
	for a := range c.n {
		for b := range c.n {
			if a != b && c.plan.Links[a][b] > 0 {
				c.linkLane(a, b, byRegion)
			}
		}
	}
	for _, e := range entries {
		if e.shrunk || e.share.Since == 0 {
			e.share.Since = c.plan.Version
		}
		if !e.heldIsShare() {
			e.share.Held = &e.held
		}
		c.plan.VMs = append(c.plan.VMs, e.share)
	}
}

func (e *entry) heldIsShare() bool {
	return slices.EqualFunc(e.held.Slots, e.share.Slots, slices.Equal) &&
		slices.Equal(e.held.Out, e.share.Out) && slices.Equal(e.held.In, e.share.In)
}

// entries returns the VMs that hold or may get shares, in order. A VM that is
// unreachable keeps what it holds.
func (c *computation) entries() []*entry {
	live := make(map[Ref]*VM, len(c.in.VMs))
	newest := make(map[string]uint64)
	for i := range c.in.VMs {
		v := &c.in.VMs[i]
		live[Ref{v.ID, v.Incarnation}] = v
		newest[v.ID] = max(newest[v.ID], v.Incarnation)
	}
	gone := make(map[Ref]bool, len(c.in.Gone))
	for _, r := range c.in.Gone {
		gone[r] = true
	}
	var out []*entry
	if c.prev != nil {
		for i := range c.prev.VMs {
			v := &c.prev.VMs[i]
			ref := Ref{v.ID, v.Incarnation}
			// A newer incarnation answers only after the older process ended.
			if (gone[ref] && live[ref] == nil) || v.Incarnation < newest[v.ID] {
				continue
			}
			out = append(out, c.known(v, live[ref]))
			delete(live, ref)
		}
	}
	for ref, v := range live {
		r := c.plan.Region(v.Region)
		if r < 0 || v.Incarnation < newest[v.ID] {
			continue
		}
		e := &entry{joined: true, share: Share{ID: ref.ID, Incarnation: ref.Incarnation, Region: r}}
		e.share.Slots, e.share.Out, e.share.In = c.amounts(nil, nil, nil)
		e.held.Slots, e.held.Out, e.held.In = c.amounts(nil, nil, nil)
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return compareShare(a.share, Ref{b.share.ID, b.share.Incarnation})
	})
	return out
}

func (c *computation) known(v *Share, live *VM) *entry {
	e := &entry{share: Share{ID: v.ID, Incarnation: v.Incarnation, Region: v.Region, Since: v.Since}}
	e.share.Slots, e.share.Out, e.share.In = c.amounts(v.Slots, v.Out, v.In)
	h := Held{Slots: v.Slots, Out: v.Out, In: v.In}
	if v.Held != nil && (live == nil || live.Confirmed < v.Since) {
		h, e.pending = *v.Held, true
	}
	e.held.Slots, e.held.Out, e.held.In = c.amounts(h.Slots, h.Out, h.In)
	return e
}

// amounts copies amounts into lists of the present size.
func (c *computation) amounts(slots [][]int64, out, in []int64) ([][]int64, []int64, []int64) {
	s := make([][]int64, len(c.plan.Services))
	for i := range s {
		s[i] = make([]int64, c.n)
		if i < len(slots) {
			copy(s[i], slots[i])
		}
	}
	o, n := make([]int64, c.n), make([]int64, c.n)
	copy(o, out)
	copy(n, in)
	return s, o, n
}

// localLane divides a region's own slots evenly. The amounts bind only while the
// region is under pressure, see Gate, so nothing is kept unassigned.
func (c *computation) localLane(i, t int, own []*entry) {
	limit := int64(c.plan.Services[i].Slots[t])
	hs := make([]holder, len(own))
	for k, e := range own {
		hs[k] = holder{e, &e.share.Slots[i][t], &e.held.Slots[i][t], part(limit, len(own), k+i)}
	}
	lane(limit, limit, hs)
}

// remoteLane divides what a region takes of others' work. Origins that the plan
// sends there get their planned work and its fluctuation; the rest is divided
// evenly, for use at the loss of a region.
func (c *computation) remoteLane(i, t int, byRegion [][]*entry) {
	s := &c.plan.Services[i]
	limit := int64(s.Limit[t])
	assigned := int64(float64(limit) * (1 - Unassigned))
	need := make([]float64, c.n)
	sum, origins := 0.0, 0
	for o := range c.n {
		if o == t || len(byRegion[o]) == 0 {
			continue
		}
		origins++
		if work := s.Rows[o].Demand * s.Rows[o].Share[t]; work > 0 {
			need[o] = work + 2*math.Sqrt(work) + 1
		}
		sum += need[o]
	}
	scale := 1.0
	if sum > float64(assigned) {
		scale = float64(assigned) / sum
	}
	rest := max(0, float64(assigned)-sum)
	var hs []holder
	for o := range c.n {
		if o == t {
			continue
		}
		amount := int64(need[o]*scale + rest/float64(max(1, origins)))
		for k, e := range byRegion[o] {
			hs = append(hs, holder{e, &e.share.Slots[i][t], &e.held.Slots[i][t], part(amount, len(byRegion[o]), k+i)})
		}
	}
	lane(limit, assigned, hs)
}

// linkLane divides one direction of a link between the requests of one end and
// the answers to the other.
func (c *computation) linkLane(a, b int, byRegion [][]*entry) {
	limit := c.plan.Links[a][b]
	assigned := int64(float64(limit) * (1 - Unassigned))
	out, in := 0.0, 0.0
	for i := range c.plan.Services {
		out += c.plan.Services[i].Rows[a].RequestBytes
		in += c.plan.Services[i].Rows[b].AnswerBytes
	}
	// In tenths, so that noise doesn't move the shares, and never all for one.
	tenths := 5.0
	if out+in > 0 {
		tenths = min(8, max(2, math.Round(10*out/(out+in))))
	}
	requests := int64(float64(assigned) * tenths / 10)
	var hs []holder
	for k, e := range byRegion[a] {
		hs = append(hs, holder{e, &e.share.Out[b], &e.held.Out[b], part(requests, len(byRegion[a]), k)})
	}
	for k, e := range byRegion[b] {
		hs = append(hs, holder{e, &e.share.In[a], &e.held.In[a], part(assigned-requests, len(byRegion[b]), k)})
	}
	lane(limit, assigned, hs)
}

// part returns the k-th of n nearly equal whole parts of an amount.
func part(amount int64, n, k int) int64 {
	p := amount / int64(n)
	if int64(k%n) < amount%int64(n) {
		p++
	}
	return p
}

// lane moves the holders of one limit towards their targets. A reduction counts
// as held until it is confirmed; growth takes only what nobody holds.
func lane(limit, assigned int64, hs []holder) {
	var cur, held int64
	starved := false
	for _, h := range hs {
		cur += *h.cur
		held += *h.held
		starved = starved || *h.cur*10 < h.target*8
	}
	if cur > assigned || (starved && held >= assigned) {
		for _, h := range hs {
			if *h.cur > h.target && !h.e.pending {
				*h.cur = h.target
				h.e.shrunk = true
			}
		}
	}
	for _, h := range hs {
		free := assigned - held
		if h.e.joined {
			free = limit - held
		}
		grow := h.target - *h.cur
		if grow <= 0 {
			continue
		}
		// Growing back into what is still held takes nothing from others.
		within := min(grow, *h.held-*h.cur)
		grow = within + min(grow-within, max(0, free))
		*h.cur += grow
		if *h.cur > *h.held {
			held += *h.cur - *h.held
			*h.held = *h.cur
		}
	}
}

// heldBy returns the amounts that a VM may be using.
func (s *Share) heldBy() Held {
	if s.Held != nil {
		return *s.Held
	}
	return Held{Slots: s.Slots, Out: s.Out, In: s.In}
}

// usage is what all VMs of a plan may be using of each limit.
type usage struct {
	local, remote [][]int64 // by service and target
	links         [][]int64 // by direction
}

func (p *Plan) usage(services, regions int) usage {
	grid := func(rows int) [][]int64 {
		g := make([][]int64, rows)
		for i := range g {
			g[i] = make([]int64, regions)
		}
		return g
	}
	u := usage{grid(services), grid(services), grid(regions)}
	if p == nil {
		return u
	}
	for v := range p.VMs {
		own, h := p.VMs[v].Region, p.VMs[v].heldBy()
		for i := range h.Slots {
			for t, n := range h.Slots[i] {
				if t == own {
					u.local[i][t] += n
				} else {
					u.remote[i][t] += n
				}
			}
		}
		for r := range h.Out {
			u.links[own][r] += h.Out[r]
			u.links[r][own] += h.In[r]
		}
	}
	return u
}

// checkShares asserts that the VMs together hold no more than each limit, or
// than before where the limit fell below what they held.
func (c *computation) checkShares() {
	p := c.plan
	now, before := p.usage(len(p.Services), c.n), c.prev.usage(len(p.Services), c.n)
	check := func(what string, i, t int, sum, limit, old int64) {
		if sum > max(limit, old) {
			invariant.Check(invariant.SharesWithin, false, "plan %d: VMs hold %d of %s %d/%d, limit %d, before %d",
				p.Version, sum, what, i, t, limit, old)
		}
	}
	for i := range p.Services {
		for t := range c.n {
			check("local", i, t, now.local[i][t], int64(p.Services[i].Slots[t]), before.local[i][t])
			check("remote", i, t, now.remote[i][t], int64(p.Services[i].Limit[t]), before.remote[i][t])
		}
	}
	for a := range c.n {
		for b := range c.n {
			check("link", a, b, now.links[a][b], p.Links[a][b], before.links[a][b])
		}
	}
}
