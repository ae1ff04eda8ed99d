package transit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// policy is how the callers of isolated VMs are served.
type policy int

const (
	// passOnByLoad passes requests on as Peers chooses.
	passOnByLoad policy = iota
	// passOnAtRandom passes them on to any other VM, whether it is isolated or not.
	passOnAtRandom
	// leaveLookups only leaves the answers of lookups, which callers keep for up to three
	// times their lifetime.
	leaveLookups
)

// cutResult is what a policy makes of a cut.
type cutResult struct {
	// servedCut and servedOthers are the shares of first tries served at isolated VMs and at
	// the others, hops the additional hops of a request at an isolated VM, and busiest the
	// load of the busiest VM over that of the mean VM without a cut.
	servedCut, servedOthers, hops, busiest float64
}

const (
	lookupTTL = 2 * time.Second
	// benchTime is the time after the cut was noticed in which requests are counted.
	benchTime = 8 * time.Second
)

// simulateCut cuts a share of the VMs off, or the first data centre of six. Each VM gets
// rate requests a second and can forward three times as many; what exceeds that is refused.
func simulateCut(seed uint64, numVMs int, share float64, p policy) cutResult {
	const rate, capacity = 20.0, 60.0
	rng := rand.New(rand.NewPCG(seed, 5))
	isCut := make([]bool, numVMs)
	if share < 0 {
		for k := range isCut {
			isCut[k] = k%6 == 0
		}
	} else {
		for _, k := range rng.Perm(numVMs)[:int(math.Ceil(share*float64(numVMs)))] {
			isCut[k] = true
		}
	}
	regionOf := func(k int) string { return fmt.Sprint("r", k%3) }
	peersOf := func(k int) *Peers {
		out := NewPeers(regionOf(k), rng.Float64)
		var list []Peer
		for other := range numVMs {
			if other != k {
				list = append(list, Peer{ID: fmt.Sprint(other), Region: regionOf(other), Weight: 1})
			}
		}
		out.Set(list)
		return out
	}
	peers := make(map[int]*Peers)
	var served, asked [2]float64
	hops, load := 0.0, make([]float64, numVMs)
	used := make([]float64, numVMs)
	const step = 100 * time.Millisecond
	for now := time.Duration(0); now < benchTime; now += step {
		clear(used)
		for k := range numVMs {
			if now%(500*time.Millisecond) == 0 && p == passOnByLoad && isCut[k] {
				if peers[k] == nil {
					peers[k] = peersOf(k)
				}
				for other := range numVMs {
					if regionOf(other) == regionOf(k) && other != k {
						peers[k].RecordState(at(now), fmt.Sprint(other), isCut[other])
					}
				}
			}
			for range int(rate * step.Seconds()) {
				vm := k
				// Callers spread over all VMs once their answer no longer names a cut VM.
				kept := lookupTTL * time.Duration(1+2*rng.IntN(2))
				if p == leaveLookups && isCut[k] && time.Duration(rng.Float64()*float64(kept)) < now {
					for isCut[vm] {
						vm = rng.IntN(numVMs)
					}
				}
				class := 1
				if isCut[k] {
					class = 0
				}
				asked[class]++
				target := vm
				isFull := func() bool { return used[target] >= capacity*step.Seconds() }
				for try := 0; (isCut[target] || (try > 0 && isFull())) && try < 3 && p != leaveLookups; try++ {
					hops++
					if p == passOnAtRandom {
						target = rng.IntN(numVMs)
						break
					}
					v, ok := peers[vm].Choose(at(now), nil, nil)
					if !ok {
						break
					}
					peers[vm].Done(v.ID)
					_, _ = fmt.Sscan(v.ID, &target)
					if isCut[target] || isFull() {
						peers[vm].Avoid(at(now), v.ID)
					}
				}
				if isCut[target] || isFull() {
					continue
				}
				used[target]++
				load[target]++
				served[class]++
			}
		}
	}
	busiest := 0.0
	for _, l := range load {
		busiest = max(busiest, l/(rate*benchTime.Seconds()))
	}
	return cutResult{served[0] / max(asked[0], 1), served[1] / max(asked[1], 1), hops / max(asked[0], 1), busiest}
}

// BenchmarkCutVMs reports how the callers of VMs that are cut off from all instances are
// served, beside leaving the lookups only and passing requests on to any VM. A share of -1
// is a whole data centre.
func BenchmarkCutVMs(b *testing.B) {
	for name, p := range map[string]policy{"pass-on": passOnByLoad, "random-vm": passOnAtRandom, "leave-lookups": leaveLookups} {
		for _, vms := range []int{12, 84, 300} {
			for _, share := range []float64{0.1, 0.3, 0.6, 0.9, -1} {
				b.Run(fmt.Sprintf("%s/vms-%d/share-%g", name, vms, share), func(b *testing.B) {
					var r cutResult
					for range b.N {
						r = simulateCut(1, vms, share, p)
					}
					b.ReportMetric(r.servedCut, "served-at-cut")
					b.ReportMetric(r.servedOthers, "served-at-others")
					b.ReportMetric(r.hops, "hops")
					b.ReportMetric(r.busiest, "busiest/mean")
				})
			}
		}
	}
}

// While at most 0.6 of the VMs are cut off, and the others can carry their requests, the
// callers of those must be served nearly as well as the others.
func TestCutVMsServeNearlyAsWell(t *testing.T) {
	const least = 0.95
	for _, vms := range []int{3, 12, 84, 740} {
		for _, share := range []float64{0.1, 0.3, 0.6, -1} {
			if r := simulateCut(7, vms, share, passOnByLoad); r.servedCut < least*r.servedOthers {
				t.Errorf("%d VMs, share %g: %.3f served at VMs that are cut off, %.3f at the others", vms, share, r.servedCut, r.servedOthers)
			}
		}
	}
}
