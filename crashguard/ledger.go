package crashguard

import (
	"slices"
	"time"
)

// Defaults of LedgerConfig.
const (
	DefaultLedgerMaxCrashes  = 3
	DefaultLedgerTTL         = DefaultReportTTL
	DefaultLedgerMaxRequests = 1024
	// DefaultConfirmWindow covers the expiry of a record after three heartbeats of
	// 1.5 s, its propagation to the VMs, and the 2.2 s for which its removal is
	// delayed.
	DefaultConfirmWindow = 8 * time.Second
	// An answer that arrives within inFlightAnswerWindow of a lost connection may
	// have been sent before the loss. Only a later answer shows that the process is
	// alive.
	inFlightAnswerWindow = 100 * time.Millisecond
	// clearDedupWindow is the time within which a second success of a request is
	// not reported again.
	clearDedupWindow = time.Second
	// minSimultaneousLosses connections to one instance that are lost within
	// simultaneousLossWindow are evidence that it crashed, unless it accepts a new one or
	// another instance lost connections at the same time.
	simultaneousLossWindow = 100 * time.Millisecond
	minSimultaneousLosses  = 3
	// lastCrashWindow is the time before the last known crash within which a crash may have
	// been the last one. It covers the way of a report to another VM.
	lastCrashWindow = 500 * time.Millisecond
)

// LedgerConfig configures a Ledger. Zero values mean the defaults.
type LedgerConfig struct {
	// MaxCrashes is the number of processes that must have crashed while they ran a
	// request before it is refused. Default 3.
	MaxCrashes int
	// CrashTTL is how long a crash is remembered. Default 10 min, as for a Guard.
	CrashTTL time.Duration
	// ConfirmWindow is how long after a lost connection evidence for the crash of
	// its process is accepted. Default 8 s.
	ConfirmWindow time.Duration
	// MaxRequests bounds the requests remembered. Default 1024.
	MaxRequests int
}

// Process is one run of an instance, which may start again under the same ID.
type Process struct {
	ID string
	// StartMillis is the start time in milliseconds since 1970.
	StartMillis int64
}

// LedgerReport is the report of one VM to the others that a request crashed a process
// or succeeded.
type LedgerReport struct {
	Request Fingerprint
	// Process crashed while it ran the request. If its ID is empty, the request
	// succeeded, and its earlier crashes are ignored.
	Process Process
	// Age is the time since the crash or the success.
	Age time.Duration
	// Local means that this VM observed the event itself. It is not sent.
	Local bool
}

// outgoing is a report with the number of times that it was sent.
type outgoing struct {
	report LedgerReport
	at     time.Time
	times  int
}

// Ledger remembers which requests were running on instances that crashed. Unlike a
// Guard it never delays a request: it refuses a request that crashed several processes
// and did not succeed since, and allows all others. A lost connection is counted as a
// crash only once there is evidence that the process crashed, since connections are
// lost for other reasons too. A Ledger is not safe for concurrent use.
type Ledger struct {
	cfg    LedgerConfig
	losses []loss
	// crashed holds when processes crashed, for ConfirmWindow.
	crashed map[Process]time.Time
	crashes map[Fingerprint][]crash
	// cleared holds when requests last succeeded after a crash.
	cleared map[Fingerprint]time.Time
	// recorded holds the requests that the store's records name as refused.
	recorded map[Fingerprint]bool
	outbox   []outgoing
	steps    []Step
}

// StepKind is the kind of a Step.
type StepKind string

// Kinds of steps.
const (
	// StepSuspected: a connection was lost, and evidence for a crash is awaited.
	StepSuspected StepKind = "suspected"
	// StepUnconfirmed: there was no evidence in time, or evidence to the contrary.
	StepUnconfirmed StepKind = "unconfirmed"
	// StepCrashed: this VM found evidence for a crash.
	StepCrashed StepKind = "died"
	// StepReceived: another VM reported a crash.
	StepReceived StepKind = "heard"
	// StepCleared: a success, here or elsewhere, cleared the request's crashes.
	StepCleared StepKind = "cleared"
)

// StepKinds returns all kinds.
func StepKinds() []StepKind {
	return []StepKind{StepSuspected, StepUnconfirmed, StepCrashed, StepReceived, StepCleared}
}

// Step is a change of the ledger's state, for logs and counters.
type Step struct {
	Kind    StepKind
	Request Fingerprint
	Process Process
	// Evidence for or against a crash, or empty.
	Evidence string
	// Crashes is the number of the request's crashes now, or for StepCleared the
	// number that was cleared.
	Crashes int
	// Age is the time since the connection was lost.
	Age time.Duration
}

