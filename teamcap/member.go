package teamcap

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/quotalease"
)

const (
	// minInterval and maxInterval bound the interval of reports, which grows with the number
	// of VMs by intervalPerVM, so that the coordinator's load is bounded.
	minInterval   = 250 * time.Millisecond
	maxInterval   = 500 * time.Millisecond
	intervalPerVM = time.Millisecond
	// minUrgent and maxUrgent bound the interval while a VM needs more credit.
	minUrgent = 20 * time.Millisecond
	maxUrgent = 150 * time.Millisecond
	// urgentUse is the part of a credit whose use makes a report urgent.
	urgentUse = 0.5
	// shortTTL is how long requests are refused at once after a reply that gave less credit
	// than wanted.
	shortTTL = 300 * time.Millisecond
	// refundTTL is how long a refund is used. Later refunds are lost, so that they don't add
	// up to more than the tolerance.
	refundTTL = 100 * time.Millisecond
	// demandTime is the time over which demand and admissions are averaged.
	demandTime = time.Second
	// admittedTime is the time over which the rate for Retry-After is averaged.
	admittedTime = 2 * time.Second
	// minDemand is the demand in requests per second below which unused credit is returned.
	minDemand = 0.2
	// minRetryAfter and maxRetryAfter bound Retry-After.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxIdle is the time without requests that a new team is considered to have had.
	maxIdle = 10 * time.Second
	// jumpRequests is the number of requests since the last report from which it shows the
	// present demand.
	jumpRequests = 5
	// maxEntries bounds the entries of one report.
	maxEntries = 256
	// startWait is how long after its start a VM lets requests wait for its first reply.
	startWait = 3 * time.Second
)

// Decision is what a VM does with a request.
type Decision uint8

// Decisions about a request. A request that is to wait is decided again after the next reply.
const (
	Admitted Decision = iota
	Wait
	Refused
)

// Mode is how a VM decides about a team.
type Mode uint8

// Modes of a team at a VM: it admits before it asks, needs credit, or has no coordinator.
const (
	Open Mode = iota
	Metered
	Fallback
)

func (m Mode) String() string { return [...]string{"open", "metered", "fallback"}[m] }

// Member is a VM's part: it admits requests and reports them.
type Member struct {
	bound  Bound
	random func() float64
	// boot increases when the VM asks another coordinator, so that this one begins a new
	// account.
	boot      uint64
	started   time.Time
	requester quotalease.Requester
	teams     map[uint64]*teamState
	// low holds the metered teams of the coordinator's version lowVersion.
	low         map[uint64]bool
	lowVersion  uint64
	weight      Weight
	numVMs      int
	active      []uint64
	reportedAt  time.Time
	isUrgent    bool
	repliedAt   time.Time
	coordinator string
	// acks holds the newest Seq that each coordinator answered.
	acks map[string]uint64
}

// teamState is a VM's state for a team.
type teamState struct {
	limit           uint64
	admitted, acked uint64
	// reported holds the values of admitted in reports that are not confirmed, oldest first.
	reported []reported
	wanted   int
	shortAt  time.Time
	isActive bool
	// demand and rate are the requests per second that arrived, and that were admitted.
	demand, rate         float64
	arrivals, admissions int
	averagedAt           time.Time
	refunds              int
	refundedAt           time.Time
	// isAlone says that no coordinator gives credit. level is that of the bucket that is used
	// then, at the time levelAt.
	isAlone, isUnknown bool
	level              float64
	levelAt            time.Time
	nextFree           time.Time
}

type reported struct{ seq, admitted uint64 }

// maxReported bounds the unconfirmed reports that are remembered.
const maxReported = 16

// NewMember returns the state of a VM that has just started. boot increases with each start,
// and random returns numbers in [0, 1).
func NewMember(now time.Time, bound Bound, boot uint64, random func() float64) *Member {
	return &Member{
		bound: bound, random: random, boot: boot, started: now, teams: make(map[uint64]*teamState), low: make(map[uint64]bool),
		acks: make(map[string]uint64), weight: Weight{Own: 1, Total: 1}, numVMs: 1,
	}
}

