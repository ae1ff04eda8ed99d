package steer

import (
	"cmp"
	"fmt"
	"math"
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

// testRegister returns a register with regions of two data centres, one site per data
// centre, and the 256 blocks of 10.N.0.0/16 for site N.
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

// Guards against empty answers while a VM is usable, against drained, leaving and
// suspected VMs in answers, and against answers that change although all their VMs
// remain.
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
				t.Fatalf("%s: %v with %d usable VMs", caller, err, len(allowed))
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
			t.Fatalf("%s (state %d) in an answer, allowed are %v", target.VM.ID, target.VM.State, allowed)
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

// usableIDs computes, independently of the package, which VMs answers may contain.
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

// Guards against answers without two VMs in different data centres of the caller's
// region, and against answers without a VM in another region.
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
			got[3].VM.Region == "r1" || got[3].Priority != PriorityRemote || a.Site != "site-2" || a.Scope != 24 || a.TTL != DefaultTTL {
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

// Guards against a hash that does not distribute callers in proportion to the
// weights of the VMs.
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

// regionModel simulates the load of the VMs of one region whose callers spread over
// the targets of their answers by weight. Reports reach the builder late and with
// noise.
type regionModel struct {
	siteLoads [2]float64 // load of each site's callers as a multiple of a data centre's capacity
	lag       int        // delay of reports in seconds
	noise     float64
	vms       []VM
	loads     []map[string]float64 // actual loads by second
}

func (m *regionModel) run(t *testing.T, rng *rand.Rand, seconds int, each func(now int, b *Builder)) {
	t.Helper()
	reg := testRegister(1)
	m.vms = testVMs(reg, 3)
	b := New(Config{})
	for now := range seconds {
		for i := range m.vms {
			m.vms[i].Load = 0
			if now > 0 {
				m.vms[i].Load = m.loads[max(0, now-1-m.lag)][m.vms[i].ID] * (1 + m.noise*(2*rng.Float64()-1))
			}
		}
		s := mustBuild(t, b, start.Add(time.Duration(now)*time.Second), Input{Register: reg, VMs: m.vms})
		loads := make(map[string]float64)
		for block := range 512 {
			a, err := s.Lookup(prefix4(uint32(10<<24|block<<8), 32).Addr(), "proefbank")
			if err != nil {
				t.Fatal(err)
			}
			sum := 0.0
			for _, target := range a.Targets() {
				sum += float64(target.Weight)
			}
			for _, target := range a.Targets() {
				// The three VMs of a data centre together have the capacity 1.
				loads[target.VM.ID] += 3 * m.siteLoads[block/256] / 256 * float64(target.Weight) / sum
			}
		}
		m.loads = append(m.loads, loads)
		each(now, b)
	}
}

// dcLoads returns the load of both data centres at the end of the run.
func (m *regionModel) dcLoads() (out [2]float64) {
	for _, vm := range m.vms {
		out[int(vm.DataCentre[3]-'a')] += m.loads[len(m.loads)-1][vm.ID] / 3
	}
	return out
}

// Guards against weights that oscillate when load reports are late and noisy, so that
// callers would never stop moving between data centres, and against a data centre
// that stays overloaded while the other has spare capacity.
func TestOverloadSettles(t *testing.T) {
	randomised(t, 1, func(t *testing.T, rng *rand.Rand) {
		for _, lag := range []int{0, 5, 10} {
			for _, demand := range [][2]float64{{1.2, 0.2}, {0.9, 0.3}, {1.8, 0.3}, {1.1, 1.0}, {0.6, 0.6}} {
				m := regionModel{siteLoads: demand, lag: lag, noise: 0.1}
				numReversals, direction, last := 0, 0, 1.0
				m.run(t, rng, 300, func(_ int, b *Builder) {
					keep := b.keepFraction("r0-a")
					if d := cmp.Compare(keep, last); d != 0 {
						if direction != 0 && d != direction {
							numReversals++
						}
						direction, last = d, keep
					}
				})
				if numReversals > 2 {
					t.Errorf("lag %d s, demand %v: the weights reversed %d times", lag, demand, numReversals)
				}
				// An even load is the mean of the region; 10 % more is noise.
				mean := (demand[0] + demand[1]) / 2
				loads := m.dcLoads()
				for _, load := range loads {
					if load > max(defaultHighLoad, mean)*1.1 {
						t.Errorf("lag %d s, demand %v: loads end at %.2f", lag, demand, loads)
					}
				}
			}
		}
	})
}

// Guards against an overload that leaves answers unchanged, and against callers that
// are spilled to another region, which only the planner may decide.
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
	if d := s.DataCentres()[0]; d.Name != "r0-a" || d.Region != "r0" || d.Usable != 3 || d.Keep < 0.59 || d.Keep > 0.61 {
		t.Errorf("status %+v", d)
	}
	// The region's mean is 0.9, so 0.9/1.5 of the callers stay.
	if moved < total*3/10 || moved > total/2 {
		t.Fatalf("%d of %d blocks moved, want about 40 %%", moved, total)
	}
}

// Guards against a data centre that the callers of a drained one overload until late
// reports show it, while a third one has spare capacity.
func TestDrainedLoadIsAnticipated(t *testing.T) {
	reg := testRegister(1)
	reg.Regions[0].DataCentres = append(reg.Regions[0].DataCentres, register.DataCentre{Name: "r0-c"})
	vms := testVMs(reg, 2)
	for i := range vms {
		vms[i].Load = 0.6
	}
	drains := []rules.Drain{{ID: "1", Kind: rules.TargetDataCentre, Target: "r0-a"}}
	s := mustBuild(t, New(Config{}), start, Input{Register: reg, VMs: vms, Drains: drains})
	first := make(map[string]int)
	for k := range 256 {
		a, err := s.Lookup(prefix4(uint32(10<<24|k<<8), 32).Addr(), "proefbank")
		if err != nil {
			t.Fatal(err)
		}
		first[a.Targets()[0].VM.DataCentre]++
	}
	// r0-b would reach 1.2 and the region's mean is 0.9: a quarter is spilled.
	if first["r0-a"] != 0 || first["r0-c"] < 256*15/100 || first["r0-c"] > 256*35/100 {
		t.Fatalf("first VMs by data centre: %v", first)
	}
}

// Guards against an overloaded VM that keeps its full weight, a weight that changes
// with every report, and answers whose members change with load.
func TestVMWeightFollowsLoad(t *testing.T) {
	reg := testRegister(1)
	vms := testVMs(reg, 3)
	b := New(Config{})
	caller := netip.MustParseAddr("10.0.0.1")
	var members []string
	weight := func(second int, load float64) uint16 {
		for i := range vms {
			vms[i].Load = 0.55
		}
		vms[0].Load = load
		s := mustBuild(t, b, start.Add(time.Duration(second)*time.Second), Input{Register: reg, VMs: vms})
		a, err := s.Lookup(caller, "proefbank")
		if err != nil {
			t.Fatal(err)
		}
		if members == nil {
			members = ids(a)
		}
		if !slices.Equal(members, ids(a)) {
			t.Fatalf("members changed from %v to %v", members, ids(a))
		}
		return uint16(100 * b.weightFactor("vm-0"))
	}
	for _, c := range []struct {
		second    int
		load      float64
		low, high uint16
	}{
		{0, 0.6, 100, 100},  // within the hysteresis band
		{1, 1.1, 60, 70},    // mean 0.73
		{5, 1.1, 60, 70},    // too soon after the previous change
		{13, 0.7, 60, 70},   // within the hysteresis band: 1.17 times the mean
		{14, 0.5, 66, 77},   // raised slowly
		{15, 0.5, 66, 77},   // too soon after the previous change
		{200, 0.5, 72, 100}, // raised further
	} {
		if w := weight(c.second, c.load); w < c.low || w > c.high {
			t.Errorf("second %d, load %.1f: weight %d, want %d to %d", c.second, c.load, w, c.low, c.high)
		}
	}
}

// Guards against answers with the wrong VMs: an older incarnation of a leaving VM, no
// VM at all when only suspected ones remain, and a VM of a distant region before one
// of a nearer region.
func TestSelection(t *testing.T) {
	reg := testRegister(3)
	reg.Links = []register.Link{{A: "r0", B: "r1", OneWayMillis: 80}, {A: "r0", B: "r2", OneWayMillis: 20}}
	caller := netip.MustParseAddr("10.0.0.1")
	lookup := func(change func(vms []VM) []VM) Answer {
		s := mustBuild(t, New(Config{}), start, Input{Register: reg, VMs: change(testVMs(reg, 2))})
		a, err := s.Lookup(caller, "proefbank")
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	same := func(vms []VM) []VM { return vms }
	a := lookup(same)
	if a.Targets()[3].VM.Region != "r2" {
		t.Errorf("remote VM in %s, r2 is nearer", a.Targets()[3].VM.Region)
	}
	old := a.Targets()[0].VM.ID
	a = lookup(func(vms []VM) []VM {
		for _, vm := range vms {
			if vm.ID == old {
				vm.Incarnation, vm.State = 2, Leaving
				return append(vms, vm)
			}
		}
		return vms
	})
	if slices.Contains(ids(a), old) {
		t.Errorf("%s is leaving in its newest incarnation and still in the answer: %v", old, ids(a))
	}
	a = lookup(func(vms []VM) []VM {
		for i := range vms {
			vms[i].State = Leaving
		}
		vms[5].State = Suspected
		return vms
	})
	if got := ids(a); !slices.Equal(got, []string{"vm-5"}) {
		t.Errorf("want only the suspected vm-5: %v", got)
	}
}

// Guards against one VM whose wrong report moves all callers out of its data centre,
// and against weights that are not numbers.
func TestWrongReports(t *testing.T) {
	for _, load := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1} {
		reg := testRegister(1)
		vms := testVMs(reg, 4)
		vms[0].Load = load
		b := New(Config{})
		for second := range 100 {
			mustBuild(t, b, start.Add(time.Duration(second)*time.Second), Input{Register: reg, VMs: vms})
		}
		if keep := b.keepFraction("r0-a"); keep != 1 {
			t.Errorf("load %g: the data centre keeps %g of its callers", load, keep)
		}
		if f := b.weightFactor("vm-0"); !(f >= minWeightFactor && f <= 1) {
			t.Errorf("load %g: factor %g", load, f)
		}
	}
}
