// Package control runs the membership and configuration decisions of one VM
// over the connections to other VMs and the platform's store.
package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer"
	"github.com/currantferry/currantferry/peer/peerpb"
	"github.com/currantferry/currantferry/store"
)

// Options configure a Control. Zero durations mean the defaults.
type Options struct {
	Self member.Info
	// Store and Lister are the platform's services.
	Store  store.Store
	Lister store.VMLister
	// Seeds are VMs from the settings, which are contacted while the platform's
	// list cannot be read.
	Seeds []member.Info
	// Pool carries calls to other VMs. Its owner closes it after the Control.
	Pool *peer.Pool
	// Member configures the membership.
	Member member.Options
	// TickInterval is how often timeouts are evaluated. Zero means 100 ms.
	TickInterval time.Duration
	// StoreTimeout bounds a call to the store. Zero means 5 s.
	StoreTimeout time.Duration
	// WatchWait is how long a watch of the store waits for a change. Zero means
	// 2,500 ms, half of the time without an answer of the store after which
	// further VMs start to watch.
	WatchWait time.Duration
	// ListInterval is how often VMs that watch the store read the platform's
	// list. The other VMs get it from them. Zero means 10 s.
	ListInterval time.Duration
	// CleanInterval is how often unreferenced chunks are deleted. Zero means 1 h.
	CleanInterval time.Duration
	// Seed randomises timers and retries.
	Seed uint64
	// Log receives events. Nil means none.
	Log *slog.Logger

	// The callbacks below are called one at a time and in order, outside of all
	// locks. Nil means none.

	// OnSnapshot is called when a version comes into force.
	OnSnapshot func(*config.Snapshot)
	// OnReady is called once the version in force is confirmed.
	OnReady func()
	// OnMember is called when a VM appears or changes.
	OnMember func(member.Changed)
	// OnPlan is called when a peer announces a newer plan than that of SetPlan.
	OnPlan func(member.DocUpdate)
	// OnSection is called with a newer section of another VM.
	OnSection func(member.Section)

	// DrainStates returns the drains that have not finished on this VM, and the
	// configuration version that they come from. Nil means none.
	DrainStates func() ([]*peerpb.DrainState, uint64)

	// OnCrashReports is called with crash reports of other VMs, concurrently.
	OnCrashReports func([]*peerpb.CrashNote)
	// Chunk returns further data by hash, for example the plan. Nil means none.
	Chunk func(hash [32]byte) ([]byte, bool)
}

// Defaults of Options.
const (
	DefaultTickInterval  = 100 * time.Millisecond
	DefaultWatchWait     = 2500 * time.Millisecond
	DefaultListInterval  = 10 * time.Second
	DefaultCleanInterval = time.Hour
)

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&o.TickInterval, DefaultTickInterval)
	setDefault(&o.StoreTimeout, configstore.DefaultCallTimeout)
	setDefault(&o.WatchWait, DefaultWatchWait)
	setDefault(&o.ListInterval, DefaultListInterval)
	setDefault(&o.CleanInterval, DefaultCleanInterval)
	return o
}

// Control is the membership and configuration of one VM. It is safe for
// concurrent use and implements peer.Handler.
type Control struct {
	opts      Options
	publisher *configstore.Publisher
	notify    *notifier
	ctx       context.Context
	cancel    context.CancelFunc
	wg        conc.WaitGroup
	sendSlots chan struct{}

	mu        sync.Mutex
	cluster   *member.Cluster
	tracker   *config.Tracker
	startup   *config.StartupGate
	ready     bool
	startedAt time.Time
	// lastRefusal keeps the same refusal from being logged repeatedly.
	lastRefusal config.Refused
	closed      bool
	// listData is the platform's list in the form that peers fetch.
	listData     []byte
	fetchingList bool
}

var _ peer.Handler = (*Control)(nil)

// maxConcurrentSends bounds the heartbeats that are in flight at a time.
// Further ones count as failed.
const maxConcurrentSends = 256

