package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

const (
	// maxUnreachableEjection bounds the time between two trial connections to an instance that
	// can't be reached. It is shorter than maxEjection because a trial connection costs no
	// caller anything.
	maxUnreachableEjection = 2 * time.Second
	// trialTime is about the time from when a trial is due until its result is known: a tick
	// and a round trip to another region.
	trialTime = 250 * time.Millisecond
	// maxTrialConnections bounds the trial connections in flight.
	maxTrialConnections = 8
)

// TrialConnection names an ejected instance to which a connection is opened, to find out
// whether it can be reached again. Each is ended by EndTrialConnection.
type TrialConnection struct {
	Address string
	inst    *instance
	// ejectedAt identifies the ejection.
	ejectedAt time.Time
}

// TrialConnections returns the connections that are due: one to each ejected instance whose
// ejection time is over. A request that may not run twice is no trial of an instance that may
// not answer, so without these connections an instance that gets no other requests would
// stay ejected.
func (p *Picker) TrialConnections(now time.Time) []TrialConnection {
	var due []TrialConnection
	for _, s := range p.services {
		for _, i := range s.instances {
			if _, trialDue := i.isEjected(now); !trialDue || i.isConnecting || i.isConnected || i.isReplaced || !i.isOpen(now) {
				continue
			}
			due = append(due, TrialConnection{i.Address, i, i.ejectedAt})
		}
	}
	// The instances that have waited for longest come first.
	slices.SortFunc(due, func(a, b TrialConnection) int {
		return cmp.Or(a.ejectedAt.Compare(b.ejectedAt), compareIDs(a.inst.ID, b.inst.ID))
	})
	due = due[:min(len(due), maxTrialConnections-p.numTrialConnections)]
	for k := range due {
		due[k].inst.isConnecting = true
	}
	p.numTrialConnections += len(due)
	return due
}

// ConnectionResult is the result of a trial connection.
type ConnectionResult uint8

const (
	// ConnectionUnknown connections show nothing about the instance.
	ConnectionUnknown ConnectionResult = iota
	// ConnectionOpened connections were accepted at the address of the instance.
	ConnectionOpened
	// ConnectionFailed connections could not be opened although this VM reaches others.
	ConnectionFailed
)

// EndTrialConnection records the result of a trial connection. An instance that was ejected
// because it could not be reached gets requests again once it is; one that left requests
// without an answer first gets a single request, of any kind.
func (p *Picker) EndTrialConnection(now time.Time, c *TrialConnection, result ConnectionResult) {
	p.numTrialConnections--
	i := c.inst
	i.isConnecting = false
	if i.ejection == 0 || !i.ejectedAt.Equal(c.ejectedAt) {
		return
	}
	before, beforeAt := i.ejection, i.ejectedAt
	switch result {
	case ConnectionOpened:
		if !i.isUnreachable {
			i.isConnected = true
			return
		}
		i.readmit(now)
		p.recordEjection(now, i, before, beforeAt, "")
	case ConnectionFailed:
		i.eject(now, true)
		p.recordEjection(now, i, before, beforeAt, verdict.ReasonConnectFailed)
	}
}

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

// untilTrial returns when the caller of a request may come back that found all instances of a
// group ejected: once the first of them that it has not tried has been tried.
func untilTrial(now time.Time, group []*instance, r *Request) time.Duration {
	after := maxRetryAfter
	known := false
	for _, i := range group {
		if i.ejection > 0 && !i.isReplaced && !slices.Contains(r.Exclude, i.ID) {
			known = true
			after = min(after, i.ejectedAt.Add(i.ejection).Sub(now)+trialTime)
		}
	}
	if !known {
		return defaultRetryAfter
	}
	return max(after, minRetryAfter)
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
