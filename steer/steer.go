// Package steer decides which entry VMs a caller uses. A Builder turns the asset
// register, the drains in effect and the live entry VMs into an immutable
// Snapshot, and a Snapshot answers lookups: the caller's block determines a site,
// the site an ordered list of data centres, and a rendezvous hash of the block the
// entry VMs in them.
package steer

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// Errors of Snapshot.Lookup.
var (
	// ErrUnknownService means that the register has no such service.
	ErrUnknownService = errors.New("steer: unknown service")
	// ErrNoVM means that every entry VM is drained or not serving.
	ErrNoVM = errors.New("steer: no entry VM serves")
	// ErrBadCaller means that the caller's address is not valid.
	ErrBadCaller = errors.New("steer: caller address is not valid")
)

// State is the membership state of an entry VM.
type State uint8

// States of an entry VM. Answers contain only serving VMs, or suspected ones while
// no VM is serving.
const (
	Joining State = iota
	Serving
	Leaving
	Suspected
	Gone
)

// VM is a live entry VM.
type VM struct {
	ID          string
	Incarnation uint64
	DataCentre  string
	Region      string
	State       State
	// Address is the address at which callers reach the VM.
	Address netip.AddrPort
	// Weight is the VM's capacity relative to others. Zero means
	// DefaultWeight.
	Weight uint32
	// Load is the load that the VM reports as a fraction of its capacity. Reports
	// arrive late. A negative value means that there is no report.
	Load float64
}

// DefaultWeight is the capacity weight of a VM whose Weight is zero.
const DefaultWeight = 100

// Input holds the data from which a Builder makes a snapshot. The builder retains
// the register and the blocks but none of the slices.
type Input struct {
	Register *register.Register
	// Blocks is the table of client blocks. Nil selects the blocks of the register.
	Blocks *Blocks
	// Drains may include drains that are not in effect; drains of instances
	// are ignored, since they concern no entry VM.
	Drains []rules.Drain
	VMs    []VM
}

// Config tunes a Builder.
type Config struct {
	// SetSize is the number of entry VMs in an answer, 2 to MaxSetSize. Zero means 4.
	SetSize int
	// NumRemote is the number of VMs of the set that are in another region, if
	// there is one. Zero means 1, negative means none. At least two VMs of the set
	// are in the caller's region if it has two.
	NumRemote int
	// TTL is how long callers may keep an answer. Zero means 5 s.
	TTL time.Duration
	// DataCentre is the nearest data centre for callers that are in no block. Empty
	// selects the first one of the register.
	DataCentre string
	// HighLoad is the load of a data centre above which callers are moved to
	// other data centres of the region. Zero means 0.85.
	HighLoad float64
	// LowLoad is the load below which callers are moved back. Zero means 0.70.
	LowLoad float64
	// MinChangeInterval is the shortest time between two changes of a weight because
	// of load. Zero means 12 s: load reports are up to 5 s late and callers keep an
	// answer for 5 s, so an earlier change would react to the load before the
	// previous change.
	MinChangeInterval time.Duration
}

const (
	// MaxSetSize is the largest number of VMs in an answer.
	MaxSetSize = 8

	defaultSetSize   = 4
	defaultNumRemote = 1
	// DefaultTTL is the time for which callers may keep an answer.
	DefaultTTL               = 5 * time.Second
	defaultHighLoad          = 0.85
	defaultLowLoad           = 0.70
	defaultMinChangeInterval = 12 * time.Second
)

func (c Config) withDefaults() Config {
	if c.SetSize == 0 {
		c.SetSize = defaultSetSize
	}
	c.SetSize = min(max(c.SetSize, 2), MaxSetSize)
	if c.NumRemote == 0 {
		c.NumRemote = defaultNumRemote
	}
	c.NumRemote = min(max(c.NumRemote, 0), c.SetSize-2)
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	if c.HighLoad <= 0 {
		c.HighLoad = defaultHighLoad
	}
	if c.LowLoad <= 0 {
		c.LowLoad = defaultLowLoad
	}
	c.LowLoad = min(c.LowLoad, c.HighLoad)
	if c.MinChangeInterval <= 0 {
		c.MinChangeInterval = defaultMinChangeInterval
	}
	return c
}

// Priorities of targets. A caller uses the targets with the lowest number in
// proportion to their weights, and the others only when all of those fail.
const (
	// PriorityNear is the priority of targets in the caller's region.
	PriorityNear uint8 = 1
	// PriorityRemote is the priority of targets in other regions.
	PriorityRemote uint8 = 2
)

// Target is one entry VM of an answer.
type Target struct {
	// VM must not be changed.
	VM *VM
	// Weight is relative to the other targets of the same priority, 1 to 100.
	Weight   uint16
	Priority uint8
}

// Answer is the result of a lookup.
type Answer struct {
	// Site is the caller's site, or empty if it is in no block.
	Site string
	// Block is the caller's block, or invalid if it is in none.
	Block netip.Prefix
	// Scope is the length of the prefix around the caller within which every
	// caller gets this answer.
	Scope uint8
	TTL   time.Duration

	targets [MaxSetSize]Target
	n       uint8
}

// Targets returns the entry VMs in order of preference, at least one.
func (a *Answer) Targets() []Target { return a.targets[:a.n] }

func (a *Answer) add(vm *VM, weight uint16, priority uint8) {
	a.targets[a.n] = Target{VM: vm, Weight: weight, Priority: priority}
	a.n++
}
