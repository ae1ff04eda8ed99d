package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantferry/currantferry/rendezvous"

	"github.com/currantferry/currantferry/verdict"
)

// threeRegions is the press platform's proof service: a region with an eighth of
// the slots and a third of the callers.
var threeRegions = []simRegion{{"randstad", 5, 16}, {"noord", 4, 4}, {"zuid", 3, 12}}

func steady(rate float64) simLoad { return func(string, time.Duration) float64 { return rate } }

// Guards against queues in which everything becomes late. Pattern: callers ask for
// more than all slots can do with nothing held yet, for 10 s. What the slots can
// do is 288 / 0.34 s = 847 requests/s; at least half of that must be in time,
// since instances pick up objects while they work.
func TestOverloadIsRefusedNotQueued(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(600))
	s.objects = 5000
	s.run(12 * time.Second)
	w := s.sum(2*time.Second, 10*time.Second)
	t.Log(w)
	if possible := 288 * 8 * 100 / 34; w.inAim < possible/2 {
		t.Errorf("%d requests in time, %d were possible", w.inAim, possible)
	}
}

// Guards against a region with little room that keeps its callers waiting until
// its share has moved step by step. Pattern: the day begins at full load and
// nothing is held.
func TestShortRegionIsRelievedFromTheStart(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(170))
	s.run(10 * time.Second)
	first := s.sum(0, 4*time.Second)
	t.Log(first, s.windows[0].ran["noord"])
	if away := s.windows[0].asked / 3 / 4; s.windows[0].ran["noord"]["noord"] > s.windows[0].asked/3-away {
		t.Errorf("%v of the first %d requests of all regions: too few left the short region", s.windows[0].ran["noord"], s.windows[0].asked)
	}
	if first.refused*20 > first.asked {
		t.Errorf("%d of %d refused in the first seconds", first.refused, first.asked)
	}
}

// Guards against objects that wander between instances. Pattern: a calm day whose
// instances are slowed by neighbours in turn.
func TestObjectsStayWhereTheyAreHeld(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(170))
	s.noise = 0.15
	s.run(32 * time.Second)
	w := s.sum(10*time.Second, 30*time.Second)
	t.Log(w)
	if float64(w.hits) < 0.95*float64(w.sent) {
		t.Errorf("%d of %d requests found their object held", w.hits, w.sent)
	}
	if float64(w.inAim) < 0.95*float64(w.asked) {
		t.Errorf("%d of %d in time", w.inAim, w.asked)
	}
}

// Guards against moving more of a region's requests to another region at once than
// the operators allow. Pattern: callers of a short region triple within 6 s, and
// are gone again 10 s later.
func TestShiftStaysUnderItsCap(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, func(region string, at time.Duration) float64 {
		if region != "noord" || at < 10*time.Second || at > 24*time.Second {
			return 150
		}
		return 150 + 300*min(1, (at-10*time.Second).Seconds()/6)
	})
	s.run(44 * time.Second)
	for n := 1; n < len(s.windows)-1; n++ {
		for region, now := range s.windows[n].ran {
			before := s.windows[n-1].ran[region]
			moved := 0.0
			for other := range s.vms {
				share := portion(now, other) - portion(before, other)
				moved += max(0, share)
			}
			// The cap, and what chance does to a few hundred requests.
			if moved > 0.15+0.05 {
				t.Errorf("second %d: %.2f of the requests of %s moved, %v after %v", 2*n, moved, region, now, before)
			}
		}
	}
}

func portion(ran map[string]int, region string) float64 {
	all := 0
	for _, n := range ran {
		all += n
	}
	if all == 0 {
		return 0
	}
	return float64(ran[region]) / float64(all)
}

