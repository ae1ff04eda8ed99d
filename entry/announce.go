package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/store"
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
	var lease store.LeaseID
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
			n.withdraw(lease)
			return
		}
		if !n.ready.Load() && !n.announcesEarly.Load() {
			continue
		}
		next, err := n.announceOnce(lease, rewrite)
		delay := time.Duration(renewFraction * float64(n.leaseTTL()))
		switch {
		case err != nil:
			if failures == 0 {
				event.AnnounceFailed.Log(n.log, "lease", string(lease), "error", err)
			}
			failures++
			delay = retryBackoff(failures)
		case failures > 0 || next != lease:
			event.Announced.Log(n.log, "lease", string(next))
			failures = 0
		}
		lease = next
		timer.Reset(delay)
	}
}

// leaseTTL is how long the other VMs keep the record of a VM that crashed. The platform
// allows the stable window plus 3 s; these 3 s remain for the removal to reach all VMs.
func (n *Node) leaseTTL() time.Duration { return max(n.settings.StableWindow, n.settings.MinLeaseTTL) }

// retryBackoff returns the delay after a number of consecutive failed calls.
func retryBackoff(failures int) time.Duration {
	backoff := minAnnounceBackoff
	for n := 1; n < failures && backoff < maxAnnounceBackoff; n++ {
		backoff *= 2
	}
	return min(backoff, maxAnnounceBackoff)
}

// announceOnce renews the lease, or takes a new one and writes the record. If rewrite is
// set, it writes the record also under a lease that may still be valid, since the record
// was removed or is outdated.
func (n *Node) announceOnce(lease store.LeaseID, rewrite bool) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	registry := n.platform.Registry
	if lease != "" && !rewrite {
		err := registry.RenewLease(ctx, lease)
		if !errors.Is(err, store.ErrLeaseLost) {
			return lease, err
		}
		lease = ""
	}
	if lease == "" {
		var err error
		if lease, err = registry.GrantLease(ctx, n.self.ID, n.leaseTTL()); err != nil {
			return "", err
		}
	}
	record := n.self
	record.Starting = !n.ready.Load()
	value, err := json.Marshal(&record)
	if err != nil {
		return lease, err
	}
	err = registry.Put(ctx, vmPrefix+n.self.ID, value, lease)
	if err != nil {
		// The record may or may not have been written; the next attempt writes it again.
		return "", err
	}
	return lease, nil
}

// withdraw removes this VM's record, so that lookups no longer return its address.
func (n *Node) withdraw(lease store.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := n.platform.Registry.RevokeLease(ctx, lease); err != nil {
		event.AnnounceFailed.Log(n.log, "lease", string(lease), "error", err)
	}
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
