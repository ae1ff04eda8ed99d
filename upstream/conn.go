package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/internal/httpanswer"
)

// conn is a connection to an instance. It carries one request at a time.
type conn struct {
	client  *Client
	address string
	raw     net.Conn
	reader  *bufio.Reader
	// input is the source of reader. It bounds the bytes of headers and of skipped answers.
	input limitedReader
	// used says that the connection has already carried a request.
	used bool
	// ids holds hashes of the IDs of the requests that the connection carried. It is guarded by
	// the client's lock while idle.
	ids []uint64
	// lastUsed and maxIdleTime are guarded by the client's lock while idle.
	lastUsed    time.Time
	maxIdleTime time.Duration

	closeOnce sync.Once
}

func (n *conn) close() {
	n.closeOnce.Do(func() {
		n.raw.Close()
		n.client.release(n.address)
	})
}

// abort closes the connection of an abandoned exchange with a reset, which discards the
// request bytes that the kernel still buffers. Otherwise, after a network cut, they would
// arrive at the instance long after the caller was informed of the failure.
func (n *conn) abort() {
	if tcp, ok := n.raw.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the connection has already ended.
		_ = tcp.SetLinger(0)
	}
	n.close()
}

// ErrTooLong means that the header of an answer, its interim answers or the skipped
// answers before it exceeded their bounds, or that a header has too many fields.
var ErrTooLong = errors.New("upstream: header or skipped answer is too long")

// limitedReader fails when more bytes are read than its limit allows.
type limitedReader struct {
	source io.Reader
	// remaining is the number of bytes that may still be read while isLimited is set.
	remaining int64
	isLimited bool
	head      httpanswer.HeadScan
	// isExceeded is set once a bound was exceeded, after which every limited read fails.
	isExceeded bool
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.isLimited {
		return r.source.Read(p)
	}
	if r.isExceeded = r.isExceeded || r.remaining <= 0; r.isExceeded {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if _, ok := r.head.Scan(p[:n]); !ok {
		r.isExceeded = true
		return 0, ErrTooLong
	}
	return n, err
}

// setLimit bounds the bytes that are read from now on.
func (r *limitedReader) setLimit(bytes int64) { r.remaining, r.isLimited = bytes, true }

// removeLimit removes the bound.
func (r *limitedReader) removeLimit() { r.isLimited = false }

// isReusable reports whether an idle connection is still open and has no unread bytes.
func (n *conn) isReusable() bool { return n.reader.Buffered() == 0 && !hasPendingInput(n.raw) }

// maxInlineBytes is the size up to which a request is written completely before its
// answer is read. An instance may answer a larger request early and stop reading it.
const maxInlineBytes = 4 << 10

// exchange writes the request and reads the header of its answer. Until the body of the
// answer ends, a cancelled context closes the connection.
func (n *conn) exchange(ctx context.Context, x *Exchange) (*http.Response, error) {
	e := &exchangeState{n: n, x: x, began: time.Now()}
	if o := n.client.options.Observer; o != nil {
		o.Attempt(n.address)
	}
	e.stopAbort = context.AfterFunc(ctx, n.abort)
	length := x.Request.ContentLength
	if length >= 0 && length <= maxInlineBytes {
		if err := e.write(); err != nil {
			return nil, e.fail(err)
		}
	} else {
		e.writer.Go(func() {
			if err := e.write(); err != nil {
				// The answer may have arrived already; otherwise reading it fails.
				e.writeFailed.Store(true)
			}
		})
	}
	res, err := e.readHeader()
	if err != nil {
		if o := n.client.options.Observer; o != nil && !e.answered && ctx.Err() == nil {
			o.Failed(n.address, e.lostSince(err))
		}
		return nil, e.fail(err)
	}
	res.Body = &answerBody{body: res.Body, e: e, res: res}
	return res, nil
}

// exchangeState is the state of an exchange on a connection.
type exchangeState struct {
	n         *conn
	x         *Exchange
	began     time.Time
	stopAbort func() bool
	writer    conc.WaitGroup

	// sent counts the bytes that the kernel accepted.
	sent        atomic.Int64
	written     atomic.Bool
	writeFailed atomic.Bool
	answered    bool
	numStray    int
	// notReusable says that the connection delivered an unexpected answer and must not
	// carry another request.
	notReusable bool
}

// lostSince returns the time from which the connection was lost: that of the request if
// its bytes were not acknowledged, else now.
func (e *exchangeState) lostSince(err error) time.Time {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return e.began
	}
	return time.Now()
}

func (e *exchangeState) write() error {
	w := bufio.NewWriterSize(countingWriter{e}, bufferBytes)
	if err := e.x.Request.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	e.written.Store(true)
	return nil
}

// countingWriter counts the bytes that the kernel accepted. If it accepted none, the
// instance can't have received any part of the request.
type countingWriter struct{ e *exchangeState }

