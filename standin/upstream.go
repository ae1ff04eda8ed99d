// Package standin contains stand-ins for the surroundings of the system. Upstream is a
// stand-in for an instance of a service. It records every request that it runs, so that
// tests can check the guarantees of the system.
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/verdict"
)

// Request headers that control the stand-in, and answer headers that it sets.
const (
	// HeaderRequestID is the ID of the request. The answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderWorkMillis sets the service time in milliseconds.
	HeaderWorkMillis = "X-Work-Ms"
	// HeaderAnswerBytes sets the size of the answer.
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderCrash makes the instance close all its connections and stop for CrashTime, like
	// a process that crashes and is restarted.
	HeaderCrash = "X-Crash"
	// HeaderTruncate ends the answer early.
	HeaderTruncate = "X-Truncate"
	// HeaderBodySum is the SHA-256 of the received request body, in hexadecimal.
	HeaderBodySum = "X-Body-Sha256"
	// HeaderLeaving is the leaving notice: it is "true" in the answers of a leaving
	// instance.
	HeaderLeaving = "Currantferry-Leaving"
	// HeaderInstance is the ID of the instance that answered.
	HeaderInstance = "X-Instance"
)

// UpstreamOptions configures an Upstream.
type UpstreamOptions struct {
	ID string
	// Address to listen on. Empty means a free loopback port.
	Address string
	// Slots is the number of requests that run concurrently. Zero means 9.
	Slots int
	// WorkTime is the service time of a request without HeaderWorkMillis. Zero means 5 ms.
	WorkTime time.Duration
	// CrashTime is how long a crashed instance stays down. Zero means 500 ms.
	CrashTime time.Duration
	// MaxQueue is the number of requests that may wait for a slot. Further ones are shed.
	// Zero means 100.
	MaxQueue int
	// Ledger records the requests that run. Nil means a new ledger.
	Ledger *Ledger
}

// Upstream is a stand-in instance with slots, a queue, a load endpoint and adjustable
// faults. It is safe for concurrent use.
type Upstream struct {
	options UpstreamOptions
	server  *http.Server

	mu         sync.Mutex
	listener   net.Listener
	address    string
	slots      chan struct{}
	waiting    int
	running    int
	shed       bool
	draining   bool
	leaving    bool
	retryAfter string
	arrived    int
	factor     float64
	lastNew    time.Time
	crashes    int
	closed     bool
}

// StartUpstream starts an instance that serves until Close.
func StartUpstream(o UpstreamOptions) (*Upstream, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Slots <= 0 {
		o.Slots = 9
	}
	if o.WorkTime <= 0 {
		o.WorkTime = 5 * time.Millisecond
	}
	if o.CrashTime <= 0 {
		o.CrashTime = 500 * time.Millisecond
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = 100
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	u := &Upstream{options: o, slots: make(chan struct{}, o.Slots), factor: 1}
	if err := u.listen(o.Address); err != nil {
		return nil, err
	}
	return u, nil
}

func (u *Upstream) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "upstream stand-in")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/load", u.serveLoad)
	mux.HandleFunc("/health", u.serveHealth)
	mux.HandleFunc("/", u.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	u.mu.Lock()
	u.listener, u.server, u.address = l, server, l.Addr().String()
	u.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// ID returns the instance's ID.
func (u *Upstream) ID() string { return u.options.ID }

// Address returns the IP address and port on which the instance listens.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Ledger returns the ledger in which the instance records requests.
func (u *Upstream) Ledger() *Ledger { return u.options.Ledger }

// Close stops the instance and closes all its connections at once.
func (u *Upstream) Close() error {
	u.mu.Lock()
	u.closed = true
	server := u.server
	u.mu.Unlock()
	return server.Close()
}

// SetFactor sets the factor by which service times are multiplied, to simulate a slow
// instance.
func (u *Upstream) SetFactor(f float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.factor = f
}

// SetShed makes the instance refuse all new work with the verdict "not run".
func (u *Upstream) SetShed(shed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shed = shed
}

// SetDraining makes the load endpoint announce that the instance is leaving.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// SetLeaving makes the instance send a leaving notice in every answer.
func (u *Upstream) SetLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = leaving
}

