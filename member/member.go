// Package member decides which VMs are alive. It combines the platform's list,
// which lags, with direct exchanges between VMs and with what other VMs heard.
// It has no I/O, no goroutines and no clock: time is an argument and effects are
// returned as data. It is not safe for concurrent use.
package member

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// State of a VM as seen by this VM.
type State uint8

// States. Joining, Serving and Leaving are declared by the VM itself or, for
// Leaving, by the platform's list; Suspected and Gone are concluded by others.
const (
	// Joining VMs are reachable but take no callers yet.
	Joining State = iota
	Serving
	// Leaving VMs take no new callers and finish their work.
	Leaving
	// Suspected VMs did not answer one VM and those that it asked.
	Suspected
	// Gone VMs were suspected and nobody heard them since, or said goodbye.
	Gone
)

func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Suspected:
		return "suspected"
	default:
		return "gone"
	}
}

// Info is what a VM tells about itself.
type Info struct {
	ID         string
	DataCentre string
	Region     string
	// Rack is for display. Empty means unknown.
	Rack string
	// Address is an IP address and port.
	Address string
}

// Incarnation orders what is said about a VM. Boot changes with each process
// start, so a VM with a newer Boot has lost its memory. Seq grows within a boot
// with each change that the VM declares and each time it refutes a suspicion.
type Incarnation struct {
	Boot uint64
	Seq  uint32
}

// Less orders incarnations.
func (i Incarnation) Less(o Incarnation) bool {
	return i.Boot < o.Boot || (i.Boot == o.Boot && i.Seq < o.Seq)
}

// Member is one VM as seen by this VM.
type Member struct {
	Info
	Incarnation Incarnation
	State       State
	// Listed tells whether the platform's list names the VM.
	Listed bool
	// Departed tells whether the VM itself said that its process ends.
	Departed bool
	// Heard is when this VM last exchanged a message with it. Zero means never.
	Heard time.Time
}

// Lost tells whether nobody hears the VM and the platform's list no longer
// names it. Only then may what it held be given to others.
func (m Member) Lost() bool { return m.State == Gone && !m.Listed }

// liveness is what is concluded about an incarnation. Greater values override.
type liveness uint8

const (
	alive liveness = iota
	suspected
	gone
)

// entry is what this VM knows about one VM, itself included.
type entry struct {
	info     Info
	key      uint32
	inc      Incarnation
	declared State
	liveness liveness
	// livenessSince is when live last changed, shifted when this VM was paused.
	livenessSince time.Time
	listed        bool
	listedLeaving bool
	unlistedAt    time.Time

	// sectionsDigest is the digest of the lasting sections.
	sectionsDigest uint64

	// Direct contact with this VM.
	lastContact   time.Time
	hasReplied    bool // has replied in its current boot
	probeSentAt   time.Time
	awaitingReply bool
	nextProbe     time.Time // zero when no probe is planned
	isTarget      bool
	peerVersions  [numDocs]uint64
	resyncMask    uint32

	// Doubt: the VM did not answer this one.
	unansweredSince time.Time
	nextAsk         time.Time
	lastEvidence    time.Time // when others last heard it
	// challengedAt is when another VM said that this incarnation is gone although
	// this VM knows it as alive.
	challengedAt time.Time
}

// isKnown tells whether the VM itself has ever been heard of, by anybody. Others
// are only in the platform's list.
func (e *entry) isKnown() bool { return e.inc.Boot != 0 }

func (e *entry) state() State {
	switch {
	case e.liveness == gone:
		return Gone
	case e.liveness == suspected:
		return Suspected
	case e.listedLeaving && e.declared != Gone:
		return Leaving
	}
	return e.declared
}

func (e *entry) member() Member {
	return Member{
		Info: e.info, Incarnation: e.inc, State: e.state(), Listed: e.listed,
		Departed: e.declared == Gone, Heard: e.lastContact,
	}
}

// digest is the entry's part of the view hash. VMs that are gone have none, so
// that a VM which forgot them agrees with one that did not yet. A suspicion is
// not part of it: it ends within seconds, and different timing on two VMs is no
// difference to repair.
func (e *entry) digest() uint64 {
	if !e.isKnown() || e.liveness == gone {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.info.ID))
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], e.inc.Boot)
	binary.LittleEndian.PutUint32(b[8:], e.inc.Seq)
	b[12] = byte(e.declared)
	_, _ = h.Write(b[:])
	return mix(h.Sum64()) ^ e.sectionsDigest
}

// mix spreads the bits of FNV, whose high bits differ little for short inputs.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func hashOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// Key is the short form of an ID in messages about VMs that both sides know.
func Key(id string) uint32 { return uint32(hashOf("key", id)) }