func (w countingWriter) Write(p []byte) (int, error) {
	k, err := w.e.n.raw.Write(p)
	w.e.sent.Add(int64(k))
	return k, err
}

// readHeader returns the header of the answer to this request. It skips interim answers
// and answers to other requests.
func (e *exchangeState) readHeader() (*http.Response, error) {
	n, options := e.n, &e.n.client.options
	headerBytesLeft := options.MaxHeaderBytes
	strayBytesLeft, numInterim := int64(maxStrayBytes), 0
	for {
		n.input.setLimit(headerBytesLeft)
		if _, err := n.reader.Peek(1); err != nil {
			return nil, err
		}
		if o := n.client.options.Observer; o != nil && !e.answered {
			o.Answered(n.address)
		}
		e.answered = true
		buffered, _ := n.reader.Peek(n.reader.Buffered())
		n.input.head.Begin(1 + options.MaxHeaderFields)
		if _, ok := n.input.head.Scan(buffered); !ok {
			return nil, ErrTooLong
		}
		// If setting the deadline fails, the next read fails too.
		_ = n.raw.SetReadDeadline(time.Now().Add(options.HeaderTimeout))
		res, err := http.ReadResponse(n.reader, e.x.Request)
		if err != nil && n.input.isExceeded {
			// The error would be about the line that was cut off.
			return nil, ErrTooLong
		}
		if err != nil {
			return nil, err
		}
		if err := httpanswer.CheckHead(res, &n.input.head); err != nil {
			return nil, err
		}
		headerBytesLeft = n.input.remaining
		_ = n.raw.SetReadDeadline(time.Time{})
		n.input.removeLimit()
		switch {
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream: unexpected protocol switch")
		case res.StatusCode < http.StatusOK:
			if numInterim++; numInterim > httpanswer.MaxInterimAnswers {
				return nil, ErrTooLong
			}
			continue
		}
		switch e.matchAnswer(res) {
		case MatchLast:
			e.notReusable = true
			return res, nil
		case MatchRequest:
			return res, nil
		case MatchUnknown:
			e.notReusable = true
			if !n.used && e.numStray == 0 {
				return res, nil
			}
			return nil, errors.New("upstream: answer without request ID on a connection with other answers")
		}
		e.notReusable = true
		if e.numStray++; e.numStray > maxStrayAnswers || res.Close || !isFramed(res) {
			return nil, errors.New("upstream: answer to another request")
		}
		n.input.setLimit(strayBytesLeft)
		_ = n.raw.SetReadDeadline(time.Now().Add(options.HeaderTimeout))
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		_ = n.raw.SetReadDeadline(time.Time{})
		strayBytesLeft = n.input.remaining
	}
}

func (e *exchangeState) matchAnswer(res *http.Response) Match {
	if e.x.MatchAnswer == nil {
		return MatchRequest
	}
	return e.x.MatchAnswer(res)
}

// isFramed reports whether the end of the answer is known without the end of the
// connection.
func isFramed(res *http.Response) bool {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		return true
	}
	return res.Request != nil && res.Request.Method == http.MethodHead
}

func (e *exchangeState) fail(err error) *Error {
	e.n.abort()
	e.end(false)
	return &Error{Written: e.sent.Load() > 0, Answered: e.answered, Stray: e.numStray, Err: err}
}

// end returns the connection to its pool, or closes it.
func (e *exchangeState) end(reuse bool) {
	// If stopAbort returns false, the context is already closing the connection.
	reuse = e.stopAbort() && reuse && e.written.Load() && !e.writeFailed.Load() && !e.notReusable
	if !reuse {
		e.n.close()
	}
	e.writer.Wait()
	if reuse {
		e.n.used = true
		e.n.client.putIdle(e.n)
	}
}

// answerBody ends the exchange at the end of the answer's body.
type answerBody struct {
	body  io.ReadCloser
	e     *exchangeState
	res   *http.Response
	ended bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	k, err := b.body.Read(p)
	if err == io.EOF {
		b.finish(true)
	} else if err != nil {
		b.finish(false)
	}
	return k, err
}

func (b *answerBody) Close() error {
	b.finish(b.res.ContentLength == 0)
	return nil
}

func (b *answerBody) finish(complete bool) {
	if b.ended {
		return
	}
	b.ended = true
	n := b.e.n
	if id := b.e.x.ID; id != "" {
		n.ids = append(n.ids, xxhash.Sum64String(id))
	}
	if limit, ok := keepAlive(b.res.Header); ok {
		n.maxIdleTime = min(limit/2, n.client.options.MaxIdleTime)
	}
	b.e.end(complete && !b.res.Close && isFramed(b.res) && n.reader.Buffered() == 0 && n.maxIdleTime > 0 && len(n.ids) < maxRequests)
}

// keepAlive returns how long the instance keeps an idle connection, if it states it.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
