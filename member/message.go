package member

import "time"

// Doc names a versioned document whose versions are announced in heartbeats.
// Its content is fetched from a VM that has it.
type Doc uint8

// Documents.
const (
	DocConfig Doc = iota
	DocPlan
	// DocList is the platform's list of VMs as a watcher of the store read it.
	DocList
	numDocs
)

// DocVersion is a version of a document and the hash of its content.
type DocVersion struct {
	Version uint64
	Hash    [32]byte
}

// Message is a heartbeat with a digest of the view, or the reply to one.
// Options.MaxMessageBytes bounds the lists.
type Message struct {
	From string
	// To is the Key of the addressed VM. It keeps a VM that took over an address
	// from answering for the previous one.
	To    uint32
	Inc   Incarnation
	State State
	Reply bool
	// Unknown is set in a reply to a VM that the replying one does not know, for
	// example because the latter just started. The other side then sends its Info
	// again.
	Unknown bool
	// ViewHash covers all members that the sender knows.
	ViewHash uint64
	// Docs are the sender's versions. A hash is omitted if the receiver is known
	// to have the version.
	Docs [numDocs]DocVersion
	// StoreStamp grows with each answer of the store, and StoreAge is how long
	// ago the last one was. Zero means never. The stamp is needed because an age
	// alone would be renewed by the latency of every hop and never grow.
	StoreStamp uint64
	StoreAge   time.Duration
	Updates    []Update
	Sections   []Section
	// Buckets are the view hashes of parts of the members, sent when the views
	// keep differing.
	Buckets []uint32
	// Resync has a bit for each bucket of which the sender requests all members.
	Resync uint32
	// Ask are VMs that do not answer the sender.
	Ask []uint32
	// Evidence answers Ask: when messages of these VMs last arrived at the sender.
	Evidence []Evidence
}

// Update announces the state of one VM.
type Update struct {
	Key uint32
	Inc Incarnation
	// Info is set when the receiver may not know the VM.
	Info     *Info
	Declared State
	// Suspected and Gone are conclusions of others about this incarnation.
	Suspected bool
	Gone      bool
	// Age is how long ago the VM was suspected or concluded gone.
	Age time.Duration
}

// Evidence is the time since a message of a VM last arrived at the sender of
// the evidence.
type Evidence struct {
	Key uint32
	Inc Incarnation
	Age time.Duration
}

// Section is a small opaque record of one VM, replicated by gossip. A later
// version replaces an earlier one.
type Section struct {
	Kind    uint8
	Owner   string
	Version uint64
	Value   []byte
}

// Effect is an action that the caller has to perform, or a notification.
type Effect interface{ isEffect() }

// Send asks the caller to deliver a message to a VM and to pass the reply to
// Step, or to call SendFailed.
type Send struct {
	To      string
	Address string
	Message Message
}

// Changed reports that a VM appeared or changed its state, address or boot.
type Changed struct {
	Member Member
	// Was is the previous state. A VM that was not known before was Gone.
	Was State
}

// DocUpdate reports that a peer has a newer version of a document than this VM.
type DocUpdate struct {
	Peer string
	Doc  Doc
	DocVersion
}

// SectionUpdate delivers a newer section of another VM.
type SectionUpdate struct{ Section Section }

// Refuted reports that other VMs suspected this VM or concluded that it is
// gone, and that it raised its incarnation.
type Refuted struct {
	Incarnation Incarnation
	// By is the VM whose message carried the suspicion.
	By string
	// Duplicate reports that a newer boot of this ID is known: another process
	// uses the same ID, or the clock of the previous process was ahead.
	Duplicate bool
}

func (Send) isEffect()          {}
func (Changed) isEffect()       {}
func (DocUpdate) isEffect()     {}
func (SectionUpdate) isEffect() {}
func (Refuted) isEffect()       {}
