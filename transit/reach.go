// Package transit decides whether a VM can reach the upstream instances, and through which
// other VM it passes requests on while it cannot. All instances failing at once says
// something about this VM's links, not about the instances. Passing requests on helps only
// if the links to other VMs work better, so these are probed at the same time.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for
// concurrent use.
package transit

import (
	"maps"
	"slices"
	"time"
)

// State is whether a VM can reach instances.
type State uint8

const (
	// Reachable means that instances answer, or that nothing suggests otherwise.
	Reachable State = iota
	// Suspected means that no instance has answered since a failure or for a while.
	Suspected
	// Isolated means that no instance can be reached, though other VMs can.
	Isolated
	// Returning means that instances answer again and requests return to them gradually.
	Returning
)

func (s State) String() string {
	return [...]string{"reachable", "suspected", "isolated", "returning"}[s]
}

const (
	// DefaultSilence is how long no instance may answer, while an answer or a connection is
	// awaited, until connections are probed. It exceeds the round trip between regions
	// several times; slow work alone makes a VM with little traffic probe.
	DefaultSilence = 400 * time.Millisecond
	// DefaultProbeTimeout bounds a probe: two round trips between regions.
	DefaultProbeTimeout = 250 * time.Millisecond
	// DefaultSlowProbeTimeout bounds a probe while this VM's link may be congested. It is the
	// time that a request waits for a new connection (upstream.DefaultDialTimeout): one that
	// takes longer serves no request.
	DefaultSlowProbeTimeout = 500 * time.Millisecond
	// DefaultSlowSilence is how long no instance may answer, while an answer or a connection
	// is awaited, until connections to other VMs that open late are proof that the link to
	// them works better. Instances go on answering over congested links.
	DefaultSlowSilence = 5 * time.Second
	// DefaultProbeInterval is the time between two probes of an isolated VM.
	DefaultProbeInterval = 400 * time.Millisecond
	// DefaultRamp is the time over which requests return to the instances.
	DefaultRamp = time.Second
	// DefaultMaxRamp bounds that time for a VM that was isolated again soon after its return.
	DefaultMaxRamp = 8 * time.Second
	// flapWindow is the time after a return within which a new isolation counts as a flap.
	flapWindow = 10 * time.Second
	// failureTTL is how long the failure of an instance counts. minFailed is the number of
	// instances that must fail before connections are probed.
	failureTTL = 2 * time.Second
	minFailed  = 2
	// numTargets is the number of instances that are probed at once, and numTargetsAgain that
	// after a round of probes failed. A VM is isolated only if minUnreachable fail, or all
	// that there are: a third of them may be gone.
	numTargets      = 3
	numTargetsAgain = 6
	minUnreachable  = 1 + numTargetsAgain
	// numControls is the number of other VMs that are probed together with instances. Two of
	// them may be gone.
	numControls = 3
	// minRoundsReached is the number of rounds in a row in which another VM must accept a
	// connection in time to prove that this VM's link works while instances answer.
	minRoundsReached = 4
	// congestionTTL is how long this VM's link counts as congested after a round of probes
	// that nobody answered in time.
	congestionTTL = 2 * time.Second
	// numReturnContacts is the number of connections that an isolated VM must open.
	numReturnContacts = 2
)

// controlShare is the part of DefaultProbeTimeout within which another VM must accept a connection
// that is opened together with those to instances. Beyond it both are slow. A round trip to
// another region takes 0.44 of it.
const controlShare = 0.6

// ProbeResult is how a probe ended.
type ProbeResult uint8

const (
	// ProbeLate probes got no answer within their bound.
	ProbeLate ProbeResult = iota
	// ProbeOpened probes opened a connection.
	ProbeOpened
	// ProbeRefused probes were refused or reset, which congestion does not do.
	ProbeRefused
	// ProbeNotSent probes were not sent for want of a free connection, and show nothing.
	ProbeNotSent
)

