package feed

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxGraceFactor bounds the grace as a multiple of the usual one. With the default of 350 ms,
// an answer is awaited for 1.4 s beyond its time: a link whose packets wait for longer carries
// no records in time anyway.
const maxGraceFactor = 4

// lateness adapts how long an answer is awaited to how late answers are. If several sources don't answer
// in time, the link of this VM is probably congested, and another one would be late as well. It is
// safe for concurrent use.
type lateness struct {
	usual   time.Duration
	current atomic.Int64
}

func newLateness(usual time.Duration) *lateness {
	l := &lateness{usual: usual}
	l.current.Store(int64(usual))
	return l
}

// grace returns how long an answer is awaited beyond the time that was asked for.
func (l *lateness) grace() time.Duration { return time.Duration(l.current.Load()) }

// recordNoAnswer is called when no source had records and several did not answer in time.
func (l *lateness) recordNoAnswer() { l.set(2 * l.grace()) }

// recordAnswer records how late an answer was. A negative time is that of an answer with changes,
// which came before the time that was asked for. It says little about lateness, so the grace
// falls slowly.
func (l *lateness) recordAnswer(late time.Duration) {
	switch {
	case late > 2*maxGraceFactor*l.usual:
		// This VM was paused, or the source was.
	case late > 0:
		l.set(2 * late)
	default:
		l.set(l.grace() * 9 / 10)
	}
}

// isCongested reports whether answers are later than usual.
func (l *lateness) isCongested() bool { return l.grace() > l.usual }

func (l *lateness) set(grace time.Duration) {
	l.current.Store(int64(min(max(grace, l.usual), maxGraceFactor*l.usual)))
}

// isTimeout reports whether a source was given up because it did not answer in time.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}
