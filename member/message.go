package member

import "time"

// Doc is a versioned document that is spread by digest.
type Doc uint8

// Documents.
const (
	Config Doc = iota
	Plan
	// List is the platform's list of VMs as a watcher of the store read it.
	List
	numDocs
)

// DocVersion names a version of a document.
type DocVersion struct {
	Version uint64
	Hash    [32]byte
}

// Message is a heartbeat with digest, or the reply to one. Lists are bounded by
// Options.MaxMessageBytes.
type Message struct {
	From string
	// To is the Key of the addressed VM, so that a VM which took over an
	// address is not mistaken for its predecessor.
	To    uint32
	Inc   Incarnation
	State State
	Reply bool
	// Unknown is set in a reply to a VM that the replying one does not know, for
	// example because it just started. The other side introduces itself again.
	Unknown bool
	// ViewHash covers all members that the sender knows.
	ViewHash uint64
	// Docs are the sender's versions. Hashes are sent only to a VM that is not
	// isKnown to have the version.
	Docs [numDocs]DocVersion
	// StoreStamp grows with each news of the store, and StoreAge is how long ago
	// that was. Zero means never. The age alone would be refreshed by the latency
	// of every hop and never grow old.
	StoreStamp uint64
	StoreAge   time.Duration
	Updates    []Update
	Sections   []Section
	// Buckets are partial view hashes, sent when the views keep differing.
	Buckets []uint32
	// Resync is a bit for each bucket of which the sender wants all members.
	Resync uint32
	// Ask are VMs that the sender cannot hear.
	Ask []uint32
	// Heard answers Ask.
	Heard []Evidence
}

// Update says something about one VM.
type Update struct {
	Key uint32
	Inc Incarnation
	// Info is set when the receiver may not know the VM.
	Info     *Info
	Declared State
	// Suspected and Gone are conclusions of others about this incarnation.
	Suspected bool
	Gone      bool
	// Age is how long ago the suspicion began.
	Age time.Duration
}

// Evidence tells how long ago the sender heard a VM directly.
type Evidence struct {
	Key uint32
	Inc Incarnation
	Age time.Duration
}

// Section is a small opaque record of one VM, spread by digest. A later version
// replaces an earlier one.
type Section struct {
	Kind    uint8
	Owner   string
	Version uint64
	Value   []byte
}

// Effect is what the caller has to do.
type Effect interface{ isEffect() }

// Send asks the caller to deliver a message to a VM and to pass the reply to
// Step, or to call Failed.
type Send struct {
	To      string
	Address string
	Message Message
}

// Changed tells that a VM appeared or changed its state, address or boot.
type Changed struct {
	Member Member
	// Was is the former state. A VM that was not known before was Gone.
	Was State
}

// DocNews tells that a peer has a version of a document.
type DocNews struct {
	Peer string
	Doc  Doc
	DocVersion
}

// SectionNews delivers a section of another VM.
type SectionNews struct{ Section Section }

// Refuted tells that this VM was suspected or declared gone by others and raised
// its incarnation.
type Refuted struct {
	Incarnation Incarnation
	// By is the VM that passed the news on.
	By string
	// Duplicate means that another process uses the same ID.
	Duplicate bool
}

func (Send) isEffect()        {}
func (Changed) isEffect()     {}
func (DocNews) isEffect()     {}
func (SectionNews) isEffect() {}
func (Refuted) isEffect()     {}
