package node

import (
	"time"

	"github.com/currantferry/currantferry/balance"
)

// regionTrialInterval is the time between two requests that try a region whose
// instances all refuse connections. Each of these requests costs a retry.
const regionTrialInterval = 200 * time.Millisecond

// refusalTTL is how long a refused connection is remembered. By then the probes, one
// a second of which two must fail, have reported the instance as down or up.
const refusalTTL = 4 * time.Second

// connectRefusals records when the instances of a pool last refused a connection. The
// balancer avoids a minority of failed instances only. When all of them refuse, every
// request would cost a retry until the probes report the region as down, about 2 s
// later, and the retry budget would refuse most requests although another region may
// take them.
type connectRefusals struct {
	refusedAt   map[string]time.Time
	nextTrialAt time.Time
}

// retain drops instances that are no longer in the pool.
func (f *connectRefusals) retain(addresses map[string]string) {
	for id := range f.refusedAt {
		if _, ok := addresses[id]; !ok {
			delete(f.refusedAt, id)
		}
	}
}

// record updates an instance by the outcome of an attempt. Outcomes that do not show
// whether the instance accepts connections change nothing.
func (f *connectRefusals) record(now time.Time, instance string, o balance.Outcome) {
	switch o {
	case balance.ConnectFailed:
		f.refusedAt[instance] = now
	case balance.Answered, balance.Refused:
		delete(f.refusedAt, instance)
	}
}

// allRefusing reports whether all n instances of a pool refuse connections.
func (f *connectRefusals) allRefusing(now time.Time, n int) bool {
	if n == 0 || len(f.refusedAt) < n {
		return false
	}
	for _, at := range f.refusedAt {
		if now.Sub(at) >= refusalTTL {
			return false
		}
	}
	return true
}

// admit reports whether a request may try a pool of n instances. While all of them
// refuse connections, it admits one request per regionTrialInterval.
func (f *connectRefusals) admit(now time.Time, n int) bool {
	if !f.allRefusing(now, n) {
		return true
	}
	if now.Before(f.nextTrialAt) {
		return false
	}
	f.nextTrialAt = now.Add(regionTrialInterval)
	return true
}

// isRefusing reports whether all instances of the pool refuse connections.
func (p *pool) isRefusing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusals.allRefusing(now, len(p.addresses))
}

// isRegionRefusing reports whether all instances of a region refuse connections. The
// caller holds the lock of the selector.
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
