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
	// renewShare is the part of a lease after which it is renewed, which leaves
	// another regular try and one after a failure before it lapses.
	renewShare = 0.4
	// startSpread is over what time VMs that start together read the store: many
	// times what the first ones need to announce themselves.
	startSpread = 250 * time.Millisecond
	// announceRetry is the pause after a failed call, doubled after each further
	// one up to announceRetryMost: a store that turns this VM away counts each call.
	announceRetry     = 400 * time.Millisecond
	announceRetryMost = 1600 * time.Millisecond
	// announceTimeout bounds a call: some round trips between regions.
	announceTimeout = 700 * time.Millisecond
)

// announceLoop keeps this VM's record in the store while the VM is ready.
func (n *Node) announceLoop() {
	var lease store.LeaseID
	failures := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		again := false
		select {
		case <-n.ctx.Done():
			return
		case <-n.announce:
			again = true
		case <-timer.C:
		}
		if n.leaving.Load() {
			n.withdraw(lease)
			return
		}
		if !n.ready.Load() && !n.early.Load() {
			continue
		}
		next, err := n.announceOnce(lease, again)
		pause := time.Duration(renewShare * float64(n.leaseTTL()))
		switch {
		case err != nil:
			if failures == 0 {
				event.AnnounceFailed.Log(n.log, "lease", string(lease), "error", err)
			}
			failures++
			pause = retryPause(failures)
		case failures > 0 || next != lease:
			event.Announced.Log(n.log, "lease", string(next))
			failures = 0
		}
		lease = next
		timer.Reset(pause)
	}
}

// leaseTTL is how long the others know a VM that died without a word: the platform
// allows the stable window and 3 s, of which the latter are left for the way of its
// removal to all VMs.
func (n *Node) leaseTTL() time.Duration { return max(n.settings.StableWindow, n.settings.LeaseMinimum) }

// retryPause is the pause after a number of failed calls in a row.
func retryPause(failures int) time.Duration {
	pause := announceRetry
	for n := 1; n < failures && pause < announceRetryMost; n++ {
		pause *= 2
	}
	return min(pause, announceRetryMost)
}

// announceOnce renews the lease, or takes a new one and writes the record. Again
// says that the record has gone although the lease may stand.
func (n *Node) announceOnce(lease store.LeaseID, again bool) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	registry := n.platform.Registry
	if lease != "" && !again {
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
		// Whether the record stands is not known; the next round writes again.
		return "", err
	}
	return lease, nil
}

// withdraw removes this VM's record, so that lookups stop to name it.
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

// relayEarly announces this VM before it serves: it found no other VM, and those that
// start after it need not all read the store.
func (n *Node) relayEarly() {
	n.early.Store(true)
	n.wakeAnnounce()
}

func (n *Node) wakeAnnounce() {
	select {
	case n.announce <- struct{}{}:
	default:
	}
}
