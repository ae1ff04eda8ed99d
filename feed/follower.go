package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
)

// Defaults of Options.
const (
	// DefaultStoreWait is how long a watch of the store waits. The store is
	// known to answer at least this often.
	DefaultStoreWait = time.Second
	// DefaultRelayWait is how long a question to a relay waits. With the grace
	// of its answer it bounds for how long a silent relay goes unnoticed.
	DefaultRelayWait = 500 * time.Millisecond
	// DefaultStateWait is how long a relay that starts itself may keep a starting
	// follower waiting: a few reads of the state of a large platform.
	DefaultStateWait = time.Second
	// DefaultAnswerGrace is how long an answer may take beyond its wait: a round
	// trip between regions, twice, and a busy VM.
	DefaultAnswerGrace = 350 * time.Millisecond
	// DefaultReadTimeout bounds a read of the whole state.
	DefaultReadTimeout = 2 * time.Second
	// DefaultMaxAge is the age of the store's confirmation above which a relay
	// is taken to have lost the store: one wait and its grace.
	DefaultMaxAge = DefaultStoreWait + DefaultAnswerGrace + 100*time.Millisecond
	// DefaultPause is the pause between answers of the store, so that changes
	// in quick succession come in one answer.
	DefaultPause = 200 * time.Millisecond
	// avoidPeriod is how long a source that failed is not asked.
	avoidPeriod = 2 * time.Second
	// minRetryBackoff is the pause when no source answers, doubled up to maxRetryBackoff.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
)

