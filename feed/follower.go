package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/internal/dialrace"
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
	// DefaultReadTimeout is how long a read of the whole state may make no progress until
	// another source is asked as well.
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
	// dialTimeout bounds the time until a connection is open. It exceeds that of the second
	// repeat of the first packet.
	dialTimeout = 4 * time.Second
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
	// Dial opens the connections to relays. Nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
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
	// source is the address of the relay that answered last, or StoreName.
	source string
	// reloaded is set when the last answer was the whole state although a state was
	// already loaded.
	reloaded bool
	// calls are the requests under way, in the order in which they were sent. Each is sent on
	// done when it has ended.
	calls []*call
	done  chan *call
	group conc.WaitGroup

	mu sync.Mutex
	// refresh requests the latest changes at once, and wanted names relays that have some.
	// requested is signalled then.
	refresh   bool
	wanted    []string
	requested chan struct{}
}

// Refresh requests the latest changes from the best source at once. It is called when this VM
// may have been paused: answers to earlier requests don't cover the time of the pause.
func (f *Follower) Refresh() {
	f.mu.Lock()
	f.refresh = true
	f.mu.Unlock()
	f.signalRequest()
}

// CatchUp requests the latest changes from a relay that is known to have some, beside the
// requests under way.
func (f *Follower) CatchUp(relay string) {
	f.mu.Lock()
	if len(f.wanted) < maxCalls && !slices.Contains(f.wanted, relay) {
		f.wanted = append(f.wanted, relay)
	}
	f.mu.Unlock()
	f.signalRequest()
}

func (f *Follower) signalRequest() {
	select {
	case f.requested <- struct{}{}:
	default:
	}
}

// takeRequests returns and clears what Refresh and CatchUp requested.
func (f *Follower) takeRequests() (refresh bool, wanted []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	refresh, wanted = f.refresh, f.wanted
	f.refresh, f.wanted = false, nil
	return refresh, wanted
}

// StoreName identifies the store where relays are identified by their addresses.
const StoreName = "store"

// New returns a follower without any records.
func New(o Options) *Follower {
	o.setDefaults()
	records := newReplica()
	records.maxGap = o.MaxAge
	f := &Follower{
		options: o, replica: records, avoidUntil: make(map[string]time.Time), lateness: newLateness(o.AnswerGrace),
		done: make(chan *call, maxCalls), requested: make(chan struct{}, 1),
	}
	dial := dialrace.DialFunc(o.Dial)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	f.client = &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
		DialContext: dialrace.New(dial, f.lateness.grace, dialTimeout), DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: maxHeadBytes,
	})}
	return f
}

// Run follows the sources until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minRetryBackoff
	ctx, cancel := context.WithCancel(ctx)
	defer f.group.Wait()
	defer cancel()
	if f.options.MaxStartDelay > 0 {
		sleep(ctx, rand.N(f.options.MaxStartDelay))
	}
	for ctx.Err() == nil {
		direct, err := f.step(ctx)
		switch {
		case err != nil && len(f.calls) > 0:
			// The step has waited for late answers.
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
	sentAt := f.options.Uptime()
	a, err := f.options.Lister.List(bounded, f.options.RelayPrefix)
	if err != nil {
		f.recordFailure(StoreName, sentAt, err)
		return
	}
	f.listedAt = a.Position
	// The state that is read next replaces these records, whatever its position.
	for i := range a.Records {
		a.Records[i].Revision = 0
	}
	f.options.Sink.Apply(f.options.Now(), Origin{Source: StoreName, SentAt: sentAt, Position: history.Position{Epoch: a.Epoch}}, a.Records)
	if relays, _ := f.options.Relays(); len(relays) == 0 && f.options.OnNoRelay != nil {
		f.options.OnNoRelay()
	}
}

// sourceOrder returns the sources to try, best first. Those that failed recently come
// last.
func (f *Follower) sourceOrder() []string {
	relays, direct := f.options.Relays()
	names := make([]string, 0, len(relays)+1)
	if direct || len(relays) == 0 {
		names = append(append(names, StoreName), relays...)
	} else {
		// The store comes before the second relay: neither a change nor a start must
		// be delayed until several relays were found unresponsive.
		names = append(append(names, relays[0], StoreName), relays[1:]...)
	}
	if i := slices.Index(names, f.source); i > 0 && f.source != StoreName && f.lateness.isCongested() {
		// A connection to another source takes two more round trips. Answers of the store are not
		// compressed.
		names = slices.Insert(slices.Delete(names, i, i+1), 0, f.source)
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

// completePosition sets the epoch of an answer of a store that does not tell it: it is
// taken to be the one of this VM. A relay without an epoch is of an older release, or has
// seen no restore.
func (f *Follower) completePosition(source Source, a *Answer) {
	if _, isRelay := source.(*relaySource); !isRelay && a.Epoch == 0 {
		at, _ := f.replica.position(f.options.Uptime())
		a.Epoch = at.Epoch
	}
}

// reportContact reports contact with the store to the sink, or that the store failed to answer
// a request.
//
// Whole says that the answer has the whole state.
func (f *Follower) reportContact(now time.Time, failed, whole bool, sentAt time.Duration) {
	if failed {
		f.replica.loseContact()
	}
	uptime := f.options.Uptime()
	_, age := f.replica.position(uptime)
	f.options.Sink.ReportContact(now, Contact{Steady: f.replica.contact(uptime), Failed: failed, IsWhole: whole, Age: age, SentAt: sentAt})
}

// logRejected logs an answer that is older than the records of this VM.
func (f *Follower) logRejected(c *call) {
	at, _ := f.replica.position(f.options.Uptime())
	a := &c.answer
	event.FeedRejected.Log(f.options.Log, "source", c.name, "epoch", a.Epoch, "revision", a.Revision, "age_ms", a.Age.Milliseconds(),
		"own_epoch", at.Epoch, "own_revision", at.Revision, "listed_epoch", f.listedAt.Epoch, "listed_revision", f.listedAt.Revision)
}

// recordSuccess makes the source that answered the current one.
func (f *Follower) recordSuccess(name string) {
	if name != f.source {
		event.FeedSource.Log(f.options.Log, "source", name, "before", f.source)
		f.source = name
	}
}

// recordFailure moves a source to the end of the order for avoidPeriod. A failure of
// the store is also reported to the sink.
func (f *Follower) recordFailure(name string, sentAt time.Duration, err error) {
	now := f.options.Now()
	if !now.Before(f.avoidUntil[name]) {
		event.FeedLost.Log(f.options.Log, "source", name, "error", err)
	}
	f.avoidUntil[name] = now.Add(avoidPeriod)
	if name == StoreName {
		f.reportContact(now, true, false, sentAt)
	}
}

func (c *replica) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}
