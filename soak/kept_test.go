package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

const (
	// keptPrefix begins the IDs of requests on kept connections, and downloadMark ends those
	// with a long answer of downloadBytes.
	keptPrefix    = "kept"
	downloadMark  = "d"
	downloadBytes = 100_000
	// keptDeadline is the deadline of these requests. It is longer than the longest work
	// and a slow reader's time together.
	keptDeadline = 4 * time.Second
	// maxAhead is the number of reads that a pipelining caller sends without an answer.
	maxAhead = 5
	// A slow reader reads slowPiece bytes every slowPause, a download within about a second.
	slowPiece = 4 << 10
	slowPause = 40 * time.Millisecond
	// maxIdle is the longest time for which a caller leaves a kept connection idle. It is
	// the grace of planned stops, so that requests are sent at any time of the grace.
	maxIdle = 6 * time.Second
)

// keptBehaviour makes instances work long enough that a VM has several requests at
// instances whenever it is stopped. None of these requests gets a faulty answer.
func keptBehaviour(id string) standin.Behaviour {
	work := []time.Duration{30, 30, 60, 60, 200, 200, 500, 500, 900, 2000}
	sum := 0
	for _, c := range []byte(id) {
		sum = sum*7 + int(c)
	}
	b := standin.Behaviour{Work: work[sum%len(work)] * time.Millisecond}
	if strings.HasSuffix(id, downloadMark) {
		b.AnswerBytes = downloadBytes
	}
	return b
}

// isOwnFailure reports whether a VM failed a request by itself: answers to requests that an
// instance ran have a stamp.
func isOwnFailure(res *http.Response) bool {
	return res.StatusCode >= http.StatusInternalServerError && res.Header.Get("X-Currantferry-Response-Stamp") == ""
}

// setFailure notes why a request got no complete answer of an instance.
func (r *request) setFailure(err error) {
	if err != nil {
		r.failure = err.Error()
	} else if r.isOwnFailure {
		r.failure = fmt.Sprint(r.status, " ", r.body)
	}
}

// keptKind is how a keptCaller uses its connections.
type keptKind int

const (
	oneByOne keptKind = iota
	pipelining
	readingSlowly
	idling
	numKeptKinds
)

// keptCaller is a caller that keeps a connection open until the VM closes it or says that
// it will, and sends on it also while the VM stops.
type keptCaller struct {
	w      *world
	number int
	kind   keptKind
	rng    *rand.Rand
	count  int
	stop   <-chan struct{}
}

func newKeptCaller(w *world, number int, stop <-chan struct{}) *keptCaller {
	return &keptCaller{w: w, number: number, kind: keptKind(number % int(numKeptKinds)), rng: rand.New(rand.NewPCG(w.seed, 100+uint64(number))), stop: stop}
}

// wait waits for a time, and reports whether the caller goes on.
func (c *keptCaller) wait(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// run holds one connection after the other. Every second caller connects to its VM again
// until that accepts no connection, the others go to another VM.
func (c *keptCaller) run() {
	v := c.w.vms[c.number%len(c.w.vms)]
	for c.wait(callPause) {
		conn, err := net.DialTimeout("tcp", v.caller, time.Second)
		if err != nil {
			v = c.w.vms[c.rng.IntN(len(c.w.vms))]
			continue
		}
		if c.kind == readingSlowly {
			_ = conn.(*net.TCPConn).SetReadBuffer(slowPiece)
		}
		reader := bufio.NewReaderSize(conn, slowPiece)
		for isOpen := true; isOpen; {
			isOpen = c.pause() && c.exchange(v, conn, reader)
		}
		conn.Close()
		if c.number/int(numKeptKinds)%2 == 0 {
			v = c.w.vms[c.rng.IntN(len(c.w.vms))]
		}
	}
}

// pause waits before the next request, and reports whether the caller goes on.
func (c *keptCaller) pause() bool {
	if c.kind == idling {
		return c.wait(time.Duration(c.rng.Int64N(int64(maxIdle))))
	}
	return c.wait(callPause)
}

// nextCall returns the next request. Pipelining and slowly reading callers send no orders.
func (c *keptCaller) nextCall() *standin.Call {
	c.count++
	id := fmt.Sprintf("%s%d-%d-%d-", keptPrefix, c.w.seed, c.number, c.count)
	call := &standin.Call{Timeout: keptDeadline}
	switch {
	case c.kind == readingSlowly || c.rng.IntN(8) == 0:
		id += downloadMark
	case c.kind != pipelining && c.rng.IntN(3) == 0:
		call.Order = true
	}
	call.ID, call.Key, call.Body = id, id, id
	return call
}

// exchange sends one request, or several reads ahead, and reads the answers. It reports
// whether the connection stays open.
func (c *keptCaller) exchange(v *vm, conn net.Conn, reader *bufio.Reader) bool {
	ahead := 1
	if c.kind == pipelining {
		ahead += c.rng.IntN(maxAhead)
	}
	var head bytes.Buffer
	var sent []*request
	var reqs []*http.Request
	for n := range ahead {
		call := c.nextCall()
		req, err := call.Request(context.Background(), v.caller)
		if err != nil {
			c.w.t.Error(err)
			return false
		}
		_ = req.Write(&head)
		reqs = append(reqs, req)
		sent = append(sent, &request{id: call.ID, order: call.Order, vm: v.number, isKept: true, isBehind: n > 0, timeout: min(keptDeadline, c.w.size.timeout)})
	}
	startedAt := time.Now()
	for _, r := range sent {
		r.sentAt = startedAt
	}
	c.w.addOpen(v, ahead)
	_ = conn.SetDeadline(startedAt.Add(keptDeadline + 2*time.Second))
	_, err := conn.Write(head.Bytes())
	isClosing := false
	for n, r := range sent {
		if isClosing {
			// What is behind an answer that closes the connection gets none.
			err = errors.New("behind an answer that closed the connection")
		}
		if err == nil {
			isClosing, err = c.readAnswer(reader, reqs[n], r)
		}
		r.cutOff, r.took = err != nil, time.Since(startedAt)
		r.setFailure(err)
		c.w.addOpen(v, -1)
		c.w.record(r)
	}
	return err == nil && !isClosing
}

// readAnswer reads the answer to a request, and reports whether it closes the connection.
func (c *keptCaller) readAnswer(reader *bufio.Reader, req *http.Request, r *request) (bool, error) {
	res, err := http.ReadResponse(reader, req)
	if err != nil {
		return false, fmt.Errorf("no answer: %w", err)
	}
	defer res.Body.Close()
	var body bytes.Buffer
	for {
		piece := int64(1 << 20)
		if c.kind == readingSlowly {
			piece = slowPiece
			time.Sleep(slowPause)
		}
		n, err := io.CopyN(&body, res.Body, piece)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, fmt.Errorf("answer ended after %d bytes: %w", body.Len()+int(n), err)
		}
	}
	r.status, r.body = res.StatusCode, body.String()
	r.isOwnFailure = isOwnFailure(res)
	// The records keep no long answers that are right.
	if whole := "ran " + r.id + padding; r.body == whole+strings.Repeat(".", keptBehaviour(r.id).AnswerBytes) {
		r.body = whole
	}
	return res.Close, nil
}

// addOpen counts the requests on kept connections that have no answer yet.
func (w *world) addOpen(v *vm, n int) {
	w.mu.Lock()
	v.numOpen += n
	w.mu.Unlock()
}
