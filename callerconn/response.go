package callerconn

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answerBufferBytes is the size up to which an answer without a length is buffered, so that
// a short one gets a length. net/http's server has the same.
const answerBufferBytes = 2 << 10

// response is the state of an answer. It is used by the goroutine of the handler.
type response struct {
	header http.Header
	// sent is the header at the time of WriteHeader. The handler may change its own until the
	// head is sent.
	sent   http.Header
	status int
	// contentLength is what the handler declared, or -1.
	contentLength int64
	written       int64
	// pooled holds the beginning of the body until the head is sent.
	pooled *[]byte
	// isChunked and isUnframed tell how the body's end is marked. isUnframed means that the
	// connection's end is the body's end.
	isChunked, isUnframed bool
	isFullDuplex          bool
	writeDeadline         time.Time

	// continueMu guards headSent against the goroutine that reads the body.
	continueMu sync.Mutex
	headSent   bool
}

var (
	answerBuffers = sync.Pool{New: func() any { b := make([]byte, 0, answerBufferBytes); return &b }}
	headBuffers   = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header {
	if x.header == nil {
		x.header = make(http.Header)
	}
	return x.header
}

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	switch {
	case status < 100 || status > 999:
		panic(fmt.Sprintf("callerconn: status %d", status))
	case x.status != 0:
		x.c.s.logf("superfluous WriteHeader for %s", x.c.remote)
		return
	case status < 200 && status != http.StatusSwitchingProtocols:
		x.writeInterim(status)
		return
	}
	x.status = status
	h := x.Header()
	if text := h.Get("Content-Length"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err == nil && n >= 0 {
			x.contentLength = n
		} else {
			x.c.s.logf("invalid Content-Length %q", text)
			h.Del("Content-Length")
		}
	}
	if _, isTyped := h["Content-Type"]; isTyped && x.contentLength >= 0 && x.body.isDone() {
		// The head depends on nothing that follows. Sending it now saves a copy of the
		// header. An error appears again with the next write.
		x.sent = h
		_ = x.sendHead(nil, false)
		return
	}
	x.sent = h.Clone()
}

// writeInterim sends an informational answer.
func (x *exchange) writeInterim(status int) {
	if !x.isHTTP11 {
		return
	}
	x.c.mu.Lock()
	err := x.awaitTurn()
	x.c.mu.Unlock()
	if err != nil {
		return
	}
	head, _ := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(head)
	head.Reset()
	x.writeStatusLine(head, status)
	_ = x.Header().WriteSubset(head, map[string]bool{"Content-Length": true, "Transfer-Encoding": true})
	head.WriteString("\r\n")
	_, _ = x.c.bw.Write(head.Bytes())
	_ = x.c.bw.Flush()
}

func isBodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !isBodyAllowed(x.status) {
		return 0, http.ErrBodyNotAllowed
	}
	if x.written += int64(len(p)); x.contentLength >= 0 && x.written > x.contentLength {
		return 0, http.ErrContentLength
	}
	if x.headSent {
		return len(p), x.writeBody(p)
	}
	if x.contentLength < 0 || x.method == http.MethodHead {
		if x.pooled == nil {
			x.pooled, _ = answerBuffers.Get().(*[]byte)
		}
		if len(*x.pooled)+len(p) <= answerBufferBytes {
			*x.pooled = append(*x.pooled, p...)
			return len(p), nil
		}
	}
	if err := x.sendHead(p, false); err != nil {
		return 0, err
	}
	return len(p), x.writeBody(p)
}

// WriteString implements io.StringWriter.
func (x *exchange) WriteString(s string) (int, error) { return x.Write([]byte(s)) }

// writeBody sends a part of the body after the head.
func (x *exchange) writeBody(p []byte) error {
	if x.method == http.MethodHead || len(p) == 0 {
		return nil
	}
	if x.isChunked {
		var line [20]byte
		if err := x.emit(append(strconv.AppendInt(line[:0], int64(len(p)), 16), "\r\n"...)); err != nil {
			return err
		}
	}
	if err := x.emit(p); err != nil {
		return err
	}
	if x.isChunked {
		return x.emit([]byte("\r\n"))
	}
	return nil
}

