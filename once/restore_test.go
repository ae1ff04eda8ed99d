package once

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// runRestoredHistory runs a randomised history in which the store is restored from copies
// of up to 12 s of age, beside the other faults.
func runRestoredHistory(t testing.TB, seed uint64) *fleet {
	f := newFleet(t, seed, Config{Partitions: 4, PieceClaims: 8})
	f.every(copyInterval, f.copyStore)
	f.run(5 * time.Second)
	f.net = netFaults{lossProb: 0.02, dupProb: 0.03, delayProb: 0.02}
	f.store.replyLossProb = 0.1
	f.claimSteadily()
	f.every(1500*time.Millisecond, func() { f.injectFault() })
	f.every(8*time.Second, func() { f.restoreStore(time.Duration(f.rnd.IntN(12000)) * time.Millisecond) })
	f.run(45 * time.Second)
	return f
}

// A store that comes back from an older copy must not let two owners of a partition grant
// the same claim.
func TestRestoredStoreRunsNothingTwice(t *testing.T) {
	first, rounds := envUint(t, "CURRANTFERRY_SEED", 1), envUint(t, "CURRANTFERRY_ROUNDS", 40)
	got := violations(t)
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+rounds; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				f := runRestoredHistory(t, seed)
				bad := f.verify()
				for _, v := range got() {
					bad = append(bad, v.String())
				}
				if len(bad) > 0 {
					t.Errorf("seed %d: %q\nCURRANTFERRY_SEED=%d CURRANTFERRY_ROUNDS=1 go test ./once -run TestRestoredStoreRunsNothingTwice", seed, bad, seed)
				}
			})
		}
	})
}

// After the store has come back from an older copy, members that fail must be replaced as
// before: the record in force is written again.
func TestViewsChangeAfterARestore(t *testing.T) {
	for _, newer := range []int{1, 3} {
		t.Run(fmt.Sprint(newer, " newer"), func(t *testing.T) {
			f := newFleet(t, 1, Config{Partitions: 1})
			f.run(3 * time.Second)
			f.copyStore()
			for range newer {
				owner := f.byID[f.store.entries[0].Owner.VM]
				owner.kill()
				f.run(12 * time.Second)
				owner.start()
				f.run(time.Second)
			}
			before := f.store.entries[0].Epoch
			f.restoreStore(0)
			if got := f.store.entries[0].Epoch; got+uint64(newer) > before {
				t.Fatalf("epoch %d before the restore, %d after it", before, got)
			}
			var inForce Record
			for _, n := range f.nodes {
				if records := n.m.Records(); n.up && len(records) > 0 && records[0].Epoch > inForce.Epoch {
					inForce = records[0]
				}
			}
			f.byID[inForce.Owner.VM].kill()
			f.run(15 * time.Second)
			if got := f.store.entries[0]; got.Epoch <= inForce.Epoch {
				t.Errorf("epoch %d in the store 15 s after the owner of epoch %d failed", got.Epoch, inForce.Epoch)
			}
		})
	}
}