// Round is a round of probes that are sent at once.
type Round struct {
	// Targets are the instances. RecordProbe must be called for each.
	Targets []string
	// NumControls is the number of other VMs. RecordControl must be called for each.
	NumControls int
}

// Config configures a Reach. Zero values select the defaults.
type Config struct {
	Silence, ProbeTimeout, SlowProbeTimeout, SlowSilence, ProbeInterval, Ramp, MaxRamp time.Duration
	// Random returns random numbers in [0, 1). Default 0.5.
	Random func() float64
}

func (c *Config) setDefaults() {
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&c.Silence, DefaultSilence},
		{&c.ProbeTimeout, DefaultProbeTimeout},
		{&c.SlowProbeTimeout, DefaultSlowProbeTimeout},
		{&c.SlowSilence, DefaultSlowSilence},
		{&c.ProbeInterval, DefaultProbeInterval},
		{&c.Ramp, DefaultRamp},
		{&c.MaxRamp, DefaultMaxRamp},
	} {
		if *d.value <= 0 {
			*d.value = d.defaultValue
		}
	}
	if c.Random == nil {
		c.Random = func() float64 { return 0.5 }
	}
}

// Reach observes whether a VM can reach instances, which are known by their addresses.
// Connections may live on while new ones are refused, so only a new connection proves that
// instances can be reached.
type Reach struct {
	cfg     Config
	state   State
	stateAt time.Time
	// awaitingSince is when the first request or connection attempt since the last sign of
	// life began, or zero. numAwaiting counts them.
	awaitingSince time.Time
	numAwaiting   int
	// failedAt holds when instances failed since a connection was opened last.
	failedAt map[string]time.Time
	// refusedAt holds when instances refused probes since then.
	refusedAt map[string]time.Time
	// answeredAt is when an instance answered last. aliveAt holds the last sign of life of each instance.
	answeredAt time.Time
	aliveAt    map[string]time.Time
	// connectedAt is when a connection was opened last.
	connectedAt time.Time
	// numConnected is the number of connections that an isolated VM opened since all probes
	// of a round failed.
	numConnected int
	// numProbing is the number of probes in progress, and probedAt when they began.
	numProbing int
	probedAt   time.Time
	// roundSize is their number, and roundSucceeded says that one of them succeeded.
	roundSize      int
	roundSucceeded bool
	// numControls is the number of other VMs of the round, and numControlsFast that of those
	// that accepted a connection in time. isControlOpen says that one of them did at all, and
	// isAnyFast that an instance or another VM accepted or refused one in time.
	numControls, numControlsFast int
	isControlOpen, isAnyFast     bool
	// numRoundsReached is the number of rounds in a row in which another VM accepted a
	// connection in time and no instance did at all.
	numRoundsReached int
	// congestedAt is when a round ended last in which nobody answered in time, and
	// isCongested says that none did since.
	congestedAt time.Time
	isCongested bool
	// numPeers is the number of other VMs that are known.
	numPeers int
	// roundFailedAt is when none of several instances that were probed at once could be
	// reached last.
	roundFailedAt time.Time
	// numInstances is the number of known instances.
	numInstances int
	ramp         time.Duration
	// returnedAt is when the VM reached instances again after it was isolated last.
	returnedAt time.Time
}

// NewReach returns a Reach in state Reachable.
func NewReach(cfg Config) *Reach {
	cfg.setDefaults()
	return &Reach{cfg: cfg, failedAt: make(map[string]time.Time), refusedAt: make(map[string]time.Time), aliveAt: make(map[string]time.Time), ramp: cfg.Ramp}
}

// State returns the present state, and since when it lasts.
func (r *Reach) State() (State, time.Time) { return r.state, r.stateAt }

// ProbeTimeout returns the bound of a probe, unless ExtendsRound.
func (r *Reach) ProbeTimeout() time.Duration { return r.cfg.ProbeTimeout }

// SlowProbeTimeout returns the bound of a probe if ExtendsRound.
func (r *Reach) SlowProbeTimeout() time.Duration { return r.cfg.SlowProbeTimeout }

