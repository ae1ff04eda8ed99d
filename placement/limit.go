package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/quotalease"
	"github.com/currantferry/currantferry/rendezvous"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// maxLimitSends is the number of digests that announce a changed limit to each VM. It is
	// more than one because datagrams get lost.
	maxLimitSends = 2
	// urgentReserve is how long the tokens of limited instances are kept for more urgent
	// requests after one of them was refused.
	urgentReserve = 500 * time.Millisecond
	// maxLimitRetryAfter bounds the Retry-After of requests that find all instances at
	// their limits. From half of it on, callers are spread at random.
	maxLimitRetryAfter = 4 * time.Second
	// maxQuotaEntries bounds the processes in one request for tokens, so that it fits a
	// datagram. The others follow with the next request.
	maxQuotaEntries = 60
)

// LimitReport is what a VM knows about the limit of a process.
type LimitReport struct {
	// Process is the hash of the process.
	Process   uint64
	InForce   bool
	PerSecond float64
	// RequestedAge and ReceivedAge are the times since the request was sent whose answer
	// named the limit, and since the answer arrived.
	RequestedAge, ReceivedAge time.Duration
}

// QuotaDemand asks a coordinator for tokens of a process.
type QuotaDemand struct {
	LimitReport
	Wanted, Returned int
}

// QuotaGrant is a coordinator's reply for one process.
type QuotaGrant struct {
	LimitReport
	Tokens int
}

// quota is the VM's part in sharing the limits of instances.
type quota struct {
	random func() float64
	// electorates and the maps below are by the region of the limited instances.
	electorates map[string]Electorate
	// coordinators hold the tokens that this VM leases to others.
	coordinators map[string]*quotalease.Coordinator
	requesters   map[string]*quotalease.Requester
	window       quotalease.Window
	// requestedAt is when tokens were last requested, by region.
	requestedAt map[string]time.Time
}

func newQuota(random func() float64) quota {
	return quota{
		random: random, electorates: make(map[string]Electorate), coordinators: make(map[string]*quotalease.Coordinator),
		requesters: make(map[string]*quotalease.Requester), requestedAt: make(map[string]time.Time),
	}
}

// Electorate are the VMs that choose the coordinator for the limited instances of a region.
type Electorate struct {
	// Coordinators are the IDs of the coordinator and of its standby.
	Coordinators []string
	// NumVMs is the number of VMs in the electorate. Votes says that this VM is one of them.
	NumVMs int
	Votes  bool
}

// SetElectorates sets the electorates by the region of the limited instances.
func (p *Picker) SetElectorates(byRegion map[string]Electorate) { p.quota.electorates = byRegion }

// coordinator returns what this VM leases to others of a region's tokens.
func (p *Picker) coordinator(region string) *quotalease.Coordinator {
	c := p.quota.coordinators[region]
	if c == nil {
		c = quotalease.NewCoordinator(p.quota.random)
		p.quota.coordinators[region] = c
	}
	return c
}

// ForgetLeases drops the tokens that this VM holds and, as a coordinator, its votes and
// leases. It is called after a pause, since the clock by which they expire may have stopped.
func (p *Picker) ForgetLeases() {
	clear(p.quota.coordinators)
	for _, s := range p.services {
		for _, i := range s.instances {
			if i.holding != nil {
				i.holding.Clear()
			}
		}
	}
}

// hasRoom reports whether the limit of the instance allows this VM another request.
func (i *instance) hasRoom(now time.Time) bool {
	return !i.state.IsLimited() || (i.holding != nil && i.holding.Has(now))
}

// recordUnmet counts a request that the instance would have served without its limit.
func (i *instance) recordUnmet() {
	if i.holding == nil {
		i.holding = new(quotalease.Holding)
	}
	i.holding.RecordUnmet()
}

// takeToken uses a token of the instance. It returns true without one if there is no limit.
func (i *instance) takeToken(now time.Time) bool {
	return !i.state.IsLimited() || (i.holding != nil && i.holding.Take(now))
}

// TokenNeed says whether a request lacks a token of a limited instance.
type TokenNeed int

const (
	// NoToken means that the request can do without one.
	NoToken TokenNeed = iota
	// TokenFromRegion means that a token of this VM's region would help.
	TokenFromRegion
	// TokenFromAfar means that the request is refused unless it gets a token of another
	// region.
	TokenFromAfar
	// TokenLater means that a token would help later requests only.
	TokenLater
)

