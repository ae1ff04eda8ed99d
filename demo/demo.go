package demo

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/caller"
	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/report"
	"github.com/currantferry/currantferry/rules"
	storestandin "github.com/currantferry/currantferry/store/standin"
)

// Options of a run.
type Options struct {
	// Seed of the traffic.
	Seed uint64
	// Duration of the traffic. Zero means 15 s; at least 8 s.
	Duration time.Duration
	// Log receives the events of all VMs. Nil means none.
	Log *slog.Logger
	// Hold is called with the fleet and the result of the run, before the
	// fleet is closed. Nil means that it is closed at once.
	Hold func(*Fleet, *Result)
}

const (
	defaultDuration = 15 * time.Second
	minDuration     = 8 * time.Second
	startTimeout    = 20 * time.Second
	// maxInForceDelay is the brief's bound for a configuration.
	maxInForceDelay = 8 * time.Second
	// maxDrainDelay is the bound for new work on a drained instance.
	maxDrainDelay = 2 * time.Second
	// stopTimeout bounds the graceful stop, and stableTimeout the wait before it.
	stopTimeout   = 20 * time.Second
	stableTimeout = 10 * time.Second
	// stableTime without a failed request shows that the failures are over.
	stableTime = time.Second
)

// Result is the report of a run and the promises that it broke.
type Result struct {
	Report report.Report `json:"report"`
	Broken []string      `json:"broken"`
}

// run is one run of the scenario.
type run struct {
	fleet   *Fleet
	traffic *traffic
	report  report.Report
	broken  []string
}

// Run plays the scenario.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Duration < minDuration {
		return nil, errors.Errorf("demo: duration %s is below %s", o.Duration, minDuration)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := StartFleet(startCtx, o.Log)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	client := caller.New(caller.Options{Bootstrap: fleet.Callers(), Seed: o.Seed})
	defer client.Close()
	t := newTraffic(client, fleet.Ledger, o.Seed)
	// Traffic goes on until the last failure is over.
	trafficCtx, stopTraffic := context.WithTimeout(ctx, o.Duration+stableTimeout+stopTimeout)
	defer stopTraffic()
	var group conc.WaitGroup
	group.Go(func() { t.run(trafficCtx) })
	r := &run{fleet: fleet, traffic: t}
	end := time.Now().Add(o.Duration)
	r.runSteps(trafficCtx, o.Duration)
	select {
	case <-time.After(time.Until(end)):
	case <-trafficCtx.Done():
	}
	stopTraffic()
	group.Wait()
	r.finish(t)
	result := &Result{Report: r.report, Broken: r.broken}
	if o.Hold != nil {
		o.Hold(fleet, result)
	}
	return result, nil
}

// runSteps makes the failures, at fractions of the duration.
func (r *run) runSteps(ctx context.Context, d time.Duration) {
	steps := []struct {
		at   float64
		step func(ctx context.Context)
	}{
		{0.12, r.drain},
		{0.35, r.crashVM},
		{0.50, r.startOutage},
		{0.65, r.endOutage},
		{0.70, r.replaceVM},
		{0.75, r.stopVM},
	}
	start := time.Now()
	for _, s := range steps {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(s.at * float64(d))))):
			s.step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) fail(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *run) recordMove(what, why string) {
	r.report.Moves = append(r.report.Moves, report.Move{What: what, Why: why})
}

