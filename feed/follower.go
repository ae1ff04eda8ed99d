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
	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/internal/httpanswer"
)

// Defaults of Options.
const (
	// DefaultStoreWait is how long a watch of the store waits for a change. A
	// reachable store answers at least this often.
	DefaultStoreWait = time.Second
	// DefaultRelayWait is how long a watch of a relay waits for a change. Together
	// with DefaultAnswerGrace it bounds the time until an unresponsive relay is
	// detected.
	DefaultRelayWait = 500 * time.Millisecond
	// DefaultStateWait is how long a relay that is itself starting may delay a
	// starting follower. It allows for a few reads of the state of a large platform.
	DefaultStateWait = time.Second
	// DefaultAnswerGrace is how long an answer may take beyond its wait. It allows for
	// two round trips between regions and a busy VM.
	DefaultAnswerGrace = 350 * time.Millisecond
	// DefaultReadTimeout bounds a read of the whole state.
	DefaultReadTimeout = 2 * time.Second
	// DefaultMaxAge is the age of the store's confirmation above which a relay is
	// considered to have lost the store: one wait and its grace.
	DefaultMaxAge = DefaultStoreWait + DefaultAnswerGrace + 100*time.Millisecond
	// DefaultPause is the pause between two watches of the store. Changes in quick
	// succession are then delivered in one answer.
	DefaultPause = 200 * time.Millisecond
	// avoidPeriod is how long a source that failed is moved to the end of the order.
	avoidPeriod = 2 * time.Second
	// minRetryBackoff is the first pause after a step in which no source answered. It
	// is doubled after each further one, up to maxRetryBackoff.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
)

// Options configures a Follower. A duration of zero stands for its default above.
type Options struct {
	Store Source
	Sink  Sink
	// Relays returns the addresses of the VMs that can be followed, best first, and
	// whether this VM watches the store itself.
	Relays func() (addresses []string, direct bool)
	// Lister reads the records whose keys begin with RelayPrefix, those of the relays,
	// when the Follower starts. If it is nil, the whole state is read from the store.
	Lister      Lister
	RelayPrefix string
	Log         *slog.Logger
	// Now replaces time.Now in tests. Nil means time.Now.
	Now func() time.Time
	// Uptime replaces the function Uptime in tests. Nil means that function.
	Uptime func() time.Duration

	StoreWait, RelayWait, StateWait, AnswerGrace, ReadTimeout, MaxAge, Pause time.Duration

	// MaxStartDelay bounds the random delay before the first request. With it, VMs that
	// start together find a relay among those that started first. Zero means no delay.
	MaxStartDelay time.Duration
	// OnNoRelay, if not nil, is called when a starting Follower finds no relay.
	OnNoRelay func()
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

// Follower keeps a replica of the records and relays it to other VMs.
type Follower struct {
	options   Options
	replica   *replica
	client    *http.Client
	bodyCache bodyCache
	// listedAt is the position at which the records of the relays were read, or zero. An
	// older state of a relay is rejected, because it could lack some of these records. The
	// store may list an old state as that of the present epoch.
	listedAt   history.Position
	avoidUntil map[string]time.Time
	// lateness says how long an answer is awaited beyond the time that was asked for.
	lateness *lateness
	// source is the address of the relay that answered last, or storeName.
	source string
	// reloaded is set when the last answer was the whole state although a state was
	// already loaded.
	reloaded bool

	mu sync.Mutex
	// refresh requests that the next request returns without waiting. interrupt
	// cancels the request in flight, or is nil.
	refresh   bool
	interrupt context.CancelFunc
}

// errPaused means that this VM was paused while it waited for an answer.
var errPaused = errors.New("feed: this VM was paused")

// Refresh requests the latest changes from the current source at once. It is called
// when this VM may have been paused: earlier answers don't cover the time of the
// pause.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh = true
	if f.interrupt != nil {
		f.interrupt()
	}
}

// beginRequest returns the context of a request, and how long it may wait for a
// change.
func (f *Follower) beginRequest(ctx context.Context, wait time.Duration) (context.Context, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refresh {
		f.refresh, wait = false, time.Millisecond
	}
	ctx, f.interrupt = context.WithTimeout(ctx, wait+f.lateness.grace())
	return ctx, wait
}

// endRequest ends a request and reports whether Refresh interrupted it.
func (f *Follower) endRequest() (refresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt()
	f.interrupt = nil
	return f.refresh
}

// storeName identifies the store where relays are identified by their addresses.
const storeName = "store"

