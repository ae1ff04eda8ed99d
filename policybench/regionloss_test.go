package policybench

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/fakeupstream"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// Times and durations of BenchmarkRegionLoss.
const (
	lossAt              = 60 * time.Second
	lossEnd             = 150 * time.Second
	lossDetectionTime   = 4 * time.Second  // until VMs detect that a region is unreachable
	plannerFailoverTime = 15 * time.Second // after lossAt, until another VM is the planner
	lossCacheTTL        = plan.CacheTTL
)

// lossRun is one run of BenchmarkRegionLoss. Region 0 is lost.
type lossRun struct {
	g       *fakeupstream.Group
	cfg     fakeupstream.Config
	vms     []*regionVM
	reg     *register.Register
	plan    *plan.Plan
	demand  []plan.Demand
	rng     *rand.Rand
	callers [lossRegions][10000]lossCaller
	home    map[uint64]int

	overload      float64
	served        [15][lossRegions][lossRegions]float64 // starts by period of 10 s, region of the caller and of the instance
	sent, shed    [150]float64                          // requests by second of arrival
	arrivalSecond map[uint64]int
	isRegionLost  bool
	ids           uint64
}

// lossCaller is a caller with the cached answer of a lookup: two VMs of its own region, then
// one of each other region.
type lossCaller struct {
	vms   [4]int
	until time.Time
}

func newLossRun(policy string, cfg fakeupstream.Config) *lossRun {
	l := &lossRun{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 43)), home: make(map[uint64]int), arrivalSecond: make(map[uint64]int)}
	cfg.Load = 0 // scheduleArrival submits the requests
	l.g = fakeupstream.New(cfg, func(e int) fakeupstream.Policy {
		if policy == "currantferry" {
			l.vms = append(l.vms, newRegionVM(cfg, e))
			return l.vms[e]
		}
		v := newNaiveVM(policy, cfg, e)
		// A baseline avoids the lost region when the delayed measurements show the loss.
		v.avoid = func(i int) bool {
			return i%lossRegions == 0 && l.g != nil && l.g.Now().After(fakeupstream.Epoch.Add(lossAt+plan.MeasurementDelay))
		}
		return v
	})
	l.register()
	l.g.OnStart = func(now time.Time, r *fakeupstream.Request, i int) {
		if at := now.Sub(fakeupstream.Epoch); at < lossEnd {
			l.served[at/(10*time.Second)][l.home[r.ID]][i%lossRegions]++
		}
	}
	l.g.OnEnd = func(_ time.Time, r *fakeupstream.Request, res fakeupstream.Result) {
		if res != fakeupstream.OK {
			l.shed[l.arrivalSecond[r.ID]]++
		}
		delete(l.home, r.ID)
		delete(l.arrivalSecond, r.ID)
	}
	l.g.At(lossAt, l.loseRegion)
	for at := time.Second; at < lossEnd; at += time.Second {
		l.g.At(at, l.measure)
		if at%(5*time.Second) == 0 && (at < lossAt || at >= lossAt+plannerFailoverTime) {
			l.g.At(at, l.replan)
		}
	}
	for at := lossAt; at < lossEnd; at += 10 * time.Millisecond {
		l.g.At(at, l.sampleOverload)
	}
	l.scheduleArrival()
	return l
}

// register builds the register of the regions, with all instances.
func (l *lossRun) register() {
	l.reg = &register.Register{}
	svc := register.Service{Name: "service"}
	for r := range lossRegions {
		name := lossRegionName(r)
		l.reg.Regions = append(l.reg.Regions, register.Region{Name: name, DataCentres: []register.DataCentre{{Name: name}}})
		for o := range r {
			l.reg.Links = append(l.reg.Links, register.Link{A: lossRegionName(o), B: name, BitsPerSecond: 4e9, OneWayMillis: 55})
		}
	}
	for i := range l.cfg.Instances {
		svc.Instances = append(svc.Instances, register.Instance{
			ID: strconv.Itoa(i), DataCentre: lossRegionName(i % lossRegions), Slots: l.cfg.Slots,
		})
	}
	l.reg.Services = []register.Service{svc}
}

