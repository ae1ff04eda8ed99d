package once

import "time"

// Config configures a Machine. Zero values select the defaults.
type Config struct {
	// Self is this VM and its current incarnation. A later incarnation of a VM
	// has a higher number.
	Self       Member
	DataCentre string
	Region     string
	// Partitions is the number of partitions, default 16. It must be the same
	// on all VMs and must not change while the store holds records.
	Partitions int
	// MaxClaims bounds the claims per partition, default 65536. A load of 180
	// requests/s leads to 40,500 per partition within the default retention.
	MaxClaims int
	// Retention is how long a claim is kept after its last change, default 1 h.
	Retention time.Duration
	// PieceClaims is the number of claims per piece when a table is copied,
	// default 2048, which is less than 256 KB on the wire.
	PieceClaims int
	// ClaimTimeout bounds the wait for the answer to a claim, default 3 s, which
	// is longer than a view change takes.
	ClaimTimeout time.Duration
	// ResendInterval is the time after which an unanswered message is sent
	// again, default 400 ms, which is over three times the longest round trip.
	ResendInterval time.Duration
	// PingInterval is the interval of the owner's pings, default 250 ms.
	PingInterval time.Duration
	// PeerTimeout is the time without a message after which the owner and its
	// witnesses consider each other unreachable, default 1 s.
	PeerTimeout time.Duration
	// GoneDelay is how long a member must be reported as gone before it is
	// considered lost, default 10 s.
	GoneDelay time.Duration
	// IsolationLimit is how long an owner grants without contact with a VM
	// outside its view and without reading its record, default 5 min. Members
	// that all other VMs report as gone thus stop granting before the view that
	// replaced them, which lost their claims, grants unknown keys again.
	IsolationLimit time.Duration
	// RebalanceInterval is the length of the time slots in which the owners, one
	// per slot, may move partitions just to spread them better, default 10 s.
	// The directory must be unchanged for that long first. Negative: no
	// such moves.
	RebalanceInterval time.Duration

	// grantEarly makes the owner grant before its witnesses have acknowledged.
	// Tests set it to show that the checks detect this fault.
	grantEarly bool
}

// DefaultClaimTimeout is the default of Config.ClaimTimeout.
const DefaultClaimTimeout = 3 * time.Second

func (c Config) withDefaults() Config {
	setDefaultInt(&c.Partitions, 16)
	setDefaultInt(&c.MaxClaims, 65536)
	setDefaultInt(&c.PieceClaims, 2048)
	setDefaultDuration(&c.Retention, time.Hour)
	setDefaultDuration(&c.ClaimTimeout, DefaultClaimTimeout)
	setDefaultDuration(&c.ResendInterval, 400*time.Millisecond)
	setDefaultDuration(&c.PingInterval, 250*time.Millisecond)
	setDefaultDuration(&c.PeerTimeout, time.Second)
	setDefaultDuration(&c.GoneDelay, 10*time.Second)
	setDefaultDuration(&c.IsolationLimit, 5*time.Minute)
	setDefaultDuration(&c.RebalanceInterval, 10*time.Second)
	return c
}

func setDefaultInt(p *int, def int) {
	if *p == 0 {
		*p = def
	}
}

func setDefaultDuration(p *time.Duration, def time.Duration) {
	if *p == 0 {
		*p = def
	}
}

// VMState is the state of a VM as reported by membership.
type VMState uint8

// States of a VM.
const (
	VMServing VMState = iota + 1
	VMLeaving
	VMSuspected
	// VMGone means that the platform's list reports the VM as gone and that no
	// VM receives messages from it.
	VMGone
)

// VM is an entry of the directory.
type VM struct {
	Member
	DataCentre string
	Region     string
	State      VMState
}

// Directory lists the VMs of the fleet as membership knows them. It is set again
// at least once a minute, even if nothing changed; see Config.IsolationLimit.
type Directory struct {
	VMs []VM
	// Complete means that the platform's list was read and that peers had time
	// to announce themselves, so that a VM which is absent is gone.
	Complete bool
	// Listed means that the platform's list was read.
	Listed bool
}
