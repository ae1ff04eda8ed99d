package membudget

import "time"

// Progress watches whether a caller moves its request or its answer on.
type Progress struct {
	since time.Time
	bytes int64
}

// IsTooSlow reports whether a caller moved fewer than rate bytes per second over the last
// grace period or longer. It is called at intervals with the bytes that the caller has moved
// so far. Times at which the VM doesn't wait for the caller don't count.
func (p *Progress) IsTooSlow(now time.Time, bytes int64, isWaiting bool, grace time.Duration, rate float64) bool {
	if !isWaiting || p.since.IsZero() {
		p.since, p.bytes = now, bytes
		return false
	}
	elapsed := now.Sub(p.since)
	if elapsed < grace {
		return false
	}
	if float64(bytes-p.bytes) < rate*elapsed.Seconds() {
		return true
	}
	p.since, p.bytes = now, bytes
	return false
}

// ageWeight is what a second of a request at less than the minimum rate counts, compared with a
// second in which nothing moved.
const ageWeight = 0.1

// Score ranks connections of which some must be closed; the highest is closed first. It
// grows with the bytes that a connection holds, with the time since the caller's last byte, and
// with the age of the request, which counts less if its caller makes progress: a caller that
// trickles is closed before one that sends.
func Score(held int64, age, stalled time.Duration, moved int64, minRate float64) float64 {
	seconds := max(age.Seconds(), 0.001)
	return float64(held) * (stalled.Seconds() + ageWeight*seconds/(1+float64(moved)/seconds/max(minRate, 1)))
}
