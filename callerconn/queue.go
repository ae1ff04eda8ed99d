package callerconn

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errEnded is the error of an answer that can't be sent any more.
var errEnded = errors.New("the connection has ended")

// exchange is a started request with its answer.
type exchange struct {
	c      *conn
	req    *http.Request
	body   requestBody
	cancel context.CancelFunc
	method string
	// isPipelinable means that the request is idempotent.
	isPipelinable bool
	// wantsClose means that the caller sends no further request.
	wantsClose bool
	// isHTTP11 and wants10KeepAlive are what the caller supports.
	isHTTP11, wants10KeepAlive bool

	response

	// c.mu guards the fields below. isTurn means that all earlier answers are sent, so that
	// this one is written to the connection directly.
	isTurn bool
	// turn, if not nil, is closed when isTurn is set or the connection ends.
	turn chan struct{}
	// held is what is to be written when it is this answer's turn.
	held []byte
	// heldBuffer is the pooled buffer in which held began.
	heldBuffer *[]byte
	// isDone means that the handler has returned and the answer is complete.
	isDone bool
	// closeAfter means that the connection ends after this answer. isAborted means that the
	// answer is incomplete.
	closeAfter, isAborted bool
	// hasMore means that the caller has sent something behind the request.
	hasMore bool
	// isMarker marks the end of the queue, after which no request is read.
	isMarker bool
}

func newExchange(c *conn, req *http.Request) *exchange {
	x := &exchange{c: c, method: req.Method, isHTTP11: req.ProtoAtLeast(1, 1)}
	connection := req.Header.Get("Connection")
	if x.isHTTP11 {
		x.wantsClose = req.Close || hasToken(connection, "close")
	} else {
		x.wants10KeepAlive = hasToken(connection, "keep-alive")
		x.wantsClose = !x.wants10KeepAlive
	}
	x.contentLength = -1
	ctx, cancel := context.WithCancel(c.ctx)
	x.cancel = cancel
	req.RemoteAddr = c.remote
	if req.Body != http.NoBody {
		x.body = requestBody{x: x, src: req.Body, done: make(chan struct{})}
		x.body.isExpected = x.isHTTP11 && expectsContinue(req)
		req.Body = &x.body
	}
	x.req = req.WithContext(ctx)
	x.isPipelinable = c.s.IsPipelinable != nil && c.s.IsPipelinable(x.req)
	return x
}

func expectsContinue(req *http.Request) bool {
	return hasToken(req.Header.Get("Expect"), "100-continue")
}

// run runs the handler and completes the answer.
func (x *exchange) run() {
	defer x.cancel()
	defer func() {
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler { //nolint:errorlint // A panic value is compared as net/http does.
				x.c.s.logf("panic serving %s: %v\n%s", x.c.remote, err, debug.Stack())
			}
			x.abort()
		}
	}()
	switch {
	case x.req.Header.Get("Expect") != "" && !expectsContinue(x.req):
		x.Header().Set("Connection", "close")
		x.WriteHeader(http.StatusExpectationFailed)
	case x.method == http.MethodOptions && x.req.RequestURI == "*":
		// net/http's server answers it without its handler.
		x.Header().Set("Content-Length", "0")
		x.WriteHeader(http.StatusOK)
	default:
		x.c.s.Handler.ServeHTTP(x, x.req)
	}
	x.complete()
}

// abort ends the connection instead of this answer's completion.
func (x *exchange) abort() {
	x.body.finish()
	x.c.s.count(CountAborted)
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.isAborted = true
	x.dropHeld()
	x.c.closeAfter(x)
	x.c.finish(x)
}

// dropHeld discards what was held. The caller holds c.mu.
func (x *exchange) dropHeld() {
	x.release(len(x.held))
	x.held = nil
	x.recycle()
}

// recycle returns the buffer of what was held. The caller holds c.mu.
func (x *exchange) recycle() {
	if x.heldBuffer != nil {
		heldBuffers.Put(x.heldBuffer)
		x.heldBuffer = nil
	}
}

// heldBytes is the capacity of the buffers in which short answers are held.
const heldBytes = 2 << 10

var heldBuffers = sync.Pool{New: func() any { b := make([]byte, 0, heldBytes); return &b }}

