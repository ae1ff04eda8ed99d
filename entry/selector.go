package entry

import (
	"context"
	"encoding/hex"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/roster"
	"github.com/currantferry/currantferry/transit"
	"github.com/currantferry/currantferry/transit/monitor"
	"github.com/currantferry/currantferry/verdict"
)

// selector implements proxy.Selector with a placement and a crash ledger.
type selector struct {
	log *slog.Logger
	// pause holds requests after a pause of this VM. Nil disables it.
	pause *pauseGuard
	// currency knows whether this VM's records are as new as those of other VMs.
	currency *currency
	// onPaused is called after a pause of this VM.
	onPaused func()
	// probe checks whether a process crashed after a connection to it was lost.
	probe *crashProbe
	// reach says whether this VM reaches instances, and names VMs that do.
	reach *monitor.Monitor
	// admission bounds the requests that this VM takes over.
	admission *transit.Admission
	// closeIdle closes the idle connections to an address.
	closeIdle func(address string)

	mu     sync.Mutex
	picker *placement.Picker
	ledger *crashguard.Ledger
	// refused is signalled when crashes make a request refused.
	refused chan struct{}
	// evidence is evidence for crashes that does not count yet.
	evidence []heldEvidence
	// startTimes holds the start time of each instance that accepts new requests, by ID.
	startTimes map[string]int64
	// loggedSpill holds the last logged spill share of each service.
	loggedSpill map[string]float64
	// objectLog holds what was last logged about the objects of each route.
	objectLog objectLog
	// stepCounters counts the steps of the ledger by kind.
	stepCounters map[crashguard.StepKind]tally.Counter
	// noticeCounters counts the instances' notices about new requests by kind.
	noticeCounters map[string]tally.Counter
	// ejectionCounters counts the changes of ejections by step.
	ejectionCounters map[string]tally.Counter
	// quotaCounters counts the tokens of limited instances by step.
	quotaCounters map[string]tally.Counter
	// failedCoordinators holds the coordinator that does not answer, by region.
	failedCoordinators map[string]string
	limitUsageAt       time.Time
	// requestQuota asks for tokens of limited instances. quotaReplied is closed, and
	// replaced, when a reply has arrived.
	requestQuota func(now time.Time, interval time.Duration)
	quotaReplied chan struct{}
}

var _ proxy.Selector = (*selector)(nil)

func newSelector(cfg placement.Config, log *slog.Logger, scope tally.Scope) *selector {
	s := &selector{
		log: log, picker: placement.New(cfg), ledger: crashguard.NewLedger(crashguard.LedgerConfig{}),
		startTimes: make(map[string]int64), loggedSpill: make(map[string]float64), stepCounters: make(map[crashguard.StepKind]tally.Counter), noticeCounters: make(map[string]tally.Counter),
		closeIdle: func(string) {}, ejectionCounters: make(map[string]tally.Counter), quotaCounters: make(map[string]tally.Counter), failedCoordinators: make(map[string]string),
		requestQuota: func(time.Time, time.Duration) {}, onPaused: func() {}, quotaReplied: make(chan struct{}), reach: monitor.New(cfg.Region, log, scope),
		admission: transit.NewAdmission(0), refused: make(chan struct{}, 1),
	}
	for _, kind := range crashguard.StepKinds() {
		s.stepCounters[kind] = scope.Tagged(map[string]string{"step": string(kind)}).Counter("crash_steps")
	}
	for _, notice := range []string{noticeLeaving, noticeLeavingReceived, noticeWait, noticeUnusable, noticeLimit, noticeLimitReceived, noticeLimitEnded, noticeLimitUnusable} {
		s.noticeCounters[notice] = scope.Tagged(map[string]string{"word": notice}).Counter("instance_words")
	}
	for _, step := range []string{stepEjected, stepReadmitted} {
		s.ejectionCounters[step] = scope.Tagged(map[string]string{"step": step}).Counter("instance_ejections")
	}
	for _, step := range []string{quotaWanted, quotaLeased, quotaReceived, quotaReturned} {
		s.quotaCounters[step] = scope.Tagged(map[string]string{"step": step}).Counter("quota_tokens")
	}
	return s
}

// logSteps logs and counts the new steps of the ledger. The lock is held.
func (s *selector) logSteps(from string) {
	for _, step := range s.ledger.Steps() {
		if s.ledger.HasRefused(&step) {
			select {
			case s.refused <- struct{}{}:
			default:
				// A check is due already.
			}
		}
		s.stepCounters[step.Kind].Inc(1)
		ev := event.CrashSuspicionChanged
		if step.Kind == crashguard.StepCrashed {
			ev = event.InstanceCrashed
		}
		ev.Log(s.log, "step", string(step.Kind), "fingerprint", hex.EncodeToString(step.Request[:8]), "id", step.Process.ID, "born", step.Process.StartMillis,
			"evidence", step.Evidence, "deaths", step.Crashes, "age_ms", step.Age.Milliseconds(), "heard_from", from)
	}
}