// SetBound changes the bound.
func (m *Member) SetBound(b Bound) { m.bound = b }

// SetVMs sets the weight of this VM and the number of VMs.
func (m *Member) SetVMs(w Weight, numVMs int) { m.weight, m.numVMs = w, max(numVMs, 1) }

// Keep drops the state of teams for which keep returns false.
func (m *Member) Keep(keep func(team uint64) bool) {
	for team := range m.teams {
		if !keep(team) {
			delete(m.teams, team)
			delete(m.low, team)
		}
	}
}

func (m *Member) isConnected(now time.Time) bool {
	return !m.repliedAt.IsZero() && now.Sub(m.repliedAt) < creditTTL
}

// Mode returns how this VM decides about a team.
func (m *Member) Mode(now time.Time, team uint64) Mode {
	t := m.teams[team]
	switch {
	case !m.isConnected(now), t != nil && t.isUnknown:
		return Fallback
	case m.low[team]:
		return Metered
	}
	return Open
}

// Disconnect drops all credit until a coordinator replies to a new request, since this VM was
// paused.
func (m *Member) Disconnect() {
	if !m.repliedAt.IsZero() {
		m.repliedAt = m.started
	}
	m.requester = quotalease.Requester{}
	m.switchTo(m.coordinator)
}

// EachUsed calls visit for the teams that had requests recently.
func (m *Member) EachUsed(visit func(team uint64)) {
	for _, id := range m.active {
		if m.teams[id] != nil {
			visit(id)
		}
	}
}

// Coordinator returns the coordinator that answered last, and the one that does not answer.
func (m *Member) Coordinator() (current, failed string) {
	return m.coordinator, m.requester.Failed()
}

func (m *Member) team(now time.Time, id uint64) *teamState {
	t := m.teams[id]
	if t == nil {
		t = &teamState{averagedAt: now.Add(-maxIdle), levelAt: now.Add(-m.bound.Window)}
		m.teams[id] = t
	}
	return t
}

// Admit decides about a request. isRepeat says that it was decided before, and waited.
func (m *Member) Admit(now time.Time, id uint64, limit Cap, isRepeat bool) Decision {
	if limit.Rate <= 0 {
		return Admitted
	}
	t := m.team(now, id)
	if !isRepeat {
		t.arrivals++
	}
	m.activate(id, t)
	if t.refunds > 0 && now.Sub(t.refundedAt) < refundTTL {
		t.refunds--
		return Admitted
	}
	t.refunds = 0
	if !m.isConnected(now) || t.isUnknown {
		return m.admitAlone(now, t, limit)
	}
	t.isAlone = false
	unconfirmed := t.admitted - t.acked
	switch {
	case t.admitted < t.limit:
		t.admitted++
		t.admissions++
		if float64(t.admitted-t.acked) > urgentUse*float64(t.limit-t.acked) {
			m.isUrgent = true
		}
		return Admitted
	case !m.low[id] && float64(unconfirmed) < m.starter(limit):
		// A VM has no credit for teams that it rarely gets requests of.
		t.admitted++
		t.admissions++
		m.isUrgent = m.isUrgent || unconfirmed > 0
		return Admitted
	case !isRepeat:
		t.wanted++
		m.isUrgent = true
	}
	if now.Sub(t.shortAt) < shortTTL {
		return Refused
	}
	return Wait
}

// starter returns the number of requests that are admitted without credit before the next
// reply.
func (m *Member) starter(limit Cap) float64 {
	return max(minStarter, starterShare*m.share()*(limit.Burst+creditPart*m.bound.tolerance(limit)))
}