// release returns bytes that were held to the budget. The answer of a marker is short and
// not counted.
func (x *exchange) release(n int) {
	if !x.isMarker {
		x.c.s.release(n)
	}
}

// awaitTurn waits until all earlier answers are sent. The caller holds c.mu.
func (x *exchange) awaitTurn() error {
	c := x.c
	for !x.isTurn && !c.ended {
		if x.turn == nil {
			x.turn = make(chan struct{})
		}
		turn := x.turn
		c.mu.Unlock()
		<-turn
		c.mu.Lock()
	}
	if c.ended {
		return errEnded
	}
	return nil
}

// signalTurn wakes up the goroutine that waits for the turn. The caller holds c.mu.
func (x *exchange) signalTurn() {
	if x.turn != nil {
		close(x.turn)
		x.turn = nil
	}
}

// emit sends a part of the answer. If it isn't the answer's turn, the part is held, within
// the limits of an answer and of the budget. Beyond them emit waits for its turn.
func (x *exchange) emit(p []byte) error {
	c := x.c
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return errEnded
	}
	if !x.isTurn {
		if len(x.held)+len(p) <= c.s.maxHeldBytes() && c.s.reserve(len(p)) {
			if x.held == nil {
				x.heldBuffer, _ = heldBuffers.Get().(*[]byte)
				x.held = (*x.heldBuffer)[:0]
			}
			x.held = append(x.held, p...)
			c.mu.Unlock()
			return nil
		}
		if err := x.awaitTurn(); err != nil {
			c.mu.Unlock()
			return err
		}
	}
	c.mu.Unlock()
	c.out.limit = x.writeDeadline
	_, err := c.bw.Write(p)
	return err
}

// flush sends what is buffered if it is the answer's turn.
func (x *exchange) flush() error {
	x.c.mu.Lock()
	isTurn, ended := x.isTurn, x.c.ended
	x.c.mu.Unlock()
	switch {
	case ended:
		return errEnded
	case isTurn:
		x.c.out.limit = x.writeDeadline
		return x.c.bw.Flush()
	}
	return nil
}

// sendContinue asks the caller for the body, once all earlier answers are sent.
func (x *exchange) sendContinue() error {
	x.continueMu.Lock()
	defer x.continueMu.Unlock()
	if x.headSent {
		return http.ErrBodyReadAfterClose
	}
	x.c.mu.Lock()
	err := x.awaitTurn()
	x.c.mu.Unlock()
	if err != nil {
		return err
	}
	if _, err := x.c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return x.c.bw.Flush()
}

// closeAfter makes the connection end after an answer. Requests behind it are cancelled:
// the caller will not see their answers. The caller holds c.mu.
func (c *conn) closeAfter(x *exchange) {
	if x.closeAfter {
		return
	}
	x.closeAfter, c.closing = true, true
	behind := false
	for _, y := range c.queue {
		if behind && !y.isMarker && !y.isDone {
			y.cancel()
		}
		if behind && !y.isMarker {
			c.s.count(CountCancelled)
		}
		behind = behind || y == x
	}
	c.interrupt()
}

// isLast reports whether no request is started after x, and none will be if the connection
// is closing. The caller holds c.mu.
func (c *conn) isLast(x *exchange) bool {
	n := len(c.queue)
	return n > 0 && (c.queue[n-1] == x || (n > 1 && c.queue[n-2] == x && c.queue[n-1].isMarker && len(c.queue[n-1].held) == 0))
}

// isFinished reports whether the connection ends after x because the server finishes: no request
// is started after x, and nothing of another one has arrived. The caller holds c.mu.
func (c *conn) isFinished(x *exchange) bool {
	if !c.isLast(x) {
		return false
	}
	return c.isDraining || (c.s.finishing.Load() && (!x.hasMore || c.phase == phaseAwait))
}

// end appends the end of the connection to the queue, with a refusal unless r is nil.
func (c *conn) end(r *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	x := &exchange{c: c, isMarker: true, isDone: true, closeAfter: true}
	if r != nil {
		x.held = r.bytes()
	}
	c.shouldLinger = c.shouldLinger || r != nil || len(c.queue) > 0 || c.br.Buffered() > 0
	c.closing = true
	c.queue = append(c.queue, x)
	if len(c.queue) > 1 {
		return
	}
	c.writeHeld(x)
	x.isTurn = true
	c.advance()
}

