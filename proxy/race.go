package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/verdict"
)

// A hedge may be refused temporarily, because the hedge budget or the free slots
// are used up. It is requested again after minHedgeRetryDelay, which doubles up to
// maxHedgeRetryDelay. Otherwise a request to a frozen instance would wait until its
// deadline. The same holds for an attempt through another VM, which needs retry budget.
const (
	minHedgeRetryDelay = 20 * time.Millisecond
	maxHedgeRetryDelay = 160 * time.Millisecond
)

// maxRacing is the number of attempts of a request that may be under way at the same time:
// the first, a hedge, and one through another VM.
const maxRacing = 3

// race is the attempts of one request that are under way at the same time. The first that is
// answered wins, if its answer is small with the end of the answer. One that fails does not end
// the others. Only run uses the fields of the
// race and of the exchange while the attempts and the selection are under way.
type race struct {
	x     *exchange
	group conc.WaitGroup
	// running holds the attempts that have not ended. They are sent on done when they have.
	running []*attempt
	done    chan *attempt
	// last is the attempt that failed last.
	last *attempt
	// hedged is the selection that is hedged when timer fires. Nil means that no hedge is due.
	hedged Selection
	// path belongs to the first attempt. Nil means that no attempt through another VM is added.
	path pathSelection
	// lost is closed when this VM loses its path to the instances. From then on isLost is set.
	lost   <-chan struct{}
	isLost bool
	// passedOn is the attempt through another VM, or nil.
	passedOn *attempt
	// isPaid says that the next attempt through another VM needs no retry budget.
	isPaid bool
	// timer fires when a hedge or the next selection of another VM is due.
	timer <-chan time.Time
	delay time.Duration
	// isSelecting says that a selection is under way. It is sent on selected, nil if it failed.
	isSelecting bool
	selected    chan Selection
	cancel      context.CancelFunc
}

// send sends an attempt. If the request may run again, it also sends a hedge if the answer
// is late, and an attempt through another VM if this VM loses its path to the instances: the
// loss may be an error, so it ends no attempt that was sent. send returns the attempt that was
// answered first, or the one that failed last. All others have ended by then.
func (x *exchange) send(first *attempt) *attempt {
	delay, isHedged := first.selection.HedgeAfter()
	path, hasPath := first.selection.(pathSelection)
	// What was passed on to this VM must not be passed on again.
	hasPath = hasPath && x.transit == nil
	if (!isHedged && !hasPath) || !x.query.Idempotent || x.body.rest != nil {
		first.send()
		if first.err != nil {
			first.fail()
		}
		return first
	}
	r := race{x: x, done: make(chan *attempt, maxRacing)}
	if isHedged {
		r.hedged, r.timer, r.delay = first.selection, time.After(delay), max(delay, minHedgeRetryDelay)
	}
	if hasPath {
		r.path, r.lost = path, path.Path().Done()
	}
	r.start(first)
	return r.run()
}

func (r *race) start(a *attempt) {
	r.running = append(r.running, a)
	r.group.Go(func() {
		// After a panic too, which Wait passes on: run must not wait for the attempt forever.
		defer func() { r.done <- a }()
		a.send()
	})
}

func (r *race) run() *attempt {
	defer r.group.Wait()
	for len(r.running) > 0 || r.isSelecting {
		select {
		case a := <-r.done:
			if r.hasWon(a) {
				r.endLosers()
				return a
			}
		case <-r.timer:
			if r.isLost {
				r.selectVM()
			} else {
				r.hedge()
			}
		case <-r.lost:
			r.onLost()
		case s := <-r.selected:
			r.isSelecting = false
			r.passOn(s)
		}
	}
	if r.cancel != nil {
		r.cancel()
	}
	return r.last
}

// hasWon reports whether an attempt that was answered or failed ends the race.
func (r *race) hasWon(a *attempt) bool {
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if a.err == nil {
		return !r.readAnswer(a)
	}
	a.fail()
	r.last = a
	if a == r.passedOn {
		r.replacePassedOn()
	}
	return false
}

// readAnswer begins to read the body of a small answer if other attempts are under way, and
// reports whether it did. They go on until the answer is whole, since it may end early.
func (r *race) readAnswer(a *attempt) bool {
	if (len(r.running) == 0 && !r.isSelecting) || a.isWhole || a.res.ContentLength <= 0 || a.res.ContentLength > copyBufferBytes || r.x.r.Method == http.MethodHead {
		return false
	}
	r.running = append(r.running, a)
	r.group.Go(func() { a.readWhole(); r.done <- a })
	return true
}

// readWhole reads the body of the answer to its end.
func (a *attempt) readWhole() {
	a.isWhole = true
	body := a.res.Body
	defer body.Close()
	data := make([]byte, a.res.ContentLength)
	if _, err := io.ReadFull(body, data); err != nil {
		a.err, a.res = a.x.truncationError(a, err), nil
		return
	}
	// The connection can be reused only after its body returned io.EOF.
	_, _ = body.Read(make([]byte, 1))
	a.res.Body = io.NopCloser(bytes.NewReader(data))
}

