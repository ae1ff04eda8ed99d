package plan

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testRegister returns a register with three regions of one data centre each, and one
// service with the given number of instances of 10 slots per region.
func testRegister(instances int) *register.Register {
	reg := &register.Register{Name: "test"}
	svc := register.Service{Name: "press", Priority: 5}
	for r, name := range []string{"a", "b", "c"} {
		reg.Regions = append(reg.Regions, register.Region{Name: name, DataCentres: []register.DataCentre{{Name: name + "1"}}})
		for i := range instances {
			svc.Instances = append(svc.Instances, register.Instance{ID: fmt.Sprintf("%s-%d", name, i), DataCentre: name + "1", Slots: 10})
		}
		for _, other := range []string{"a", "b", "c"}[:r] {
			reg.Links = append(reg.Links, register.Link{A: other, B: name, BitsPerSecond: 4e9, OneWayMillis: 55})
		}
	}
	reg.Services = []register.Service{svc}
	return reg
}

func testInput(now time.Time, demand ...float64) Input {
	in := Input{Now: now, ChangeID: "test", Register: testRegister(10), Rules: &rules.Rules{}}
	for r, name := range []string{"a", "b", "c"} {
		in.Demand = append(in.Demand, Demand{Service: "press", Origin: name, At: now.Add(-MeasurementDelay), Slots: demand[r], RequestBytes: 1e6, AnswerBytes: 1e7})
		in.Capacity = append(in.Capacity, Capacity{Service: "press", Region: name, At: now.Add(-MeasurementDelay), Slots: 100})
		for i := range 2 {
			in.VMs = append(in.VMs, VM{ID: fmt.Sprintf("vm-%s%d", name, i), Incarnation: 1, Region: name, DataCentre: name + "1"})
		}
	}
	return in
}

func mustCompute(t *testing.T, in Input) (*Plan, []Move) {
	t.Helper()
	p, moves, err := Compute(in)
	if err != nil {
		t.Fatal(err)
	}
	return p, moves
}

// failOnViolation makes every violated invariant fail the test.
func failOnViolation(t *testing.T, context string) {
	t.Helper()
	t.Cleanup(invariant.OnViolation(func(v invariant.Violation) { t.Fatalf("%v\n%s", v, context) }))
}

// violates reports whether f violates the named invariant.
func violates(name invariant.Name, f func()) bool {
	hit := false
	defer invariant.OnViolation(func(v invariant.Violation) { hit = hit || v.Name == name })()
	f()
	return hit
}

func envUint(name string, def uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return def
}

// world simulates a fleet of gates with a planner, late measurements and faults.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	reg     *register.Register
	rules   *rules.Rules
	drains  *drain.Tracker
	plan    *Plan
	vms     []*testVM
	gone    []Ref
	load    [3]float64
	up      [3]float64 // fraction of instances that are healthy
	history []Input    // measurements, the newest last
	shifts  map[int][]Shift
	context string
}

type testVM struct {
	ref      Ref
	region   int
	gate     *Gate
	isolated bool // receives no plans and is unreachable
	flight   []testFlight
	last     []float64
	moves    []Shift
	arriving float64
}

type testFlight struct {
	grant Grant
	until time.Time
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, reg: testRegister(10), rules: &rules.Rules{},
		drains: drain.New(drain.Config{}), load: [3]float64{60, 60, 60}, up: [3]float64{1, 1, 1}, shifts: make(map[int][]Shift),
		context: fmt.Sprintf("seed %d: CURRANTFERRY_SEED=%d go test ./plan -run TestRandomFleet", seed, seed),
	}
	w.drains.Set(w.now, w.reg, w.rules)
	for i := range 12 {
		w.vms = append(w.vms, w.newVM(Ref{fmt.Sprintf("vm%02d", i), 1}, i%3))
	}
	return w
}

func (w *world) newVM(ref Ref, region int) *testVM {
	return &testVM{ref: ref, region: region, gate: NewGate(GateConfig{VM: ref.ID, Incarnation: ref.Incarnation, Region: w.reg.Regions[region].Name})}
}

