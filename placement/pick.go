package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantferry/currantferry/rendezvous"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// candidates is how many instances of an object's order are compared at most.
	candidates = 3
	// objectsHeld is how many objects an instance is taken to hold. Copies beyond
	// that would push each other out.
	objectsHeld = 45
	// objectsFor is how long an object counts after its last request.
	objectsFor = 10 * time.Second
	// objectsMost bounds the objects that are counted; with as many, no instance
	// holds all and each object gets one place.
	objectsMost = 4096
	// elsewhereCost is added, in units of the route's work, for an instance that
	// is not the object's first and is not known to hold the object: work on an
	// object that an instance does not hold takes about three times as long.
	elsewhereCost = 2.0
	// rankCost is added for each rank of an instance that holds the object, so
	// that objects stay where they are on equal terms.
	rankCost = 0.15
	// failureCost is added, in units of the target time, for an instance that fails
	// every request: a failed one takes its place and that of another attempt.
	failureCost = 2.0
	// coldVMs is how many VMs may send to the same cold instance. Fewer shares
	// are large enough to be used.
	coldVMs = 8
	// coldMargin is the part of a cold instance's rate that is shared out.
	coldMargin = 0.8
	// leastWait, returnedWait and urgentWait bound the queueing of requests, the
	// first two in units of the route's work, the last as a factor on the time
	// that the target leaves.
	leastWait    = 0.25
	returnedWait = 1.0
	urgentWait   = 1.5
	// ordinaryPriority is the priority from which requests get no longer wait.
	ordinaryPriority = 2
	// returnedAfter is how much less time than others a caller must have left to
	// count as one that came back.
	returnedAfter = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// defaultRetryAfter is the advice where no wait can be estimated.
	defaultRetryAfter = 500 * time.Millisecond
)

// candidate is an instance with its estimates for a request.
type candidate struct {
	inst  *instance
	score uint64
	rank  int
	trial bool
	wait  time.Duration
	work  time.Duration
	cost  time.Duration
}

// Pick chooses an instance, or refuses with a verdict of not run. Done must be
// called for each ticket.
func (p *Picker) Pick(now time.Time, r *Request) (Ticket, *verdict.Error) {
	s := p.services[r.Service]
	if s == nil || len(s.instances) == 0 {
		return Ticket{}, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, defaultRetryAfter)
	}
	key := p.keyOf(r)
	if r.Key != "" {
		s.asked(now, key)
	}
	home := p.regionFor(s, r, key)
	best, refused := p.pickIn(now, s, r, key, home)
	allowed := s.allowedWait(r)
	if best == nil || !p.isWorthwhile(now, r, best, allowed) {
		if other := p.elsewhere(now, s, r, key, home, best); other != nil && p.isWorthwhile(now, r, other, allowed) {
			best = other
		}
	}
	if best == nil {
		if best = p.notLeft(now, s, r, key); best == nil {
			if e := p.unavailable(now, s, r); e != nil {
				return Ticket{}, e
			}
			return Ticket{}, refused
		}
	}
	if !p.isWorthwhile(now, r, best, allowed) {
		after := min(max(best.wait, minRetryAfter), maxRetryAfter)
		e := verdict.New(verdict.NotRun, verdict.ReasonDeadlineAhead, after)
		e.Err = &queueTooLong{instance: best.inst.ID, wait: best.wait, work: best.work, allowed: allowed, loadAge: now.Sub(best.inst.loadAt)}
		return Ticket{}, e
	}
	return p.ticket(now, s, r, key, best), nil
}

// queueTooLong says what decided for a refusal.
type queueTooLong struct {
	instance                     string
	wait, work, allowed, loadAge time.Duration
}

func (q *queueTooLong) Error() string {
	return fmt.Sprintf("instance %s: wait of %s and work of %s expected by a load report %s old, wait of %s allowed",
		q.instance, q.wait.Round(time.Millisecond), q.work.Round(time.Millisecond), q.loadAge.Round(time.Millisecond), q.allowed.Round(time.Millisecond))
}

// allowedWait is how long a request may queue at an instance. Beyond the target
// time a place in a queue only delays the requests behind it.
func (s *service) allowedWait(r *Request) time.Duration {
	work := s.work(r.Route)
	w := s.route(r.Route)
	w.longest = max(w.longest, r.Timeout)
	least := time.Duration(leastWait * float64(work))
	if r.Timeout > 0 && w.longest-r.Timeout > returnedAfter {
		// A caller that came back has missed its target already.
		return max(least, time.Duration(returnedWait*float64(work)))
	}
	if r.Target <= 0 {
		return time.Duration(1<<63 - 1)
	}
	allowed := r.Target - work
	if r.Priority < ordinaryPriority {
		allowed = time.Duration(urgentWait * float64(allowed))
	}
	return max(least, allowed)
}