// Steps returns the changes since the last call.
func (l *Ledger) Steps() []Step {
	out := l.steps
	l.steps = nil
	return out
}

// recordStep adds a step for the next call of Steps.
func (l *Ledger) recordStep(s Step) {
	if len(l.steps) < l.cfg.MaxRequests {
		l.steps = append(l.steps, s)
	}
}

// Evidence of a crash.
const (
	EvidenceRefused      = "connection refused"
	EvidenceRecord       = "record deleted or of a later process"
	EvidenceSimultaneous = "several connections lost at once"
	EvidenceMisdirects   = "another instance answered"
	EvidenceKnown        = "crash already detected"
	// EvidenceAnswer is evidence that the process is alive.
	EvidenceAnswer = "answered later"
)

// loss is a request that got no answer, of which it is not known whether its process
// crashed.
type loss struct {
	request Fingerprint
	process Process
	at      time.Time
	// unanswered means that the request was abandoned while its connection was open, and
	// reconnected that the address of the process has accepted a connection since.
	unanswered, reconnected bool
}

// crash is a crash of a process that ran a request.
type crash struct {
	process Process
	at      time.Time
	// local means that this VM observed it.
	local bool
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.MaxCrashes <= 0 {
		cfg.MaxCrashes = DefaultLedgerMaxCrashes
	}
	if cfg.CrashTTL <= 0 {
		cfg.CrashTTL = DefaultLedgerTTL
	}
	if cfg.ConfirmWindow <= 0 {
		cfg.ConfirmWindow = DefaultConfirmWindow
	}
	if cfg.MaxRequests <= 0 {
		cfg.MaxRequests = DefaultLedgerMaxRequests
	}
	return &Ledger{cfg: cfg, crashed: make(map[Process]time.Time), crashes: make(map[Fingerprint][]crash), cleared: make(map[Fingerprint]time.Time), recorded: make(map[Fingerprint]bool)}
}

// Loss is the loss of a connection with a running request.
type Loss struct {
	Request Fingerprint
	Process Process
	At      time.Time
	// Reconnected means that the address of the process has accepted a connection since.
	Reconnected bool
}

// RecordLosses records connections of running requests that were lost.
func (l *Ledger) RecordLosses(lost []Loss) {
	for _, x := range lost {
		l.addLoss(x.At, loss{request: x.Request, process: x.Process, at: x.At, reconnected: x.Reconnected})
	}
	for _, x := range lost {
		if l.isSimultaneous(x.At, x.Process) {
			l.RecordCrash(x.At, x.Process, EvidenceSimultaneous)
		}
	}
}

// isSimultaneous reports whether several connections to a process were lost at a time, and
// none to another process, whose loss would suggest that the links of this VM failed. A
// process that has accepted a connection since the first loss is alive.
func (l *Ledger) isSimultaneous(now time.Time, p Process) bool {
	count := 0
	for _, x := range l.losses {
		switch {
		case x.unanswered || now.Sub(x.at).Abs() > simultaneousLossWindow:
		case x.process != p || x.reconnected:
			return false
		default:
			count++
		}
	}
	return count >= minSimultaneousLosses
}

// RecordUnanswered records that a request was abandoned before its process answered. A
// process that crashes together with its host closes no connection.
func (l *Ledger) RecordUnanswered(now time.Time, f Fingerprint, p Process) {
	l.addLoss(now, loss{request: f, process: p, at: now, unanswered: true})
}

// addLoss stores a loss until there is evidence of a crash, which may already exist.
func (l *Ledger) addLoss(now time.Time, x loss) {
	l.dropExpiredLosses(now)
	if len(l.losses) >= l.cfg.MaxRequests {
		l.losses = l.losses[1:]
	}
	l.losses = append(l.losses, x)
	l.recordStep(Step{Kind: StepSuspected, Request: x.request, Process: x.process, Crashes: len(l.crashes[x.request])})
	if _, crashed := l.crashed[x.process]; crashed {
		l.RecordCrash(now, x.process, EvidenceKnown)
	}
}

