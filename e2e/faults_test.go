package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/standin"
	storestandin "github.com/currantferry/currantferry/store/standin"
)

// fault is a failure and its repair. Faults of the same resource do not overlap.
type fault struct {
	name       string
	resource   string
	begin, end func(r *run)
}

// faultKinds holds a function for each kind that draws a fault of this kind.
var faultKinds = []func(r *run, rng *rand.Rand) fault{
	vmFault("kill", func(r *run, v *vm) { r.terminate(v, syscall.SIGKILL) }, (*run).restart),
	vmFault("freeze", func(_ *run, v *vm) { v.signal(syscall.SIGSTOP) }, func(_ *run, v *vm) { v.signal(syscall.SIGCONT) }),
	vmFault("cut peers", func(r *run, v *vm) { r.cutPeers(v, true) }, func(r *run, v *vm) { r.cutPeers(v, false) }),
	vmFault("cut store", func(_ *run, v *vm) { v.store.SetCut(true) }, func(_ *run, v *vm) { v.store.SetCut(false) }),
	vmFault("cut both", func(r *run, v *vm) { r.cutPeers(v, true); v.store.SetCut(true) },
		func(r *run, v *vm) { r.cutPeers(v, false); v.store.SetCut(false) }),
	vmFault("graceful stop", func(r *run, v *vm) { r.terminate(v, syscall.SIGTERM) }, (*run).restart),
	storeFault("store down", storestandin.Fault{Down: true}),
	storeFault("store slow", storestandin.Fault{DelayMillis: 5000}),
	storeFault("stuck watches", storestandin.Fault{StuckWatches: true}),
	storeFault("lost replies", storestandin.Fault{LoseReplies: 8}),
	instanceFault("crash", func(r *run, id string) { r.c.upstreams[id].Close() },
		func(r *run, id string) { r.c.startUpstream(id, r.instances[id]) }),
	instanceFault("slow", func(r *run, id string) { r.c.upstreams[id].SetFactor(10) },
		func(r *run, id string) { r.c.upstreams[id].SetFactor(1) }),
	instanceFault("shed", func(r *run, id string) { r.c.upstreams[id].SetShed(true) },
		func(r *run, id string) { r.c.upstreams[id].SetShed(false) }),
	drainFault,
	crashingRequest,
}

func vmFault(name string, begin, end func(*run, *vm)) func(*run, *rand.Rand) fault {
	return func(r *run, rng *rand.Rand) fault {
		v := r.c.vms[rng.IntN(len(r.c.vms))]
		return fault{
			name: name + " " + v.id, resource: v.id,
			begin: func(r *run) { begin(r, v) }, end: func(r *run) { end(r, v) },
		}
	}
}

func storeFault(name string, f storestandin.Fault) func(*run, *rand.Rand) fault {
	return func(*run, *rand.Rand) fault {
		return fault{
			name: name, resource: "store",
			begin: func(r *run) { r.c.store.SetFault(f) },
			end:   func(r *run) { r.c.store.SetFault(storestandin.Fault{}) },
		}
	}
}

func instanceFault(name string, begin, end func(*run, string)) func(*run, *rand.Rand) fault {
	return func(r *run, rng *rand.Rand) fault {
		id := r.instanceIDs[rng.IntN(len(r.instanceIDs))]
		return fault{
			name: name + " " + id, resource: id,
			begin: func(r *run) { begin(r, id) }, end: func(r *run) { end(r, id) },
		}
	}
}

func drainFault(r *run, rng *rand.Rand) fault {
	targets := []rules.Drain{
		{Kind: rules.TargetInstance, Target: r.instanceIDs[rng.IntN(len(r.instanceIDs))]},
		{Kind: rules.TargetDataCentre, Target: places[rng.IntN(len(places))].dataCentre},
		{Kind: rules.TargetVM, Target: r.c.vms[rng.IntN(len(r.c.vms))].id},
	}
	d := targets[rng.IntN(len(targets))]
	d.ID = "drain"
	return fault{
		name: fmt.Sprintf("drain %s %s", d.Kind, d.Target), resource: "rules",
		begin: func(r *run) { r.publish([]rules.Drain{d}) },
		end:   func(r *run) { r.publish(nil) },
	}
}

// crashingRequest returns a fault that sends a request which crashes the instance that
// runs it, and resends it through other VMs as callers do.
func crashingRequest(r *run, rng *rand.Rand) fault {
	id, first := fmt.Sprintf("poison-%d", rng.Uint32()), rng.IntN(len(r.c.vms))
	return fault{name: "crashing request " + id, resource: "crash", begin: func(r *run) {
		for i := range 3 {
			header := map[string]string{standin.HeaderCrash: "1", standin.HeaderRequestID: id}
			r.send(r.c.vms[(first+i)%len(r.c.vms)], http.MethodGet, "", header, id)
		}
	}, end: func(*run) {}}
}

// cutPeers cuts or restores the connections between a VM and its peers, in both
// directions.
func (r *run) cutPeers(v *vm, cut bool) {
	r.cutMu.Lock()
	if cut {
		r.cutOff[v.id] = true
	} else {
		delete(r.cutOff, v.id)
	}
	r.cutMu.Unlock()
	r.applyCuts()
}

// faultEvent is the beginning or the end of a fault.
type faultEvent struct {
	at      time.Duration
	isBegin bool
	fault   fault
}

// Bounds of the drawn durations. A freeze of up to 6 s can exceed the planner's lease of
// 5 s.
const (
	minFaultDuration = time.Second
	maxFaultDuration = 6 * time.Second
	maxFaultGap      = 1500 * time.Millisecond
)

// timeline draws the faults in two sequences. Within a sequence they don't overlap, so that
// at most two faults are active at a time.
func (r *run) timeline(rng *rand.Rand, rounds int) []faultEvent {
	var events []faultEvent
	type span struct {
		resource string
		from, to time.Duration
	}
	var spans []span
	var next [2]time.Duration
	for n := 0; n < rounds; {
		sequence := 0
		if next[1] < next[0] {
			sequence = 1
		}
		from := next[sequence] + time.Duration(rng.Int64N(int64(maxFaultGap)))
		to := from + minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		f := faultKinds[rng.IntN(len(faultKinds))](r, rng)
		if slices.ContainsFunc(spans, func(s span) bool { return s.resource == f.resource && from < s.to && s.from < to }) {
			continue
		}
		spans = append(spans, span{f.resource, from, to})
		next[sequence] = to
		events = append(events, faultEvent{from, true, f}, faultEvent{to, false, f})
		n++
	}
	slices.SortStableFunc(events, func(a, b faultEvent) int { return int(a.at - b.at) })
	return events
}
