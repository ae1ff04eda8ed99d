package plan

import (
	"encoding/json"
	"testing"
	"time"
)

func reencode(t *testing.T, p *Plan) *Plan {
	t.Helper()
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	out := new(Plan)
	if err := json.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestRandomFleet guards against VMs that together exceed a limit or a cap while
// measurements are late, VMs are isolated, restarted or replaced, regions fail and the
// planner changes.
func TestRandomFleet(t *testing.T) {
	first, rounds := envUint("CURRANTFERRY_SEED", 1), envUint("CURRANTFERRY_ROUNDS", 4)
	for seed := first; seed < first+rounds; seed++ {
		w := newWorld(t, seed)
		failOnViolation(t, w.context)
		for second := range 900 {
			w.now = start.Add(time.Duration(second) * time.Second)
			w.measure()
			if second%5 == 0 && second > 10 && w.rng.IntN(10) > 0 {
				w.replan()
			}
			if second > 60 && w.rng.IntN(12) == 0 {
				w.fault()
			}
			for _, v := range w.vms {
				w.step(v)
			}
			w.checkHeld()
		}
	}
}

// step simulates one second of one VM: it may install the plan, and it admits and
// releases requests.
func (w *world) step(v *testVM) {
	if !v.isolated && w.plan != nil && w.rng.IntN(3) == 0 && v.gate.Version() < w.plan.Version {
		if err := v.gate.SetPlan(w.now, w.plan); err != nil {
			w.t.Fatalf("%v\n%s", err, w.context)
		}
	}
	v.gate.Tick(w.now)
	w.checkShiftCap(v)
	kept := v.flight[:0]
	for _, f := range v.flight {
		if w.now.Before(f.until) {
			kept = append(kept, f)
			continue
		}
		v.gate.Release(w.now, &f.grant, 2e5)
		v.gate.Release(w.now, &f.grant, 2e5) // must have no effect
	}
	v.flight = kept
	v.arriving += w.load[v.region] / 4
	for ; v.arriving >= 1; v.arriving-- {
		g, refusal := v.gate.Admit(w.now, Request{Service: "press", Bytes: 1e4})
		if refusal != nil {
			continue
		}
		if w.rng.IntN(20) == 0 && !v.gate.Next(w.now, &g) {
			continue
		}
		duration := time.Second
		if w.rng.IntN(50) == 0 {
			duration = 30 * time.Second
		}
		v.flight = append(v.flight, testFlight{g, w.now.Add(duration)})
	}
}

// checkShiftCap checks that the shifts of a gate stay under the cap even if it missed
// plans.
func (w *world) checkShiftCap(v *testVM) {
	s := v.gate.services["press"]
	if s == nil || v.gate.share == nil {
		return
	}
	if v.last != nil {
		v.moves = w.underCap("VM "+v.ref.ID, v.moves, movedFraction(v.last, s.effective), 60*time.Second)
	} else {
		v.moves = nil
	}
	v.last = append([]float64(nil), s.effective...)
}

// checkHeld checks that no VM has more work in flight in another region than the plan
// assumes it may be using.
func (w *world) checkHeld() {
	if w.plan == nil {
		return
	}
	for _, v := range w.vms {
		var used [3]int64
		for i := range v.flight {
			if f := &v.flight[i].grant; f.isReserved {
				used[f.target()]++
			}
		}
		share := w.plan.Share(v.ref.ID, v.ref.Incarnation)
		for t, n := range used {
			if t == v.region || n == 0 {
				continue
			}
			if share == nil || n > share.heldAmounts().Slots[0][t] {
				w.t.Fatalf("VM %v uses %d slots of region %d beyond what the plan knows\n%s", v.ref, n, t, w.context)
			}
		}
	}
}
