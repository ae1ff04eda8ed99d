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

// Options configures a run.
type Options struct {
	// Seed of the traffic.
	Seed uint64
	// Duration of the traffic. Zero means 15 s; at least 8 s.
	Duration time.Duration
	// Log receives the events of all VMs. Nil discards them.
	Log *slog.Logger
	// Hold, if not nil, is called with the fleet and the result of the run before the fleet
	// is closed.
	Hold func(*Fleet, *Result)
}

const (
	defaultDuration = 15 * time.Second
	minDuration     = 8 * time.Second
	startTimeout    = 20 * time.Second
	// maxInForceDelay is the bound of requirement R8 for a change to come into force.
	maxInForceDelay = 8 * time.Second
	// maxDrainDelay bounds the time for which a drained instance may still get new work.
	maxDrainDelay = 2 * time.Second
	// stopTimeout bounds the graceful stop, and stableTimeout the wait for stable traffic
	// before it.
	stopTimeout   = 20 * time.Second
	stableTimeout = 10 * time.Second
	// stableTime is the time without a failed request after which traffic is stable.
	stableTime = time.Second
)

// Result is the report of a run and the guarantees that were violated.
type Result struct {
	Report     report.Report `json:"report"`
	Violations []string      `json:"broken"`
}

// run is one run of the scenario.
type run struct {
	fleet      *Fleet
	traffic    *traffic
	report     report.Report
	violations []string
}

// Run runs the scenario.
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
	// Traffic continues until the effects of the last failure have ended.
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
	result := &Result{Report: r.report, Violations: r.violations}
	if o.Hold != nil {
		o.Hold(fleet, result)
	}
	return result, nil
}

// runSteps performs the drain, the failures and the repairs at fractions of the duration.
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

// fail records a violated guarantee.
func (r *run) fail(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordMove adds a move of work to the report.
func (r *run) recordMove(what, why string) {
	r.report.Moves = append(r.report.Moves, report.Move{What: what, Why: why})
}

// drain drains an instance as planned, and checks that its requests are completed and that
// it gets no new ones.
func (r *run) drain(ctx context.Context) {
	const target = serviceReads + "-rotterdam-a-1"
	r.fleet.Rules = &rules.Rules{Drains: []rules.Drain{{
		ID: "drain-1", Kind: rules.TargetInstance, Target: target, Reason: "kernel update", By: "demo",
	}}}
	took, err := r.fleet.Publish(ctx, "planned drain of "+target)
	if err != nil {
		r.fail("the drain did not come into force: %v", err)
		return
	}
	if took > maxInForceDelay {
		r.fail("the drain came into force only after %s", took)
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
		r.fail("%s got a request %s after its drain was in force", target, late)
	}
	r.recordMove("all work of "+target+" to its neighbours", fmt.Sprintf("planned drain: kernel update; in force on all VMs in %d ms", took.Milliseconds()))
}

// crashVM stops an entry VM without notice.
func (r *run) crashVM(context.Context) {
	r.traffic.beginCrashPhase()
	r.fleet.Kill("vm-2")
	r.recordMove("callers of vm-2 to vm-1 and vm-3", "vm-2 crashed")
}

// startOutage makes the store unreachable.
func (r *run) startOutage(context.Context) {
	r.fleet.Store.SetFault(storestandin.Fault{Down: true})
}

// endOutage makes the store reachable again and publishes a change.
func (r *run) endOutage(ctx context.Context) {
	r.fleet.Store.SetFault(storestandin.Fault{})
	r.fleet.Rules = &rules.Rules{}
	took, err := r.fleet.Publish(ctx, "drain cancelled after the update")
	if err != nil {
		r.fail("the change after the outage did not come into force: %v", err)
		return
	}
	if took > maxInForceDelay {
		r.fail("the change after the outage came into force only after %s", took)
	}
	r.recordMove("work back to "+serviceReads+"-rotterdam-a-1, by ramp", fmt.Sprintf("drain cancelled after the store outage; in force in %d ms", took.Milliseconds()))
}

// replaceVM starts a VM that replaces the crashed one.
func (r *run) replaceVM(ctx context.Context) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	start := time.Now()
	if err := r.fleet.Replace(startCtx, "vm-4", 1); err != nil {
		r.fail("replacement of vm-2: %v", err)
		return
	}
	r.recordMove("callers to vm-4", fmt.Sprintf("vm-4 replaces vm-2; it was ready after %d ms", time.Since(start).Milliseconds()))
}

// stopVM stops an entry VM gracefully when traffic is stable after the previous failures,
// and checks that no requests fail because of the stop.
func (r *run) stopVM(ctx context.Context) {
	if !r.traffic.waitStable(ctx) {
		r.fail("requests still failed %s after the previous failures were repaired", stableTimeout)
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

// finish adds the counts of the run to the report, and the violations that the traffic and
// the invariants show.
func (r *run) finish(t *traffic) {
	counts, violations := t.result()
	r.violations = append(r.violations, violations...)
	for _, v := range invariant.FirstViolations() {
		r.fail("%s", v)
	}
	cutOff := r.fleet.Ledger.CutOff()
	r.report.Name = "currantferry demo"
	r.report.At = time.Now()
	r.report.Version = r.fleet.version
	r.report.Answered = counts.answered
	r.report.Refused = counts.refused
	r.report.Retried = make(map[string]int64)
	for _, n := range r.fleet.nodes {
		for reason, count := range n.Metrics().Retries() {
			r.report.Retried[string(reason)] += count
		}
	}
	r.report.Facts = []report.Fact{
		{Name: "run twice", Value: fmt.Sprint(len(t.ledger.RunTwice(counts.orders)))},
		{Name: "cut off by planned stops", Value: fmt.Sprint(counts.beforeCrash)},
		{Name: "failed by the graceful stop", Value: fmt.Sprint(counts.duringStop)},
		{Name: "upstream work cancelled", Value: fmt.Sprint(cutOff)},
		{Name: "orders with unknown outcome", Value: fmt.Sprint(counts.unknown)},
		{Name: "without any answer", Value: fmt.Sprint(counts.unanswered)},
		{Name: "slowest answer", Value: fmt.Sprintf("%d ms", counts.slowest.Milliseconds())},
	}
	for _, e := range counts.errors {
		r.report.Risks = append(r.report.Risks, report.Risk{What: e})
	}
	for _, b := range r.violations {
		r.report.Risks = append(r.report.Risks, report.Risk{What: "BROKEN: " + b})
	}
	if len(r.violations) == 0 {
		r.report.Risks = append(r.report.Risks, report.Risk{What: "two VMs serve, one fewer than before", Until: "vm-3 is replaced"})
	}
}
