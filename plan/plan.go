// Package plan decides how a service's traffic is distributed over regions, within
// the operators' caps and the headroom of regions and links. Its Gate enforces an
// entry VM's part of that decision without communication.
package plan

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/drain"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// MaxRegions is the largest number of regions in a plan. It lets a Gate store the
// order of a request's target regions without an allocation.
const MaxRegions = 16

// Delays of the platform that the planner takes into account.
const (
	// CacheTTL is how long callers may cache the answer of a lookup.
	CacheTTL = 30 * time.Second
	// MeasurementDelay is the delay of measurements in normal operation.
	MeasurementDelay = 10 * time.Second
	// MaxMeasurementAge is the age above which the planner bases no shift and no growth
	// on a measurement.
	MaxMeasurementAge = 30 * time.Second
	// ShiftWindow is the window over which the planner sums shifts. A shift may take
	// effect up to CacheTTL and MeasurementDelay after it was decided, so two shifts that
	// are further apart than this window cannot both take effect within the same
	// 60 s.
	ShiftWindow = 60*time.Second + CacheTTL + MeasurementDelay
)

// Parameters of the planner that the platform doesn't prescribe.
const (
	// UnassignedFraction is the fraction of each limit that is kept for VMs that
	// join.
	UnassignedFraction = 0.2
	// overflowStart is the utilisation by its own traffic above which a region sends
	// the excess to other regions, overflowStop the utilisation at which it stops.
	// The gap prevents a load near the threshold from moving traffic back and forth.
	overflowStart = 0.9
	overflowStop  = 0.8
	// minShift is the smallest fraction of a region's traffic that is shifted; less
	// isn't worth the cold caches.
	minShift = 0.02
	// rampTime is the time in which a region's capacity for work from other regions
	// grows from zero to all of its slots, since its caches are cold for that work.
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

// Ref identifies one incarnation of a VM.
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
	// RequestBytes and AnswerBytes are in bytes/s.
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

// Input holds the data from which a plan is computed.
type Input struct {
	Now      time.Time
	ChangeID string
	Register *register.Register
	Rules    *rules.Rules
	// Drains holds the drains of Rules. Nil means none.
	Drains *drain.Tracker
	VMs    []VM
	// Gone lists the VMs that the platform reports as gone and that no VM can reach.
	// A VM that is neither in Gone nor in VMs keeps its share.
	Gone     []Ref
	Demand   []Demand
	Capacity []Capacity
	// Previous is the plan in force. Nil means that there is none.
	Previous *Plan
}

// Plan is the planner's decision for all entry VMs. It is immutable once published.
type Plan struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	At       time.Time `json:"at"`
	// Regions defines the order of all lists by region.
	Regions  []string  `json:"regions"`
	Services []Service `json:"services"`
	// Links holds the limits of links in bytes/s, by the indexes of the source and
	// the destination region.
	Links [][]int64 `json:"links"`
	VMs   []Share   `json:"vms"`
	// Recent holds the last moves for reports, the latest last. They are part of the
	// plan, so that each VM can show them.
	Recent []TimedMove `json:"recent,omitempty"`
}

// MaxRecent is the largest length of Plan.Recent, which every VM fetches with each
// plan.
const MaxRecent = 8

// TimedMove is a move with the time of its plan.
type TimedMove struct {
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
	// Healthy is the capacity of each region in slots that the plan assumes, Remote
	// the part of it that is warm for work from other regions.
	Healthy []float64 `json:"healthy"`
	Remote  []float64 `json:"remote"`
	// Step, Minute and Failover are the operator's caps as fractions.
	Step     float64 `json:"step"`
	Minute   float64 `json:"minute"`
	Failover float64 `json:"failover"`
	// Rows holds the shares by region of origin.
	Rows []Row `json:"rows"`
	// Losses holds the failover allowances by lost region.
	Losses []Loss `json:"losses"`
}

// Row is the distribution of the work that callers bring to one region.
type Row struct {
	// Demand, RequestBytes and AnswerBytes are the measured values.
	Demand       float64 `json:"demand"`
	RequestBytes float64 `json:"request_bytes"`
	AnswerBytes  float64 `json:"answer_bytes"`
	// Share holds the fraction of the work for each target region. The sum is 1.
	Share []float64 `json:"share"`
	// Short is the fraction of the work for which no capacity is planned. Work that
	// exceeds the limits is refused with the verdict NotRun.
	Short float64 `json:"short,omitempty"`
	// Shifts holds the shifts within the last ShiftWindow.
	Shifts []Shift `json:"shifts,omitempty"`
}

// Shift is the fraction of a row that a plan moved.
type Shift struct {
	At     time.Time `json:"at"`
	Amount float64   `json:"amount"`
	// Outward means that the shift increased the work that leaves its region.
	Outward bool `json:"outward,omitempty"`
}

// Loss holds the failover allowances that are planned in advance for the loss of one
// region, whose callers then reach the entry VMs of others.
type Loss struct {
	// Rows holds the shares that replace those of the plan, by region of origin. The
	// row of the lost region itself applies when only its instances are lost.
	Rows [][]float64 `json:"rows"`
	// Admit is the fraction of the arriving work that is admitted, by region of
	// origin. It is below 1 where more work arrives than the cap on failover allows.
	Admit []float64 `json:"admit"`
}

// Share is one entry VM's part of the limits.
type Share struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Region      int    `json:"region"`
	// Since is the version of the plan that last reduced the VM's amounts, or first
	// contained the VM.
	Since uint64 `json:"since"`
	// Slots is the limit on concurrent work by service and target region, the VM's
	// own region included.
	Slots [][]int64 `json:"slots"`
	// Out and In are limits in bytes/s to and from each region.
	Out []int64 `json:"out"`
	In  []int64 `json:"in"`
	// Held is an upper bound of what the VM may be using, as it may still obey an
	// older plan. Nil means the amounts above.
	Held *Held `json:"held,omitempty"`
}

// Held is an upper bound of the amounts of a Share.
type Held struct {
	Slots [][]int64 `json:"slots"`
	Out   []int64   `json:"out"`
	In    []int64   `json:"in"`
}

// Move describes one change of a plan against the previous one, for reports.
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

// Share returns the share of one incarnation of a VM, or nil if the plan has none for
// it.
func (p *Plan) Share(id string, incarnation uint64) *Share {
	i, ok := slices.BinarySearchFunc(p.VMs, Ref{id, incarnation}, compareShare)
	if !ok {
		return nil
	}
	return &p.VMs[i]
}

// remoteShare returns the fraction of a row that leaves its region.
func remoteShare(share []float64, own int) float64 {
	sum := 0.0
	for t, f := range share {
		if t != own {
			sum += f
		}
	}
	return sum
}

// movedFraction returns the fraction of a row that changes its target.
func movedFraction(from, to []float64) float64 {
	sum := 0.0
	for t := range from {
		sum += max(0, to[t]-from[t])
	}
	return sum
}
