package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantferry/currantferry/rendezvous"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// maxCandidates bounds the instances that are compared for an object, in rank order.
	maxCandidates = 3
	// objectsPerInstance is the number of objects that an instance is assumed to hold.
	// More copies would evict each other.
	objectsPerInstance = 45
	// objectTTL is how long an object is counted after its last request.
	objectTTL = 10 * time.Second
	// maxObjects bounds the objects that are counted. At that number no instance can hold
	// all of them, and each object gets a single instance.
	maxObjects = 4096
	// cacheMissCost is added, in units of the route's expected work, for an instance that
	// is not ranked first and not known to hold the object: work on an object that is not
	// held takes about three times as long.
	cacheMissCost = 2.0
	// rankCost is added for each rank of an instance that holds the object, so that
	// objects stay where they are if all else is equal.
	rankCost = 0.15
	// failureCost is added, in units of the target time, for an instance that fails every
	// request: a failed request occupies a slot and costs another attempt.
	failureCost = 2.0
	// maxColdVMs bounds the VMs that may send to the same cold instance. If more VMs
	// divided its rate, their parts would be too small to be used.
	maxColdVMs = 8
	// coldRateFraction is the part of a cold instance's rate that is divided among the
	// VMs.
	coldRateFraction = 0.8
	// minWaitFactor, retryWaitFactor and urgentWaitFactor bound the queueing time of
	// requests. The first two are in units of the route's expected work, the last
	// multiplies the time that remains within the target.
	minWaitFactor    = 0.25
	retryWaitFactor  = 1.0
	urgentWaitFactor = 1.5
	// ordinaryPriority is the first priority whose requests may not queue beyond the
	// target.
	ordinaryPriority = 2
	// minRetryGap is how much less time than the route's longest timeout a caller must
	// have left for its request to be considered a retry after a refusal.
	minRetryGap = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// defaultRetryAfter is used where no wait can be estimated.
	defaultRetryAfter = 500 * time.Millisecond
)

// candidate is an instance with the estimates for one request.
type candidate struct {
	inst    *instance
	score   uint64
	rank    int
	isTrial bool
	wait    time.Duration
	work    time.Duration
	cost    time.Duration
	// usual is the expected work at the usual speed, or zero to use the route's, and class
	// what is known about the object at the instance.
	usual time.Duration
	class holdingClass
	// saved is how much shorter than the route's expected work the work is because the
	// object is held. The request may queue for longer by as much.
	saved time.Duration
}

// Pick chooses an instance, or returns a refusal with verdict "not run". Done must be
// called for each ticket.
func (p *Picker) Pick(now time.Time, r *Request) (Ticket, *verdict.Error) {
	s := p.services[r.Service]
	if s == nil || len(s.instances) == 0 {
		return Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, defaultRetryAfter)
	}
	key := p.objectHash(r)
	p.recordObject(now, s, r, key)
	r.reserved = s.isReservedForUrgent(now, r.Priority)
	var best *candidate
	var refused *verdict.Error
	home, known := p.regionFor(s, r, p.spillKey(s, r, key))
	if known {
		best, refused = p.pickIn(now, s, r, key, home)
	} else {
		refused = verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, defaultRetryAfter)
	}
	allowed := s.allowedWait(r)
	if !p.cfg.IgnoresPriority {
		r.precedence = s.admission.ask(now, r, s.expectedWork(r.Route))
	}
	if best == nil || !p.canAnswerInTime(now, s, r, best, allowed) {
		if other := p.pickOtherRegion(now, s, r, key, home, best); other != nil && p.canAnswerInTime(now, s, r, other, allowed) {
			best = other
		}
	}
	if best == nil {
		if best = p.pickFallback(now, s, r, key); best == nil {
			if e := p.unavailableError(now, s, r); e != nil {
				return Ticket{}, e
			}
			return Ticket{}, refused
		}
	}
	if e := p.precedenceError(now, s, r, best); e != nil {
		return Ticket{}, e
	}
	if !p.canAnswerInTime(now, s, r, best, allowed) {
		after := min(max(best.wait, minRetryAfter), maxRetryAfter)
		e := verdict.New(verdict.NotRun, verdict.ReasonDeadlineAhead, after)
		e.Err = &queueTooLongError{instance: best.inst.ID, wait: best.wait, work: best.work, allowed: allowed, loadAge: now.Sub(best.inst.loadAt)}
		return Ticket{}, e
	}
	return p.ticket(now, s, r, key, best), nil
}

// queueTooLongError holds the estimates behind a refusal.
type queueTooLongError struct {
	instance                     string
	wait, work, allowed, loadAge time.Duration
}

