package configstore

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/store"
)

// NumKeptVersions is how many versions before the newest keep all their chunks, so
// that operators can return to them and slow VMs can finish fetching them.
const NumKeptVersions = 16

// CleanGracePeriod is how long a chunk must be unreferenced and unchanged before it
// is deleted. A change writes its chunks before its head and takes at most
// DefaultChangeTimeout, so the chunks of a change in progress are always younger.
const CleanGracePeriod = 10 * time.Minute

// Cleaner deletes chunks that no kept version references. It is not safe for
// concurrent use.
type Cleaner struct {
	publisher  *Publisher
	candidates map[string]candidate
}

// candidate is an unreferenced chunk: its index in the store, and since when it has
// been unreferenced with this index.
type candidate struct {
	index uint64
	since time.Time
}

// NewCleaner returns a cleaner of the publisher's store.
func NewCleaner(p *Publisher) *Cleaner {
	return &Cleaner{publisher: p, candidates: make(map[string]candidate)}
}

// Clean lists the chunks once and deletes those that have been unreferenced with
// the same index for CleanGracePeriod. It returns the number of deleted chunks.
func (c *Cleaner) Clean(ctx context.Context, now time.Time) (int, error) {
	var entries []store.Entry
	err := c.publisher.retry(ctx, func(ctx context.Context) (err error) {
		entries, err = c.publisher.store.List(ctx, ChunkPrefix)
		return err
	})
	if err != nil {
		return 0, err
	}
	// The head is read after the list, so that a listed chunk which a newer head
	// references is not treated as unreferenced.
	referenced, err := c.referencedChunks(ctx)
	if err != nil {
		return 0, err
	}
	nextCandidates := make(map[string]candidate)
	deleted := 0
	for _, e := range entries {
		if referenced[strings.TrimPrefix(e.Key, ChunkPrefix)] {
			continue
		}
		previous, ok := c.candidates[e.Key]
		if !ok || previous.index != e.Index {
			nextCandidates[e.Key] = candidate{index: e.Index, since: now}
			continue
		}
		if now.Sub(previous.since) < CleanGracePeriod {
			nextCandidates[e.Key] = previous
			continue
		}
		err := c.publisher.call(ctx, func(ctx context.Context) error { return c.publisher.store.Delete(ctx, e.Key, e.Index) })
		switch {
		case err == nil:
			deleted++
		case !isOutcomeKnown(err):
			return deleted, err
		}
	}
	c.candidates = nextCandidates
	return deleted, nil
}

// referencedChunks returns the hashes of all chunks of the kept versions and of
// their archived heads.
func (c *Cleaner) referencedChunks(ctx context.Context) (map[string]bool, error) {
	stored, err := c.publisher.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if stored.head == nil {
		return nil, ErrNoVersion
	}
	out := make(map[string]bool)
	add := func(h *config.Head) {
		for _, ref := range h.Chunks {
			out[ref.Hash.String()] = true
		}
	}
	add(stored.head)
	history, err := c.publisher.readHistory(ctx, stored.head)
	if err != nil {
		return nil, err
	}
	for _, change := range history[max(0, len(history)-1-NumKeptVersions):] {
		if change.Head.Hash.IsZero() {
			continue
		}
		out[change.Head.Hash.String()] = true
		h, _, err := c.publisher.readArchivedHead(ctx, change.Head)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		add(h)
	}
	return out, nil
}
