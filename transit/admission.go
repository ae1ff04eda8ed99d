package transit

import "time"

const (
	// admissionWindow is the time for which a VM may exceed its capacity.
	admissionWindow = 200 * time.Millisecond
	// reservePerPriority is the part of the bucket that is kept from requests for each step
	// of their priority, so that the less urgent are refused first. maxReserve bounds it.
	reservePerPriority = 0.15
	maxReserve         = 0.6
)

// Admission decides which requests of other VMs a VM takes over beside those of its own
// callers. It is a token bucket that is filled at the VM's capacity.
type Admission struct {
	capacity, tokens float64
	at               time.Time
}

// NewAdmission returns an Admission for a VM that can handle capacity requests per second.
// Zero means that the capacity is unknown: all requests are admitted.
func NewAdmission(capacity float64) *Admission { return &Admission{capacity: capacity} }

func (a *Admission) size() float64 { return max(1, a.capacity*admissionWindow.Seconds()) }

func (a *Admission) refill(now time.Time) {
	if a.at.IsZero() {
		a.tokens = a.size()
	} else {
		a.tokens = min(a.size(), a.tokens+a.capacity*now.Sub(a.at).Seconds())
	}
	a.at = now
}

// RecordOwn records a request of an own caller, which is always admitted.
func (a *Admission) RecordOwn(now time.Time) {
	a.refill(now)
	a.tokens = max(a.tokens-1, -a.size())
}

// Admit reports whether the VM takes over a request of another VM. Priority 0 is the most
// urgent.
func (a *Admission) Admit(now time.Time, priority int) bool {
	if a.capacity <= 0 {
		return true
	}
	a.refill(now)
	if a.tokens < 1+min(reservePerPriority*float64(max(priority, 0)), maxReserve)*(a.size()-1) {
		return false
	}
	a.tokens--
	return true
}
