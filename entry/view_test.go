package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantferry/currantferry/inventory"
)

func vmsOf(region string, count int) []inventory.VM {
	var out []inventory.VM
	for k := range count {
		id := fmt.Sprintf("%s-%d", region, k)
		out = append(out, inventory.VM{ID: id, Region: region, Relay: id + ":1"})
	}
	return out
}

// Guards against a VM that knows nobody to follow when the store loses the records
// of all VMs while it does not answer this one: routes would stay old there.
func TestVMFollowsThoseItKnewBefore(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	before := newView(nil, now, append(vmsOf("a", 3), vmsOf("b", 2)...), "a")
	self := before.ranked[1].ID
	known, direct := before.relays(self)
	if direct || len(known) != 2 {
		t.Fatalf("%v, direct %v", known, direct)
	}
	now = now.Add(time.Second)
	none := newView(before, now, nil, "a")
	got, direct := none.relays(self)
	slices.Sort(got)
	slices.Sort(known)
	if !direct || !slices.Equal(got, known) {
		t.Fatalf("without records %v, direct %v; known before %v", got, direct, known)
	}
	other := slices.DeleteFunc(vmsOf("a", 3), func(vm inventory.VM) bool { return vm.Relay != known[1] })
	one := newView(none, now.Add(time.Second), other, "a")
	if got, _ := one.relays(self); len(got) == 0 || got[0] != known[1] {
		t.Fatalf("%v: a VM with a record comes first", got)
	}
	if late := newView(one, now.Add(2*formerFor), other, "a"); len(late.former) != 0 {
		t.Fatalf("%v are still asked", late.former)
	}
}

// Guards against a fleet whose VMs all read the store when they start together: the
// first one is followed also from other regions, until these have VMs of their own.
func TestStartingVMsFollowTheFirstOne(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	first := vmsOf("a", 1)
	first[0].Starting = true
	v := newView(nil, now, first, "b")
	if got, direct := v.relays("b-0"); direct || !slices.Equal(got, []string{first[0].Relay}) {
		t.Errorf("%v, direct %v", got, direct)
	}
	if got := v.named(Place{"b", "dc"}, "b-0", nil); len(got) != 0 {
		t.Errorf("%v is named to callers before it serves", got)
	}
	v = newView(v, now, append(first, vmsOf("b", 2)...), "b")
	if got, _ := v.relays("b-0"); !slices.Equal(got, []string{"b-1:1"}) {
		t.Errorf("%v, want the other VM of the region", got)
	}
}

// Guards against leases that lapse although their VM lives, and against calls that
// grow faster than the bounds ask for.
func TestLeaseOutlastsALostRenewal(t *testing.T) {
	t.Parallel()
	for _, window := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
		n := &Node{settings: &Settings{StableWindow: window, LeaseMinimum: time.Second}}
		ttl := n.leaseTTL()
		pause := time.Duration(renewShare * float64(ttl))
		// The first renewal is lost at its time limit, the next one takes as long.
		if late := pause + announceTimeout + announceRetry + announceTimeout; late > ttl {
			t.Errorf("window %s: a renewal after a lost one ends %s after the last, the lease %s", window, late, ttl)
		}
		if ttl > window+3*time.Second-2*time.Second {
			t.Errorf("window %s: a VM that died is known for %s, which leaves less than 2 s of what the platform allows", window, ttl)
		}
	}
}

// Guards against VMs that call a store which turns them away as often as before: a
// third of 295 VMs, turned away for 9 s, may make no more than a call a second each.
func TestTurnedAwayVMsCallLessOften(t *testing.T) {
	t.Parallel()
	calls := 0
	for at, failures := time.Duration(0), 0; at < 9*time.Second; at += retryPause(failures) {
		failures++
		calls++
	}
	if calls > 9 {
		t.Errorf("%d calls in 9 s", calls)
	}
	if first := retryPause(1); first > 500*time.Millisecond {
		t.Errorf("%s after the first failure: a lease would lapse", first)
	}
}

// Guards against former VMs that grow in number with each restart.
func TestFormerVMsAreBounded(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	v := newView(nil, now, vmsOf("a", 40), "a")
	for k := range 30 {
		v = newView(v, now, vmsOf("a", 40-k), "a")
	}
	if len(v.former) != relaysMost || v.former[0].ID != "a-11" {
		t.Fatalf("%d former VMs, the latest %+v", len(v.former), v.former[0])
	}
}

// grownRegion has six VMs with a link of 200 Mbit/s and fifteen with one of 10.
func grownRegion() []inventory.VM {
	vms := vmsOf("a", 21)
	for k := range vms {
		vms[k].Caller = vms[k].ID
		vms[k].Capacity = capacity(&Settings{CPUShare: 0.16, CPUSpeed: 1, LinkMbps: 10})
		if k < 6 {
			vms[k].Capacity = capacity(&Settings{CPUShare: 0.8, CPUSpeed: 1, LinkMbps: 200})
		}
	}
	return vms
}

// callerShares is the part of the requests that each VM gets when the callers of three
// data centres choose evenly among the addresses that they are told.
func callerShares(v *view, region string) map[string]float64 {
	out := make(map[string]float64)
	for dc := range 3 {
		named := v.named(Place{region, fmt.Sprint("dc-", dc)}, "", nil)
		for _, address := range named {
			out[address] += 1 / float64(3*len(named))
		}
	}
	return out
}

