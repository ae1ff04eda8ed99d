package plan

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// Request is what a Gate needs to know about a request.
type Request struct {
	Service string
	// Bytes is the declared length of the request, 0 if there is none.
	Bytes int64
}

// Grant is the admission of one request: the order of its target regions, of
// which the first is reserved. It is given back by Release.
type Grant struct {
	gate    *Gate
	service *gateService
	regions []string
	layout  uint32
	bytes   int64
	answer  int64
	order   [MaxRegions]uint8
	n, at   uint8
	held    bool
}

// Region returns the region that the request may be sent to now.
func (r *Grant) Region() string {
	if r.n == 0 || r.at >= r.n {
		return r.gate.cfg.Region
	}
	return r.regions[r.order[r.at]]
}

// target returns the index of the grant's present region in the present plan, or
// -1 when the region left the register.
func (r *Grant) target() int {
	t := int(r.order[r.at])
	if r.layout != r.gate.layout {
		return r.gate.plan.Region(r.regions[t])
	}
	return t
}

// Admit decides which regions a request may be sent to, or refuses it "not run"
// with a reason and the time to come back. The errors are shared and must not be
// changed.
func (g *Gate) Admit(now time.Time, r Request) (Grant, *verdict.Error) {
	s := g.services[r.Service]
	grant := Grant{gate: g, service: s, bytes: r.Bytes}
	if s == nil || s.index < 0 || g.share == nil {
		// Not named by the plan: the own region only, with no limit but those of
		// the instances.
		return grant, nil
	}
	if s.admit < 1 {
		if s.admitted += s.admit; s.admitted < 1 {
			return grant, s.refusals[refuseCap]
		}
		s.admitted--
	}
	grant.regions, grant.layout = g.plan.Regions, g.layout
	grant.answer = int64(s.answer)
	g.order(s, &grant)
	if grant.n == 0 {
		return grant, s.refusals[refuseRegion]
	}
	first := -1
	for ; grant.at < grant.n; grant.at++ {
		why := g.reserve(now, s, &grant)
		if why < 0 {
			return grant, nil
		}
		if first < 0 {
			first = why
		}
	}
	return grant, s.refusals[first]
}

// order lists the targets of a request: one chosen by the shares, then the own
// region, or the other failover targets where the own region is lost. Work is
// not sent to other regions beyond their shares, as that would be a shift past
// the cap.
func (g *Gate) order(s *gateService, grant *Grant) {
	best := -1
	for t, f := range s.row {
		if f <= 0 {
			continue
		}
		s.credit[t] += f
		if best < 0 || s.credit[t] > s.credit[best] {
			best = t
		}
	}
	if best < 0 {
		return
	}
	s.credit[best]--
	grant.order[0], grant.n = uint8(best), 1
	if g.state[g.own] == RegionUp {
		if best != g.own {
			grant.order[1], grant.n = uint8(g.own), 2
		}
		return
	}
	for t, f := range s.row {
		if f > 0 && t != best && t != g.own {
			grant.order[grant.n] = uint8(t)
			grant.n++
		}
	}
}

// reserve takes the limits of the grant's present region. It returns -1, or the
// index of the refusal.
func (g *Gate) reserve(now time.Time, s *gateService, r *Grant) int {
	t := r.target()
	if t < 0 || g.state[t] != RegionUp {
		return refuseRegion
	}
	if t == g.own {
		s.noteUse(now, t)
		if limit := g.localLimit(s); s.inFlight[t] >= limit {
			return refuseRegion
		}
		s.inFlight[t]++
		r.held = true
		return -1
	}
	if s.inFlight[t] >= s.limits[t] {
		return refuseRegion
	}
	if !g.links[t].take(now, r.bytes, r.answer, s.reserve) {
		return refuseLink
	}
	s.inFlight[t]++
	r.held = true
	g.checkReserved(s, t)
	return -1
}

const (
	// usualOver is several times longer than a lost region goes unnoticed.
	usualOver = 15 * time.Second
	// usualFrom is the part of its limit that a VM with more than an even share
	// of the callers uses on average.
	usualFrom = 0.8
)

// noteUse follows the mean work in the own region. It is called before the work
// changes.
func (s *gateService) noteUse(now time.Time, own int) {
	if dt := now.Sub(s.usualAt); !s.usualAt.IsZero() && dt > 0 {
		s.usual += (float64(s.inFlight[own]) - s.usual) * min(1, float64(dt)/float64(usualOver))
	}
	s.usualAt = now
}

