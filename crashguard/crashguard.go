// Package crashguard keeps a request that crashes each upstream that runs it
// from costing more than two instances over all entry VMs.
package crashguard

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// Defaults of Config.
const (
	DefaultExpiry   = 10 * time.Minute
	DefaultSettle   = 250 * time.Millisecond
	DefaultTrialFor = time.Minute
	DefaultMaxNotes = 4096
)

// Config of a Guard. Zero values mean the defaults.
type Config struct {
	// VM is the ID of this entry VM with its incarnation.
	VM string
	// Expiry is how long after its last death a note counts. Default 10 min.
	Expiry time.Duration
	// Settle is the time between the announcement of a retry of a suspect and
	// its start. It must exceed the time that a note needs to reach all VMs.
	// Default 250 ms, twice the way there and back between regions.
	Settle time.Duration
	// TrialFor is how long a retry whose end was not heard of counts as
	// running. Default 1 min.
	TrialFor time.Duration
	// MaxNotes bounds the notes kept; the oldest that are not blocked are
	// dropped first. Default 4096.
	MaxNotes int
}

func (c *Config) defaults() {
	if c.Expiry <= 0 {
		c.Expiry = DefaultExpiry
	}
	if c.Settle <= 0 {
		c.Settle = DefaultSettle
	}
	if c.TrialFor <= 0 {
		c.TrialFor = DefaultTrialFor
	}
	if c.MaxNotes <= 0 {
		c.MaxNotes = DefaultMaxNotes
	}
}

// Action is what the caller of Begin does with the request.
type Action uint8

// Actions.
const (
	// Start sends the request to the instance.
	Start Action = iota
	// Wait sends Outbox to the peers, then asks again at Decision.Until.
	Wait
	// Other asks again with another instance, see Avoid.
	Other
	// Refuse ends the request with Decision.Err.
	Refuse
)

// Ticket names a request that was started.
type Ticket uint64

// Decision is the answer of Begin.
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
	// Unknown says nothing about the request: refused, cancelled, timed out.
	Unknown Outcome = iota
	// Success is a complete response that is no failure of the instance.
	Success
	// Died means that the connection ended while the instance ran the request.
	Died
)

// Request names a request to Begin.
type Request struct {
	Fingerprint Fingerprint
	Service     string
	// Text describes the request in reports, cut to 200 bytes.
	Text string
}

type entry struct {
	Note
	// dirty means that the note changed since it was last handed out.
	dirty bool
	// own is this VM's trial, which ends with its ticket.
	own     *Trial
	started bool
	// seen is the last local change. A cleared note is kept for the expiry
	// after it, so that a late copy of its deaths doesn't count again.
	seen time.Time
}

type sent struct {
	Request
	instance string
	at       time.Time
	trial    bool
	// deaths are those that were known when the request started.
	deaths int
}

// Guard is the crash guard of one entry VM.
type Guard struct {
	cfg   Config
	notes map[Fingerprint]*entry
	sent  map[Ticket]sent
	last  Ticket
	// dirty lists notes to hand out, in the order of their change.
	dirty []Fingerprint
}

// New returns a guard without notes.
func New(cfg Config) *Guard {
	cfg.defaults()
	return &Guard{cfg: cfg, notes: make(map[Fingerprint]*entry), sent: make(map[Ticket]sent)}
}

// Begin decides whether a request may be sent to an instance. Every start is
// followed by one End. A suspect, which one instance died of, is tried by one
// VM at a time, and only after that VM announced it and waited for Settle.
func (g *Guard) Begin(now time.Time, r Request, instance string) Decision {
	e := g.lookup(now, r.Fingerprint)
	if e == nil || len(e.Deaths) == 0 {
		return g.start(now, r, instance, e, false)
	}
	if e.blocked() {
		left := e.lastDeath().Add(g.cfg.Expiry).Sub(now)
		return Decision{Action: Refuse, Err: verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, left)}
	}
	if e.own != nil && !g.running(now, e.own) {
		e.own, e.started = nil, false
	}
	if e.own != nil && (e.started || e.own.Instance != instance) {
		// Another send of the suspect is being tried by this VM.
		return g.busy(now)
	}
	if g.precededBy(now, e) {
		g.endTrial(e)
		return g.busy(now)
	}
	if !g.free(now, e, instance) {
		g.endTrial(e)
		return Decision{Action: Other, Until: now.Add(g.cfg.Settle)}
	}
	if e.own == nil {
		e.own = &Trial{VM: g.cfg.VM, Instance: instance, At: now}
		e.started = false
		if !e.addTrial(*e.own) {
			e.own = nil
			return Decision{Action: Refuse, Err: verdict.New(verdict.NotRun, verdict.ReasonCrashGuard, time.Second)}
		}
		g.touch(e)
	}
	until := e.own.At.Add(g.cfg.Settle)
	if e.dirty || now.Before(until) {
		return Decision{Action: Wait, Until: until}
	}
	e.started, e.own.Running = true, true
	if e.addTrial(*e.own) {
		g.touch(e)
	}
	return g.start(now, r, instance, e, true)
}

// busy lets a suspect wait while another send of it is tried. It may be innocent
// and wanted by many callers, so it is not refused.
func (g *Guard) busy(now time.Time) Decision {
	return Decision{Action: Wait, Until: now.Add(g.cfg.Settle)}
}

func (g *Guard) start(now time.Time, r Request, instance string, e *entry, trial bool) Decision {
	g.last++
	s := sent{Request: r, instance: instance, at: now, trial: trial}
	if e != nil {
		s.deaths = len(e.Deaths)
	}
	g.sent[g.last] = s
	return Decision{Action: Start, Ticket: g.last}
}

