package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testRegister has regions of two data centres, one site per data centre, and a
// block of 10.N.0.0/16 for site N.
func testRegister(regions int) *register.Register {
	r := &register.Register{Services: []register.Service{{Name: "proefbank"}}}
	for i := range regions {
		region := register.Region{Name: fmt.Sprintf("r%d", i)}
		for j := range 2 {
			dc := fmt.Sprintf("r%d-%c", i, 'a'+j)
			region.DataCentres = append(region.DataCentres, register.DataCentre{Name: dc})
			n := len(r.Sites)
			r.Sites = append(r.Sites, register.Site{Name: fmt.Sprintf("site-%d", n), DataCentres: []string{dc}})
			for k := range 256 {
				r.Blocks = append(r.Blocks, register.Block{Prefix: prefix4(uint32(10<<24|n<<16|k<<8), 24), Site: r.Sites[n].Name})
			}
		}
		r.Regions = append(r.Regions, region)
	}
	return r
}

func testVMs(r *register.Register, perDC int) []VM {
	var vms []VM
	for _, region := range r.Regions {
		for _, dc := range region.DataCentres {
			for range perDC {
				n := len(vms)
				vms = append(vms, VM{
					ID: fmt.Sprintf("vm-%d", n), DataCentre: dc.Name, Region: region.Name, State: Serving,
					Address: netip.AddrPortFrom(prefix4(uint32(127<<24|n+1), 32).Addr(), 8080), Load: 0.3,
				})
			}
		}
	}
	return vms
}

