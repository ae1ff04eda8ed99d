package placement

import (
	"fmt"
	"testing"
	"time"
)

// arrivalsIn counts the requests that reached instances in a time range.
func (s *sim) arrivalsIn(from, to time.Duration, ids ...string) int {
	n := 0
	for _, id := range ids {
		for _, at := range s.instances[id].arrivals {
			if after := at.Sub(s.start); after >= from && after < to {
				n++
			}
		}
	}
	return n
}

func instanceIDs(region string, count int) []string {
	var out []string
	for k := range count {
		out = append(out, fmt.Sprintf("i-%s-%d", region, k))
	}
	return out
}

// Instances that recover for short times must not get their full share of requests each
// time. Three of sixteen instances alternate between 1 s down and 1 s up.
func TestFlappingInstancesGetFewRequests(t *testing.T) {
	s := newSim(seedOf(t), []simRegion{{"randstad", 5, 16}}, steady(170))
	s.digests = 200 * time.Millisecond
	flapping := instanceIDs("randstad", 3)
	for n := range 10 {
		for _, id := range flapping {
			s.at(s.start.Add(time.Duration(8+n)*time.Second), func() { s.instances[id].down = n%2 == 0 })
		}
	}
	s.run(24 * time.Second)
	w := s.sum(8*time.Second, 18*time.Second)
	t.Log(w)
	// Down half of the time, they would fail 3/16/2 of all requests if they were not
	// ejected. More than half of these failures must be avoided.
	if float64(w.failed) > 3.0/16/2/2*float64(w.asked) {
		t.Errorf("%d of %d requests failed", w.failed, w.asked)
	}
	if back := s.arrivalsIn(20*time.Second, 24*time.Second, flapping...); back == 0 {
		t.Error("the instances get no requests although they are up again")
	}
}

// An instance that fails the requests of some VMs must get fewer requests from these
// VMs, while the others keep using it. It happens when an instance's liveness check
// passes although the requests of two of five VMs fail.
func TestPartialFailuresAffectOnlyTheirVMs(t *testing.T) {
	s := newSim(seedOf(t), []simRegion{{"randstad", 5, 16}}, steady(170))
	s.digests = 200 * time.Millisecond
	bad := instanceIDs("randstad", 2)
	s.at(s.start.Add(8*time.Second), func() {
		for _, id := range bad {
			s.instances[id].fails = func(vm string) bool { return vm == "vm-randstad-0" || vm == "vm-randstad-1" }
		}
	})
	s.run(20 * time.Second)
	usual := s.arrivalsIn(4*time.Second, 8*time.Second, bad...)
	w := s.sum(10*time.Second, 20*time.Second)
	t.Log(usual, w)
	// Two of five VMs would fail 2/16 of their requests. Three of four failures must be
	// avoided.
	if float64(w.failed) > 2.0/5*2/16/4*float64(w.asked) {
		t.Errorf("%d of %d requests failed", w.failed, w.asked)
	}
	if later := s.arrivalsIn(12*time.Second, 16*time.Second, bad...); 3*later < usual {
		t.Errorf("%d requests in 4 s, %d before: the other VMs stopped using instances that serve them", later, usual)
	}
}

// Instances that become slow must get fewer requests than usual, and must get them
// again later. Two of sixteen instances are six times as slow for 8 s, without a sign
// of it in their load reports.
func TestSlowInstancesGetFewerRequests(t *testing.T) {
	s := newSim(seedOf(t), []simRegion{{"randstad", 5, 16}}, steady(170))
	s.digests = 200 * time.Millisecond
	slow := instanceIDs("randstad", 2)
	set := func(at time.Duration, factor float64) {
		s.at(s.start.Add(at), func() {
			for _, id := range slow {
				s.instances[id].hiddenSlowdown = factor
			}
		})
	}
	set(8*time.Second, 6)
	set(16*time.Second, 0)
	s.run(30 * time.Second)
	usual, during, after := s.arrivalsIn(3*time.Second, 8*time.Second, slow...), s.arrivalsIn(11*time.Second, 16*time.Second, slow...), s.arrivalsIn(25*time.Second, 30*time.Second, slow...)
	w := s.sum(10*time.Second, 16*time.Second)
	t.Log(usual, during, after, w)
	if 2*during > usual {
		t.Errorf("%d requests in 5 s while they were slow, %d before", during, usual)
	}
	if 2*after < usual {
		t.Errorf("%d requests in 5 s after they were slow, %d before", after, usual)
	}
	if float64(w.inTime) < 0.9*float64(w.asked) {
		t.Errorf("%d of %d in time while they were slow", w.inTime, w.asked)
	}
}

