package placement

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

const (
	// backlogFactor and backlogExponent relate the slots that a request leaves free to the load
	// per slot beyond 1. Without it, teams within their share were served 0.85 of the time next
	// to two at 7.5 times their usual rate. With an exponent of 0, the middle one of three
	// priorities was served 0.32 of the time and the least urgent one 0.34 where the most urgent one
	// asked for 2.5 times its usual load.
	backlogFactor   = 2.0
	backlogExponent = 3
	// demandHalfLife is the half-life of the demand by priority and team. Bursts last 3 to
	// 6 s, so the reserve for more urgent requests has to follow within about a second.
	demandHalfLife = time.Second
	// shareHalfLife is the half-life of what teams get in comparison with each other. A VM sends
	// some ten requests of a large team per second, which vary too much over a second.
	shareHalfLife = 4 * time.Second
	// demandTTL is the time without requests after which a priority or team no longer counts.
	demandTTL = 5 * time.Second
	// slackFraction is the part of the time that more urgent requests have left within their
	// target which less urgent ones may use up by queueing ahead of them, once for each
	// priority between, so that each one finds room behind the next.
	slackFraction = 0.5
	// shortPressure is the load per slot of a region from which on requests give way to
	// others, and shortPressureSpan the excess over it at which the rule has its full effect.
	shortPressure     = 0.75
	shortPressureSpan = 0.2
	// shiftingPressure replaces shortPressure while another region is below sparePressure, since
	// requests move there then. With 1.1, requests were refused at 0.4 of the capacity.
	shiftingPressure = 1.3
	sparePressure    = 0.6
	// fullEffectPart is the part of this VM's work that the requests which go first must ask for
	// before others give way in full.
	fullEffectPart = 0.01
	// reserveExponent reduces the reserve while the more urgent requests need a small part of
	// the slots: the slots that they free serve most of those that follow, and the reserve has
	// to cover random variation only. At 2.5 times its load, the least urgent of three priorities
	// got 31 % with an exponent of 1 and 40 % with 2, at a mean value of 58.2 and 58.7 %.
	reserveExponent = 1.5
	// slackStep is the part of the difference by which the slack of a priority grows per tick
	// when its requests have more time than before.
	slackStep = 0.1
	// shareTolerance is the excess over its fair share from which on a team gives way to the
	// other teams of its priority.
	shareTolerance = 1.02
	// returnFraction is the part of the admitted rate that refused callers may use when they
	// come back. The rest is for callers that ask for the first time.
	returnFraction = 0.5
	// minReturnRate is the least number of callers per second that are told to come back. A VM
	// that serves none of a priority would otherwise never find out that there is capacity.
	minReturnRate = 0.5
	// returnTimeFraction is the part of its remaining time within which a caller is expected
	// to come back.
	returnTimeFraction = 1.0 / 3
)

// admission is this VM's demand for a service by priority and team. It decides which
// requests give way when the instances lack capacity.
type admission struct {
	// classes are sorted by priority.
	classes []*demandClass
	// admitted is the smoothed work that this VM sends to instances, in slots, and
	// admittedRate the requests per second.
	admitted, admittedRate float64
	// isMixed says that the service has several priorities, or several teams of one.
	isMixed bool
	// maxDepth is the largest depth of a request.
	maxDepth int
	// rule replaces the rule of allows in comparisons. Nil means none.
	rule func(q *precedence, now time.Time, s *service, c *candidate) bool
}

// demandClass is the demand of one priority.
type demandClass struct {
	priority int
	// teams are sorted by name, so that sums don't depend on the order of a map.
	teams []*teamDemand
	// demand and admitted are the sums of the teams.
	demand, admitted float64
	// admittedRate is the smoothed number of admitted requests per second.
	admittedRate float64
	numAdmitted  float64
	// slack is the time that the requests have left within their target after their work.
	// minSlack is the least one since the last tick.
	slack, minSlack time.Duration
	// ahead is the demand of more urgent priorities, and aheadSlack their least slack.
	ahead      float64
	aheadSlack time.Duration
	// aheadOf is the demand of this priority's teams that have less excess, by excess.
	aheadOf [3]float64
	// returnAt is the last time at which a refused caller was told to come back.
	returnAt time.Time
}

