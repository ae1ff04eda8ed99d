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

// shareEntry is the state of one VM incarnation while shares are assigned.
type shareEntry struct {
	share Share
	held  Held // always set
	// isPending means that the VM has not confirmed its last reduction. Until it does,
	// its share is not reduced again, so that its confirmation covers all reductions.
	isPending bool
	// isNew means that the previous plan had no share for the VM. It may get a part
	// of UnassignedFraction.
	isNew      bool
	wasReduced bool
}

// holder is an entry's part of one limit: its current amount, the amount that the VM
// may still be using, and the target.
type holder struct {
	e             *shareEntry
	current, held *int64
	target        int64
}

// assignShares gives each VM its part of every limit.
func (c *computation) assignShares() {
	entries := c.entries()
	byRegion := make([][]*shareEntry, c.n)
	for _, e := range entries {
		byRegion[e.share.Region] = append(byRegion[e.share.Region], e)
	}
	for i := range c.plan.Services {
		for t := range c.n {
			c.divideLocal(i, t, byRegion[t])
			c.divideRemote(i, t, byRegion)
		}
	}
	for a := range c.n {
		for b := range c.n {
			if a != b && c.plan.Links[a][b] > 0 {
				c.divideLink(a, b, byRegion)
			}
		}
	}
	for _, e := range entries {
		if e.wasReduced || e.share.Since == 0 {
			e.share.Since = c.plan.Version
		}
		if !e.heldEqualsShare() {
			e.share.Held = &e.held
		}
		c.plan.VMs = append(c.plan.VMs, e.share)
	}
}

func (e *shareEntry) heldEqualsShare() bool {
	return slices.EqualFunc(e.held.Slots, e.share.Slots, slices.Equal) &&
		slices.Equal(e.held.Out, e.share.Out) && slices.Equal(e.held.In, e.share.In)
}

// entries returns the VMs that hold or may get shares, ordered by ID and incarnation.
// An unreachable VM keeps its share.
func (c *computation) entries() []*shareEntry {
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
	var out []*shareEntry
	if c.prev != nil {
		for i := range c.prev.VMs {
			v := &c.prev.VMs[i]
			ref := Ref{v.ID, v.Incarnation}
			// A newer incarnation only runs after the older process has exited.
			if (gone[ref] && live[ref] == nil) || v.Incarnation < newest[v.ID] {
				continue
			}
			out = append(out, c.carryOver(v, live[ref]))
			delete(live, ref)
		}
	}
	for ref, v := range live {
		r := c.plan.Region(v.Region)
		if r < 0 || v.Incarnation < newest[v.ID] {
			continue
		}
		e := &shareEntry{isNew: true, share: Share{ID: ref.ID, Incarnation: ref.Incarnation, Region: r}}
		e.share.Slots, e.share.Out, e.share.In = c.copyAmounts(nil, nil, nil)
		e.held.Slots, e.held.Out, e.held.In = c.copyAmounts(nil, nil, nil)
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *shareEntry) int {
		return compareShare(a.share, Ref{b.share.ID, b.share.Incarnation})
	})
	return out
}

// carryOver returns the entry of a VM that has a share in the previous plan. live is
// nil if the VM is unreachable.
func (c *computation) carryOver(v *Share, live *VM) *shareEntry {
	e := &shareEntry{share: Share{ID: v.ID, Incarnation: v.Incarnation, Region: v.Region, Since: v.Since}}
	e.share.Slots, e.share.Out, e.share.In = c.copyAmounts(v.Slots, v.Out, v.In)
	h := Held{Slots: v.Slots, Out: v.Out, In: v.In}
	if v.Held != nil && (live == nil || live.Confirmed < v.Since) {
		h, e.isPending = *v.Held, true
	}
	e.held.Slots, e.held.Out, e.held.In = c.copyAmounts(h.Slots, h.Out, h.In)
	return e
}

