package once

import "time"

// State is the state of a claim.
type State uint8

// States of a claim. Within one attempt a claim moves only from StateGranted to
// one of the others.
const (
	// StateGranted means that the holder may have run the request.
	StateGranted State = iota + 1
	// StateReleased means that the attempt is proven not to have run. The key
	// may be granted again.
	StateReleased
	// StateDone means that the request ran. It is final.
	StateDone
)

func (s State) String() string {
	switch s {
	case StateGranted:
		return "granted"
	case StateReleased:
		return "released"
	case StateDone:
		return "done"
	default:
		return "none"
	}
}

// Claim is the state of a key as a member of its partition has recorded it.
type Claim struct {
	Key         Key
	Fingerprint uint64
	State       State
	// Attempt counts the grants of the key, from 1.
	Attempt uint16
	// Status is the HTTP status of a done request.
	Status uint16
	// Holder, Incarnation and Seq identify the request to which the claim was
	// granted: the VM, its incarnation, and the number that the VM gave the
	// request.
	Holder      string
	Incarnation uint64
	Seq         uint64
	// Changed is the time of the last state change in seconds since 1970, by
	// the clock of the owner. Retention counts from it.
	Changed uint32
}

// isSameRequest reports whether both claims are for the same request of a VM.
func (c *Claim) isSameRequest(o *Claim) bool {
	return c.Holder == o.Holder && c.Incarnation == o.Incarnation && c.Seq == o.Seq
}

func unixSeconds(t time.Time) uint32 { return uint32(t.Unix()) }
