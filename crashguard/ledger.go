package crashguard

import (
	"slices"
	"time"
)

// Defaults of LedgerConfig.
const (
	DefaultLedgerDeaths = 3
	DefaultLedgerExpiry = DefaultExpiry
	DefaultLedgerNotes  = 1024
	// DefaultConfirmFor covers a record that lapses after three heartbeats of 1.5 s,
	// its way to the VMs, and a removal that is held back for 2.2 s.
	DefaultConfirmFor = 8 * time.Second
	// aliveAfter is how long after a lost connection an answer of its process shows
	// that it lives. Answers that were under way come sooner.
	aliveAfter = 100 * time.Millisecond
	// sameClear is the time within which two successes of a request are no news
	// after one another.
	sameClear = time.Second
	// togetherFor is the time within which connections to one instance must be
	// lost to show by themselves that it died, and togetherLeast their number.
	togetherFor   = 100 * time.Millisecond
	togetherLeast = 3
)

// LedgerConfig configures a Ledger. Zero values mean the defaults.
type LedgerConfig struct {
	// Deaths is the number of processes that must have died while they ran a
	// request before it is refused. Default 3.
	Deaths int
	// Expiry is how long a death counts. Default 10 min, as for a Guard.
	Expiry time.Duration
	// ConfirmFor is how long after a lost connection the death of its process may
	// show. Default 8 s.
	ConfirmFor time.Duration
	// MaxNotes bounds the requests remembered. Default 1024.
	MaxNotes int
}

// Process is one start of an instance: it may start again under its ID.
type Process struct {
	ID   string
	Born int64
}

// LedgerNote is what one VM tells the others of a request.
type LedgerNote struct {
	Request Fingerprint
	// Process died while it ran the request. Its ID is empty in a note that says
	// instead that the request succeeded, and deaths before that do not count.
	Process Process
	// Age is the time since then.
	Age time.Duration
	// Local says that this VM saw it, and did not hear of it. It is not sent.
	Local bool
}

// outgoing is a note with the number of times that it was handed out.
type outgoing struct {
	note  LedgerNote
	at    time.Time
	times int
}

// Ledger remembers which requests were running at instances that died. Unlike a
// Guard it never delays a request: it refuses one that took several instances with
// it and succeeded nowhere meanwhile, and lets all others pass. A connection that
// was lost counts only once its instance is seen to have died, since answers are
// lost for other reasons too. It is not safe for concurrent use.
type Ledger struct {
	cfg    LedgerConfig
	losses []loss
	// dead are the processes that died within ConfirmFor.
	dead   map[Process]time.Time
	deaths map[Fingerprint][]death
	// cleared is when a request last succeeded after a death.
	cleared map[Fingerprint]time.Time
	// recorded are the requests that a record says to refuse.
	recorded map[Fingerprint]bool
	outbox   []outgoing
	steps    []Step
}

// StepKind is what a Step says.
type StepKind string

// Kinds of steps.
const (
	// StepSuspected is a lost connection that waits for evidence.
	StepSuspected StepKind = "suspected"
	// StepUnconfirmed is one for which no evidence came in time.
	StepUnconfirmed StepKind = "unconfirmed"
	// StepDied is a death that this VM saw, StepHeard one that another VM told of.
	StepDied  StepKind = "died"
	StepHeard StepKind = "heard"
	// StepCleared says that a success elsewhere cleared the request's deaths.
	StepCleared StepKind = "cleared"
)

// StepKinds returns all kinds.
func StepKinds() []StepKind {
	return []StepKind{StepSuspected, StepUnconfirmed, StepDied, StepHeard, StepCleared}
}

// Step is a change of what the ledger believes, for logs and counters.
type Step struct {
	Kind    StepKind
	Request Fingerprint
	Process Process
	// Evidence is what showed a death.
	Evidence string
	// Deaths is the number that now counts against the request.
	Deaths int
	// Age is that of the lost connection.
	Age time.Duration
}

// Steps returns the changes since the last call.
func (l *Ledger) Steps() []Step {
	out := l.steps
	l.steps = nil
	return out
}

func (l *Ledger) step(s Step) {
	if len(l.steps) < l.cfg.MaxNotes {
		l.steps = append(l.steps, s)
	}
}

// Evidence of a death.
const (
	EvidenceRefused    = "connection refused"
	EvidenceRecord     = "record gone or of a later process"
	EvidenceTogether   = "connections lost together"
	EvidenceMisdirects = "another instance answers"
	EvidenceBefore     = "seen to have died before"
	// EvidenceAnswer shows that a process lives.
	EvidenceAnswer = "answered later"
)

// loss is a request that got no answer.
type loss struct {
	request Fingerprint
	process Process
	at      time.Time
	// silent says that the connection did not end by itself.
	silent bool
}