// NeedsToken returns whether a request would use a limited instance for which this VM has no
// token: the one that ranks first in the region where the request runs, or any if none is
// open there. The request is counted as demand for these instances.
func (p *Picker) NeedsToken(now time.Time, r *Request) TokenNeed {
	s := p.services[r.Service]
	if s == nil || !s.hasLimited {
		return NoToken
	}
	r.object, r.hasObject = p.objectHash(r), true
	var lacks, hasOpen bool
	home, known := p.regionFor(s, r, r.object)
	if known {
		lacks, hasOpen = s.recordDemand(now, r, home)
	}
	if !lacks && hasOpen {
		return NoToken
	}
	if hasOpen {
		if home == p.cfg.Region {
			return TokenFromRegion
		}
		return TokenLater
	}
	needed := lacks
	for region := range s.regions {
		if (region != home || !known) && r.allows(region) {
			lacks, open := s.recordDemand(now, r, region)
			needed, hasOpen = needed || lacks, hasOpen || open
		}
	}
	switch {
	case !needed:
		return NoToken
	case home == p.cfg.Region:
		return TokenFromRegion
	case hasOpen:
		return TokenLater
	default:
		return TokenFromAfar
	}
}

// recordDemand counts a request at the limited instances of a region that it would have used:
// the one that ranks first, or all of them if none is open. It returns whether it lacks a
// token of such an instance, and whether any instance is open.
func (s *service) recordDemand(now time.Time, r *Request, region string) (lacks, hasOpen bool) {
	var first *instance
	var full []*instance
	for _, i := range s.regions[region] {
		if ejected, _ := i.isEjected(now); ejected || i.state.IsLeaving() || i.state.IsWaiting(now) || slices.Contains(r.Exclude, i.ID) {
			continue
		}
		if i.hasRoom(now) {
			hasOpen = true
		} else {
			full = append(full, i)
		}
		if first == nil || rendezvous.Mix(r.object^i.hash) > rendezvous.Mix(r.object^first.hash) {
			first = i
		}
	}
	for _, i := range full {
		if !hasOpen || i == first {
			i.recordUnmet()
			lacks = true
		}
	}
	return lacks, hasOpen
}

// isReservedForUrgent reports whether a more urgent request was just refused because all
// instances were at their limits.
func (s *service) isReservedForUrgent(now time.Time, priority int) bool {
	for p, at := range s.limitRefusals {
		if p < priority && now.Sub(at) < urgentReserve {
			return true
		}
	}
	return false
}

// limitReturn returns the Retry-After of a request that found instances at their limits,
// which serve rate requests per second of this VM. Callers get successive times up to
// maxLimitRetryAfter from now.
func (s *service) limitReturn(now time.Time, rate, random float64) time.Duration {
	if s.limitReturnAt.Before(now) {
		s.limitReturnAt = now
	}
	s.limitReturnAt = s.limitReturnAt.Add(time.Duration(float64(time.Second) / max(rate, 1e-3)))
	if s.limitReturnAt.Sub(now) > maxLimitRetryAfter {
		s.limitReturnAt = now.Add(maxLimitRetryAfter)
		return maxLimitRetryAfter/2 + time.Duration(random*float64(maxLimitRetryAfter/2))
	}
	return max(minRetryAfter, s.limitReturnAt.Sub(now))
}

// atLimitError holds the state of the instances behind a refusal.
type atLimitError struct {
	numInstances, numLimited int
	limit                    float64
	reserved                 bool
}

func (e *atLimitError) Error() string {
	text := fmt.Sprintf("%d of %d instances are at their limits, which sum up to %g requests per second, the others leave or asked to wait", e.numLimited, e.numInstances, e.limit)
	if e.reserved {
		text += "; their room is kept for more urgent requests"
	}
	return text
}

// limitError returns a refusal if all instances that may serve a request are at their limits,
// leave or asked to wait.
func (p *Picker) limitError(now time.Time, s *service, r *Request, all []*instance) *verdict.Error {
	e := &atLimitError{numInstances: len(all), reserved: r.reserved}
	for _, i := range all {
		if i.state.IsLimited() && !i.state.IsLeaving() && !i.state.IsWaiting(now) {
			e.numLimited++
			e.limit += quotalease.Rate(i.state.Limit.PerSecond)
		}
	}
	if e.numLimited == 0 {
		return nil
	}
	if !r.reserved {
		s.limitRefusals[r.Priority] = now
	}
	refusal := verdict.New(verdict.NotRun, verdict.ReasonAtLimit, defaultRetryAfter)
	refusal.RetryAfter = s.limitReturn(now, e.limit/float64(p.sharers()), p.cfg.Random())
	refusal.Err = e
	return refusal
}