// Guards against small VMs that get as many callers as large ones. Pattern: a
// region with 667 requests/s, most of whose VMs have a link of 10 Mbit/s, as it is
// and after the loss of each data centre of large VMs.
func TestCallersGoWhereTheirRequestsFit(t *testing.T) {
	t.Parallel()
	all := grownRegion()
	for lost := -1; lost < 3; lost++ {
		var vms []inventory.VM
		for k := range all {
			if k >= 6 || k/2 != lost {
				vms = append(vms, all[k])
			}
		}
		load := callerShares(newView(nil, time.Unix(0, 0), vms, "a"), "a")
		large := 0.0
		for k := range vms {
			if vms[k].Capacity > 100 {
				large += load[vms[k].ID]
			}
			if rate := 667 * load[vms[k].ID]; rate > vms[k].Capacity {
				t.Errorf("data centre %d lost: %s gets %.0f requests/s and can bear %.0f", lost, vms[k].ID, rate, vms[k].Capacity)
			}
		}
		if large < 0.45 {
			t.Errorf("data centre %d lost: large VMs get %.2f of the requests", lost, large)
		}
	}
	small := all[6:]
	for id, share := range callerShares(newView(nil, time.Unix(0, 0), small, "a"), "a") {
		if rate := 667 * share; rate > 2*small[0].Capacity {
			t.Errorf("all large VMs lost: %s gets %.0f requests/s and can bear %.0f", id, rate, small[0].Capacity)
		}
	}
}

// Guards against VMs that callers are never told of: an answer has 64 addresses at
// most, and a region of the design size has 185 VMs.
func TestEveryVMIsNamedInALargeRegion(t *testing.T) {
	t.Parallel()
	vms := vmsOf("a", 100)
	for k := range vms {
		vms[k].Caller = vms[k].ID
	}
	v := newView(nil, time.Unix(0, 0), vms, "a")
	named := make(map[string]bool)
	for dc := range 8 {
		list := v.named(Place{"a", fmt.Sprint("dc-", dc)}, "", nil)
		if len(list) != namedMost {
			t.Fatalf("%d addresses", len(list))
		}
		for _, a := range list {
			named[a] = true
		}
	}
	if len(named) != 100 {
		t.Errorf("%d of 100 VMs are named", len(named))
	}
}

// Guards against answers that change although the VMs do not: callers leave the
// connections to VMs that a new answer lacks.
func TestAnswersAreSteady(t *testing.T) {
	t.Parallel()
	place := Place{"a", "dc-1"}
	now := time.Unix(0, 0)
	before := newView(nil, now, grownRegion(), "a").named(place, "", nil)
	if again := newView(nil, now, grownRegion(), "a").named(place, "", nil); !slices.Equal(before, again) {
		t.Fatal("equal VMs, another answer")
	}
	less := slices.DeleteFunc(grownRegion(), func(vm inventory.VM) bool { return vm.Caller == before[0] })
	after := newView(nil, now, less, "a").named(place, "", nil)
	kept := 0
	for _, a := range before[1:] {
		if slices.Contains(after, a) {
			kept++
		}
	}
	if kept < len(before)-1 {
		t.Errorf("one VM has gone, and of the %d others %d are still named", len(before)-1, kept)
	}
}

// Guards against answers for other regions, and against naming this VM when it
// stops.
func TestNamedByRegion(t *testing.T) {
	t.Parallel()
	vms := append(vmsOf("a", 2), vmsOf("b", 2)...)
	for k := range vms {
		vms[k].Caller = vms[k].ID
	}
	v := newView(nil, time.Unix(0, 0), vms, "a")
	for _, c := range []struct {
		region string
		self   *inventory.VM
		want   []string
	}{
		{"a", &vms[0], []string{"a-0", "a-1"}},
		{"a", nil, []string{"a-1"}},
		{"b", &vms[0], []string{"b-0", "b-1"}},
		{"c", nil, []string{"a-1", "b-0", "b-1"}},
	} {
		got := slices.Sorted(slices.Values(v.named(Place{c.region, "dc"}, "a-0", c.self)))
		if !slices.Equal(got, c.want) {
			t.Errorf("region %s: %v, want %v", c.region, got, c.want)
		}
	}
}

// Guards against callers that keep the address of a VM for longer than it serves
// after its stop began: their connections would be refused.
func TestAnswersEndBeforeAStoppingVMDoes(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{3 * time.Second, 6 * time.Second, 30 * time.Second} {
		n := &Node{settings: &Settings{StopGrace: grace, LookupTTLMost: 5 * time.Second}}
		n.view.Store(newView(nil, time.Unix(0, 0), vmsOf("a", 3), "a"))
		addresses, ttl := n.lookup(Place{"a", "dc"})
		if len(addresses) != 3 || ttl <= 0 || ttl > 5*time.Second {
			t.Fatalf("grace %s: %v for %s", grace, addresses, ttl)
		}
		if serves := time.Duration(lingerShare * float64(grace)); ttl+noticeTime > serves {
			t.Errorf("grace %s: kept for %s after up to %s of old answers, served for %s", grace, ttl, noticeTime, serves)
		}
	}
}
