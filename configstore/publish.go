package configstore

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/store"
)

// Result describes an accepted change.
type Result struct {
	Version  uint64
	ChangeID string
	// Resent means that the change was already accepted by an earlier call.
	Resent bool
	// Merged means that the change was merged with changes that other operators
	// made since the base version.
	Merged bool
}

// maxPublishAttempts bounds the attempts to write a change. An attempt fails if
// another change is accepted in the meantime, and the next one merges with it.
const maxPublishAttempts = 8

// Publish makes content the next version. base is the version on which the
// operator's edit is based, zero for the first version. Changes that others made
// since then are merged if they touch other values; otherwise the error is a
// *config.ConflictError. Publish returns nil only after the compare-and-swap of
// the head is known to have taken effect. After ErrOutcomeUnknown the operator
// resends the change with the same change ID.
func (p *Publisher) Publish(ctx context.Context, base uint64, content config.Content, m config.Meta) (Result, error) {
	if err := m.Validate(); err != nil {
		return Result{}, err
	}
	if err := content.Validate(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.ChangeTimeout)
	defer cancel()
	for range maxPublishAttempts {
		r, conflicted, err := p.attempt(ctx, base, content, m)
		if !conflicted {
			return r, err
		}
	}
	return Result{}, errors.New("configstore: too many changes by others at the same time, nothing was changed")
}

// RollForward makes the content of an earlier version the next version. base is
// the newest version that the operator has seen: changes up to base are undone,
// later ones are merged or conflict as in Publish.
func (p *Publisher) RollForward(ctx context.Context, base, to uint64, m config.Meta) (Result, error) {
	stored, err := p.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if r, ok, err := p.findAccepted(ctx, stored, m.ChangeID); ok || err != nil {
		return r, err
	}
	s, err := p.loadVersion(ctx, stored, to)
	if err != nil {
		return Result{}, err
	}
	return p.Publish(ctx, base, s.ContentWithStoredBlocks(), m)
}

