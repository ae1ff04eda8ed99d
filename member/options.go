package member

import "time"

// Options of a Cluster. Zero values mean the defaults.
type Options struct {
	// OwnTargets is how many VMs of the own data centre are probed. Zero means 8.
	OwnTargets int
	// OtherTargets is how many VMs of each other data centre are probed. Zero
	// means 2.
	OtherTargets int
	// OwnInterval is the longest interval between probes of one VM of the own
	// data centre. Zero means 3 s. A VM with fewer targets probes more often.
	OwnInterval time.Duration
	// OtherInterval is the same for other data centres. Zero means 8 s.
	OtherInterval time.Duration
	// ProbeTimeout is the wait for a reply. Zero means 500 ms, which is several
	// times the round trip between regions.
	ProbeTimeout time.Duration
	// SuspectAfter is how long a VM without a reply is asked for at others
	// before it is suspected. Zero means 600 ms.
	SuspectAfter time.Duration
	// GoneAfter is how long a suspicion waits for a refutation. Zero means
	// 1,500 ms.
	GoneAfter time.Duration
	// ForgetAfter is how long a VM that is gone and not listed is kept. Zero
	// means 10 min.
	ForgetAfter time.Duration
	// MaxMessageBytes bounds a message. Zero means 8 KB.
	MaxMessageBytes int
	// SectionBytes is the allowance for sending sections in bytes/s. Zero means
	// 500. The newest version of each section waits for its turn.
	SectionBytes int
	// Sections describes the kinds of sections.
	Sections map[uint8]SectionKind
}

// SectionKind tells how far sections of one kind are spread.
type SectionKind struct {
	// SameDataCentre and SameRegion limit the receivers.
	SameDataCentre bool
	SameRegion     bool
	// Lasting sections are compared with the views, so that each VM gets the
	// newest version even if it missed the news. It is meant for sections that
	// change rarely, and needs all VMs as receivers.
	Lasting bool
	// Collected sections go to one VM only, see Cluster.SetCollector. Sections
	// that all VMs change often would exceed the allowance if every VM got them.
	Collected bool
	// Urgent sections go before all others.
	Urgent bool
}

// Fixed limits.
const (
	// maxOwnProbeRate is the probes/s within the own data centre, and maxProbeRate those in
	// total, above which the intervals are not shortened. They keep a node within
	// its traffic allowance whether it has 11 targets or 22.
	maxOwnProbeRate = 2.7
	maxProbeRate    = 4.4
	// goneProbeInterval is the interval at which one listed VM that is gone is probed,
	// in turn, so that partitions heal.
	goneProbeInterval = 5 * time.Second
	// pauseThreshold is the time between two ticks above which this VM was paused and
	// draws no conclusions from silence.
	pauseThreshold = time.Second
	// extraBurst and refill (messages/s) bound messages beyond regular probes.
	extraBurst = 60
	extraRate  = 30
	// pushInterval is the shortest time between two pushes of urgent news, and
	// pushFanout how many VMs each push reaches.
	pushInterval = 150 * time.Millisecond
	pushFanout   = 4
	// docPushesLeft bounds the pushes of a new document version. One push of 4 misses
	// about one VM in 50, which then waits for the next heartbeat.
	maxDocPushes = 8
	// updateSends and sectionSends are how often one VM passes an item on. With
	// 12 sends a news item misses a VM with a probability of about e^-12; at 740
	// VMs and 92 VMs lost at once that is less than one miss. What is missed is
	// repaired by comparing view hashes. When many items wait, as after a
	// partition between regions, fewer sends keep the traffic down.
	updateSends      = 12
	backlogSends     = 4
	backlogThreshold = 200
	sectionSends     = 3
	// maxAskedPeers is how many VMs are asked about one that does not answer, and
	// askInterval the time between two rounds.
	maxAskedPeers = 3
	askInterval   = 250 * time.Millisecond
	maxAskKeys    = 32
	// massFailureWindow and minMassSuspects recognise the loss of a rack or data centre:
	// that many VMs of one data centre in doubt within the window.
	massFailureWindow = 5 * time.Second
	minMassSuspects   = 2
	// impairedFactor lengthens the waits of a VM whose probes fail everywhere.
	impairedFactor = 4
	// numBuckets is the number of partial view hashes.
	numBuckets      = 32
	bucketsInterval = 250 * time.Millisecond
	// minViewAge is how long the view must be unchanged before differences are
	// repaired, because news that is still spreading needs no repair.
	minViewAge     = time.Second
	resyncInterval = 400 * time.Millisecond
	// contactWindow is how long after an exchange a VM counts as a correspondent.
	contactWindow = 16 * time.Second
	// challengeTimeout is how long a VM that others call gone may take to raise its
	// incarnation before it is suspected here as well.
	challengeTimeout = time.Second
	// cutOffTimeout is the silence of all VMs after which this VM may itself be
	// cut off; it then concludes nothing.
	cutOffTimeout = 1500 * time.Millisecond
	// collectIntervalPerVM times the number of VMs is the interval at which a VM sends
	// its collected sections, between minCollectInterval and maxCollectInterval. The collector
	// then receives about 6 messages/s however many VMs there are.
	collectIntervalPerVM = 160 * time.Millisecond
	minCollectInterval   = 2 * time.Second
	maxCollectInterval   = 2 * time.Minute
	// maxSectionBytes bounds the value of one section.
	maxSectionBytes = 512
	maxSections     = 20_000
	maxMembers      = 20_000
)

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefaultInt := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	setDefaultInt(&o.OwnTargets, 8)
	setDefaultInt(&o.OtherTargets, 2)
	setDefault(&o.OwnInterval, 3*time.Second)
	setDefault(&o.OtherInterval, 8*time.Second)
	setDefault(&o.ProbeTimeout, 500*time.Millisecond)
	setDefault(&o.SuspectAfter, 600*time.Millisecond)
	setDefault(&o.GoneAfter, 1500*time.Millisecond)
	setDefault(&o.ForgetAfter, 10*time.Minute)
	setDefaultInt(&o.MaxMessageBytes, 8<<10)
	setDefaultInt(&o.SectionBytes, 500)
	return o
}