// Guards against running over an instance that has just started. Pattern: four of
// the instances of a region come back cold under full load. The bound is over all
// VMs of the region.
func TestColdInstancesGetTheirRateOnly(t *testing.T) {
	const rate, over, slack = 16, 1.5, 5
	for _, vms := range []int{2, 5, 24} {
		s := newSim(seedOf(t), []simRegion{{"randstad", vms, 16}}, steady(500))
		s.at(s.start.Add(6*time.Second), func() {
			for k := range 4 {
				id := []string{"i-randstad-0", "i-randstad-1", "i-randstad-2", "i-randstad-3"}[k]
				i := s.instances[id].Instance
				i.Born, i.ColdUntil, i.ColdRate = 1, s.now.Add(3*time.Second), rate
				s.add(i)
			}
			s.publish()
		})
		s.run(10 * time.Second)
		for _, i := range s.instances {
			if i.Born == 0 {
				continue
			}
			for a := range i.arrivals {
				n := 0
				for b := a; b < len(i.arrivals) && i.arrivals[b].Sub(i.arrivals[a]) <= time.Second && i.arrivals[b].Before(i.ColdUntil); b++ {
					n++
				}
				if n > rate*over+slack {
					t.Fatalf("%d VMs: %d requests within a second at cold %s", vms, n, i.ID)
				}
			}
			if len(i.arrivals) < 6 {
				t.Errorf("%d VMs: %s got %d requests in 4 s and never becomes warm", vms, i.ID, len(i.arrivals))
			}
		}
	}
}

// Guards against an instance that leaves and takes the places of other instances'
// objects with it.
func TestLeavingInstanceMovesOnlyItsObjects(t *testing.T) {
	s := newSim(1, []simRegion{{"randstad", 1, 16}}, steady(1))
	p := s.vms["randstad"][0]
	first := func() map[string]string {
		out := make(map[string]string)
		for n := range 500 {
			key := string(rune('a'+n%26)) + time.Duration(n).String()
			ticket, refused := p.Pick(s.now, &Request{Service: "proofs", Route: "/a/", Key: key, Target: time.Second})
			if refused != nil {
				t.Fatal(refused)
			}
			out[key] = ticket.Instance.ID
			p.Done(s.now, &ticket, Outcome{Cancelled: true})
		}
		return out
	}
	before := first()
	delete(s.instances, "i-randstad-3")
	s.publish()
	for key, id := range first() {
		if before[key] != "i-randstad-3" && before[key] != id {
			t.Errorf("object %s moved from %s to %s", key, before[key], id)
		}
	}
}

// Guards against a share elsewhere that is forgotten while a VM waits for its first
// requests. Pattern: the VMs start some seconds before the traffic.
func TestFirstShareOutlastsTheWait(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(170))
	p := s.vms["noord"][0]
	began := p.services["proofs"].spill
	if began < 0.3 {
		t.Fatalf("the short region starts with a share of %.2f", began)
	}
	for range 80 {
		s.now = s.now.Add(100 * time.Millisecond)
		p.Tick(s.now)
	}
	if now := p.services["proofs"].spill; now != began {
		t.Errorf("share of %.2f after 8 s without requests, %.2f before", now, began)
	}
}

// Guards against objects that change the region in which they run elsewhere with
// each change of its load: they would be held nowhere. Pattern: the loads of two
// regions that take objects swing between a fifth and four fifths.
func TestObjectsElsewhereStayInOneRegion(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(1))
	p := s.vms["noord"][0]
	sv := p.services["proofs"]
	away := func(n int) string {
		return p.awayRegion(sv, &Request{Service: "proofs"}, rendezvous.Mix(uint64(n)), "noord")
	}
	before := make(map[int]string)
	for n := range 300 {
		before[n] = away(n)
	}
	for step := range 40 {
		for k, region := range []string{"randstad", "zuid"} {
			used := 2
			if (step/4+k)%2 == 0 {
				used = 7
			}
			for _, i := range sv.regions[region] {
				i.reported(s.now.Add(time.Millisecond), Load{Running: used, Slots: simSlots})
			}
		}
		s.now = s.now.Add(100 * time.Millisecond)
		p.Tick(s.now)
		for n := range 300 {
			if now := away(n); now != before[n] {
				t.Fatalf("step %d: object %d moved from %s to %s", step, n, before[n], now)
			}
		}
	}
}

// Guards against copies of objects that push each other out. Pattern: more objects
// than the instances of a region can hold twice.
func TestCopiesFollowTheRoomForObjects(t *testing.T) {
	s := newSim(seedOf(t), []simRegion{{"noord", 1, 4}}, steady(1))
	p := s.vms["noord"][0]
	for n := range 190 {
		ticket, refused := p.Pick(s.now, &Request{Service: "proofs", Route: "/a/", Key: time.Duration(n).String(), Target: time.Second})
		if refused != nil {
			t.Fatal(refused)
		}
		p.Done(s.now, &ticket, Outcome{Cancelled: true})
	}
	if got := p.services["proofs"].copies(4); got != 1 {
		t.Errorf("%d places for each of 190 objects on 4 instances, want 1", got)
	}
	s.now = s.now.Add(objectsFor + time.Second)
	p.Tick(s.now)
	if got := p.services["proofs"].copies(4); got != candidates {
		t.Errorf("%d places for objects that nobody asks for, want %d", got, candidates)
	}
}

