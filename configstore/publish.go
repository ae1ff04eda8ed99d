package configstore

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/store"
)

// Result of an accepted change.
type Result struct {
	Version  uint64
	ChangeID string
	// Resent means that the change had been accepted before.
	Resent bool
	// Merged means that other operators changed other things since the base.
	Merged bool
}

// maxMerges bounds how often a change is merged with changes of other operators
// that were accepted while it was being written.
const maxMerges = 8

// Publish makes content the next version. base is the version on which the
// operator's edit is based, zero for the first. Changes by others since then
// are merged when they touch other things; otherwise the error is a
// *config.ConflictError. The change is accepted, and Publish returns no error,
// only after the compare-and-swap of the head is known to have taken effect. On
// ErrOutcomeUnknown the operator resends with the same change ID.
func (p *Publisher) Publish(ctx context.Context, base uint64, content config.Content, m config.Meta) (Result, error) {
	if err := m.Validate(); err != nil {
		return Result{}, err
	}
	if err := content.Validate(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.ChangeLimit)
	defer cancel()
	for range maxMerges {
		r, again, err := p.attempt(ctx, base, content, m)
		if !again {
			return r, err
		}
	}
	return Result{}, errors.New("configstore: too many changes by others at the same time, nothing was changed")
}

// RollForward makes the content of an earlier version the next version. base is
// the newest version that the operator has seen: changes up to base are undone,
// later ones are merged or conflict as in Publish.
func (p *Publisher) RollForward(ctx context.Context, base, to uint64, m config.Meta) (Result, error) {
	c, err := p.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if r, ok, err := p.accepted(ctx, c, m.ChangeID); ok || err != nil {
		return r, err
	}
	s, err := p.loadVersion(ctx, c, to)
	if err != nil {
		return Result{}, err
	}
	return p.Publish(ctx, base, s.Bare(), m)
}