// copyAmounts copies amounts into lists of the current size.
func (c *computation) copyAmounts(slots [][]int64, out, in []int64) ([][]int64, []int64, []int64) {
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

// divideLocal divides a region's own slots evenly. The amounts apply strictly only
// while the region is under pressure, see Gate, so nothing is kept unassigned.
func (c *computation) divideLocal(i, t int, own []*shareEntry) {
	limit := int64(c.plan.Services[i].Slots[t])
	holders := make([]holder, len(own))
	for k, e := range own {
		holders[k] = holder{e, &e.share.Slots[i][t], &e.held.Slots[i][t], evenPart(limit, len(own), k+i)}
	}
	moveToTargets(limit, limit, holders)
}

// divideRemote divides a region's limit on the work of other regions. Each origin gets
// the work that is planned to go there and its fluctuation; the rest is divided evenly,
// for use when a region is lost.
func (c *computation) divideRemote(i, t int, byRegion [][]*shareEntry) {
	s := &c.plan.Services[i]
	limit := int64(s.Limit[t])
	assigned := int64(float64(limit) * (1 - UnassignedFraction))
	need := make([]float64, c.n)
	sum, numOrigins := 0.0, 0
	for o := range c.n {
		if o == t || len(byRegion[o]) == 0 {
			continue
		}
		numOrigins++
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
	var holders []holder
	for o := range c.n {
		if o == t {
			continue
		}
		amount := int64(need[o]*scale + rest/float64(max(1, numOrigins)))
		for k, e := range byRegion[o] {
			holders = append(holders, holder{e, &e.share.Slots[i][t], &e.held.Slots[i][t], evenPart(amount, len(byRegion[o]), k+i)})
		}
	}
	moveToTargets(limit, assigned, holders)
}

// divideLink divides one direction of a link between the requests that leave region a
// and the answers to region b.
func (c *computation) divideLink(a, b int, byRegion [][]*shareEntry) {
	limit := c.plan.Links[a][b]
	assigned := int64(float64(limit) * (1 - UnassignedFraction))
	out, in := 0.0, 0.0
	for i := range c.plan.Services {
		out += c.plan.Services[i].Rows[a].RequestBytes
		in += c.plan.Services[i].Rows[b].AnswerBytes
	}
	// The ratio is rounded to tenths, so that noise doesn't change the shares, and
	// leaves at least two tenths to each side.
	tenths := 5.0
	if out+in > 0 {
		tenths = min(8, max(2, math.Round(10*out/(out+in))))
	}
	requests := int64(float64(assigned) * tenths / 10)
	var holders []holder
	for k, e := range byRegion[a] {
		holders = append(holders, holder{e, &e.share.Out[b], &e.held.Out[b], evenPart(requests, len(byRegion[a]), k)})
	}
	for k, e := range byRegion[b] {
		holders = append(holders, holder{e, &e.share.In[a], &e.held.In[a], evenPart(assigned-requests, len(byRegion[b]), k)})
	}
	moveToTargets(limit, assigned, holders)
}

// evenPart returns the k-th of n nearly equal integer parts of an amount.
func evenPart(amount int64, n, k int) int64 {
	p := amount / int64(n)
	if int64(k%n) < amount%int64(n) {
		p++
	}
	return p
}

// moveToTargets moves the holders of one limit towards their targets. A reduced amount
// stays held until the VM has confirmed the reduction; amounts grow only into what no
// other VM holds.
func moveToTargets(limit, assigned int64, holders []holder) {
	var current, held int64
	starved := false
	for _, h := range holders {
		current += *h.current
		held += *h.held
		starved = starved || *h.current*10 < h.target*8
	}
	if current > assigned || (starved && held >= assigned) {
		for _, h := range holders {
			if *h.current > h.target && !h.e.isPending {
				*h.current = h.target
				h.e.wasReduced = true
			}
		}
	}
	for _, h := range holders {
		free := assigned - held
		if h.e.isNew {
			free = limit - held
		}
		grow := h.target - *h.current
		if grow <= 0 {
			continue
		}
		// Growing into what the VM itself still holds takes nothing from others.
		within := min(grow, *h.held-*h.current)
		grow = within + min(grow-within, max(0, free))
		*h.current += grow
		if *h.current > *h.held {
			held += *h.current - *h.held
			*h.held = *h.current
		}
	}
}

// heldAmounts returns the largest amounts that the VM may be using.
func (s *Share) heldAmounts() Held {
	if s.Held != nil {
		return *s.Held
	}
	return Held{Slots: s.Slots, Out: s.Out, In: s.In}
}

// usage is the sum of the amounts that all VMs of a plan may be using of each limit.
type usage struct {
	local, remote [][]int64 // by service and target region
	links         [][]int64 // by source and destination region
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
		own, h := p.VMs[v].Region, p.VMs[v].heldAmounts()
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

// checkShares checks that the VMs together hold no more than each limit, or no more
// than before if the limit was reduced below what they held.
func (c *computation) checkShares() {
	p := c.plan
	now, before := p.usage(len(p.Services), c.n), c.prev.usage(len(p.Services), c.n)
	check := func(kind string, i, t int, sum, limit, old int64) {
		if sum > max(limit, old) {
			invariant.Check(invariant.SharesWithin, false, "plan %d: VMs hold %d of %s %d/%d, limit %d, before %d",
				p.Version, sum, kind, i, t, limit, old)
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