// Options of a Follower. Zero durations mean the defaults above.
type Options struct {
	Store Source
	Sink  Sink
	// Relays returns the addresses of the VMs whose copies may be followed, best
	// first, and whether this VM follows the store itself.
	Relays func() (addresses []string, direct bool)
	// Lister reads the records of the relays when the Follower starts, whose keys
	// beginRequest with RelayPrefix. Nil: the whole state is read from the store.
	Lister      Lister
	RelayPrefix string
	Log         *slog.Logger
	// Now is for tests. Nil means time.Now.
	Now func() time.Time
	// Uptime is for tests. Nil means the function of that name.
	Uptime func() time.Duration

	StoreWait, RelayWait, StateWait, AnswerGrace, ReadTimeout, MaxAge, Pause time.Duration

	// StartSpread bounds a random pause before the first call, so that VMs that
	// start together find a relay in those that come first. Zero means none.
	StartSpread time.Duration
	// Alone is called when a starting Follower finds no relay. Nil: nothing is done.
	Alone func()
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&o.StoreWait, DefaultStoreWait},
		{&o.RelayWait, DefaultRelayWait},
		{&o.StateWait, DefaultStateWait},
		{&o.AnswerGrace, DefaultAnswerGrace},
		{&o.ReadTimeout, DefaultReadTimeout},
		{&o.MaxAge, DefaultMaxAge},
		{&o.Pause, DefaultPause},
	} {
		if *d.value <= 0 {
			*d.value = d.defaultValue
		}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Uptime == nil {
		o.Uptime = Uptime
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Follower keeps a copy of the records and relays it.
type Follower struct {
	options   Options
	replica   *replica
	client    *http.Client
	bodyCache bodyCache
	// listedRevision is the revision as of which the records of the relays were read, or
	// zero. An older state would take them back.
	listedRevision uint64
	avoidUntil     map[string]time.Time
	// source is the one that answered last, storeName for the store.
	source string
	// reloaded says that the last answer was the whole state, not for the first
	// time.
	reloaded bool

	mu sync.Mutex
	// refresh says that the next question must not wait; interrupt ends the one
	// that is asked, or is nil.
	refresh   bool
	interrupt context.CancelFunc
}

// errPaused means that this VM was paused while it waited for an answer.
var errPaused = errors.New("feed: this VM was paused")

// Refresh asks the present source at once for what is new. It is called when this VM
// may have been paused: answers from before say nothing about the time since.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh = true
	if f.interrupt != nil {
		f.interrupt()
	}
}

// beginRequest returns the context of a question, and how long it may wait.
func (f *Follower) beginRequest(ctx context.Context, wait time.Duration) (context.Context, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refresh {
		f.refresh, wait = false, time.Millisecond
	}
	ctx, f.interrupt = context.WithTimeout(ctx, wait+f.options.AnswerGrace)
	return ctx, wait
}

// endRequest ends a question, and tells whether it was interrupted by Refresh.
func (f *Follower) endRequest() (refresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt()
	f.interrupt = nil
	return f.refresh
}

// storeName stands for the store among the addresses of relays.
const storeName = "store"

// New returns a follower that has read nothing.
func New(o Options) *Follower {
	o.setDefaults()
	dialer := net.Dialer{Timeout: o.AnswerGrace}
	return &Follower{
		options: o, replica: newReplica(), avoidUntil: make(map[string]time.Time),
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}},
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minRetryBackoff
	if f.options.StartSpread > 0 {
		sleep(ctx, rand.N(f.options.StartSpread))
	}
	for ctx.Err() == nil {
		direct, err := f.step(ctx)
		switch {
		case err != nil:
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxRetryBackoff)
		default:
			backoff = minRetryBackoff
			if direct {
				sleep(ctx, f.pauseAfterStep())
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reloadPauseFactor is the pause after a read of the whole state, in units of the
// defaultValue one: it takes several calls, and is needed again and again from a store that
// keeps no history.
const reloadPauseFactor = 3

// pauseAfterStep is the pause after an answer of the store.
func (f *Follower) pauseAfterStep() time.Duration {
	if f.reloaded {
		f.reloaded = false
		return reloadPauseFactor * f.options.Pause
	}
	return f.options.Pause
}

// listRelays reads the records of the relays, so that a starting VM can take the state
// from one of them.
func (f *Follower) listRelays(ctx context.Context) {
	if f.listedRevision > 0 || f.options.Lister == nil || f.replica.isLoaded() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, f.options.ReadTimeout)
	defer cancel()
	a, err := f.options.Lister.List(bounded, f.options.RelayPrefix)
	if err != nil {
		f.recordFailure(storeName, err)
		return
	}
	f.listedRevision = a.Revision
	f.options.Sink.Apply(f.options.Now(), a.Records)
	if relays, _ := f.options.Relays(); len(relays) == 0 && f.options.Alone != nil {
		f.options.Alone()
	}
}

// step asks the sources in order until one answers.
func (f *Follower) step(ctx context.Context) (direct bool, err error) {
	f.listRelays(ctx)
	err = errors.New("feed: no source")
	for _, name := range f.sourceOrder() {
		if err = f.fetch(ctx, name); errors.Is(err, errPaused) && ctx.Err() == nil {
			// The source is not to blame.
			err = f.fetch(ctx, name)
		}
		if err == nil {
			f.recordSuccess(name)
			return name == storeName, nil
		}
		if ctx.Err() != nil {
			return false, err
		}
		f.recordFailure(name, err)
	}
	return false, err
}

// sourceOrder returns the sources to ask, best first. Those that failed lately come
// last.
func (f *Follower) sourceOrder() []string {
	relays, direct := f.options.Relays()
	names := make([]string, 0, len(relays)+1)
	if direct || len(relays) == 0 {
		names = append(append(names, storeName), relays...)
	} else {
		// The store comes before the second relay: neither a change nor a start
		// must wait until several relays were found silent.
		names = append(append(names, relays[0], storeName), relays[1:]...)
	}
	now := f.options.Now()
	var avoided []string
	preferred := names[:0]
	for _, n := range names {
		if now.Before(f.avoidUntil[n]) {
			avoided = append(avoided, n)
		} else {
			preferred = append(preferred, n)
		}
	}
	return append(preferred, avoided...)
}

// fetch asks one source and takes its answer.
func (f *Follower) fetch(ctx context.Context, name string) error {
	source, wait := f.options.Store, f.options.StoreWait
	if name != storeName {
		source, wait = &relaySource{f.client, name, f.options.StateWait, f.listedRevision}, f.options.RelayWait
	}
	if !f.replica.isLoaded() {
		return f.readState(ctx, source)
	}
	revision, _ := f.replica.position(f.options.Uptime())
	sentAt := f.options.Uptime()
	bounded, wait := f.beginRequest(ctx, wait)
	a, err := source.Watch(bounded, revision, wait)
	if f.endRequest() || f.isLate(sentAt, wait) {
		return errPaused
	}
	if errors.Is(err, ErrCompacted) {
		event.FeedCompacted.Log(f.options.Log, "source", name, "revision", revision)
		return f.readState(ctx, source)
	}
	if err != nil {
		return err
	}
	if a.Age > f.options.MaxAge {
		return errors.Errorf("feed: relay %s heard the store %s ago", name, a.Age)
	}
	now := f.options.Now()
	changes := f.replica.apply(f.options.Uptime(), &a)
	f.reportContact(now, false)
	f.options.Sink.Apply(now, changes)
	return nil
}

// isLate tells whether this VM was paused while it waited for an answer: the answer may
// have lain here since, and says nothing about the time after it.
func (f *Follower) isLate(asked, wait time.Duration) bool {
	took := f.options.Uptime() - asked
	if took <= wait+2*f.options.AnswerGrace {
		return false
	}
	event.FeedPaused.Log(f.options.Log, "took_ms", took.Milliseconds())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh = true
	return true
}

// reportContact reports contact with the store, or its loss.
func (f *Follower) reportContact(now time.Time, failed bool) {
	_, age := f.replica.position(f.options.Uptime())
	f.options.Sink.Touch(now, age, failed)
}

// readState takes the whole state of a source, unless it is older than this VM's.
func (f *Follower) readState(ctx context.Context, source Source) error {
	bounded, cancel := context.WithTimeout(ctx, f.options.ReadTimeout)
	defer cancel()
	asked := f.options.Uptime()
	a, err := source.Read(bounded)
	if err != nil {
		return err
	}
	if f.isLate(asked, f.options.ReadTimeout) {
		return errPaused
	}
	now := f.options.Now()
	revision, _ := f.replica.position(f.options.Uptime())
	if a.Age > f.options.MaxAge || a.Revision < max(revision, f.listedRevision) {
		return errors.Errorf("feed: state of revision %d, %s old, is no news", a.Revision, a.Age)
	}
	f.reloaded = f.replica.isLoaded()
	f.replica.reset(f.options.Uptime(), &a)
	f.reportContact(now, false)
	f.options.Sink.Reset(now, a.Revision, a.Records)
	return nil
}

// recordSuccess notes that a source answered.
func (f *Follower) recordSuccess(name string) {
	delete(f.avoidUntil, name)
	if name != f.source {
		event.FeedSource.Log(f.options.Log, "source", name, "before", f.source)
		f.source = name
	}
}

// recordFailure notes that a source failed.
func (f *Follower) recordFailure(name string, err error) {
	now := f.options.Now()
	if !now.Before(f.avoidUntil[name]) {
		event.FeedLost.Log(f.options.Log, "source", name, "error", err)
	}
	f.avoidUntil[name] = now.Add(avoidPeriod)
	if name == storeName {
		f.reportContact(now, true)
	}
}

func (c *replica) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}
