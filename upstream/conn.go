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
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// conn is one connection to an instance. It carries one request at a time.
type conn struct {
	client  *Client
	address string
	raw     net.Conn
	reader  *bufio.Reader
	// bounded is what reader reads from.
	bounded boundedReader
	// used says that the connection carried a request before the present one.
	used bool
	// lastUsed and idleFor are guarded by the client's lock while idle.
	lastUsed time.Time
	idleFor  time.Duration

	closeOnce sync.Once
}

func (n *conn) close() {
	n.closeOnce.Do(func() {
		n.raw.Close()
		n.client.release(n.address)
	})
}

// abort closes a connection whose exchange is given up. What the kernel still holds of
// the request is dropped with it: behind a cut it would arrive once the cut heals, long
// after the caller was told that the request is given up.
func (n *conn) abort() {
	if tcp, ok := n.raw.(*net.TCPConn); ok {
		// A failure means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
	n.close()
}

// ErrTooLong means that an instance sent more than an answer may have.
var ErrTooLong = errors.New("upstream: header or skipped answer is too long")

// boundedReader fails once more bytes were read than allowed.
type boundedReader struct {
	from io.Reader
	// left is the number of bytes allowed while bound is set.
	left  int64
	bound bool
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.bound {
		return r.from.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// allow bounds the bytes that are read from now on.
func (r *boundedReader) allow(bytes int64) { r.left, r.bound = bytes, true }

// release ends the bound.
func (r *boundedReader) release() { r.bound = false }

// isQuiet tells whether an idle connection is open and holds no bytes.
func (n *conn) isQuiet() bool { return n.reader.Buffered() == 0 && !hasPending(n.raw) }

// inlineBytes is the size up to which a request is written before its answer is
// read. An instance may answer a longer one early, and stop reading.
const inlineBytes = 4 << 10

// exchange writes the request and reads the header of its answer. A cancelled
// context closes the connection at any time until the body of the answer ends.
func (n *conn) exchange(ctx context.Context, x *Exchange) (*http.Response, error) {
	e := &running{n: n, x: x}
	e.unwatch = context.AfterFunc(ctx, n.abort)
	length := x.Request.ContentLength
	if length >= 0 && length <= inlineBytes {
		if err := e.write(); err != nil {
			return nil, e.fail(err)
		}
	} else {
		e.writer.Go(func() {
			if err := e.write(); err != nil {
				// The answer may already be here; if not, reading it fails.
				e.writeFailed.Store(true)
			}
		})
	}
	res, err := e.readHeader()
	if err != nil {
		return nil, e.fail(err)
	}
	res.Body = &answerBody{body: res.Body, e: e, res: res}
	return res, nil
}

// running is an exchange on a connection.
type running struct {
	n       *conn
	x       *Exchange
	unwatch func() bool
	writer  conc.WaitGroup

	// sent counts the bytes that were handed to the kernel.
	sent        atomic.Int64
	written     atomic.Bool
	writeFailed atomic.Bool
	answered    bool
	stray       int
	// unfit says that the connection brought something unexpected and must not
	// carry another request.
	unfit bool
}

func (e *running) write() error {
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

// countingWriter counts what the kernel took: a write that failed as a whole
// proves that the instance got nothing.
type countingWriter struct{ e *running }

func (w countingWriter) Write(p []byte) (int, error) {
	k, err := w.e.n.raw.Write(p)
	w.e.sent.Add(int64(k))
	return k, err
}

// readHeader returns the header of the answer to this request. Interim answers
// and answers to other requests are skipped.
func (e *running) readHeader() (*http.Response, error) {
	n, options := e.n, &e.n.client.options
	headers := options.HeaderBytes
	strays, interim := int64(maxStrayBytes), 0
	for {
		n.bounded.allow(headers)
		if _, err := n.reader.Peek(1); err != nil {
			return nil, err
		}
		e.answered = true
		// A failure to set the deadline shows in the next read.
		_ = n.raw.SetReadDeadline(time.Now().Add(options.HeaderTime))
		res, err := http.ReadResponse(n.reader, e.x.Request)
		if err != nil {
			return nil, err
		}
		headers = n.bounded.left
		_ = n.raw.SetReadDeadline(time.Time{})
		n.bounded.release()
		switch {
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream: unexpected switch of protocols")
		case res.StatusCode < http.StatusOK:
			if interim++; interim > maxInterimAnswers {
				return nil, ErrTooLong
			}
			continue
		}
		switch e.belongs(res) {
		case Own:
			return res, nil
		case Unnamed:
			e.unfit = true
			if !n.used && e.stray == 0 {
				return res, nil
			}
			return nil, errors.New("upstream: answer that names no request on a connection that carried others")
		}
		e.unfit = true
		if e.stray++; e.stray > maxStrayAnswers || res.Close || !isFramed(res) {
			return nil, errors.New("upstream: answer to another request")
		}
		n.bounded.allow(strays)
		_ = n.raw.SetReadDeadline(time.Now().Add(options.HeaderTime))
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		_ = n.raw.SetReadDeadline(time.Time{})
		strays = n.bounded.left
	}
}

func (e *running) belongs(res *http.Response) Belonging {
	if e.x.Belongs == nil {
		return Own
	}
	return e.x.Belongs(res)
}

// isFramed tells whether the end of the answer is known without the end of its
// connection.
func isFramed(res *http.Response) bool {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		return true
	}
	return res.Request != nil && res.Request.Method == http.MethodHead
}

func (e *running) fail(err error) *Error {
	e.n.abort()
	e.end(false)
	return &Error{Written: e.sent.Load() > 0, Answered: e.answered, Stray: e.stray, Err: err}
}

// end gives the connection back, or closes it.
func (e *running) end(reuse bool) {
	// After a false result the connection is being closed by the context.
	reuse = e.unwatch() && reuse && e.written.Load() && !e.writeFailed.Load() && !e.unfit
	if !reuse {
		e.n.close()
	}
	e.writer.Wait()
	if reuse {
		e.n.used = true
		e.n.client.keep(e.n)
	}
}

// answerBody ends the exchange when the body of the answer has ended.
type answerBody struct {
	body  io.ReadCloser
	e     *running
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

func (b *answerBody) finish(whole bool) {
	if b.ended {
		return
	}
	b.ended = true
	n := b.e.n
	if limit, ok := keepAlive(b.res.Header); ok {
		n.idleFor = min(limit/2, n.client.options.Idle)
	}
	b.e.end(whole && !b.res.Close && isFramed(b.res) && n.reader.Buffered() == 0 && n.idleFor > 0)
}

// keepAlive returns the time for which the instance keeps an idle connection.
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
