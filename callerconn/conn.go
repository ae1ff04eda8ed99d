package callerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// bufferBytes is the size of a connection's buffers.
	bufferBytes = 4 << 10
	// lingerTimeout is how long a connection whose last answer is sent discards what the
	// caller still sends. Closing it at once would reset it, and the caller might lose
	// answers that it has not read.
	lingerTimeout = 500 * time.Millisecond
)

// past is a deadline that interrupts a read.
var past = time.Unix(1, 0)

// phase is what the reading goroutine of a connection does.
type phase int

const (
	// phaseBusy means that it doesn't read: it parses, or a handler reads a body.
	phaseBusy phase = iota
	// phaseAwait means that it waits for the first byte of a request.
	phaseAwait
	// phaseHead means that it reads a head.
	phaseHead
	// phaseHold means that it holds a request that can't be started yet.
	phaseHold
	// phaseWatch means that no further request is read from the connection.
	phaseWatch
)

// conn is a connection of a caller. One goroutine reads requests. Each started request runs
// in a worker goroutine.
type conn struct {
	s      *Server
	nc     net.Conn
	remote string
	// ctx is the parent of the requests' contexts.
	ctx    context.Context
	cancel context.CancelFunc

	// br is read by the reading goroutine, or by the handler that reads a body.
	br  *bufio.Reader
	src source
	// grown is the size of br beyond bufferBytes, which the budget counts.
	grown      int
	lastMethod string
	// skipped counts the line ends that were skipped before the head.
	skipped int

	// bw is written by the goroutine of the exchange whose turn it is.
	bw  *bufio.Writer
	out output

	// finished is closed when the last answer is sent, or none can be sent any more.
	finished chan struct{}
	work     chan *exchange
	workers  sync.WaitGroup

	mu    sync.Mutex
	phase phase
	// hasReadDeadline says that a read deadline is set.
	hasReadDeadline bool
	// queue holds the started requests that are not completely answered, in order.
	queue []*exchange
	// closing means that no further request is started, isDraining that the server stops.
	closing, isDraining bool
	// ended means that finished is closed.
	ended bool
	// gone means that the caller has closed its connection or its side of it.
	gone bool
	// hasIdleWorker says that a worker waits for a request.
	hasIdleWorker bool
	// wake is signalled when a request that is held may have become startable.
	wake chan struct{}
	// shouldLinger says that unread bytes of the caller must not reset the connection.
	shouldLinger bool
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		s: s, nc: nc, remote: nc.RemoteAddr().String(), finished: make(chan struct{}),
		work: make(chan *exchange, 1), wake: make(chan struct{}, 1),
	}
	parent := context.Background()
	if s.ConnContext != nil {
		parent = s.ConnContext(parent, nc)
	}
	c.ctx, c.cancel = context.WithCancel(parent)
	c.src.c, c.out.c = c, c
	c.br, _ = readers.Get().(*bufio.Reader)
	c.br.Reset(&c.src)
	c.bw, _ = writers.Get().(*bufio.Writer)
	c.bw.Reset(&c.out)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	c.readRequests()
	c.watch()
	<-c.finished
	c.linger()
	c.nc.Close()
	c.cancel()
	close(c.work)
	c.workers.Wait()
	c.s.release(c.grown)
	if c.grown == 0 {
		c.br.Reset(nil)
		readers.Put(c.br)
	}
	c.bw.Reset(nil)
	writers.Put(c.bw)
	c.s.removeConn(c)
}

func (c *conn) readRequests() {
	for isFirst := true; c.awaitRequest(isFirst); isFirst = false {
		req, refusal, ok := c.readHead(isFirst)
		if !ok {
			c.end(refusal)
			return
		}
		x := newExchange(c, req)
		if !c.start(x) {
			x.cancel()
			c.end(nil)
			return
		}
		// The request belongs to its handler from here on.
		if x.body.src != nil {
			select {
			case <-x.body.done:
			case <-c.finished:
				return
			}
		}
		if x.wantsClose {
			return
		}
		c.lastMethod = x.method
	}
}

// awaitRequest waits for the first byte of the next request. It returns false if the
// connection ends instead.
func (c *conn) awaitRequest(isFirst bool) bool {
	c.shrink()
	for c.skipped = 0; ; c.skipped++ {
		if c.br.Buffered() == 0 && !c.awaitByte(isFirst) {
			c.end(nil)
			return false
		}
		b, _ := c.br.Peek(1)
		// Some callers send a line end after the body of a POST that its length doesn't
		// include. net/http's server skips as many bytes.
		if c.lastMethod == http.MethodPost && c.skipped < minHeadBytes && (b[0] == '\r' || b[0] == '\n') {
			_, _ = c.br.Discard(1)
			continue
		}
		return true
	}
}

func (c *conn) awaitByte(isFirst bool) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.phase = phaseAwait
	timeout := c.s.IdleTimeout
	if isFirst {
		timeout = c.s.ReadHeaderTimeout
	}
	if len(c.queue) > 0 {
		// The idle time begins with the end of the last answer.
		timeout = 0
	}
	c.setReadTimeout(timeout)
	c.mu.Unlock()
	_, err := c.br.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseBusy
	if n := len(c.queue); err == nil && n > 0 {
		c.queue[n-1].hasMore = true
	}
	return err == nil
}

// setReadTimeout sets the deadline of reads. Zero means none. The caller holds c.mu.
func (c *conn) setReadTimeout(timeout time.Duration) {
	switch {
	case timeout > 0:
		_ = c.nc.SetReadDeadline(time.Now().Add(timeout))
	case c.hasReadDeadline:
		_ = c.nc.SetReadDeadline(time.Time{})
	}
	c.hasReadDeadline = timeout > 0
}

