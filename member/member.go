// Package member decides which VMs are alive. It combines the platform's list,
// which lags, with heartbeats between VMs and with the reports of other VMs.
// It has no I/O, no goroutines and no clock: time is an argument and effects
// are returned as data. It is not safe for concurrent use.
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
	// Joining VMs are reachable but accept no callers yet.
	Joining State = iota
	Serving
	// Leaving VMs accept no new callers and finish their requests.
	Leaving
	// Suspected VMs did not answer one VM, and the VMs that it asked have no
	// recent message of them either.
	Suspected
	// Gone VMs were suspected and did not answer any VM since, or announced the
	// end of their process.
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

// Info identifies a VM and its place. It comes from the platform's list or,
// once the VM answers, from the VM itself.
type Info struct {
	ID         string
	DataCentre string
	Region     string
	// Rack is for display. Empty means unknown.
	Rack string
	// Address is an IP address and port.
	Address string
}

// Incarnation orders announcements about a VM. Boot changes with each process
// start, so a VM with a newer Boot has lost its memory. Seq grows within a
// boot with each state that the VM declares and each suspicion that it
// refutes.
type Incarnation struct {
	Boot uint64
	Seq  uint32
}

// Less reports whether i is older than o.
func (i Incarnation) Less(o Incarnation) bool {
	return i.Boot < o.Boot || (i.Boot == o.Boot && i.Seq < o.Seq)
}

// Member is one VM as seen by this VM.
type Member struct {
	Info
	Incarnation Incarnation
	State       State
	// Listed reports whether the platform's list names the VM.
	Listed bool
	// Departed reports whether the VM itself announced the end of its process.
	Departed bool
	// LastContact is when a message of the VM last arrived here. Zero means never.
	LastContact time.Time
}

// IsLost reports whether the VM is gone and the platform's list no longer names
// it. Only then may what it held be given to others.
func (m Member) IsLost() bool { return m.State == Gone && !m.Listed }

// liveness is the conclusion about an incarnation. Greater values override
// lesser ones.
type liveness uint8

const (
	alive liveness = iota
	suspected
	gone
)

// entry is the state of one VM in this VM's view, itself included.
type entry struct {
	info     Info
	key      uint32
	inc      Incarnation
	declared State
	liveness liveness
	// livenessSince is when liveness last changed, shifted by the time that this
	// VM was paused.
	livenessSince time.Time
	listed        bool
	listedLeaving bool
	unlistedAt    time.Time

	// sectionsDigest combines the digests of the VM's reconciled sections.
	sectionsDigest uint64

	// The exchanges of this VM with the entry's VM.
	lastContact   time.Time
	hasReplied    bool // whether it has replied since its process started
	probeSentAt   time.Time
	awaitingReply bool
	nextProbe     time.Time // zero when no probe is scheduled
	isTarget      bool
	peerVersions  [numDocs]uint64
	resyncMask    uint32

	// unansweredSince is when a probe first remained without an answer. Zero
	// means that the last probe was answered.
	unansweredSince time.Time
	nextAsk         time.Time
	lastEvidence    time.Time // when another VM last reported a message of it
	// challengedAt is when another VM reported this incarnation as gone although
	// it is alive in this VM's view.
	challengedAt time.Time
}

// isKnown reports whether any VM has received a message of this one. Other
// entries come from the platform's list only.
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
		Departed: e.declared == Gone, LastContact: e.lastContact,
	}
}

// digest is the entry's part of the view hash. It is zero for VMs that are
// gone, so that a VM which has already dropped them agrees with one that has
// not. A suspicion is not part of it: it ends within seconds, and a difference
// in its timing between two VMs needs no repair.
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
