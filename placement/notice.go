package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// leavingServeFraction is the part of DrainTime in which a leaving instance may still
	// get requests that no other instance can serve.
	leavingServeFraction = 0.4
	// maxLeavingSends is the number of digests to each VM that announce a leaving process. It
	// is more than one because datagrams get lost.
	maxLeavingSends = 2
	// returnWindow is the time after the first return within which other instances are
	// considered to return with it.
	returnWindow = 100 * time.Millisecond
)

// LeavingProcess is an entry of a digest for a process that is leaving.
type LeavingProcess struct {
	// Process is the hash of the process. It is wider than an InstanceKey because a
	// process that is mistaken for a leaving one would never be used again.
	Process uint64
	// Age is the time since the process sent its leaving notice.
	Age time.Duration
}

// ApplyNotice applies the notice in an instance's answer. It reports whether the notice
// changed what is known about the process.
func (p *Picker) ApplyNotice(now time.Time, t *Ticket, notice availability.Notice) (isNew bool) {
	process := processOf(&t.Instance)
	if notice.Leaving {
		isNew = p.notices.RecordLeaving(now, now, process, "")
	}
	isNew = p.notices.RecordWait(now, process, notice.Wait) || isNew
	isNew = p.applyLimit(now, t, process, &notice) || isNew
	// The instance may have been replaced by another process since the ticket was issued.
	if t.service != nil {
		if i := t.service.instances[t.Instance.ID]; i != nil && i.process() == process {
			i.state = p.notices.Of(process)
			if isNew {
				i.numLimitSent = 0
				t.service.updateLimited()
			}
		}
	}
	return isNew
}

// CanSend reports whether the instance of a ticket still accepts its request.
func (p *Picker) CanSend(now time.Time, t *Ticket) bool {
	state := p.notices.Of(processOf(&t.Instance))
	if state.IsWaiting(now) {
		return false
	}
	if t.inst != nil && !t.isCold && t.inst.isCold(now) {
		// The request is none of those that a cold instance tolerates.
		return false
	}
	if state.IsLeaving() && (!t.isLeaving || !p.canServeWhileLeaving(now, state)) {
		return false
	}
	if state.IsLimited() && !t.hasToken {
		// The request was picked before the limit was known.
		t.hasToken = t.inst != nil && t.inst.process() == processOf(&t.Instance) && t.inst.takeToken(now)
		return t.hasToken
	}
	return true
}

// StateOf returns the notices of the ticket's instance, or nil if there are none.
func (p *Picker) StateOf(t *Ticket) *availability.State { return p.notices.Of(processOf(&t.Instance)) }

func (p *Picker) canServeWhileLeaving(now time.Time, state *availability.State) bool {
	return now.Sub(state.LeavingSince) < time.Duration(leavingServeFraction*float64(p.cfg.DrainTime))
}

// eligible returns the instances that may serve a request, without replaced ones. Those
// of the preferred region come first, and each part is sorted by ID.
func (s *service) eligible(r *Request, preferred string) []*instance {
	var out []*instance
	for region, group := range s.regions {
		if !r.allows(region) {
			continue
		}
		for _, i := range group {
			if !i.isReplaced {
				out = append(out, i)
			}
		}
	}
	slices.SortFunc(out, func(a, b *instance) int {
		if (a.Region == preferred) != (b.Region == preferred) {
			if a.Region == preferred {
				return -1
			}
			return 1
		}
		return compareIDs(a.ID, b.ID)
	})
	return out
}

// pickFallback picks an instance when the regular choice found none. It returns an
// instance of any eligible region that accepts new work, or else one that has only just
// begun to leave.
func (p *Picker) pickFallback(now time.Time, s *service, r *Request, key uint64) *candidate {
	all := s.eligible(r, p.cfg.Region)
	if !slices.ContainsFunc(all, func(i *instance) bool { return !i.isOpen(now) }) {
		// Without any notices the result of the regular choice stands.
		return nil
	}
	tried := make(map[string]bool)
	for _, i := range all {
		if p.isOpenFor(now, i, r) && !tried[i.Region] {
			tried[i.Region] = true
			if c, _ := p.pickIn(now, s, r, key, i.Region); c != nil {
				return c
			}
		}
	}
	work := s.expectedWork(r.Route)
	var best *candidate
	for _, i := range all {
		ejected, _ := i.isEjected(now)
		if ejected || i.isCold(now) || !i.state.IsLeaving() || i.state.IsWaiting(now) || !i.hasRoom(now) || !p.canServeWhileLeaving(now, i.state) || slices.Contains(r.Exclude, i.ID) {
			continue
		}
		if wait := i.wait(now, work); best == nil || wait < best.wait {
			best = &candidate{inst: i, rank: maxCandidates, wait: wait, work: work, cost: wait + work}
		}
	}
	return best
}

// unavailableError returns a refusal with a Retry-After if all instances that may serve
// a request are leaving or asked to wait. It returns nil if any instance accepts
// requests.
func (p *Picker) unavailableError(now time.Time, s *service, r *Request) *verdict.Error {
	var earliest time.Time
	var first string
	slots, numLeaving := 0, 0
	all := s.eligible(r, p.cfg.Region)
	for _, i := range all {
		if p.isOpenFor(now, i, r) {
			return nil
		}
		if i.state.IsLeaving() {
			numLeaving++
			continue
		}
		switch until := i.state.WaitUntil; {
		case earliest.IsZero() || until.Before(earliest):
			earliest, first, slots = until, i.ID, max(1, i.Slots)
		case until.Sub(earliest) < returnWindow:
			slots += max(1, i.Slots)
		}
	}
	if len(all) == 0 {
		return nil
	}
	if e := p.limitError(now, s, r, all); e != nil {
		return e
	}
	refusal := verdict.New(verdict.NotRun, verdict.ReasonAskedToWait, defaultRetryAfter)
	refusal.Err = &allUnavailableError{numInstances: len(all), numLeaving: numLeaving, first: first, until: earliest}
	if earliest.IsZero() {
		return refusal
	}
	work := s.expectedWork(r.Route)
	rate := float64(slots) / work.Seconds() / float64(p.sharers())
	refusal.RetryAfter = s.returns.Place(earliest, rate, r.Deadline.Add(-work)).Sub(now)
	return refusal
}

// allUnavailableError holds the state of the instances behind a refusal.
type allUnavailableError struct {
	numInstances, numLeaving int
	// first is the instance that returns first, at the time until. It is empty if none
	// returns.
	first string
	until time.Time
}

func (e *allUnavailableError) Error() string {
	if e.first == "" {
		return fmt.Sprintf("all %d instances are leaving", e.numInstances)
	}
	return fmt.Sprintf("%d of %d instances are leaving, the others asked to wait, %s is the first to return, at %s", e.numLeaving, e.numInstances, e.first, e.until.Format(time.RFC3339Nano))
}