func (q *queueTooLongError) Error() string {
	return fmt.Sprintf("instance %s: expected wait %s and work %s from a load report %s old, allowed wait %s",
		q.instance, q.wait.Round(time.Millisecond), q.work.Round(time.Millisecond), q.loadAge.Round(time.Millisecond), q.allowed.Round(time.Millisecond))
}

// allowedWait returns how long a request may queue at an instance. A request that
// queues beyond its target time only delays those behind it.
func (s *service) allowedWait(r *Request) time.Duration {
	work := s.expectedWork(r.Route)
	w := s.route(r.Route)
	w.maxTimeout = max(w.maxTimeout, r.Timeout)
	minWait := time.Duration(minWaitFactor * float64(work))
	if r.Timeout > 0 && w.maxTimeout-r.Timeout > minRetryGap {
		// A caller that retries has missed its target already.
		return max(minWait, time.Duration(retryWaitFactor*float64(work)))
	}
	if r.Target <= 0 {
		return time.Duration(1<<63 - 1)
	}
	allowed := r.Target - work
	if r.Priority < ordinaryPriority {
		allowed = time.Duration(urgentWaitFactor * float64(allowed))
	}
	return max(minWait, allowed)
}

// objectHash returns the hash of the request's object. Requests without an object get
// varying hashes, which spread them over the instances.
func (p *Picker) objectHash(r *Request) uint64 {
	if r.hasObject {
		return r.object
	}
	if r.Key == "" {
		p.numUnkeyed++
		return rendezvous.Mix(hashOf(p.cfg.VM) + p.numUnkeyed*0x9e3779b97f4a7c15)
	}
	return rendezvous.Mix(hashOf(r.Key) ^ hashOf(r.Route)*3)
}

func (p *Picker) ticket(now time.Time, s *service, r *Request, key uint64, c *candidate) Ticket {
	i := c.inst
	hasToken := i.state.IsLimited() && i.takeToken(now)
	i.recordSent()
	r.precedence.recordAdmitted()
	age := time.Duration(-1)
	if !i.loadAt.IsZero() {
		age = now.Sub(i.loadAt)
	}
	t := Ticket{
		Instance: i.Instance, Rank: c.rank, Spilled: i.Region != p.cfg.Region, Wait: c.wait, Work: c.work, LoadAge: age,
		inst: i, service: s, route: r.Route, pickedAt: now, isLeaving: i.state.IsLeaving(), hasToken: hasToken, isCold: i.isCold(now),
	}
	if c.isTrial {
		i.isTrialPending, t.trialOf = true, i.ejectedAt
	}
	if r.Key != "" {
		t.warmKey = rendezvous.Mix(key ^ i.hash)
	}
	t.object, t.class, t.usual = key, c.class, c.usual
	return t
}

// canAnswerInTime reports whether a candidate's queue is within the allowed wait and its
// answer is likely to arrive before the deadline.
func (p *Picker) canAnswerInTime(now time.Time, s *service, r *Request, c *candidate, allowed time.Duration) bool {
	if c.wait-c.saved > allowed || !r.precedence.allows(now, s, r, c) {
		return false
	}
	return r.Deadline.IsZero() || !now.Add(c.wait+c.work/2).After(r.Deadline)
}

// allows reports whether a request may run in a region. An unknown region is none of those
// that a request names.
func (r *Request) allows(region string) bool {
	return len(r.Regions) == 0 || (region != unknownRegion && slices.Contains(r.Regions, region))
}

// regionFor returns the region in which this VM's requests for an object run, or false if
// no region that the request allows has an instance.
func (p *Picker) regionFor(s *service, r *Request, key uint64) (region string, ok bool) {
	own := p.cfg.Region
	mayStay := r.allows(own)
	if mayStay && len(s.regions[own]) > 0 && rendezvous.Unit(rendezvous.Mix(key^hashOf(own))) >= s.spill {
		return own, true
	}
	if best, ok := p.spillRegion(s, r, key, own); ok || !mayStay {
		return best, ok
	}
	return own, true
}

// spillRegion returns the region, other than the excluded one, to which an object is
// spilled, or false if there is none. It depends only on the object while the regions'
// weights do not change, so that overflowing requests find their object held there.
func (p *Picker) spillRegion(s *service, r *Request, key uint64, excluded string) (best string, ok bool) {
	topScore := -1.0
	for region, group := range s.regions {
		if region == excluded || !r.allows(region) {
			continue
		}
		score := rendezvous.Score(rendezvous.Mix(key^hashOf(region)*5), s.spillWeight(region, group))
		if score > topScore || (score == topScore && region < best) {
			best, topScore, ok = region, score, true
		}
	}
	return best, ok
}

