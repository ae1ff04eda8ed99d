// Package crashguard limits the damage of requests that crash every upstream
// instance that runs them. A Guard lets such a request crash at most two instances
// across all entry VMs, but may delay it. A Ledger never delays requests, and refuses
// one after it crashed several processes.
package crashguard

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// Defaults of Config.
const (
	DefaultReportTTL    = 10 * time.Minute
	DefaultSettleDelay  = 250 * time.Millisecond
	DefaultTrialTimeout = time.Minute
	DefaultMaxReports   = 4096
)

// Config of a Guard. Zero values mean the defaults.
type Config struct {
	// VM is the ID of this entry VM with its incarnation.
	VM string
	// ReportTTL is how long a report is kept after its last crash. Default 10 min.
	ReportTTL time.Duration
	// SettleDelay is the time between the announcement of a trial and its start. It
	// must exceed the time that a report takes to reach all VMs. Default 250 ms,
	// twice the round trip between regions.
	SettleDelay time.Duration
	// TrialTimeout is how long a trial is considered to run if its end is not
	// reported. Default 1 min.
	TrialTimeout time.Duration
	// MaxReports bounds the number of stored reports. Those of blocked requests
	// are evicted last, otherwise the oldest first. Default 4096.
	MaxReports int
}

func (c *Config) setDefaults() {
	if c.ReportTTL <= 0 {
		c.ReportTTL = DefaultReportTTL
	}
	if c.SettleDelay <= 0 {
		c.SettleDelay = DefaultSettleDelay
	}
	if c.TrialTimeout <= 0 {
		c.TrialTimeout = DefaultTrialTimeout
	}
	if c.MaxReports <= 0 {
		c.MaxReports = DefaultMaxReports
	}
}

// Action tells the caller of Begin how to proceed with the request.
type Action uint8

// Actions.
const (
	// Start: send the request to the instance.
	Start Action = iota
	// Wait: send Outbox to the peers, then call Begin again at Decision.Until.
	Wait
	// OtherInstance: call Begin again with another instance, see AvoidedInstances.
	OtherInstance
	// Refuse: end the request with Decision.Err.
	Refuse
)

// Ticket identifies a started request.
type Ticket uint64

// Decision is the result of Begin.
type Decision struct {
	Action Action
	Ticket Ticket
	Until  time.Time
	Err    *verdict.Error
}

// Outcome is how a started request ended.
type Outcome uint8

// Outcomes.
const (
	// Unknown means that the request was refused, cancelled or timed out, which
	// neither suggests nor excludes that it crashes instances.
	Unknown Outcome = iota
	// Success is a complete response that is no failure of the instance.
	Success
	// Crashed means that the connection was lost while the instance ran the request.
	Crashed
)

// Request describes a request to Begin.
type Request struct {
	Fingerprint Fingerprint
	Service     string
	// Text describes the request in reports, truncated to 200 bytes.
	Text string
}

// entry is a stored report with its local state.
type entry struct {
	CrashReport
	// dirty means that the report changed since Outbox last returned it.
	dirty bool
	// ownTrial is this VM's trial of the suspect, which ends with its ticket.
	ownTrial   *Trial
	ownStarted bool
	// changedAt is the time of the last change on this VM. A cleared report is
	// kept for ReportTTL after it, so that a late copy of its crashes is ignored.
	changedAt time.Time
}

// sentRequest is a request that was started and has not ended.
type sentRequest struct {
	Request
	instance string
	at       time.Time
	isTrial  bool
	// knownCrashes is the number of crashes known when the request started.
	knownCrashes int
}

// Guard is the crash guard of one entry VM.
type Guard struct {
	cfg        Config
	reports    map[Fingerprint]*entry
	sent       map[Ticket]sentRequest
	lastTicket Ticket
	// dirty lists the reports that Outbox returns next, in the order of their
	// change.
	dirty []Fingerprint
}

// New returns a guard without reports.
func New(cfg Config) *Guard {
	cfg.setDefaults()
	return &Guard{cfg: cfg, reports: make(map[Fingerprint]*entry), sent: make(map[Ticket]sentRequest)}
}