// sendHead sends the status and the header, and what was buffered of the body. next is what
// is written after it, and isFinal says that nothing is.
func (x *exchange) sendHead(next []byte, isFinal bool) error {
	var buffered []byte
	if x.pooled != nil {
		buffered = *x.pooled
		defer func() {
			*x.pooled = (*x.pooled)[:0]
			answerBuffers.Put(x.pooled)
			x.pooled = nil
		}()
	}
	x.setFraming(buffered, next, isFinal)
	head, _ := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(head)
	head.Reset()
	x.writeStatusLine(head, x.status)
	_ = x.sent.Write(head)
	if _, ok := x.sent["Date"]; !ok {
		head.WriteString("Date: ")
		head.Write(time.Now().UTC().AppendFormat(head.AvailableBuffer(), http.TimeFormat))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	if err := x.emit(head.Bytes()); err != nil {
		return err
	}
	return x.writeBody(buffered)
}

func (x *exchange) writeStatusLine(b *bytes.Buffer, status int) {
	if x.isHTTP11 {
		b.WriteString("HTTP/1.1 ")
	} else {
		b.WriteString("HTTP/1.0 ")
	}
	b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(status), 10))
	b.WriteByte(' ')
	if text := http.StatusText(status); text != "" {
		b.WriteString(text)
	} else {
		b.WriteString("status code ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(status), 10))
	}
	b.WriteString("\r\n")
}

// setFraming completes the header and decides whether the connection closes after the
// answer.
func (x *exchange) setFraming(buffered, next []byte, isFinal bool) {
	h := x.sent
	isHead := x.method == http.MethodHead
	hasBody := isBodyAllowed(x.status)
	// The server chooses the transfer encoding.
	delete(h, "Transfer-Encoding")
	if isFinal && x.contentLength < 0 && hasBody && (!isHead || len(buffered) > 0) {
		x.contentLength = int64(len(buffered))
		h["Content-Length"] = []string{strconv.Itoa(len(buffered))}
	}
	if _, ok := h["Content-Type"]; !ok && hasBody && len(buffered)+len(next) > 0 && h.Get("Content-Encoding") == "" {
		first := buffered
		if len(first) == 0 {
			first = next
		}
		h["Content-Type"] = []string{http.DetectContentType(first)}
	}
	switch {
	case x.status == http.StatusNotModified:
		delete(h, "Content-Type")
		delete(h, "Content-Length")
	case !hasBody:
		delete(h, "Content-Length")
	}
	_, hasConnection := h["Connection"]
	hasClose := hasToken(h.Get("Connection"), "close")
	closes := x.wantsClose || hasClose
	x.continueMu.Lock()
	x.headSent = true
	x.continueMu.Unlock()
	if x.body.isExpected {
		closes = closes || !x.body.isDone()
	} else if !x.isFullDuplex && !closes {
		// While the server finishes, no answer waits for a body that nobody reads.
		closes = (x.c.s.finishing.Load() && !x.body.hasArrived()) || !x.body.settle()
	}
	switch {
	case isHead || !hasBody || x.contentLength >= 0:
	case x.isHTTP11:
		x.isChunked = true
		h["Transfer-Encoding"] = []string{"chunked"}
	default:
		x.isUnframed, closes = true, true
	}
	x.c.mu.Lock()
	if x.c.isFinished(x) {
		closes = true
	}
	if closes {
		x.c.closeAfter(x)
	}
	x.c.mu.Unlock()
	switch {
	case closes && !hasClose:
		delete(h, "Connection")
		if x.isHTTP11 {
			h["Connection"] = []string{"close"}
		}
	case x.wants10KeepAlive && !hasConnection:
		h["Connection"] = []string{"keep-alive"}
	}
}

// Flush implements http.Flusher.
func (x *exchange) Flush() { _ = x.FlushError() }

// FlushError is called by http.ResponseController.
func (x *exchange) FlushError() error {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if !x.headSent {
		if err := x.sendHead(nil, false); err != nil {
			return err
		}
	}
	return x.flush()
}

// EnableFullDuplex is called by http.ResponseController. The body is then not discarded
// before the head of the answer is sent.
func (x *exchange) EnableFullDuplex() error {
	x.isFullDuplex = true
	return nil
}

// SetWriteDeadline is called by http.ResponseController.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.writeDeadline = t
	return nil
}

// complete sends the end of the answer after the handler has returned.
func (x *exchange) complete() {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	var err error
	if !x.headSent {
		err = x.sendHead(nil, true)
	}
	if err == nil && x.isChunked {
		err = x.emit([]byte("0\r\n\r\n"))
	}
	isWhole := x.method == http.MethodHead || !isBodyAllowed(x.status) || x.contentLength < 0 || x.written == x.contentLength
	if !x.body.isDone() && err == nil {
		// The caller may wait for the answer before it sends the rest of the body.
		if err = x.flush(); err == nil && x.isFullDuplex && !x.body.isExpected {
			x.body.settle()
		}
	}
	bodyIsWhole := x.body.finish()
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failOn(err)
	if !isWhole || !bodyIsWhole {
		c.closeAfter(x)
	}
	c.finish(x)
}
