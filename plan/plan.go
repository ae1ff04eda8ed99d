// Package plan decides how a service's traffic is spread over regions, within
// the operators' caps and the headroom of regions and links, and how an entry
// VM enforces its part of that decision without asking anyone.
package plan

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// MaxRegions bounds the regions of a plan, so that a Gate needs no allocation
// for the order of a request's target regions.
const MaxRegions = 16

// Times of the platform that the planner allows for.
const (
	// CacheTTL is how long callers may keep an answer of a lookup.
	CacheTTL = 30 * time.Second
	// MeasureLag is how late measurements are in normal operation.
	MeasureLag = 10 * time.Second
	// Stale is the age from which a measurement is not used for growth.
	Stale = 30 * time.Second
	// ShiftWindow is the time over which the planner sums up shifts. A shift
	// may take effect up to a cached answer's life and a measurement's lag
	// after it was decided, so two shifts that are further apart than this
	// cannot both take effect within the same 60 s.
	ShiftWindow = 60*time.Second + CacheTTL + MeasureLag
)

// Fractions that the page leaves open.
const (
	// Unassigned is the part of each limit kept for VMs that join.
	Unassigned = 0.2
	// overflowAbove is the utilisation by its own traffic from which a region
	// sends the rest elsewhere, overflowBelow the one at which it stops. The
	// gap keeps a load near the threshold from moving traffic to and fro.
	overflowAbove = 0.9
	overflowBelow = 0.8
	// minShift is the part of a region's traffic below which a shift isn't
	// worth the cold caches.
	minShift = 0.02
	// rampTime is how long a region takes to grow from nothing to all of its
	// slots for work from other regions, whose caches it lacks.
	rampTime = 60 * time.Second
)

// VM is a live entry VM.
type VM struct {
	ID          string
	Incarnation uint64
	DataCentre  string
	Region      string
	// Confirmed is the newest plan version that the VM obeys, see
	// Gate.Confirmed. Zero means none.
	Confirmed uint64
}

// Ref names one incarnation of a VM.
type Ref struct {
	ID          string
	Incarnation uint64
}

// Demand is the measured work that callers bring to a region's entry VMs.
type Demand struct {
	Service string
	Origin  string
	At      time.Time
	// Slots is the mean number of slots that the work would occupy, shed work
	// included.
	Slots float64
	// RequestBytes and AnswerBytes are bytes/s.
	RequestBytes float64
	AnswerBytes  float64
}

// Capacity is the measured number of slots of healthy instances.
type Capacity struct {
	Service string
	Region  string
	At      time.Time
	Slots   float64
}

// Input is what a plan is computed from.
type Input struct {
	Now      time.Time
	ChangeID string
	Register *register.Register
	Rules    *rules.Rules
	// Drains holds the drains of Rules. Nil means none.
	Drains *drain.Tracker
	VMs    []VM
	// Gone are the VMs that the platform's list reports as gone and no VM hears.
	// A VM that is neither here nor in VMs keeps what it holds.
	Gone     []Ref
	Demand   []Demand
	Capacity []Capacity
	// Previous is the plan in force. Nil means that there is none.
	Previous *Plan
}

// Plan is the decision for all entry VMs. It is immutable once published.
type Plan struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	At       time.Time `json:"at"`
	// Regions gives the order of all lists by region below.
	Regions  []string  `json:"regions"`
	Services []Service `json:"services"`
	// Links are limits in bytes/s, by the index of the region the bytes leave
	// and of the region they reach.
	Links [][]int64 `json:"links"`
	VMs   []Share   `json:"vms"`
	// Recent are the last moves for reports, the latest last. They travel with
	// the plan, so that each VM can show them.
	Recent []Noted `json:"recent,omitempty"`
}

// MaxRecent bounds Plan.Recent, which every VM fetches with each plan.
const MaxRecent = 8

// Noted is a move with the time of its plan.
type Noted struct {
	At time.Time `json:"at"`
	Move
}