// Begin decides whether a request may be sent to an instance. Each Start must be
// followed by one End. A suspect, which has crashed one instance, is tried by one VM
// at a time, and only after that VM announced the trial and waited for SettleDelay.
func (g *Guard) Begin(now time.Time, r Request, instance string) Decision {
	e := g.lookup(now, r.Fingerprint)
	if e == nil || len(e.Crashes) == 0 {
		return g.start(now, r, instance, e, false)
	}
	if e.isBlocked() {
		left := e.lastCrash().Add(g.cfg.ReportTTL).Sub(now)
		return Decision{Action: Refuse, Err: verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, left)}
	}
	if e.ownTrial != nil && !g.isRunning(now, e.ownTrial) {
		e.ownTrial, e.ownStarted = nil, false
	}
	if e.ownTrial != nil && (e.ownStarted || e.ownTrial.Instance != instance) {
		// This VM is already trying another send of the suspect.
		return g.waitForTrial(now)
	}
	if g.hasEarlierTrial(now, e) {
		g.endTrial(e)
		return g.waitForTrial(now)
	}
	if !g.canTry(now, e, instance) {
		g.endTrial(e)
		return Decision{Action: OtherInstance, Until: now.Add(g.cfg.SettleDelay)}
	}
	if e.ownTrial == nil {
		e.ownTrial = &Trial{VM: g.cfg.VM, Instance: instance, At: now}
		e.ownStarted = false
		if !e.addTrial(*e.ownTrial) {
			e.ownTrial = nil
			return Decision{Action: Refuse, Err: verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, time.Second)}
		}
		g.markDirty(e)
	}
	until := e.ownTrial.At.Add(g.cfg.SettleDelay)
	if e.dirty || now.Before(until) {
		return Decision{Action: Wait, Until: until}
	}
	e.ownStarted, e.ownTrial.Running = true, true
	if e.addTrial(*e.ownTrial) {
		g.markDirty(e)
	}
	return g.start(now, r, instance, e, true)
}

// waitForTrial makes a suspect wait while another send of it is tried. It is not
// refused, because it may be harmless and sent by many callers.
func (g *Guard) waitForTrial(now time.Time) Decision {
	return Decision{Action: Wait, Until: now.Add(g.cfg.SettleDelay)}
}

// start records a request as started.
func (g *Guard) start(now time.Time, r Request, instance string, e *entry, isTrial bool) Decision {
	g.lastTicket++
	s := sentRequest{Request: r, instance: instance, at: now, isTrial: isTrial}
	if e != nil {
		s.knownCrashes = len(e.Crashes)
	}
	g.sent[g.lastTicket] = s
	return Decision{Action: Start, Ticket: g.lastTicket}
}

// isRunning reports whether a trial has neither ended nor timed out.
func (g *Guard) isRunning(now time.Time, t *Trial) bool {
	return !t.Ended && now.Sub(t.At) < g.cfg.TrialTimeout
}

// hasEarlierTrial reports whether another VM's trial of the suspect takes precedence.
func (g *Guard) hasEarlierTrial(now time.Time, e *entry) bool {
	for i := range e.Trials {
		t := &e.Trials[i]
		if t.VM != g.cfg.VM && g.isRunning(now, t) && (e.ownTrial == nil || t.precedes(e.ownTrial)) {
			return true
		}
	}
	return false
}

// canTry reports whether a suspect may be tried on an instance. Suspects of the same
// crash are tried on different instances, so that a crash caused by one of them is
// not attributed to the others.
func (g *Guard) canTry(now time.Time, e *entry, instance string) bool {
	if slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Instance == instance }) {
		return false
	}
	for _, other := range g.reports {
		if other == e || len(other.Crashes) == 0 || other.isBlocked() {
			continue
		}
		for i := range other.Trials {
			t := &other.Trials[i]
			if t.Instance == instance && g.isRunning(now, t) && (e.ownTrial == nil || t.precedes(e.ownTrial) || t.VM == g.cfg.VM) {
				return false
			}
		}
	}
	return true
}

// AvoidedInstances returns the instances to which a request must not be sent: those
// that it crashed and those on which other suspects are tried. It is empty for a
// request that is not a suspect.
func (g *Guard) AvoidedInstances(now time.Time, f Fingerprint) []string {
	e := g.lookup(now, f)
	if e == nil || len(e.Crashes) == 0 {
		return nil
	}
	var out []string
	for i := range e.Crashes {
		out = append(out, e.Crashes[i].Instance)
	}
	for _, other := range g.reports {
		for i := range other.Trials {
			if t := &other.Trials[i]; other != e && g.isRunning(now, t) && !slices.Contains(out, t.Instance) {
				out = append(out, t.Instance)
			}
		}
	}
	slices.Sort(out)
	return out
}