// Guards against a VM that has just started and places objects by its first guess,
// so that they are held twice or nowhere. Pattern: planned restarts of the VMs of a
// region one after the other (docs/incidents/rolpers-inc-f3c1.md).
func TestRestartedVMPlacesAsItsPeers(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(1))
	old, fresh := s.vms["noord"][0], s.vms["noord"][1]
	old.Arrived("proofs")
	old.services["proofs"].spill = 0.05
	d := old.Digest(s.now)
	fresh.Heard(s.now, old.cfg.VM, &d)
	s.now = s.now.Add(100 * time.Millisecond)
	fresh.Tick(s.now)
	if got := fresh.services["proofs"].spill; got != 0.05 {
		t.Errorf("the restarted VM sends %.2f of the objects elsewhere, its peer 0.05", got)
	}
}

// Guards against VMs of a region that stay apart. Pattern: the region's load lies
// where no VM moves its share by itself, and two VMs begin with different ones.
func TestSharesComeTogether(t *testing.T) {
	s := newSim(1, threeRegions, steady(1))
	a, b := s.vms["noord"][0], s.vms["noord"][1]
	a.Arrived("proofs")
	b.Arrived("proofs")
	a.services["proofs"].spill, b.services["proofs"].spill = 0.3, 0
	for range 100 {
		s.now = s.now.Add(usualTick)
		for _, p := range []*Picker{a, b} {
			p.Arrived("proofs")
			for _, i := range p.services["proofs"].regions["noord"] {
				i.reported(s.now, Load{Running: 7, Slots: simSlots})
			}
			before := p.services["proofs"].spill
			p.Tick(s.now)
			most := p.cfg.ShiftMost * usualTick.Seconds() / p.cfg.ShiftWindow.Seconds()
			if moved := p.services["proofs"].spill - before; moved > most || -moved > most {
				t.Fatalf("a share moved by %.4f in one tick, the cap is %.4f", moved, most)
			}
		}
		da, db := a.Digest(s.now), b.Digest(s.now)
		a.Heard(s.now, b.cfg.VM, &db)
		b.Heard(s.now, a.cfg.VM, &da)
	}
	if x, y := a.services["proofs"].spill, b.services["proofs"].spill; x-y > 0.05 || y-x > 0.05 {
		t.Errorf("shares %.2f and %.2f after 10 s", x, y)
	}
}

// Guards against reports that VMs pass on although they are old, broken, or came
// from another VM.
func TestDigestsCarryFreshReportsOnce(t *testing.T) {
	s := newSim(1, threeRegions, steady(1))
	a, b := s.vms["noord"][0], s.vms["noord"][1]
	a.services["proofs"].instances["i-noord-0"].reported(s.now, Load{Running: 9, Waiting: 3, Slots: 9})
	now := s.now.Add(100 * time.Millisecond)
	d := a.Digest(now)
	if len(d.Reports) != 1 || d.Reports[0].Age != 100*time.Millisecond {
		t.Fatalf("%+v", d)
	}
	d.Reports = append(d.Reports, Report{Instance: KeyOf("i-noord-1"), Age: -time.Second},
		Report{Instance: KeyOf("i-noord-2"), Age: time.Hour}, Report{Instance: KeyOf("unknown")})
	b.Heard(now, "vm", &d)
	if got := b.services["proofs"].instances["i-noord-0"].load.Waiting; got != 3 {
		t.Errorf("load %d heard", got)
	}
	for _, id := range []string{"i-noord-1", "i-noord-2"} {
		if !b.services["proofs"].instances[id].loadAt.IsZero() {
			t.Errorf("a broken report of %s is believed", id)
		}
	}
	if again := b.Digest(now); len(again.Reports) != 0 {
		t.Errorf("passed on: %+v", again.Reports)
	}
	if again := a.Digest(now); len(again.Reports) != 0 {
		t.Errorf("told twice: %+v", again.Reports)
	}
}