// New returns a Control that is not running. The caller serves it to peers and
// then calls Start.
func New(o Options) (*Control, error) {
	o = o.withDefaults()
	if o.Self.ID == "" || o.Self.DataCentre == "" || o.Self.Address == "" {
		return nil, errors.New("control: the VM has no ID, data centre or address")
	}
	if o.Store == nil || o.Lister == nil || o.Pool == nil {
		return nil, errors.New("control: store, lister and pool are required")
	}
	now := time.Now()
	c := &Control{
		opts: o, startedAt: now, notify: newNotifier(), sendSlots: make(chan struct{}, maxConcurrentSends),
		cluster: member.New(o.Member, o.Self, now, o.Seed),
		tracker: config.NewTracker(o.Seed),
		startup: config.NewStartupGate(now, nil),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.publisher = configstore.New(o.Store, configstore.Options{
		CallTimeout: o.StoreTimeout, InForce: c.Version, Chunk: c.configChunk,
	})
	var seeds []member.Listed
	for _, s := range o.Seeds {
		if s.ID != o.Self.ID {
			seeds = append(seeds, member.Listed{Info: s})
		}
	}
	c.performEffects(c.cluster.SetList(now, seeds))
	return c, nil
}

// Start runs the loops and callbacks in the background until Close.
func (c *Control) Start() {
	c.wg.Go(c.notify.run)
	for _, loop := range []func(){c.tickLoop, c.watchLoop, c.confirmLoop, c.listLoop, c.cleanLoop} {
		c.wg.Go(loop)
	}
}

// Close stops everything and waits for it to end. The caller must first stop
// serving the Control to peers and, if the process ends, call Leave.
func (c *Control) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.notify.close()
	c.wg.Wait()
}

// Declare changes the state of this VM, for example to member.Serving.
func (c *Control) Declare(s member.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.Declare(time.Now(), s)
}

// Leave announces to some peers that this process ends, so that they need not
// detect it by timeout.
func (c *Control) Leave(ctx context.Context) {
	c.mu.Lock()
	c.cluster.Declare(time.Now(), member.Gone)
	effects := c.cluster.DepartureMessages(time.Now())
	c.mu.Unlock()
	wg := conc.NewWaitGroup()
	for _, e := range effects {
		if s, ok := e.(member.Send); ok {
			wg.Go(func() { _, _ = c.opts.Pool.Exchange(ctx, s.Address, &s.Message) })
		}
	}
	wg.Wait()
}

// Members returns all VMs ordered by ID.
func (c *Control) Members() []member.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Members()
}

// Member returns one VM, and false if it is unknown.
func (c *Control) Member(id string) (member.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Member(id)
}

// Self returns this VM.
func (c *Control) Self() member.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Self()
}

// Snapshot returns the version in force, or nil.
func (c *Control) Snapshot() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Current()
}

// Version returns the number of the version in force, or zero.
func (c *Control) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Version()
}

func (c *Control) configChunk(h config.Hash) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Chunk(h)
}

// IsReady reports whether the version in force is confirmed and the VM may
// accept callers.
func (c *Control) IsReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// IsWatching reports whether this VM watches the store.
func (c *Control) IsWatching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.ShouldWatch(time.Now())
}

// LastStoreContact returns when any VM last reached the store, as far as known, or
// the zero time.
func (c *Control) LastStoreContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.LastStoreContact()
}

// SetPlan announces the plan that this VM has.
func (c *Control) SetPlan(version uint64, hash [32]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.SetDoc(time.Now(), member.DocPlan, member.DocVersion{Version: version, Hash: hash})
}

// SetSection publishes a section of this VM. It returns false for values above
// 512 bytes and for versions that are not newer.
func (c *Control) SetSection(kind uint8, version uint64, value []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.SetSection(time.Now(), kind, version, value)
}

// SetCollector names the VM that receives the sections of collected kinds, for
// example the planner. Empty means none.
func (c *Control) SetCollector(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.SetCollector(time.Now(), id)
}

// FetchChunk fetches data by hash from a VM. The caller verifies it.
func (c *Control) FetchChunk(ctx context.Context, id string, hash [32]byte) ([]byte, error) {
	m, ok := c.Member(id)
	if !ok {
		return nil, errors.Errorf("control: unknown VM %q", id)
	}
	return c.opts.Pool.Chunk(ctx, m.Address, hash)
}

// RanksFirst reports whether this VM ranks first for a task that one VM is enough
// for. Several VMs may do so while their views differ.
func (c *Control) RanksFirst(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.RanksFirst(task)
}

// Publisher returns the access to versions in the store. Changes go through
// Control.Publish, which also puts them in force on this VM at once.
func (c *Control) Publisher() *configstore.Publisher { return c.publisher }

func (c *Control) logMember(e member.Changed) {
	ev := event.MemberChanged
	if e.Member.State == member.Gone {
		ev = event.MemberGone
	}
	ev.Log(c.opts.Log, "vm", e.Member.ID, "state", e.Member.State.String(), "was", e.Was.String(),
		"boot", e.Member.Incarnation.Boot, "seq", e.Member.Incarnation.Seq, "listed", e.Member.Listed)
}