// spillWeight returns the weight of a region for spilled work: its slots, reduced in
// steps by its pressure. A weight that followed the load closely would move objects
// back and forth until no region held them.
func (s *service) spillWeight(region string, group []*instance) float64 {
	slots := 0
	for _, i := range group {
		if !i.state.IsLeaving() {
			slots += i.Slots
		}
	}
	switch pressure := s.longPressure[region]; {
	case pressure < pressureHigh:
		return float64(slots)
	case pressure < pressureFull:
		return float64(slots) * busyWeightFactor
	default:
		return float64(slots) * fullWeightFactor
	}
}

// pickOtherRegion looks for a better candidate in another region when the home region
// has none (current is nil), or only one that cannot answer in time.
func (p *Picker) pickOtherRegion(now time.Time, s *service, r *Request, key uint64, home string, current *candidate) *candidate {
	if current != nil && p.overflowTokens < 1 {
		return nil
	}
	region, ok := p.spillRegion(s, r, key, home)
	if !ok {
		return nil
	}
	best, _ := p.pickIn(now, s, r, key, region)
	if best == nil || (current != nil && best.cost >= current.cost) {
		return nil
	}
	if current != nil {
		p.overflowTokens--
	}
	return best
}

// pickIn chooses the best instance of a region for an object, or returns the reason why
// no instance takes the request.
func (p *Picker) pickIn(now time.Time, s *service, r *Request, key uint64, region string) (*candidate, *verdict.Error) {
	group := s.regions[region]
	if len(group) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, defaultRetryAfter)
	}
	work := s.expectedWork(r.Route)
	compared := 0
	r.homes, compared = p.numCompared(s, r, region)
	// Cold instances without a token are replaced by the next ones in rank order.
	var skipped []*instance
	for {
		top := p.topRanked(now, group, r, key, skipped, compared)
		if len(top) == 0 {
			break
		}
		for k := range top {
			p.estimate(now, r, key, work, &top[k])
		}
		top = p.adjustCompared(r, top)
		for len(top) > 0 {
			best := cheapest(top)
			c := &top[best]
			if !c.inst.isCold(now) || p.admitCold(now, c.inst) {
				// The buffer is used again for another region.
				chosen := *c
				return &chosen, nil
			}
			skipped = append(skipped, c.inst)
			top = slices.Delete(top, best, best+1)
		}
	}
	return p.lastResort(now, group, r, work)
}

// cheapest returns the index of the candidate with the lowest cost, the first one if several
// have it.
func cheapest(list []candidate) (best int) {
	for k := range list {
		if list[k].cost < list[best].cost {
			best = k
		}
	}
	return best
}

// copies returns the number of instances of a group that may serve each object, so that
// the instances can hold all objects in use.
func (s *service) copies(numInstances int) int {
	if len(s.objects) == 0 {
		return maxCandidates
	}
	return min(maxCandidates, max(1, objectsPerInstance*numInstances/len(s.objects)))
}

// recordObject records that an object was requested.
func (s *service) recordObject(now time.Time, key uint64) {
	if _, known := s.objects[key]; known || len(s.objects) < maxObjects {
		s.objects[key] = now
	}
}

// expireObjects drops objects that have not been requested for objectTTL.
func (s *service) expireObjects(now time.Time) {
	for key, at := range s.objects {
		if now.Sub(at) > objectTTL {
			delete(s.objects, key)
		}
	}
}

// topRanked returns the highest-ranked instances for an object that accept requests, at
// most as many as copies.
func (p *Picker) topRanked(now time.Time, group []*instance, r *Request, key uint64, skipped []*instance, copies int) []candidate {
	ranked := p.ranked[:0]
	lowest := uint64(0)
	for n, i := range group {
		score := rendezvous.Mix(key ^ i.hash)
		if len(ranked) == copies && score <= lowest {
			continue
		}
		if !p.isOpenFor(now, i, r) {
			continue
		}
		ejected, trialDue := i.isEjected(now)
		if ejected && (!trialDue || !i.allowsTrial(r)) {
			continue
		}
		if slices.Contains(r.Exclude, i.ID) || slices.Contains(skipped, i) {
			continue
		}
		if len(ranked) < copies {
			ranked = append(ranked, rankedInstance{})
		}
		at := len(ranked) - 1
		for ; at > 0 && ranked[at-1].score < score; at-- {
			ranked[at] = ranked[at-1]
		}
		ranked[at] = rankedInstance{score: score, index: n, isTrial: ejected}
		lowest = ranked[len(ranked)-1].score
	}
	top := p.compared[:0]
	for k, c := range ranked {
		top = append(top, candidate{inst: group[c.index], score: c.score, rank: k, isTrial: c.isTrial})
	}
	p.ranked, p.compared = ranked, top
	return top
}

// rankedInstance is an instance of a group in the rendezvous order of an object.
type rankedInstance struct {
	score   uint64
	index   int
	isTrial bool
}

