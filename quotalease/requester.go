package quotalease

import "time"

const (
	// failoverTimeout is how long a coordinator may leave requests unanswered before the VM
	// asks the standby. It covers two lost requests inside a region.
	failoverTimeout = 450 * time.Millisecond
	// probeInterval is how often a coordinator that failed is asked again.
	probeInterval = time.Second
	// maxPending bounds the requests whose replies are awaited.
	maxPending = 16
)

// Requester decides which coordinator a VM asks, and matches replies with requests. There is
// one for each list of coordinators.
type Requester struct {
	seq uint64
	// pending holds the unanswered requests, oldest first.
	pending []pendingRequest
	// failed is the coordinator that left requests unanswered, or empty.
	failed   string
	probedAt time.Time
	// votedFor is the coordinator that got the last vote, at the time votedAt.
	votedFor string
	votedAt  time.Time
}

type pendingRequest struct {
	seq uint64
	vm  string
	at  time.Time
}

// Choose returns the coordinator to ask, and another one that is to be probed with an empty
// request, or empty. Coordinators are the first one and its standby, if there is one.
func (r *Requester) Choose(now time.Time, coordinators []string) (ask, probe string) {
	if len(coordinators) == 0 {
		return "", ""
	}
	primary := coordinators[0]
	if r.failed != primary && r.unansweredFor(now, primary) > failoverTimeout {
		r.failed, r.probedAt = primary, now
	}
	if r.failed != primary || len(coordinators) == 1 {
		return primary, ""
	}
	if now.Sub(r.probedAt) >= probeInterval {
		r.probedAt = now
		probe = primary
	}
	return coordinators[1], probe
}

// unansweredFor returns the age of the oldest unanswered request to a coordinator.
func (r *Requester) unansweredFor(now time.Time, vm string) time.Duration {
	for k := range r.pending {
		if r.pending[k].vm == vm {
			return now.Sub(r.pending[k].at)
		}
	}
	return 0
}

// Send records a request and returns its sequence number.
func (r *Requester) Send(now time.Time, vm string) uint64 {
	r.seq++
	r.pending = append(r.pending, pendingRequest{r.seq, vm, now})
	if len(r.pending) > maxPending {
		r.pending = r.pending[1:]
	}
	return r.seq
}

// Vote reports whether a request to a coordinator may count as a vote for it, and records
// the vote. It may not while a vote for another coordinator still counts.
func (r *Requester) Vote(now time.Time, vm string) bool {
	if vm != r.votedFor && !r.votedAt.IsZero() && now.Sub(r.votedAt) < voteTTL+voteMargin {
		return false
	}
	r.votedFor, r.votedAt = vm, now
	return true
}

// Receive records a reply and returns when its request was sent, or false if the reply is a
// duplicate or too old. All earlier requests to that coordinator count as answered.
func (r *Requester) Receive(vm string, seq uint64) (sent time.Time, ok bool) {
	for _, p := range r.pending {
		if p.seq == seq && p.vm == vm {
			sent, ok = p.at, true
		}
	}
	if !ok {
		return sent, false
	}
	kept := r.pending[:0]
	for _, p := range r.pending {
		if p.vm != vm || p.seq > seq {
			kept = append(kept, p)
		}
	}
	r.pending = kept
	if r.failed == vm {
		r.failed = ""
	}
	return sent, true
}

// Failed returns the coordinator that does not answer, or an empty string.
func (r *Requester) Failed() string { return r.failed }

// Window drops requests that were received twice or out of order. The zero value is ready
// for use.
type Window struct {
	last map[string]received
}

type received struct{ boot, seq uint64 }

// maxWindowVMs bounds the VMs that a Window remembers.
const maxWindowVMs = 4096

// Accept reports whether a request of a VM is newer than all before it. A VM that restarted
// has a higher boot and counts from one again.
func (w *Window) Accept(vm string, boot, seq uint64) bool {
	last, known := w.last[vm]
	if known && (boot < last.boot || (boot == last.boot && seq <= last.seq)) {
		return false
	}
	if w.last == nil || (!known && len(w.last) >= maxWindowVMs) {
		w.last = make(map[string]received)
	}
	w.last[vm] = received{boot, seq}
	return true
}
