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
	// DefaultLinesPerSecond is four lines for each request that an entry VM of
	// today's size serves at its peak.
	DefaultLinesPerSecond = 400
	// DefaultQueue is how many lines wait for a slow reader, about 1 MB.
	DefaultQueue = 4096
)

// BoundedOptions configures a Bounded. Zero values mean the defaults.
type BoundedOptions struct {
	LinesPerSecond int
	Queue          int
	// Now is for tests. Nil means time.Now.
	Now func() time.Time
}

// Bounded is a writer of log lines that never waits for the writer behind it, such
// as a pipe that nobody reads, and that bounds the lines of a second. Each call of
// Write is one line. It is safe for concurrent use.
type Bounded struct {
	options BoundedOptions
	queue   chan []byte
	// flushes holds what to close once the queue was empty.
	flushes chan chan struct{}
	total   atomic.Int64

	mu     sync.Mutex
	second int64
	count  int
	// unsaid is the number of lines dropped since the last line that said so.
	unsaid int64
}

// NewBounded starts passing lines on to w, for the life of the process.
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
	go b.pass(w)
	return b
}

func (b *Bounded) pass(w io.Writer) {
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

// Flush waits until the lines so far are written, but not longer than limit.
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
func (b *Bounded) Dropped() int64 { return b.total.Load() }

func (b *Bounded) drop() {
	b.total.Add(1)
	b.mu.Lock()
	b.unsaid++
	b.mu.Unlock()
}

// Write implements io.Writer. It always takes the line or drops it.
func (b *Bounded) Write(line []byte) (int, error) {
	second := b.options.Now().Unix()
	b.mu.Lock()
	if second != b.second {
		b.second, b.count = second, 0
	}
	b.count++
	over := b.count > b.options.LinesPerSecond
	unsaid := int64(0)
	if !over {
		unsaid, b.unsaid = b.unsaid, 0
	}
	b.mu.Unlock()
	if over {
		b.drop()
		return len(line), nil
	}
	if unsaid > 0 {
		LinesDropped.Log(slog.New(slog.NewJSONHandler(queueWriter{b}, nil)), "lines", unsaid)
	}
	return queueWriter{b}.Write(line)
}

// queueWriter puts lines into the queue.
type queueWriter struct{ b *Bounded }

func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.b.queue <- append([]byte(nil), line...):
	default:
		q.b.drop()
	}
	return len(line), nil
}