// admitAlone decides without coordinator. A fraction of a request in the bucket admits a
// request with this probability.
func (m *Member) admitAlone(now time.Time, t *teamState, limit Cap) Decision {
	if m.repliedAt.IsZero() && now.Sub(m.started) < startWait {
		m.isUrgent = true
		return Wait
	}
	w := m.share()
	start := fallbackPart * m.bound.tolerance(limit) * w
	passed := max(0, now.Sub(t.levelAt).Seconds())
	if t.isAlone {
		t.level = min(t.level+w*limit.Rate*passed, w*limit.Burst+start)
	} else {
		// What is admitted at the start of an outage is available once in a window.
		t.isAlone = true
		t.level = min(t.level+start*passed/m.bound.Window.Seconds(), start)
	}
	t.levelAt = now
	if t.level < 1 {
		p := t.level
		t.level = 0
		if m.random() >= p {
			return Refused
		}
	} else {
		t.level--
	}
	t.admissions++
	return Admitted
}

// fullShare returns this VM's share of the weights that it knows.
func (m *Member) fullShare() float64 {
	return float64(m.weight.Own) / float64(max(m.weight.Own, m.weight.Total, 1))
}

// share returns this VM's share of all weights, a cautious one after its start.
func (m *Member) share() float64 {
	share := m.fullShare()
	if m.weight.IsNew {
		share = min(share, 1.0/startFleet)
	}
	return share
}

// Refund takes back an admitted request that has not run.
func (m *Member) Refund(now time.Time, id uint64) {
	if t := m.teams[id]; t != nil {
		if now.Sub(t.refundedAt) >= refundTTL {
			t.refunds = 0
		}
		t.refunds++
		t.refundedAt = now
	}
}

// RetryAfter returns when a request that is refused now has a fair chance, after the callers
// that were told to come back before.
func (m *Member) RetryAfter(now time.Time, id uint64, limit Cap) time.Duration {
	t := m.team(now, id)
	rate := max(t.rate, m.fullShare()*limit.Rate)
	if t.nextFree.Before(now.Add(minRetryAfter)) {
		t.nextFree = now.Add(minRetryAfter)
	}
	after := t.nextFree.Sub(now)
	if rate > 0 {
		t.nextFree = t.nextFree.Add(time.Duration(min(1/rate, maxRetryAfter.Seconds()) * float64(time.Second)))
	}
	if after > maxRetryAfter {
		// Later callers share the last moments.
		t.nextFree = now.Add(maxRetryAfter * 9 / 10)
		after = maxRetryAfter
	}
	return after
}

func (m *Member) activate(id uint64, t *teamState) {
	if !t.isActive {
		t.isActive = true
		m.active = append(m.active, id)
	}
}

// average updates the averages of a team.
// since is the time since the last report.
func (t *teamState) average(now time.Time, since time.Duration) {
	passed := now.Sub(t.averagedAt).Seconds()
	if passed <= 0 {
		return
	}
	t.averagedAt = now
	mix := func(old float64, count int, over time.Duration) float64 {
		part := min(1, passed/over.Seconds())
		return old + part*(float64(count)/passed-old)
	}
	t.demand = mix(t.demand, t.arrivals, demandTime)
	if t.arrivals >= jumpRequests {
		// A jump is reported at once.
		t.demand = max(t.demand, float64(t.arrivals)/max(minUrgent.Seconds(), min(passed, since.Seconds())))
	}
	t.rate = mix(t.rate, t.admissions, admittedTime)
	t.arrivals, t.admissions = 0, 0
}

// Addressed is a request and the VM that it is for.
type Addressed struct {
	To string
	Request
}