// Service is the plan of one service.
type Service struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// Slots is each region's limit on work of its own entry VMs: the slots of
	// the instances that accept work.
	Slots []int `json:"slots"`
	// Limit is each region's limit on concurrent work from other regions.
	Limit []int `json:"limit"`
	// Healthy is each region's capacity in slots as planned with, Remote the
	// part of it that is warm for work from other regions.
	Healthy []float64 `json:"healthy"`
	Remote  []float64 `json:"remote"`
	// Step, Minute and Failover are the operator's caps as fractions.
	Step     float64 `json:"step"`
	Minute   float64 `json:"minute"`
	Failover float64 `json:"failover"`
	// Rows are the shares by region of origin.
	Rows []Row `json:"rows"`
	// Losses are the allowances for the loss of each region.
	Losses []Loss `json:"losses"`
}

// Row is what becomes of the work that callers bring to one region.
type Row struct {
	// Demand, RequestBytes and AnswerBytes are as measured.
	Demand       float64 `json:"demand"`
	RequestBytes float64 `json:"request_bytes"`
	AnswerBytes  float64 `json:"answer_bytes"`
	// Share is the fraction for each target region. The sum is 1.
	Share []float64 `json:"share"`
	// Short is the fraction of the work for which no capacity is planned.
	// What arrives above the limits is refused "not run".
	Short float64 `json:"short,omitempty"`
	// Shifts are those of the last ShiftWindow.
	Shifts []Shift `json:"shifts,omitempty"`
}

// Shift is a part of a row that a plan moved.
type Shift struct {
	At     time.Time `json:"at"`
	Amount float64   `json:"amount"`
	// Outward tells whether more work left its region than before.
	Outward bool `json:"outward,omitempty"`
}

// Loss is agreed ahead for the loss of one region, whose callers then reach the
// entry VMs of others.
type Loss struct {
	// Rows replace the shares, by region of origin. The row of the lost region
	// itself applies when only its instances are lost.
	Rows [][]float64 `json:"rows"`
	// Admit is the fraction of the arriving work that is let in, by region of
	// origin. It is below 1 where the cap on failover is below the load that
	// arrives.
	Admit []float64 `json:"admit"`
}

// Share is one entry VM's part of the limits.
type Share struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Region      int    `json:"region"`
	// Since is the version that first gave the VM these amounts.
	Since uint64 `json:"since"`
	// Slots is concurrent work by service and target region. The VM's own
	// region is among them.
	Slots [][]int64 `json:"slots"`
	// Out and In are bytes/s to and from each region.
	Out []int64 `json:"out"`
	In  []int64 `json:"in"`
	// Held is the most that the VM may be using, as it may still obey an older
	// plan. Nil means the amounts above.
	Held *Held `json:"held,omitempty"`
}

// Held is an upper bound of the amounts of a Share.
type Held struct {
	Slots [][]int64 `json:"slots"`
	Out   []int64   `json:"out"`
	In    []int64   `json:"in"`
}

// Move is one change of a plan against the previous one, for reports.
type Move struct {
	Service string  `json:"service"`
	Origin  string  `json:"origin"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Percent float64 `json:"percent"` // of the origin's work
	Text    string  `json:"text"`
}

// Service returns the plan of the named service, or nil.
func (p *Plan) Service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Region returns the index of a region, or -1.
func (p *Plan) Region(name string) int { return slices.Index(p.Regions, name) }

// Share returns the amounts of one incarnation of a VM, or nil if the plan
// doesn't name it.
func (p *Plan) Share(id string, incarnation uint64) *Share {
	i, ok := slices.BinarySearchFunc(p.VMs, Ref{id, incarnation}, compareShare)
	if !ok {
		return nil
	}
	return &p.VMs[i]
}

// remoteShare is the fraction of a row that leaves its region.
func remoteShare(share []float64, own int) float64 {
	sum := 0.0
	for t, f := range share {
		if t != own {
			sum += f
		}
	}
	return sum
}

// moved returns the part of a row that changes its target.
func moved(from, to []float64) float64 {
	sum := 0.0
	for t := range from {
		sum += max(0, to[t]-from[t])
	}
	return sum
}