// New returns a follower without any records.
func New(o Options) *Follower {
	o.setDefaults()
	records := newReplica()
	records.maxGap = o.MaxAge
	f := &Follower{options: o, replica: records, avoidUntil: make(map[string]time.Time), lateness: newLateness(o.AnswerGrace)}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: f.lateness.grace()}
		return dialer.DialContext(ctx, network, address)
	}
	f.client = &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
		DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: maxHeadBytes,
	})}
	return f
}

// Run follows the sources until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minRetryBackoff
	if f.options.MaxStartDelay > 0 {
		sleep(ctx, rand.N(f.options.MaxStartDelay))
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

// reloadPauseFactor multiplies the usual pause after a read of the whole state. Such a
// read takes several calls, and a store that keeps no history requires it repeatedly.
const reloadPauseFactor = 3

// pauseAfterStep returns the pause after an answer of the store.
func (f *Follower) pauseAfterStep() time.Duration {
	if f.reloaded {
		f.reloaded = false
		return reloadPauseFactor * f.options.Pause
	}
	return f.options.Pause
}

// listRelays reads the records of the relays, so that a starting VM can read the state
// from one of them.
func (f *Follower) listRelays(ctx context.Context) {
	if f.listedAt.Revision > 0 || f.options.Lister == nil || f.replica.isLoaded() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, f.options.ReadTimeout)
	defer cancel()
	a, err := f.options.Lister.List(bounded, f.options.RelayPrefix)
	if err != nil {
		f.recordFailure(storeName, err)
		return
	}
	f.listedAt = a.Position
	// The state that is read next replaces these records, whatever its position.
	for i := range a.Records {
		a.Records[i].Revision = 0
	}
	f.options.Sink.Apply(f.options.Now(), a.Epoch, a.Records)
	if relays, _ := f.options.Relays(); len(relays) == 0 && f.options.OnNoRelay != nil {
		f.options.OnNoRelay()
	}
}

// minLateSources is the number of sources that must be late, or all, while none has records, until
// this VM's own link is suspected. One that is late may be down.
const minLateSources = 2