// finish ends an exchange whose answer is complete or aborted. The caller holds c.mu.
func (c *conn) finish(x *exchange) {
	x.isDone = true
	if c.ended {
		x.dropHeld()
		return
	}
	if x.isTurn {
		c.advance()
	}
}

// writeHeld writes what an answer has held. The caller holds c.mu, which is released during
// writes.
func (c *conn) writeHeld(x *exchange) {
	for len(x.held) > 0 && !c.ended {
		// The handler may hold more meanwhile, in another buffer.
		b, buffer := x.held, x.heldBuffer
		x.held, x.heldBuffer = nil, nil
		c.mu.Unlock()
		c.out.limit = time.Time{}
		_, err := c.bw.Write(b)
		x.release(len(b))
		if buffer != nil {
			heldBuffers.Put(buffer)
		}
		c.mu.Lock()
		c.failOn(err)
	}
}

// flushLocked sends what is buffered. The caller holds c.mu, which is released meanwhile.
func (c *conn) flushLocked() {
	c.mu.Unlock()
	err := c.bw.Flush()
	c.mu.Lock()
	c.failOn(err)
}

// failOn ends the connection if a write has failed.
func (c *conn) failOn(err error) {
	if err != nil && !c.ended {
		c.shouldLinger = false
		c.endLocked()
		c.nc.Close()
	}
}

// advance ends the first exchange of the queue, which is complete, and gives the turn to
// the next. The caller holds c.mu, and its goroutine writes to the connection until the
// next one has its turn.
func (c *conn) advance() {
	for !c.ended {
		x := c.queue[0]
		if x.isAborted {
			c.abortLocked(x)
			return
		}
		// Complete answers are sent together.
		if x.closeAfter || len(c.queue) == 1 || !c.queue[1].isDone || c.queue[1].isAborted {
			if c.flushLocked(); c.ended {
				return
			}
		}
		if x.closeAfter {
			c.shouldLinger = c.shouldLinger || !x.isMarker
			c.endLocked()
			return
		}
		// The queue is short, and keeps its memory.
		n := copy(c.queue, c.queue[1:])
		c.queue[n] = nil
		c.queue = c.queue[:n]
		if c.phase == phaseHold {
			c.interrupt()
		}
		if len(c.queue) == 0 {
			if c.phase == phaseAwait {
				c.setReadTimeout(c.s.IdleTimeout)
			}
			return
		}
		if next := c.queue[0]; !c.giveTurn(next) {
			return
		}
	}
}

// giveTurn writes what an answer has held. It returns true if the answer is complete then.
// Otherwise its handler writes the rest. The caller holds c.mu.
func (c *conn) giveTurn(x *exchange) bool {
	for {
		c.writeHeld(x)
		switch {
		case c.ended:
			return false
		case x.isDone:
			x.isTurn = true
			return true
		case c.bw.Buffered() > 0:
			c.flushLocked()
			continue
		}
		x.isTurn = true
		x.signalTurn()
		return false
	}
}

// abortLocked ends the connection in the middle of an answer. The caller holds c.mu.
func (c *conn) abortLocked(x *exchange) {
	// What is buffered is part of this answer: earlier ones were flushed before its turn,
	// unless it had ended by then.
	if x.headSent {
		c.bw.Reset(&c.out)
	} else {
		c.flushLocked()
	}
	if c.ended {
		return
	}
	// An orderly end lets the caller read the answers before. Only without a length would it
	// take such an end for the end of this answer.
	c.shouldLinger = !x.isUnframed
	c.endLocked()
	if x.isUnframed {
		if t, ok := c.nc.(interface{ SetLinger(sec int) error }); ok {
			_ = t.SetLinger(0)
		}
		c.nc.Close()
	}
}

// endLocked ends the connection. The caller holds c.mu.
func (c *conn) endLocked() {
	if c.ended {
		return
	}
	c.ended, c.closing = true, true
	for _, x := range c.queue {
		if !x.isMarker {
			x.cancel()
		}
		if x.isDone {
			x.dropHeld()
		}
		x.signalTurn()
	}
	c.queue = nil
	c.interrupt()
	close(c.finished)
}

// SetReadDeadline is called by http.ResponseController. It has an effect until the
// request's body was read.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.body.src != nil {
		x.body.setReadDeadline(t)
	}
	return nil
}
