// Package teamcap enforces a team's cap of requests over all VMs. A VM admits requests
// without waiting for others, within a credit that a coordinator renews, and reports what it
// admitted. The coordinator debits a token bucket for each team and divides what is left of
// it, by demand, into new credits.
//
// All VMs vote with their requests for one coordinator at a time, and their votes have
// weights. A coordinator's buckets fill at the cap's rate times its share of the weights, and
// a VM that reaches no coordinator admits at the rate times its own share, so the shares of
// all sum up to one also while VMs disagree or are cut off.
//
// The credits that a coordinator has given out never exceed the level of the bucket by more
// than a part of the tolerance that the bound allows beyond the cap. The bound therefore
// holds whatever demand does, apart from single requests that VMs admit without credit while
// a team is far below its cap.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for concurrent
// use.
package teamcap

import "time"

const (
	// creditTTL is how long a VM uses the credits of a reply, from its request on. It covers
	// two lost requests.
	creditTTL = 900 * time.Millisecond
	// settleTimeout is when a coordinator considers the credit of a silent VM as used. It is
	// longer than creditTTL and the delay of a request.
	settleTimeout = 1200 * time.Millisecond
	// voteTTL is how long a vote counts. It is that of quotalease, whose Requester waits
	// longer before it votes for another coordinator.
	voteTTL = 600 * time.Millisecond
	// creditPart is the part of the tolerance that is given out as credit beyond the level of
	// a bucket. Two coordinators, of which the second one replaces the first one and starts
	// with empty buckets, give out twice as much. fallbackPart is the part with which VMs
	// without coordinator start, all together.
	creditPart   = 0.4
	fallbackPart = 0.2
	// openShare is the part of the bucket and the credit that is divided while a team is
	// open. The rest is left for VMs that get requests of the team next.
	openShare = 0.7
	// lowShare is the part of the bucket and the credit below which a team is metered: VMs
	// without credit then ask before they admit a request.
	lowShare = 0.4
	// starterShare is the part of its share of the bucket and the credit that a VM without
	// credit admits, at least minStarter requests, before it asks for credit of an open team.
	starterShare = 0.15
	minStarter   = 4.0
	// demandHorizon is the time for which a VM gets credit while a team is metered. It covers
	// the interval of reports and a round trip between regions.
	demandHorizon = 400 * time.Millisecond
	// baseWant is added to the want of each VM while a team is open, since the demand of a VM
	// with few requests is known only roughly.
	baseWant = 1.0
	// startFleet is the number of VMs that a new VM assumes at least: the records of the other
	// VMs may still be missing when all restart.
	startFleet = 32
	// majority is the share of votes from which a coordinator leads.
	majority = 0.5
	// pruneInterval is how often votes are counted, settleInterval how often silent VMs of a
	// team are settled, and sweepInterval how often buckets without reports are.
	pruneInterval  = 50 * time.Millisecond
	settleInterval = 400 * time.Millisecond
	sweepInterval  = 2 * time.Second
	// maxDebt bounds the debt of a bucket, in units of what may run in a window.
	maxDebt = 2.0
	// minDepth allows a whole request at any cap.
	minDepth = 1.0
	// maxVMs and maxTeams bound the state that messages can create.
	maxVMs   = 4096
	maxTeams = 1 << 16
)

// Cap is a team's cap: requests per second over all VMs, and requests beyond them. Rate zero
// means no cap.
type Cap struct{ Rate, Burst float64 }

// Bound is what may be run in a window of time: Over is the part beyond the cap, and Slack
// the number of requests added to it.
type Bound struct {
	Window      time.Duration
	Over, Slack float64
}

// tolerance returns the number of requests that may run in a window beyond the cap.
func (b Bound) tolerance(c Cap) float64 {
	return b.Over*(c.Rate*b.Window.Seconds()+c.Burst) + b.Slack
}

// Weight is a VM's weight, zero if it has no part of the caps, and the sum of the weights of all VMs
// that it knows. IsNew says that the VM has just started and may not know all.
type Weight struct {
	Own, Total int
	IsNew      bool
}

// Request is a VM's report to a coordinator.
type Request struct {
	// Boot and Seq order the requests of a VM. Ack is the Seq of the newest reply that the VM
	// received from this coordinator.
	Boot, Seq, Ack uint64
	// LowVersion is that of the metered teams that the VM knows, or zero.
	LowVersion uint64
	IsVote     bool
	Weight     Weight
	Entries    []Entry
}

// Entry reports the requests of a team.
type Entry struct {
	Team uint64
	// Admitted counts the requests admitted by credit since the VM started, Recent those of
	// them that no reply has confirmed.
	Admitted, Recent uint64
	// Limit is the value of Admitted up to which the VM admits requests at present.
	Limit uint64
	// Wanted is the number of requests that found no credit since the last report.
	Wanted int
	// Demand is the number of requests per second that arrive.
	Demand float64
}

// Reply answers a Request.
type Reply struct {
	// Boot and Seq are those of the request.
	Boot, Seq uint64
	Grants    []Grant
	// Low lists the teams that are metered, unless LowVersion is that of the request.
	Low        []uint64
	LowVersion uint64
}

// Grant renews a VM's credit.
type Grant struct {
	Team uint64
	// Limit replaces that of the entry.
	Limit uint64
	// IsShort says that the VM wanted more.
	IsShort bool
}
