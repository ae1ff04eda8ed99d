package entry

import (
	"cmp"
	"context"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/roster"
)

const (
	// quotaFormat is the first byte of messages about limits. It differs from digestFormat,
	// since both use one socket.
	quotaFormat = 0x81
	// quotaInterval is how often a VM asks for tokens of limited instances. It grows with
	// the number of VMs by quotaIntervalPerVM, up to maxQuotaInterval, so that the
	// coordinator's load is bounded.
	quotaInterval = 200 * time.Millisecond
	// minQuotaInterval is how often it asks at most while a request waits for a token, and
	// maxTokenWait how long the request waits: a few round trips inside a region. A request
	// that is refused otherwise waits up to maxFarTokenWait for one of another region.
	minQuotaInterval   = 20 * time.Millisecond
	maxTokenWait       = 15 * time.Millisecond
	maxFarTokenWait    = 150 * time.Millisecond
	quotaIntervalPerVM = time.Millisecond
	maxQuotaInterval   = 400 * time.Millisecond
	// limitUsageInterval is how often the use of limited instances is logged.
	limitUsageInterval = 5 * time.Second
	// maxCoordinators is a coordinator and its standby.
	maxCoordinators = 2
)

// Kinds of messages about limits.
const (
	quotaRequestKind = 1
	quotaReplyKind   = 2
)

// electorateOf returns the VMs that choose the coordinator for the limited instances of a
// region.
func electorateOf(s *roster.Snapshot, region string) placement.Electorate {
	voters := s.In(region)
	return placement.Electorate{
		Coordinators: coordinatorsOf(voters, "limits:"+region), NumVMs: s.NumSharers(region),
		Votes: s.IsActing() && roster.Contains(voters, s.Self.ID),
	}
}

// coordinatorsOf returns the coordinator that several VMs choose for a purpose, and its standby.
func coordinatorsOf(voters []roster.Member, purpose string) []string {
	score := scorer(purpose)
	candidates := slices.Clone(roster.Candidates(voters))
	slices.SortFunc(candidates, func(a, b roster.Member) int {
		return cmp.Or(cmp.Compare(score(b.ID, b.Weight), score(a.ID, a.Weight)), cmp.Compare(a.ID, b.ID))
	})
	var out []string
	for _, m := range candidates[:min(len(candidates), maxCoordinators)] {
		out = append(out, m.ID)
	}
	return out
}

// tickQuota asks the coordinators for tokens of limited instances at regular intervals.
func (n *Node) tickQuota(now time.Time) {
	n.requestQuota(now, min(max(quotaInterval, time.Duration(len(n.sharers.members()))*quotaIntervalPerVM), maxQuotaInterval))
}

// requestQuota asks the coordinators that were not asked within the interval.
func (n *Node) requestQuota(now time.Time, interval time.Duration) {
	for _, q := range n.selector.quotaRequests(now, interval) {
		q.Boot = n.self.Boot
		if q.To == n.self.ID {
			if reply, ok := n.selector.serveQuota(now, n.self.ID, &q); ok {
				n.selector.applyQuota(now, n.self.ID, &reply)
			}
			continue
		}
		n.sendQuota(q.To, encodeQuotaRequest(n.self.ID, &q))
	}
}

