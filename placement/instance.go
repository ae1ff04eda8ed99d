package placement

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/quotalease"
	"github.com/currantferry/currantferry/rendezvous"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// workPercentHalfLife is the age at which the slowness that an instance reported has
	// half its weight. It is short because neighbours on the machine come and go several
	// times a second.
	workPercentHalfLife = 300 * time.Millisecond
	// loadTTL is the age up to which reported requests in flight are considered.
	loadTTL = 2 * time.Second
	// slownessHalfLife is the time after which observed slowness has half its weight.
	slownessHalfLife = 4 * time.Second
	// slownessWeight is the weight of the newest duration in the observed slowness, and
	// maxSlowness bounds the ratio of a single request.
	slownessWeight = 0.15
	maxSlowness    = 10.0
	// peerReportWeight is the weight of a duration that another VM observed.
	peerReportWeight = 0.1
	// minSlowness keeps a few short requests from making an instance look idle.
	minSlowness = 0.5
	// shedTTL is how long an instance that shed a request is considered full.
	shedTTL = 150 * time.Millisecond
	// minEjection and maxEjection bound the time for which a failing instance gets no
	// requests. It doubles with each failed trial.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// flapWindow is the time after a recovery within which a new failure ejects the
	// instance for longer than the last time.
	flapWindow = 10 * time.Second
	// ejectThreshold is the number of consecutive failures that eject an instance whose
	// connections still open.
	ejectThreshold = 2
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is the time after which the failure rate has halved.
	failureHalfLife = 3 * time.Second
)

// instance is this VM's view of an instance.
type instance struct {
	Instance
	hash uint64
	// processID is a hash of the process.
	processID uint64

	// outstanding is the number of this VM's requests in flight.
	outstanding int
	load        Load
	loadAt      time.Time
	// sinceReport is the number of this VM's requests sent since loadAt less those that
	// ended since then.
	sinceReport int
	// isLoadShared says that the load report was gossiped to the other VMs, or came from
	// one of them.
	isLoadShared bool

	// slowness is the smoothed ratio of observed to expected durations.
	slowness float64
	// lastRatio is the ratio of the last request, or zero if that request was not
	// comparable.
	lastRatio  float64
	slownessAt time.Time
	// failures is the smoothed failure rate as of failuresAt.
	failures   float64
	failuresAt time.Time

	shedUntil           time.Time
	consecutiveFailures int
	ejection            time.Duration
	ejectedAt           time.Time
	// lastEjection is the length of the ejection before the last recovery.
	lastEjection time.Duration
	recoveredAt  time.Time
	// isReplaced says that another instance answered at the address, and isReplacedShared
	// that this was gossiped to the other VMs or came from one of them.
	isReplaced, isReplacedShared bool
	// isTrialPending says that a trial request is in flight, which shows whether an
	// ejected instance has recovered.
	isTrialPending bool
	// isUnreachable says that the last failure of an ejected instance was a connection that
	// could not be opened. isConnecting says that a trial connection is in flight, and
	// isConnected that one was opened, after which any request may be the trial.
	isUnreachable, isConnecting, isConnected bool

	// state holds the leaving and wait notices of the process. Nil means none.
	state *availability.State
	// numLeavingSent is the number of digests that announced that the process is leaving.
	numLeavingSent int
	// holding is this VM's tokens for the instance if it names a limit. Nil means none.
	holding *quotalease.Holding
	// numLimitSent is the number of digests that announced the present limit.
	numLimitSent int

	coldTokens float64
	coldAt     time.Time
	// hintedColdUntil is until when the instance is cold by its health path, or zero.
	hintedColdUntil time.Time
	// shadow lists the objects that this VM sent here.
	shadow shadow
}

func newInstance(now time.Time, i Instance) *instance {
	hash := hashOf(i.ID)
	return &instance{
		Instance: i, hash: hash, processID: rendezvous.Mix(hash ^ 3*hashOf(i.Address) ^ uint64(i.StartMillis)),
		slowness: 1, slownessAt: now, failuresAt: now, coldAt: now,
	}
}

// decay returns the remaining weight of a value with the given age and half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// slowdown returns the factor by which work currently takes longer than usual.
func (i *instance) slowdown(now time.Time) float64 {
	reported := 1.0
	if i.load.WorkPercent > 0 {
		reported += (float64(i.load.WorkPercent)/100 - 1) * decay(now.Sub(i.loadAt), workPercentHalfLife)
	}
	observed := 1 + (i.slowness-1)*decay(now.Sub(i.slownessAt), slownessHalfLife)
	return max(reported, observed, minSlowness)
}

