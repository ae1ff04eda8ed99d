// Package progress bounds exchanges by the time without progress instead of their whole length,
// so that an answer that still arrives over a slow link is not given up.
package progress

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Tracker observes one exchange. It is safe for concurrent use.
type Tracker struct {
	// idle is how long the exchange may go without progress.
	idle   time.Duration
	timer  *time.Timer
	lastAt atomic.Int64
}

type contextKey struct{}

// WithTimeout returns a context that ends when an exchange has made no progress: its answer has
// not begun within first, or no byte of it arrived for idle. Bytes count if they are read through
// Reader with that context. The context must be cancelled.
func WithTimeout(parent context.Context, first, idle time.Duration) (context.Context, *Tracker, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &Tracker{idle: idle}
	t.timer = time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, contextKey{}, t), t, func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

// LastAt returns when bytes arrived last, or the zero time.
func (t *Tracker) LastAt() time.Time {
	if at := t.lastAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

func (t *Tracker) record() {
	t.lastAt.Store(time.Now().UnixNano())
	t.timer.Reset(t.idle)
}

// Reader returns a reader of r that reports progress to the Tracker of ctx, or r if it has none.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	t, ok := ctx.Value(contextKey{}).(*Tracker)
	if !ok {
		return r
	}
	t.record()
	return &reader{r, t}
}

type reader struct {
	source  io.Reader
	tracker *Tracker
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.tracker.record()
	}
	return n, err
}
