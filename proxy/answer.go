package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

// deliver passes a whole answer to the caller. An answer that ends early is an
// error as long as nothing was passed on; after that the connection is aborted,
// so that the caller cannot take the part for the whole.
func (x *exchange) deliver(a *attempt) *verdict.Error {
	res := a.res
	defer res.Body.Close()
	if !isFramed(res) && !x.h.options.AcceptUnframed {
		a.err = verdict.Wrap(errors.New("answer without length or chunks"), verdict.MayHaveRun, verdict.ReasonTruncated)
		a.fail()
		return a.err
	}
	var kept []byte
	switch {
	case x.r.Method == http.MethodHead:
	case res.ContentLength >= 0 && res.ContentLength <= x.h.options.HoldBytes:
		buf, release := x.answerBuffer(int(res.ContentLength))
		defer release()
		if _, err := io.ReadFull(res.Body, buf); err != nil {
			return x.failTruncated(a, err)
		}
		// Reads the end, which frees the connection.
		_, _ = res.Body.Read(make([]byte, 1))
		kept = buf
	case res.ContentLength < 0 && x.h.options.AcceptUnframed:
		buf, err := io.ReadAll(io.LimitReader(res.Body, x.h.options.HoldBytes+1))
		if err != nil {
			return x.failTruncated(a, err)
		}
		if int64(len(buf)) > x.h.options.HoldBytes {
			res.Body = prefixedBody{io.MultiReader(bytes.NewReader(buf), res.Body), res.Body}
			break
		}
		res.ContentLength = int64(len(buf))
		kept = buf
	}
	x.writeHeader(res)
	n, err := x.copyBody(a, &kept)
	if err != nil {
		a.err = x.truncationError(a, err)
		a.fail()
		if x.claim != nil {
			x.claim.Forget()
		}
		x.h.options.Metrics.Refused(a.err.Reason)
		event.AnswerAborted.Log(x.h.options.Log, append(x.logAttrs(), "instance", a.selection.Instance().ID, "bytes", n, "error", err)...)
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

// prefixedBody is a body whose beginning was read ahead.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// failTruncated ends an attempt whose answer ended early before any of it was passed
// on.
func (x *exchange) failTruncated(a *attempt, err error) *verdict.Error {
	a.err = x.truncationError(a, err)
	a.fail()
	return a.err
}

// answerBuffer returns memory for a body of n bytes, and what gives it back. Only a
// claim keeps the body past the end of the request.
func (x *exchange) answerBuffer(n int) (buf []byte, release func()) {
	if x.claim != nil || n > copyBufferBytes {
		return make([]byte, n), func() {}
	}
	buffer, _ := copyBuffers.Get().(*[]byte)
	return (*buffer)[:n], func() { copyBuffers.Put(buffer) }
}

// isCallerConnected tells whether the caller still listens.
func (x *exchange) isCallerConnected() bool { return x.r.Context().Err() == nil }

// isFramed tells whether the end of the answer can be recognised.
func isFramed(res *http.Response) bool {
	chunked := len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
	return res.ContentLength >= 0 || chunked || res.Request.Method == http.MethodHead
}

func (x *exchange) truncationError(a *attempt, err error) *verdict.Error {
	if x.ctx.Err() != nil {
		return a.classify(err)
	}
	return x.addRetryAfter(verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonTruncated))
}

func (x *exchange) writeHeader(res *http.Response) {
	h := x.w.Header()
	// Headers of this VM's own, such as Connection, stay.
	removeHopByHop(res.Header)
	for name, values := range res.Header {
		h[name] = values
	}
	// A refusal in the upstream's name is its own; this VM's verdict headers
	// are set only on refusals of this VM.
	h.Del(verdict.HeaderVerdict)
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the library from guessing one.
		h["Content-Type"] = nil
	}
	if res.ContentLength >= 0 && len(h["Content-Length"]) != 1 {
		h.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	x.answerStarted = true
	x.w.WriteHeader(res.StatusCode)
}

// copyBody passes the body on, and keeps it if it is small.
func (x *exchange) copyBody(a *attempt, kept *[]byte) (int64, error) {
	if *kept != nil {
		// Failure to write means that the caller went; the answer is whole.
		n, _ := x.w.Write(*kept)
		return int64(n), nil
	}
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	var out io.Writer = flushWriter{x.w, http.NewResponseController(x.w)}
	var keep bytes.Buffer
	if x.claim != nil {
		out = &teeWriter{out: out, keep: &keep, limit: x.h.options.HoldBytes}
	}
	n, err := io.CopyBuffer(out, a.res.Body, *buffer)
	if x.claim != nil && keep.Len() == int(n) && n <= x.h.options.HoldBytes {
		*kept = append([]byte{}, keep.Bytes()...)
	}
	return n, err
}

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// flushWriter passes each part on at once, so that streams are not delayed.
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

// teeWriter keeps the first bytes of what it passes on. It goes on after the
// caller has gone, because the answer is kept for a resend.
type teeWriter struct {
	out  io.Writer
	keep *bytes.Buffer
	// limit of the bytes that are kept.
	limit      int64
	callerGone bool
}

func (k *teeWriter) Write(p []byte) (int, error) {
	if int64(k.keep.Len()+len(p)) <= k.limit {
		k.keep.Write(p)
	}
	if !k.callerGone {
		if _, err := k.out.Write(p); err != nil {
			k.callerGone = true
		}
	}
	return len(p), nil
}

// replay answers with what an earlier send of the same request got.
func (x *exchange) replay(a *Answer) {
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	removeHopByHop(h)
	h.Set(HeaderReplayed, "true")
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	// The request ID of a resend is its own.
	if id := x.r.Header.Get(HeaderRequestID); id != "" && h.Get(HeaderRequestID) != "" {
		h.Set(HeaderRequestID, id)
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body)
}