// Callers of a region that loses all its instances must not be refused for long while
// other regions have capacity. All instances of the region are removed at once, and its
// VMs remain.
func TestLostRegionIsServedElsewhere(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(60))
	s.at(s.start.Add(8*time.Second), func() {
		for _, id := range instanceIDs("zuid", 12) {
			s.instances[id].down, s.instances[id].isDeregistered = true, true
		}
		s.publish()
	})
	s.run(20 * time.Second)
	w := s.sum(10*time.Second, 20*time.Second)
	t.Log(w)
	if float64(w.inTime+w.late) < 0.97*float64(w.asked) {
		t.Errorf("%d of %d served", w.inTime+w.late, w.asked)
	}
	if float64(w.inTime) < 0.85*float64(w.asked) {
		t.Errorf("%d of %d in time", w.inTime, w.asked)
	}
}

// VMs that join a region must not place objects on instances that do not hold them. The
// number of VMs of a region doubles under normal load.
func TestAddedVMsLeaveObjectsInPlace(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(150))
	s.digests = 200 * time.Millisecond
	s.at(s.start.Add(10*time.Second), func() {
		vms := make([]VM, 0, 8)
		for _, p := range s.vms["noord"] {
			vms = append(vms, VM{p.cfg.VM, 1})
		}
		for k := range 4 {
			id := fmt.Sprint("vm-noord-new-", k)
			vms = append(vms, VM{id, 1})
			s.vms["noord"] = append(s.vms["noord"], New(Config{VM: id, Region: "noord", ColdOver: 1.5, ColdSlack: 5}))
		}
		for _, p := range s.vms["noord"] {
			p.SetVMs(vms)
		}
		s.publish()
	})
	s.run(20 * time.Second)
	before, after := s.sum(4*time.Second, 10*time.Second), s.sum(10*time.Second, 16*time.Second)
	t.Log(before, after)
	if hits := float64(after.hits) / float64(after.sent); hits < float64(before.hits)/float64(before.sent)-0.05 {
		t.Errorf("%.2f of the requests found their object held", hits)
	}
}

// A request that is bound to regions must not reach an instance whose region is unknown, also
// if no other instance is left and the VM's own region is not among them.
func TestUnknownRegionGetsNothingBoundToRegions(t *testing.T) {
	p := New(Config{VM: "vm-1", Region: "south"})
	p.SetInstances(at(0), []Instance{{ID: "i-0", Service: "shop", Address: "i-0:1", Slots: 4}})
	for n := range 100 {
		for _, regions := range [][]string{{"north"}, {"south"}, {"north", "south"}, {""}} {
			r := &Request{Service: "shop", Key: fmt.Sprint(n), Idempotent: n%2 == 0, Target: time.Second, Deadline: at(2), Regions: regions}
			if ticket, e := p.Pick(at(1), r); e == nil {
				t.Fatalf("a request bound to %q is sent to %s in region %q", regions, ticket.Instance.ID, ticket.Instance.Region)
			}
		}
	}
	if _, e := p.Pick(at(1), &Request{Service: "shop", Target: time.Second, Deadline: at(2)}); e != nil {
		t.Errorf("a request that is bound to no region is refused: %v", e.Err)
	}
}