// SetRetryAfter makes the instance refuse all new work with a wait notice: a Retry-After
// of the given seconds. An empty string ends it.
func (u *Upstream) SetRetryAfter(seconds string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retryAfter = seconds
}

// NumArrivals returns the number of requests that reached the instance, including refused
// ones.
func (u *Upstream) NumArrivals() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrived
}

// applyNotices counts the arrival of a request and adds the notices to its answer. If
// there is a wait notice, it refuses the request and returns true.
func (u *Upstream) applyNotices(w http.ResponseWriter) (refused bool) {
	u.mu.Lock()
	leaving, retryAfter := u.leaving, u.retryAfter
	u.arrived++
	u.mu.Unlock()
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	if retryAfter == "" {
		return false
	}
	w.Header().Set(verdict.HeaderVerdict, verdict.NotRun.String())
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, "not now", http.StatusServiceUnavailable)
	return true
}

// LastNew returns when the instance last started to run a request.
func (u *Upstream) LastNew() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastNew
}

// Running returns the number of requests in slots and of those that wait for one.
func (u *Upstream) Running() (running, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running, u.waiting
}

// Crashes returns the number of crashes of the instance.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// crash closes the listener and all connections, and listens again after CrashTime.
func (u *Upstream) crash() {
	u.mu.Lock()
	u.crashes++
	server, address := u.server, u.address
	u.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(u.options.CrashTime, func() {
		u.mu.Lock()
		closed := u.closed
		u.mu.Unlock()
		if !closed {
			_ = u.listen(address)
		}
	})
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok")
}

// Load is the answer of the load endpoint.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Draining says that the instance is leaving.
	Draining bool `json:"draining,omitempty"`
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := u.Running()
	u.mu.Lock()
	draining := u.draining
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Load{Running: running, Waiting: waiting, Slots: u.options.Slots, Draining: draining})
}

// enqueue adds a request to the queue for a slot. It returns false if the request must be
// shed.
func (u *Upstream) enqueue() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.shed || u.waiting >= u.options.MaxQueue {
		return false
	}
	u.waiting++
	return true
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if u.applyNotices(w) {
		return
	}
	if !u.enqueue() {
		w.Header().Set(verdict.HeaderVerdict, verdict.NotRun.String())
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
		return
	}
	u.mu.Lock()
	u.waiting--
	u.running++
	u.lastNew = time.Now()
	factor := u.factor
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
		<-u.slots
	}()
	u.run(w, r, factor)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, factor float64) {
	u.options.Ledger.begin(r, u.options.ID)
	if r.Header.Get(HeaderCrash) != "" {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		u.options.Ledger.end(r, false)
		panic(http.ErrAbortHandler)
	}
	if err := sleep(r.Context(), time.Duration(float64(u.workTime(r))*factor)); err != nil {
		u.options.Ledger.end(r, false)
		return
	}
	size, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err != nil || size < 0 {
		size = 64
	}
	u.options.Ledger.end(r, true)
	h := w.Header()
	h.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	h.Set(HeaderBodySum, hex.EncodeToString(sum.Sum(nil)))
	h.Set(HeaderInstance, u.options.ID)
	h.Set("Content-Length", strconv.Itoa(size))
	answer := AnswerBody(r.Header.Get(HeaderRequestID), size)
	if r.Header.Get(HeaderTruncate) != "" {
		_, _ = w.Write(answer[:size/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func (u *Upstream) workTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderWorkMillis), 64)
	if err != nil || ms < 0 {
		return u.options.WorkTime
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AnswerBody returns the body of the answer to a request ID. Callers compare it with the
// body that they received.
func AnswerBody(id string, size int) []byte {
	body := make([]byte, size)
	seed := sha256.Sum256([]byte(id))
	for i := range body {
		body[i] = seed[i%len(seed)] ^ byte(i/len(seed))
	}
	return body
}
