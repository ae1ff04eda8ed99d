package oncerpc

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/store"
)

// read reads a partition record and passes it to the machine, which requests at
// most one read per partition at a time.
func (r *Runner) read(n int) {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	key := once.RecordKey(n)
	e, err := r.opt.Store.Get(ctx, key)
	r.metrics.storeCall("get", err)
	var rec once.Record
	found, ok := err == nil, err == nil || errors.Is(err, store.ErrNotFound)
	switch {
	case !ok:
		event.OnceStoreFailed.Log(r.opt.Logger, "key", key, "error", err)
	case found:
		if rec, err = once.ParseRecord(e.Value); err != nil || rec.Partition != n {
			event.OnceRecordMalformed.Log(r.opt.Logger, "key", key, "error", err)
			found, ok = false, false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.m.StoreRead(time.Now(), n, rec, e.Index, found, ok))
}

// swap writes a partition record by compare-and-swap and reports the outcome to the
// machine, which reads the record back if the outcome is unknown.
func (r *Runner) swap(s once.Swap) {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	key := once.RecordKey(s.Record.Partition)
	err := r.opt.Store.CompareAndSwap(ctx, store.Write{Key: key, Value: s.Record.Marshal(), Index: s.Index})
	r.metrics.storeCall("swap", err)
	res := once.SwapUnknown
	switch {
	case err == nil:
		res = once.SwapDone
	case errors.Is(err, store.ErrConflict):
		res = once.SwapConflict
	default:
		event.OnceStoreFailed.Log(r.opt.Logger, "key", key, "error", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.m.StoreSwapped(time.Now(), s.Record, res))
}
