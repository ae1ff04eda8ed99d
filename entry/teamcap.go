package entry

import (
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/roster"
	"github.com/currantferry/currantferry/teamcap"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// teamCapInterval is how often it is checked whether a report is due.
	teamCapInterval = 25 * time.Millisecond
	// maxTeamCapWait is how long a request waits for credit: a round trip between regions and
	// the pause before an urgent report.
	maxTeamCapWait = 180 * time.Millisecond
	// defaultTeamWindow is the window without setting.
	defaultTeamWindow = 5 * time.Second
	// teamModeInterval is how often changes of the modes of teams are logged.
	teamModeInterval = time.Second
)

// Outcomes of admissions, by which they are counted.
const (
	teamAdmitted = "admitted"
	teamWaited   = "waited"
	teamRefused  = "refused"
	teamRefunded = "refunded"
)

// teamCaps enforces the caps of teams. It is safe for concurrent use.
type teamCaps struct {
	self     string
	log      *slog.Logger
	counters map[teamcap.Mode]map[string]tally.Counter
	// send sends a message to another VM.
	send func(to string, data []byte)
	// checkPause sets paused if this VM was paused.
	checkPause func()
	paused     atomic.Bool

	mu           sync.Mutex
	caps         map[uint64]teamcap.Cap
	names        map[uint64]string
	member       *teamcap.Member
	coordinator  *teamcap.Coordinator
	coordinators []string
	// replied is closed, and replaced, with each reply.
	replied chan struct{}
	// modes are those that were logged last.
	modes    map[uint64]teamcap.Mode
	loggedAt time.Time
	failed   string
}

var _ proxy.Admission = (*teamCaps)(nil)

func newTeamCaps(self *inventory.VM, bound teamcap.Bound, log *slog.Logger, scope tally.Scope) *teamCaps {
	now := time.Now()
	t := &teamCaps{
		self: self.ID, log: log, counters: make(map[teamcap.Mode]map[string]tally.Counter), send: func(string, []byte) {}, checkPause: func() {},
		member: teamcap.NewMember(now, bound, self.Boot, mathrand.Float64), coordinator: teamcap.NewCoordinator(now, bound, mathrand.Float64),
		coordinators: []string{self.ID}, replied: make(chan struct{}), modes: make(map[uint64]teamcap.Mode), loggedAt: now,
	}
	for _, mode := range []teamcap.Mode{teamcap.Open, teamcap.Metered, teamcap.Fallback} {
		t.counters[mode] = make(map[string]tally.Counter)
		for _, outcome := range []string{teamAdmitted, teamWaited, teamRefused, teamRefunded} {
			t.counters[mode][outcome] = scope.Tagged(map[string]string{"mode": mode.String(), "outcome": outcome}).Counter("team_requests")
		}
	}
	return t
}

// teamBound returns the bound on the requests of teams.
func teamBound(s *Settings) teamcap.Bound {
	window := s.TeamWindow
	if window <= 0 {
		// The settings of tests may leave it out.
		window = defaultTeamWindow
	}
	return teamcap.Bound{Window: window, Over: s.TeamOver, Slack: s.TeamSlack}
}

func teamID(name string) uint64 { return xxhash.Sum64String(name) }