func (r *Reach) setState(now time.Time, s State) { r.state, r.stateAt = s, now }

// RecordAttempt records that a request is written to an instance, or a connection to it
// is opened.
func (r *Reach) RecordAttempt(now time.Time) {
	if r.numAwaiting++; r.awaitingSince.IsZero() {
		r.awaitingSince = now
	}
}

// RecordAnswer records bytes from an instance.
func (r *Reach) RecordAnswer(now time.Time, instance string) {
	r.aliveAt[instance], r.answeredAt = now, now
	r.awaitingSince, r.numAwaiting = time.Time{}, 0
	if r.state == Suspected && len(r.failedAt) == 0 {
		r.setState(now, Reachable)
	}
}

// RecordConnected records that an instance accepted a new connection.
func (r *Reach) RecordConnected(now time.Time, instance string) {
	r.aliveAt[instance] = now
	r.awaitingSince, r.numAwaiting = time.Time{}, 0
	r.connectedAt = now
	clear(r.failedAt)
	clear(r.refusedAt)
	switch r.state {
	case Suspected:
		r.setState(now, Reachable)
	case Isolated:
		if r.numConnected++; r.numConnected >= numReturnContacts {
			r.setState(now, Returning)
			r.returnedAt = now
		}
	}
}

// RecordFailure records that a connection to an instance could not be opened or was lost,
// and since when. A single instance that fails is no reason to doubt the VM's links, nor
// is a failure that began before a connection was opened.
func (r *Reach) RecordFailure(now, since time.Time, instance string) {
	if since.Before(r.connectedAt) {
		return
	}
	for _, failures := range []map[string]time.Time{r.failedAt, r.refusedAt} {
		maps.DeleteFunc(failures, func(_ string, at time.Time) bool { return now.Sub(at) > failureTTL })
	}
	r.failedAt[instance] = now
	if (r.state == Reachable || r.state == Returning) && len(r.failedAt) >= min(minFailed, max(r.numInstances, 1)) {
		r.suspect(now)
	}
}

func (r *Reach) suspect(now time.Time) {
	r.setState(now, Suspected)
	r.probedAt = time.Time{}
}

// RecordProbe records the end of a probe. The connection that a successful one opened is
// recorded as any other.
func (r *Reach) RecordProbe(now time.Time, instance string, result ProbeResult) {
	r.numProbing--
	if result == ProbeOpened || result == ProbeRefused {
		r.recordFast(now)
	}
	switch result {
	case ProbeOpened:
		r.roundSucceeded = true
	case ProbeNotSent:
		r.roundSize--
	default:
		r.RecordFailure(now, r.probedAt, instance)
	}
	if result == ProbeRefused && !r.probedAt.Before(r.connectedAt) {
		r.refusedAt[instance] = now
	}
	if r.numProbing == 0 {
		r.endRound(now)
	}
}

// RecordControl records the end of a connection to another VM that was opened together with a
// round of probes, which began at the time given.
func (r *Reach) RecordControl(now, began time.Time, result ProbeResult) {
	if !began.Equal(r.probedAt) {
		return
	}
	if result == ProbeOpened || result == ProbeRefused {
		r.recordFast(now)
	}
	if result != ProbeOpened {
		return
	}
	r.isControlOpen = true
	if r.isFast(now) {
		r.numControlsFast++
		if r.numProbing == 0 && !r.roundSucceeded {
			// The instances refused connections before the other VM accepted one.
			r.conclude(now)
		}
	}
}

// isFast reports whether what is answered now in the present round is answered in time.
func (r *Reach) isFast(now time.Time) bool {
	return now.Sub(r.probedAt) <= time.Duration(controlShare*float64(r.cfg.ProbeTimeout))
}

// recordFast ends congestion if an instance or another VM has answered in time.
func (r *Reach) recordFast(now time.Time) {
	if r.isFast(now) {
		r.isAnyFast, r.isCongested = true, false
	}
}

