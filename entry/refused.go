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

// refusedPrefix is the key prefix of the records of requests that are refused because
// they crashed instances. The records inform VMs that started after the crashes.
const refusedPrefix = "refused/"

const (
	// refusalTTL is the lifetime of a record: the longest lease that the platform grants,
	// and as long as crashes are counted.
	refusalTTL = crashguard.DefaultReportTTL
	// refusalRecordDelay is the time from the last crash until a request is recorded. It is
	// a few times the usual processing time of a request, which may still succeed on
	// another instance.
	refusalRecordDelay = 1500 * time.Millisecond
	// refusalRecordJitter keeps the VMs that saw crashes of the same request from all
	// writing its record.
	refusalRecordJitter = time.Second
	// refusalRecordInterval is the delay between checks for records to write.
	refusalRecordInterval = 500 * time.Millisecond
)

// recordRefusals keeps the records of the requests that this VM refuses up to date.
func (n *Node) recordRefusals() {
	written := make(map[crashguard.Fingerprint]store.LeaseID)
	failures := 0
	timer := time.NewTimer(refusalRecordInterval)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-timer.C:
			delay := refusalRecordDelay + rand.N(refusalRecordJitter)
			due, cleared := n.selector.pendingRefusals(now, delay, written)
			wait := refusalRecordInterval
			if err := n.writeRefusals(due, cleared, written); err != nil {
				if failures++; failures == 1 {
					event.RefusedRecordFailed.Log(n.log, "error", err)
				}
				wait = retryBackoff(failures)
			} else {
				failures = 0
			}
			timer.Reset(wait)
		}
	}
}

// writeRefusals writes the records that are due, and revokes those of requests that
// have succeeded since.
func (n *Node) writeRefusals(due, cleared []crashguard.Fingerprint, written map[crashguard.Fingerprint]store.LeaseID) error {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	registry := n.platform.Registry
	for _, f := range cleared {
		if err := registry.RevokeLease(ctx, written[f]); err != nil && !errors.Is(err, store.ErrLeaseLost) {
			return errors.Wrap(err, "revoke lease of refusal record")
		}
		delete(written, f)
	}
	for _, f := range due {
		lease, err := registry.GrantLease(ctx, refusedPrefix+f.String(), refusalTTL)
		if err != nil {
			return errors.Wrap(err, "grant lease of refusal record")
		}
		if err := registry.Put(ctx, refusedPrefix+f.String(), []byte(n.self.ID), lease); err != nil {
			return errors.Wrap(err, "write refusal record")
		}
		written[f] = lease
	}
	return nil
}