func mustBuild(t *testing.T, b *Builder, now time.Time, in Input) *Snapshot {
	t.Helper()
	s, err := b.Build(now, in)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func ids(a Answer) []string {
	var out []string
	for _, target := range a.Targets() {
		out = append(out, target.VM.ID)
	}
	return out
}

// Guards against empty answers while a VM may be handed out, against drained,
// leaving and suspected VMs in answers, and against answers that change for
// callers of VMs that stayed.
func TestRandomMembership(t *testing.T) {
	randomised(t, 60, func(t *testing.T, rng *rand.Rand) {
		reg := testRegister(1 + rng.IntN(4))
		in := Input{Register: reg, VMs: testVMs(reg, 1+rng.IntN(4))}
		for i := range in.VMs {
			if rng.IntN(4) == 0 {
				in.VMs[i].State = State(rng.IntN(5))
			}
			if rng.IntN(3) == 0 {
				in.VMs[i].Weight = uint32(1 + rng.IntN(300))
			}
		}
		in.Drains = randomDrains(rng, in)
		allowed := usableIDs(in)
		before := mustBuild(t, New(Config{}), start, in)
		removed := ""
		if len(allowed) > 1 {
			removed = allowed[rng.IntN(len(allowed))]
		}
		fewer := in
		fewer.VMs = slices.DeleteFunc(slices.Clone(in.VMs), func(vm VM) bool { return vm.ID == removed })
		after := mustBuild(t, New(Config{}), start, fewer)
		for range 50 {
			caller := prefix4(10<<24|rng.Uint32N(uint32(len(reg.Sites)+1)<<16), 32).Addr()
			a, err := before.Lookup(caller, "proefbank")
			if (err == nil) != (len(allowed) > 0) {
				t.Fatalf("%s: %v with %d VMs to hand out", caller, err, len(allowed))
			}
			if err != nil {
				continue
			}
			checkAnswer(t, a, allowed)
			b, err := after.Lookup(caller, "proefbank")
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(ids(a), removed) && !slices.Equal(ids(a), ids(b)) {
				t.Fatalf("%s: %v became %v when %s was removed", caller, ids(a), ids(b), removed)
			}
			if slices.Contains(ids(b), removed) {
				t.Fatalf("%s: removed %s in %v", caller, removed, ids(b))
			}
		}
	})
}

func checkAnswer(t *testing.T, a Answer, allowed []string) {
	t.Helper()
	if got := ids(a); len(got) == 0 || len(slices.Compact(slices.Sorted(slices.Values(got)))) != len(got) {
		t.Fatalf("empty answer or repeated VM: %v", got)
	}
	for _, target := range a.Targets() {
		if !slices.Contains(allowed, target.VM.ID) {
			t.Fatalf("%s (%d) handed out, allowed are %v", target.VM.ID, target.VM.State, allowed)
		}
		if target.Weight < 1 || target.Weight > 100 {
			t.Fatalf("weight %d", target.Weight)
		}
	}
}

func randomDrains(rng *rand.Rand, in Input) []rules.Drain {
	var out []rules.Drain
	for i := range rng.IntN(4) {
		vm := in.VMs[rng.IntN(len(in.VMs))]
		d := rules.Drain{ID: fmt.Sprint(i), Kind: rules.TargetVM, Target: vm.ID}
		switch rng.IntN(4) {
		case 0:
			d.Kind, d.Target = rules.TargetDataCentre, vm.DataCentre
		case 1:
			d.Kind, d.Target = rules.TargetRegion, vm.Region
		}
		if rng.IntN(4) == 0 {
			d.Start = start.Add(time.Second)
		}
		out = append(out, d)
	}
	return out
}

// usableIDs states independently which VMs may be handed out.
func usableIDs(in Input) []string {
	byState := make(map[State][]string)
	for _, vm := range in.VMs {
		drained := slices.ContainsFunc(in.Drains, func(d rules.Drain) bool {
			return d.Start.IsZero() && (d.Target == vm.ID || d.Target == vm.DataCentre || d.Target == vm.Region)
		})
		if !drained {
			byState[vm.State] = append(byState[vm.State], vm.ID)
		}
	}
	if len(byState[Serving]) > 0 {
		return byState[Serving]
	}
	return byState[Suspected]
}

// Guards against answers without a second VM near the caller or without a VM in
// another region, and against a set in one data centre only.
func TestAnswerShape(t *testing.T) {
	reg := testRegister(3)
	s := mustBuild(t, New(Config{}), start, Input{Register: reg, VMs: testVMs(reg, 3)})
	for _, caller := range []string{"10.2.7.9", "::ffff:10.2.7.9"} {
		a, err := s.Lookup(netip.MustParseAddr(caller), "proefbank")
		if err != nil {
			t.Fatal(err)
		}
		got := a.Targets()
		if len(got) != 4 || got[0].VM.DataCentre != "r1-a" || got[1].VM.DataCentre != "r1-b" || got[2].VM.Region != "r1" ||
			got[3].VM.Region == "r1" || got[3].Priority != PriorityAway || a.Site != "site-2" || a.Scope != 24 || a.TTL != DefaultTTL {
			t.Fatalf("%s: %+v scope %d site %s", caller, got, a.Scope, a.Site)
		}
	}
	if _, err := s.Lookup(netip.MustParseAddr("10.2.7.9"), "nothing"); !errors.Is(err, ErrUnknownService) {
		t.Fatal(err)
	}
	if n := testing.AllocsPerRun(100, func() { _, _ = s.Lookup(netip.AddrFrom4([4]byte{10, 2, 7, 9}), "proefbank") }); n != 0 {
		t.Fatalf("%g allocations", n)
	}
}

// Guards against a hash that loads some VMs more than others of the same weight,
// or out of proportion to their weights.
func TestSpreadFollowsWeights(t *testing.T) {
	reg := testRegister(1)
	vms := testVMs(reg, 4)
	vms[0].Weight = 200
	s := mustBuild(t, New(Config{}), start, Input{Register: reg, VMs: vms})
	first := make(map[string]int)
	for n := range 4096 {
		a, err := s.Lookup(prefix4(uint32(10<<24|n<<8), 32).Addr().Next(), "proefbank")
		if err != nil {
			t.Fatal(err)
		}
		if a.Site == "site-0" || a.Site == "" {
			first[a.Targets()[0].VM.ID]++
		}
	}
	total := 0
	for _, n := range first {
		total += n
	}
	for i, share := range []float64{0.4, 0.2, 0.2, 0.2} {
		got := float64(first[vms[i].ID]) / float64(total)
		if got < share*0.85 || got > share*1.15 {
			t.Errorf("%s is first for %.3f of the callers, its capacity share is %.3f", vms[i].ID, got, share)
		}
	}
}

// loop builds snapshots every second over a model in which the load of each data
// centre follows its callers with a lag, and returns the parts that it kept.
func loop(t *testing.T, demand float64, lag, seconds int) (keeps []float64) {
	t.Helper()
	reg := testRegister(1)
	vms := testVMs(reg, 3)
	b := New(Config{})
	kept := func(now int) float64 { return keeps[max(0, now-lag)] }
	for now := range seconds {
		a, z := demand, 0.2
		if now > 0 {
			k := kept(now - 1)
			a, z = demand*k, 0.2+demand*(1-k)
		}
		for i := range vms {
			vms[i].Load = z
			if vms[i].DataCentre == "r0-a" {
				vms[i].Load = a
			}
		}
		mustBuild(t, b, start.Add(time.Duration(now)*time.Second), Input{Register: reg, VMs: vms})
		keeps = append(keeps, b.keepOf("r0-a"))
	}
	return keeps
}

// Guards against weights that swing when load reports come late: callers would
// move back and forth between data centres for ever.
func TestOverloadSettles(t *testing.T) {
	for _, lag := range []int{0, 5, 10} {
		keeps := loop(t, 1.2, lag, 400)
		end := keeps[len(keeps)-1]
		if end*1.2 > defaultHighLoad+0.01 || end*1.2 < defaultLowLoad {
			t.Errorf("lag %d s: the data centre ends at a load of %.2f", lag, end*1.2)
		}
		turns, direction := 0, 0
		for i := 1; i < len(keeps); i++ {
			d := 0
			if keeps[i] > keeps[i-1] {
				d = 1
			} else if keeps[i] < keeps[i-1] {
				d = -1
			}
			if d != 0 && direction != 0 && d != direction {
				turns++
			}
			if d != 0 {
				direction = d
			}
		}
		if turns > 1 {
			t.Errorf("lag %d s: the weights turned %d times: %v", lag, turns, keeps)
		}
	}
}

// Guards against a spill that leaves answers unchanged, and against one that
// crosses regions, which only the planner may decide.
func TestOverloadMovesCallersWithinRegion(t *testing.T) {
	reg := testRegister(2)
	vms := testVMs(reg, 3)
	for i := range vms {
		if vms[i].DataCentre == "r0-a" {
			vms[i].Load = 1.5
		}
	}
	b := New(Config{})
	moved, total := 0, 0
	s := mustBuild(t, b, start, Input{Register: reg, VMs: vms})
	for k := range 256 {
		a, err := s.Lookup(prefix4(uint32(10<<24|k<<8), 32).Addr(), "proefbank")
		if err != nil {
			t.Fatal(err)
		}
		total++
		if a.Targets()[0].VM.DataCentre == "r0-b" {
			moved++
		} else if a.Targets()[0].VM.DataCentre != "r0-a" {
			t.Fatalf("first VM in %s", a.Targets()[0].VM.DataCentre)
		}
	}
	if moved < total/10 || moved > total*3/10 {
		t.Fatalf("%d of %d blocks moved, one step is 20 %%", moved, total)
	}
}