// isOpenFor reports whether an instance accepts a request. Room within the limit of an
// instance may be kept for more urgent requests.
func (p *Picker) isOpenFor(now time.Time, i *instance, r *Request) bool {
	return i.isOpen(now) && (!r.reserved || !i.state.IsLimited())
}

func (p *Picker) estimate(now time.Time, r *Request, key uint64, work time.Duration, c *candidate) {
	i := c.inst
	slow := i.slowdown(now)
	c.wait = i.wait(now, work)
	c.work = time.Duration(float64(work) * slow)
	cost := float64(c.wait + c.work)
	switch {
	case r.holding != nil:
		cost = p.estimateHolding(r, key, work, slow, c)
	case c.rank == 0:
	case r.Key == "" || p.recent.has(now, rendezvous.Mix(key^i.hash)):
		cost += rankCost * float64(c.rank) * float64(work)
	default:
		cost += cacheMissCost * float64(work) * slow
	}
	if i.Region != p.cfg.Region {
		cost += float64(p.cfg.RegionRTT)
	}
	cost += failureCost * i.failureRate(now) * float64(max(r.Target, work))
	c.cost = time.Duration(cost)
}

// admitCold takes a token from this VM's part of a cold instance's rate.
func (p *Picker) admitCold(now time.Time, i *instance) bool {
	if i.Region != p.cfg.Region || !p.isActing {
		return false
	}
	numSenders := min(p.sharers(), maxColdVMs)
	if len(p.vms) > maxColdVMs && !p.isAmongFirst(i.hash, maxColdVMs) {
		return false
	}
	// Each of these VMs may use one saved token and its rate within one second.
	total := i.ColdRate*p.cfg.ColdOver + p.cfg.ColdSlack - float64(numSenders)
	rate := min(coldRateFraction*max(total, 0), i.ColdRate) / float64(numSenders)
	return i.takeColdToken(now, rate)
}

// isAmongFirst reports whether this VM is one of the first n in the rendezvous order of a
// hash. VMs with a higher weight are more likely to come first.
func (p *Picker) isAmongFirst(hash uint64, n int) bool {
	score := func(vm VM) float64 { return rendezvous.Score(rendezvous.Mix(hash^hashOf(vm.ID)), vm.Weight) }
	var own float64
	for _, vm := range p.vms {
		if vm.ID == p.cfg.VM {
			own = score(vm)
		}
	}
	before := 0
	for _, vm := range p.vms {
		if vm.ID != p.cfg.VM && score(vm) > own {
			before++
		}
	}
	return before < n
}

// lastResort picks an instance of a region in which all were ejected or tried already:
// the one whose ejection began first is the most likely to have recovered.
func (p *Picker) lastResort(now time.Time, group []*instance, r *Request, work time.Duration) (*candidate, *verdict.Error) {
	var best *instance
	hasCold := false
	for _, i := range group {
		if i.isCold(now) {
			hasCold = true
			continue
		}
		// The address of a replaced instance now belongs to another instance.
		if i.isReplaced || !p.isOpenFor(now, i, r) || slices.Contains(r.Exclude, i.ID) {
			continue
		}
		if best == nil || i.ejectedAt.Before(best.ejectedAt) {
			best = i
		}
	}
	switch {
	case best != nil && r.Idempotent:
		return &candidate{inst: best, rank: maxCandidates, wait: best.wait(now, work), work: work, cost: work}, nil
	case hasCold:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonSaturated, defaultRetryAfter)
	default:
		e := verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, untilTrial(now, group, r))
		e.Err = newNoneAvailableError(now, group, r)
		return nil, e
	}
}

// Done records the outcome of a ticket's attempt and ends the ticket.
func (p *Picker) Done(now time.Time, t *Ticket, o Outcome) {
	if t.inst == nil {
		return
	}
	usual := t.service.expectedWork(t.route)
	if t.usual > 0 {
		usual = t.usual
	}
	if t.Spilled {
		usual += p.cfg.RegionRTT
	}
	before, beforeAt := t.inst.ejection, t.inst.ejectedAt
	t.inst.recordOutcome(now, &o, t.Wait+usual, usual, t.pickedAt, t.inst.endTrial(t))
	p.recordEjection(now, t.inst, before, beforeAt, o.Reason)
	if o.Verdict != verdict.Ran {
		return
	}
	work := o.Latency - t.Wait
	if t.Spilled {
		work -= p.cfg.RegionRTT
	}
	t.service.updateWork(t.route, max(work, time.Millisecond))
	if t.usual > 0 && !o.Failed && !o.Cancelled {
		t.observeHolding(&o, max(work, time.Millisecond))
	}
	if t.warmKey != 0 {
		p.recent.mark(now, t.warmKey)
	}
}
