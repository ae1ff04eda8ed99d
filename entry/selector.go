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
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/verdict"
)

// selector chooses instances by the placement.
type selector struct {
	log *slog.Logger
	// pause holds requests after a pause of this VM. Nil means never.
	pause *pauseGuard
	// probe finds out whether the process at the end of a lost connection died.
	probe *deathProbe
	// forget closes the idle connections to an address.
	forget func(address string)

	mu     sync.Mutex
	picker *placement.Picker
	ledger *crashguard.Ledger
	// known are the instances that took work at the last change.
	known map[string]int64
	// spill is the last logged share of each service.
	spill map[string]float64
	// steps counts those of the ledger, by kind.
	steps map[crashguard.StepKind]tally.Counter
	// words counts what instances said about new requests.
	words map[string]tally.Counter
}

var _ proxy.Selector = (*selector)(nil)

func newSelector(cfg placement.Config, log *slog.Logger, scope tally.Scope) *selector {
	s := &selector{
		log: log, picker: placement.New(cfg), ledger: crashguard.NewLedger(crashguard.LedgerConfig{}),
		known: make(map[string]int64), spill: make(map[string]float64), steps: make(map[crashguard.StepKind]tally.Counter), words: make(map[string]tally.Counter),
		forget: func(string) {},
	}
	for _, kind := range crashguard.StepKinds() {
		s.steps[kind] = scope.Tagged(map[string]string{"step": string(kind)}).Counter("crash_steps")
	}
	for _, word := range []string{wordLeaving, wordHeard, wordWait, wordUnusable} {
		s.words[word] = scope.Tagged(map[string]string{"word": word}).Counter("instance_words")
	}
	return s
}

// logSteps logs and counts what the ledger has come to believe. The lock is held.
func (s *selector) logSteps(from string) {
	for _, step := range s.ledger.Steps() {
		s.steps[step.Kind].Inc(1)
		ev := event.CrashStep
		if step.Kind == crashguard.StepDied {
			ev = event.CrashNoted
		}
		ev.Log(s.log, "step", string(step.Kind), "fingerprint", hex.EncodeToString(step.Request[:8]), "id", step.Process.ID, "born", step.Process.Born,
			"evidence", step.Evidence, "deaths", step.Deaths, "age_ms", step.Age.Milliseconds(), "heard_from", from)
	}
}

// setInstances replaces the instances that take new work.
func (s *selector) setInstances(now time.Time, list []placement.Instance) {
	remain := make(map[string]bool, len(list))
	for k := range list {
		remain[list[k].ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []string
	for id := range s.known {
		if !remain[id] {
			gone = append(gone, id)
		}
	}
	s.change(now, list, gone)
}

// changeInstances takes changes of single instances.
func (s *selector) changeInstances(now time.Time, list []placement.Instance, gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(now, list, gone)
}

// change puts changes in force. The lock is held.
func (s *selector) change(now time.Time, list []placement.Instance, gone []string) {
	s.picker.Update(now, list, gone)
	for _, id := range gone {
		delete(s.known, id)
	}
	for k := range list {
		i := &list[k]
		if born, known := s.known[i.ID]; known && born != i.Born {
			s.noteDeath(crashguard.Process{ID: i.ID, Born: born}, crashguard.EvidenceRecord)
		}
		s.known[i.ID] = i.Born
	}
}

// recordGone tells the ledger that the record of a process lapsed without a word of
// leaving.
func (s *selector) recordGone(p crashguard.Process) { s.died(p, crashguard.EvidenceRecord) }

// refusedConnection tells it that nothing listens at the address of a process.
func (s *selector) refusedConnection(p crashguard.Process) { s.died(p, crashguard.EvidenceRefused) }

func (s *selector) died(p crashguard.Process, evidence string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteDeath(p, evidence)
}

// noteDeath tells the ledger that a process has gone. The lock is held.
func (s *selector) noteDeath(p crashguard.Process, evidence string) {
	s.ledger.Died(time.Now(), p, evidence)
	s.logSteps("")
}

func (s *selector) setVMs(vms []placement.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetVMs(vms)
}

func (s *selector) setBounds(b *Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetBounds(b.ColdOver, b.ColdSlack, b.ShiftMost, b.DrainTime)
}

func (s *selector) digest(now time.Time, noteTimes int) (placement.Digest, []crashguard.LedgerNote) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Digest(now), s.ledger.Outbox(now, noteTimes, notesMost)
}

// heard takes the digest of another VM. One of another region has notes only, which
// this VM tells its own region.
func (s *selector) heard(now time.Time, from sender, d *placement.Digest, notes []crashguard.LedgerNote) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !from.far {
		left, leaving := s.picker.Heard(now, from.id, d)
		for _, id := range left {
			event.InstanceLeft.Log(s.log, "id", id, "heard_from", from.id)
		}
		for k := range leaving {
			s.noteLeaving(&leaving[k], wordHeard, from.id)
		}
	}
	s.ledger.Merge(now, notes, from.far)
	s.logSteps(from.id)
}

// setRecorded says whether a record names a request as refused.
func (s *selector) setRecorded(f crashguard.Fingerprint, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetRecorded(f, recorded)
}

