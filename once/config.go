package once

import "time"

// Config sets up a Machine. Zero values mean the defaults.
type Config struct {
	// Self is this VM in its present incarnation. Incarnations of a VM grow.
	Self       Member
	DataCentre string
	Region     string
	// Partitions is the number of partitions, default 16. It must be the same
	// on all VMs and must not change while the store holds records.
	Partitions int
	// MaxClaims bounds the claims per partition, default 65536. Today's 180
	// requests/s keep 40,500 per partition within the retention time.
	MaxClaims int
	// Retention is how long a claim is kept after its last change, default 1 h.
	Retention time.Duration
	// PieceClaims is the number of claims per copied piece, default 2048,
	// which is under 256 KB on the wire.
	PieceClaims int
	// ClaimTimeout bounds a claim, default 3 s. It covers a view change.
	ClaimTimeout time.Duration
	// ResendInterval is after how long an unanswered message is sent again,
	// default 400 ms, which is over three times the longest round trip.
	ResendInterval time.Duration
	// PingInterval is the interval of the owner's pings, default 250 ms.
	PingInterval time.Duration
	// Silence is after how long without a message the owner and its witnesses
	// take one another for unreachable, default 1 s.
	Silence time.Duration
	// GoneDelay is how long a member must be reported as gone before it counts
	// as lost, default 10 s.
	GoneDelay time.Duration
	// IsolationLimit is how long an owner grants without hearing of any VM outside
	// its view and without reading its record, default 5 min. Members that all
	// others take for gone thus stop before their successors forget the loss.
	IsolationLimit time.Duration
	// RebalanceInterval is the time between moves that only spread partitions
	// evenly, over all VMs, default 10 s. Negative: never.
	RebalanceInterval time.Duration

	// grantEarly breaks the rule that all witnesses acknowledge. Tests set it
	// to show that the checks notice.
	grantEarly bool
}

// DefaultClaimTimeout is the default of Config.ClaimTimeout.
const DefaultClaimTimeout = 3 * time.Second

func (c Config) withDefaults() Config {
	setInt(&c.Partitions, 16)
	setInt(&c.MaxClaims, 65536)
	setInt(&c.PieceClaims, 2048)
	setDuration(&c.Retention, time.Hour)
	setDuration(&c.ClaimTimeout, DefaultClaimTimeout)
	setDuration(&c.ResendInterval, 400*time.Millisecond)
	setDuration(&c.PingInterval, 250*time.Millisecond)
	setDuration(&c.Silence, time.Second)
	setDuration(&c.GoneDelay, 10*time.Second)
	setDuration(&c.IsolationLimit, 5*time.Minute)
	setDuration(&c.RebalanceInterval, 10*time.Second)
	return c
}

func setInt(p *int, def int) {
	if *p == 0 {
		*p = def
	}
}

func setDuration(p *time.Duration, def time.Duration) {
	if *p == 0 {
		*p = def
	}
}

// VMState is what membership knows about a VM.
type VMState uint8

// States of a VM.
const (
	VMServing VMState = iota + 1
	VMLeaving
	VMSuspected
	// VMGone means that the platform's list reports the VM as gone and that no
	// VM hears it.
	VMGone
)

// VM is a VM of the directory.
type VM struct {
	Member
	DataCentre string
	Region     string
	State      VMState
}

// Directory is the view of the fleet that membership provides. It is set again
// at least once a minute, also if nothing changed.
type Directory struct {
	VMs []VM
	// Complete means that the platform's list was read and that peers were
	// heard, so that a VM which is absent is gone.
	Complete bool
	// Listed means that the platform's list was read.
	Listed bool
}
