package availability

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxLimit is the largest limit in requests per second that is taken seriously. It is
	// above what any instance serves.
	MaxLimit = 1e6
	// maxLimitBytes bounds the text of a limit.
	maxLimitBytes = 32
	// maxTransit is how long a report may take from one VM to another. A report that would
	// raise or end a limit counts as that much older.
	maxTransit = time.Second
)

// Limit is the number of requests per second that a process takes from all VMs together,
// according to the newest report about it.
type Limit struct {
	// InForce is false if the process no longer names a limit.
	InForce   bool
	PerSecond float64
	// RequestedAt and ReceivedAt are when the request was sent whose answer named the limit,
	// or no limit, and when that answer arrived.
	RequestedAt, ReceivedAt time.Time
	// Since is when the process first named a limit, without a break.
	Since time.Time
	// ReportedBy is the VM that reported the limit, or empty if it came from the process
	// itself.
	ReportedBy string
}

// ParseLimit returns the limit in an answer's header values. Unusable means that it is not a
// single decimal number from 0 to MaxLimit.
func ParseLimit(values []string) (perSecond float64, named, unusable bool) {
	if len(values) == 0 {
		return 0, false, false
	}
	text := strings.TrimSpace(values[0])
	isDecimal := text != "" && len(text) <= maxLimitBytes && strings.Trim(text, "0123456789.") == ""
	limit, err := strconv.ParseFloat(text, 64)
	if len(values) > 1 || !isDecimal || err != nil || math.IsNaN(limit) || limit < 0 || limit > MaxLimit {
		return 0, false, true
	}
	return limit, true, false
}

// LimitOf returns the limit of a process, or nil if it never named one.
func (t *Tracker) LimitOf(p Process) *Limit {
	if s := t.states[p]; s != nil && !s.Limit.ReceivedAt.IsZero() {
		return &s.Limit
	}
	return nil
}

// RecordLimit records a report about the limit of a process and reports whether the limit
// changed. Answers and reports of other VMs may arrive out of order: a report that lowers
// the limit counts if its answer arrived later than that of the present one, and a report
// that raises or ends it only if its request was sent after the present one had arrived.
func (t *Tracker) RecordLimit(now time.Time, p Process, l Limit) (changed bool) {
	old := t.LimitOf(p)
	if old == nil && !l.InForce {
		return false
	}
	s := t.stateFor(now, p)
	if s == nil {
		return false
	}
	requestedAt := l.RequestedAt
	if l.ReportedBy != "" {
		requestedAt = requestedAt.Add(-maxTransit)
	}
	switch {
	case old == nil:
		l.Since = l.ReceivedAt
	case l.InForce == old.InForce && l.PerSecond == old.PerSecond:
		if l.ReceivedAt.After(old.ReceivedAt) {
			old.RequestedAt, old.ReceivedAt = l.RequestedAt, l.ReceivedAt
		}
		return false
	case l.InForce && (!old.InForce || l.PerSecond < old.PerSecond):
		if !l.ReceivedAt.After(old.ReceivedAt) {
			return false
		}
		l.Since = l.ReceivedAt
		if old.InForce {
			l.Since = old.Since
		}
	default:
		if requestedAt.Before(old.ReceivedAt) {
			return false
		}
		l.Since = old.Since
	}
	s.Limit = l
	return true
}

// RecordUnusableLimit records that a process named a limit that is ignored, and reports
// whether that is the first time.
func (t *Tracker) RecordUnusableLimit(now time.Time, p Process) bool {
	s := t.stateFor(now, p)
	if s == nil || s.HasUnusableLimit {
		return false
	}
	s.HasUnusableLimit = true
	return true
}

// IsLimited reports whether the process names a limit.
func (s *State) IsLimited() bool { return s != nil && s.Limit.InForce }
