// Package coldwatch decides when this VM asks instances whether they are cold. Their records say so while the
// store delivers them; while it may not, the instances' health path is the only source. Each instance
// is asked by two VMs of its region at most, at most MaxAsksPerSecond times a second together.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for concurrent use. All
// times are uptimes.
package coldwatch

import "time"

const (
	// firstInterval is how often the first VM asks an instance, and standbyInterval how often the
	// second one does, which may be the only one that is left. In the first interval an instance
	// gets less than what it tolerates while it is cold.
	firstInterval   = 100 * time.Millisecond
	standbyInterval = 300 * time.Millisecond
	// MaxAsksPerSecond bounds the questions that an instance gets.
	MaxAsksPerSecond = float64(time.Second/firstInterval) + float64(time.Second)/float64(standbyInterval)
	// DoubtTTL is how long a sign that records are late counts. It covers the next sign.
	DoubtTTL = 600 * time.Millisecond
	// PulseInterval is how often the VM that follows the store for its region asks it for a sign of life, if
	// it has answered nothing else.
	PulseInterval = 150 * time.Millisecond
	// PulseGiveUp is when a sign of life is no longer awaited.
	PulseGiveUp = time.Second
	// pulseMargin is how much later than usual a sign of life may come. The usual time is firstPulse until
	// there was one, which covers a new connection to another region. pulseWeight is the weight of the newest
	// one, of which at most maxPulse counts.
	pulseMargin = 80 * time.Millisecond
	firstPulse  = 240 * time.Millisecond
	pulseWeight = 0.2
	maxPulse    = 300 * time.Millisecond
	// MaxCold bounds the time for which an answer makes an instance cold. An instance that is still cold
	// is asked again.
	MaxCold = 5 * time.Second
)

// Watch holds when instances were asked, and whether their records may be late. The zero value is ready
// for use.
type Watch struct {
	// doubtedUntil is when the doubt ends without a new sign, and ownSince since when the store has left this
	// VM without an answer, zero if it hasn't.
	doubtedUntil, ownSince time.Duration
	asks                   map[uint64]*ask
	// pulse is the usual time of the store's signs of life, zero before the first one.
	pulse time.Duration
}

type ask struct {
	at time.Duration
	// isUnderWay says that the answer is awaited.
	isUnderWay bool
}

// Doubt records a sign that records may be late. It reports whether there was none before.
func (w *Watch) Doubt(now time.Duration) (isNew bool) {
	isNew = !w.IsInDoubt(now)
	w.doubtedUntil = max(w.doubtedUntil, now+DoubtTTL)
	return isNew
}

// DoubtOwn is Doubt for a sign of life that did not come to this VM. The doubt lasts until Confirm.
func (w *Watch) DoubtOwn(now time.Duration) (isNew bool) {
	if w.ownSince == 0 {
		w.ownSince = max(1, now)
	}
	return w.Doubt(now)
}

// Confirm ends the doubt of this VM if it is older than a list that the store has confirmed, or a sign
// of life, as of a time.
func (w *Watch) Confirm(asOf time.Duration) {
	if asOf > w.ownSince {
		w.ownSince = 0
	}
}

// MustPulse reports whether this VM has missed a sign of life and had no newer records since, so that it
// goes on asking also while it follows another VM.
func (w *Watch) MustPulse() bool { return w.ownSince > 0 }

// IsInDoubt reports whether records may be late.
func (w *Watch) IsInDoubt(now time.Duration) bool { return w.ownSince > 0 || now < w.doubtedUntil }

// IsDue reports whether this VM is to ask an instance now, and records that it does. rank is this VM's rank
// among the VMs that may ask the instance, from 0.
func (w *Watch) IsDue(now time.Duration, process uint64, rank int) bool {
	interval := firstInterval
	switch {
	case !w.IsInDoubt(now), rank > 1:
		return false
	case rank == 1:
		interval = standbyInterval
	}
	a := w.asks[process]
	if a == nil {
		if w.asks == nil {
			w.asks = make(map[uint64]*ask)
		}
		a = &ask{at: now - interval}
		w.asks[process] = a
	}
	if a.isUnderWay || now-a.at < interval {
		return false
	}
	a.at, a.isUnderWay = now, true
	return true
}

// Answered records that a question has ended, whatever the answer.
func (w *Watch) Answered(process uint64) {
	if a := w.asks[process]; a != nil {
		a.isUnderWay = false
	}
}

// Forget drops what is known about instances once there is no doubt. Questions under way are kept.
func (w *Watch) Forget(now time.Duration) {
	if w.IsInDoubt(now) {
		return
	}
	for process, a := range w.asks {
		if !a.isUnderWay {
			delete(w.asks, process)
		}
	}
}

// RecordPulse records how long the store took for a sign of life.
func (w *Watch) RecordPulse(took time.Duration) {
	took = min(took, maxPulse)
	if w.pulse == 0 {
		w.pulse = took
	}
	w.pulse += time.Duration(pulseWeight * float64(took-w.pulse))
}

// PulseTimeout returns how long a sign of life is awaited.
func (w *Watch) PulseTimeout() time.Duration {
	if w.pulse == 0 {
		return firstPulse + pulseMargin
	}
	return w.pulse + pulseMargin
}
