package progress

import (
	"context"
	"io"
	"testing"
	"time"
)

// tickingReader returns a byte after each interval, count times, and then nothing until ctx ends.
type tickingReader struct {
	ctx      context.Context
	interval time.Duration
	count    int
}

func (r *tickingReader) Read(p []byte) (int, error) {
	if r.count--; r.count < 0 {
		<-r.ctx.Done()
		return 0, context.Cause(r.ctx)
	}
	time.Sleep(r.interval)
	return copy(p, "x"), nil
}

// An answer that makes progress must not be given up, however long it takes, and one that stalls must be.
func TestProgressExtendsTheTimeout(t *testing.T) {
	const idle = 200 * time.Millisecond
	ctx, tracker, cancel := WithTimeout(t.Context(), idle, idle)
	defer cancel()
	if !tracker.LastAt().IsZero() {
		t.Error("progress before the first byte")
	}
	began := time.Now()
	n, err := io.Copy(io.Discard, Reader(ctx, &tickingReader{ctx, idle / 10, 40}))
	if n != 40 || time.Since(began) < 4*idle {
		t.Errorf("%d bytes in %s, %v; want 40 and then a stall", n, time.Since(began), err)
	}
	if err == nil || tracker.LastAt().IsZero() {
		t.Errorf("%v after a stall", err)
	}
	never, _, cancelNever := WithTimeout(t.Context(), idle/10, time.Hour)
	defer cancelNever()
	<-never.Done()
}