// ExtendsRound reports, when ProbeTimeout is over, whether the probes in progress are given up to
// SlowProbeTimeout: this VM's link may be congested, as connections to other VMs open late as
// well or an instance has answered meanwhile.
func (r *Reach) ExtendsRound() bool {
	return r.numProbing > 0 && !r.roundSucceeded && r.numControls > 0 && (r.numControlsFast == 0 || r.answeredAt.After(r.probedAt))
}

// isOthersReached reports whether the links to other VMs work at the time of the present round
// of probes. One VM that accepts a connection in time is enough, unless an instance has answered
// during the round: the link is then more likely full, and a single connection may open fast by
// chance. It does not do so in minRoundsReached rounds in a row, while the other VMs may be gone.
func (r *Reach) isOthersReached() bool {
	if r.answeredAt.After(r.probedAt) && r.numRoundsReached < minRoundsReached {
		return r.numControlsFast == r.numControls
	}
	return r.numControlsFast > 0
}

// endRound ends a round of probes.
func (r *Reach) endRound(now time.Time) {
	if r.numControls > 0 && !r.isAnyFast && !r.isFast(now) {
		r.isCongested, r.congestedAt = true, now
	}
	if r.roundSucceeded {
		r.numRoundsReached = 0
		return
	}
	if r.numControlsFast > 0 {
		r.numRoundsReached++
	} else {
		r.numRoundsReached = 0
	}
	r.numConnected = 0
	if r.roundSize > 1 {
		r.RecordRoundFailure(now)
	}
	r.conclude(now)
	if r.state == Suspected && r.numControls > 0 && r.numControlsFast == 0 && !r.isFast(now) {
		// Connections that open late say nothing about instances, except those that refused.
		clear(r.failedAt)
		maps.Copy(r.failedAt, r.refusedAt)
	}
}

// conclude decides at the end of a round in which no instance accepted a connection whether
// this VM is isolated.
func (r *Reach) conclude(now time.Time) {
	if r.state != Suspected {
		return
	}
	needed := minUnreachable
	if len(r.aliveAt) < numTargets {
		// No instances are known to have been alive, so the probes were drawn blindly.
		needed += numTargetsAgain
	}
	failures := r.refusedAt
	if r.numPeers == 0 || (r.numControls > 0 && r.isOthersReached()) {
		failures = r.failedAt
	}
	isSilent := r.isControlOpen && r.roundSize >= min(numTargetsAgain, r.numInstances) &&
		!r.awaitingSince.IsZero() && now.Sub(r.awaitingSince) >= r.cfg.SlowSilence
	if len(failures) >= min(needed, r.numInstances) || isSilent {
		r.isolate(now)
	}
}

func (r *Reach) isolate(now time.Time) {
	if !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < flapWindow {
		r.ramp = min(2*r.ramp, r.cfg.MaxRamp)
	} else {
		r.ramp = r.cfg.Ramp
	}
	r.setState(now, Isolated)
	r.numConnected = 0
}

// Tick advances the state, and returns what to probe now. numPeers is the number of other
// VMs that are known.
func (r *Reach) Tick(now time.Time, instances []string, numPeers int) Round {
	r.numInstances, r.numPeers = len(instances), numPeers
	r.forgetGone(instances)
	switch r.state {
	case Reachable:
		if r.awaitingSince.IsZero() || now.Sub(r.awaitingSince) < r.cfg.Silence {
			return Round{}
		}
		r.suspect(now)
	case Returning:
		if now.Sub(r.stateAt) >= r.ramp {
			r.setState(now, Reachable)
		}
		return Round{}
	}
	if r.numProbing > 0 || len(instances) == 0 || (!r.probedAt.IsZero() && now.Sub(r.probedAt) < r.probeInterval()) {
		return Round{}
	}
	count := numTargets
	switch {
	case r.state == Isolated:
	case !r.probedAt.IsZero():
		count = numTargetsAgain
	case len(r.failedAt) == 0 && r.numAwaiting < numTargets:
		// Nothing but the silence of a few requests raised the suspicion.
		count = 1
	}
	targets := r.drawTargets(instances, count)
	r.numProbing, r.roundSize, r.probedAt, r.roundSucceeded = len(targets), len(targets), now, false
	r.numControls, r.numControlsFast, r.isControlOpen, r.isAnyFast = 0, 0, false, false
	if len(targets) > 1 || len(targets) == len(instances) {
		// The failure of one of several instances decides nothing.
		r.numControls = min(numControls, numPeers)
	}
	return Round{Targets: targets, NumControls: r.numControls}
}

