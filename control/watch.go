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

// Pauses of the loops below.
const (
	// minBackoff and maxBackoff bound the pause after a failed call to the
	// store. With 16 watchers and a pause of about 10 s, a store that returns
	// meets two calls a second.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
	// watchGrace is how long a watch may take beyond its waiting time.
	watchGrace = 2 * time.Second
	// roleCheck is how often a VM looks whether it watches the store.
	roleCheck = 250 * time.Millisecond
	// emptyPause is the pause while the store holds no configuration.
	emptyPause = time.Second
	// confirmAfter is how long a starting VM leaves the confirmation to its
	// peers before it asks the store, plus jitter of the same size.
	confirmAfter = 4 * time.Second
)

// backoff grows with each failure and is jittered.
type backoff struct{ pause time.Duration }

func (b *backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	return jitter(b.pause)
}

func (b *backoff) reset() { b.pause = 0 }

// watchLoop watches the store while this VM is a watcher.
func (c *Control) watchLoop() {
	var after uint64
	var wait backoff
	watching, failing := false, false
	// VMs that start together do not yet know each other, and each of them would
	// take itself for a watcher.
	if !c.sleep(jitter(time.Second)) {
		return
	}
	for {
		if role := c.Watching(); role != watching {
			watching = role
			ev := event.ConfigWatchEnded
			if role {
				ev = event.ConfigWatching
			}
			ev.Log(c.opts.Log)
		}
		if !watching {
			// The index is kept: a VM whose role comes and goes while the others
			// become known watches on from there and reads nothing again.
			if !c.sleep(jitter(roleCheck)) {
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
			wait.reset()
			c.storeAnswered(e, err, after, true)
			after = e.Index
			if err != nil && !c.sleep(jitter(emptyPause)) {
				return
			}
		default:
			if !failing {
				event.ConfigStoreFailing.Log(c.opts.Log, "error", err)
			}
			failing = true
			// Watches may be stuck while plain reads are answered.
			after = 0
			if !c.sleep(wait.next()) {
				return
			}
		}
	}
}

// watch waits for a newer head, or reads the head when after is zero. The
// deadline ends a watch that is stuck early enough for a plain read to put a
// change in force in time.
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

// storeAnswered takes what the store said about the head.
func (c *Control) storeAnswered(e store.Entry, err error, after uint64, watcher bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.cluster.StoreAnswered(now)
	if err != nil {
		c.follow(now, config.StoreEmpty{})
		return
	}
	if e.Index != after {
		c.follow(now, config.StoreHead{Data: e.Value, Watcher: watcher})
	}
	if h, err := config.ParseHead(e.Value); err == nil {
		c.startup.StoreConfirmed(h.Version, c.tracker.Version())
		c.checkReady(now)
	}
}

// confirmLoop asks the store for the head while the version is not confirmed.
// Watchers hear from the store anyway.
func (c *Control) confirmLoop() {
	var wait backoff
	pause := confirmAfter/2 + jitter(confirmAfter)
	for c.sleep(pause) {
		if c.Ready() {
			return
		}
		pause = jitter(confirmAfter)
		if c.Watching() {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.StoreTimeout)
		e, err := c.opts.Store.Get(ctx, configstore.HeadKey)
		cancel()
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			pause = max(pause, wait.next())
			continue
		}
		wait.reset()
		c.storeAnswered(e, err, 0, false)
	}
}

// cleanLoop deletes unreferenced chunks on the VM that comes first for it.
func (c *Control) cleanLoop() {
	cleaner := configstore.NewCleaner(c.publisher)
	for c.sleep(jitter(c.opts.CleanInterval)) {
		if !c.First("clean") {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, configstore.DefaultChangeLimit)
		n, err := cleaner.Clean(ctx, time.Now())
		cancel()
		if n > 0 || err != nil {
			event.ConfigCleaned.Log(c.opts.Log, "deleted", n, "error", err)
		}
	}
}