// Guards against instances that get one request after the other although another
// one has their address. Pattern: many instances die at once, and their addresses
// are used again before their records lapse.
func TestReplacedInstancesGetOneRequest(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(1))
	p, peer := s.vms["randstad"][0], s.vms["randstad"][1]
	dead := make(map[string]bool)
	for k := range 5 {
		dead[fmt.Sprintf("i-randstad-%d", k)] = true
	}
	sent := make(map[string]int)
	send := func(vm *Picker, now time.Time, key string) {
		r := Request{Service: "proofs", Route: "/a", Key: key, Idempotent: true, Target: time.Second, Deadline: now.Add(time.Minute)}
		ticket, refused := vm.Pick(now, &r)
		if refused != nil {
			t.Fatal(refused)
		}
		o := Outcome{Verdict: verdict.Ran, Latency: 100 * time.Millisecond}
		if id := ticket.Instance.ID; dead[id] {
			sent[id]++
			o = Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonMisdirected}
		}
		vm.Done(now, &ticket, o)
	}
	for at := time.Duration(0); at < ejectMost-time.Second; at += 10 * time.Millisecond {
		now := s.now.Add(at)
		key := fmt.Sprint("object-", at)
		for _, vm := range []*Picker{p, peer} {
			send(vm, now, key)
			d := vm.Digest(now)
			for _, other := range []*Picker{p, peer} {
				if other != vm {
					other.Heard(now, vm.cfg.VM, &d)
				}
			}
		}
	}
	if len(sent) == 0 {
		t.Fatal("no request went to a dead instance")
	}
	for id, n := range sent {
		if n > 1 {
			t.Errorf("%d requests were sent to %s", n, id)
		}
	}
}

// Guards against sending to an address that belongs to another instance because no
// other is known. Pattern: a VM starts while the only record of a service names an
// instance that has died and whose address was used again.
func TestReplacedInstanceIsNoLastResort(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{VM: "vm-1", Region: "randstad"})
	p.SetInstances(now, []Instance{{ID: "i-1", Service: "proofs", Region: "randstad", Address: "10.0.0.1:80", Slots: 9}})
	sent := 0
	for at := time.Duration(0); at < ejectMost-time.Second; at += 100 * time.Millisecond {
		now := now.Add(at)
		ticket, refused := p.Pick(now, &Request{Service: "proofs", Route: "/a", Key: "o", Idempotent: true, Target: time.Second, Deadline: now.Add(time.Minute)})
		if refused != nil {
			if refused.Verdict != verdict.NotRun || refused.RetryAfter <= 0 {
				t.Fatalf("%+v", refused)
			}
			continue
		}
		sent++
		p.Done(now, &ticket, Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonMisdirected})
	}
	if sent != 1 {
		t.Errorf("%d requests were sent, want one", sent)
	}
}

// Guards against a new process of an instance that gets no work because the one
// before it died.
func TestReplacedProcessIsAnother(t *testing.T) {
	s := newSim(seedOf(t), threeRegions, steady(1))
	a, b := s.vms["randstad"][0], s.vms["randstad"][1]
	a.services["proofs"].instances["i-randstad-0"].replace(s.now)
	d := a.Digest(s.now)
	if len(d.Replaced) != 1 {
		t.Fatalf("%+v", d)
	}
	fresh := b.services["proofs"].instances["i-randstad-0"].Instance
	fresh.Born++
	b.SetInstances(s.now, []Instance{fresh})
	b.Heard(s.now, a.cfg.VM, &d)
	if out, _ := b.services["proofs"].instances["i-randstad-0"].isOut(s.now); out {
		t.Error("the new process is out")
	}
}

// Guards against VMs with hardly any requests that hold the region's share where
// they left it. Pattern: most callers of a region are told of a few large VMs.
func TestSharesCountByRequests(t *testing.T) {
	s := newSim(1, threeRegions, steady(1))
	p := s.vms["noord"][0]
	for k := range 15 {
		p.Heard(s.now, fmt.Sprint("small-", k), &Digest{Shares: map[string]Share{"proofs": {Share: 0, Rate: 1}}})
	}
	for k := range 6 {
		p.Heard(s.now, fmt.Sprint("large-", k), &Digest{Shares: map[string]Share{"proofs": {Share: 0.3, Rate: 100}}})
	}
	if mean, ok := p.services["proofs"].sharedSpill(s.now); !ok || mean < 0.27 {
		t.Errorf("mean share %.2f, %v", mean, ok)
	}
}