// retryLater sets the timer and doubles its delay.
func (r *race) retryLater() {
	r.timer = time.After(r.delay)
	r.delay = min(2*r.delay, maxHedgeRetryDelay)
}

// hedge adds an attempt at another instance, if one is available.
func (r *race) hedge() {
	selection, ok := r.hedged.Hedge()
	if !ok {
		r.retryLater()
		return
	}
	r.timer, r.hedged = nil, nil
	r.x.query.Exclude = append(r.x.query.Exclude, selection.Instance().ID)
	r.x.h.options.Metrics.CountRetry(verdict.ReasonSlowUpstream)
	r.start(r.x.newAttempt(selection))
}

// onLost is called when this VM has lost its path to the instances. Attempts that were not
// sent end. If others were, one through another VM is added.
func (r *race) onLost() {
	r.lost, r.isLost, r.timer, r.delay = nil, true, nil, minHedgeRetryDelay
	isSent := false
	for _, a := range r.running {
		isSent = !a.abandon() || isSent
	}
	if isSent {
		r.selectVM()
	}
}

// onRestored watches the path again if it is back before another VM took the request, and lets the
// hedge that was due be sent.
func (r *race) onRestored() {
	path := r.path.Path()
	if path.Err() != nil {
		return
	}
	r.lost, r.isLost, r.delay = path.Done(), false, minHedgeRetryDelay
	if r.hedged != nil {
		r.timer = time.After(r.delay)
	}
}

// mayPassOn reports whether an attempt through another VM may be added.
func (r *race) mayPassOn() bool {
	x := r.x
	return r.path.Path().Err() != nil && r.path.MayRunTwice() && x.ctx.Err() == nil && x.attempts-x.unsent < x.maxAttempts && !x.isRefusalFinal
}

// selectVM begins to select another VM. The attempts under way may be answered meanwhile.
func (r *race) selectVM() {
	r.timer = nil
	if !r.mayPassOn() {
		r.onRestored()
		return
	}
	if r.selected == nil {
		r.selected = make(chan Selection, 1)
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(r.x.ctx)
	q := r.x.query
	q.Exclude, q.IsRetry = slices.Clone(q.Exclude), true
	r.isSelecting = true
	r.group.Go(func() {
		s, err := r.x.h.options.Selector.Select(ctx, &q)
		if err != nil {
			s = nil
		}
		r.selected <- s
	})
}

// passOn adds an attempt through the VM that was selected, if the limits of the request allow
// it. Nil means that none was available. Then, or if the retry budget is used up, it is tried
// again later.
func (r *race) passOn(s Selection) {
	r.cancel()
	x := r.x
	switch {
	case s == nil && len(r.running) > 0:
		r.retryLater()
		return
	case s == nil:
		return
	case !r.mayPassOn():
		s.Done(Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonWithdrawn, Cancelled: true})
		r.onRestored()
		return
	case !r.isPaid && !x.h.options.Budget.TakeRetry(x.query.Service.Name, x.caller):
		s.Done(Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonWithdrawn, Cancelled: true})
		if len(r.running) > 0 {
			// Other requests refill the budget.
			r.retryLater()
		}
		return
	}
	x.h.options.Metrics.CountRetry(verdict.ReasonIsolated)
	event.RequestPassedOn.Log(x.h.options.Log, append(x.logAttrs(), "instance", x.lastInstance(), "via", s.Instance().ID)...)
	x.attempts++
	x.query.Exclude = append(x.query.Exclude, s.Instance().ID)
	r.isPaid, r.passedOn = false, x.newAttempt(s)
	r.start(r.passedOn)
}

// replacePassedOn is called when the attempt through another VM has failed. It selects another
// one, unless no attempt is left or no other is allowed.
func (r *race) replacePassedOn() {
	failed := r.passedOn
	r.passedOn = nil
	if len(r.running) == 0 {
		return
	}
	if err := r.x.checkRetry(failed.err); err != nil {
		if err.Reason == verdict.ReasonRetryBudget {
			// Other requests refill the budget.
			r.retryLater()
		}
		return
	}
	r.x.recordRetry(failed.err)
	r.isPaid = true
	r.selectVM()
}

// endLosers ends all attempts that are still under way.
func (r *race) endLosers() {
	for _, a := range r.running {
		a.cancel()
	}
	if r.cancel != nil {
		r.cancel()
	}
	for range r.running {
		(<-r.done).endLoser()
	}
	if r.isSelecting {
		if s := <-r.selected; s != nil {
			s.Done(Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonWithdrawn, Cancelled: true})
		}
	}
}

// endLoser ends an attempt that another one has overtaken.
func (a *attempt) endLoser() {
	if a.res != nil {
		a.res.Body.Close()
	}
	o := Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonSlowUpstream, Cancelled: true}
	if a.err != nil {
		o.Verdict = a.err.Verdict
	}
	a.finish(o)
}