type death struct {
	process Process
	at      time.Time
	// local says that this VM saw it.
	local bool
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.Deaths <= 0 {
		cfg.Deaths = DefaultLedgerDeaths
	}
	if cfg.Expiry <= 0 {
		cfg.Expiry = DefaultLedgerExpiry
	}
	if cfg.ConfirmFor <= 0 {
		cfg.ConfirmFor = DefaultConfirmFor
	}
	if cfg.MaxNotes <= 0 {
		cfg.MaxNotes = DefaultLedgerNotes
	}
	return &Ledger{cfg: cfg, dead: make(map[Process]time.Time), deaths: make(map[Fingerprint][]death), cleared: make(map[Fingerprint]time.Time), recorded: make(map[Fingerprint]bool)}
}

// Lost notes that the connection of a running request was lost.
func (l *Ledger) Lost(now time.Time, f Fingerprint, p Process) {
	l.suspect(now, loss{request: f, process: p, at: now})
	together := 0
	for _, x := range l.losses {
		if x.process == p && !x.silent && now.Sub(x.at) <= togetherFor {
			together++
		}
	}
	if together >= togetherLeast {
		l.Died(now, p, EvidenceTogether)
	}
}

// Unanswered notes that a request was given up before its process answered. One that
// dies with its host closes no connection.
func (l *Ledger) Unanswered(now time.Time, f Fingerprint, p Process) {
	l.suspect(now, loss{request: f, process: p, at: now, silent: true})
}

// suspect keeps a loss until its process is seen to have died, which may be so
// already.
func (l *Ledger) suspect(now time.Time, x loss) {
	l.dropOld(now)
	if len(l.losses) >= l.cfg.MaxNotes {
		l.losses = l.losses[1:]
	}
	l.losses = append(l.losses, x)
	l.step(Step{Kind: StepSuspected, Request: x.request, Process: x.process, Deaths: len(l.deaths[x.request])})
	if _, dead := l.dead[x.process]; dead {
		l.Died(now, x.process, EvidenceBefore)
	}
}

// Answered notes that a process answered: what it lost before it did not die of, and a
// record that was gone says nothing.
func (l *Ledger) Answered(now time.Time, p Process) {
	if at, dead := l.dead[p]; dead && now.Sub(at) > aliveAfter {
		delete(l.dead, p)
	}
	l.losses = slices.DeleteFunc(l.losses, func(x loss) bool {
		alive := x.process == p && now.Sub(x.at) > aliveAfter
		if alive {
			l.step(Step{Kind: StepUnconfirmed, Request: x.request, Process: p, Evidence: EvidenceAnswer, Deaths: len(l.deaths[x.request]), Age: now.Sub(x.at)})
		}
		return alive
	})
}

// dropOld drops the losses for which evidence would come too late.
func (l *Ledger) dropOld(now time.Time) {
	l.losses = slices.DeleteFunc(l.losses, func(x loss) bool {
		late := now.Sub(x.at) > l.cfg.ConfirmFor
		if late {
			l.step(Step{Kind: StepUnconfirmed, Request: x.request, Process: x.process, Deaths: len(l.deaths[x.request]), Age: now.Sub(x.at)})
		}
		return late
	})
	for p, at := range l.dead {
		if now.Sub(at) > l.cfg.ConfirmFor {
			delete(l.dead, p)
		}
	}
}

// Died notes that a process is seen to have died. Requests whose connections it lost
// shortly before count, once for each process.
func (l *Ledger) Died(now time.Time, p Process, evidence string) {
	if _, known := l.dead[p]; !known && len(l.dead) < l.cfg.MaxNotes {
		l.dead[p] = now
	}
	kept := l.losses[:0]
	for _, x := range l.losses {
		if x.process != p {
			kept = append(kept, x)
			continue
		}
		if now.Sub(x.at) <= l.cfg.ConfirmFor && l.add(now, x.request, death{p, x.at, true}) {
			l.tell(LedgerNote{Request: x.request, Process: p, Local: true}, x.at)
			l.step(Step{Kind: StepDied, Request: x.request, Process: p, Evidence: evidence, Deaths: len(l.deaths[x.request]), Age: now.Sub(x.at)})
		}
	}
	l.losses = kept
}

// add notes a death and tells whether it is news.
func (l *Ledger) add(now time.Time, f Fingerprint, d death) bool {
	l.expire(now, f)
	list := l.deaths[f]
	if d.at.Before(l.cleared[f]) || slices.ContainsFunc(list, func(known death) bool { return known.process == d.process }) {
		return false
	}
	if list == nil && len(l.deaths) >= l.cfg.MaxNotes {
		l.dropLeast()
	}
	l.deaths[f] = append(list, d)
	return true
}

func (l *Ledger) expire(now time.Time, f Fingerprint) {
	list := slices.DeleteFunc(l.deaths[f], func(d death) bool { return now.Sub(d.at) > l.cfg.Expiry })
	if len(list) == 0 {
		delete(l.deaths, f)
	} else {
		l.deaths[f] = list
	}
}

