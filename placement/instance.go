package placement

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/rendezvous"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// loadHalf is the age at which the reported slowness of an instance counts
	// half: neighbours on its machine come and go several times a second.
	loadHalf = 300 * time.Millisecond
	// loadKeep is how long reported requests in flight count.
	loadKeep = 2 * time.Second
	// slownessHalf is the time after which observed slowness counts half.
	slownessHalf = 4 * time.Second
	// slownessWeight is the weight of the newest duration in the observed slowness,
	// slownessMost bounds what one request can show.
	slownessWeight = 0.15
	slownessMost   = 10.0
	// heardWeight is the weight of a duration that another VM observed.
	heardWeight = 0.1
	// slownessLeast keeps a few short requests from making an instance look idle.
	slownessLeast = 0.5
	// shedFor is how long an instance that shed a request counts as full.
	shedFor = 150 * time.Millisecond
	// ejectFirst and ejectMost bound the time for which a failing instance gets
	// no requests; it doubles with each failed trial.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 8 * time.Second
	// flapMemory is how long after its recovery an instance that fails again is
	// ejected for longer than the time before.
	flapMemory = 10 * time.Second
	// ejectAfter is the number of failures in a row that eject an instance whose
	// connections open.
	ejectAfter = 2
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.2
	// failureHalf is the time after which the failure rate counts half.
	failureHalf = 3 * time.Second
)

// instance is what this VM knows about an instance.
type instance struct {
	Instance
	hash uint64

	// outstanding are this VM's requests in flight.
	outstanding int
	load        Load
	loadAt      time.Time
	// sinceReport is this VM's requests sent less those ended since loadAt.
	sinceReport int
	// told says that the report was handed to the other VMs, or came from one.
	told bool

	// slowness is the smoothed ratio of observed to expected durations.
	slowness float64
	// ratio is that of the last duration, or zero where it says nothing.
	ratio      float64
	slownessAt time.Time
	failures   float64
	failuresAt time.Time

	shedUntil time.Time
	inRow     int
	ejectFor  time.Duration
	ejectedAt time.Time
	// lastEject is how long the instance was ejected before it recovered.
	lastEject   time.Duration
	recoveredAt time.Time
	// replaced says that another instance answered at the address; toldReplaced
	// that the other VMs were told so, or told this one.
	replaced, toldReplaced bool
	// trial says that a request was sent to see whether an ejected instance has
	// recovered.
	trial bool

	// said is what the process said about new requests, or nil.
	said *availability.State
	// toldLeaving counts the digests that said so.
	toldLeaving int

	coldTokens float64
	coldAt     time.Time
}

func newInstance(now time.Time, i Instance) *instance {
	return &instance{Instance: i, hash: hashOf(i.ID), slowness: 1, slownessAt: now, failuresAt: now, coldAt: now}
}

