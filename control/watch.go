package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/store"
)

// Intervals and timeouts of the loops below.
const (
	// minBackoff and maxBackoff bound the pause after a failed call to the store.
	// With 16 watchers and a pause of about 10 s, a store that recovers receives
	// two calls a second.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
	// watchGrace is how long a watch may take beyond its waiting time.
	watchGrace = 2 * time.Second
	// roleCheckInterval is how often a VM checks whether it should watch the
	// store.
	roleCheckInterval = 250 * time.Millisecond
	// emptyStoreInterval is the pause while the store holds no configuration.
	emptyStoreInterval = time.Second
	// confirmDelay is how long a starting VM waits for peers to confirm its
	// version before it asks the store, plus jitter of the same size.
	confirmDelay = 4 * time.Second
)

// backoff is a pause that doubles with each failure and is jittered.
type backoff struct{ delay time.Duration }

func (b *backoff) next() time.Duration {
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	return jitter(b.delay)
}

func (b *backoff) reset() { b.delay = 0 }

// watchLoop watches the store while this VM is a watcher.
func (c *Control) watchLoop() {
	var after uint64
	var retry backoff
	watching, failing := false, false
	// VMs that start together do not know each other yet, and without the pause
	// each of them would watch.
	if !c.sleep(jitter(time.Second)) {
		return
	}
	for {
		if isWatcher := c.IsWatching(); isWatcher != watching {
			watching = isWatcher
			ev := event.ConfigWatchEnded
			if isWatcher {
				ev = event.ConfigWatching
			}
			ev.Log(c.opts.Log)
		}
		if !watching {
			// The index is kept, so that a VM whose role changes repeatedly while the
			// others become known continues from there and reads nothing again.
			if !c.sleep(jitter(roleCheckInterval)) {
				return
			}
			continue
		}
		e, err := c.watch(after)
		switch {
		case err == nil || errors.Is(err, store.ErrNotFound):
			if failing {
				event.ConfigStoreBack.Log(c.opts.Log)
			}
			failing = false
			retry.reset()
			c.storeAnswered(e, err, after, true)
			after = e.Index
			if err != nil && !c.sleep(jitter(emptyStoreInterval)) {
				return
			}
		default:
			if !failing {
				event.ConfigStoreFailing.Log(c.opts.Log, "error", err)
			}
			failing = true
			// A watch may be stuck although plain reads are answered.
			after = 0
			if !c.sleep(retry.next()) {
				return
			}
		}
	}
}

// watch waits for a newer head, or reads the head if after is zero. The
// deadline ends a stuck watch early enough for a plain read to put a change in
// force in time.
func (c *Control) watch(after uint64) (store.Entry, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.StoreTimeout)
		defer cancel()
		return c.opts.Store.Get(ctx, configstore.HeadKey)
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.WatchWait+min(c.opts.StoreTimeout, watchGrace))
	defer cancel()
	return c.opts.Store.Watch(ctx, configstore.HeadKey, after, c.opts.WatchWait)
}

// storeAnswered processes an answer of the store about the head.
func (c *Control) storeAnswered(e store.Entry, err error, after uint64, watcher bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.cluster.StoreAnswered(now)
	if err != nil {
		c.stepTracker(now, config.StoreEmpty{})
		return
	}
	if e.Index != after {
		c.stepTracker(now, config.StoreHead{Data: e.Value, Watcher: watcher})
	}
	if h, err := config.ParseHead(e.Value); err == nil {
		c.startup.StoreConfirmed(h.Version, c.tracker.Version())
		c.checkReady(now)
	}
}

// confirmLoop asks the store for the head while the version is not confirmed.
// Watchers receive the head by their watch.
func (c *Control) confirmLoop() {
	var retry backoff
	pause := confirmDelay/2 + jitter(confirmDelay)
	for c.sleep(pause) {
		if c.IsReady() {
			return
		}
		pause = jitter(confirmDelay)
		if c.IsWatching() {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.StoreTimeout)
		e, err := c.opts.Store.Get(ctx, configstore.HeadKey)
		cancel()
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			pause = max(pause, retry.next())
			continue
		}
		retry.reset()
		c.storeAnswered(e, err, 0, false)
	}
}

// cleanLoop deletes unreferenced chunks on the VM that ranks first for this
// task.
func (c *Control) cleanLoop() {
	cleaner := configstore.NewCleaner(c.publisher)
	for c.sleep(jitter(c.opts.CleanInterval)) {
		if !c.RanksFirst("clean") {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, configstore.DefaultChangeTimeout)
		n, err := cleaner.Clean(ctx, time.Now())
		cancel()
		if n > 0 || err != nil {
			event.ConfigCleaned.Log(c.opts.Log, "deleted", n, "error", err)
		}
	}
}