// unrecorded returns the requests that are to be recorded as refused, and those of the
// written records that are not refused any more.
func (s *selector) unrecorded(now time.Time, settle time.Duration, written map[crashguard.Fingerprint]store.LeaseID) (due, cleared []crashguard.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range written {
		if _, refused := s.ledger.Refuses(now, f); !refused {
			cleared = append(cleared, f)
		}
	}
	return s.ledger.Unrecorded(now, settle), cleared
}

// spillStep is the change of a share that is worth a line of the log.
const spillStep = 0.05

func (s *selector) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Tick(now)
	for service, share := range s.picker.Spills() {
		if math.Abs(share-s.spill[service]) < spillStep && (share != 0 || s.spill[service] == 0) {
			continue
		}
		state := s.picker.State(now, service)
		s.spill[state.Service] = state.Spill
		event.SpillChanged.Log(s.log, "service", state.Service, "share", state.Spill, "pressure", state.Pressure,
			"instances", state.Instances, "ejected", state.Ejected, "cold", state.Cold)
	}
}

// Select implements proxy.Selector. It waits only after a pause of this VM.
func (s *selector) Select(ctx context.Context, q *proxy.Query) (proxy.Selection, error) {
	if s.pause != nil {
		paused, fresh := s.pause.alive()
		if paused > 0 {
			event.VMPaused.Log(s.log, "paused_ms", paused.Milliseconds())
		}
		s.pause.wait(ctx, fresh)
	}
	now := time.Now()
	r := placement.Request{
		Service: q.Service.Name, Route: q.Route.Prefix, Key: q.AffinityKey, Idempotent: q.Idempotent,
		Target: q.Target, Deadline: q.Deadline, Regions: q.Regions, Exclude: q.Exclude,
		Timeout: q.Timeout, Priority: q.Priority,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !q.IsRetry {
		s.picker.Arrived(r.Service)
	}
	var fingerprint crashguard.Fingerprint
	copy(fingerprint[:], q.Fingerprint[:])
	if wait, refused := s.ledger.Refuses(now, fingerprint); refused {
		e := verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, wait)
		e.Err = errors.Errorf("fingerprint %s, see events 2342 to 2346", hex.EncodeToString(fingerprint[:8]))
		return nil, e
	}
	t, refused := s.picker.Pick(now, &r)
	if refused != nil {
		return nil, refused
	}
	return &selection{s: s, ticket: t, key: r.Key, fingerprint: fingerprint}, nil
}

// selection is one attempt's place at an instance.
type selection struct {
	s      *selector
	ticket placement.Ticket
	// key is the request's object.
	key         string
	fingerprint crashguard.Fingerprint
}

// Instance implements proxy.Selection.
func (c *selection) Instance() proxy.Instance {
	return proxy.Instance{ID: c.ticket.Instance.ID, Address: c.ticket.Instance.Address}
}

// LogAttrs says what decided for the instance.
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
		Verdict: o.Verdict, Reason: o.Reason, Latency: o.Latency, Cancelled: o.Cancelled || o.Reason == verdict.ReasonWithdrawn, Failed: o.Status >= 500 && o.Verdict != verdict.NotRun,
	}
	if o.Load != nil {
		out.Load = &placement.Load{Running: o.Load.Running, Waiting: o.Load.Waiting, Slots: o.Load.Slots, WorkPercent: o.Load.WorkPercent}
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	now := time.Now()
	c.s.picker.Done(now, &c.ticket, out)
	c.noteEnd(now, &o)
}

// noteEnd tells the ledger how the attempt ended. The lock is held.
func (c *selection) noteEnd(now time.Time, o *proxy.Outcome) {
	s, p := c.s, crashguard.Process{ID: c.ticket.Instance.ID, Born: c.ticket.Instance.Born}
	switch {
	case o.Verdict == verdict.Ran:
		s.ledger.Answered(now, p)
		if o.Status < http.StatusInternalServerError {
			// An instance may fail a request before it begins to run it.
			s.ledger.Succeeded(now, c.fingerprint)
		}
	case o.Reason == verdict.ReasonUpstreamRefused:
		s.ledger.Answered(now, p)
	case o.Reason == verdict.ReasonConnectionLost, o.Reason == verdict.ReasonTruncated:
		s.ledger.Lost(now, c.fingerprint, p)
		if said := s.picker.StateOf(&c.ticket); !said.IsLeaving() && !said.IsWaiting(now) {
			// One that leaves ends, and one that asked to wait is not probed.
			s.probe.ask(now, p, c.ticket.Instance.Address)
		}
	case o.Reason == verdict.ReasonMisdirected:
		event.InstanceLeft.Log(s.log, "id", p.ID, "heard_from", "")
		s.noteDeath(p, crashguard.EvidenceMisdirects)
	case o.Refused:
		s.noteDeath(p, crashguard.EvidenceRefused)
	case o.Verdict == verdict.MayHaveRun && o.Answered.IsZero():
		s.ledger.Unanswered(now, c.fingerprint, p)
	}
	s.logSteps("")
}