// teamDemand is the demand of one team within a priority, in slots: requests per second
// times the expected work.
type teamDemand struct {
	name string
	// asked and taken are the seconds of work requested and admitted since the last tick.
	asked, taken     float64
	demand, admitted float64
	// got is admitted, smoothed over a longer time.
	got    float64
	lastAt time.Time
	// excess is 0 for a team that asks for no more than its fair share, 1 for one that asks for
	// more, and 2 for one that also gets more.
	excess int
}

// unboundedSlack is the slack of requests without a target.
const unboundedSlack = time.Duration(math.MaxInt64)

// class returns the demand of a priority.
func (a *admission) class(priority int) *demandClass {
	at, known := slices.BinarySearchFunc(a.classes, priority, func(c *demandClass, priority int) int { return c.priority - priority })
	if !known {
		c := &demandClass{priority: priority, slack: unboundedSlack, minSlack: unboundedSlack, aheadSlack: unboundedSlack}
		if at > 0 {
			// The next tick computes this for all classes.
			c.ahead, c.aheadSlack = a.classes[at-1].ahead+a.classes[at-1].demand, min(a.classes[at-1].aheadSlack, a.classes[at-1].slack)
		}
		a.classes = slices.Insert(a.classes, at, c)
	}
	return a.classes[at]
}

// precedence is what a request has to leave to others.
type precedence struct {
	class *demandClass
	team  *teamDemand
	work  time.Duration
	// ahead is the demand of the requests that go first, in slots, and maxWait the queueing
	// time up to which they are still answered within their target.
	ahead   float64
	maxWait time.Duration
	// depth is the number of classes that go first.
	depth int
	// isOverShare says that the request gives way to other teams of its priority.
	isOverShare bool
	// isMixed says that the request competes with others.
	isMixed bool
}

// ask counts a request and returns what it has to leave to others.
func (a *admission) ask(now time.Time, r *Request, work time.Duration) precedence {
	c := a.class(r.Priority)
	at, known := slices.BinarySearchFunc(c.teams, r.Team, func(t *teamDemand, name string) int { return compareIDs(t.name, name) })
	if !known {
		c.teams = slices.Insert(c.teams, at, &teamDemand{name: r.Team})
		a.isMixed = a.isMixed || len(a.classes) > 1 || len(c.teams) > 1
	}
	t := c.teams[at]
	t.lastAt = now
	if len(r.Exclude) == 0 {
		t.asked += work.Seconds()
		if r.Target > 0 {
			c.minSlack = min(c.minSlack, max(0, r.Target-work))
		}
	}
	q := precedence{class: c, team: t, work: work, ahead: c.ahead, maxWait: c.aheadSlack, isMixed: a.isMixed, depth: slices.Index(a.classes, c)}
	if t.excess > 0 {
		q.isOverShare = true
		q.depth += t.excess
		q.ahead += c.aheadOf[t.excess]
		q.maxWait = min(q.maxWait, c.slack)
	}
	if q.maxWait < unboundedSlack {
		q.maxWait = time.Duration(math.Pow(slackFraction, float64(q.depth)) * float64(q.maxWait))
	}
	return q
}

// recordAdmitted counts a request that is sent to an instance.
func (q *precedence) recordAdmitted() {
	if q.class != nil {
		q.team.taken += q.work.Seconds()
		q.class.numAdmitted++
	}
}

