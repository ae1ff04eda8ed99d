package event

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of BoundedOptions.
const (
	// DefaultLinesPerSecond allows four lines for each request of an entry VM of the
	// present size at peak load.
	DefaultLinesPerSecond = 400
	// DefaultQueue is the number of lines queued for a slow reader, about 1 MB.
	DefaultQueue = 4096
)

// BoundedOptions configures a Bounded writer. Zero values mean the defaults.
type BoundedOptions struct {
	LinesPerSecond int
	Queue          int
	// Now replaces the clock in tests. Nil means time.Now.
	Now func() time.Time
}

// Bounded is a writer of log lines that never blocks on the underlying writer, such
// as a pipe that nobody reads, and that limits the number of lines per second. Each
// call of Write is one line. It is safe for concurrent use.
type Bounded struct {
	options BoundedOptions
	queue   chan []byte
	// flushes receives the channels to close once the queue has been written.
	flushes chan chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	count  int
	// unreported is the number of lines dropped since the last LinesDropped event.
	unreported int64
}

// NewBounded returns a Bounded writer to w. Its goroutine runs until the process
// ends.
func NewBounded(w io.Writer, o BoundedOptions) *Bounded {
	if o.LinesPerSecond <= 0 {
		o.LinesPerSecond = DefaultLinesPerSecond
	}
	if o.Queue <= 0 {
		o.Queue = DefaultQueue
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	b := &Bounded{options: o, queue: make(chan []byte, o.Queue), flushes: make(chan chan struct{})}
	go b.forward(w)
	return b
}

func (b *Bounded) forward(w io.Writer) {
	write := func(line []byte) {
		if _, err := w.Write(line); err != nil {
			b.drop()
		}
	}
	for {
		select {
		case line := <-b.queue:
			write(line)
		case written := <-b.flushes:
			for n := len(b.queue); n > 0; n-- {
				write(<-b.queue)
			}
			close(written)
		}
	}
}

// Flush waits until the lines queued so far are written, at most for limit.
func (b *Bounded) Flush(limit time.Duration) {
	written := make(chan struct{})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case b.flushes <- written:
	case <-timer.C:
		return
	}
	select {
	case <-written:
	case <-timer.C:
	}
}

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) drop() {
	b.dropped.Add(1)
	b.mu.Lock()
	b.unreported++
	b.mu.Unlock()
}

// Write implements io.Writer. It queues the line or drops it, and never returns an
// error.
func (b *Bounded) Write(line []byte) (int, error) {
	second := b.options.Now().Unix()
	b.mu.Lock()
	if second != b.second {
		b.second, b.count = second, 0
	}
	b.count++
	isOverLimit := b.count > b.options.LinesPerSecond
	unreported := int64(0)
	if !isOverLimit {
		unreported, b.unreported = b.unreported, 0
	}
	b.mu.Unlock()
	if isOverLimit {
		b.drop()
		return len(line), nil
	}
	if unreported > 0 {
		LinesDropped.Log(slog.New(slog.NewJSONHandler(queueWriter{b}, nil)), "lines", unreported)
	}
	return queueWriter{b}.Write(line)
}

// queueWriter adds lines to the queue, or drops them if it is full.
type queueWriter struct{ b *Bounded }

func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.b.queue <- append([]byte(nil), line...):
	default:
		q.b.drop()
	}
	return len(line), nil
}