// scheduleArrival schedules the next request. The callers of all regions send at the same
// rate.
func (l *lossRun) scheduleArrival() {
	gap := time.Duration(l.rng.ExpFloat64() * float64(l.cfg.Mean) / (l.cfg.Load * float64(l.cfg.Instances*l.cfg.Slots)))
	at := l.g.Now().Add(gap).Sub(fakeupstream.Epoch)
	home, caller := l.rng.IntN(lossRegions), l.rng.IntN(10000)
	work, read := l.rng.ExpFloat64()*float64(l.cfg.Mean), l.rng.Float64() < 0.8
	if at >= lossEnd {
		return
	}
	l.g.At(at, func() {
		l.sent[at/time.Second]++
		r := &fakeupstream.Request{Entry: l.entry(home, caller), Work: time.Duration(work), Idempotent: read}
		l.submit(r, home, int(at/time.Second))
		l.scheduleArrival()
	})
}

// submit records the request under the ID that Submit will assign to it, because its first
// attempt can start within Submit.
func (l *lossRun) submit(r *fakeupstream.Request, home, second int) {
	l.ids++
	l.home[l.ids], l.arrivalSecond[l.ids] = home, second
	l.g.Submit(r)
}

// entry returns the first VM in the cached lookup of a caller that is not in the lost
// region. It first renews a lookup that has expired.
func (l *lossRun) entry(home, caller int) int {
	c, now := &l.callers[home][caller], l.g.Now()
	if !now.Before(c.until) {
		c.until = now.Add(time.Duration((0.5 + 0.5*l.rng.Float64()) * float64(lossCacheTTL)))
		vmsPerRegion := l.cfg.Entries / lossRegions
		first, order := l.rng.IntN(vmsPerRegion), [2]int{1, 2}
		if l.rng.IntN(2) == 0 {
			order = [2]int{2, 1}
		}
		c.vms = [4]int{
			home + lossRegions*first, home + lossRegions*((first+1)%vmsPerRegion),
			(home+order[0])%lossRegions + lossRegions*l.rng.IntN(vmsPerRegion), (home+order[1])%lossRegions + lossRegions*l.rng.IntN(vmsPerRegion),
		}
	}
	for _, e := range c.vms {
		if !l.isRegionLost || e%lossRegions != 0 {
			return e
		}
	}
	panic("no VM answers")
}

// loseRegion stops all instances and VMs of region 0.
func (l *lossRun) loseRegion() {
	l.isRegionLost = true
	for e := 0; e < len(l.vms); e += lossRegions {
		l.vms[e].crashed = true
	}
	for i := 0; i < l.cfg.Instances; i += lossRegions {
		l.g.Stop(i)
	}
	l.g.At(lossAt+lossDetectionTime, func() {
		for _, v := range l.vms {
			if !v.crashed {
				v.gate.Observe(l.g.Now(), lossRegionName(0), plan.RegionUnreachable)
			}
		}
	})
}

// measure records the demand since the last measurement. The planner receives it later.
func (l *lossRun) measure() {
	var slots [lossRegions]float64
	for _, v := range l.vms {
		if !v.crashed {
			v.gate.Tick(l.g.Now())
			slots[v.ownRegion] += v.arrivedWork
			v.arrivedWork = 0
		}
	}
	for r, n := range slots {
		l.demand = append(l.demand, plan.Demand{
			Service: "service", Origin: lossRegionName(r), At: l.g.Now(), Slots: n,
			RequestBytes: 5000 * n / l.cfg.Mean.Seconds(), AnswerBytes: 20000 * n / l.cfg.Mean.Seconds(),
		})
	}
}

