package policybench

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/internal/fakeupstream"
)

// guardedVM applies package crashguard to the choices of a VM and broadcasts its crash
// reports.
type guardedVM struct {
	*budgetedVM
	guard     *crashguard.Guard
	tickets   map[attempt]crashguard.Ticket
	suspects  []*suspectSend
	broadcast func(reports []crashguard.CrashReport)
}

// suspectSend is a request that waits until the guard allows its trial on an instance.
type suspectSend struct {
	r        *fakeupstream.Request
	instance int
	until    time.Time
}

// poisonRequest returns the request as the guard identifies it. All crashing requests have
// the same fingerprint, the others have different ones.
func poisonRequest(r *fakeupstream.Request) crashguard.Request {
	key := callerName(r)
	if r.Crashes {
		key = "poison"
	} else {
		key += "/" + time.Duration(r.ID).String()
	}
	return crashguard.Request{Fingerprint: crashguard.KeyFingerprint("service", key), Service: "service", Text: key}
}

// admit applies the guard to starts: it lets them pass, holds them or refuses them.
func (p *guardedVM) admit(now time.Time, starts []fakeupstream.Start) []fakeupstream.Start {
	for k := range starts {
		s := &starts[k]
		if s.Instance < 0 {
			continue
		}
		d := p.guard.Begin(now, poisonRequest(s.Request), p.ids[s.Instance])
		if d.Action == crashguard.Start {
			p.tickets[attempt{s.Request.ID, s.Instance}] = d.Ticket
			continue
		}
		// Releases the chosen instance.
		p.currantferry.Done(now, s.Instance, s.Request, fakeupstream.Cancelled)
		instance := s.Instance
		s.Instance = fakeupstream.Refuse
		switch d.Action {
		case crashguard.Wait, crashguard.OtherInstance:
			s.Instance = fakeupstream.Hold
			p.suspects = append(p.suspects, &suspectSend{s.Request, instance, d.Until})
		case crashguard.Start, crashguard.Refuse:
		}
	}
	p.broadcast(p.guard.Outbox(0))
	return starts
}

func (p *guardedVM) Pick(now time.Time, r *fakeupstream.Request) []fakeupstream.Start {
	return p.admit(now, p.budgetedVM.Pick(now, r))
}

func (p *guardedVM) Tick(now time.Time) []fakeupstream.Start {
	out := p.admit(now, p.budgetedVM.Tick(now))
	for _, s := range p.suspects {
		if now.Before(s.until) {
			continue
		}
		switch d := p.guard.Begin(now, poisonRequest(s.r), p.ids[s.instance]); d.Action {
		case crashguard.Start:
			p.tickets[attempt{s.r.ID, s.instance}] = d.Ticket
			out = append(out, fakeupstream.Start{Request: s.r, Instance: s.instance})
		case crashguard.Wait:
			s.until = d.Until
			continue
		case crashguard.OtherInstance:
			s.instance, s.until = (s.instance+1)%len(p.ids), now
			continue
		case crashguard.Refuse:
			out = append(out, fakeupstream.Start{Request: s.r, Instance: fakeupstream.Refuse})
		}
		s.r = nil
	}
	kept := p.suspects[:0]
	for _, s := range p.suspects {
		if s.r != nil {
			kept = append(kept, s)
		}
	}
	p.suspects = kept
	p.broadcast(p.guard.Outbox(0))
	return out
}

func (p *guardedVM) Done(now time.Time, i int, r *fakeupstream.Request, res fakeupstream.Result) []fakeupstream.Start {
	key := attempt{r.ID, i}
	o := crashguard.Unknown
	switch res {
	case fakeupstream.OK:
		o = crashguard.Success
	case fakeupstream.Lost:
		o = crashguard.Crashed
	case fakeupstream.Refused, fakeupstream.ConnectFailed, fakeupstream.Cancelled:
	}
	p.guard.End(now, p.tickets[key], o)
	delete(p.tickets, key)
	return p.admit(now, p.budgetedVM.Done(now, i, r, res))
}