// attempt tries once. again is true when another change came in between.
func (p *Publisher) attempt(ctx context.Context, base uint64, content config.Content, m config.Meta) (r Result, again bool, err error) {
	c, err := p.readHead(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if r, ok, err := p.accepted(ctx, c, m.ChangeID); ok || err != nil {
		return r, false, err
	}
	if version(c.head) < p.opts.InForce() {
		return Result{}, false, errors.Wrapf(ErrStoreBehind, "version %d, in force %d", version(c.head), p.opts.InForce())
	}
	built, merged, err := p.build(ctx, c, base, content, m)
	if err != nil {
		return Result{}, false, err
	}
	if err := p.writeChunks(ctx, c.head, built.Chunks); err != nil {
		return Result{}, false, err
	}
	err = p.swapHead(ctx, c.index, built)
	if errors.Is(err, store.ErrConflict) {
		return Result{}, true, nil
	}
	return Result{Version: built.Head.Version, ChangeID: m.ChangeID, Merged: merged}, false, err
}

func version(h *config.Head) uint64 {
	if h == nil {
		return 0
	}
	return h.Version
}

// accepted finds the result of a change that was accepted before.
func (p *Publisher) accepted(ctx context.Context, c current, changeID string) (Result, bool, error) {
	if c.head == nil {
		return Result{}, false, nil
	}
	if c.head.ChangeID == changeID {
		return Result{Version: c.head.Version, ChangeID: changeID, Resent: true}, true, nil
	}
	history, err := p.historyOf(ctx, c.head)
	if err != nil {
		return Result{}, false, err
	}
	change, ok := history.Find(changeID)
	return Result{Version: change.Version, ChangeID: changeID, Resent: true}, ok, nil
}

// build makes the next version, merged with what others changed since base.
func (p *Publisher) build(ctx context.Context, c current, base uint64, content config.Content, m config.Meta) (*config.Built, bool, error) {
	if c.head == nil {
		if base != 0 {
			return nil, false, ErrNoVersion
		}
		b, err := config.Build(nil, nil, content, m, []string{"first version"})
		return b, false, err
	}
	history, err := p.historyOf(ctx, c.head)
	if err != nil {
		return nil, false, err
	}
	now, err := p.load(ctx, c.bytes, c.head)
	if err != nil {
		return nil, false, err
	}
	theirs := now.Bare()
	merged := base != c.head.Version
	if merged {
		if content, err = p.merge(ctx, c, history, base, content, theirs, m); err != nil {
			return nil, false, err
		}
	}
	list, total, err := config.Diff(theirs, content)
	if err != nil {
		return nil, false, err
	}
	b, err := config.Build(c.head, history, content, m, config.Summary(list, total))
	return b, merged, err
}

func (p *Publisher) merge(ctx context.Context, c current, history config.History, base uint64, mine, theirs config.Content, m config.Meta) (config.Content, error) {
	conflict := &config.ConflictError{Base: base, Current: c.head.Version, Mine: m, Theirs: history.Since(base)}
	old, err := p.loadVersion(ctx, c, base)
	if err != nil {
		if errors.Is(err, ErrVersionGone) {
			conflict.Cause = err
			return config.Content{}, conflict
		}
		return config.Content{}, err
	}
	was := old.Bare()
	merged, clashes, err := config.Merge(was, mine, theirs)
	if err != nil {
		return config.Content{}, err
	}
	if len(clashes) == 0 {
		// Two changes can be valid alone and not together, for example a new
		// block of a site that was removed.
		if conflict.Cause = merged.Validate(); conflict.Cause == nil {
			return merged, nil
		}
	}
	conflict.Paths = clashes
	if conflict.MyDiff, _, err = config.Diff(was, mine); err != nil {
		return config.Content{}, err
	}
	if conflict.TheirDiff, _, err = config.Diff(was, theirs); err != nil {
		return config.Content{}, err
	}
	return config.Content{}, conflict
}

// writeChunks stores the chunks that the head prev does not name. A chunk that
// exists for another reason is written again, so that its index changes and
// Clean, which may be about to delete it, leaves it.
func (p *Publisher) writeChunks(ctx context.Context, prev *config.Head, chunks []config.Chunk) error {
	named := make(map[config.Hash]bool)
	if prev != nil {
		for _, ref := range prev.Chunks {
			named[ref.Hash] = true
		}
	}
	for _, c := range chunks {
		if named[c.Ref.Hash] {
			continue
		}
		if err := p.writeChunk(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

func (p *Publisher) writeChunk(ctx context.Context, c config.Chunk) error {
	key := ChunkPrefix + c.Ref.Hash.String()
	index := uint64(0)
	return p.retry(ctx, func(ctx context.Context) error {
		err := p.store.CompareAndSwap(ctx, store.Write{Key: key, Value: c.Data, Index: index})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		e, err := p.store.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			index = 0
			return errChunkChanged
		}
		if err != nil {
			return err
		}
		if !bytes.Equal(e.Value, c.Data) {
			return errors.Errorf("configstore: chunk %s has other content", c.Ref.Hash)
		}
		index = e.Index
		err = p.store.CompareAndSwap(ctx, store.Write{Key: key, Value: c.Data, Index: index})
		if errors.Is(err, store.ErrConflict) {
			return errChunkChanged
		}
		return err
	})
}

// errChunkChanged means that another change wrote the same chunk, or Clean
// deleted it, between two calls. The write is tried again.
var errChunkChanged = errors.New("configstore: chunk changed between two calls")

// swapHead writes the head if it still has the index, and resolves a lost reply
// by reading the head back. It returns store.ErrConflict when another change
// took the place and this one did not take effect.
func (p *Publisher) swapHead(ctx context.Context, index uint64, b *config.Built) error {
	err := p.call(ctx, func(ctx context.Context) error {
		return p.store.CompareAndSwap(ctx, store.Write{Key: HeadKey, Value: b.HeadBytes, Index: index})
	})
	if err == nil || errors.Is(err, store.ErrConflict) {
		return err
	}
	for {
		c, readErr := p.readHead(ctx)
		if readErr != nil {
			return errors.Wrap(ErrOutcomeUnknown, readErr.Error())
		}
		if _, ok, err := p.accepted(ctx, c, b.Head.ChangeID); err != nil {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		} else if ok {
			return nil
		}
		if c.index != index {
			return store.ErrConflict
		}
		// The first write may still be on its way. Writing again at the same
		// index is safe, because only one of the two can meet its condition.
		err := p.call(ctx, func(ctx context.Context) error {
			return p.store.CompareAndSwap(ctx, store.Write{Key: HeadKey, Value: b.HeadBytes, Index: index})
		})
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !sleep(ctx, minPause) {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

// Restore writes the version in force back to a store that fell behind, for
// example after a restore from a backup.
func (p *Publisher) Restore(ctx context.Context, s *config.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ChangeLimit)
	defer cancel()
	c, err := p.readHead(ctx)
	if err != nil {
		return err
	}
	if version(c.head) >= s.Head.Version {
		return nil
	}
	for _, ref := range s.Head.Chunks {
		data, ok := s.Chunk(ref.Hash)
		if !ok {
			// VMs do not hold the history; an empty one would change the head.
			continue
		}
		if err := p.writeChunk(ctx, config.Chunk{Ref: ref, Data: data}); err != nil {
			return err
		}
	}
	return p.swapHead(ctx, c.index, &config.Built{Head: s.Head, HeadBytes: s.HeadBytes})
}