// tick updates the demand, and with it what each priority and team has to leave to others.
func (a *admission) tick(now time.Time, elapsed time.Duration) {
	keep, keepShare := decay(elapsed, demandHalfLife), decay(elapsed, shareHalfLife)
	smooth := func(old *float64, seen float64) { *old = seen/elapsed.Seconds()*(1-keep) + *old*keep }
	a.admitted, a.admittedRate = 0, 0
	numTeams := 0
	for _, c := range a.classes {
		c.demand, c.admitted = 0, 0
		c.teams = slices.DeleteFunc(c.teams, func(t *teamDemand) bool { return now.Sub(t.lastAt) > demandTTL })
		for _, t := range c.teams {
			smooth(&t.demand, t.asked)
			smooth(&t.admitted, t.taken)
			t.got = t.taken/elapsed.Seconds()*(1-keepShare) + t.got*keepShare
			t.asked, t.taken = 0, 0
			c.demand += t.demand
			c.admitted += t.admitted
		}
		smooth(&c.admittedRate, c.numAdmitted)
		c.numAdmitted = 0
		switch {
		case c.minSlack < c.slack:
			c.slack = c.minSlack
		case c.minSlack < unboundedSlack:
			c.slack += time.Duration(slackStep * float64(c.minSlack-c.slack))
		}
		c.minSlack = unboundedSlack
		c.updateShares()
		a.admitted += c.admitted
		a.admittedRate += c.admittedRate
		numTeams += len(c.teams)
	}
	a.classes = slices.DeleteFunc(a.classes, func(c *demandClass) bool { return len(c.teams) == 0 })
	ahead, slack := 0.0, unboundedSlack
	a.maxDepth = 0
	for k, c := range a.classes {
		for _, t := range c.teams {
			a.maxDepth = max(a.maxDepth, k+t.excess)
		}
		c.ahead, c.aheadSlack = ahead, slack
		ahead += c.demand
		slack = min(slack, c.slack)
	}
	a.isMixed = numTeams > 1
}

// updateShares determines which teams ask for more than their max-min fair share of what the
// priority gets. They give way to the others by what they ask for, not by what they get: a team
// that is admitted without bound whenever it is below its share fills the queues in that time.
func (c *demandClass) updateShares() {
	c.aheadOf = [3]float64{}
	level := math.Inf(1)
	if len(c.teams) > 1 && c.admitted*shareTolerance < c.demand {
		demands := make([]float64, 0, len(c.teams))
		for _, t := range c.teams {
			demands = append(demands, t.demand)
		}
		level = maxMinLevel(demands, c.admitted)
	}
	got, numOver := 0.0, 0
	for _, t := range c.teams {
		if t.demand > level*shareTolerance {
			got += t.got
			numOver++
		}
	}
	for _, t := range c.teams {
		switch {
		case t.demand <= level*shareTolerance:
			t.excess = 0
			c.aheadOf[1] += t.demand
		case t.got*float64(numOver) <= got*shareTolerance:
			t.excess = 1
			c.aheadOf[2] += level
		default:
			t.excess = 2
		}
	}
	c.aheadOf[2] += c.aheadOf[1]
}

// maxMinLevel returns the level at which demands are cut off so that they sum up to the
// capacity. It sorts the demands.
func maxMinLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for k, d := range demands {
		level := capacity / float64(len(demands)-k)
		if d >= level {
			return level
		}
		capacity -= d
	}
	return math.Inf(1)
}

// meanWork returns the mean work of the requests that this VM sends to the service.
func (a *admission) meanWork(fallback time.Duration) time.Duration {
	if a.admittedRate <= 0 {
		return fallback
	}
	return time.Duration(a.admitted / a.admittedRate * float64(time.Second))
}

// reserve returns the part of a region's slots that the requests that go first need: their
// demand, relative to what this VM sends, times the part of the slots in use.
func (q *precedence) reserve(s *service, region string) float64 {
	r := min(1, q.ahead/max(s.admission.admitted, q.ahead, 1e-9)*min(1, s.pressure[region]))
	if r >= 1 {
		return 1
	}
	return math.Pow(r, reserveExponent)
}

// backlog returns the part of a region's slots that the request leaves free so that the queues
// of the region shrink. Load reports are up to a second old, so that many VMs send to the same
// instance before one learns of the others. The least urgent requests give way most.
func (q *precedence) backlog(s *service, region string) float64 {
	depth := float64(q.depth) / float64(max(q.depth, s.admission.maxDepth, 1))
	return backlogFactor * max(0, s.pressure[region]-1) * math.Pow(depth, backlogExponent)
}

// shortage returns how much a region lacks capacity, from 0 to 1. A region that is under
// pressure while another one is not moves requests there, and lacks capacity only if its
// queues grow meanwhile.
func (s *service) shortage(r *Request, region string) float64 {
	start := shortPressure
	for other := range s.regions {
		if other != region && r.allows(other) && s.pressure[other] < sparePressure {
			start = shiftingPressure
			break
		}
	}
	return max(0, min(1, (s.pressure[region]-start)/shortPressureSpan))
}

