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

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	EventChangeStarted EventKind = iota + 1
	EventChangeInstalled
	// EventChangeFailed: the proposal ended without installing its view; Text
	// gives the cause.
	EventChangeFailed
	// EventHistoryLost: a view was installed after all members were lost.
	EventHistoryLost
	// EventRecordWrittenAgain: the store had an earlier record than this VM, as after a
	// restore from a copy, and the one in force is written again.
	EventRecordWrittenAgain
)

// Event reports a step of a view change for logs and metrics.
type Event struct {
	Kind      EventKind
	Partition int
	Epoch     uint64
	Reason    Reason
	Text      string
}

func (m *Machine) notify(k EventKind, p *partition, epoch uint64, r Reason, text string) {
	m.eff.Events = append(m.eff.Events, Event{Kind: k, Partition: p.n, Epoch: epoch, Reason: r, Text: text})
}
