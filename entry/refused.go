package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/store"
)

// refusedPrefix begins the keys of the records that name requests which are refused
// since instances died of them. VMs that start later have not seen the deaths.
const refusedPrefix = "refused/"

const (
	// refusedTTL is how long a record stands, the longest lease that the platform
	// grants; deaths count for as long.
	refusedTTL = crashguard.DefaultExpiry
	// refusedSettle is how long after the last death a request is recorded: some
	// times the usual work of a request that may still succeed elsewhere.
	refusedSettle = 1500 * time.Millisecond
	// refusedSpread keeps VMs that saw deaths of the same request from all writing.
	refusedSpread = time.Second
	// refusedInterval is the pause between looks at what is to be written.
	refusedInterval = 500 * time.Millisecond
)

// recordRefused keeps the records of the requests that this VM knows to refuse.
func (n *Node) recordRefused() {
	written := make(map[crashguard.Fingerprint]store.LeaseID)
	failures := 0
	timer := time.NewTimer(refusedInterval)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-timer.C:
			settle := refusedSettle + rand.N(refusedSpread)
			due, cleared := n.selector.unrecorded(now, settle, written)
			pause := refusedInterval
			if err := n.writeRefused(due, cleared, written); err != nil {
				if failures++; failures == 1 {
					event.RefusedRecordFailed.Log(n.log, "error", err)
				}
				pause = retryPause(failures)
			} else {
				failures = 0
			}
			timer.Reset(pause)
		}
	}
}

// writeRefused writes the records that are due, and ends those of requests that
// succeeded since.
func (n *Node) writeRefused(due, cleared []crashguard.Fingerprint, written map[crashguard.Fingerprint]store.LeaseID) error {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	registry := n.platform.Registry
	for _, f := range cleared {
		if err := registry.RevokeLease(ctx, written[f]); err != nil && !errors.Is(err, store.ErrLeaseLost) {
			return errors.Wrap(err, "end of a record")
		}
		delete(written, f)
	}
	for _, f := range due {
		lease, err := registry.GrantLease(ctx, refusedPrefix+f.String(), refusedTTL)
		if err != nil {
			return errors.Wrap(err, "lease of a record")
		}
		if err := registry.Put(ctx, refusedPrefix+f.String(), []byte(n.self.ID), lease); err != nil {
			return errors.Wrap(err, "record")
		}
		written[f] = lease
	}
	return nil
}
