package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// leavingShare is the part of the time for which an instance that leaves still
	// serves in which it may get requests that nobody else can serve.
	leavingShare = 0.4
	// leavingTurns is how many digests tell that a process leaves: datagrams get lost.
	leavingTurns = 2
	// returnTogether is the time within which instances count as returning together.
	returnTogether = 100 * time.Millisecond
)

// LeavingProcess is a process that leaves, in a digest.
type LeavingProcess struct {
	// Process stands for the process. A process that is mistaken for another would be
	// left for good, so it is longer than an InstanceKey.
	Process uint64
	// Age is how long ago it said so.
	Age time.Duration
}

// Said takes what an instance said about new requests in its answer. It tells whether
// that is news.
func (p *Picker) Said(now time.Time, t *Ticket, w availability.Word) (isNews bool) {
	process := processOf(&t.Instance)
	if w.Leaving {
		isNews = p.said.Leaving(now, now, process, "")
	}
	isNews = p.said.Wait(now, process, w.Wait) || isNews
	// The ticket may be older than the present state of the instance.
	if t.service != nil {
		if i := t.service.instances[t.Instance.ID]; i != nil && i.process() == process {
			i.said = p.said.Of(process)
		}
	}
	return isNews
}

// IsWanted tells whether the instance of a ticket still takes its request.
func (p *Picker) IsWanted(now time.Time, t *Ticket) bool {
	said := p.said.Of(processOf(&t.Instance))
	return !said.IsWaiting(now) && (!said.IsLeaving() || (t.leaving && p.isInLeavingTime(now, said)))
}

// StateOf returns what the instance of a ticket said, or nil.
func (p *Picker) StateOf(t *Ticket) *availability.State { return p.said.Of(processOf(&t.Instance)) }

func (p *Picker) isInLeavingTime(now time.Time, said *availability.State) bool {
	return now.Sub(said.LeavingSince) < time.Duration(leavingShare*float64(p.cfg.DrainFor))
}

// mayServe returns the instances that may serve a request, by ID, but for those whose
// address belongs to another one. The first region goes first.
func (s *service) mayServe(r *Request, first string) []*instance {
	var out []*instance
	for region, group := range s.regions {
		if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
			continue
		}
		for _, i := range group {
			if !i.replaced {
				out = append(out, i)
			}
		}
	}
	slices.SortFunc(out, func(a, b *instance) int {
		if (a.Region == first) != (b.Region == first) {
			if a.Region == first {
				return -1
			}
			return 1
		}
		return compare(a.ID, b.ID)
	})
	return out
}

// notLeft serves a request for which the usual choice found nobody: an instance of any
// region that may serve it and takes new work, or else one that has just begun to leave.
func (p *Picker) notLeft(now time.Time, s *service, r *Request, key uint64) *candidate {
	all := s.mayServe(r, p.cfg.Region)
	if !slices.ContainsFunc(all, func(i *instance) bool { return !i.takesNew(now) }) {
		// Nobody said anything: the usual choice stands.
		return nil
	}
	tried := make(map[string]bool)
	for _, i := range all {
		if i.takesNew(now) && !tried[i.Region] {
			tried[i.Region] = true
			if c, _ := p.pickIn(now, s, r, key, i.Region); c != nil {
				return c
			}
		}
	}
	work := s.work(r.Route)
	var best *candidate
	for _, i := range all {
		out, _ := i.isOut(now)
		if out || i.isCold(now) || !i.said.IsLeaving() || i.said.IsWaiting(now) || !p.isInLeavingTime(now, i.said) || slices.Contains(r.Exclude, i.ID) {
			continue
		}
		if wait := i.wait(now, work); best == nil || wait < best.wait {
			best = &candidate{inst: i, rank: candidates, wait: wait, work: work, cost: wait + work}
		}
	}
	return best
}

// unavailable refuses a request if all instances that may serve it leave or asked to
// wait, and tells when to come back. It returns nil if others are there.
func (p *Picker) unavailable(now time.Time, s *service, r *Request) *verdict.Error {
	var earliest time.Time
	var first string
	slots, leaving := 0, 0
	all := s.mayServe(r, p.cfg.Region)
	for _, i := range all {
		if i.takesNew(now) {
			return nil
		}
		if i.said.IsLeaving() {
			leaving++
			continue
		}
		switch until := i.said.WaitUntil; {
		case earliest.IsZero() || until.Before(earliest):
			earliest, first, slots = until, i.ID, max(1, i.Slots)
		case until.Sub(earliest) < returnTogether:
			slots += max(1, i.Slots)
		}
	}
	if len(all) == 0 {
		return nil
	}
	refusal := verdict.New(verdict.NotRun, verdict.ReasonAskedToWait, defaultRetryAfter)
	refusal.Err = &nobodyTakes{instances: len(all), leaving: leaving, first: first, until: earliest}
	if earliest.IsZero() {
		return refusal
	}
	work := s.work(r.Route)
	rate := float64(slots) / work.Seconds() / float64(max(1, len(p.vms)))
	refusal.RetryAfter = s.returns.Place(earliest, rate, r.Deadline.Add(-work)).Sub(now)
	return refusal
}

// nobodyTakes says what decided for a refusal.
type nobodyTakes struct {
	instances, leaving int
	// first is the instance that returns first, at until. It is empty if none does.
	first string
	until time.Time
}

func (e *nobodyTakes) Error() string {
	if e.first == "" {
		return fmt.Sprintf("all %d instances leave", e.instances)
	}
	return fmt.Sprintf("%d of %d instances leave, the others asked to wait, %s until %s", e.leaving, e.instances, e.first, e.until.Format(time.RFC3339Nano))
}