// IsSuspect reports whether a request has crashed an instance and was not cleared by
// a success.
func (g *Guard) IsSuspect(now time.Time, f Fingerprint) bool {
	e := g.lookup(now, f)
	return e != nil && len(e.Crashes) > 0
}

// Abandon withdraws an announced trial that will not take place, because the request
// is not sent or goes to another instance.
func (g *Guard) Abandon(now time.Time, f Fingerprint) {
	if e := g.lookup(now, f); e != nil && !e.ownStarted {
		g.endTrial(e)
	}
}

// End records how a started request ended. A second End of a ticket does nothing.
//
// After a crash, broadcast Outbox and answer the failed request at once. A resend
// cannot arrive at another VM before the report, because the answer and the resend
// together travel at least as far as the report does.
func (g *Guard) End(now time.Time, t Ticket, o Outcome) {
	s, ok := g.sent[t]
	if !ok {
		return
	}
	delete(g.sent, t)
	e := g.lookup(now, s.Fingerprint)
	if e != nil && s.isTrial {
		g.endTrial(e)
	}
	switch o {
	case Crashed:
		g.recordCrash(now, &s, e)
	case Success:
		if e != nil && len(e.Crashes) > 0 && !e.isBlocked() {
			e.Generation++
			e.Crashes, e.Trials, e.ownTrial, e.ownStarted, e.changedAt = nil, nil, nil, false, now
			g.markDirty(e)
		}
	case Unknown:
	}
	g.announceRunning(g.reports[s.Fingerprint])
}

// announceRunning announces a run of a suspect that this VM started before it knew
// of the first crash, so that no other VM tries the suspect meanwhile.
func (g *Guard) announceRunning(e *entry) {
	if e == nil || len(e.Crashes) == 0 || e.isBlocked() || (e.ownTrial != nil && e.ownStarted) {
		return
	}
	first := Ticket(0)
	for t, s := range g.sent {
		if s.Fingerprint == e.Fingerprint && (first == 0 || t < first) {
			first = t
		}
	}
	if first == 0 {
		return
	}
	g.endTrial(e)
	s := g.sent[first]
	s.isTrial = true
	g.sent[first] = s
	e.ownTrial, e.ownStarted = &Trial{VM: g.cfg.VM, Instance: s.instance, At: s.at, Running: true}, true
	if e.addTrial(*e.ownTrial) {
		g.markDirty(e)
	}
}

// recordCrash adds a crash to the report on the request.
func (g *Guard) recordCrash(now time.Time, s *sentRequest, e *entry) {
	if e == nil {
		g.evictOldest(now)
		e = &entry{CrashReport: CrashReport{Fingerprint: s.Fingerprint, Service: s.Service, Text: s.Text[:min(len(s.Text), maxTextBytes)]}}
		g.reports[s.Fingerprint] = e
	}
	e.changedAt = now
	if e.addCrash(Crash{Instance: s.instance, VM: g.cfg.VM, At: now}) {
		g.markDirty(e)
	}
	// The invariant ignores sends that started before the first crash was known:
	// until then, they cannot be distinguished from harmless requests.
	if s.knownCrashes >= maxCrashedInstances || (s.knownCrashes > 0 && len(e.Crashes) > maxCrashedInstances) {
		invariant.Check(invariant.CrashedAtMostTwo, false, "request %v (%s) cost instance %q after %d others",
			s.Fingerprint, e.Text, s.instance, len(e.Crashes)-1)
	}
}

// endTrial ends this VM's trial of a suspect, if there is one.
func (g *Guard) endTrial(e *entry) {
	if e.ownTrial == nil {
		return
	}
	t := *e.ownTrial
	t.Ended = true
	e.ownTrial, e.ownStarted = nil, false
	if e.addTrial(t) {
		g.markDirty(e)
	}
}

// lookup returns the report on a request, or nil if there is none or it has expired.
func (g *Guard) lookup(now time.Time, f Fingerprint) *entry {
	e := g.reports[f]
	if e == nil {
		return nil
	}
	last := e.lastCrash()
	if len(e.Crashes) == 0 {
		last = e.changedAt
	}
	if now.Sub(last) >= g.cfg.ReportTTL {
		delete(g.reports, f)
		return nil
	}
	e.Trials = slices.DeleteFunc(e.Trials, func(t Trial) bool { return now.Sub(t.At) >= g.cfg.TrialTimeout })
	return e
}