// SetSent records when the request of a ticket is written to its instance. It returns false
// if the instance no longer accepts the request.
func (p *Picker) SetSent(now time.Time, t *Ticket) bool {
	t.sentAt = now
	return p.CanSend(now, t)
}

// applyLimit applies what an answer tells about the limit of the ticket's instance.
func (p *Picker) applyLimit(now time.Time, t *Ticket, process availability.Process, notice *availability.Notice) bool {
	if notice.LimitUnusable {
		return false
	}
	sentAt := t.sentAt
	if sentAt.IsZero() {
		sentAt = now
	}
	return p.notices.RecordLimit(now, process, availability.Limit{InForce: notice.HasLimit, PerSecond: notice.Limit, RequestedAt: sentAt, ReceivedAt: now})
}

// LimitOf returns the limit of the ticket's process. It is the zero value if the process
// never named one.
func (p *Picker) LimitOf(t *Ticket) availability.Limit {
	if l := p.notices.LimitOf(processOf(&t.Instance)); l != nil {
		return *l
	}
	return availability.Limit{}
}

// RecordUnusableLimit records that the ticket's process named a limit that is ignored. It
// reports whether that is the first time.
func (p *Picker) RecordUnusableLimit(now time.Time, t *Ticket) bool {
	return p.notices.RecordUnusableLimit(now, processOf(&t.Instance))
}

// LimitChange is a limit that another VM reported.
type LimitChange struct {
	Instance Instance
	Limit    availability.Limit
}

// applyLimitReport applies the report of another VM. Base is the time to which the ages of
// the report refer.
func (p *Picker) applyLimitReport(now, base time.Time, from string, i *instance, r *LimitReport) (LimitChange, bool) {
	if r.RequestedAge < r.ReceivedAge || r.ReceivedAge < 0 || !(r.PerSecond >= 0 && r.PerSecond <= availability.MaxLimit) {
		return LimitChange{}, false
	}
	l := availability.Limit{InForce: r.InForce, PerSecond: r.PerSecond, RequestedAt: base.Add(-r.RequestedAge), ReceivedAt: base.Add(-r.ReceivedAge), ReportedBy: from}
	if !p.notices.RecordLimit(now, i.process(), l) {
		return LimitChange{}, false
	}
	i.state = p.notices.Of(i.process())
	i.numLimitSent = 0
	p.service(i.Service).updateLimited()
	return LimitChange{i.Instance, i.state.Limit}, true
}

// limitReport returns what is known about the limit of an instance, or false if it never
// named one.
func (i *instance) limitReport(now time.Time) (LimitReport, bool) {
	if i.state == nil || i.state.Limit.ReceivedAt.IsZero() {
		return LimitReport{}, false
	}
	l := &i.state.Limit
	return LimitReport{i.processID, l.InForce, l.PerSecond, now.Sub(l.RequestedAt), now.Sub(l.ReceivedAt)}, true
}

// updateLimited updates whether any instance of the service is limited.
func (s *service) updateLimited() {
	limited := false
	for _, i := range s.instances {
		if i.state.IsLimited() {
			limited = true
		} else {
			i.holding = nil
		}
	}
	s.hasLimited = limited
}

// QuotaRequests returns the requests for tokens that are due. A VM asks the coordinators of
// a region at most once per interval.
func (p *Picker) QuotaRequests(now time.Time, interval time.Duration) []QuotaRequest {
	// Regions with limited instances, and those of which this VM wants tokens.
	demands := make(map[string][]*instance)
	for _, s := range p.services {
		if !s.hasLimited {
			continue
		}
		for _, i := range s.instances {
			if !i.state.IsLimited() {
				continue
			}
			if i.holding != nil && !i.holding.IsIdle() {
				demands[i.Region] = append(demands[i.Region], i)
			} else if p.quota.electorates[i.Region].Votes && demands[i.Region] == nil {
				demands[i.Region] = []*instance{}
			}
		}
	}
	var out []QuotaRequest
	for region, list := range demands {
		if now.Sub(p.quota.requestedAt[region]) < interval {
			continue
		}
		p.quota.requestedAt[region] = now
		r := p.quota.requesters[region]
		if r == nil {
			r = new(quotalease.Requester)
			p.quota.requesters[region] = r
		}
		electorate := p.quota.electorates[region]
		ask, probe := r.Choose(now, electorate.Coordinators)
		if ask == "" {
			continue
		}
		slices.SortFunc(list, func(a, b *instance) int { return compareIDs(a.ID, b.ID) })
		q := QuotaRequest{Region: region, To: ask, Seq: r.Send(now, ask), Electorate: electorate.NumVMs}
		q.IsVote = electorate.Votes && r.Vote(now, ask)
		for _, i := range list[:min(len(list), maxQuotaEntries)] {
			wanted, returned := i.holding.Want(now)
			report, _ := i.limitReport(now)
			q.Demands = append(q.Demands, QuotaDemand{report, wanted, returned})
		}
		out = append(out, q)
		if probe != "" {
			out = append(out, QuotaRequest{Region: region, To: probe, Seq: r.Send(now, probe)})
		}
	}
	return out
}