// allows reports whether a request may use a candidate without taking the place of one that
// goes first. An instance serves its queue in order, so a request that queues there delays
// all that arrive later.
func (q *precedence) allows(now time.Time, s *service, r *Request, c *candidate) bool {
	i := c.inst
	if s.admission.rule != nil {
		return s.admission.rule(q, now, s, c)
	}
	if !q.isMixed || q.ahead <= 0 || s.shortage(r, i.Region) <= 0 {
		return true
	}
	if i.loadAt.IsZero() || now.Sub(i.loadAt) > loadTTL {
		// Nothing is held back at an instance whose load is unknown.
		return true
	}
	slots := float64(max(1, i.Slots))
	behind := float64(i.inFlight(now)) + 1 - slots*(1-q.reserve(s, i.Region)-q.backlog(s, i.Region))
	if behind <= 0 {
		return true
	}
	wait := behind / slots * float64(s.admission.meanWork(q.work)) * i.slowdown(now)
	// The rule takes effect gradually, so that VMs with slightly different reports of a
	// region don't switch it on and off, and that a rare request does not bind all others.
	wait *= s.shortage(r, i.Region) * min(1, q.ahead/max(fullEffectPart*s.admission.admitted, 1e-9))
	return wait <= float64(q.maxWait)
}

// precedenceError holds the state behind a refusal that leaves capacity to other requests.
type precedenceError struct {
	instance               string
	priority, inFlight     int
	slots                  int
	reserve, ahead, demand float64
	maxWait                time.Duration
	isOverShare            bool
}

func (e *precedenceError) Error() string {
	first := "more urgent requests"
	if e.isOverShare {
		first = "more urgent requests and teams within their share"
	}
	return fmt.Sprintf("priority %d, instance %s: %d requests for %d slots, %.0f %% kept for %s, which need %.2f slots of this VM, this priority %.2f, allowed wait %s",
		e.priority, e.instance, e.inFlight, e.slots, 100*e.reserve, first, e.ahead, e.demand, e.maxWait.Round(time.Millisecond))
}

// precedenceError returns a refusal if the request gives way to others.
func (p *Picker) precedenceError(now time.Time, s *service, r *Request, c *candidate) *verdict.Error {
	q := &r.precedence
	if q.allows(now, s, r, c) {
		return nil
	}
	reason := verdict.ReasonPrecedence
	if q.isOverShare {
		reason = verdict.ReasonTeamShare
	}
	i := c.inst
	refusal := verdict.New(verdict.NotRun, reason, q.returnAfter(now, r, c.wait, p.cfg.Random()))
	refusal.Err = &precedenceError{
		instance: i.ID, priority: r.Priority, inFlight: i.inFlight(now), slots: i.Slots, reserve: q.reserve(s, i.Region),
		ahead: q.ahead, demand: q.class.demand, maxWait: q.maxWait, isOverShare: q.isOverShare,
	}
	return refusal
}

// returnAfter returns when a refused caller should come back. Callers of one priority get
// successive times, at a part of the rate at which it is served. One that can't come back then,
// within returnTimeFraction of its remaining time, gets no place, so that it takes none from
// others. From half of maxRetryAfter on, callers are spread at random.
func (q *precedence) returnAfter(now time.Time, r *Request, wait time.Duration, random float64) time.Duration {
	rate := max(returnFraction*q.class.admittedRate, minReturnRate)
	earliest := now.Add(max(minRetryAfter, min(wait, maxRetryAfter)))
	at := q.class.returnAt.Add(time.Duration(float64(time.Second) / rate))
	if at.Before(earliest) {
		at = earliest
	}
	after := at.Sub(now)
	if after > maxRetryAfter {
		return maxRetryAfter/2 + time.Duration(random*float64(maxRetryAfter/2))
	}
	if r.Deadline.IsZero() || after <= time.Duration(returnTimeFraction*float64(r.Deadline.Sub(now))) {
		q.class.returnAt = at
	}
	return after
}