// setInstances replaces the set of instances that accept new requests.
func (s *selector) setInstances(now time.Time, list []placement.Instance) {
	remain := make(map[string]bool, len(list))
	for k := range list {
		remain[list[k].ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []string
	for id := range s.startTimes {
		if !remain[id] {
			removed = append(removed, id)
		}
	}
	s.applyChanges(now, list, removed)
}

// changeInstances adds, updates and removes single instances.
func (s *selector) changeInstances(now time.Time, list []placement.Instance, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChanges(now, list, removed)
}

// applyChanges updates the placement, and reports a crash for each instance that came
// back with another start time. The lock is held.
func (s *selector) applyChanges(now time.Time, list []placement.Instance, removed []string) {
	s.picker.Update(now, list, removed)
	for _, id := range removed {
		delete(s.startTimes, id)
	}
	for k := range list {
		i := &list[k]
		if startTime, exists := s.startTimes[i.ID]; exists && startTime != i.StartMillis {
			s.addCrashLocked(time.Now(), crashguard.Process{ID: i.ID, StartMillis: startTime}, crashguard.EvidenceRecord)
		}
		s.startTimes[i.ID] = i.StartMillis
	}
}

// onRecordExpired records in the ledger that a process has crashed, because its record
// expired without a leaving notice.
func (s *selector) onRecordExpired(p crashguard.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCrashLocked(time.Now(), p, crashguard.EvidenceRecord)
}

// onConnRefused is called when the address of a process refuses connections, as after a
// crash.
func (s *selector) onConnRefused(p crashguard.Process, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdRefusal(time.Now(), p, address)
}

// addCrashLocked records in the ledger that a process has crashed or was replaced, and
// logs the steps that follow. The lock is held.
func (s *selector) addCrashLocked(at time.Time, p crashguard.Process, evidence string) {
	s.ledger.RecordCrash(at, p, evidence)
	s.logSteps("")
}

// setSharers sets the VMs that share the rates of cold instances, and those that choose the
// coordinators of limited ones, by region.
func (s *selector) setSharers(snapshot *roster.Snapshot, electorates map[string]placement.Electorate) {
	var vms []placement.VM
	for _, m := range snapshot.In(snapshot.Self.Region) {
		vms = append(vms, placement.VM{ID: m.ID, Weight: m.Weight})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetVMs(vms)
	s.picker.SetSharers(snapshot.NumSharers(snapshot.Self.Region), snapshot.IsActing())
	s.picker.SetElectorates(electorates)
}

func (s *selector) setBounds(b *Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetBounds(b.ColdOver, b.ColdSlack, b.MaxShift, b.DrainTime)
	s.picker.SetObjectAffinity(placement.ObjectAffinity(b.ObjectAffinity))
	s.picker.SetIgnoresPriority(b.Precedence != precedenceOn)
}

// buildDigest returns the next digest. Each VM of the region gets one of as many digests as
// there are rounds.
func (s *selector) buildDigest(now time.Time, rounds int) (placement.Digest, []crashguard.LedgerReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Digest(now, rounds), s.ledger.Outbox(now, crashReportRepeats*rounds, maxCrashReports)
}

// receiveDigest merges the digest of another VM. A digest from another region has crash
// reports only, which this VM passes on to its own region.
func (s *selector) receiveDigest(now time.Time, from sender, d *placement.Digest, crashes []crashguard.LedgerReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !from.remote {
		effects := s.picker.ApplyDigest(now, from.id, d)
		for _, id := range effects.Replaced {
			event.InstanceReplaced.Log(s.log, "id", id, "heard_from", from.id)
		}
		for k := range effects.Leaving {
			s.recordLeaving(&effects.Leaving[k], noticeLeavingReceived, from.id)
		}
		s.logLimits(effects.Limits)
	}
	s.ledger.Merge(now, crashes, from.remote)
	s.logSteps(from.id)
}

// setRecorded sets whether a record lists a request as refused.
func (s *selector) setRecorded(f crashguard.Fingerprint, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetRecorded(f, recorded)
}

// pendingRefusals returns the requests that are to be recorded as refused, and those in
// written that are no longer refused.
func (s *selector) pendingRefusals(now time.Time, delay time.Duration, written map[crashguard.Fingerprint]*leasedRecord) (due, cleared []crashguard.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range written {
		if _, refused := s.ledger.Refuses(now, f); !refused {
			cleared = append(cleared, f)
		}
	}
	return s.ledger.Unrecorded(now, delay), cleared
}

// minLoggedSpillChange is the smallest change of a spill share that is logged.
const minLoggedSpillChange = 0.05

func (s *selector) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Tick(now)
	s.logEjections()
	s.logLimitUsage(now)
	s.logObjects(now)
	for service, share := range s.picker.SpillShares() {
		if math.Abs(share-s.loggedSpill[service]) < minLoggedSpillChange && (share != 0 || s.loggedSpill[service] == 0) {
			continue
		}
		state := s.picker.State(now, service)
		s.loggedSpill[state.Service] = state.Spill
		event.SpillChanged.Log(s.log, "service", state.Service, "share", state.Spill, "pressure", state.Pressure,
			"instances", state.Instances, "ejected", state.Ejected, "cold", state.Cold)
	}
}

// AdmitTransit bounds the requests that this VM takes over.
func (s *selector) AdmitTransit(q *proxy.Query) error {
	if s.reach.IsIsolated() {
		return verdict.New(verdict.NotRun, verdict.ReasonIsolated, defaultRetryAfter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admission.Admit(time.Now(), q.Priority) {
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, defaultRetryAfter)
	}
	return nil
}

// Select implements proxy.Selector. It blocks only after a pause of this VM.
func (s *selector) Select(ctx context.Context, q *proxy.Query) (proxy.Selection, error) {
	if err := s.awaitRefresh(ctx); err != nil {
		return nil, err
	}
	r := placement.Request{
		Service: q.Service.Name, Route: q.Route.Prefix, Key: q.AffinityKey, Idempotent: q.Idempotent,
		Target: q.Target, Deadline: q.Deadline, Regions: q.Regions, Exclude: q.Exclude,
		Timeout: q.Timeout, Priority: q.Priority, Team: q.Team,
	}
	if !s.reach.MustPassOn() {
		s.awaitToken(ctx, &r)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !q.IsRetry {
		s.picker.RecordArrival(r.Service)
		if !q.IsTransit {
			s.admission.RecordOwn(now)
		}
	}
	var fingerprint crashguard.Fingerprint
	copy(fingerprint[:], q.Fingerprint[:])
	if wait, refused := s.ledger.Refuses(now, fingerprint); refused {
		e := verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, wait)
		e.Err = errors.Errorf("fingerprint %s, see events 2342 to 2346", hex.EncodeToString(fingerprint[:8]))
		return nil, e
	}
	if selected := s.selectVM(now, q, false); selected != nil {
		return selected, nil
	}
	if s.reach.MustPassOn() {
		// Nor does any other VM that may serve the request. Probes notice the end.
		return nil, verdict.New(verdict.NotRun, verdict.ReasonIsolated, defaultRetryAfter)
	}
	t, refused := s.picker.Pick(now, &r)
	if refused != nil {
		if refused.Reason == verdict.ReasonNoUpstream {
			if selected := s.selectVM(now, q, true); selected != nil {
				return selected, nil
			}
		}
		return nil, refused
	}
	return &selection{s: s, ticket: t, key: r.Key, fingerprint: fingerprint, chosenAt: now}, nil
}

// awaitRefresh waits until the records are refreshed after a pause of this VM, or returns an error
// with the verdict NotRun.
func (s *selector) awaitRefresh(ctx context.Context) error {
	if s.pause == nil {
		return nil
	}
	paused, refreshed := s.pause.check()
	if paused > 0 {
		s.recordPause(paused)
	}
	return s.pause.wait(ctx, refreshed)
}

// maxLeavingIDs bounds the leaving instances that are named to another VM.
const maxLeavingIDs = 32

// selectVM returns the VM to which a request is passed on, or nil if this VM serves it.
// refused says that no instance was available here.
func (s *selector) selectVM(now time.Time, q *proxy.Query, refused bool) proxy.Selection {
	if q.IsTransit {
		return nil
	}
	peer, ok := s.reach.PassOn(now, q, refused)
	if !ok {
		return nil
	}
	return &transitSelection{s: s, peer: peer, key: q.AffinityKey, chosenAt: now, leaving: s.picker.Leaving(q.Service.Name, maxLeavingIDs)}
}

// recordPause drops what may have expired while this VM was paused.
func (s *selector) recordPause(paused time.Duration) {
	s.onPaused()
	event.VMPaused.Log(s.log, "paused_ms", paused.Milliseconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.ForgetLeases()
}

// selection is the instance chosen for one attempt.
type selection struct {
	s      *selector
	ticket placement.Ticket
	// key is the affinity key, which names the object that the request is about.
	key         string
	fingerprint crashguard.Fingerprint
	chosenAt    time.Time
}

// Instance implements proxy.Selection.
func (c *selection) Instance() proxy.Instance {
	return proxy.Instance{ID: c.ticket.Instance.ID, Address: c.ticket.Instance.Address}
}

// Path returns a context that is cancelled when this VM reaches no instance any more.
func (c *selection) Path() context.Context { return c.s.reach.Path() }

// MayRunTwice returns true. The ledger refuses what has crashed instances.
func (c *selection) MayRunTwice() bool { return true }

// LogAttrs returns the log attributes that explain the choice of the instance.
func (c *selection) LogAttrs() []any {
	t := &c.ticket
	return []any{
		"key", c.key, "instance", t.Instance.ID, "rank", t.Rank, "spilled", t.Spilled, "est_wait_ms", t.Wait.Milliseconds(),
		"est_work_ms", t.Work.Milliseconds(), "load_age_ms", t.LoadAge.Milliseconds(),
	}
}

// HedgeAfter implements proxy.Selection.
func (c *selection) HedgeAfter() (time.Duration, bool) { return 0, false }

// Hedge implements proxy.Selection.
func (c *selection) Hedge() (proxy.Selection, bool) { return nil, false }

// Done implements proxy.Selection.
func (c *selection) Done(o proxy.Outcome) {
	out := placement.Outcome{
		Verdict: o.Verdict, Reason: o.Reason, Latency: o.Latency, Cancelled: o.Cancelled || o.Reason == verdict.ReasonWithdrawn || o.Reason == verdict.ReasonConnectionLimit, Failed: o.Status >= 500 && o.Verdict != verdict.NotRun,
	}
	if o.Load != nil {
		out.Load = &placement.Load{Running: o.Load.Running, Waiting: o.Load.Waiting, Slots: o.Load.Slots, WorkPercent: o.Load.WorkPercent}
	}
	// The connections of an isolated VM fail, and those of a congested one open late, whatever
	// state the instances are in.
	var isOwnFailure, isDoubtful bool
	if isConnectionFailure(&o) || isUnanswered(&o) {
		isOwnFailure, isDoubtful = c.s.reach.WasIsolated(c.chosenAt)
	}
	out.Cancelled = out.Cancelled || isOwnFailure || c.s.reach.IsOwnTimeout(c.chosenAt, &o)
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	now := time.Now()
	c.s.picker.Done(now, &c.ticket, out)
	if !isDoubtful {
		c.recordOutcome(now, &o)
	}
}

// isConnectionFailure reports whether an attempt failed without an answer.
func isConnectionFailure(o *proxy.Outcome) bool {
	switch o.Reason {
	case verdict.ReasonConnectFailed, verdict.ReasonConnectionLost, verdict.ReasonTruncated, verdict.ReasonDeadline, verdict.ReasonIsolated:
		return o.Verdict != verdict.Ran
	default:
		return false
	}
}

// isUnanswered reports whether an attempt was sent and ended before an answer.
func isUnanswered(o *proxy.Outcome) bool {
	return o.Verdict == verdict.MayHaveRun && o.Answered.IsZero()
}

// recordOutcome updates the ledger with the outcome of the attempt. The lock is held.
func (c *selection) recordOutcome(now time.Time, o *proxy.Outcome) {
	s, p, address := c.s, processOf(&c.ticket.Instance), c.ticket.Instance.Address
	switch {
	case o.Verdict == verdict.Ran:
		s.releaseEvidence(now, c.chosenAt, address, false)
		s.refuteEvidence(now, p)
		s.ledger.RecordAnswer(now, p)
		if o.Status < http.StatusInternalServerError {
			// A server error clears nothing: an instance may fail a request before running it.
			s.ledger.RecordSuccess(now, c.fingerprint)
		}
	case o.Reason == verdict.ReasonUpstreamRefused:
		s.releaseEvidence(now, c.chosenAt, address, false)
		s.refuteEvidence(now, p)
		s.ledger.RecordAnswer(now, p)
	case o.Reason == verdict.ReasonConnectionLost, o.Reason == verdict.ReasonTruncated:
		s.holdEvidence(heldEvidence{at: now, process: p, address: address, lost: &crashguard.Loss{Request: c.fingerprint, Process: p, At: now}})
		if state := s.picker.StateOf(&c.ticket); !state.IsLeaving() && !state.IsWaiting(now) {
			// A leaving instance exits anyway, and one that asked to wait is not probed.
			s.probe.enqueue(now, p, address)
		}
	case o.Reason == verdict.ReasonMisdirected:
		event.InstanceReplaced.Log(s.log, "id", p.ID, "heard_from", "")
		s.addCrashLocked(now, p, crashguard.EvidenceMisdirects)
	case o.ConnectionRefused:
		s.holdRefusal(now, p, address)
	case isUnanswered(o):
		s.holdEvidence(heldEvidence{at: now, process: p, address: address, record: func(at time.Time) { s.ledger.RecordUnanswered(at, c.fingerprint, p) }})
	}
	s.logSteps("")
}