// poisonRun is the result of one run of BenchmarkPoison.
type poisonRun struct {
	crashes, innocentsRefused int // crashes of instances; refused requests that crash none
}

// runPoison sends a crashing read 20 times, through one entry VM after another. Its caller
// ignores Retry-After: it resends 5 ms after it receives a failure, and also after 2 s
// without an answer. The entry VMs are in three regions, the caller in one of them. Answers,
// resends and crash reports take the latency between the regions.
func runPoison(policy string, cfg fakeupstream.Config) poisonRun {
	delays := rand.New(rand.NewPCG(cfg.Seed, 42))
	var vms []*guardedVM
	var g *fakeupstream.Group
	g = fakeupstream.New(cfg, func(e int) fakeupstream.Policy {
		if policy != "currantferry" {
			return newNaiveVM(policy, cfg, e)
		}
		vm := &guardedVM{
			budgetedVM: newBudgetedVM(cfg, e), guard: crashguard.New(crashguard.Config{VM: callerName(&fakeupstream.Request{ID: uint64(e)})}),
			tickets: make(map[attempt]crashguard.Ticket),
		}
		vm.broadcast = func(reports []crashguard.CrashReport) {
			for to := range vms {
				if to != e && len(reports) > 0 {
					at := g.Now().Add(latency(e, to) + time.Duration(delays.Float64()*float64(3*time.Millisecond)))
					g.At(at.Sub(fakeupstream.Epoch), func() { vms[to].guard.Merge(g.Now(), reports) })
				}
			}
		}
		vms = append(vms, vm)
		return vm
	})
	var send func(n int)
	isSent := make(map[int]bool)
	resend := func(n int, after time.Duration) {
		g.At(g.Now().Add(after).Sub(fakeupstream.Epoch), func() {
			if !isSent[n] {
				isSent[n] = true
				send(n)
			}
		})
	}
	send = func(n int) {
		if n >= 20 {
			return
		}
		resend(n+1, 2*time.Second)
		g.Submit(&fakeupstream.Request{Entry: n % cfg.Entries, Idempotent: true, Work: cfg.Mean, Crashes: true, Resend: n})
	}
	var run poisonRun
	g.OnEnd = func(now time.Time, r *fakeupstream.Request, res fakeupstream.Result) {
		switch {
		case r.Crashes:
			// The answer is sent to the caller, and then the resend to the next VM.
			resend(r.Resend+1, latency(0, r.Entry)+5*time.Millisecond+latency(0, (r.Resend+1)%cfg.Entries))
		case res == fakeupstream.Refused && len(vms) > 0:
			if vms[r.Entry].guard.IsSuspect(now, poisonRequest(r).Fingerprint) {
				run.innocentsRefused++
			}
		}
	}
	g.At(cfg.Warmup, func() { send(0) })
	st := g.Run()
	run.crashes = st.Crashes
	return run
}

// latency returns the latency between two entry VMs. The caller is in the region of VM 0.
func latency(a, b int) time.Duration {
	const regions = 3
	if a%regions == b%regions {
		return time.Millisecond
	}
	return 55 * time.Millisecond
}

// BenchmarkPoison counts the crashes of instances that one request causes at 60 % load, and
// the other requests that were refused because of it.
func BenchmarkPoison(b *testing.B) {
	for _, s := range services {
		for _, policy := range []string{"currantferry", "random", "least-report"} {
			b.Run(s.name+"/"+policy, func(b *testing.B) {
				var run poisonRun
				for b.Loop() {
					cfg, _ := fakeupstream.Deployment(s.deployment, s.service)
					cfg.Seed, cfg.Entries, cfg.Load = envUint(b, "CURRANTFERRY_SEED", defaultSeed), 12, 0.6
					cfg.Warmup, cfg.Length = 5*time.Second, 45*time.Second
					run = runPoison(policy, cfg)
				}
				b.ReportMetric(float64(run.crashes), "instances-lost")
				b.ReportMetric(float64(run.innocentsRefused), "innocents-refused")
			})
		}
	}
}