// replan computes a plan from the mean of the measurements that are between one and two
// times plan.MeasurementDelay (10 s) old, and delivers it to the VMs a second later.
func (l *lossRun) replan() {
	now := l.g.Now()
	in := plan.Input{Now: now, ChangeID: now.String(), Register: l.reg, Rules: &rules.Rules{}, Previous: l.plan}
	means := make(map[string]plan.Demand)
	n := 0.0
	for _, d := range l.demand {
		if age := now.Sub(d.At); age < plan.MeasurementDelay || age >= 2*plan.MeasurementDelay {
			continue
		}
		m := means[d.Origin]
		d.Slots, d.RequestBytes, d.AnswerBytes = d.Slots+m.Slots, d.RequestBytes+m.RequestBytes, d.AnswerBytes+m.AnswerBytes
		means[d.Origin] = d
		n += 1.0 / lossRegions
	}
	for _, m := range means {
		m.Slots, m.RequestBytes, m.AnswerBytes = m.Slots/n, m.RequestBytes/n, m.AnswerBytes/n
		in.Demand = append(in.Demand, m)
	}
	measuredAt := now.Add(-plan.MeasurementDelay)
	for r := range lossRegions {
		slots := l.reg.Slots("service", lossRegionName(r))
		if r == 0 && measuredAt.After(fakeupstream.Epoch.Add(lossAt)) {
			slots = 0
		}
		in.Capacity = append(in.Capacity, plan.Capacity{Service: "service", Region: lossRegionName(r), At: measuredAt, Slots: float64(slots)})
	}
	for e, v := range l.vms {
		if !v.crashed {
			in.VMs = append(in.VMs, plan.VM{
				ID: "vm-" + strconv.Itoa(100+e), Incarnation: 1, Region: lossRegionName(v.ownRegion), Confirmed: v.gate.Confirmed(),
			})
		}
	}
	p, _, err := plan.Compute(in)
	if err != nil {
		panic(err)
	}
	l.plan = p
	l.g.At(now.Add(time.Second).Sub(fakeupstream.Epoch), func() {
		for _, v := range l.vms {
			if !v.crashed {
				if err := v.gate.SetPlan(l.g.Now(), p); err != nil {
					panic(err)
				}
			}
		}
	})
}

// sampleOverload adds the requests in flight beyond the slots in the remaining regions,
// multiplied by the sampling interval of 10 ms.
func (l *lossRun) sampleOverload() {
	var over [lossRegions]int
	for i := range l.cfg.Instances {
		running, queued := l.g.InFlight(i)
		over[i%lossRegions] += running + queued - l.cfg.Slots
	}
	for _, n := range over[1:] {
		l.overload += float64(max(0, n)) * 0.01
	}
}

// capExcess returns the part of all traffic, in percent, that moved beyond the caps within
// any 60 s. The minute cap applies to callers of the remaining regions, the failover cap
// to those of the lost region.
func (l *lossRun) capExcess() float64 {
	var share [15][lossRegions][lossRegions]float64
	for t := range share {
		for h := range lossRegions {
			sum := 0.0
			for _, n := range l.served[t][h] {
				sum += n
			}
			for r, n := range l.served[t][h] {
				share[t][h][r] = n / max(1, sum)
			}
		}
	}
	maxExcess := 0.0
	for from := 3; from < 15; from++ {
		for to := from; to < min(15, from+6); to++ {
			moved, failover := 0.0, 0.0
			for h := range lossRegions {
				for r := range lossRegions {
					m := max(0, share[to][h][r]-share[from][h][r]) * 100 / lossRegions
					if h == 0 {
						failover += m
					} else {
						moved += m
					}
				}
			}
			maxExcess = max(maxExcess, moved-rules.DefaultMinutePercent, failover-rules.DefaultFailoverPercent)
		}
	}
	return maxExcess
}

// BenchmarkRegionLoss measures the loss of one of three regions at 60 % load: its instances
// and entry VMs stop, and its callers continue with the next VM of their cached lookups.
func BenchmarkRegionLoss(b *testing.B) {
	for _, s := range services {
		for _, policy := range []string{"currantferry", "random", "least-report"} {
			b.Run(s.name+"/"+policy, func(b *testing.B) {
				var l *lossRun
				for b.Loop() {
					cfg, _ := fakeupstream.Deployment(s.deployment, s.service)
					if cfg.Mean == 0 {
						cfg.Mean = 20 * time.Millisecond
					}
					cfg.Seed, cfg.Entries, cfg.Load = envUint(b, "CURRANTFERRY_SEED", defaultSeed), 12, 0.6
					cfg.Regions, cfg.BetweenRegions, cfg.ReportDelay = lossRegions, 55*time.Millisecond, plan.MeasurementDelay
					cfg.Length, cfg.Warmup = lossEnd-time.Second, time.Second
					l = newLossRun(policy, cfg)
					l.g.Run()
				}
				sent, shed, recovered := 0.0, 0.0, 0
				for t := int(lossAt / time.Second); t < int(lossEnd/time.Second); t++ {
					sent, shed = sent+l.sent[t], shed+l.shed[t]
					if l.shed[t] > 0.02*l.sent[t] {
						recovered = t + 1 - int(lossAt/time.Second)
					}
				}
				b.ReportMetric(l.overload, "overload-slot-s")
				b.ReportMetric(l.capExcess(), "cap-excess-%")
				b.ReportMetric(100*shed/sent, "shed-%")
				b.ReportMetric(float64(recovered), "recover-s")
			})
		}
	}
}
