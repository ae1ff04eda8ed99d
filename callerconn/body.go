package callerconn

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// drainTimeout bounds the wait for the rest of a body that the handler did not read.
const drainTimeout = 5 * time.Second

// maxDrainBytes is how much of a body that the handler did not read is discarded to keep the
// connection. net/http's server has the same bound.
const maxDrainBytes = 256 << 10

// requestBody is the body of a request. It returns the connection's buffer to the reading
// goroutine at its end.
type requestBody struct {
	x *exchange
	// src is nil if the request has no body.
	src io.Reader
	// done is closed when nothing more of the body is read.
	done chan struct{}
	// isExpected means that the caller waits for "100 Continue" before it sends the body.
	isExpected bool
	closed     atomic.Bool

	// mu is held during a read.
	mu sync.Mutex
	// hasRead means that a read was attempted. isWhole means that the body was read to its
	// end, err is the error of a failed read.
	hasRead, isWhole bool
	err              error
	// n is the number of bytes read.
	n int64
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed.Load():
		return 0, http.ErrBodyReadAfterClose
	case b.isWhole:
		return 0, io.EOF
	case b.err != nil:
		return 0, b.err
	}
	return b.read(p)
}

func (b *requestBody) read(p []byte) (int, error) {
	if b.isExpected && !b.hasRead {
		if err := b.x.sendContinue(); err != nil {
			b.err = err
			return 0, err
		}
	}
	b.hasRead = true
	n, err := b.src.Read(p)
	b.n += int64(n)
	switch {
	case err == io.EOF: //nolint:errorlint // A wrapped EOF is not the end of the body.
		b.isWhole = true
		b.x.c.mu.Lock()
		b.x.hasMore = b.x.c.br.Buffered() > 0
		b.x.c.mu.Unlock()
		close(b.done)
	case err != nil:
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error {
	b.closed.Store(true)
	return nil
}

// settle reads the rest of the body, if it is short enough, and reports whether the body
// was read to its end.
func (b *requestBody) settle() bool {
	if b.src == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isWhole || b.err != nil || (b.isExpected && !b.hasRead) {
		return b.isWhole
	}
	if known := b.x.req.ContentLength; known > 0 && known-b.n > maxDrainBytes {
		return false
	}
	b.setReadDeadline(time.Now().Add(drainTimeout))
	scratch, _ := drainBuffers.Get().(*[]byte)
	defer drainBuffers.Put(scratch)
	for left := maxDrainBytes; left > 0 && !b.isWhole && b.err == nil; {
		n, _ := b.read(*scratch)
		left -= n
	}
	return b.isWhole
}

// hasArrived reports whether the rest of the body can be read without waiting for the caller.
func (b *requestBody) hasArrived() bool {
	if b.isDone() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.x.req.ContentLength
	return known > 0 && known-b.n <= int64(b.x.c.br.Buffered())
}

// isDone reports whether nothing more of the body is read.
func (b *requestBody) isDone() bool {
	if b.src == nil {
		return true
	}
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// finish ends the body after the handler. A read that is still in progress is interrupted.
func (b *requestBody) finish() (isWhole bool) {
	if b.src == nil {
		return true
	}
	b.closed.Store(true)
	if !b.mu.TryLock() {
		b.setReadDeadline(past)
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	if !b.isWhole {
		if b.err == nil {
			b.err = http.ErrBodyReadAfterClose
		}
		select {
		case <-b.done:
		default:
			close(b.done)
		}
	}
	return b.isWhole
}

// setReadDeadline sets the deadline of reads of the body. It has no effect once the body
// was read.
func (b *requestBody) setReadDeadline(t time.Time) {
	c := b.x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-b.done:
	default:
		// The reading goroutine clears it.
		c.hasReadDeadline = true
		_ = c.nc.SetReadDeadline(t)
	}
}

var drainBuffers = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}
