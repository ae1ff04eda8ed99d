package node

import (
	"time"

	"github.com/currantferry/currantferry/balance"
)

// trialInterval is the time between two requests that try a region whose
// instances all refuse connections. Each of them costs a retry.
const trialInterval = 200 * time.Millisecond

// refusingFor is how long a refused connection counts. By then the probes, one a
// second of which two must fail, have reported the instance as down or as up.
const refusingFor = 4 * time.Second

// refusing keeps when the instances of a pool refused the last connection. The
// balancer avoids a minority of failed instances only. When all of them refuse,
// every request would cost a retry until the probes report the region as down,
// about 2 s later, and the retry budget would refuse most requests although
// another region may take them.
type refusing struct {
	instances map[string]time.Time
	trialAt   time.Time
}

// keep forgets instances that are no longer in the pool.
func (f *refusing) keep(addresses map[string]string) {
	for id := range f.instances {
		if _, ok := addresses[id]; !ok {
			delete(f.instances, id)
		}
	}
}

// note takes the outcome of an attempt. Outcomes that do not tell whether the
// instance accepts connections change nothing.
func (f *refusing) note(now time.Time, instance string, o balance.Outcome) {
	switch o {
	case balance.ConnectFailed:
		f.instances[instance] = now
	case balance.Answered, balance.Refused:
		delete(f.instances, instance)
	}
}

// all tells whether all n instances of a pool refuse connections.
func (f *refusing) all(now time.Time, n int) bool {
	if n == 0 || len(f.instances) < n {
		return false
	}
	for _, at := range f.instances {
		if now.Sub(at) >= refusingFor {
			return false
		}
	}
	return true
}

// admit tells whether a request may try a pool of n instances.
func (f *refusing) admit(now time.Time, n int) bool {
	if !f.all(now, n) {
		return true
	}
	if now.Before(f.trialAt) {
		return false
	}
	f.trialAt = now.Add(trialInterval)
	return true
}

// isRefusing tells whether all instances of the pool refuse connections.
func (p *pool) isRefusing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusing.all(now, len(p.addresses))
}

// isRegionRefusing tells whether all instances of a region refuse connections. The
// caller holds the lock.
func (s *selector) isRegionRefusing(now time.Time, region string) bool {
	found := false
	for key, p := range s.pools {
		if key.region != region || p.isEmpty() {
			continue
		}
		if !p.isRefusing(now) {
			return false
		}
		found = true
	}
	return found
}

func (p *pool) isEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.addresses) == 0
}
