// Package configstore writes configuration changes to the platform's store and
// reads versions back: chunks first, then the head by compare-and-swap.
package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/store"
)

// Keys of the store.
const (
	HeadKey     = "config/head"
	ChunkPrefix = "config/chunk/"
)

// Defaults of Options.
const (
	DefaultCallTimeout = 5 * time.Second
	DefaultChangeLimit = 2 * time.Minute
)

// ErrOutcomeUnknown means that the store did not answer in time to tell whether
// the change took effect. A resend with the same change ID finds out.
var ErrOutcomeUnknown = errors.New("configstore: outcome unknown, resend with the same change ID")

// ErrNoVersion means that the store holds no configuration yet.
var ErrNoVersion = errors.New("configstore: the store holds no configuration")

// ErrVersionGone means that a version is not kept any more.
var ErrVersionGone = errors.New("configstore: version is not kept any more")

// ErrStoreBehind means that the store's head is older than the version in force,
// as after a restore from a backup. See Publisher.Restore.
var ErrStoreBehind = errors.New("configstore: the store's version is older than the version in force")

// Options of a Publisher.
type Options struct {
	// CallTimeout bounds each call to the store. Zero means 5 s.
	CallTimeout time.Duration
	// ChangeLimit bounds a whole change. Zero means 2 min. It must stay well
	// below CleanGrace, which protects the chunks of a change that is being
	// written.
	ChangeLimit time.Duration
	// InForce returns the version in force on this VM. A store with an older
	// head is refused. Nil means that none is known.
	InForce func() uint64
}

// Publisher writes changes. It is safe for concurrent use.
type Publisher struct {
	store store.Store
	opts  Options
}

// New returns a publisher over s.
func New(s store.Store, o Options) *Publisher {
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.ChangeLimit <= 0 {
		o.ChangeLimit = DefaultChangeLimit
	}
	if o.InForce == nil {
		o.InForce = func() uint64 { return 0 }
	}
	return &Publisher{store: s, opts: o}
}

// call runs one call to the store with its own deadline.
func (p *Publisher) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	return f(ctx)
}

// known tells whether an error leaves no doubt about the outcome.
func known(err error) bool {
	return err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound)
}

// Waits between calls whose outcome is unknown.
const (
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// retry repeats f until its outcome is known or ctx ends. The waits grow and are
// jittered, so that the publishers do not return in step after an outage.
func (p *Publisher) retry(ctx context.Context, f func(context.Context) error) error {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		err := p.call(ctx, f)
		if known(err) {
			return err
		}
		if ctx.Err() != nil || !sleep(ctx, pause/2+rand.N(pause)) {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// current is the head as read from the store.
type current struct {
	index uint64
	bytes []byte
	head  *config.Head
}

// readHead reads the head. A missing one has index zero.
func (p *Publisher) readHead(ctx context.Context) (current, error) {
	var c current
	err := p.retry(ctx, func(ctx context.Context) error {
		e, err := p.store.Get(ctx, HeadKey)
		c.index, c.bytes = e.Index, e.Value
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return current{}, nil
	}
	if err != nil {
		return current{}, err
	}
	c.head, err = config.ParseHead(c.bytes)
	return c, err
}

// ReadChunk reads and verifies one chunk.
func (p *Publisher) ReadChunk(ctx context.Context, ref config.ChunkRef) ([]byte, error) {
	var e store.Entry
	err := p.retry(ctx, func(ctx context.Context) (err error) {
		e, err = p.store.Get(ctx, ChunkPrefix+ref.Hash.String())
		return err
	})
	if err != nil {
		return nil, err
	}
	return e.Value, config.Verify(ref, e.Value)
}

// Load reads the newest version.
func (p *Publisher) Load(ctx context.Context) (*config.Snapshot, error) {
	c, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if c.head == nil {
		return nil, ErrNoVersion
	}
	return p.load(ctx, c.bytes, c.head)
}

func (p *Publisher) load(ctx context.Context, headBytes []byte, h *config.Head) (*config.Snapshot, error) {
	chunks := make(map[config.Hash][]byte, len(h.Chunks))
	for _, ref := range h.Chunks {
		if ref.Section == config.SectionHistory {
			continue
		}
		data, err := p.ReadChunk(ctx, ref)
		if err != nil {
			return nil, err
		}
		chunks[ref.Hash] = data
	}
	return config.NewSnapshot(headBytes, chunks)
}

// History reads the changes that led to the newest version, oldest first.
func (p *Publisher) History(ctx context.Context) (config.History, error) {
	c, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return p.historyOf(ctx, c.head)
}

func (p *Publisher) historyOf(ctx context.Context, h *config.Head) (config.History, error) {
	if h == nil {
		return nil, nil
	}
	refs := h.Section(config.SectionHistory)
	if len(refs) == 0 {
		return nil, nil
	}
	data, err := p.ReadChunk(ctx, refs[0])
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil // Restore writes a version without its history.
	}
	if err != nil {
		return nil, err
	}
	return config.ParseHistory(data)
}

// LoadVersion reads an earlier version, or returns ErrVersionGone.
func (p *Publisher) LoadVersion(ctx context.Context, version uint64) (*config.Snapshot, error) {
	c, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return p.loadVersion(ctx, c, version)
}

func (p *Publisher) loadVersion(ctx context.Context, c current, version uint64) (*config.Snapshot, error) {
	if c.head != nil && c.head.Version == version {
		return p.load(ctx, c.bytes, c.head)
	}
	history, err := p.historyOf(ctx, c.head)
	if err != nil {
		return nil, err
	}
	change, ok := history.Version(version)
	if !ok || change.Head.Hash.IsZero() {
		return nil, ErrVersionGone
	}
	s, err := p.loadArchived(ctx, change.Head)
	if errors.Is(err, store.ErrNotFound) {
		return nil, ErrVersionGone
	}
	return s, err
}

func (p *Publisher) loadArchived(ctx context.Context, ref config.ChunkRef) (*config.Snapshot, error) {
	h, raw, err := p.archived(ctx, ref)
	if err != nil {
		return nil, err
	}
	return p.load(ctx, raw, h)
}

func (p *Publisher) archived(ctx context.Context, ref config.ChunkRef) (*config.Head, []byte, error) {
	data, err := p.ReadChunk(ctx, ref)
	if err != nil {
		return nil, nil, err
	}
	raw, err := config.Unpack(data)
	if err != nil {
		return nil, nil, err
	}
	h, err := config.ParseHead(raw)
	return h, raw, err
}
