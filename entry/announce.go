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
	// leaseTTL is how long the others know a VM that died without a word.
	leaseTTL = 3 * time.Second
	// renewInterval leaves two more tries before the lease lapses.
	renewInterval = 900 * time.Millisecond
	// announceRetry is the pause after a failed call.
	announceRetry = 400 * time.Millisecond
	// announceTimeout bounds a call: some round trips between regions.
	announceTimeout = 700 * time.Millisecond
)

// announceLoop keeps this VM's record in the store while the VM is ready.
func (n *Node) announceLoop() {
	var lease store.LeaseID
	failing := false
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
		if !n.ready.Load() {
			continue
		}
		next, err := n.announceOnce(lease, again)
		pause := renewInterval
		if err != nil {
			pause = announceRetry
			if !failing {
				event.AnnounceFailed.Log(n.log, "lease", string(lease), "error", err)
			}
		} else if failing || next != lease {
			event.Announced.Log(n.log, "lease", string(next))
		}
		failing, lease = err != nil, next
		timer.Reset(pause)
	}
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
		if lease, err = registry.GrantLease(ctx, n.self.ID, max(leaseTTL, n.settings.LeaseMinimum)); err != nil {
			return "", err
		}
	}
	value, err := json.Marshal(&n.self)
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

func (n *Node) wakeAnnounce() {
	select {
	case n.announce <- struct{}{}:
	default:
	}
}
