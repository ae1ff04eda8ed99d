package feed

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/internal/progress"
)

const (
	// maxCalls bounds the requests under way, maxCallsPerSource those to one source: a late
	// one, whose connection may be dead, and one beside it.
	maxCalls          = 8
	maxCallsPerSource = 2
	// stallTimeout is how long a request may make no progress beyond its wait until it is given
	// up. Until then a late answer still counts: over a congested link, a new connection and
	// another request would take longer.
	stallTimeout = 5 * time.Second
	// refreshWait is the wait of a request for the changes that a source has now.
	refreshWait = time.Millisecond
	// maxProgressTime bounds how long a source is waited for alone because the whole state is on
	// its way.
	maxProgressTime = 10 * time.Second
	// minLateSources is the number of sources that must be late, or all, until this VM's own
	// link is suspected. One that is late may be down.
	minLateSources = 2
)

var (
	errLate = errors.New("feed: no answer in time")
	// errReadFollows means that the whole state is requested instead.
	errReadFollows = errors.New("feed: the whole state is read")
	errNoSource    = errors.New("feed: no source")
)

// call is a request to a source. The follower goes on waiting for one that is late, while it asks
// other sources.
type call struct {
	name   string
	source Source
	// after is the position after which changes are requested. It is not used if needsState is set.
	after      history.Position
	needsState bool
	// wasLoaded says that this VM had a state when the request was sent.
	wasLoaded bool
	sentAt    time.Duration
	wait      time.Duration
	isLate    bool
	// isFollowed says that the next request was sent before the answer to this one.
	isFollowed bool
	tracker    *progress.Tracker
	cancel     context.CancelFunc
	// isReading is set while the whole state is read.
	isReading atomic.Bool

	answer  Answer
	isState bool
	// earlier is what a relay knew before the last restore, or nil.
	earlier *Answer
	err     error
}

// newCall sends a request to a source.
func (f *Follower) newCall(ctx context.Context, name string, wait time.Duration, needsState bool) *call {
	c := &call{name: name, source: f.options.Store, wait: wait, sentAt: f.options.Uptime(), wasLoaded: f.replica.isLoaded()}
	if name != StoreName {
		c.source = &relaySource{f.client, name, f.options.StateWait, f.listedAt}
	}
	c.needsState = needsState || !c.wasLoaded
	if c.needsState {
		c.wait = 0
	}
	c.after, _ = f.replica.position(c.sentAt)
	bounded, tracker, cancel := progress.WithTimeout(ctx, c.wait+f.options.StateWait+stallTimeout, stallTimeout)
	c.tracker, c.cancel = tracker, cancel
	f.calls = append(f.calls, c)
	f.group.Go(func() {
		c.run(bounded, f)
		select {
		case f.done <- c:
		case <-ctx.Done():
		}
	})
	return c
}

// run makes the request, and reads the whole state if the source does not have the changes.
func (c *call) run(ctx context.Context, f *Follower) {
	defer c.cancel()
	if !c.needsState {
		c.answer, c.err = c.source.Watch(ctx, c.after, c.wait)
		if !errors.Is(c.err, ErrCompacted) {
			return
		}
		event.FeedCompacted.Log(f.options.Log, "source", c.name, "epoch", c.after.Epoch, "revision", c.after.Revision)
	}
	c.isReading.Store(true)
	c.isState = true
	if c.answer, c.err = c.source.Read(ctx); c.err != nil {
		return
	}
	if relay, ok := c.source.(*relaySource); ok && c.answer.HasEarlier && !c.wasLoaded {
		earlier, err := relay.Earlier(ctx)
		if err != nil {
			// This VM then knows the restored state only, as it does without a relay.
			event.FeedLost.Log(f.options.Log, "source", c.name, "error", err)
			return
		}
		c.earlier = &earlier
	}
}

// remove removes a call that has ended.
func (f *Follower) remove(c *call) {
	f.calls = slices.DeleteFunc(f.calls, func(other *call) bool { return other == c })
}

// begin returns the request to a source that is under way, or sends one. It returns nil if the
// source has been asked lately and is late.
func (f *Follower) begin(ctx context.Context, name string) *call {
	number, isRecent := 0, false
	for _, c := range f.calls {
		if c.name != name {
			continue
		}
		if !c.isLate && f.patience(c) > 0 {
			return c
		}
		c.isLate = true
		number++
		isRecent = isRecent || f.options.Uptime()-c.sentAt < avoidPeriod
	}
	if isRecent {
		return nil
	}
	if number >= maxCallsPerSource || len(f.calls) >= maxCalls {
		return nil
	}
	wait := f.options.StoreWait
	if name != StoreName {
		// Over a congested link, a longer wait leaves less time in which no request is at the
		// relay and a change has to wait for the next one.
		wait = f.options.RelayWait + 2*(f.lateness.grace()-f.options.AnswerGrace)
	}
	return f.newCall(ctx, name, wait, false)
}