// localLimit bounds the VM's work in its own region. Callers never spread evenly
// over VMs, so without pressure a VM whose usual work is near its part may use one
// standard deviation more. Work that arrives suddenly may not, as it can come from
// the callers of a lost region before the loss is noticed.
func (g *Gate) localLimit(s *gateService) int64 {
	if s.strict || s.usual < usualFrom*float64(s.limits[g.own]) {
		return s.limits[g.own]
	}
	return s.limits[g.own] + s.spare
}

func (g *Gate) checkReserved(s *gateService, t int) {
	if s.inFlight[t] > s.limits[t] {
		invariant.Check(invariant.RegionNotOver, false, "VM %s has %d requests of %s in region %d, share %d",
			g.cfg.VM, s.inFlight[t], s.name, t, s.limits[t])
	}
	if l := &g.links[t]; l.out.over() || l.in.over() {
		invariant.Check(invariant.LinkNotOver, false, "VM %s exceeds its share of the link to region %d", g.cfg.VM, t)
	}
}

// Next moves a grant whose region failed the request to the next region that has
// room. It returns false when there is none; the grant then holds nothing.
func (g *Gate) Next(now time.Time, r *Grant) bool {
	s := r.service
	if s == nil || r.n == 0 {
		return false
	}
	g.giveBack(now, r, 0)
	for r.at++; r.at < r.n; r.at++ {
		if g.reserve(now, s, r) < 0 {
			return true
		}
	}
	return false
}

// Full tells whether the VM's own region has no room for more of a service's work.
// Hedges should then wait.
func (g *Gate) Full(service string) bool {
	s := g.services[service]
	return s != nil && s.index >= 0 && g.share != nil && s.inFlight[g.own] >= g.localLimit(s)
}

// Hedge reserves the grant's region once more, for a second attempt. It returns
// false when there is no room. Each grant is given back by its own Release.
func (g *Gate) Hedge(now time.Time, r *Grant) (Grant, bool) {
	if r.service == nil || !r.held {
		return Grant{}, r.service == nil
	}
	h := *r
	h.held = false
	return h, g.reserve(now, h.service, &h) < 0
}

// Release ends a grant. answerBytes is what the answer took on the link, 0 for
// none. A second Release does nothing.
func (g *Gate) Release(now time.Time, r *Grant, answerBytes int64) {
	if r.service == nil || !r.held {
		return
	}
	if answerBytes > 0 {
		const weight = 1.0 / 64
		r.service.answer += weight * (float64(answerBytes) - r.service.answer)
	}
	g.giveBack(now, r, answerBytes)
}

func (g *Gate) giveBack(now time.Time, r *Grant, answerBytes int64) {
	if !r.held {
		return
	}
	r.held = false
	t := r.target()
	if t < 0 {
		return
	}
	if t == g.own {
		r.service.noteUse(now, t)
	}
	r.service.inFlight[t]--
	if t != g.own {
		g.links[t].settle(now, r.answer, answerBytes)
	}
}

// linkBuckets hold an entry VM's share of both directions of a link.
type linkBuckets struct {
	out, in bytesBucket
	at      time.Time
}

func (l *linkBuckets) advance(now time.Time) {
	if d := now.Sub(l.at).Seconds(); d > 0 {
		l.out.fill(d)
		l.in.fill(d)
		l.at = now
	}
}

// take takes the bytes of a request and its expected answer, if both directions
// have them and the reserve of higher priorities stays.
func (l *linkBuckets) take(now time.Time, out, in int64, reserve float64) bool {
	l.advance(now)
	if !l.out.has(out, reserve) || !l.in.has(in, reserve) {
		return false
	}
	l.out.level -= float64(out)
	l.in.level -= float64(in)
	l.out.largest, l.in.largest = max(l.out.largest, out), max(l.in.largest, in)
	return true
}

// settle replaces the expected bytes of an answer by those that came.
func (l *linkBuckets) settle(now time.Time, expected, came int64) {
	l.advance(now)
	l.in.level = min(l.in.rate, l.in.level+float64(expected-came))
	l.in.largest = max(l.in.largest, came)
}

// bytesBucket holds up to a second's worth of bytes. A request that is larger
// than that passes when the bucket is full and is paid off afterwards, so that
// the mean stays within the rate.
type bytesBucket struct {
	rate, level float64
	largest     int64
}

func (b *bytesBucket) fill(seconds float64) { b.level = min(b.rate, b.level+b.rate*seconds) }

func (b *bytesBucket) has(bytes int64, reserve float64) bool {
	if b.rate <= 0 {
		return false
	}
	return b.level-min(float64(bytes), b.rate*(1-reserve)) >= b.rate*reserve-epsilon
}

// over tells whether the bucket owes more than one request, or than the answers
// that turned out larger than expected.
func (b *bytesBucket) over() bool { return b.level < -float64(b.largest)-1 }