// drain takes one instance out as planned, and checks that its work ends whole.
func (r *run) drain(ctx context.Context) {
	const target = serviceReads + "-rotterdam-a-1"
	r.fleet.Rules = &rules.Rules{Drains: []rules.Drain{{
		ID: "drain-1", Kind: rules.TargetInstance, Target: target, Reason: "kernel update", By: "demo",
	}}}
	took, err := r.fleet.Publish(ctx, "planned drain of "+target)
	if err != nil {
		r.fail("drain not in force: %v", err)
		return
	}
	if took > maxInForceDelay {
		r.fail("drain in force after %s", took)
	}
	inForceSince := time.Now()
	upstream := r.fleet.upstreams[target]
	for {
		running, waiting := upstream.Running()
		if running+waiting == 0 && time.Since(inForceSince) > maxDrainDelay/2 {
			break
		}
		if ctx.Err() != nil {
			r.fail("drain of %s did not end", target)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	if late := upstream.LastNew().Sub(inForceSince); late > maxDrainDelay {
		r.fail("new work on %s %s after the drain", target, late)
	}
	r.recordMove("all work of "+target+" to its neighbours", fmt.Sprintf("planned drain: kernel update; in force on all VMs in %d ms", took.Milliseconds()))
}

// crashVM ends an entry VM without notice.
func (r *run) crashVM(context.Context) {
	r.traffic.beginCrashPhase()
	r.fleet.Kill("vm-2")
	r.recordMove("callers of vm-2 to vm-1 and vm-3", "vm-2 died without notice")
}

// startOutage takes the store away.
func (r *run) startOutage(context.Context) {
	r.fleet.Store.SetFault(storestandin.Fault{Down: true})
}

// endOutage brings the store back and makes a change.
func (r *run) endOutage(ctx context.Context) {
	r.fleet.Store.SetFault(storestandin.Fault{})
	r.fleet.Rules = &rules.Rules{}
	took, err := r.fleet.Publish(ctx, "drain cancelled after the update")
	if err != nil {
		r.fail("change after the outage not in force: %v", err)
		return
	}
	if took > maxInForceDelay {
		r.fail("change in force after %s", took)
	}
	r.recordMove("work back to "+serviceReads+"-rotterdam-a-1, by ramp", fmt.Sprintf("drain cancelled after the store came back; in force in %d ms", took.Milliseconds()))
}

// replaceVM starts a VM in the place of the one that died.
func (r *run) replaceVM(ctx context.Context) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	start := time.Now()
	if err := r.fleet.Replace(startCtx, "vm-4", 1); err != nil {
		r.fail("replacement of vm-2: %v", err)
		return
	}
	r.recordMove("callers to vm-4", fmt.Sprintf("vm-4 replaces vm-2; it takes callers after %d ms", time.Since(start).Milliseconds()))
}

// stopVM ends an entry VM gracefully, once callers no longer feel the failures
// before, and checks that they do not feel the stop.
func (r *run) stopVM(ctx context.Context) {
	if !r.traffic.waitStable(ctx) {
		r.fail("requests still failed %s after the recovery", stableTimeout)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	r.traffic.beginStop()
	start := time.Now()
	cutOff, ok := r.fleet.Stop(bounded, "vm-3")
	r.traffic.endStop()
	if !ok || cutOff > 0 || bounded.Err() != nil {
		r.fail("graceful stop of vm-3: %d requests cut off after %s", cutOff, time.Since(start))
	}
	r.recordMove("callers of vm-3 to vm-1 and vm-4", fmt.Sprintf("vm-3 stopped gracefully in %d ms", time.Since(start).Milliseconds()))
}

// finish adds the counts and the broken promises.
func (r *run) finish(t *traffic) {
	seen, broken := t.result()
	r.broken = append(r.broken, broken...)
	for _, v := range invariant.Recent() {
		r.fail("%s", v)
	}
	cut := r.fleet.Ledger.CutOff()
	r.report.Name = "currantferry demo"
	r.report.At = time.Now()
	r.report.Version = r.fleet.version
	r.report.Answered = seen.answered
	r.report.Refused = seen.refused
	r.report.Retried = make(map[string]int64)
	for _, n := range r.fleet.nodes {
		for reason, count := range n.Metrics().Retries() {
			r.report.Retried[string(reason)] += count
		}
	}
	r.report.Facts = []report.Fact{
		{Name: "run twice", Value: fmt.Sprint(len(t.ledger.RunTwice(seen.orders)))},
		{Name: "cut off by planned stops", Value: fmt.Sprint(seen.beforeCrash)},
		{Name: "failed by the graceful stop", Value: fmt.Sprint(seen.duringStop)},
		{Name: "upstream work cancelled", Value: fmt.Sprint(cut)},
		{Name: "orders with unknown outcome", Value: fmt.Sprint(seen.unknown)},
		{Name: "without any answer", Value: fmt.Sprint(seen.unanswered)},
		{Name: "slowest answer", Value: fmt.Sprintf("%d ms", seen.slowest.Milliseconds())},
	}
	for _, e := range seen.errors {
		r.report.Risks = append(r.report.Risks, report.Risk{What: e})
	}
	for _, b := range r.broken {
		r.report.Risks = append(r.report.Risks, report.Risk{What: "BROKEN: " + b})
	}
	if len(r.broken) == 0 {
		r.report.Risks = append(r.report.Risks, report.Risk{What: "two VMs serve, one fewer than before", Until: "vm-3 is replaced"})
	}
}
