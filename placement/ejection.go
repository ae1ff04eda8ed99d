package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// EjectionChange is a change of an instance's ejection, for logs.
type EjectionChange struct {
	ID, Service string
	// Reason is that of the outcome that caused the change. It is empty after an answer.
	Reason verdict.Reason
	// Duration is the time until a trial is due. Zero means that the ejection has ended, after
	// the time Lasted since the last change.
	Duration, Lasted time.Duration
}

// maxEjectionChanges bounds the changes that are kept until they are taken.
const maxEjectionChanges = 256

// EjectionChanges returns the changes since the last call. Beyond a bound, changes are
// dropped.
func (p *Picker) EjectionChanges() []EjectionChange {
	out := p.ejectionChanges
	p.ejectionChanges = nil
	return out
}

// recordEjection records how the ejection of an instance differs from the earlier one,
// which began at the time given.
func (p *Picker) recordEjection(now time.Time, i *instance, before time.Duration, beforeAt time.Time, reason verdict.Reason) {
	if (i.ejection == before && i.ejectedAt.Equal(beforeAt)) || len(p.ejectionChanges) >= maxEjectionChanges {
		return
	}
	c := EjectionChange{ID: i.ID, Service: i.Service, Reason: reason, Duration: i.ejection}
	if before > 0 {
		c.Lasted = now.Sub(beforeAt)
	}
	p.ejectionChanges = append(p.ejectionChanges, c)
}

// noneAvailableError counts, behind a refusal, the instances of a service in a region by what
// kept them from being chosen.
type noneAvailableError struct {
	region string
	// ejected counts the instances whose trial is not due yet, trialDue those whose trial is,
	// and trialPending those at which one is in flight.
	instances, ejected, trialDue, trialPending, replaced, notOpen, excluded int
}

func newNoneAvailableError(now time.Time, group []*instance, r *Request) *noneAvailableError {
	e := &noneAvailableError{region: group[0].Region, instances: len(group)}
	for _, i := range group {
		ejected, trialDue := i.isEjected(now)
		switch {
		case slices.Contains(r.Exclude, i.ID):
			e.excluded++
		case !i.isOpen(now):
			e.notOpen++
		case i.isReplaced:
			e.replaced++
		case trialDue:
			e.trialDue++
		case ejected && i.isTrialPending:
			e.trialPending++
		case ejected:
			e.ejected++
		}
	}
	return e
}

func (e *noneAvailableError) Error() string {
	return fmt.Sprintf("%d instances in %s: %d ejected, %d with a trial due, %d with a trial pending, %d replaced, %d leaving or asked to wait, %d tried",
		e.instances, e.region, e.ejected, e.trialDue, e.trialPending, e.replaced, e.notOpen, e.excluded)
}
