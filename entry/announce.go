package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/feed"
)

const (
	// renewFraction is the fraction of a lease's lifetime after which it is renewed. It
	// leaves time for a second renewal and for a retry before the lease expires.
	renewFraction = 0.4
	// startSpread is the window over which VMs that start together spread their first
	// read of the store. It is many times what the first VMs need to announce themselves.
	startSpread = 250 * time.Millisecond
	// minAnnounceBackoff is the delay after a failed call. It doubles with each further
	// failure up to maxAnnounceBackoff, because a store that rejects this VM counts
	// every call.
	minAnnounceBackoff = 400 * time.Millisecond
	maxAnnounceBackoff = 1600 * time.Millisecond
	// announceTimeout bounds one call: a few round trips between regions.
	announceTimeout = 700 * time.Millisecond
)

// announceLoop keeps this VM's record in the store up to date while the VM is ready.
func (n *Node) announceLoop() {
	record := leasedRecord{registry: n.platform.Registry, key: vmPrefix + n.self.ID}
	failures := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		rewrite := false
		select {
		case <-n.ctx.Done():
			return
		case <-n.announceSignal:
			rewrite = true
		case <-timer.C:
		}
		if n.leaving.Load() {
			n.withdraw(&record)
			return
		}
		if !n.ready.Load() && !n.announcesEarly.Load() {
			continue
		}
		before := record.lease
		err := n.announceOnce(&record, rewrite)
		delay := time.Duration(renewFraction * float64(n.leaseTTL()))
		switch {
		case err != nil:
			if failures == 0 {
				event.AnnounceFailed.Log(n.log, "lease", string(before.ID), "error", err)
			}
			failures++
			delay = retryBackoff(failures)
		case failures > 0 || record.lease != before:
			event.Announced.Log(n.log, "lease", string(record.lease.ID), "epoch", record.lease.Epoch)
			failures = 0
		}
		timer.Reset(delay)
	}
}

// leaseTTL is how long the other VMs keep the record of a VM that crashed. The platform
// allows the stable window plus 3 s; these 3 s remain for the removal to reach all VMs.
func (n *Node) leaseTTL() time.Duration {
	s := n.settings.Load()
	return max(s.StableWindow, s.MinLeaseTTL)
}

// retryBackoff returns the delay after a number of consecutive failed calls.
func retryBackoff(failures int) time.Duration {
	backoff := minAnnounceBackoff
	for n := 1; n < failures && backoff < maxAnnounceBackoff; n++ {
		backoff *= 2
	}
	return min(backoff, maxAnnounceBackoff)
}

// announceOnce renews this VM's record, or writes it.
func (n *Node) announceOnce(record *leasedRecord, rewrite bool) error {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	vm := n.self
	vm.Starting = !n.ready.Load()
	value, err := json.Marshal(&vm)
	if err != nil {
		return err
	}
	record.ttl = n.leaseTTL()
	sentAt := feed.Uptime()
	if err := record.maintain(ctx, n.epoch.Load(), value, rewrite); err != nil {
		return err
	}
	if !vm.Starting {
		n.sharers.recordRenewal(sentAt)
	}
	return nil
}

// withdraw removes this VM's record, so that lookups no longer return its address.
func (n *Node) withdraw(record *leasedRecord) {
	n.sharers.withdraw()
	if record.lease.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := record.remove(ctx); err != nil {
		event.AnnounceFailed.Log(n.log, "error", err)
	}
}

// onRestored is called when the store was restored from an older copy, in which this VM's
// records may be missing.
func (n *Node) onRestored() {
	delay := rand.N(rewriteSpread)
	n.rewriteAt.Store(time.Now().Add(delay).UnixNano())
	time.AfterFunc(delay, n.triggerAnnounce)
}

// announceEarly announces this VM before it is ready: it found no other VM, and the VMs
// that start after it can follow it instead of all reading the store.
func (n *Node) announceEarly() {
	n.announcesEarly.Store(true)
	n.triggerAnnounce()
}

func (n *Node) triggerAnnounce() {
	select {
	case n.announceSignal <- struct{}{}:
	default:
	}
}
