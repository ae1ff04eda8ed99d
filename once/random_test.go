package once

import (
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
)

func envUint(t testing.TB, name string, def uint64) uint64 {
	s := os.Getenv(name)
	if s == "" {
		return def
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return v
}

// violations collects invariant violations until the test ends.
func violations(t testing.TB) func() []invariant.Violation {
	var mu sync.Mutex
	var got []invariant.Violation
	restore := invariant.OnViolation(func(v invariant.Violation) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, v)
	})
	t.Cleanup(restore)
	return func() []invariant.Violation {
		mu.Lock()
		defer mu.Unlock()
		return got
	}
}

// runRandomHistory runs one randomised history of 50 s of virtual time.
func runRandomHistory(t testing.TB, seed uint64, cfg Config) *fleet {
	cfg.Partitions = 4
	cfg.PieceClaims = 8
	switch seed % 5 {
	case 0:
		cfg.MaxClaims = 150 // the history has about 400 keys per partition
	case 1:
		// Longer than any pause, after which delayed claims of old keys arrive.
		cfg.Retention = 30 * time.Second
	}
	f := newFleet(t, seed, cfg)
	f.run(5 * time.Second)
	f.net = netFaults{lossProb: 0.02, dupProb: 0.03, delayProb: 0.02}
	f.store.replyLossProb = 0.1
	f.abandonProb = 0.1
	f.claimSteadily()
	f.every(1500*time.Millisecond, func() { f.injectFault() })
	f.run(45 * time.Second)
	return f
}

// claimSteadily starts a claim every 15 ms, half of them resends of recent keys.
func (f *fleet) claimSteadily() {
	keys := make([]Key, 0, 400)
	f.every(15*time.Millisecond, func() {
		var k Key
		if len(keys) > 0 && f.rnd.IntN(2) == 0 {
			k = keys[max(0, len(keys)-1-f.rnd.IntN(20))]
		} else {
			k = KeyOf("s", strconv.Itoa(len(keys)))
			keys = append(keys, k)
		}
		n := f.nodes[f.rnd.IntN(len(f.nodes))]
		n.do(func() { f.startClaim(n, k, f.runRequest) })
	})
}

// injectFault injects one random fault, which ends after a while.
func (f *fleet) injectFault() {
	n := f.nodes[f.rnd.IntN(len(f.nodes))]
	secs := func(maxSecs int) time.Duration { return time.Duration(f.rnd.IntN(maxSecs*1000)) * time.Millisecond }
	restart := func(n *node) {
		n.kill()
		f.after(100*time.Millisecond+secs(8), func() {
			if !n.up {
				n.start()
			}
		})
	}
	if r, ok := f.store.entries[f.rnd.IntN(4)]; ok && f.rnd.IntN(2) == 0 {
		mb := r.Members()
		n = f.byID[mb[f.rnd.IntN(len(mb))].VM]
	}
	switch f.rnd.IntN(9) {
	case 0, 1:
		restart(n)
	case 2, 3:
		n.pause(secs(12))
	case 4:
		a, b := f.rnd.IntN(3), f.rnd.IntN(3)
		ra, rb := f.nodes[4*a].vm.Region, f.nodes[4*b].vm.Region
		f.net.cut = func(x, y *node) bool {
			return x.vm.Region != y.vm.Region && (x.vm.Region == ra || y.vm.Region == ra) &&
				(a == b || x.vm.Region == rb || y.vm.Region == rb)
		}
		f.after(secs(8), func() { f.net.cut = nil })
	case 5:
		f.store.down = func(*node) bool { return true }
		f.after(secs(8), func() { f.store.down = nil })
	case 6:
		// Only some VMs can reach the store.
		f.store.down = func(x *node) bool { return rankHash(0, x.vm.VM)%2 == 0 }
		f.after(secs(5), func() { f.store.down = nil })
	case 7:
		if f.rnd.IntN(8) == 0 {
			r := f.store.entries[f.rnd.IntN(4)]
			for _, mb := range r.Members() {
				restart(f.byID[mb.VM])
			}
		}
	case 8:
		if !n.up || n.leaving {
			return
		}
		n.leaving = true
		n.do(func() { n.apply(n.m.Leave(f.now)) })
		f.after(4*time.Second, func() { restart(n) })
	}
}

// No interleaving of faults may run a key twice. The faults are lost, delayed and
// duplicated messages, crashes, restarts, long pauses, network partitions, store
// outages, lost store replies and concurrent proposers.
func TestRandomHistories(t *testing.T) {
	first, rounds := envUint(t, "CURRANTFERRY_SEED", 1), envUint(t, "CURRANTFERRY_ROUNDS", 20)
	got := violations(t)
	check := func(t *testing.T, seed uint64) {
		f := runRandomHistory(t, seed, Config{})
		bad := f.verify()
		for _, v := range got() {
			bad = append(bad, v.String())
		}
		if len(bad) > 0 {
			t.Errorf("seed %d: %q\nCURRANTFERRY_SEED=%d CURRANTFERRY_ROUNDS=1 go test ./once -run TestRandomHistories",
				seed, bad, seed)
		}
		// A run in which less than half of the claims find an owner proves little.
		// Claims during store outages, when members cannot be replaced, are not
		// counted.
		answers := 0
		for _, n := range f.hist.outcomes {
			answers += n
		}
		if noOwner := f.hist.unavailable; f.hist.outcomes[outGranted] == 0 || 2*noOwner > answers {
			t.Errorf("seed %d: %d of %d claims found no owner: %v", seed, noOwner, answers, f.hist.reasons)
		}
		epochs := uint64(0)
		for _, r := range f.store.entries {
			epochs += r.Epoch
		}
		t.Logf("seed %d: %d grants, refusals %v, epochs %d, store reads %d writes %d",
			seed, f.hist.outcomes[outGranted], f.hist.reasons, epochs, f.store.reads, f.store.writes)
	}
	// Seeds that run at the same time all report a violation of any one of them.
	// Only the command of the seed that caused it reproduces it.
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+rounds; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				check(t, seed)
			})
		}
	})
}