// dropLeast drops the request with the fewest deaths, of several the one whose last
// death is the oldest.
func (l *Ledger) dropLeast() {
	var least Fingerprint
	var number int
	var at time.Time
	for f, list := range l.deaths {
		n, last := len(list), list[len(list)-1].at
		if number == 0 || n < number || (n == number && last.Before(at)) {
			least, number, at = f, n, last
		}
	}
	delete(l.deaths, least)
}

// Succeeded clears a request that an instance ran to its end, here and at the VMs that
// are told.
func (l *Ledger) Succeeded(now time.Time, f Fingerprint) {
	if (len(l.deaths[f]) > 0 || l.recorded[f]) && l.clear(now, f, now) {
		l.tell(LedgerNote{Request: f, Local: true}, now)
	}
}

// clear drops the deaths before a time and tells whether it is news.
func (l *Ledger) clear(now time.Time, f Fingerprint, at time.Time) (isNews bool) {
	isNews = l.recorded[f] || at.Sub(l.cleared[f]) >= sameClear
	for g, t := range l.cleared {
		if now.Sub(t) > l.cfg.Expiry {
			delete(l.cleared, g)
		}
	}
	if _, known := l.cleared[f]; at.After(l.cleared[f]) && (known || len(l.cleared) < l.cfg.MaxNotes) {
		l.cleared[f] = at
	}
	before := len(l.deaths[f])
	l.deaths[f] = slices.DeleteFunc(l.deaths[f], func(d death) bool { return !d.at.After(at) })
	if cleared := before - len(l.deaths[f]); cleared > 0 {
		l.step(Step{Kind: StepCleared, Request: f, Deaths: cleared})
		isNews = true
	}
	if len(l.deaths[f]) == 0 {
		delete(l.deaths, f)
	}
	delete(l.recorded, f)
	return isNews
}

// SetRecorded says whether a record that outlasts the VMs names a request as refused.
func (l *Ledger) SetRecorded(f Fingerprint, recorded bool) {
	switch {
	case !recorded:
		delete(l.recorded, f)
	case len(l.recorded) < l.cfg.MaxNotes:
		l.recorded[f] = true
	}
}

// Unrecorded returns the refused requests without a record whose last death is older
// than settle, if this VM saw one of their deaths. Until then a run that was under way
// may still succeed.
func (l *Ledger) Unrecorded(now time.Time, settle time.Duration) []Fingerprint {
	var out []Fingerprint
	for f, list := range l.deaths {
		recent := func(d death) bool { return now.Sub(d.at) < settle }
		local := func(d death) bool { return d.local }
		if len(list) >= l.cfg.Deaths && !l.recorded[f] && !slices.ContainsFunc(list, recent) && slices.ContainsFunc(list, local) {
			out = append(out, f)
		}
	}
	return out
}

// Refuses tells whether a request must not be sent, and for how long.
func (l *Ledger) Refuses(now time.Time, f Fingerprint) (wait time.Duration, refused bool) {
	if l.recorded[f] {
		return l.cfg.Expiry, true
	}
	if len(l.deaths[f]) == 0 {
		return 0, false
	}
	l.expire(now, f)
	list := l.deaths[f]
	if len(list) < l.cfg.Deaths {
		return 0, false
	}
	// It passes again once all but one fewer than the bound have expired.
	times := make([]time.Time, 0, len(list))
	for _, d := range list {
		times = append(times, d.at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	return times[len(times)-l.cfg.Deaths].Add(l.cfg.Expiry).Sub(now), true
}

// tell puts a note in the outbox.
func (l *Ledger) tell(n LedgerNote, at time.Time) {
	if len(l.outbox) < l.cfg.MaxNotes {
		l.outbox = append(l.outbox, outgoing{note: n, at: at})
	}
}

// Outbox returns up to most notes for the other VMs, the oldest first. Each is
// returned the given number of times, since datagrams get lost.
func (l *Ledger) Outbox(now time.Time, times, most int) []LedgerNote {
	var out []LedgerNote
	kept := l.outbox[:0]
	for _, o := range l.outbox {
		if len(out) < most {
			o.note.Age = max(0, now.Sub(o.at))
			out = append(out, o.note)
			o.times++
		}
		if o.times < times {
			kept = append(kept, o)
		}
	}
	l.outbox = kept
	return out
}

// Merge takes the notes of another VM. Pass tells to pass on what is news.
func (l *Ledger) Merge(now time.Time, notes []LedgerNote, pass bool) {
	for _, n := range notes {
		if n.Age < 0 || n.Age > l.cfg.Expiry {
			continue
		}
		at := now.Add(-n.Age)
		isNews := false
		if n.Process.ID == "" {
			isNews = l.clear(now, n.Request, at)
		} else if isNews = l.add(now, n.Request, death{n.Process, at, false}); isNews {
			l.step(Step{Kind: StepHeard, Request: n.Request, Process: n.Process, Deaths: len(l.deaths[n.Request]), Age: n.Age})
		}
		if isNews && pass {
			l.tell(LedgerNote{Request: n.Request, Process: n.Process}, at)
		}
	}
}