// fault applies one random event.
func (w *world) fault() {
	r, v := w.rng.IntN(3), w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(11) {
	case 0:
		w.load[r] = 20 + 100*w.rng.Float64()
	case 1:
		w.up[r] = 0
		w.observe(r, RegionNoUpstreams)
	case 2, 8, 9, 10:
		w.up[r] = 0.6 + 0.4*w.rng.Float64()
		w.observe(r, RegionUp)
	case 3:
		v.isolated = !v.isolated
	case 4: // replaced
		i := w.rng.IntN(len(w.vms))
		w.gone = append(w.gone, w.vms[i].ref)
		w.vms[i] = w.newVM(Ref{w.vms[i].ref.ID + "x", 1}, w.vms[i].region)
	case 5: // restarted
		i := w.rng.IntN(len(w.vms))
		w.vms[i] = w.newVM(Ref{w.vms[i].ref.ID, w.vms[i].ref.Incarnation + 1}, w.vms[i].region)
	case 6:
		w.plan = reencode(w.t, w.plan) // another VM becomes the planner
	case 7:
		w.observe(r, RegionUnreachable)
	}
}

func (w *world) observe(r int, s RegionState) {
	for _, v := range w.vms {
		if w.rng.IntN(5) > 0 {
			v.gate.Observe(w.now, w.reg.Regions[r].Name, s)
			v.last = nil // the cap on ordinary shifts doesn't apply to a loss
		}
	}
}

// measure records the measurements that the planner receives later.
func (w *world) measure() {
	in := Input{Now: w.now}
	for r, name := range w.reg.RegionNames() {
		noise := 0.9 + 0.2*w.rng.Float64()
		in.Demand = append(in.Demand, Demand{Service: "press", Origin: name, At: w.now, Slots: w.load[r] * noise, RequestBytes: 1e6, AnswerBytes: 1e7})
		in.Capacity = append(in.Capacity, Capacity{Service: "press", Region: name, At: w.now, Slots: 100 * w.up[r]})
	}
	w.history = append(w.history, in)
}

func (w *world) replan() {
	in := Input{
		Now: w.now, ChangeID: w.now.String(), Register: w.reg, Rules: w.rules, Drains: w.drains,
		Previous: w.plan, Gone: w.gone,
	}
	for i := range w.history {
		if age := w.now.Sub(w.history[i].Now); age >= MeasurementDelay && age < MaxMeasurementAge+MeasurementDelay {
			in.Demand = append(in.Demand, w.history[i].Demand...)
			in.Capacity = append(in.Capacity, w.history[i].Capacity...)
		}
	}
	for _, v := range w.vms {
		if !v.isolated {
			in.VMs = append(in.VMs, VM{ID: v.ref.ID, Incarnation: v.ref.Incarnation, Region: w.reg.Regions[v.region].Name, Confirmed: v.gate.Confirmed()})
		}
	}
	p, _ := mustCompute(w.t, in)
	if w.plan != nil {
		for o := range p.Services[0].Rows {
			m := movedFraction(w.plan.Services[0].Rows[o].Share, p.Services[0].Rows[o].Share)
			w.shifts[o] = w.underCap(fmt.Sprintf("row %d of the plan", o), w.shifts[o], m, 60*time.Second+CacheTTL)
		}
	}
	w.plan = p
}

// underCap checks the sum of shifts within a window against the caps, independently of
// the sums that the package keeps.
func (w *world) underCap(what string, shifts []Shift, amount float64, window time.Duration) []Shift {
	shifts = append(shifts, Shift{At: w.now, Amount: amount})
	for w.now.Sub(shifts[0].At) >= window {
		shifts = shifts[1:]
	}
	if sum := sumShifts(shifts); sum > rules.DefaultMinutePercent/100.0+epsilon || amount > rules.DefaultStepPercent/100.0+epsilon {
		w.t.Fatalf("%s moves %.3f within %v\n%s", what, sum, window, w.context)
	}
	return shifts
}
