package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
)

// refusedPrefix is the key prefix of the records of requests that are refused because
// they crashed instances. The records inform VMs that started after the crashes.
const refusedPrefix = "refused/"

const (
	// refusalTTL is the lifetime of a record: the longest lease that the platform grants,
	// and as long as crashes are counted.
	refusalTTL = crashguard.DefaultReportTTL
	// refusalRecordDelay is the time from the last crash until a request is recorded by a VM
	// that has not observed that crash itself. The one that has records it at once.
	refusalRecordDelay = 1500 * time.Millisecond
	// refusalRecordJitter keeps the VMs that saw crashes of the same request from all
	// writing its record.
	refusalRecordJitter = time.Second
	// refusalRecordInterval is the delay between checks for records to write, beside those
	// after a crash.
	refusalRecordInterval = 500 * time.Millisecond
)

// recordRefusals keeps the records of the requests that this VM refuses up to date.
func (n *Node) recordRefusals() {
	written := make(map[crashguard.Fingerprint]*leasedRecord)
	failures := 0
	timer := time.NewTimer(refusalRecordInterval)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.selector.refused:
			timer.Reset(0)
		case now := <-timer.C:
			delay := refusalRecordDelay + rand.N(refusalRecordJitter)
			due, cleared := n.selector.pendingRefusals(now, delay, written)
			if now.UnixNano() >= n.rewriteAt.Load() {
				for f, record := range written {
					if record.isOutdated(n.epoch.Load()) && !slices.Contains(cleared, f) {
						due = append(due, f)
					}
				}
			}
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

// writeRefusals writes the records that are due, and removes those of requests that
// have succeeded since.
func (n *Node) writeRefusals(due, cleared []crashguard.Fingerprint, written map[crashguard.Fingerprint]*leasedRecord) error {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	for _, f := range cleared {
		if err := written[f].remove(ctx); err != nil {
			return errors.Wrap(err, "remove refusal record")
		}
		delete(written, f)
	}
	for _, f := range due {
		record := written[f]
		if record == nil {
			record = &leasedRecord{registry: n.platform.Registry, key: refusedPrefix + f.String(), ttl: refusalTTL}
		}
		if err := record.maintain(ctx, n.epoch.Load(), []byte(n.self.ID), true); err != nil {
			return errors.Wrap(err, "write refusal record")
		}
		written[f] = record
	}
	return nil
}
