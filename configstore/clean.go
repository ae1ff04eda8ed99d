package configstore

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/store"
)

// KeepVersions is how many versions before the newest keep all their chunks, so
// that operators can return to them and slow VMs can still fetch them.
const KeepVersions = 16

// CleanGrace is how long a chunk must be unreferenced and unchanged before it is
// deleted. A change writes its chunks before its head and takes at most
// DefaultChangeLimit, so a chunk of a change that is being written is younger.
const CleanGrace = 10 * time.Minute

// Cleaner deletes chunks that no kept version names. It is not safe for
// concurrent use.
type Cleaner struct {
	p          *Publisher
	candidates map[string]candidate
}

type candidate struct {
	index uint64
	since time.Time
}

// NewCleaner returns a cleaner over the publisher's store.
func NewCleaner(p *Publisher) *Cleaner {
	return &Cleaner{p: p, candidates: make(map[string]candidate)}
}

// Clean lists the chunks once and deletes those that were unreferenced with the
// same index for CleanGrace. It returns how many it deleted.
func (c *Cleaner) Clean(ctx context.Context, now time.Time) (int, error) {
	var entries []store.Entry
	err := c.p.retry(ctx, func(ctx context.Context) (err error) {
		entries, err = c.p.store.List(ctx, ChunkPrefix)
		return err
	})
	if err != nil {
		return 0, err
	}
	// The head is read after the list, so that a chunk which a newer head names
	// is never taken for unreferenced.
	named, err := c.named(ctx)
	if err != nil {
		return 0, err
	}
	next := make(map[string]candidate)
	deleted := 0
	for _, e := range entries {
		if named[strings.TrimPrefix(e.Key, ChunkPrefix)] {
			continue
		}
		old, ok := c.candidates[e.Key]
		if !ok || old.index != e.Index {
			next[e.Key] = candidate{index: e.Index, since: now}
			continue
		}
		if now.Sub(old.since) < CleanGrace {
			next[e.Key] = old
			continue
		}
		err := c.p.call(ctx, func(ctx context.Context) error { return c.p.store.Delete(ctx, e.Key, e.Index) })
		switch {
		case err == nil:
			deleted++
		case !known(err):
			return deleted, err
		}
	}
	c.candidates = next
	return deleted, nil
}

// named returns the hashes of the chunks of the kept versions.
func (c *Cleaner) named(ctx context.Context) (map[string]bool, error) {
	cur, err := c.p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if cur.head == nil {
		return nil, ErrNoVersion
	}
	out := make(map[string]bool)
	add := func(h *config.Head) {
		for _, ref := range h.Chunks {
			out[ref.Hash.String()] = true
		}
	}
	add(cur.head)
	history, err := c.p.historyOf(ctx, cur.head)
	if err != nil {
		return nil, err
	}
	for _, change := range history[max(0, len(history)-1-KeepVersions):] {
		if change.Head.Hash.IsZero() {
			continue
		}
		out[change.Head.Hash.String()] = true
		h, _, err := c.p.archived(ctx, change.Head)
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
