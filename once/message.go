package once

import (
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// Kind is the kind of a message. A reply has the kind of its request.
type Kind uint8

// Kinds of messages.
const (
	// KindClaim asks the owner for a grant.
	KindClaim Kind = iota + 1
	// KindRecord asks a witness to record a claim or a change of its state.
	KindRecord
	// KindRelease reports to the owner that the request did not run.
	KindRelease
	// KindDone reports to the owner that the request ran.
	KindDone
	// KindSeal seals a view at a member and asks for a piece of its claims.
	KindSeal
	// KindInstall copies a piece of the claims to a member of a proposed view.
	KindInstall
	// KindPing is sent by the owner to its witnesses. It carries the record if the
	// witness has acknowledged nothing for Config.PeerTimeout.
	KindPing
	// KindView announces a new record to the members of the old and new views, or asks
	// whether a VM knows a newer one. The reply carries it.
	KindView
)

var kindNames = [...]string{
	"none", "claim", "record", "release", "done", "seal", "install", "ping", "view",
}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Result is the outcome in a reply.
type Result uint8

// Outcomes in a reply.
const (
	ResultNone Result = iota
	// ResultGranted: the claim is granted.
	ResultGranted
	// ResultInProgress: another request holds the key.
	ResultInProgress
	// ResultDone: the request ran.
	ResultDone
	// ResultReused: the key is in use by a request with another fingerprint.
	ResultReused
	// ResultFull: the table is full.
	ResultFull
	// ResultHistoryLost: the key is unknown and the claims of an earlier view
	// were lost, so the request may have run.
	ResultHistoryLost
	// ResultNotOwner: this VM cannot currently answer as the owner of the
	// partition.
	ResultNotOwner
	// ResultAcked: the message took effect.
	ResultAcked
	// ResultSealed: the view is sealed here.
	ResultSealed
	// ResultNotActive: this VM is not an active member of the view.
	ResultNotActive
	// ResultLost: this VM holds no claims of the view and never will.
	ResultLost
	// ResultImpaired, in a ping, means that the owner requests a view change.
	ResultImpaired
)

// Message is a message between VMs.
type Message struct {
	Kind  Kind
	Reply bool
	// ID is chosen by the sender of a request and repeated in the reply.
	ID uint64
	// FromInc and ToInc are incarnations. A reply to another incarnation is
	// dropped.
	FromInc, ToInc uint64
	Partition      int
	// Epoch and View identify the view that the message is about.
	Epoch  uint64
	View   string
	Result Result
	Claim  Claim
	// FirstUnusedSeq, in a claim, means that the sender abandoned every claim of this
	// key whose Seq is in [FirstUnusedSeq, Claim.Seq) and did not run it. Zero: none.
	FirstUnusedSeq uint64
	// Record is a record that was read from the store or written to it.
	Record *Record
	// Piece is the number of a piece of a copied table, Pieces the number of
	// pieces that the table has. Claims holds the content of the piece.
	Piece, Pieces int
	Claims        []Claim
}

// Send is a message to send.
type Send struct {
	To      string
	Message Message
}

// Swap is a compare-and-swap of a partition record in the store.
type Swap struct {
	Record Record
	// Index is the store index of the entry that the record replaces, 0 for none.
	Index uint64
}

// SwapResult is the outcome of a Swap.
type SwapResult uint8

// Outcomes of a Swap.
const (
	// SwapUnknown is the zero value: the write may have taken effect.
	SwapUnknown SwapResult = iota
	SwapDone
	SwapConflict
)

// Answer is the answer to a local request for a claim.
type Answer struct {
	Seq uint64
	// Err is nil if the claim is granted.
	Err *verdict.Error
	// Attempt is the number of the grant for the key, from 1.
	Attempt uint16
	// Status, Holder and Incarnation are set if the request ran before: its HTTP
	// status, and the VM and incarnation that may have kept its response.
	Status      int
	Holder      string
	Incarnation uint64
}

// Effects is what the caller of the Machine must do. The slices are valid until
// the next call of the Machine.
type Effects struct {
	Sends []Send
	// Reads lists partitions whose record is to be read from the store. Each
	// must be followed by a call of StoreRead.
	Reads []int
	// Swaps lists the records to write. Each must be followed by a call of
	// StoreSwapped.
	Swaps   []Swap
	Answers []Answer
	// Settled lists the local requests (by Seq) whose release or completion
	// every member has recorded.
	Settled []uint64
	// NewRecords lists the records that took effect here, to be sent to other VMs.
	NewRecords []Record
	// Events report view changes for logs and metrics.
	Events []Event
}

// retryAfter is the delay advised to callers whose request is refused because
// its partition cannot grant or its key is in progress. A view change takes
// about 2 s.
const retryAfter = 2 * time.Second
