package node

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/plan"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/steer"
)

// Explain implements admin.Backend.
func (o adminBackend) Explain(caller netip.Addr, service string) (*admin.Explanation, error) {
	n := o.n
	s := n.control.Snapshot()
	if s == nil {
		return nil, configstore.ErrNoVersion
	}
	out := &admin.Explanation{VM: n.self.ID, Service: service}
	if caller.IsValid() {
		if err := n.explainCaller(out, caller, service); err != nil {
			return nil, err
		}
	}
	if service == "" {
		return out, nil
	}
	found := s.Register.Service(service)
	if found == nil {
		return nil, &admin.Problem{Status: http.StatusNotFound, Text: "There is no service " + service + ".", Next: "See /v1/services."}
	}
	n.explainService(out, s, found)
	return out, nil
}

// explainCaller adds the entry VMs with the reasons why a caller is or is not sent to
// them.
func (n *Node) explainCaller(out *admin.Explanation, caller netip.Addr, service string) error {
	answer, err := n.lookups.Lookup(caller, service)
	if err != nil {
		return &admin.Problem{Status: http.StatusServiceUnavailable, Text: "The lookup has no answer: " + err.Error() + ".", Next: "See the report for what is missing."}
	}
	out.Caller, out.Site = caller.String(), answer.Site
	if answer.Block.IsValid() {
		out.Block = answer.Block.String()
	}
	targets := make(map[string]steer.Target)
	for _, t := range answer.Targets() {
		targets[t.VM.ID] = t
	}
	now := time.Now()
	members := n.control.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		c := admin.Candidate{Name: m.ID, Place: m.DataCentre}
		target, chosen := targets[m.ID]
		_, hasEndpoint := n.sections.endpoints[m.ID]
		switch {
		case chosen:
			c.Chosen = true
			c.Reason = fmt.Sprintf("near, weight %d", target.Weight)
			if target.Priority == steer.PriorityRemote {
				c.Reason = fmt.Sprintf("used if the nearer ones fail, weight %d", target.Weight)
			}
		case m.State != member.Serving:
			c.Reason = "is " + m.State.String()
		case n.drains.VMFraction(now, m.ID, m.DataCentre) == 0:
			c.Reason = "it, its data centre or its region is drained"
		case !hasEndpoint:
			c.Reason = "its address for callers is not known here yet"
		case answer.Site == "":
			c.Reason = "serves, but the caller is in no block and others were preferred"
		default:
			c.Reason = "serves, but others come first for site " + answer.Site
		}
		out.EntryVMs = append(out.EntryVMs, c)
	}
	return nil
}

// explainService adds the regions and instances of a service with the reasons why
// this VM does or does not send requests there.
func (n *Node) explainService(out *admin.Explanation, s *config.Snapshot, service *register.Service) {
	n.planner.mu.Lock()
	current := n.planner.current
	n.planner.mu.Unlock()
	usedRegions := make(map[string]bool)
	for _, region := range s.Register.RegionNames() {
		c := admin.Candidate{Name: region}
		c.Chosen, c.Reason = n.explainRegion(current, service.Name, region)
		usedRegions[region] = c.Chosen
		out.Regions = append(out.Regions, c)
	}
	now := time.Now()
	stats := n.instanceStats(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range service.Instances {
		in := &service.Instances[i]
		region := s.Register.RegionOf(in.DataCentre)
		c := admin.Candidate{Name: in.ID, Place: in.DataCentre}
		st, known := stats[in.ID]
		switch {
		case n.drains.InstanceFraction(now, in.ID) == 0:
			c.Reason = "it, its data centre or its region is drained"
		case n.prober.isDown(in.ID):
			c.Reason = "does not answer the probes of its region"
		case !usedRegions[region]:
			c.Reason = "its region " + region + " gets no work from here"
		case !known:
			c.Reason = "not yet known to this VM's balancer"
		default:
			c.Chosen, c.Reason = explainStat(st, n.drains.InstanceFraction(now, in.ID))
		}
		out.Instances = append(out.Instances, c)
	}
}

func explainStat(st balance.Stat, accepts float64) (bool, string) {
	load := fmt.Sprintf("%d of %d slots in flight from this VM", st.InFlight, st.Slots)
	switch {
	case st.Slow:
		return false, "answers slowly, gets only probes; " + load
	case accepts < 1:
		return true, fmt.Sprintf("returns from a drain, takes %.0f %% of its work; %s", 100*accepts, load)
	}
	return true, load
}

// explainRegion returns whether this VM sends requests to a region, and why.
func (n *Node) explainRegion(current *plan.Plan, service, region string) (bool, string) {
	own := region == n.self.Region
	if current == nil {
		if own {
			return true, "own region; no plan yet, so all work stays here"
		}
		return false, "no plan yet, so no work leaves the own region"
	}
	row, target := current.Region(n.self.Region), current.Region(region)
	p := current.Service(service)
	if p == nil || row < 0 || target < 0 || row >= len(p.Rows) || target >= len(p.Rows[row].Share) {
		return own, fmt.Sprintf("plan %d does not name it", current.Version)
	}
	share := p.Rows[row].Share[target]
	if n.prober.isRegionDown(region) {
		return false, fmt.Sprintf("none of its upstreams answers; plan %d gives it %.0f %%", current.Version, 100*share)
	}
	return share > 0 || own, fmt.Sprintf("plan %d gives it %.0f %% of the work of %s", current.Version, 100*share, n.self.Region)
}