// keyOf is the hash of the request's object. Requests without one are spread.
func (p *Picker) keyOf(r *Request) uint64 {
	if r.Key == "" {
		p.unkeyed++
		return rendezvous.Mix(hashOf(p.cfg.VM) + p.unkeyed*0x9e3779b97f4a7c15)
	}
	return rendezvous.Mix(hashOf(r.Key) ^ hashOf(r.Route)*3)
}

func (p *Picker) ticket(now time.Time, s *service, r *Request, key uint64, c *candidate) Ticket {
	i := c.inst
	i.sent()
	if c.trial {
		i.trial = true
	}
	age := time.Duration(-1)
	if !i.loadAt.IsZero() {
		age = now.Sub(i.loadAt)
	}
	t := Ticket{
		Instance: i.Instance, Rank: c.rank, Spilled: i.Region != p.cfg.Region, Wait: c.wait, Work: c.work, LoadAge: age,
		inst: i, service: s, route: r.Route, leaving: i.said.IsLeaving(),
	}
	if r.Key != "" {
		t.warmKey = rendezvous.Mix(key ^ i.hash)
	}
	return t
}

// isWorthwhile tells whether a candidate is likely to answer in time.
func (p *Picker) isWorthwhile(now time.Time, r *Request, c *candidate, allowed time.Duration) bool {
	if c.wait > allowed {
		return false
	}
	return r.Deadline.IsZero() || !now.Add(c.wait+c.work/2).After(r.Deadline)
}

// regionFor is the region in which an object of this VM's callers runs.
func (p *Picker) regionFor(s *service, r *Request, key uint64) string {
	own := p.cfg.Region
	mayStay := len(r.Regions) == 0 || slices.Contains(r.Regions, own)
	if mayStay && len(s.regions[own]) > 0 && rendezvous.Unit(rendezvous.Mix(key^hashOf(own))) >= s.spill {
		return own
	}
	if best := p.awayRegion(s, r, key, own); best != "" || !mayStay {
		return best
	}
	return own
}

// awayRegion is the region other than not to which an object goes, or empty. It
// depends on the object alone as long as the regions have room, so that single
// requests that overflow find their object held there.
func (p *Picker) awayRegion(s *service, r *Request, key uint64, not string) string {
	best, top := "", -1.0
	for region, group := range s.regions {
		if region == not || (len(r.Regions) > 0 && !slices.Contains(r.Regions, region)) {
			continue
		}
		score := rendezvous.Score(rendezvous.Mix(key^hashOf(region)*5), s.room(region, group))
		if score > top || (score == top && region < best) {
			best, top = region, score
		}
	}
	return best
}

// room is the weight of a region for work from elsewhere: its slots, in steps by
// how busy they are. A weight that follows the load closely would move objects to
// and fro, and they would be held nowhere.
func (s *service) room(region string, group []*instance) float64 {
	slots := 0
	for _, i := range group {
		if !i.said.IsLeaving() {
			slots += i.Slots
		}
	}
	switch busy := s.lasting[region]; {
	case busy < pressureHigh:
		return float64(slots)
	case busy < pressureFull:
		return float64(slots) * busyRoom
	default:
		return float64(slots) * fullRoom
	}
}

// elsewhere tries another region for a request that its region can't serve.
func (p *Picker) elsewhere(now time.Time, s *service, r *Request, key uint64, home string, than *candidate) *candidate {
	if than != nil && p.overflow < 1 {
		return nil
	}
	region := p.awayRegion(s, r, key, home)
	if region == "" {
		return nil
	}
	best, _ := p.pickIn(now, s, r, key, region)
	if best == nil || (than != nil && best.cost >= than.cost) {
		return nil
	}
	if than != nil {
		p.overflow--
	}
	return best
}

// pickIn chooses the best instance of a region for an object, or says why none
// takes the request.
func (p *Picker) pickIn(now time.Time, s *service, r *Request, key uint64, region string) (*candidate, *verdict.Error) {
	group := s.regions[region]
	if len(group) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, defaultRetryAfter)
	}
	work := s.work(r.Route)
	// Instances that may not be used make room for the next in order.
	var skipped []*instance
	for {
		top := p.top(now, group, r, key, skipped, s.copies(len(group)))
		if len(top) == 0 {
			break
		}
		for k := range top {
			p.estimate(now, r, key, work, &top[k])
		}
		slices.SortStableFunc(top, func(a, b candidate) int { return int(a.cost - b.cost) })
		for k := range top {
			c := &top[k]
			if !c.inst.isCold(now) || p.takeCold(now, c.inst) {
				return c, nil
			}
			skipped = append(skipped, c.inst)
		}
	}
	return p.lastResort(now, group, r, work)
}

