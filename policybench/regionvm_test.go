package policybench

import (
	"strconv"
	"time"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/budget"
	"github.com/currantferry/currantferry/internal/fakeupstream"
	"github.com/currantferry/currantferry/plan"
)

// lossRegions is the number of regions. Instances and entry VMs alternate between them.
const lossRegions = 3

// regionVM is an entry VM with a plan.Gate and a balancer for each region.
type regionVM struct {
	gate        *plan.Gate
	regions     [lossRegions]*currantferry
	budget      *budget.Retry
	ownRegion   int
	grants      map[uint64]*regionGrant
	waiting     []regionWait
	arrivedWork float64 // in slot seconds, since the last measurement
	crashed     bool
	now         time.Time
}

type regionGrant struct {
	plan.Grant
	region, attempts int
	hedges           []plan.Grant
}

// regionWait is a request that waits for admission. attempted says that an attempt of it
// already failed.
type regionWait struct {
	r         *fakeupstream.Request
	until     time.Time
	attempted bool
}

// Bounds on requests that wait for admission in an entry VM. The wait is that of package
// node.
const (
	maxAdmissionWait   = 2 * time.Second
	maxWaitingRequests = 500
)

func lossRegionName(r int) string { return "region-" + strconv.Itoa(r) }

func newRegionVM(cfg fakeupstream.Config, e int) *regionVM {
	v := &regionVM{
		ownRegion: e % lossRegions, grants: make(map[uint64]*regionGrant), budget: budget.NewRetry(budget.Config{}),
		gate: plan.NewGate(plan.GateConfig{VM: "vm-" + strconv.Itoa(100+e), Incarnation: 1, Region: lossRegionName(e % lossRegions)}),
	}
	for r := range v.regions {
		peers, rank := cfg.Entries, e
		if r == v.ownRegion {
			peers, rank = (cfg.Entries+lossRegions-1-r)/lossRegions, e/lossRegions
		}
		v.regions[r] = newCurrantferry(balance.Config{ExpectedShort: cfg.Mean}, cfg.Seed+uint64(r), rank, peers)
		v.regions[r].onHedge = v.recordHedge
	}
	return v
}

func (v *regionVM) Instances(now time.Time, s []fakeupstream.InstanceState) {
	for r := range v.regions {
		var part []fakeupstream.InstanceState
		for i := r; i < len(s); i += lossRegions {
			part = append(part, s[i])
		}
		v.regions[r].Instances(now, part)
	}
}

func (v *regionVM) Report(now time.Time, i int, l fakeupstream.Load) {
	v.regions[i%lossRegions].Report(now, i/lossRegions, l)
}

// toGlobalIndexes converts the instance indexes of starts in a region to those of the whole
// group.
func (v *regionVM) toGlobalIndexes(region int, starts []fakeupstream.Start) []fakeupstream.Start {
	for k := range starts {
		if s := &starts[k]; s.Instance >= 0 {
			s.Instance = s.Instance*lossRegions + region
		}
	}
	return starts
}

func (v *regionVM) Pick(now time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	v.arrivedWork += r.Work.Seconds()
	v.budget.RecordRequest(now, "service", callerName(r))
	if len(v.waiting) == 0 {
		if out, ok := v.tryAdmit(now, r); ok {
			return out
		}
	}
	if len(v.waiting) >= maxWaitingRequests {
		return []fakeupstream.Start{{Request: r, Instance: fakeupstream.Refuse}}
	}
	v.waiting = append(v.waiting, regionWait{r: r, until: now.Add(maxAdmissionWait)})
	return nil
}

// tryAdmit asks the gate to admit a request, and if it does, passes the request to the
// balancer of the granted region.
func (v *regionVM) tryAdmit(now time.Time, r *fakeupstream.Request) ([]fakeupstream.Start, bool) {
	g := v.grants[r.ID]
	if g == nil {
		g = &regionGrant{}
	}
	var refusal error
	if grant, err := v.gate.Admit(now, plan.Request{Service: "service", Bytes: 5000}); err == nil {
		g.Grant = grant
	} else {
		refusal = err
	}
	if refusal != nil {
		return nil, false
	}
	for i := range v.regions {
		if lossRegionName(i) == g.Region() {
			g.region = i
		}
	}
	v.grants[r.ID] = g
	out := v.toGlobalIndexes(g.region, v.regions[g.region].Pick(now, r))
	return v.releaseRefused(now, out), true
}

// releaseRefused releases the grants of the refused requests in starts.
func (v *regionVM) releaseRefused(now time.Time, starts []fakeupstream.Start) []fakeupstream.Start {
	for _, s := range starts {
		if s.Instance == fakeupstream.Refuse {
			v.release(now, s.Request)
		}
	}
	return starts
}

// recordHedge counts a hedge as work in the region of its request.
func (v *regionVM) recordHedge(r *fakeupstream.Request) {
	if g := v.grants[r.ID]; g != nil {
		if h, ok := v.gate.Hedge(v.now, &g.Grant); ok {
			g.hedges = append(g.hedges, h)
		}
	}
}

// release releases the grants of a request and of its hedges.
func (v *regionVM) release(now time.Time, r *fakeupstream.Request) {
	if g := v.grants[r.ID]; g != nil {
		v.gate.Release(now, &g.Grant, 20000)
		for k := range g.hedges {
			v.gate.Release(now, &g.hedges[k], 0)
		}
		delete(v.grants, r.ID)
	}
}

func (v *regionVM) Done(now time.Time, i int, r *fakeupstream.Request, res fakeupstream.Result) []fakeupstream.Start {
	region := i % lossRegions
	out := v.releaseRefused(now, v.toGlobalIndexes(region, v.regions[region].Done(now, i/lossRegions, r, res)))
	if v.crashed {
		return nil
	}
	g := v.grants[r.ID]
	if g != nil && isRetryable(r, res) && g.attempts < maxAttempts-1 &&
		v.budget.Allow(now, "service", callerName(r), 0) == nil {
		g.attempts++
		v.gate.Release(now, &g.Grant, 0)
		v.waiting = append(v.waiting, regionWait{r, now.Add(maxAdmissionWait), true})
		out = append(out, fakeupstream.Start{Request: r, Instance: fakeupstream.Hold})
	} else if res != fakeupstream.Cancelled {
		v.release(now, r)
	}
	return v.startWaiting(now, out)
}

// startWaiting starts waiting requests while the gate admits them, and refuses those that
// waited for maxAdmissionWait.
func (v *regionVM) startWaiting(now time.Time, out []fakeupstream.Start) []fakeupstream.Start {
	for len(v.waiting) > 0 {
		w := v.waiting[0]
		starts, ok := v.tryAdmit(now, w.r)
		if !ok && now.Before(w.until) {
			break
		}
		v.waiting = v.waiting[1:]
		switch {
		case !ok:
			v.release(now, w.r)
			starts = []fakeupstream.Start{{Request: w.r, Instance: fakeupstream.Refuse}}
		case len(starts) == 0 && w.attempted:
			starts = []fakeupstream.Start{{Request: w.r, Instance: fakeupstream.Hold}}
		}
		out = append(out, starts...)
	}
	return out
}

func (v *regionVM) Tick(now time.Time) []fakeupstream.Start {
	if v.crashed {
		return nil
	}
	v.now = now
	var out []fakeupstream.Start
	for r, c := range v.regions {
		c.b.SetUnderPressure(len(v.waiting) > 0 || r == v.ownRegion && v.gate.IsFull("service"))
		out = append(out, v.releaseRefused(now, v.toGlobalIndexes(r, c.Tick(now)))...)
	}
	return v.startWaiting(now, out)
}