// attempt tries to publish once. conflicted is true if another change was accepted
// in the meantime.
func (p *Publisher) attempt(ctx context.Context, base uint64, content config.Content, m config.Meta) (r Result, conflicted bool, err error) {
	stored, err := p.readHead(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if r, ok, err := p.findAccepted(ctx, stored, m.ChangeID); ok || err != nil {
		return r, false, err
	}
	if versionOf(stored.head) < p.opts.InForce() {
		return Result{}, false, errors.Wrapf(ErrStoreBehind, "version %d, in force %d", versionOf(stored.head), p.opts.InForce())
	}
	built, merged, err := p.build(ctx, stored, base, content, m)
	if err != nil {
		return Result{}, false, err
	}
	if err := p.writeChunks(ctx, stored.head, built.Chunks); err != nil {
		return Result{}, false, err
	}
	err = p.swapHead(ctx, stored.index, built)
	if errors.Is(err, store.ErrConflict) {
		return Result{}, true, nil
	}
	return Result{Version: built.Head.Version, ChangeID: m.ChangeID, Merged: merged}, false, err
}

// versionOf returns the version of a head, zero if there is none.
func versionOf(h *config.Head) uint64 {
	if h == nil {
		return 0
	}
	return h.Version
}

// findAccepted returns the result of the change with the ID if it was accepted
// before, and whether it was.
func (p *Publisher) findAccepted(ctx context.Context, stored storedHead, changeID string) (Result, bool, error) {
	if stored.head == nil {
		return Result{}, false, nil
	}
	if stored.head.ChangeID == changeID {
		return Result{Version: stored.head.Version, ChangeID: changeID, Resent: true}, true, nil
	}
	history, err := p.readHistory(ctx, stored.head)
	if err != nil {
		return Result{}, false, err
	}
	change, ok := history.Find(changeID)
	return Result{Version: change.Version, ChangeID: changeID, Resent: true}, ok, nil
}

// build encodes the next version, merged with the changes that others made since
// base. It also reports whether the change was merged.
func (p *Publisher) build(ctx context.Context, stored storedHead, base uint64, content config.Content, m config.Meta) (*config.EncodedVersion, bool, error) {
	if stored.head == nil {
		if base != 0 {
			return nil, false, ErrNoVersion
		}
		b, err := config.Build(nil, nil, content, m, []string{"first version"})
		return b, false, err
	}
	history, err := p.readHistory(ctx, stored.head)
	if err != nil {
		return nil, false, err
	}
	snapshot, err := p.load(ctx, stored.bytes, stored.head)
	if err != nil {
		return nil, false, err
	}
	theirs := snapshot.ContentWithStoredBlocks()
	merged := base != stored.head.Version
	if merged {
		if content, err = p.merge(ctx, stored, history, base, content, theirs, m); err != nil {
			return nil, false, err
		}
	}
	list, total, err := config.Diff(theirs, content)
	if err != nil {
		return nil, false, err
	}
	b, err := config.Build(stored.head, history, content, m, config.Summary(list, total))
	return b, merged, err
}

// merge applies the change from base to mine on top of theirs, the content of the
// newest version. The error is a *config.ConflictError if this is not possible.
func (p *Publisher) merge(ctx context.Context, stored storedHead, history config.History, base uint64, mine, theirs config.Content, m config.Meta) (config.Content, error) {
	conflict := &config.ConflictError{Base: base, Current: stored.head.Version, Mine: m, Theirs: history.Since(base)}
	baseSnapshot, err := p.loadVersion(ctx, stored, base)
	if err != nil {
		if errors.Is(err, ErrVersionGone) {
			conflict.Cause = err
			return config.Content{}, conflict
		}
		return config.Content{}, err
	}
	baseContent := baseSnapshot.ContentWithStoredBlocks()
	merged, conflictPaths, err := config.Merge(baseContent, mine, theirs)
	if err != nil {
		return config.Content{}, err
	}
	if len(conflictPaths) == 0 {
		// Two changes can each be valid but not together, for example a new block
		// of a site and the removal of the site.
		if conflict.Cause = merged.Validate(); conflict.Cause == nil {
			return merged, nil
		}
	}
	conflict.Paths = conflictPaths
	if conflict.MyDiff, _, err = config.Diff(baseContent, mine); err != nil {
		return config.Content{}, err
	}
	if conflict.TheirDiff, _, err = config.Diff(baseContent, theirs); err != nil {
		return config.Content{}, err
	}
	return config.Content{}, conflict
}

// writeChunks writes the chunks that the head prev does not reference. A chunk that
// is already in the store for another reason is written again, so that its index
// changes and Clean, which may be about to delete it, keeps it.
func (p *Publisher) writeChunks(ctx context.Context, prev *config.Head, chunks []config.Chunk) error {
	referenced := make(map[config.Hash]bool)
	if prev != nil {
		for _, ref := range prev.Chunks {
			referenced[ref.Hash] = true
		}
	}
	for _, c := range chunks {
		if referenced[c.Ref.Hash] {
			continue
		}
		if err := p.writeChunk(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// writeChunk writes a chunk or, if it exists, writes it again with a new index.
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
// deleted it, between two calls. The write is retried.
var errChunkChanged = errors.New("configstore: chunk changed between two calls")

// swapHead replaces the head if its index is still the given one. After a lost
// reply it reads the head back to learn whether the write took effect. It returns
// store.ErrConflict if another change was written instead and this one did not take
// effect.
func (p *Publisher) swapHead(ctx context.Context, index uint64, b *config.EncodedVersion) error {
	err := p.call(ctx, func(ctx context.Context) error {
		return p.store.CompareAndSwap(ctx, store.Write{Key: HeadKey, Value: b.HeadBytes, Index: index})
	})
	if err == nil || errors.Is(err, store.ErrConflict) {
		return err
	}
	for {
		stored, readErr := p.readHead(ctx)
		if readErr != nil {
			return errors.Wrap(ErrOutcomeUnknown, readErr.Error())
		}
		if _, ok, err := p.findAccepted(ctx, stored, b.Head.ChangeID); err != nil {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		} else if ok {
			return nil
		}
		if stored.index != index {
			return store.ErrConflict
		}
		// The first write may still reach the store. Writing again with the same
		// index is safe, because at most one of the two can succeed.
		err := p.call(ctx, func(ctx context.Context) error {
			return p.store.CompareAndSwap(ctx, store.Write{Key: HeadKey, Value: b.HeadBytes, Index: index})
		})
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !sleep(ctx, minRetryBackoff) {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

// Restore writes the version in force back to a store that has an older one, for
// example after a restore from a backup.
func (p *Publisher) Restore(ctx context.Context, s *config.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ChangeTimeout)
	defer cancel()
	stored, err := p.readHead(ctx)
	if err != nil {
		return err
	}
	if versionOf(stored.head) >= s.Head.Version {
		return nil
	}
	for _, ref := range s.Head.Chunks {
		data, ok := s.Chunk(ref.Hash)
		if !ok {
			// VMs do not have the chunk of the history. The head still refers to it,
			// because an empty history would change the head.
			continue
		}
		if err := p.writeChunk(ctx, config.Chunk{Ref: ref, Data: data}); err != nil {
			return err
		}
	}
	return p.swapHead(ctx, stored.index, &config.EncodedVersion{Head: s.Head, HeadBytes: s.HeadBytes})
}