// running tells whether a trial counts: it has not ended and is not too old.
func (g *Guard) running(now time.Time, t *Trial) bool {
	return !t.Over && now.Sub(t.At) < g.cfg.TrialFor
}

// precededBy tells whether another VM's trial of the suspect goes first.
func (g *Guard) precededBy(now time.Time, e *entry) bool {
	for i := range e.Trials {
		t := &e.Trials[i]
		if t.VM != g.cfg.VM && g.running(now, t) && (e.own == nil || t.before(e.own)) {
			return true
		}
	}
	return false
}

// free tells whether a suspect may be tried on an instance. Suspects of the same
// death go to different instances, so that the one that crashes does not count
// against the others.
func (g *Guard) free(now time.Time, e *entry, instance string) bool {
	if slices.ContainsFunc(e.Deaths, func(d Death) bool { return d.Instance == instance }) {
		return false
	}
	for _, other := range g.notes {
		if other == e || len(other.Deaths) == 0 || other.blocked() {
			continue
		}
		for i := range other.Trials {
			t := &other.Trials[i]
			if t.Instance == instance && g.running(now, t) && (e.own == nil || t.before(e.own) || t.VM == g.cfg.VM) {
				return false
			}
		}
	}
	return true
}

// Avoid returns the instances to which a request must not be sent. It is empty
// for a request that is no suspect.
func (g *Guard) Avoid(now time.Time, f Fingerprint) []string {
	e := g.lookup(now, f)
	if e == nil || len(e.Deaths) == 0 {
		return nil
	}
	var out []string
	for i := range e.Deaths {
		out = append(out, e.Deaths[i].Instance)
	}
	for _, other := range g.notes {
		for i := range other.Trials {
			if t := &other.Trials[i]; other != e && g.running(now, t) && !slices.Contains(out, t.Instance) {
				out = append(out, t.Instance)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Suspect tells whether a request has cost an instance and is not cleared.
func (g *Guard) Suspect(now time.Time, f Fingerprint) bool {
	e := g.lookup(now, f)
	return e != nil && len(e.Deaths) > 0
}

// Abandon withdraws the announced trial of a request that will not be sent, or
// not to the instance that was announced.
func (g *Guard) Abandon(now time.Time, f Fingerprint) {
	if e := g.lookup(now, f); e != nil && !e.started {
		g.endTrial(e)
	}
}

// End records how a started request ended. A second End of a ticket does nothing.
//
// After a death the caller of the package hands out the note and answers its own
// caller at once. A resend cannot arrive at another VM before the note, because
// the answer and the resend together travel at least as far as the note does.
func (g *Guard) End(now time.Time, t Ticket, o Outcome) {
	s, ok := g.sent[t]
	if !ok {
		return
	}
	delete(g.sent, t)
	e := g.lookup(now, s.Fingerprint)
	if e != nil && s.trial {
		g.endTrial(e)
	}
	switch o {
	case Died:
		g.died(now, &s, e)
	case Success:
		if e != nil && len(e.Deaths) > 0 && !e.blocked() {
			e.Generation++
			e.Deaths, e.Trials, e.own, e.started, e.seen = nil, nil, nil, false, now
			g.touch(e)
		}
	case Unknown:
	}
	g.announceRunning(g.notes[s.Fingerprint])
}

// announceRunning announces a run of a suspect that this VM started before the
// first death was known, so that no other VM tries the suspect meanwhile.
func (g *Guard) announceRunning(e *entry) {
	if e == nil || len(e.Deaths) == 0 || e.blocked() || (e.own != nil && e.started) {
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
	s.trial = true
	g.sent[first] = s
	e.own, e.started = &Trial{VM: g.cfg.VM, Instance: s.instance, At: s.at, Running: true}, true
	if e.addTrial(*e.own) {
		g.touch(e)
	}
}

func (g *Guard) died(now time.Time, s *sent, e *entry) {
	if e == nil {
		g.makeRoom(now)
		e = &entry{Note: Note{Fingerprint: s.Fingerprint, Service: s.Service, Text: s.Text[:min(len(s.Text), maxText)]}}
		g.notes[s.Fingerprint] = e
	}
	e.seen = now
	if e.addDeath(Death{Instance: s.instance, VM: g.cfg.VM, At: now}) {
		g.touch(e)
	}
	// Sends that started before the first death was known are not counted: they
	// cannot be told apart from innocents until then.
	if s.deaths >= maxInstances || (s.deaths > 0 && len(e.Deaths) > maxInstances) {
		invariant.Check(invariant.CrashedAtMostTwo, false, "request %v (%s) cost instance %q after %d others",
			s.Fingerprint, e.Text, s.instance, len(e.Deaths)-1)
	}
}

func (g *Guard) endTrial(e *entry) {
	if e.own == nil {
		return
	}
	t := *e.own
	t.Over = true
	e.own, e.started = nil, false
	if e.addTrial(t) {
		g.touch(e)
	}
}

// lookup returns a note that has not expired.
func (g *Guard) lookup(now time.Time, f Fingerprint) *entry {
	e := g.notes[f]
	if e == nil {
		return nil
	}
	last := e.lastDeath()
	if len(e.Deaths) == 0 {
		last = e.seen
	}
	if now.Sub(last) >= g.cfg.Expiry {
		delete(g.notes, f)
		return nil
	}
	e.Trials = slices.DeleteFunc(e.Trials, func(t Trial) bool { return now.Sub(t.At) >= g.cfg.TrialFor })
	return e
}
