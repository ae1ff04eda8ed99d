package proxy

import (
	"bytes"
	"crypto/tls"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// deliver forwards the answer of an attempt to the caller. If the answer ends early
// before anything was forwarded, it returns an error; after that it aborts the
// caller's connection, so that the caller cannot take the part for the whole.
func (x *exchange) deliver(a *attempt) *verdict.Error {
	res := a.res
	defer res.Body.Close()
	if !isFramed(res) && !x.h.options.AcceptUnframed {
		a.err = verdict.Wrap(errors.New("answer has neither Content-Length nor chunked encoding"), verdict.MayHaveRun, verdict.ReasonTruncated)
		a.fail()
		return a.err
	}
	if n := headBytes(res.Header); n > smallHeadBytes && !x.memory.reserve(n, false) {
		a.err = x.addRetryAfter(verdict.Wrap(errNoMemory, verdict.MayHaveRun, verdict.ReasonOverloaded))
		a.fail()
		return a.err
	}
	var kept []byte
	switch {
	case x.r.Method == http.MethodHead:
	case res.ContentLength >= 0 && res.ContentLength <= x.h.options.MaxBufferBytes && x.reserveAnswer(res.ContentLength):
		buf, release := x.answerBuffer(int(res.ContentLength))
		defer release()
		if _, err := io.ReadFull(res.Body, buf); err != nil {
			return x.failTruncated(a, err)
		}
		// The connection can be reused only after its body returned io.EOF.
		_, _ = res.Body.Read(make([]byte, 1))
		kept = buf
	case res.ContentLength < 0 && x.h.options.AcceptUnframed:
		answer, err := readSegments(res.Body, x.h.options.MaxBufferBytes+1, &x.memory, false)
		if errors.Is(err, errNoMemory) || answer.length > x.h.options.MaxBufferBytes {
			res.Body = prefixedBody{io.MultiReader(&segmentReader{s: &answer}, res.Body), res.Body}
			break
		}
		if err != nil {
			return x.failTruncated(a, err)
		}
		buf := answer.join()
		res.ContentLength = int64(len(buf))
		kept = buf
	}
	x.writeHeader(res)
	n, err := x.copyBody(a, &kept)
	if err != nil {
		a.err = x.truncationError(a, err)
		a.fail()
		if x.claim != nil {
			x.claim.MarkUnknown()
		}
		x.h.options.Metrics.CountRefusal(a.err.Reason)
		event.AnswerAborted.Log(x.h.options.Log, append(x.logAttrs(), "instance", a.selection.Instance().ID, "bytes", n, "error", err)...)
		x.resetHTTP10()
		panic(http.ErrAbortHandler)
	}
	if res.ContentLength >= 0 && n != res.ContentLength && x.isCallerConnected() && x.r.Method != http.MethodHead {
		invariant.Check(invariant.AnswerWhole, false, "%d of %d bytes passed on as whole", n, res.ContentLength)
	}
	a.finish(Outcome{Verdict: verdict.Ran, AnswerBytes: n})
	x.h.meters.recordAnswer(x.query.Service.Name, res.StatusCode, x.h.options.Now().Sub(x.received))
	event.RequestAnswered.Log(x.h.options.Log, append(append(x.logAttrs(), selectionLogAttrs(a.selection)...),
		"status", res.StatusCode, "instance_ms", a.latency.Milliseconds(), "bytes", n)...)
	if x.claim != nil {
		x.claim.Done(&Answer{Status: res.StatusCode, Header: res.Header, Body: kept})
	}
	return nil
}

// resetHTTP10 resets the connection of a caller of HTTP/1.0 whose answer ended early: it may know the
// end of the answer only by that of the connection, and net/http would end it in an orderly way.
func (x *exchange) resetHTTP10() {
	if x.r.ProtoAtLeast(1, 1) {
		return
	}
	c, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		// callerconn hands no connection over, and resets it when the handler panics.
		return
	}
	if t, ok := c.(*tls.Conn); ok {
		// Its own Close would tell the caller that the connection ends in an orderly way.
		c = t.NetConn()
	}
	defer c.Close()
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the connection has already ended.
		_ = t.SetLinger(0)
	}
}

// reserveAnswer reserves the buffer of an answer that doesn't fit into a pooled one. If it
// returns false, the answer is forwarded as it arrives.
func (x *exchange) reserveAnswer(n int64) bool {
	return n <= copyBufferBytes || x.memory.reserve(n, false)
}