// decay is the factor by which something counts after age.
func decay(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

// slow is the factor by which work takes longer than usual.
func (i *instance) slow(now time.Time) float64 {
	reported := 1.0
	if i.load.WorkPercent > 0 {
		reported += (float64(i.load.WorkPercent)/100 - 1) * decay(now.Sub(i.loadAt), loadHalf)
	}
	observed := 1 + (i.slowness-1)*decay(now.Sub(i.slownessAt), slownessHalf)
	return max(reported, observed, slownessLeast)
}

// inFlight estimates the requests at the instance from all VMs.
func (i *instance) inFlight(now time.Time) int {
	if i.loadAt.IsZero() || now.Sub(i.loadAt) > loadKeep {
		return i.outstanding
	}
	return max(i.outstanding, i.load.Running+i.load.Waiting+i.sinceReport)
}

// wait estimates how long a request would queue.
func (i *instance) wait(now time.Time, work time.Duration) time.Duration {
	slots := max(1, i.Slots)
	ahead := i.inFlight(now) + 1 - slots
	if now.Before(i.shedUntil) {
		ahead = max(ahead, slots)
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * float64(work) * i.slow(now))
}

// failureRate is the share of recent requests that the instance failed.
func (i *instance) failureRate(now time.Time) float64 {
	return i.failures * decay(now.Sub(i.failuresAt), failureHalf)
}

// takesNew tells whether the process said nothing against new requests.
func (i *instance) takesNew(now time.Time) bool { return !i.said.IsLeaving() && !i.said.IsWaiting(now) }

// process names this start of the instance.
func (i *instance) process() availability.Process { return processOf(&i.Instance) }

func processOf(i *Instance) availability.Process {
	return availability.Process{ID: i.ID, Address: i.Address, Born: i.Born}
}

// isOut tells whether the instance is ejected, and whether a trial is due.
func (i *instance) isOut(now time.Time) (out, trialDue bool) {
	if i.ejectFor == 0 {
		return false, false
	}
	return true, !i.trial && now.Sub(i.ejectedAt) >= i.ejectFor
}

func (i *instance) isCold(now time.Time) bool { return now.Before(i.ColdUntil) && i.ColdRate > 0 }

// sent counts a request of this VM.
func (i *instance) sent() {
	i.outstanding++
	i.sinceReport++
}

// reported takes a load report that was made at a time.
func (i *instance) reported(at time.Time, load Load) (isNews bool) {
	if !at.After(i.loadAt) {
		return false
	}
	i.load, i.loadAt, i.sinceReport, i.told = load, at, 0, false
	return true
}

// ended takes what an attempt showed. It was expected to take a time, of which work
// is the usual time without waiting.
func (i *instance) ended(now time.Time, o *Outcome, expected, work time.Duration) {
	i.outstanding--
	i.sinceReport--
	if o.Load != nil {
		// The report was made with its answer, after what it counts had begun.
		i.reported(now, *o.Load)
	}
	if o.Cancelled {
		return
	}
	failed := o.Failed
	switch o.Reason {
	case verdict.ReasonConnectFailed:
		failed = true
		i.inRow = max(i.inRow+1, ejectAfter)
	case verdict.ReasonMisdirected:
		failed = true
		i.replace(now)
	case verdict.ReasonConnectionLost, verdict.ReasonTruncated, verdict.ReasonAnswerMismatch, verdict.ReasonDeadline:
		failed = true
		i.inRow++
	case verdict.ReasonUpstreamRefused:
		i.shedUntil = now.Add(shedFor)
		i.inRow = 0
	default:
		i.inRow = 0
	}
	i.noteFailure(now, failed)
	if o.Reason == verdict.ReasonMisdirected {
		return
	}
	if i.inRow >= ejectAfter {
		i.eject(now)
	} else if !failed && i.ejectFor > 0 {
		i.lastEject, i.recoveredAt = i.ejectFor, now
		i.ejectFor, i.trial = 0, false
	}
	i.ratio = 0
	if o.Verdict == verdict.Ran && expected > 0 {
		if o.Load != nil {
			// A request that waited longer than expected is no sign of slow work.
			queued := float64(o.Load.Waiting) / float64(max(o.Load.Slots, i.Slots, 1))
			expected = max(expected, time.Duration((1+queued)*float64(work)))
		}
		i.ratio = min(float64(o.Latency)/float64(expected), slownessMost)
		i.learnSlowness(now, i.ratio, slownessWeight)
	}
}

// learnSlowness takes how long work took, in units of the usual.
func (i *instance) learnSlowness(now time.Time, ratio, weight float64) {
	current := 1 + (i.slowness-1)*decay(now.Sub(i.slownessAt), slownessHalf)
	i.slowness = current + weight*(ratio-current)
	i.slownessAt = now
}

func (i *instance) noteFailure(now time.Time, failed bool) {
	rate := i.failureRate(now)
	seen := 0.0
	if failed {
		seen = 1
	}
	i.failures, i.failuresAt = rate+failureWeight*(seen-rate), now
}

func (i *instance) eject(now time.Time) {
	if i.ejectFor == 0 && now.Sub(i.recoveredAt) < flapMemory {
		i.ejectFor = 2 * i.lastEject
	}
	i.ejectFor = min(max(2*i.ejectFor, ejectFirst), ejectMost)
	i.ejectedAt, i.trial, i.inRow = now, false, 0
}

// replace notes that another instance answered at the address: this one has died,
// and its record will go. Until then a trial now and then does.
func (i *instance) replace(now time.Time) {
	i.replaced, i.ejectFor = true, ejectMost
	i.eject(now)
}

// processKey stands for this process of the instance in digests: a later one under
// the same ID is another one.
func (i *instance) processKey() InstanceKey { return InstanceKey(i.processHash()) }

func (i *instance) processHash() uint64 {
	return rendezvous.Mix(i.hash ^ 3*hashOf(i.Address) ^ uint64(i.Born))
}

// takeCold takes one request of this VM's share of a cold instance's rate.
func (i *instance) takeCold(now time.Time, rate float64) bool {
	i.coldTokens = min(1, i.coldTokens+rate*now.Sub(i.coldAt).Seconds())
	i.coldAt = now
	if i.coldTokens < 1 {
		return false
	}
	i.coldTokens--
	return true
}

// recentTable remembers which objects this VM lately had served where. Entries
// that collide overwrite each other.
type recentTable struct {
	slots [recentSlots]recentEntry
}

type recentEntry struct {
	hash uint64
	at   time.Time
}

const (
	// recentSlots times 32 bytes is 128 KB.
	recentSlots = 4096
	// recentFor is how long an instance is taken to hold an object.
	recentFor = 30 * time.Second
)

func (t *recentTable) mark(now time.Time, hash uint64) {
	t.slots[hash%recentSlots] = recentEntry{hash, now}
}

func (t *recentTable) has(now time.Time, hash uint64) bool {
	e := &t.slots[hash%recentSlots]
	return e.hash == hash && now.Sub(e.at) < recentFor
}
