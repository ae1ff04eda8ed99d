package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// largeFleet returns 1,176 instances in three regions.
func largeFleet() []Instance {
	out := make([]Instance, 0, 1176)
	for n := range cap(out) {
		out = append(out, Instance{
			ID: fmt.Sprintf("i-%04d", n), Service: "proofs", Region: []string{"randstad", "noord", "zuid"}[n%3],
			Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200), Slots: 9,
		})
	}
	return out
}

// Updates of single instances must lead to the same state as setting the whole list: no
// removed instance remains, no moved instance is in two places, and the order is the
// same as at other VMs.
func TestChangesLeaveTheStateOfAWholeList(t *testing.T) {
	rng := rand.New(rand.NewPCG(seedOf(t), 3))
	now := time.Unix(1000, 0)
	p := New(Config{VM: "vm-1", Region: "randstad"})
	current := make(map[string]Instance)
	regions, services := []string{"randstad", "noord", "zuid"}, []string{"proofs", "intake"}
	for round := range 2000 {
		var list []Instance
		var gone []string
		for range 1 + rng.IntN(4) {
			id := fmt.Sprint("i-", rng.IntN(40))
			if _, known := current[id]; known && rng.IntN(3) == 0 {
				delete(current, id)
				gone = append(gone, id)
				list = slices.DeleteFunc(list, func(i Instance) bool { return i.ID == id })
				continue
			}
			i := Instance{ID: id, Service: services[rng.IntN(2)], Region: regions[rng.IntN(3)], Address: fmt.Sprint("10.0.0.1:", rng.IntN(9)), StartMillis: int64(rng.IntN(3)), Slots: 9}
			gone = slices.DeleteFunc(gone, func(g string) bool { return g == id })
			current[id], list = i, append(list, i)
		}
		p.Update(now, list, gone)
		fresh := New(Config{VM: "vm-1", Region: "randstad"})
		all := make([]Instance, 0, len(current))
		for _, i := range current {
			all = append(all, i)
		}
		fresh.SetInstances(now, all)
		for _, name := range services {
			got, want := p.service(name), fresh.service(name)
			if len(got.instances) != len(want.instances) || len(got.regions) != len(want.regions) || len(got.byKey) != len(want.byKey) || got.spill != want.spill {
				t.Fatalf("round %d, %s: %d instances in %d regions, want %d in %d", round, name, len(got.instances), len(got.regions), len(want.instances), len(want.regions))
			}
			for region, group := range want.regions {
				if !slices.EqualFunc(got.regions[region], group, func(a, b *instance) bool { return a.Instance == b.Instance }) {
					t.Fatalf("round %d, %s in %s: order differs", round, name, region)
				}
			}
		}
	}
}

// An update of one instance must not cost as much as an update of all: releases and
// scaling change a few instances at a time, several times a second, on each VM.
func TestChangeOfOneInstanceTouchesNoOther(t *testing.T) {
	p := New(Config{VM: "vm-1", Region: "randstad"})
	now := time.Unix(1000, 0)
	all := largeFleet()
	p.SetInstances(now, all)
	p.RecordArrival("proofs")
	changed := []Instance{all[500]}
	changed[0].Slots = 8
	if n := testing.AllocsPerRun(100, func() { p.Update(now, changed, nil) }); n > 4 {
		t.Errorf("%v allocations for a change of one instance", n)
	}
}

// BenchmarkChange removes one instance of 1,176 and adds it again.
func BenchmarkChange(b *testing.B) {
	p := New(Config{VM: "vm-1", Region: "randstad"})
	now := time.Unix(1000, 0)
	all := largeFleet()
	p.SetInstances(now, all)
	p.RecordArrival("proofs")
	for n := range b.N {
		i := all[n%len(all)]
		p.Update(now, nil, []string{i.ID})
		p.Update(now, []Instance{i}, nil)
	}
}

// BenchmarkWholeList is the cost of a change if the whole list is set again.
func BenchmarkWholeList(b *testing.B) {
	p := New(Config{VM: "vm-1", Region: "randstad"})
	now := time.Unix(1000, 0)
	all := largeFleet()
	p.RecordArrival("proofs")
	for range b.N {
		p.SetInstances(now, all)
	}
}

// BenchmarkTick is the cost of Tick with 1,176 instances.
func BenchmarkTick(b *testing.B) {
	p := New(Config{VM: "vm-1", Region: "randstad"})
	now := time.Unix(1000, 0)
	p.SetInstances(now, largeFleet())
	p.RecordArrival("proofs")
	for n := range b.N {
		p.Tick(now.Add(time.Duration(n) * tickInterval))
	}
}