// prefixedBody is a body whose beginning was already read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// failTruncated ends an attempt whose answer ended early before any of it was
// forwarded.
func (x *exchange) failTruncated(a *attempt, err error) *verdict.Error {
	a.err = x.truncationError(a, err)
	a.fail()
	return a.err
}

// answerBuffer returns a buffer of n bytes and a function that returns it to the
// pool. The buffer of a claimed request is not pooled, since the claim retains it
// after the request.
func (x *exchange) answerBuffer(n int) (buf []byte, release func()) {
	if x.claim != nil || n > copyBufferBytes {
		return make([]byte, n), func() {}
	}
	buffer, _ := copyBuffers.Get().(*[]byte)
	return (*buffer)[:n], func() { copyBuffers.Put(buffer) }
}

// isCallerConnected reports whether the caller still waits for the answer.
func (x *exchange) isCallerConnected() bool { return x.r.Context().Err() == nil }

// isFramed reports whether an early end of the answer can be told from its proper
// end.
func isFramed(res *http.Response) bool {
	chunked := len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
	return res.ContentLength >= 0 || chunked || res.Request.Method == http.MethodHead
}

// truncationError returns the error of an answer that ended early.
func (x *exchange) truncationError(a *attempt, err error) *verdict.Error {
	if x.ctx.Err() != nil {
		return a.classify(err)
	}
	return x.addRetryAfter(verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonTruncated))
}

// writeHeader sends the status and header of an upstream's answer to the caller.
func (x *exchange) writeHeader(res *http.Response) {
	h := x.w.Header()
	// Only the upstream's hop-by-hop headers are removed, not those that this VM
	// has set on its answer, such as Connection.
	removeHopByHop(res.Header)
	for name, values := range res.Header {
		h[name] = values
	}
	// The verdict header appears only in refusals of this VM. An upstream's own
	// verdict is not forwarded.
	h.Del(verdict.HeaderVerdict)
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from guessing one.
		h["Content-Type"] = nil
	}
	if res.ContentLength >= 0 && len(h["Content-Length"]) != 1 {
		h.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	x.answerStarted = true
	x.w.WriteHeader(res.StatusCode)
}

// copyBody forwards the body and returns its length. It sets kept to the body if a
// claim needs it and it is small enough.
func (x *exchange) copyBody(a *attempt, kept *[]byte) (int64, error) {
	if *kept != nil {
		// A write error means that the caller disconnected. The answer itself is
		// complete.
		n, _ := x.w.Write(*kept)
		return int64(n), nil
	}
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	var out io.Writer = flushWriter{x.w, http.NewResponseController(x.w)}
	var keep bytes.Buffer
	if x.claim != nil {
		out = &teeWriter{out: out, keep: &keep, limit: x.h.options.MaxBufferBytes}
	}
	n, err := io.CopyBuffer(out, a.res.Body, *buffer)
	if x.claim != nil && keep.Len() == int(n) && n <= x.h.options.MaxBufferBytes {
		*kept = append([]byte{}, keep.Bytes()...)
	}
	return n, err
}

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// flushWriter flushes each part at once, so that streamed answers are not delayed.
type flushWriter struct {
	w http.ResponseWriter
	c *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil && n < copyBufferBytes {
		err = f.c.Flush()
	}
	return n, err
}

// teeWriter forwards to out and copies up to limit bytes to keep. After a write
// error, because the caller disconnected, it still copies, since the answer is
// stored for a resend.
type teeWriter struct {
	out        io.Writer
	keep       *bytes.Buffer
	limit      int64
	callerGone bool
}

func (t *teeWriter) Write(p []byte) (int, error) {
	if int64(t.keep.Len()+len(p)) <= t.limit {
		t.keep.Write(p)
	}
	if !t.callerGone {
		if _, err := t.out.Write(p); err != nil {
			t.callerGone = true
		}
	}
	return len(p), nil
}

// replay sends the stored answer of an earlier send of the request.
func (x *exchange) replay(a *Answer) {
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	removeHopByHop(h)
	h.Set(HeaderReplayed, "true")
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	// The answer gets the request ID of this send, not that of the earlier one.
	if id := x.r.Header.Get(HeaderRequestID); id != "" && h.Get(HeaderRequestID) != "" {
		h.Set(HeaderRequestID, id)
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body)
}