// copies is how many instances of a group may serve an object, so that all objects
// that are asked for find room.
func (s *service) copies(instances int) int {
	if len(s.objects) == 0 {
		return candidates
	}
	return min(candidates, max(1, objectsHeld*instances/len(s.objects)))
}

// asked notes a request for an object.
func (s *service) asked(now time.Time, key uint64) {
	if _, known := s.objects[key]; known || len(s.objects) < objectsMost {
		s.objects[key] = now
	}
}

// forget drops objects that nobody asks for any more.
func (s *service) forget(now time.Time) {
	for key, at := range s.objects {
		if now.Sub(at) > objectsFor {
			delete(s.objects, key)
		}
	}
}

// top returns the first instances in the order of an object that take requests.
func (p *Picker) top(now time.Time, group []*instance, r *Request, key uint64, skipped []*instance, copies int) []candidate {
	top := make([]candidate, 0, candidates+1)
	for _, i := range group {
		if !i.takesNew(now) {
			continue
		}
		out, trialDue := i.isOut(now)
		if out && (!trialDue || !r.Idempotent) {
			continue
		}
		score := rendezvous.Mix(key ^ i.hash)
		if len(top) == copies && score <= top[copies-1].score {
			continue
		}
		if slices.Contains(r.Exclude, i.ID) || slices.Contains(skipped, i) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, score, func(c candidate, score uint64) int {
			if c.score > score {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, at, candidate{inst: i, score: score, trial: out})
		top = top[:min(len(top), copies)]
	}
	for k := range top {
		top[k].rank = k
	}
	return top
}

func (p *Picker) estimate(now time.Time, r *Request, key uint64, work time.Duration, c *candidate) {
	i := c.inst
	slow := i.slow(now)
	c.wait = i.wait(now, work)
	c.work = time.Duration(float64(work) * slow)
	cost := float64(c.wait + c.work)
	switch {
	case c.rank == 0:
	case r.Key == "" || p.recent.has(now, rendezvous.Mix(key^i.hash)):
		cost += rankCost * float64(c.rank) * float64(work)
	default:
		cost += elsewhereCost * float64(work) * slow
	}
	if i.Region != p.cfg.Region {
		cost += float64(p.cfg.RegionDelay)
	}
	cost += failureCost * i.failureRate(now) * float64(max(r.Target, work))
	c.cost = time.Duration(cost)
}

// takeCold takes a request from this VM's share of a cold instance.
func (p *Picker) takeCold(now time.Time, i *instance) bool {
	if i.Region != p.cfg.Region {
		return false
	}
	sharers := min(len(p.vms), coldVMs)
	if len(p.vms) > coldVMs && !p.isAmong(i.hash, coldVMs) {
		return false
	}
	// Within one second each sharer may use a saved request and its rate.
	total := i.ColdRate*p.cfg.ColdOver + p.cfg.ColdSlack - float64(sharers)
	rate := min(coldMargin*max(total, 0), i.ColdRate) / float64(sharers)
	return i.takeCold(now, rate)
}

// isAmong tells whether this VM is one of the first n in the order of a hash, in
// which VMs with more requests tend to come first.
func (p *Picker) isAmong(hash uint64, n int) bool {
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

// lastResort serves a request although every instance of the region failed
// lately, or was tried: the one that was ejected first may be back.
func (p *Picker) lastResort(now time.Time, group []*instance, r *Request, work time.Duration) (*candidate, *verdict.Error) {
	var best *instance
	cold := false
	for _, i := range group {
		if i.isCold(now) {
			cold = true
			continue
		}
		// The address of a replaced instance belongs to another one.
		if i.replaced || !i.takesNew(now) || slices.Contains(r.Exclude, i.ID) {
			continue
		}
		if best == nil || i.ejectedAt.Before(best.ejectedAt) {
			best = i
		}
	}
	switch {
	case best != nil && r.Idempotent:
		return &candidate{inst: best, rank: candidates, wait: best.wait(now, work), work: work, cost: work}, nil
	case cold:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonSaturated, defaultRetryAfter)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoUpstream, defaultRetryAfter)
	}
}

// Done ends a ticket.
func (p *Picker) Done(now time.Time, t *Ticket, o Outcome) {
	if t.inst == nil {
		return
	}
	usual := t.service.work(t.route)
	if t.Spilled {
		usual += p.cfg.RegionDelay
	}
	t.inst.ended(now, &o, t.Wait+usual, usual)
	if o.Verdict != verdict.Ran {
		return
	}
	work := o.Latency - t.Wait
	if t.Spilled {
		work -= p.cfg.RegionDelay
	}
	t.service.learn(t.route, max(work, time.Millisecond))
	if t.warmKey != 0 {
		p.recent.mark(now, t.warmKey)
	}
}
