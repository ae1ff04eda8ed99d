// Package oncerpc runs the state machine of package once: it locks the machine,
// calls other VMs over a Transport, and reads and writes partition records in the
// store.
package oncerpc

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/store"
)

const (
	// tickInterval bounds the delay with which a timeout is detected.
	tickInterval = 50 * time.Millisecond
	// storeTimeout bounds a store call. It is longer than a call to a slow store
	// takes (5 s), so that view changes can still complete.
	storeTimeout = 6 * time.Second
	// callTimeout bounds a call that the called VM answers without delay.
	callTimeout = 2 * time.Second
	// maxCallsPerVM bounds the calls in flight to one VM. Messages beyond it are
	// dropped; the machine sends again those that need an answer.
	maxCallsPerVM = 512
	// loadRetryInterval is the pause after a failed listing of the records.
	loadRetryInterval = 2 * time.Second
)

// Options configure a Runner.
type Options struct {
	Config    once.Config
	Transport Transport
	Store     store.Store
	// Logger may be nil, which discards events.
	Logger *slog.Logger
	// Scope receives the metrics. Nil discards them.
	Scope tally.Scope
	// OnRecord is called for each record that takes effect here, so that it can
	// be sent to other VMs. It must not block or call the Runner. It may be nil.
	OnRecord func(once.Record)
	// MaxKeptBytes bounds the memory of kept answers. Zero means
	// DefaultMaxKeptBytes, and a negative value keeps none.
	MaxKeptBytes int
}

// Runner is the at-most-once service of one VM. Its methods are safe for
// concurrent use.
type Runner struct {
	opt     Options
	metrics *metrics
	ctx     context.Context
	stop    context.CancelFunc
	wg      conc.WaitGroup

	mu            sync.Mutex
	closed        bool
	m             *once.Machine
	claims        map[uint64]chan once.Answer
	settled       map[uint64]chan struct{}
	waiters       map[waiterKey]chan *once.Message
	callsInFlight map[string]int
	keptAnswers   answerCache
	loaded        bool
}

// waiterKey identifies a request of another VM that is waiting for its reply.
type waiterKey struct {
	vm  string
	inc uint64
	id  uint64
}

// New returns a runner. It answers calls at once, but timeouts and view changes
// start only with Run.
func New(opt Options) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	if opt.MaxKeptBytes == 0 {
		opt.MaxKeptBytes = DefaultMaxKeptBytes
	}
	return &Runner{
		opt: opt, metrics: newMetrics(opt.Scope), ctx: ctx, stop: stop,
		m:             once.New(time.Now(), opt.Config),
		claims:        make(map[uint64]chan once.Answer),
		settled:       make(map[uint64]chan struct{}),
		waiters:       make(map[waiterKey]chan *once.Message),
		callsInFlight: make(map[string]int),
		keptAnswers:   answerCache{maxBytes: opt.MaxKeptBytes},
	}
}

// Run drives timeouts until ctx ends, then waits for the calls in flight.
func (r *Runner) Run(ctx context.Context) error {
	r.spawn(r.loadRecords)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	lastGauges := time.Now()
	for {
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.closed = true
			r.mu.Unlock()
			r.stop()
			r.wg.Wait()
			return nil
		case now := <-t.C:
			r.mu.Lock()
			r.apply(r.m.Tick(time.Now()))
			if now.Sub(lastGauges) >= time.Second {
				lastGauges = now
				r.metrics.usage(r.m.Usage())
			}
			r.mu.Unlock()
		}
	}
}

// spawn starts a goroutine that Run waits for, unless the runner has stopped.
func (r *Runner) spawn(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spawnLocked(f)
}

func (r *Runner) spawnLocked(f func()) {
	if !r.closed {
		r.wg.Go(f)
	}
}

// loadRecords lists the records in the store. It tries again until the store
// answers or the runner stops.
func (r *Runner) loadRecords() {
	for {
		ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
		entries, err := r.opt.Store.List(ctx, once.RecordPrefix)
		cancel()
		r.metrics.storeCall("list", err)
		if err == nil {
			r.observeEntries(entries)
			return
		}
		if r.ctx.Err() != nil {
			return
		}
		event.OnceLoadFailed.Log(r.opt.Logger, "error", err)
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(loadRetryInterval):
		}
	}
}

func (r *Runner) observeEntries(entries []store.Entry) {
	for _, e := range entries {
		rec, err := once.ParseRecord(e.Value)
		if err != nil {
			event.OnceRecordMalformed.Log(r.opt.Logger, "key", e.Key, "error", err)
			continue
		}
		r.Observe(rec)
	}
	r.mu.Lock()
	r.loaded = true
	r.mu.Unlock()
	event.OnceRecordsLoaded.Log(r.opt.Logger, "records", len(entries))
}

// SetDirectory replaces the list of the fleet's VMs, which includes this VM. It must
// be called at least once a minute, even if nothing changed; see
// once.Config.IsolationLimit.
func (r *Runner) SetDirectory(d once.Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.m.SetDirectory(time.Now(), d))
}

// Observe passes in a record that another VM read from the store or wrote to it.
// The record takes effect if it is newer than the known one.
func (r *Runner) Observe(rec once.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.m.Observe(time.Now(), rec))
}

