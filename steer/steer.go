// Package steer decides which entry VMs a caller uses. A Builder turns the asset
// register, the drains in effect and the live entry VMs into an immutable
// Snapshot, and a Snapshot answers lookups: the caller's block gives a site, the
// site gives an ordered list of data centres, and a rendezvous hash of the block
// gives the entry VMs in them.
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
	// ErrNoVM means that no entry VM serves that is not drained.
	ErrNoVM = errors.New("steer: no entry VM serves")
	// ErrBadCaller means that the caller's address is not valid.
	ErrBadCaller = errors.New("steer: caller address is not valid")
)

// State is the membership state of an entry VM.
type State uint8

// States of an entry VM. Only serving VMs are handed out, except that suspected
// ones are when no VM is serving.
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
	// Address is where callers reach the VM.
	Address netip.AddrPort
	// Weight is the VM's capacity relative to others. Zero means
	// DefaultWeight.
	Weight uint32
	// Load is the VM's own report of its load as a fraction of its capacity.
	// It lags. Negative means that there is no report.
	Load float64
}

// DefaultWeight is the capacity weight of a VM that states none.
const DefaultWeight = 100

// Input is what a Builder turns into a snapshot. The builder keeps the register
// and the blocks but none of the slices.
type Input struct {
	Register *register.Register
	// Blocks is the table of client blocks. Nil means the blocks of the
	// register.
	Blocks *Blocks
	// Drains may include drains that are not in effect; drains of instances
	// are ignored, since they concern no entry VM.
	Drains []rules.Drain
	VMs    []VM
}

// Config tunes a Builder.
type Config struct {
	// Set is the number of entry VMs in an answer, 2 to MaxSet. Zero means 4.
	Set int
	// Away is how many VMs of the set are in another region, where there is
	// one. Zero means 1, negative means none. At least two VMs of the set are
	// in the caller's region where it has two.
	Away int
	// TTL is how long callers may keep an answer. Zero means 5 s.
	TTL time.Duration
	// DataCentre is the nearest one for callers that are in no block. Empty
	// means the first of the register.
	DataCentre string
	// HighLoad is the load of a data centre above which callers are moved to
	// other data centres of the region. Zero means 0.85.
	HighLoad float64
	// LowLoad is the load below which they are moved back. Zero means 0.70.
	LowLoad float64
	// Hold is the shortest time between two changes of weights for load.
	// Zero means 12 s: load reports are up to 5 s late and callers keep an
	// answer for 5 s, so an earlier change would act on the state before the
	// last one.
	Hold time.Duration
}

const (
	// MaxSet is the largest number of VMs in an answer.
	MaxSet = 8

	defaultSet  = 4
	defaultAway = 1
	// DefaultTTL is the time for which callers may keep an answer.
	DefaultTTL      = 5 * time.Second
	defaultHighLoad = 0.85
	defaultLowLoad  = 0.70
	defaultHold     = 12 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Set == 0 {
		c.Set = defaultSet
	}
	c.Set = min(max(c.Set, 2), MaxSet)
	if c.Away == 0 {
		c.Away = defaultAway
	}
	c.Away = min(max(c.Away, 0), c.Set-2)
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
	if c.Hold <= 0 {
		c.Hold = defaultHold
	}
	return c
}

// Priorities of targets. A caller uses the targets of the lowest number by their
// weights, and the others only when all of those fail.
const (
	PriorityNear uint8 = 1
	PriorityAway uint8 = 2
)

// Target is one entry VM of an answer.
type Target struct {
	// VM must not be changed.
	VM *VM
	// Weight is relative to the other targets of the same priority, 1 to 100.
	Weight   uint16
	Priority uint8
}

// Answer is the outcome of a lookup.
type Answer struct {
	// Site is the caller's site, or empty if it is in no block.
	Site string
	// Block is the caller's block, or invalid if it is in none.
	Block netip.Prefix
	// Scope is the length of the prefix around the caller within which every
	// caller gets this answer.
	Scope uint8
	TTL   time.Duration

	targets [MaxSet]Target
	n       uint8
}

// Targets returns the entry VMs in order of preference, at least one.
func (a *Answer) Targets() []Target { return a.targets[:a.n] }

func (a *Answer) add(vm *VM, weight uint16, priority uint8) {
	a.targets[a.n] = Target{VM: vm, Weight: weight, Priority: priority}
	a.n++
}
