package member

import "time"

// Options configure a Cluster. Zero values mean the defaults.
type Options struct {
	// OwnTargets is how many VMs of this VM's data centre are probed. Zero
	// means 8.
	OwnTargets int
	// OtherTargets is how many VMs of each other data centre are probed. Zero
	// means 2.
	OtherTargets int
	// OwnInterval is the maximum interval between probes of one VM of the same
	// data centre. Zero means 3 s. A VM with fewer targets probes each more
	// often.
	OwnInterval time.Duration
	// OtherInterval is the same for other data centres. Zero means 8 s.
	OtherInterval time.Duration
	// ProbeTimeout is the wait for a reply. Zero means 500 ms, which is several
	// times the round trip between regions.
	ProbeTimeout time.Duration
	// SuspectAfter is how long other VMs are asked about a VM that does not reply
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
	// SectionBytes bounds the sections that are sent, in bytes/s. Zero means 500.
	// Beyond it, the newest version of each section stays queued.
	SectionBytes int
	// Sections describes the kinds of sections.
	Sections map[uint8]SectionKind
}

// SectionKind describes which VMs receive the sections of one kind.
type SectionKind struct {
	// SameDataCentre and SameRegion limit the receivers.
	SameDataCentre bool
	SameRegion     bool
	// Reconciled sections are part of the view comparison, so that every VM gets the
	// newest version even if it missed an update. It is meant for sections that
	// change rarely, and needs all VMs as receivers.
	Reconciled bool
	// Collected sections go to one VM only, see Cluster.SetCollector. Sections
	// that all VMs change often would exceed the allowance if every VM received
	// them.
	Collected bool
	// Urgent sections are sent before all others.
	Urgent bool
}

// Fixed limits.
const (
	// maxOwnProbeRate is the number of probes/s within a VM's own data centre,
	// and maxProbeRate the total, above which intervals are not shortened
	// further. They keep a VM within its traffic allowance whether it has 11
	// targets or 22.
	maxOwnProbeRate = 2.7
	maxProbeRate    = 4.4
	// goneProbeInterval is the interval at which one VM that is gone is probed,
	// each in turn, so that both sides find each other after a partition.
	goneProbeInterval = 5 * time.Second
	// pauseThreshold is the time between two ticks above which this VM was paused
	// and ignores the missing messages of that time.
	pauseThreshold = time.Second
	// extraBurst and extraRate (messages/s) bound messages beyond regular probes.
	extraBurst = 60
	extraRate  = 30
	// pushInterval is the minimum time between two pushes of updates, and
	// pushFanout the number of VMs that each push reaches.
	pushInterval = 150 * time.Millisecond
	pushFanout   = 4
	// maxDocPushes bounds the pushes of a new document version. One push to 4 VMs
	// misses about one VM in 50, which then receives it with the next heartbeat.
	maxDocPushes = 8
	// updateSends and sectionSends are how many times one VM sends an item.
	// With 12 sends, an update misses a VM with a probability of about e^-12: less
	// than one miss when 92 of 740 VMs are lost at once. Missed updates are
	// repaired by comparing view hashes. Above backlogThreshold queued updates,
	// as after a partition between regions, backlogSends limits the traffic.
	updateSends      = 12
	backlogSends     = 4
	backlogThreshold = 200
	sectionSends     = 3
	// maxAskedPeers is how many VMs are asked about one that does not answer,
	// askInterval the time between two rounds, and maxAskKeys how many VMs one
	// message may ask about.
	maxAskedPeers = 3
	askInterval   = 250 * time.Millisecond
	maxAskKeys    = 32
	// massFailureWindow and minMassSuspects detect the loss of a rack or data
	// centre: that many VMs of one data centre that missed two probes or are
	// suspected within the window.
	massFailureWindow = 5 * time.Second
	minMassSuspects   = 2
	// impairedFactor lengthens the timeouts of a VM whose probes fail in its
	// own and in most other data centres.
	impairedFactor = 4
	// numBuckets is the number of partial view hashes, and bucketsInterval the
	// minimum time between two messages with them.
	numBuckets      = 32
	bucketsInterval = 250 * time.Millisecond
	// minViewAge is how long the view must be unchanged before differences are
	// repaired, because updates that are still spreading need no repair.
	minViewAge     = time.Second
	resyncInterval = 400 * time.Millisecond
	// contactWindow is how long after a message arrived from a VM this VM counts
	// it as a correspondent.
	contactWindow = 16 * time.Second
	// challengeTimeout is how long a VM that others report as gone may take to
	// raise its incarnation before it is suspected here as well.
	challengeTimeout = time.Second
	// cutOffTimeout is the time without any message after which this VM may
	// itself be cut off; it then draws no conclusions.
	cutOffTimeout = 1500 * time.Millisecond
	// collectIntervalPerVM times the number of VMs is the interval at which a VM
	// sends its collected sections, between minCollectInterval and
	// maxCollectInterval. The collector then receives about 6 messages/s
	// regardless of the number of VMs.
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