// Records returns the records known here, by partition.
func (r *Runner) Records() []once.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.m.Records()
}

// Leave moves this VM's partitions to other VMs. It waits until they are moved and
// the outcomes of this VM's requests are recorded, or until ctx ends. Local
// requests are served meanwhile.
func (r *Runner) Leave(ctx context.Context) error {
	event.OnceLeaving.Log(r.opt.Logger)
	r.mu.Lock()
	r.apply(r.m.Leave(time.Now()))
	r.mu.Unlock()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		r.mu.Lock()
		left := r.m.HasLeft() && r.m.NumUnsettled() == 0
		r.mu.Unlock()
		if left {
			event.OnceLeft.Log(r.opt.Logger)
			return nil
		}
		select {
		case <-ctx.Done():
			event.OnceLeaveTimedOut.Log(r.opt.Logger)
			return errors.Wrap(ctx.Err(), "oncerpc: leave")
		case <-t.C:
		}
	}
}

// Handle processes a request of another VM and returns the reply.
func (r *Runner) Handle(ctx context.Context, from string, msg *once.Message) (*once.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeoutFor(msg.Kind))
	defer cancel()
	key := waiterKey{from, msg.FromInc, msg.ID}
	ch := make(chan *once.Message, 1)
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil, errors.New("oncerpc: stopped")
	}
	r.waiters[key] = ch
	r.apply(r.m.Step(time.Now(), from, msg))
	r.mu.Unlock()
	select {
	case reply := <-ch:
		return reply, nil
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	r.mu.Lock()
	if r.waiters[key] == ch {
		delete(r.waiters, key)
	}
	r.mu.Unlock()
	return nil, errors.New("oncerpc: no reply in time")
}

func (r *Runner) callTimeoutFor(k once.Kind) time.Duration {
	if k == once.KindClaim && r.opt.Config.ClaimTimeout > 0 {
		return r.opt.Config.ClaimTimeout
	}
	if k == once.KindClaim {
		return once.DefaultClaimTimeout
	}
	return callTimeout
}

// apply carries out the effects of the machine. It must be called with the lock
// held, and never blocks.
func (r *Runner) apply(eff once.Effects) {
	for i := range eff.Sends {
		r.send(eff.Sends[i].To, eff.Sends[i].Message)
	}
	for _, n := range eff.Reads {
		r.spawnLocked(func() { r.read(n) })
	}
	for _, s := range eff.Swaps {
		r.spawnLocked(func() { r.swap(s) })
	}
	for _, a := range eff.Answers {
		if ch := r.claims[a.Seq]; ch != nil {
			delete(r.claims, a.Seq)
			ch <- a
		}
	}
	for _, seq := range eff.Settled {
		if ch := r.settled[seq]; ch != nil {
			delete(r.settled, seq)
			close(ch)
		}
	}
	for i := range eff.Events {
		r.report(&eff.Events[i])
	}
	if r.opt.OnRecord != nil {
		for _, rec := range eff.NewRecords {
			r.opt.OnRecord(rec)
		}
	}
}

func (r *Runner) send(to string, msg once.Message) {
	if msg.Reply {
		key := waiterKey{to, msg.ToInc, msg.ID}
		if ch := r.waiters[key]; ch != nil {
			delete(r.waiters, key)
			ch <- &msg
		}
		return
	}
	if r.callsInFlight[to] >= maxCallsPerVM {
		r.metrics.message(msg.Kind, "dropped")
		return
	}
	r.callsInFlight[to]++
	r.spawnLocked(func() {
		ctx, cancel := context.WithTimeout(r.ctx, r.callTimeoutFor(msg.Kind))
		defer cancel()
		reply, err := r.opt.Transport.Call(ctx, to, &msg)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.callsInFlight[to]--; r.callsInFlight[to] <= 0 {
			delete(r.callsInFlight, to)
		}
		if err != nil {
			r.metrics.message(msg.Kind, "failed")
			return
		}
		r.metrics.message(msg.Kind, "answered")
		r.apply(r.m.Step(time.Now(), to, reply))
	})
}

func (r *Runner) report(n *once.Event) {
	args := []any{"partition", n.Partition, "epoch", n.Epoch, "reason", string(n.Reason)}
	switch n.Kind {
	case once.EventChangeStarted:
		r.metrics.change(n.Reason, "started")
		event.OnceChangeStarted.Log(r.opt.Logger, args...)
	case once.EventChangeInstalled:
		r.metrics.change(n.Reason, "installed")
		event.OnceViewInstalled.Log(r.opt.Logger, args...)
	case once.EventChangeFailed:
		r.metrics.change(n.Reason, "failed")
		event.OnceChangeFailed.Log(r.opt.Logger, append(args, "cause", n.Text)...)
	case once.EventHistoryLost:
		r.metrics.change(n.Reason, "history_lost")
		event.OnceHistoryLost.Log(r.opt.Logger, args...)
	case once.EventRecordWrittenAgain:
		r.metrics.recordWrittenAgain()
		event.OnceRecordWrittenAgain.Log(r.opt.Logger, args...)
	}
}