// patience returns how much longer only this source is waited for.
func (f *Follower) patience(c *call) time.Duration {
	took := f.options.Uptime() - c.sentAt
	if !c.needsState && !c.isReading.Load() {
		return c.wait + f.lateness.grace() - took
	}
	left := f.options.ReadTimeout - took
	if at := c.tracker.LastAt(); !at.IsZero() && took < maxProgressTime {
		left = max(left, f.options.ReadTimeout-time.Since(at))
	}
	return left
}

// untilFollowed returns the time after which the next request is sent before the answer to this
// one. Over a congested link, the relay would have no request of this VM between its answer and the
// next one, and a change would wait for a whole round trip.
func (f *Follower) untilFollowed(c *call) time.Duration {
	if c.isFollowed || c.needsState || c.name == StoreName || !f.lateness.isCongested() || len(f.calls) >= maxCalls {
		return math.MaxInt64
	}
	return c.wait - (f.options.Uptime() - c.sentAt)
}

// step asks the sources in order until one answers. While one is late, the next is asked
// beside it; whichever answers first counts, also one that was asked in an earlier step.
func (f *Follower) step(ctx context.Context) (direct bool, err error) {
	f.listRelays(ctx)
	s := step{f: f, ctx: ctx, names: f.sourceOrder(), err: errNoSource, timer: time.NewTimer(0)}
	numSources := len(s.names)
	defer s.timer.Stop()
	for ctx.Err() == nil {
		if s.active == nil && !s.next() {
			break
		}
		select {
		case c := <-f.done:
			if s.handleEnd(c) {
				return c.name == StoreName, nil
			}
		case <-s.timer.C:
			s.handleTimeout()
		case <-f.requested:
			s.handleRequests()
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
	if s.numLate >= min(minLateSources, numSources) {
		f.lateness.recordNoAnswer()
	}
	return false, s.err
}

// step is the state of Follower.step.
type step struct {
	f     *Follower
	ctx   context.Context
	names []string
	// active is the request that is waited for alone, or nil.
	active *call
	// isWaiting says that all sources were asked and the late ones are waited for once more,
	// isOver that this has ended.
	isWaiting, isOver bool
	timer             *time.Timer
	numLate           int
	err               error
}

// next makes the request to the next source the active one. It returns false if there is none
// and the late ones have been waited for.
func (s *step) next() bool {
	for len(s.names) > 0 {
		name := s.names[0]
		s.names = s.names[1:]
		if s.active = s.f.begin(s.ctx, name); s.active != nil {
			s.arm()
			return true
		}
	}
	if len(s.f.calls) == 0 || s.isOver {
		return false
	}
	if !s.isWaiting {
		s.isWaiting = true
		s.timer.Reset(maxRetryBackoff)
	}
	return true
}

// arm sets the timer for the active request.
func (s *step) arm() {
	s.timer.Reset(max(0, min(s.f.patience(s.active), s.f.untilFollowed(s.active))))
}

// handleEnd handles a request that has ended, and reports whether it brought records.
func (s *step) handleEnd(c *call) bool {
	f := s.f
	f.remove(c)
	err := f.accept(c)
	isActive := c == s.active
	if isActive {
		s.active = nil
	}
	switch {
	case err == nil:
		// A source that answers late is not avoided: its connection is open.
		delete(f.avoidUntil, c.name)
		if isActive {
			f.recordSuccess(c.name)
		}
		return true
	case s.ctx.Err() != nil:
	case errors.Is(err, errReadFollows):
		next := f.newCall(s.ctx, c.name, 0, true)
		if isActive {
			s.active = next
			s.arm()
		}
	case c.isLate:
		// It was reported when it became late.
	default:
		s.err = err
		f.recordFailure(c.name, c.sentAt, err)
		if isTimeout(err) {
			s.numLate++
		}
	}
	return false
}

// handleTimeout lets the next source be asked if the active one is late.
func (s *step) handleTimeout() {
	f := s.f
	if s.active == nil {
		s.isOver = true
		return
	}
	c := s.active
	if left := f.untilFollowed(c); left <= 0 {
		c.isFollowed = true
		f.newCall(s.ctx, c.name, c.wait, false)
	}
	left := f.patience(c)
	if left > 0 {
		s.arm()
		return
	}
	s.active, c.isLate = nil, true
	if -left > f.lateness.grace() && len(f.calls) < maxCalls {
		// This VM was paused, and the source has not failed.
		event.FeedPaused.Log(f.options.Log, "took_ms", (f.options.Uptime() - c.sentAt).Milliseconds())
		s.active = f.newCall(s.ctx, c.name, refreshWait, false)
		s.arm()
		return
	}
	s.numLate++
	s.err = errors.Wrap(errLate, c.name)
	f.recordFailure(c.name, c.sentAt, s.err)
}

// handleRequests asks for the latest changes at once, beside the requests under way.
func (s *step) handleRequests() {
	f := s.f
	refresh, wanted := f.takeRequests()
	for _, relay := range wanted {
		isAsked := slices.ContainsFunc(f.calls, func(c *call) bool { return c.name == relay && !c.isLate })
		if !isAsked && len(f.calls) < maxCalls {
			f.newCall(s.ctx, relay, refreshWait, false)
		}
	}
	if !refresh || !f.replica.isLoaded() || len(f.calls) >= maxCalls {
		return
	}
	name := f.sourceOrder()[0]
	if s.active != nil {
		name = s.active.name
	}
	s.active = f.newCall(s.ctx, name, refreshWait, false)
	s.arm()
}

// accept applies the answer of a request.
func (f *Follower) accept(c *call) error {
	if c.err != nil {
		return c.err
	}
	a := &c.answer
	if !c.isState {
		f.lateness.recordAnswer(f.options.Uptime() - c.sentAt - c.wait)
	}
	if a.Age > f.options.MaxAge {
		if c.isState {
			f.logRejected(c)
		}
		return errors.Errorf("feed: %s had its last contact with the store %s ago", c.name, a.Age)
	}
	a.Age += f.excessAge(c)
	f.completePosition(c.source, a)
	if c.isState {
		return f.acceptState(c)
	}
	now := f.options.Now()
	changes, err := f.replica.apply(f.options.Uptime(), a)
	switch {
	case errors.Is(err, ErrCompacted):
		event.FeedCompacted.Log(f.options.Log, "source", c.name, "epoch", c.after.Epoch, "revision", c.after.Revision, "answer_epoch", a.Epoch)
		return errReadFollows
	case err != nil:
		f.logRejected(c)
		return err
	}
	f.reportContact(now, false, c.isState, c.sentAt)
	f.options.Sink.Apply(now, f.originOf(c), changes)
	return nil
}

// originOf returns the origin of an answer that was applied.
func (f *Follower) originOf(c *call) Origin {
	at, _ := f.replica.position(f.options.Uptime())
	return Origin{Source: c.name, SentAt: c.sentAt, Position: at, Lag: c.answer.Lag}
}

// excessAge returns by how much an answer may be older than it says: it may have been sent any
// time since its request, and been received before a pause of this VM.
func (f *Follower) excessAge(c *call) time.Duration {
	took := f.options.Uptime() - c.sentAt
	if c.isState {
		return max(0, took-f.options.ReadTimeout)
	}
	return max(0, took-c.wait-f.options.AnswerGrace)
}

// acceptState applies the whole state of a source. It rejects a state that is older than
// that of this VM; one of a later epoch never is.
func (f *Follower) acceptState(c *call) error {
	a, now := &c.answer, f.options.Now()
	before, _ := f.replica.position(f.options.Uptime())
	wasLoaded := f.replica.isLoaded()
	var minPosition history.Position
	if c.name != StoreName {
		minPosition = f.listedAt
	}
	if err := f.replica.load(f.options.Uptime(), a, minPosition); err != nil {
		f.logRejected(c)
		return err
	}
	f.reloaded = wasLoaded
	if wasLoaded && a.Epoch != before.Epoch {
		event.FeedRestored.Log(f.options.Log, "source", c.name, "epoch", a.Epoch, "revision", a.Revision,
			"epoch_before", before.Epoch, "revision_before", before.Revision)
	}
	f.reportContact(now, false, c.isState, c.sentAt)
	origin := f.originOf(c)
	if c.earlier != nil && !wasLoaded {
		replayEarlier(f.options.Sink, now, origin, c.earlier, a)
	}
	f.options.Sink.Reset(now, origin, a.Records)
	return nil
}