// awaitToken asks for a token if the request would use a limited instance, and waits a
// moment for it. Without a token the request goes to another instance.
func (s *selector) awaitToken(ctx context.Context, r *placement.Request) {
	s.mu.Lock()
	need := s.picker.NeedsToken(time.Now(), r)
	replied := s.quotaReplied
	s.mu.Unlock()
	if need == placement.NoToken {
		return
	}
	s.requestQuota(time.Now(), minQuotaInterval)
	wait := maxTokenWait
	switch need {
	case placement.TokenLater:
		return
	case placement.TokenFromAfar:
		wait = maxFarTokenWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-replied:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sendQuota sends a request for tokens to another VM.
func (n *Node) sendQuota(to string, data []byte) {
	if n.sendToVM(to, data) {
		return
	}
	event.QuotaFailed.Log(n.log, "error", "the address of the coordinator is unknown", "id", to)
}

// receiveQuota processes a message about limits and answers a request. The reply goes to the
// address that the request came from, since the sender's record may have expired.
func (n *Node) receiveQuota(data []byte, sender netip.AddrPort) {
	from, request, reply, err := decodeQuota(data)
	now := time.Now()
	switch {
	case err != nil:
		event.QuotaFailed.Log(n.log, "error", err, "bytes", len(data))
	case request != nil:
		if reply, ok := n.selector.serveQuota(now, from, request); ok {
			if _, err := n.digests.WriteToUDPAddrPort(encodeQuotaReply(n.self.ID, &reply), sender); err != nil {
				event.QuotaFailed.Log(n.log, "error", err, "id", from)
			}
		}
	default:
		n.selector.applyQuota(now, from, reply)
	}
}

// quotaRequests returns the requests for tokens that are due, and logs when a coordinator
// fails or answers again.
func (s *selector) quotaRequests(now time.Time, interval time.Duration) []placement.QuotaRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.picker.QuotaRequests(now, interval)
	for k := range requests {
		for _, d := range requests[k].Demands {
			s.quotaCounters[quotaWanted].Inc(int64(d.Wanted))
			s.quotaCounters[quotaReturned].Inc(int64(d.Returned))
		}
		s.logCoordinator(requests[k].Region)
	}
	return requests
}

// logCoordinator logs when the coordinator of a region fails or answers again. The lock is
// held.
func (s *selector) logCoordinator(region string) {
	if failed := s.picker.CoordinatorFailure(region); failed != s.failedCoordinators[region] {
		event.CoordinatorChanged.Log(s.log, "region", region, "failed", failed, "failed_before", s.failedCoordinators[region])
		s.failedCoordinators[region] = failed
	}
}

func (s *selector) serveQuota(now time.Time, from string, q *placement.QuotaRequest) (placement.QuotaReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply, changes, ok := s.picker.ServeQuota(now, from, q)
	for k := range reply.Grants {
		s.quotaCounters[quotaLeased].Inc(int64(reply.Grants[k].Tokens))
	}
	s.logLimits(changes)
	return reply, ok
}

func (s *selector) applyQuota(now time.Time, from string, reply *placement.QuotaReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range reply.Grants {
		s.quotaCounters[quotaReceived].Inc(int64(reply.Grants[k].Tokens))
	}
	s.logLimits(s.picker.ApplyQuota(now, from, reply))
	close(s.quotaReplied)
	s.quotaReplied = make(chan struct{})
	s.logCoordinator(reply.Region)
}

// logLimits logs and counts limits that other VMs reported. The lock is held.
func (s *selector) logLimits(changes []placement.LimitChange) {
	for k := range changes {
		s.logLimit(&changes[k])
	}
}

// logLimit logs and counts a changed limit. The lock is held.
func (s *selector) logLimit(c *placement.LimitChange) {
	i, l := &c.Instance, &c.Limit
	kind := noticeLimit
	switch {
	case !l.InForce:
		kind = noticeLimitEnded
	case l.ReportedBy != "":
		kind = noticeLimitReceived
	}
	s.noticeCounters[kind].Inc(1)
	if !l.InForce {
		event.InstanceLimitEnded.Log(s.log, "id", i.ID, "born", i.StartMillis, "since", l.Since, "heard_from", l.ReportedBy)
		return
	}
	event.InstanceLimitChanged.Log(s.log, "id", i.ID, "born", i.StartMillis, "service", i.Service, "per_second", l.PerSecond, "since", l.Since, "heard_from", l.ReportedBy)
}

// logLimitUsage logs what this VM sent to limited instances, and what their limits kept from
// them. The lock is held.
func (s *selector) logLimitUsage(now time.Time) {
	if now.Sub(s.limitUsageAt) < limitUsageInterval {
		return
	}
	s.limitUsageAt = now
	for _, st := range s.picker.TakeLimitStates() {
		event.LimitUsage.Log(s.log, "id", st.Instance.ID, "service", st.Instance.Service, "per_second", st.Limit.PerSecond, "since", st.Limit.Since,
			"sent", st.Stats.Taken, "unmet", st.Stats.Unmet, "tokens_returned", st.Stats.Returned)
	}
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// encodeQuotaRequest encodes a request for tokens: format, kind, sender, region, boot,
// sequence number, vote, electorate and the demands, preceded by their number. A demand takes about 20 bytes.
func encodeQuotaRequest(from string, q *placement.QuotaRequest) []byte {
	b := appendText(appendText([]byte{quotaFormat, quotaRequestKind}, from), q.Region)
	b = binary.AppendUvarint(binary.AppendUvarint(b, q.Boot), q.Seq)
	vote := uint64(0)
	if q.IsVote {
		vote = 1
	}
	b = binary.AppendUvarint(binary.AppendUvarint(b, vote), uint64(q.Electorate))
	b = binary.AppendUvarint(b, uint64(len(q.Demands)))
	for k := range q.Demands {
		d := &q.Demands[k]
		b = appendLimitReport(b, &d.LimitReport)
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(d.Wanted)), uint64(d.Returned))
	}
	return b
}

