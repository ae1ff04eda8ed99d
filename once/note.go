package once

// Reason is the cause of a view change.
type Reason string

// Reasons of view changes.
const (
	ReasonFirstAssignment     Reason = "first-assignment"
	ReasonOwnerUnreachable    Reason = "owner-silent"
	ReasonWitnessUnreachable  Reason = "witness-silent"
	ReasonMemberReplaced      Reason = "member-replaced"
	ReasonMembersGone         Reason = "members-gone"
	ReasonLeaving             Reason = "member-leaving"
	ReasonSealed              Reason = "sealed"
	ReasonMemberWithoutClaims Reason = "member-without-claims"
	ReasonOwnerImpaired       Reason = "owner-impaired"
	ReasonUnevenOwnership     Reason = "spread"
	ReasonBetterPlacement     Reason = "placement"
)

// NoteKind is the kind of a Note.
type NoteKind uint8

// Kinds of notes.
const (
	NoteChangeStarted NoteKind = iota + 1
	NoteChangeInstalled
	// NoteChangeFailed: the proposal ended without installing its view; Text
	// gives the cause.
	NoteChangeFailed
	// NoteHistoryLost: a view was installed after all members were lost.
	NoteHistoryLost
)

// Note reports a step of a view change for logs and metrics.
type Note struct {
	Kind      NoteKind
	Partition int
	Epoch     uint64
	Reason    Reason
	Text      string
}

func (m *Machine) notify(k NoteKind, p *partition, epoch uint64, r Reason, text string) {
	m.eff.Notes = append(m.eff.Notes, Note{Kind: k, Partition: p.n, Epoch: epoch, Reason: r, Text: text})
}