// RecordAnswer records that a process answered, so that it is alive: its earlier losses
// were no crashes, and earlier evidence such as a deleted record is discarded.
func (l *Ledger) RecordAnswer(now time.Time, p Process) {
	if at, crashed := l.crashed[p]; crashed && now.Sub(at) > inFlightAnswerWindow {
		delete(l.crashed, p)
	}
	l.losses = slices.DeleteFunc(l.losses, func(x loss) bool {
		alive := x.process == p && now.Sub(x.at) > inFlightAnswerWindow
		if alive {
			l.recordStep(Step{Kind: StepUnconfirmed, Request: x.request, Process: p, Evidence: EvidenceAnswer, Crashes: len(l.crashes[x.request]), Age: now.Sub(x.at)})
		}
		return alive
	})
}

// dropExpiredLosses drops the losses and crashed processes older than ConfirmWindow.
func (l *Ledger) dropExpiredLosses(now time.Time) {
	l.losses = slices.DeleteFunc(l.losses, func(x loss) bool {
		expired := now.Sub(x.at) > l.cfg.ConfirmWindow
		if expired {
			l.recordStep(Step{Kind: StepUnconfirmed, Request: x.request, Process: x.process, Crashes: len(l.crashes[x.request]), Age: now.Sub(x.at)})
		}
		return expired
	})
	for p, at := range l.crashed {
		if now.Sub(at) > l.cfg.ConfirmWindow {
			delete(l.crashed, p)
		}
	}
}

// RecordCrash records evidence that a process crashed. Each request that it lost within
// ConfirmWindow is charged with one crash, at most one for each process.
func (l *Ledger) RecordCrash(now time.Time, p Process, evidence string) {
	if _, known := l.crashed[p]; !known && len(l.crashed) < l.cfg.MaxRequests {
		l.crashed[p] = now
	}
	kept := l.losses[:0]
	for _, x := range l.losses {
		if x.process != p {
			kept = append(kept, x)
			continue
		}
		if now.Sub(x.at) <= l.cfg.ConfirmWindow && l.addCrash(now, x.request, crash{p, x.at, true}) {
			l.enqueue(LedgerReport{Request: x.request, Process: p, Local: true}, x.at)
			l.recordStep(Step{Kind: StepCrashed, Request: x.request, Process: p, Evidence: evidence, Crashes: len(l.crashes[x.request]), Age: now.Sub(x.at)})
		}
	}
	l.losses = kept
}

// addCrash records a crash of a request and reports whether it is new.
func (l *Ledger) addCrash(now time.Time, f Fingerprint, c crash) bool {
	l.dropExpiredCrashes(now, f)
	list := l.crashes[f]
	if c.at.Before(l.cleared[f]) || slices.ContainsFunc(list, func(known crash) bool { return known.process == c.process }) {
		return false
	}
	if list == nil && len(l.crashes) >= l.cfg.MaxRequests {
		l.evictFewestCrashes()
	}
	l.crashes[f] = append(list, c)
	return true
}

// dropExpiredCrashes drops the crashes of a request older than CrashTTL.
func (l *Ledger) dropExpiredCrashes(now time.Time, f Fingerprint) {
	list := slices.DeleteFunc(l.crashes[f], func(c crash) bool { return now.Sub(c.at) > l.cfg.CrashTTL })
	if len(list) == 0 {
		delete(l.crashes, f)
	} else {
		l.crashes[f] = list
	}
}

// evictFewestCrashes drops the request with the fewest crashes. Of several it drops
// the one whose last crash is the oldest.
func (l *Ledger) evictFewestCrashes() {
	var fewest Fingerprint
	var count int
	var at time.Time
	for f, list := range l.crashes {
		n, last := len(list), list[len(list)-1].at
		if count == 0 || n < count || (n == count && last.Before(at)) {
			fewest, count, at = f, n, last
		}
	}
	delete(l.crashes, fewest)
}

// RecordSuccess clears the crashes of a request that an instance completed, here and, by
// a report, at the other VMs.
func (l *Ledger) RecordSuccess(now time.Time, f Fingerprint) {
	if (len(l.crashes[f]) > 0 || l.recorded[f]) && l.clearBefore(now, f, now) {
		l.enqueue(LedgerReport{Request: f, Local: true}, now)
	}
}

// clearBefore drops the crashes up to a time. It reports whether anything changed
// that other VMs should know.
func (l *Ledger) clearBefore(now time.Time, f Fingerprint, at time.Time) (changed bool) {
	changed = l.recorded[f] || at.Sub(l.cleared[f]) >= clearDedupWindow
	for g, t := range l.cleared {
		if now.Sub(t) > l.cfg.CrashTTL {
			delete(l.cleared, g)
		}
	}
	if _, known := l.cleared[f]; at.After(l.cleared[f]) && (known || len(l.cleared) < l.cfg.MaxRequests) {
		l.cleared[f] = at
	}
	before := len(l.crashes[f])
	l.crashes[f] = slices.DeleteFunc(l.crashes[f], func(c crash) bool { return !c.at.After(at) })
	if cleared := before - len(l.crashes[f]); cleared > 0 {
		l.recordStep(Step{Kind: StepCleared, Request: f, Crashes: cleared})
		changed = true
	}
	if len(l.crashes[f]) == 0 {
		delete(l.crashes, f)
	}
	delete(l.recorded, f)
	return changed
}

