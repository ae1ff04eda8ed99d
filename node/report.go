package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/report"
	"github.com/currantferry/currantferry/rules"
)

const (
	// storeTimeout is the time without an answer after which the store is reported as
	// down. VMs with a watch get an answer at least every 2.5 s.
	storeTimeout = 10 * time.Second
	// stalePlanIntervals is the age from which a plan is stale, as a multiple of the
	// longest time between two plans.
	stalePlanIntervals = 3
)

// Report returns the state of the system as this VM sees it.
func (n *Node) Report() *report.Report {
	now := time.Now()
	members := n.control.Members()
	r := &report.Report{
		Name: n.self.ID, At: now, Version: n.control.Version(),
		Risks: []report.Risk{}, Moves: []report.Move{}, Planned: []string{},
		Refused: make(map[string]int64), Retried: make(map[string]int64),
	}
	if s := n.control.Snapshot(); s != nil {
		if s.Register.Name != "" {
			r.Name = s.Register.Name + " from " + n.self.ID
		}
		n.reportDrains(r, now, s.Rules.Drains)
		n.reportRegions(r, s, members)
	}
	n.reportPlan(r, now)
	n.reportStore(r, now)
	n.reportMembers(r, now, members)
	n.reportRequests(r, now)
	for _, v := range invariant.FirstViolations() {
		r.Risks = append(r.Risks, report.Risk{What: "broken invariant: " + v.String()})
	}
	if len(r.Stuck) > 0 {
		r.Risks = append(r.Risks, report.Risk{What: "a drain is stuck", Until: "its work ends or is cancelled"})
	}
	return r
}

func formatUTC(t time.Time) string { return t.UTC().Format("Jan 2 15:04 UTC") }