// Reports returns the requests that are due. The first of the coordinators is asked, or the
// second one if it doesn't answer.
func (m *Member) Reports(now time.Time, coordinators []string) []Addressed {
	interval := min(max(minInterval, time.Duration(m.numVMs)*intervalPerVM), maxInterval)
	if m.isUrgent {
		interval = min(max(minUrgent, time.Duration(m.numVMs)*intervalPerVM), maxUrgent)
	}
	if now.Sub(m.reportedAt) < interval {
		return nil
	}
	ask, probe := m.requester.Choose(now, coordinators)
	if ask == "" {
		return nil
	}
	since := now.Sub(m.reportedAt)
	m.reportedAt, m.isUrgent = now, false
	var out []Addressed
	if ask != m.coordinator {
		// Credits belong to the coordinator that gave them.
		m.switchTo(ask)
	}
	q := Request{Boot: m.boot, IsVote: m.requester.Vote(now, ask), Weight: m.weight, Seq: m.requester.Send(now, ask), Ack: m.acks[ask], LowVersion: m.lowVersion}
	q.Entries = m.entries(now, q.Seq, since)
	out = append(out, Addressed{ask, q})
	if probe != "" {
		out = append(out, Addressed{probe, Request{Boot: m.boot, Weight: m.weight, Seq: m.requester.Send(now, probe), Ack: m.acks[probe]}})
	}
	return out
}

// switchTo drops what belongs to another coordinator.
func (m *Member) switchTo(coordinator string) {
	m.coordinator = coordinator
	m.boot++
	for _, t := range m.teams {
		t.limit, t.acked, t.reported = t.admitted, t.admitted, nil
	}
	clear(m.low)
	m.lowVersion = 0
}

// entries returns the entries of teams with news.
func (m *Member) entries(now time.Time, seq uint64, since time.Duration) []Entry {
	var out []Entry
	var rest, later []uint64
	for _, id := range m.active {
		t := m.teams[id]
		if t == nil {
			continue
		}
		if len(out) == maxEntries {
			later = append(later, id)
			m.isUrgent = true
			continue
		}
		t.average(now, since)
		if t.demand < minDemand {
			t.demand, t.limit = 0, min(t.limit, t.admitted)
		}
		out = append(out, Entry{
			Team: id, Admitted: t.admitted, Recent: t.admitted - t.acked, Limit: max(t.limit, t.admitted), Wanted: t.wanted, Demand: t.demand,
		})
		t.reported = append(t.reported, reported{seq, t.admitted})
		t.reported = t.reported[max(0, len(t.reported)-maxReported):]
		if t.demand == 0 && t.wanted == 0 && t.admitted == t.acked && t.limit <= t.admitted {
			t.isActive, t.reported = false, nil
			continue
		}
		t.wanted = 0
		rest = append(rest, id)
	}
	m.active = append(later, rest...)
	return out
}

// Receive processes the reply of a coordinator.
func (m *Member) Receive(now time.Time, from string, r *Reply) {
	if r.Boot != m.boot {
		return
	}
	sent, ok := m.requester.Receive(from, r.Seq)
	if !ok {
		return
	}
	m.acks[from] = max(m.acks[from], r.Seq)
	if from != m.coordinator {
		return
	}
	if sent.After(m.repliedAt) {
		m.repliedAt = sent
	}
	if r.LowVersion != m.lowVersion {
		m.lowVersion = r.LowVersion
		clear(m.low)
		for _, team := range r.Low {
			m.low[team] = true
		}
	}
	for _, g := range r.Grants {
		t := m.teams[g.Team]
		if t == nil {
			continue
		}
		t.isUnknown = false
		for len(t.reported) > 0 && t.reported[0].seq <= r.Seq {
			t.acked = max(t.acked, t.reported[0].admitted)
			t.reported = t.reported[1:]
		}
		t.limit = max(g.Limit, t.acked)
		if g.IsShort {
			t.shortAt = now
		} else {
			t.shortAt = time.Time{}
		}
	}
	for _, id := range m.active {
		// A coordinator that doesn't know the team yet gives no credit.
		if t := m.teams[id]; t != nil && slices.ContainsFunc(t.reported, func(x reported) bool { return x.seq == r.Seq }) {
			t.isUnknown, t.reported = true, nil
		}
	}
}