// QuotaRequest asks a coordinator for tokens of instances in a region.
type QuotaRequest struct {
	Region string
	// To is the coordinator, and Boot distinguishes starts of the VM that asks.
	To   string
	Boot uint64
	// Seq numbers the requests of a VM for a region.
	Seq uint64
	// IsVote says that the request counts as a vote for the coordinator, and Electorate is
	// the number of VMs that the sender knows to have a vote.
	IsVote     bool
	Electorate int
	Demands    []QuotaDemand
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	Region string
	Seq    uint64
	Grants []QuotaGrant
}

// findProcess returns the instance with the given process hash, or nil.
func (p *Picker) findProcess(region string, process uint64) *instance {
	for _, s := range p.services {
		for _, i := range s.regions[region] {
			if i.processID == process {
				return i
			}
		}
	}
	return nil
}

// ServeQuota leases tokens to a VM. It returns false if the request is a duplicate, out of
// order or about an unknown region.
func (p *Picker) ServeQuota(now time.Time, from string, q *QuotaRequest) (reply QuotaReply, changes []LimitChange, ok bool) {
	if _, known := p.quota.electorates[q.Region]; !known || !p.quota.window.Accept(from+"/"+q.Region, q.Boot, q.Seq) {
		return QuotaReply{}, nil, false
	}
	reply = QuotaReply{Region: q.Region, Seq: q.Seq}
	coordinator := p.coordinator(q.Region)
	if q.IsVote {
		coordinator.Vote(now, from, q.Electorate)
	}
	for k := range q.Demands {
		d := &q.Demands[k]
		i := p.findProcess(q.Region, d.Process)
		if i == nil {
			continue
		}
		if change, changed := p.applyLimitReport(now, now, from, i, &d.LimitReport); changed {
			changes = append(changes, change)
		}
		tokens := 0
		if i.state.IsLimited() {
			tokens = coordinator.Lease(now, d.Process, i.state.Limit.PerSecond, from, d.Wanted, d.Returned)
		}
		if report, known := i.limitReport(now); known {
			reply.Grants = append(reply.Grants, QuotaGrant{report, tokens})
		}
	}
	return reply, changes, true
}

// ApplyQuota applies a coordinator's reply.
func (p *Picker) ApplyQuota(now time.Time, from string, reply *QuotaReply) (changes []LimitChange) {
	r := p.quota.requesters[reply.Region]
	if r == nil {
		return nil
	}
	sent, ok := r.Receive(from, reply.Seq)
	if !ok {
		return nil
	}
	for k := range reply.Grants {
		g := &reply.Grants[k]
		i := p.findProcess(reply.Region, g.Process)
		if i == nil {
			continue
		}
		// The coordinator wrote the report after the request was sent, so that its ages are
		// counted from then on.
		if change, changed := p.applyLimitReport(now, sent, from, i, &g.LimitReport); changed {
			changes = append(changes, change)
		}
		if i.state.IsLimited() && i.holding != nil {
			i.holding.Add(now, sent, g.Tokens)
		}
	}
	return changes
}

// LimitState describes a limited instance for logs and reports.
type LimitState struct {
	Instance Instance
	Limit    availability.Limit
	// Stats counts this VM's requests for the instance since they were last read.
	Stats quotalease.Stats
}

// TakeLimitStates returns the limited instances and resets their counts.
func (p *Picker) TakeLimitStates() (out []LimitState) {
	for _, s := range p.services {
		for _, i := range s.instances {
			if !i.state.IsLimited() {
				continue
			}
			st := LimitState{Instance: i.Instance, Limit: i.state.Limit}
			if i.holding != nil {
				st.Stats, i.holding.Stats = i.holding.Stats, quotalease.Stats{}
			}
			out = append(out, st)
		}
	}
	slices.SortFunc(out, func(a, b LimitState) int { return compareIDs(a.Instance.ID, b.Instance.ID) })
	return out
}

// CoordinatorFailure returns the primary coordinator of a region that does not answer, or an
// empty string.
func (p *Picker) CoordinatorFailure(region string) string {
	if r := p.quota.requesters[region]; r != nil {
		return r.Failed()
	}
	return ""
}