func encodeQuotaReply(from string, r *placement.QuotaReply) []byte {
	b := appendText(appendText([]byte{quotaFormat, quotaReplyKind}, from), r.Region)
	b = binary.AppendUvarint(b, r.Seq)
	b = binary.AppendUvarint(b, uint64(len(r.Grants)))
	for k := range r.Grants {
		g := &r.Grants[k]
		b = binary.AppendUvarint(appendLimitReport(b, &g.LimitReport), uint64(g.Tokens))
	}
	return b
}

// appendLimitReport encodes a report as the hash of the process, whether the limit is in
// force, the limit and the ages in milliseconds, rounded so that a report never looks newer
// than it is.
func appendLimitReport(b []byte, r *placement.LimitReport) []byte {
	b = binary.BigEndian.AppendUint64(b, r.Process)
	inForce := byte(0)
	if r.InForce {
		inForce = 1
	}
	b = binary.BigEndian.AppendUint64(append(b, inForce), math.Float64bits(r.PerSecond))
	for _, age := range []time.Duration{r.RequestedAge, r.ReceivedAge} {
		b = binary.AppendUvarint(b, uint64(min(max(0, (age+time.Millisecond-1).Milliseconds()), maxDigestNumber)))
	}
	return b
}

func (r *digestReader) limitReport() placement.LimitReport {
	process, inForce, limit := binary.BigEndian.Uint64(r.bytes(8)), r.bytes(1)[0] != 0, math.Float64frombits(binary.BigEndian.Uint64(r.bytes(8)))
	return placement.LimitReport{Process: process, InForce: inForce, PerSecond: limit, RequestedAge: r.age(), ReceivedAge: r.age()}
}

// unsigned reads an unsigned number without bound.
func (r *digestReader) unsigned() uint64 {
	v, size := binary.Uvarint(r.rest)
	if r.err != nil || size <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return v
}

// decodeQuota decodes a message about limits. One of request and reply is not nil.
func decodeQuota(data []byte) (from string, request *placement.QuotaRequest, reply *placement.QuotaReply, err error) {
	if len(data) < 2 || data[0] != quotaFormat {
		return "", nil, nil, errors.New("unknown format of a message about limits")
	}
	r := &digestReader{rest: data[2:]}
	from = r.text()
	region := r.text()
	switch data[1] {
	case quotaRequestKind:
		request = &placement.QuotaRequest{Region: region, Boot: r.unsigned(), Seq: r.unsigned(), IsVote: r.number() != 0, Electorate: r.number()}
		for n := r.number(); n > 0 && r.err == nil; n-- {
			request.Demands = append(request.Demands, placement.QuotaDemand{LimitReport: r.limitReport(), Wanted: r.number(), Returned: r.number()})
		}
	case quotaReplyKind:
		reply = &placement.QuotaReply{Region: region, Seq: r.unsigned()}
		for n := r.number(); n > 0 && r.err == nil; n-- {
			reply.Grants = append(reply.Grants, placement.QuotaGrant{LimitReport: r.limitReport(), Tokens: r.number()})
		}
	default:
		r.fail()
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = errors.Errorf("message about limits has %d trailing bytes", len(r.rest))
	}
	if r.err != nil {
		return "", nil, nil, r.err
	}
	return from, request, reply, nil
}