// probeInterval returns the time between two rounds of probes.
func (r *Reach) probeInterval() time.Duration {
	if r.state == Suspected || r.numConnected > 0 {
		return r.cfg.ProbeTimeout / 5
	}
	// VMs that were isolated together don't return together.
	return time.Duration((0.75 + r.cfg.Random()/2) * float64(r.cfg.ProbeInterval))
}

// drawTargets draws instances to probe: those that have not failed lately first, and of
// these the ones that showed a sign of life last.
func (r *Reach) drawTargets(instances []string, count int) []string {
	shuffled := slices.Clone(instances)
	for k := range shuffled {
		other := k + int(r.cfg.Random()*float64(len(shuffled)-k))
		shuffled[k], shuffled[other] = shuffled[other], shuffled[k]
	}
	slices.SortStableFunc(shuffled, func(a, b string) int {
		if hasFailed := !r.failedAt[a].IsZero(); hasFailed != !r.failedAt[b].IsZero() {
			if hasFailed {
				return 1
			}
			return -1
		}
		return r.aliveAt[b].Compare(r.aliveAt[a])
	})
	return shuffled[:min(count, len(shuffled))]
}

// forgetGone drops what is known of instances that are no longer listed.
func (r *Reach) forgetGone(instances []string) {
	if len(r.aliveAt) <= 2*len(instances) {
		return
	}
	kept := make(map[string]time.Time, len(instances))
	for _, id := range instances {
		if at, ok := r.aliveAt[id]; ok {
			kept[id] = at
		}
	}
	r.aliveAt = kept
}

// PassesOn reports whether the next request is passed on to another VM. While requests
// return, a falling share of them is.
func (r *Reach) PassesOn(now time.Time) bool {
	switch r.state {
	case Isolated:
		return true
	case Returning:
		return r.cfg.Random() >= float64(now.Sub(r.stateAt))/float64(r.ramp)
	default:
		return false
	}
}

// IsDoubtful reports whether instances failed recently and none has accepted a connection
// since, so that this VM may reach only some of them. While its link is congested, failures
// are no reason to pass requests on.
func (r *Reach) IsDoubtful(now time.Time) bool {
	if r.IsCongested(now) {
		return false
	}
	for _, at := range r.failedAt {
		if now.Sub(at) <= failureTTL {
			return true
		}
	}
	return r.state == Suspected
}

// IsCongested reports whether this VM's link is congested, or cut from everything: in the last
// round of probes nobody answered in time, neither instances nor other VMs.
func (r *Reach) IsCongested(now time.Time) bool {
	return r.isCongested && now.Sub(r.congestedAt) < congestionTTL
}

// WasCongested reports whether this VM's link was congested at some time since then, so that
// connections opened late whatever state the instances were in.
func (r *Reach) WasCongested(now, since time.Time) bool {
	return since.Before(r.congestedAt) || r.IsCongested(now)
}

// RecordRoundFailure records that none of several instances could be reached.
func (r *Reach) RecordRoundFailure(now time.Time) { r.roundFailedAt = now }

// RoundFailedAt returns when none of several instances could be reached last, or zero. It
// is a reason not to count what failed before as a fault of instances, but, unlike
// isolation, none to pass requests on.
func (r *Reach) RoundFailedAt() time.Time { return r.roundFailedAt }

// WasIsolated reports whether this VM was isolated at some time since then, so that the
// connections of that time may have been lost by its own links.
func (r *Reach) WasIsolated(since time.Time) bool {
	return r.state == Isolated || since.Before(r.returnedAt)
}