// inFlight estimates the requests of all VMs that are queued or running at the
// instance.
func (i *instance) inFlight(now time.Time) int {
	if i.loadAt.IsZero() || now.Sub(i.loadAt) > loadTTL {
		return i.outstanding
	}
	return max(i.outstanding, i.load.Running+i.load.Waiting+i.sinceReport)
}

// wait estimates the queueing time of a new request.
func (i *instance) wait(now time.Time, work time.Duration) time.Duration {
	slots := max(1, i.Slots)
	ahead := i.inFlight(now) + 1 - slots
	if now.Before(i.shedUntil) {
		ahead = max(ahead, slots)
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * float64(work) * i.slowdown(now))
}

// failureRate returns the decayed share of failed requests.
func (i *instance) failureRate(now time.Time) float64 {
	return i.failures * decay(now.Sub(i.failuresAt), failureHalfLife)
}

// isOpen reports whether the process accepts new requests: it has neither announced
// that it is leaving nor asked to wait, and its limit allows one.
func (i *instance) isOpen(now time.Time) bool {
	return !i.state.IsLeaving() && !i.state.IsWaiting(now) && i.hasRoom(now)
}

// process identifies the running process of the instance.
func (i *instance) process() availability.Process { return processOf(&i.Instance) }

func processOf(i *Instance) availability.Process {
	return availability.Process{ID: i.ID, Address: i.Address, StartMillis: i.StartMillis}
}

// isEjected reports whether the instance is ejected, and whether a trial request is due.
func (i *instance) isEjected(now time.Time) (ejected, trialDue bool) {
	if i.ejection == 0 {
		return false, false
	}
	return true, !i.isTrialPending && now.Sub(i.ejectedAt) >= i.ejection
}

// recordSent counts a request that this VM sends.
func (i *instance) recordSent() {
	i.outstanding++
	i.sinceReport++
}

// applyReport stores a load report made at the given time, unless a newer one is known.
func (i *instance) applyReport(at time.Time, load Load) (isNewer bool) {
	if !at.After(i.loadAt) {
		return false
	}
	i.load, i.loadAt, i.sinceReport, i.isLoadShared = load, at, 0, false
	return true
}

// recordOutcome updates the instance's estimates with the outcome of an attempt. The
// attempt was expected to take the time expected, of which work is the usual time
// without queueing. It began at the time given. A trial that was left without an answer
// extends the ejection.
func (i *instance) recordOutcome(now time.Time, o *Outcome, expected, work time.Duration, began time.Time, isTrial bool) {
	i.outstanding--
	i.sinceReport--
	if o.Load != nil {
		// The report was made together with the answer, so it includes all requests that
		// had begun by then.
		i.applyReport(now, *o.Load)
	}
	if o.Cancelled {
		return
	}
	failed, unanswered := o.Failed, false
	switch o.Reason {
	case verdict.ReasonConnectFailed:
		failed, unanswered = true, true
		i.consecutiveFailures = max(i.consecutiveFailures+1, ejectThreshold)
	case verdict.ReasonMisdirected:
		failed = true
		i.markReplaced(now)
	case verdict.ReasonConnectionLost, verdict.ReasonTruncated, verdict.ReasonAnswerMismatch, verdict.ReasonDeadline:
		failed, unanswered = true, true
		i.consecutiveFailures++
	case verdict.ReasonUpstreamRefused:
		i.shedUntil = now.Add(shedTTL)
		i.consecutiveFailures = 0
	default:
		i.consecutiveFailures = 0
	}
	i.updateFailureRate(now, failed)
	if o.Reason == verdict.ReasonMisdirected {
		return
	}
	if unanswered && !isTrial && began.Before(i.knownSince()) {
		// It failed together with those that ejected the instance, and says nothing new.
		i.consecutiveFailures = 0
	}
	isAnswer := o.Verdict == verdict.Ran || o.Reason == verdict.ReasonUpstreamRefused
	switch {
	case i.consecutiveFailures >= ejectThreshold || (unanswered && isTrial):
		i.eject(now, o.Reason == verdict.ReasonConnectFailed)
	case i.ejection > 0 && isAnswer && (!failed || isTrial):
		// Errors that an instance answers never eject it, so they end a trial as well.
		i.readmit(now)
	}
	i.lastRatio = 0
	if o.Verdict == verdict.Ran && expected > 0 {
		if o.Load != nil {
			// A longer queue than expected does not mean that the work itself is slow.
			queued := float64(o.Load.Waiting) / float64(max(o.Load.Slots, i.Slots, 1))
			expected = max(expected, time.Duration((1+queued)*float64(work)))
		}
		i.lastRatio = min(float64(o.Latency)/float64(expected), maxSlowness)
		i.updateSlowness(now, i.lastRatio, slownessWeight)
	}
}

