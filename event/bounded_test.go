package event

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// A request must not wait for a log that nobody reads.
func TestBlockedWriterBlocksNobody(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	defer close(w.release)
	b := NewBounded(w, BoundedOptions{LinesPerSecond: 1 << 20, Queue: 16})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			_, _ = io.WriteString(b, "line\n")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocks on the underlying writer")
	}
	b.Flush(10 * time.Millisecond)
	if b.Dropped() < 900 {
		t.Errorf("%d lines dropped", b.Dropped())
	}
}

// The log must not grow with the load, and dropped lines must be reported. Pattern:
// ten times the lines of the bound.
func TestLinesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var mu sync.Mutex
	out := new(testkit.Buffer)
	b := NewBounded(out, BoundedOptions{LinesPerSecond: 50, Now: func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}})
	log := slog.New(slog.NewJSONHandler(b, nil))
	for n := range 500 {
		log.Info(fmt.Sprint("line ", n))
	}
	mu.Lock()
	now = now.Add(time.Second)
	mu.Unlock()
	log.Info("later")
	b.Flush(5 * time.Second)
	text := out.String()
	if lines := strings.Count(text, "\n"); lines != 52 {
		t.Errorf("%d lines, want 50, the event that reports the drop, and the later line", lines)
	}
	if !strings.Contains(text, `"lines":450`) {
		t.Error("no event reports that 450 lines were dropped")
	}
}