// step tries the sources in order until one answers.
func (f *Follower) step(ctx context.Context) (direct bool, err error) {
	f.listRelays(ctx)
	err = errors.New("feed: no source")
	numLate := 0
	names := f.sourceOrder()
	for _, name := range names {
		if err = f.fetch(ctx, name); errors.Is(err, errPaused) && ctx.Err() == nil {
			// The pause was on this VM: the source has not failed.
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
		if isTimeout(err) {
			numLate++
		}
	}
	if numLate >= min(minLateSources, len(names)) {
		f.lateness.recordNoAnswer()
	}
	return false, err
}

// sourceOrder returns the sources to try, best first. Those that failed recently come
// last.
func (f *Follower) sourceOrder() []string {
	relays, direct := f.options.Relays()
	names := make([]string, 0, len(relays)+1)
	if direct || len(relays) == 0 {
		names = append(append(names, storeName), relays...)
	} else {
		// The store comes before the second relay: neither a change nor a start must
		// be delayed until several relays were found unresponsive.
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

// fetch sends a request to one source and applies its answer.
func (f *Follower) fetch(ctx context.Context, name string) error {
	source, wait := f.options.Store, f.options.StoreWait
	if name != storeName {
		source, wait = &relaySource{f.client, name, f.options.StateWait, f.listedAt}, f.options.RelayWait
	}
	if !f.replica.isLoaded() {
		return f.readState(ctx, source)
	}
	at, _ := f.replica.position(f.options.Uptime())
	sentAt := f.options.Uptime()
	bounded, wait := f.beginRequest(ctx, wait)
	a, err := source.Watch(bounded, at, wait)
	if f.endRequest() || f.isLate(sentAt, wait) {
		return errPaused
	}
	if errors.Is(err, ErrCompacted) {
		event.FeedCompacted.Log(f.options.Log, "source", name, "epoch", at.Epoch, "revision", at.Revision)
		return f.readState(ctx, source)
	}
	if err != nil {
		return err
	}
	f.lateness.recordAnswer(f.options.Uptime() - sentAt - wait)
	if a.Age > f.options.MaxAge {
		return errors.Errorf("feed: relay %s had its last contact with the store %s ago", name, a.Age)
	}
	f.completePosition(source, &a)
	now := f.options.Now()
	changes, err := f.replica.apply(f.options.Uptime(), &a)
	switch {
	case errors.Is(err, ErrCompacted):
		event.FeedCompacted.Log(f.options.Log, "source", name, "epoch", at.Epoch, "revision", at.Revision, "answer_epoch", a.Epoch)
		return f.readState(ctx, source)
	case err != nil:
		f.logRejected(source, &a)
		return err
	}
	f.reportContact(now, false)
	f.options.Sink.Apply(now, a.Epoch, changes)
	return nil
}

// completePosition sets the epoch of an answer of a store that does not tell it: it is
// taken to be the one of this VM. A relay without an epoch is of an older release, or has
// seen no restore.
func (f *Follower) completePosition(source Source, a *Answer) {
	if _, isRelay := source.(*relaySource); !isRelay && a.Epoch == 0 {
		at, _ := f.replica.position(f.options.Uptime())
		a.Epoch = at.Epoch
	}
}

// isLate reports whether an answer took so long that this VM must have been paused.
// The answer may have been received before the pause, and then doesn't cover the time
// since.
func (f *Follower) isLate(sentAt, wait time.Duration) bool {
	took := f.options.Uptime() - sentAt
	if took <= wait+2*f.lateness.grace() {
		return false
	}
	event.FeedPaused.Log(f.options.Log, "took_ms", took.Milliseconds())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh = true
	return true
}

// reportContact reports contact with the store to the sink, or that the store failed.
func (f *Follower) reportContact(now time.Time, failed bool) {
	if failed {
		f.replica.loseContact()
	}
	f.options.Sink.ReportContact(now, f.replica.contact(f.options.Uptime()), failed)
}

// readState reads the whole state of a source. It rejects a state that is older than
// that of this VM; one of a later epoch never is.
func (f *Follower) readState(ctx context.Context, source Source) error {
	bounded, cancel := context.WithTimeout(ctx, f.options.ReadTimeout)
	defer cancel()
	sentAt := f.options.Uptime()
	a, err := source.Read(bounded)
	if err != nil {
		return err
	}
	if f.isLate(sentAt, f.options.ReadTimeout) {
		return errPaused
	}
	f.completePosition(source, &a)
	now := f.options.Now()
	before, _ := f.replica.position(f.options.Uptime())
	wasLoaded := f.replica.isLoaded()
	var minPosition history.Position
	if _, isRelay := source.(*relaySource); isRelay {
		minPosition = f.listedAt
	}
	if a.Age > f.options.MaxAge {
		f.logRejected(source, &a)
		return errors.Errorf("feed: state was confirmed %s ago", a.Age)
	}
	if err := f.replica.load(f.options.Uptime(), &a, minPosition); err != nil {
		f.logRejected(source, &a)
		return err
	}
	f.reloaded = wasLoaded
	if wasLoaded && a.Epoch != before.Epoch {
		event.FeedRestored.Log(f.options.Log, "source", f.nameOf(source), "epoch", a.Epoch, "revision", a.Revision,
			"epoch_before", before.Epoch, "revision_before", before.Revision)
	}
	f.reportContact(now, false)
	if relay, ok := source.(*relaySource); ok && a.HasEarlier && !wasLoaded {
		earlier, err := relay.Earlier(bounded)
		if err != nil {
			// This VM then knows the restored state only, as it does without a relay.
			event.FeedLost.Log(f.options.Log, "source", relay.address, "error", err)
		} else {
			replayEarlier(f.options.Sink, now, &earlier, &a)
		}
	}
	f.options.Sink.Reset(now, a.Position, a.Records)
	return nil
}

// logRejected logs an answer that is older than the records of this VM.
func (f *Follower) logRejected(source Source, a *Answer) {
	at, _ := f.replica.position(f.options.Uptime())
	event.FeedRejected.Log(f.options.Log, "source", f.nameOf(source), "epoch", a.Epoch, "revision", a.Revision, "age_ms", a.Age.Milliseconds(),
		"own_epoch", at.Epoch, "own_revision", at.Revision, "listed_epoch", f.listedAt.Epoch, "listed_revision", f.listedAt.Revision)
}

// nameOf returns the name of a source for the log.
func (f *Follower) nameOf(source Source) string {
	if relay, ok := source.(*relaySource); ok {
		return relay.address
	}
	return storeName
}

// recordSuccess makes the source that answered the current one.
func (f *Follower) recordSuccess(name string) {
	delete(f.avoidUntil, name)
	if name != f.source {
		event.FeedSource.Log(f.options.Log, "source", name, "before", f.source)
		f.source = name
	}
}

// recordFailure moves a source to the end of the order for avoidPeriod. A failure of
// the store is also reported to the sink.
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