func (n *Node) reportDrains(r *report.Report, now time.Time, drains []rules.Drain) {
	for _, d := range drains {
		text := fmt.Sprintf("drain %s of %s %s", d.ID, d.Kind, d.Target)
		switch {
		case d.IsActive(now):
			text += ": in effect"
		case now.Before(d.Start):
			text += " from " + formatUTC(d.Start)
		default:
			continue
		}
		if !d.End.IsZero() {
			text += " until " + formatUTC(d.End)
		}
		if d.Reason != "" {
			text += " (" + d.Reason + ")"
		}
		r.Planned = append(r.Planned, text)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.drains.Progress(now) {
		if p.Stuck {
			r.Stuck = append(r.Stuck, fmt.Sprintf("%s of %s: %d in flight from this VM", p.Drain, p.Target, p.InFlight))
		}
	}
}

func (n *Node) reportRegions(r *report.Report, s *config.Snapshot, members []member.Member) {
	for _, region := range s.Register.RegionNames() {
		reachable := slices.ContainsFunc(members, func(m member.Member) bool {
			return m.Region == region && m.State != member.Gone && m.State != member.Suspected
		})
		if n.prober.isRegionDown(region) {
			r.Risks = append(r.Risks, report.Risk{What: "region " + region + " has no upstream that answers", Until: "one answers again"})
		}
		if !reachable {
			r.Risks = append(r.Risks, report.Risk{What: "no entry VM of region " + region + " is heard", Until: "one is heard again"})
		}
	}
	var down []string
	for i := range s.Register.Services {
		for _, in := range s.Register.Services[i].Instances {
			if n.prober.isDown(in.ID) {
				down = append(down, in.ID)
			}
		}
	}
	if len(down) > 0 {
		r.Risks = append(r.Risks, report.Risk{What: summarise(len(down), "upstream", down) + " not answering probes", Until: "they answer again"})
	}
}

// summarise returns the count and at most three of the names.
func summarise(count int, noun string, names []string) string {
	if count != 1 {
		noun += "s"
	}
	text := fmt.Sprintf("%d %s (%s", count, noun, strings.Join(names[:min(3, len(names))], ", "))
	if len(names) > 3 {
		text += ", ..."
	}
	return text + ")"
}

func (n *Node) reportPlan(r *report.Report, now time.Time) {
	n.planner.mu.Lock()
	current := n.planner.current
	n.planner.mu.Unlock()
	if current == nil {
		r.Stale = append(r.Stale, "no plan yet: this VM serves its own region only")
		return
	}
	for _, m := range slices.Backward(current.Recent) {
		r.Moves = append(r.Moves, report.Move{
			What: m.Service + ", callers of " + m.Origin, From: m.From, To: m.To,
			Amount: fmt.Sprintf("%.1f %%", m.Percent), Why: m.Text + ", at " + formatUTC(m.At),
		})
	}
	if age := now.Sub(current.At); age > stalePlanIntervals*maxPlanInterval(len(n.control.Members())) {
		r.Stale = append(r.Stale, "plan "+fmt.Sprint(current.Version)+": "+age.Round(time.Second).String()+" old")
	}
	for _, s := range current.Services {
		for i, row := range s.Rows {
			if row.Short > 0 && i < len(current.Regions) {
				r.Risks = append(r.Risks, report.Risk{
					What:  fmt.Sprintf("%s: no capacity for %.0f %% of the work of %s", s.Name, 100*row.Short, current.Regions[i]),
					Until: "load falls or slots are added",
				})
			}
		}
	}
	r.Facts = append(r.Facts, report.Fact{Name: "least headroom", Value: fmt.Sprintf("%.0f %%", 100*n.minHeadroom())})
}

func (n *Node) reportStore(r *report.Report, now time.Time) {
	seen := n.control.LastStoreContact()
	switch age := now.Sub(seen); {
	case seen.IsZero():
		r.Store = "not heard from since this VM started; changes are refused"
	case age > storeTimeout:
		r.Store = "no answer for " + age.Round(time.Second).String() + "; the last configuration stays in force and changes are refused"
	default:
		r.Store = "answers; last heard " + fmt.Sprintf("%.1f s", max(0, age.Seconds())) + " ago"
		return
	}
	r.Risks = append(r.Risks, report.Risk{What: "the store does not answer", Until: "it answers again"})
}

func (n *Node) reportMembers(r *report.Report, now time.Time, members []member.Member) {
	serving := 0
	var missing, stale []string
	n.mu.Lock()
	for _, m := range members {
		switch {
		case m.State == member.Serving:
			serving++
		case m.State == member.Suspected, m.State == member.Gone && m.Listed:
			missing = append(missing, m.ID)
			continue
		default:
			continue
		}
		if at := n.sections.measurements[m.ID].at; !at.IsZero() && now.Sub(at) > plan.MaxMeasurementAge {
			stale = append(stale, m.ID+" "+now.Sub(at).Round(time.Second).String())
		}
	}
	n.mu.Unlock()
	if len(missing) > 0 {
		r.Risks = append(r.Risks, report.Risk{What: summarise(len(missing), "entry VM", missing) + " in the platform's list, not heard", Until: "replaced or heard again"})
	}
	if len(stale) > 0 {
		r.Stale = append(r.Stale, "measurements of "+summarise(len(stale), "VM", stale)+", not used for growth")
	}
	r.Facts = append(r.Facts, report.Fact{Name: "entry VMs serving", Value: fmt.Sprint(serving)})
}

func (n *Node) reportRequests(r *report.Report, now time.Time) {
	for reason, c := range n.metrics.Refusals() {
		r.Refused[string(reason)] = c
	}
	for reason, c := range n.metrics.Retries() {
		r.Retried[string(reason)] = c
	}
	for id, s := range n.instanceStats(now) {
		if s.Slow {
			r.Slow = append(r.Slow, fmt.Sprintf("%s: %d in flight from this VM", id, s.InFlight))
		}
	}
	slices.Sort(r.Slow)
	for _, row := range n.crash.suspects() {
		text := fmt.Sprintf("%s %s: %d lost", row.Service, row.Text, len(row.Crashes))
		if row.Blocked {
			text += ", refused until " + formatUTC(row.Until)
		}
		r.Crashing = append(r.Crashing, text)
	}
	r.Lines, r.Answered = n.observed.lines()
	r.Facts = append(r.Facts, report.Fact{Name: "in flight on this VM", Value: fmt.Sprint(n.proxy.InFlight())})
}