// SetRecorded sets whether a record in the store names a request as refused. Records
// survive restarts of the VMs.
func (l *Ledger) SetRecorded(f Fingerprint, recorded bool) {
	switch {
	case !recorded:
		delete(l.recorded, f)
	case len(l.recorded) < l.cfg.MaxRequests:
		l.recorded[f] = true
	}
}

// Unrecorded returns the refused requests without a record that this VM has to record. It
// records at once those of which it may have observed the last crash: if all VMs are killed,
// nobody else remembers the crashes. Those of which it observed an earlier one it records once the
// last is older than minAge, in case the other VM has gone. A run that was in progress may
// still succeed, which removes the record.
func (l *Ledger) Unrecorded(now time.Time, minAge time.Duration) []Fingerprint {
	var out []Fingerprint
	for f, list := range l.crashes {
		if len(list) < l.cfg.MaxCrashes || l.recorded[f] || !slices.ContainsFunc(list, func(c crash) bool { return c.local }) {
			continue
		}
		last := slices.MaxFunc(list, func(a, b crash) int { return a.at.Compare(b.at) }).at
		isOwn := func(c crash) bool { return c.local && last.Sub(c.at) < lastCrashWindow }
		if slices.ContainsFunc(list, isOwn) || now.Sub(last) >= minAge {
			out = append(out, f)
		}
	}
	return out
}

// HasRefused reports whether a step made a request refused.
func (l *Ledger) HasRefused(s *Step) bool {
	return (s.Kind == StepCrashed || s.Kind == StepReceived) && s.Crashes >= l.cfg.MaxCrashes
}

// Refuses reports whether a request must not be sent, and for how long.
func (l *Ledger) Refuses(now time.Time, f Fingerprint) (wait time.Duration, refused bool) {
	if l.recorded[f] {
		return l.cfg.CrashTTL, true
	}
	if len(l.crashes[f]) == 0 {
		return 0, false
	}
	l.dropExpiredCrashes(now, f)
	list := l.crashes[f]
	if len(list) < l.cfg.MaxCrashes {
		return 0, false
	}
	// The request is allowed again once fewer than MaxCrashes crashes are left.
	times := make([]time.Time, 0, len(list))
	for _, c := range list {
		times = append(times, c.at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	return times[len(times)-l.cfg.MaxCrashes].Add(l.cfg.CrashTTL).Sub(now), true
}

// enqueue puts a report in the outbox.
func (l *Ledger) enqueue(r LedgerReport, at time.Time) {
	if len(l.outbox) < l.cfg.MaxRequests {
		l.outbox = append(l.outbox, outgoing{report: r, at: at})
	}
}

// Outbox returns up to limit reports for the other VMs, the oldest first. Each report
// is returned the given number of times, since datagrams get lost.
func (l *Ledger) Outbox(now time.Time, times, limit int) []LedgerReport {
	var out []LedgerReport
	kept := l.outbox[:0]
	for _, o := range l.outbox {
		if len(out) < limit {
			o.report.Age = max(0, now.Sub(o.at))
			out = append(out, o.report)
			o.times++
		}
		if o.times < times {
			kept = append(kept, o)
		}
	}
	l.outbox = kept
	return out
}

// Merge adds the reports of another VM. If forward is set, those that are new are
// forwarded to other VMs.
func (l *Ledger) Merge(now time.Time, reports []LedgerReport, forward bool) {
	for _, r := range reports {
		if r.Age < 0 || r.Age > l.cfg.CrashTTL {
			continue
		}
		at := now.Add(-r.Age)
		changed := false
		if r.Process.ID == "" {
			changed = l.clearBefore(now, r.Request, at)
		} else if changed = l.addCrash(now, r.Request, crash{r.Process, at, false}); changed {
			l.recordStep(Step{Kind: StepReceived, Request: r.Request, Process: r.Process, Crashes: len(l.crashes[r.Request]), Age: r.Age})
		}
		if changed && forward {
			l.enqueue(LedgerReport{Request: r.Request, Process: r.Process}, at)
		}
	}
}
