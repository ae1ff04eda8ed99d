package plan

import (
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// Request holds the properties of a request that a Gate needs.
type Request struct {
	Service string
	// Bytes is the declared length of the request, 0 if there is none.
	Bytes int64
}

// Grant is the admission of one request: the order of its target regions and a
// reservation in the present one. Release ends it.
type Grant struct {
	gate           *Gate
	service        *gateService
	regions        []string
	layoutVersion  uint32
	requestBytes   int64
	expectedAnswer int64
	order          [MaxRegions]uint8
	n, at          uint8
	isReserved     bool
}

// Region returns the region to which the request may be sent now.
func (r *Grant) Region() string {
	if r.n == 0 || r.at >= r.n {
		return r.gate.cfg.Region
	}
	return r.regions[r.order[r.at]]
}

// target returns the index of the grant's present region in the current plan, or -1
// if the region was removed from the register.
func (r *Grant) target() int {
	t := int(r.order[r.at])
	if r.layoutVersion != r.gate.layoutVersion {
		return r.gate.plan.Region(r.regions[t])
	}
	return t
}

// Admit decides to which regions a request may be sent, or refuses it with the verdict
// NotRun, a reason and the time after which to retry. The errors are shared and must
// not be changed.
func (g *Gate) Admit(now time.Time, r Request) (Grant, *verdict.Error) {
	s := g.services[r.Service]
	grant := Grant{gate: g, service: s, requestBytes: r.Bytes}
	if s == nil || s.index < 0 || g.share == nil {
		// The plan has no share for the VM or the service: the request may only go to
		// the own region, where no limits apply except those of the instances.
		return grant, nil
	}
	if s.admitFraction < 1 {
		if s.admitCredit += s.admitFraction; s.admitCredit < 1 {
			return grant, s.refusals[refuseCap]
		}
		s.admitCredit--
	}
	grant.regions, grant.layoutVersion = g.plan.Regions, g.layoutVersion
	grant.expectedAnswer = int64(s.meanAnswerBytes)
	g.orderTargets(s, &grant)
	if grant.n == 0 {
		return grant, s.refusals[refuseRegion]
	}
	first := -1
	for ; grant.at < grant.n; grant.at++ {
		refusal := g.reserve(now, s, &grant)
		if refusal < 0 {
			return grant, nil
		}
		if first < 0 {
			first = refusal
		}
	}
	return grant, s.refusals[first]
}

// orderTargets lists the targets of a request: one chosen by the shares, then the own
// region, or the other failover targets if the own region is lost. Other regions get
// no work beyond their shares, as that would be a shift beyond the cap.
func (g *Gate) orderTargets(s *gateService, grant *Grant) {
	best := -1
	for t, f := range s.row {
		if f <= 0 {
			continue
		}
		s.targetCredit[t] += f
		if best < 0 || s.targetCredit[t] > s.targetCredit[best] {
			best = t
		}
	}
	if best < 0 {
		return
	}
	s.targetCredit[best]--
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

// reserve reserves a slot, and bytes of the link, for the grant's present region. It
// returns -1 on success, else the index of the refusal.
func (g *Gate) reserve(now time.Time, s *gateService, r *Grant) int {
	t := r.target()
	if t < 0 || g.state[t] != RegionUp {
		return refuseRegion
	}
	if t == g.own {
		s.updateMeanWork(now, t)
		if limit := g.localLimit(s); s.inFlight[t] >= limit {
			return refuseRegion
		}
		s.inFlight[t]++
		r.isReserved = true
		return -1
	}
	if s.inFlight[t] >= s.limits[t] {
		return refuseRegion
	}
	if !g.links[t].take(now, r.requestBytes, r.expectedAnswer, s.reservedFraction) {
		return refuseLink
	}
	s.inFlight[t]++
	r.isReserved = true
	g.checkReserved(s, t)
	return -1
}

const (
	// meanWorkWindow is several times the time in which a lost region is detected.
	meanWorkWindow = 15 * time.Second
	// minSpareUse is the fraction of its limit that the VM's mean work must reach
	// before the VM may exceed the limit. A VM with more than an even share of the
	// callers reaches it.
	minSpareUse = 0.8
)

// updateMeanWork updates the mean work in the own region. It must be called before
// the work in flight changes.
func (s *gateService) updateMeanWork(now time.Time, own int) {
	if dt := now.Sub(s.meanWorkAt); !s.meanWorkAt.IsZero() && dt > 0 {
		s.meanWork += (float64(s.inFlight[own]) - s.meanWork) * min(1, float64(dt)/float64(meanWorkWindow))
	}
	s.meanWorkAt = now
}

// localLimit is the limit on the VM's work in its own region. Callers never spread
// evenly over VMs, so without pressure a VM whose mean work is near its part may use
// one standard deviation more. Work that arrives suddenly may not, as it can come from
// the callers of a lost region before the loss is detected.
func (g *Gate) localLimit(s *gateService) int64 {
	if s.isStrict || s.meanWork < minSpareUse*float64(s.limits[g.own]) {
		return s.limits[g.own]
	}
	return s.limits[g.own] + s.spare
}

func (g *Gate) checkReserved(s *gateService, t int) {
	if s.inFlight[t] > s.limits[t] {
		invariant.Check(invariant.RegionNotOver, false, "VM %s has %d requests of %s in region %d, share %d",
			g.cfg.VM, s.inFlight[t], s.name, t, s.limits[t])
	}
	if l := &g.links[t]; l.out.isOverdrawn() || l.in.isOverdrawn() {
		invariant.Check(invariant.LinkNotOver, false, "VM %s exceeds its share of the link to region %d", g.cfg.VM, t)
	}
}

// Next moves a grant whose region failed the request to the next region with room.
// It returns false if there is none; the grant then has no reservation.
func (g *Gate) Next(now time.Time, r *Grant) bool {
	s := r.service
	if s == nil || r.n == 0 {
		return false
	}
	g.releaseReservation(now, r, 0)
	for r.at++; r.at < r.n; r.at++ {
		if g.reserve(now, s, r) < 0 {
			return true
		}
	}
	return false
}

// IsFull reports whether the VM's part of its own region has no room for more of a
// service's work. No hedges should start then.
func (g *Gate) IsFull(service string) bool {
	s := g.services[service]
	return s != nil && s.index >= 0 && g.share != nil && s.inFlight[g.own] >= g.localLimit(s)
}

// Hedge reserves room in the grant's region once more, for a second attempt. It
// returns false if there is none. Each of the two grants needs its own Release.
func (g *Gate) Hedge(now time.Time, r *Grant) (Grant, bool) {
	if r.service == nil || !r.isReserved {
		return Grant{}, r.service == nil
	}
	h := *r
	h.isReserved = false
	return h, g.reserve(now, h.service, &h) < 0
}

// Release ends a grant. answerBytes is the size of the answer on the link, 0 if there
// was none. A second Release has no effect.
func (g *Gate) Release(now time.Time, r *Grant, answerBytes int64) {
	if r.service == nil || !r.isReserved {
		return
	}
	if answerBytes > 0 {
		const weight = 1.0 / 64
		r.service.meanAnswerBytes += weight * (float64(answerBytes) - r.service.meanAnswerBytes)
	}
	g.releaseReservation(now, r, answerBytes)
}

func (g *Gate) releaseReservation(now time.Time, r *Grant, answerBytes int64) {
	if !r.isReserved {
		return
	}
	r.isReserved = false
	t := r.target()
	if t < 0 {
		return
	}
	if t == g.own {
		r.service.updateMeanWork(now, t)
	}
	r.service.inFlight[t]--
	if t != g.own {
		g.links[t].settle(now, r.expectedAnswer, answerBytes)
	}
}

// linkBuckets holds the token buckets of an entry VM's share of both directions of a
// link.
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

// take takes the bytes of a request and its expected answer, if both directions have
// them and keep the fraction reserved for higher priorities.
func (l *linkBuckets) take(now time.Time, out, in int64, reserve float64) bool {
	l.advance(now)
	if !l.out.canTake(out, reserve) || !l.in.canTake(in, reserve) {
		return false
	}
	l.out.level -= float64(out)
	l.in.level -= float64(in)
	l.out.largest, l.in.largest = max(l.out.largest, out), max(l.in.largest, in)
	return true
}

// settle replaces the expected bytes of an answer by the actual ones.
func (l *linkBuckets) settle(now time.Time, expected, actual int64) {
	l.advance(now)
	l.in.level = min(l.in.rate, l.in.level+float64(expected-actual))
	l.in.largest = max(l.in.largest, actual)
}

// bytesBucket is a token bucket that holds the bytes of up to one second. A larger
// request passes when the bucket is full and leaves it negative, so that the mean
// stays within the rate.
type bytesBucket struct {
	rate, level float64
	largest     int64
}

func (b *bytesBucket) fill(seconds float64) { b.level = min(b.rate, b.level+b.rate*seconds) }

func (b *bytesBucket) canTake(bytes int64, reserve float64) bool {
	if b.rate <= 0 {
		return false
	}
	return b.level-min(float64(bytes), b.rate*(1-reserve)) >= b.rate*reserve-epsilon
}

// isOverdrawn reports whether the bucket is further below zero than the largest
// request or answer can cause.
func (b *bytesBucket) isOverdrawn() bool { return b.level < -float64(b.largest)-1 }
