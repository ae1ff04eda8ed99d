package node

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/currantferry/currantferry/admin"
	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/invariant"
)

// adminHandler serves the administration API, the report page and the metrics.
func (n *Node) adminHandler() http.Handler {
	r := httprouter.New()
	admin.New(admin.Options{Backend: adminBackend{n}, Log: n.log}).Register(r)
	r.Handler(http.MethodGet, "/metrics", n.metrics.Handler())
	return r
}

// Status is the state of one VM.
type Status struct {
	VM       string           `json:"vm"`
	Ready    bool             `json:"ready"`
	Leaving  bool             `json:"leaving"`
	Version  uint64           `json:"config_version"`
	Plan     uint64           `json:"plan_version"`
	Planner  bool             `json:"planner"`
	Watching bool             `json:"watching"`
	InFlight int              `json:"in_flight"`
	Members  []MemberStatus   `json:"members"`
	Refusals map[string]int64 `json:"refusals"`
	Retries  map[string]int64 `json:"retries"`
	// Violations counts violated invariants by name, for the whole process.
	Violations map[string]uint64 `json:"violations,omitempty"`
	// Suspects are requests that broke the connection to an instance.
	Suspects []crashguard.Row `json:"suspects,omitempty"`
}

// MemberStatus is one VM as this VM sees it.
type MemberStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// Status returns the state of this VM.
func (n *Node) Status() Status {
	s := Status{
		VM: n.self.ID, Ready: n.control.IsReady(), Leaving: n.isLeaving(), Version: n.control.Version(),
		Watching: n.control.IsWatching(), InFlight: n.proxy.InFlight(),
		Suspects: n.crash.suspects(), Violations: violations(),
		Refusals: make(map[string]int64), Retries: make(map[string]int64),
	}
	n.planner.mu.Lock()
	if n.planner.current != nil {
		s.Plan = n.planner.current.Version
	}
	s.Planner = n.planner.holdsLease
	n.planner.mu.Unlock()
	for _, m := range n.control.Members() {
		s.Members = append(s.Members, MemberStatus{ID: m.ID, DataCentre: m.DataCentre, State: m.State.String()})
	}
	for r, c := range n.metrics.Refusals() {
		s.Refusals[string(r)] = c
	}
	for r, c := range n.metrics.Retries() {
		s.Retries[string(r)] = c
	}
	return s
}

func violations() map[string]uint64 {
	out := make(map[string]uint64)
	for name, count := range invariant.Counts() {
		out[string(name)] = count
	}
	return out
}