// interrupt ends a read of the reading goroutine. The caller holds c.mu.
func (c *conn) interrupt() {
	if c.phase == phaseBusy {
		return
	}
	c.hasReadDeadline = true
	_ = c.nc.SetReadDeadline(past)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// canStart reports whether a request may be started now. The caller holds c.mu.
func (c *conn) canStart(x *exchange) bool {
	n := len(c.queue)
	if n == 0 {
		return true
	}
	if c.s.finishing.Load() {
		return false
	}
	return x.isPipelinable && c.queue[n-1].isPipelinable && n < c.s.maxPipelined()
}

// start starts a request as soon as the earlier ones allow it. It returns false if the
// connection ends before. Meanwhile it reads ahead as far as the buffer allows, to learn
// that the caller has gone.
func (c *conn) start(x *exchange) bool {
	c.mu.Lock()
	for waited := false; ; {
		if c.closing || c.gone {
			c.mu.Unlock()
			return false
		}
		if c.canStart(x) {
			break
		}
		if !waited {
			waited = true
			c.s.count(CountWaited)
		}
		c.phase = phaseHold
		c.setReadTimeout(0)
		c.mu.Unlock()
		c.readAhead()
		c.mu.Lock()
		c.phase = phaseBusy
	}
	if len(c.queue) > 0 {
		c.s.count(CountPipelined)
	} else {
		x.isTurn = true
	}
	c.setReadTimeout(0)
	if x.body.src == nil {
		x.hasMore = c.br.Buffered() > 0
	}
	c.queue = append(c.queue, x)
	if c.hasIdleWorker {
		c.hasIdleWorker = false
		c.work <- x
	} else {
		c.workers.Add(1)
		go c.runWorker(x)
	}
	c.mu.Unlock()
	return true
}

// readAhead reads once into the free part of the buffer, or waits for a wake-up if there is
// none.
func (c *conn) readAhead() {
	if n := c.br.Buffered(); n < c.br.Size() {
		_, _ = c.br.Peek(n + 1)
		return
	}
	<-c.wake
}

// watch waits for the end of a connection from which no further request is read.
func (c *conn) watch() {
	for {
		c.mu.Lock()
		if c.ended || c.gone || c.br.Buffered() == c.br.Size() {
			c.mu.Unlock()
			return
		}
		c.phase = phaseWatch
		c.setReadTimeout(0)
		c.mu.Unlock()
		c.readAhead()
		c.mu.Lock()
		c.phase = phaseBusy
		c.mu.Unlock()
	}
}

// linger discards what the caller still sends after the last answer, for lingerTimeout.
func (c *conn) linger() {
	c.mu.Lock()
	should := c.shouldLinger && !c.gone
	c.mu.Unlock()
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !should || !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.nc)
}

// drain ends the connection after the started requests.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.isDraining = true, true
	c.interrupt()
}

// runWorker runs requests of a connection. One worker of a connection waits for the next
// request, so that its stack need not grow again.
func (c *conn) runWorker(x *exchange) {
	defer c.workers.Done()
	for {
		x.run()
		c.mu.Lock()
		if c.hasIdleWorker || c.ended {
			c.mu.Unlock()
			return
		}
		c.hasIdleWorker = true
		c.mu.Unlock()
		var ok bool
		if x, ok = <-c.work; !ok {
			return
		}
	}
}

// source reads from the connection and notices that the caller has gone.
type source struct {
	c *conn
	// pending is read first.
	pending []byte
}

func (s *source) Read(p []byte) (int, error) {
	if len(s.pending) > 0 {
		n := copy(p, s.pending)
		s.pending = s.pending[n:]
		return n, nil
	}
	n, err := s.c.nc.Read(p)
	if err != nil && !isTimeout(err) {
		s.c.mu.Lock()
		s.c.gone = true
		s.c.mu.Unlock()
		s.c.cancel()
	}
	return n, err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// output writes to the connection. It fails when the caller accepts no byte for the
// server's NotReadTimeout.
type output struct {
	c *conn
	// limit is the write deadline that the handler has set.
	limit time.Time
	// set is when the deadline of the connection was last set, if it is none of a handler.
	set      time.Time
	wasLimit bool
}

func (o *output) Write(p []byte) (int, error) {
	written := 0
	for {
		o.setDeadline()
		n, err := o.c.nc.Write(p[written:])
		written += n
		if err == nil || !isTimeout(err) {
			return written, err
		}
		if !o.limit.IsZero() && !time.Now().Before(o.limit) {
			return written, err
		}
		if n == 0 {
			o.c.s.count(CountNotRead)
			return written, err
		}
		o.set = time.Time{}
	}
}

// setDeadline sets a deadline between one and one and a quarter of NotReadTimeout from now.
// It is not set for every write, since most answers are a single short one.
func (o *output) setDeadline() {
	timeout := o.c.s.NotReadTimeout
	if o.limit.IsZero() {
		if timeout <= 0 {
			if o.wasLimit {
				o.wasLimit = false
				_ = o.c.nc.SetWriteDeadline(time.Time{})
			}
			return
		}
		if now := time.Now(); now.Sub(o.set) > timeout/4 {
			o.set = now
			_ = o.c.nc.SetWriteDeadline(now.Add(timeout + timeout/4))
		}
		return
	}
	o.set, o.wasLimit = time.Time{}, true
	deadline := o.limit
	if stalled := time.Now().Add(timeout); timeout > 0 && stalled.Before(deadline) {
		deadline = stalled
	}
	_ = o.c.nc.SetWriteDeadline(deadline)
}