// setTeams applies the teams of a new version of the routes.
func (t *teamCaps) setTeams(routes *inventory.Routes) {
	caps, names := make(map[uint64]teamcap.Cap), make(map[uint64]string)
	if routes.HasTeams {
		for i := range routes.Teams {
			team := &routes.Teams[i]
			id := teamID(team.Name)
			if _, known := names[id]; known {
				continue
			}
			names[id] = team.Name
			if team.Rate > 0 {
				caps[id] = teamcap.Cap{Rate: team.Rate, Burst: max(team.Burst, 0)}
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caps, t.names = caps, names
	t.member.Keep(func(id uint64) bool { _, ok := caps[id]; return ok })
}

// setSharers sets the VMs that share the caps. A VM that is joining has a small part at once:
// without it, no team would be served while all VMs start.
func (t *teamCaps) setSharers(s *roster.Snapshot) {
	own := s.In(s.Self.Region)
	w := teamcap.Weight{IsNew: s.Standing == roster.Joining, Total: (s.NumSharers(s.Self.Region) - len(own)) * max(1, int(s.Self.Weight))}
	for _, m := range s.Members {
		weight := max(1, int(m.Weight))
		w.Total += weight
		if m.ID == s.Self.ID && s.Standing != roster.Lapsed {
			w.Own = weight
		}
	}
	coordinators := coordinatorsOf(s.Members, "team-caps")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinators = coordinators
	t.member.SetVMs(w, len(s.Members))
}

func (t *teamCaps) setBound(b teamcap.Bound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member.SetBound(b)
	t.coordinator.SetBound(b)
}

// Admit implements proxy.Admission. A request for which there is no credit, but may be,
// waits for a reply.
func (t *teamCaps) Admit(ctx context.Context, q *proxy.Query) error {
	id := teamID(q.Team)
	var timer *time.Timer
	for isRepeat := false; ; isRepeat = true {
		decision, after, replied := t.decide(id, isRepeat)
		if decision == teamcap.Admitted {
			return nil
		}
		if timer == nil {
			timer = time.NewTimer(maxTeamCapWait)
			defer timer.Stop()
		}
		if decision == teamcap.Wait {
			select {
			case <-replied:
				continue
			case <-timer.C:
				after = t.refuse(id)
			case <-ctx.Done():
				after = t.refuse(id)
			}
		}
		return verdict.New(verdict.NotRun, verdict.ReasonTeamCap, after)
	}
}

// decide decides about a request once. after is the Retry-After of a refusal.
func (t *teamCaps) decide(id uint64, isRepeat bool) (d teamcap.Decision, after time.Duration, replied <-chan struct{}) {
	t.checkPause()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	limit, ok := t.caps[id]
	if !ok {
		return teamcap.Admitted, 0, nil
	}
	t.endPause()
	d = t.member.Admit(now, id, limit, isRepeat)
	mode := t.member.Mode(now, id)
	switch {
	case d == teamcap.Admitted:
		t.counters[mode][teamAdmitted].Inc(1)
	case d == teamcap.Refused:
		t.counters[mode][teamRefused].Inc(1)
		after = t.member.RetryAfter(now, id, limit)
	case !isRepeat:
		t.counters[mode][teamWaited].Inc(1)
	}
	// If this VM coordinates, the report is answered at once.
	replied = t.replied
	t.report(now)
	return d, after, replied
}

// refuse counts a request that waited in vain and returns its Retry-After.
func (t *teamCaps) refuse(id uint64) time.Duration {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters[t.member.Mode(now, id)][teamRefused].Inc(1)
	return t.member.RetryAfter(now, id, t.caps[id])
}

// Refund implements proxy.Admission.
func (t *teamCaps) Refund(q *proxy.Query) {
	now := time.Now()
	id := teamID(q.Team)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.caps[id]; ok {
		t.member.Refund(now, id)
		t.counters[t.member.Mode(now, id)][teamRefunded].Inc(1)
	}
}

// tick sends the report that is due, and logs changes.
func (t *teamCaps) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.caps) == 0 {
		return
	}
	t.endPause()
	t.report(now)
	if now.Sub(t.loggedAt) >= teamModeInterval {
		t.logModes(now)
	}
}

// report sends the reports that are due. The lock is held.
func (t *teamCaps) report(now time.Time) {
	for _, r := range t.member.Reports(now, t.coordinators) {
		if r.To != t.self {
			t.send(r.To, encodeTeamCapRequest(t.self, &r.Request))
			continue
		}
		if reply, ok := t.coordinator.Serve(now, t.self, &r.Request, t.capOf); ok {
			t.apply(now, t.self, &reply)
		}
	}
}

// endPause drops what may have expired while this VM was paused. The lock is held.
func (t *teamCaps) endPause() {
	if t.paused.Swap(false) {
		t.member.Disconnect()
	}
}

func (t *teamCaps) capOf(id uint64) (teamcap.Cap, bool) {
	limit, ok := t.caps[id]
	return limit, ok
}

// apply processes a reply. The lock is held.
func (t *teamCaps) apply(now time.Time, from string, reply *teamcap.Reply) {
	t.member.Receive(now, from, reply)
	close(t.replied)
	t.replied = make(chan struct{})
}

func (t *teamCaps) serve(now time.Time, from string, q *teamcap.Request) (teamcap.Reply, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coordinator.Serve(now, from, q, t.capOf)
}

// receive processes a message about caps. reply sends the answer to a request.
func (t *teamCaps) receive(data []byte, reply func([]byte)) {
	from, request, answer, err := decodeTeamCap(data)
	now := time.Now()
	switch {
	case err != nil:
		event.TeamCapFailed.Log(t.log, "error", err, "bytes", len(data))
	case request != nil:
		if r, ok := t.serve(now, from, request); ok {
			reply(encodeTeamCapReply(t.self, &r))
		}
	default:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.apply(now, from, answer)
	}
}

// logModes logs the teams that became metered, open or without coordinator. The lock is held.
func (t *teamCaps) logModes(now time.Time) {
	t.loggedAt = now
	if _, failed := t.member.Coordinator(); failed != t.failed {
		event.TeamCapCoordinator.Log(t.log, "failed", failed, "failed_before", t.failed)
		t.failed = failed
	}
	for id := range t.modes {
		if _, ok := t.caps[id]; !ok {
			delete(t.modes, id)
		}
	}
	t.member.EachUsed(func(id uint64) {
		mode, limit := t.member.Mode(now, id), t.caps[id]
		if mode == t.modes[id] {
			return
		}
		ev := event.TeamOpen
		switch mode {
		case teamcap.Metered:
			ev = event.TeamMetered
		case teamcap.Fallback:
			ev = event.TeamFallback
		}
		ev.Log(t.log, "team", t.names[id], "per_second", limit.Rate, "burst", limit.Burst, "before", t.modes[id].String())
		t.modes[id] = mode
	})
}

// sendTeamCap sends a message about caps to another VM.
func (n *Node) sendTeamCap(to string, data []byte) {
	n.sendToVM(to, data)
}

// receiveTeamCap processes a message about caps. The reply goes to the address that the
// request came from, since the sender's record may have expired.
func (n *Node) receiveTeamCap(data []byte, sender netip.AddrPort) {
	n.teamCaps.receive(data, func(reply []byte) {
		if _, err := n.digests.WriteToUDPAddrPort(reply, sender); err != nil {
			event.TeamCapFailed.Log(n.log, "error", err)
		}
	})
}