// updateSlowness adds the ratio of an observed to an expected duration to the smoothed
// one.
func (i *instance) updateSlowness(now time.Time, ratio, weight float64) {
	current := 1 + (i.slowness-1)*decay(now.Sub(i.slownessAt), slownessHalfLife)
	i.slowness = current + weight*(ratio-current)
	i.slownessAt = now
}

func (i *instance) updateFailureRate(now time.Time, failed bool) {
	rate := i.failureRate(now)
	seen := 0.0
	if failed {
		seen = 1
	}
	i.failures, i.failuresAt = rate+failureWeight*(seen-rate), now
}

// eject begins an ejection, or extends it after a failed trial.
func (i *instance) eject(now time.Time, isUnreachable bool) {
	if i.ejection == 0 && now.Sub(i.recoveredAt) < flapWindow {
		i.ejection = 2 * i.lastEjection
	}
	longest := maxEjection
	if isUnreachable && !i.isReplaced {
		longest = maxUnreachableEjection
	}
	i.ejection = min(max(2*i.ejection, minEjection), longest)
	i.ejectedAt, i.isTrialPending, i.consecutiveFailures = now, false, 0
	i.isUnreachable, i.isConnected = isUnreachable, false
}

// allowsTrial reports whether a request may be the trial that is due. One that may not run
// twice must have a connection, or go to an address at which another instance refuses it.
func (i *instance) allowsTrial(r *Request) bool { return r.Idempotent || i.isConnected || i.isReplaced }

// endTrial ends the trial of a ticket and reports whether its request is the trial of the
// present ejection.
func (i *instance) endTrial(t *Ticket) bool {
	if i.ejection == 0 || t.trialOf.IsZero() || !t.trialOf.Equal(i.ejectedAt) {
		return false
	}
	i.isTrialPending = false
	return true
}

// knownSince returns when the present ejection began, or the last one ended. Failures of
// attempts that began earlier don't eject the instance again.
func (i *instance) knownSince() time.Time {
	if i.ejection > 0 {
		return i.ejectedAt
	}
	return i.recoveredAt
}

// readmit ends an ejection.
func (i *instance) readmit(now time.Time) {
	i.lastEjection, i.recoveredAt = i.ejection, now
	if i.isUnreachable {
		// Connections that failed say nothing about how it answers.
		i.failures, i.failuresAt = 0, now
	}
	i.ejection, i.isTrialPending, i.isConnected = 0, false, false
	i.isReplaced, i.isReplacedShared = false, false
}

// markReplaced ejects an instance at whose address another instance answered. Its
// process has exited and its record will be removed; until then rare trial requests
// suffice.
func (i *instance) markReplaced(now time.Time) {
	i.isReplaced, i.ejection = true, maxEjection
	i.eject(now, false)
}

// processKey is the short form of processHash for digests. A later process with the
// same ID has another key.
func (i *instance) processKey() InstanceKey { return InstanceKey(i.processID) }

// takeColdToken takes a token for one request from this VM's part of a cold instance's
// rate.
func (i *instance) takeColdToken(now time.Time, rate float64) bool {
	if now.Before(i.coldAt) {
		return false
	}
	i.coldTokens = min(1, i.coldTokens+rate*now.Sub(i.coldAt).Seconds())
	i.coldAt = now
	if i.coldTokens < 1 {
		return false
	}
	i.coldTokens--
	return true
}

// recentTable remembers which instance recently served which object for this VM.
// Entries that collide overwrite each other.
type recentTable struct {
	entries [numRecentEntries]recentEntry
}

type recentEntry struct {
	hash uint64
	at   time.Time
}

const (
	// numRecentEntries times 32 bytes is 128 KB.
	numRecentEntries = 4096
	// recentTTL is how long an instance is assumed to hold an object that it served.
	recentTTL = 30 * time.Second
)

func (t *recentTable) mark(now time.Time, hash uint64) {
	t.entries[hash%numRecentEntries] = recentEntry{hash, now}
}

func (t *recentTable) has(now time.Time, hash uint64) bool {
	e := &t.entries[hash%numRecentEntries]
	return e.hash == hash && now.Sub(e.at) < recentTTL
}
