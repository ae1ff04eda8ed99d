package balance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Instance describes one upstream instance by the asset register and the drains.
type Instance struct {
	ID             string
	Slots          int
	MaxConnections int // from all entry VMs; zero means 400
	// Draining instances get no new requests.
	Draining bool
	// Started is when the instance started with cold caches. The zero time means
	// that it is warm.
	Started time.Time
}

// LoadReport is the load that an instance reports. It arrives late and is only used
// as a hint where nothing better is known.
type LoadReport struct {
	At              time.Time // time of the measurement
	Running, Queued int
}

const defaultMaxConnections = 400

type instance struct {
	id              string
	slots           int32
	connections     int
	isDraining      bool
	isRemoved       bool
	own             int32 // own slots
	ownLong         int32 // own slots that are open to long work
	connectionLimit int32 // limit on requests in flight from this VM: its part of the connections
	inFlight        [2]int32

	oldest, newest int32 // flights in the order of their start
	rampStart      int64 // start of the ramp, or never when warm
	pacedUntil     int64 // a ramping instance gets no request before this time

	health
	reportLoad float32 // running and queued requests divided by slots
	reportAt   int64
}

func (in *instance) total() int32 { return in.inFlight[0] + in.inFlight[1] }

// SetPeers sets the number of entry VMs that share the instances and the rank of
// this one among them in the order of their IDs, from 0. A negative rank means that
// it is unknown; a random one is then used. While the views of VMs differ, some
// slots have two owners. Requests may then queue at the instance; there is no other
// effect.
func (b *Balancer) SetPeers(n, rank int) {
	n = max(1, n)
	if rank < 0 {
		rank = b.random(n)
	}
	b.peers, b.rank = n, rank%n
	b.assignSlots()
}

// SetInstances replaces the list of instances. The state of instances that remain
// is kept. Attempts in flight on removed instances must still be reported by Done.
func (b *Balancer) SetInstances(now time.Time, list []Instance) {
	t := b.ns(now)
	for i := range b.instances {
		b.instances[i].isRemoved = true
	}
	for i := range list {
		b.setInstance(t, &list[i])
	}
	for i := range b.instances {
		in := &b.instances[i]
		// A removed instance with requests in flight keeps its state, so that its
		// limit is respected if it returns.
		if in.isRemoved && in.total() == 0 && b.byID[in.id] == int32(i) {
			delete(b.byID, in.id)
		}
	}
	b.assignSlots()
	b.countSuspects()
	b.scheduleProbe()
}

func (b *Balancer) setInstance(t int64, s *Instance) {
	i, known := b.byID[s.ID]
	if !known {
		i = b.vacantInstance()
		b.instances[i] = instance{id: s.ID, oldest: none, newest: none, rampStart: never, reportAt: -never}
		b.instances[i].probeAt = never
		b.byID[s.ID] = i
	}
	in := &b.instances[i]
	if started := b.ns(s.Started); !s.Started.IsZero() && t-started < int64(b.cfg.RampTime) {
		in.rampStart = started
	} else if known && in.isDraining && !s.Draining {
		// During the drain its caches went cold and other instances took over its
		// load.
		in.rampStart = t
	}
	in.isRemoved, in.isDraining = false, s.Draining
	in.slots = int32(max(1, s.Slots))
	in.connections = s.MaxConnections
	if in.connections <= 0 {
		in.connections = defaultMaxConnections
	}
}

// vacantInstance returns the index of a removed instance without requests in
// flight, or of a new entry.
func (b *Balancer) vacantInstance() int32 {
	for i := range b.instances {
		in := &b.instances[i]
		if _, listed := b.byID[in.id]; in.isRemoved && !listed && in.total() == 0 {
			return int32(i)
		}
	}
	b.instances = append(b.instances, instance{})
	return int32(len(b.instances) - 1)
}

// assignSlots computes the own slots. Slots open to long work and slots reserved for
// short work are assigned separately, instance by instance, so that every entry VM
// gets an equal number of each on as many instances as possible. Draining instances
// are included, so that a drain doesn't move slots between entry VMs.
func (b *Balancer) assignSlots() {
	order := make([]int32, 0, len(b.instances))
	for i := range b.instances {
		if !b.instances[i].isRemoved {
			order = append(order, int32(i))
		}
	}
	slices.SortFunc(order, func(x, y int32) int { return strings.Compare(b.instances[x].id, b.instances[y].id) })
	b.own, b.active = b.own[:0], b.active[:0]
	b.ownSlots, b.ownLong = 0, 0
	long, short := 0, 0
	for _, i := range order {
		in := &b.instances[i]
		longSlots := int(math.Round(b.cfg.LongSlots * float64(in.slots)))
		longSlots = min(max(longSlots, 1), int(in.slots))
		shortSlots := int(in.slots) - longSlots
		in.ownLong = int32(b.numOwnSlots(long, longSlots, 0))
		in.own = in.ownLong + int32(b.numOwnSlots(short, shortSlots, b.peers/2))
		long, short = long+longSlots, short+shortSlots
		in.connectionLimit = int32(max(1, in.connections/b.peers))
		in.own = min(in.own, in.connectionLimit)
		in.ownLong = min(in.ownLong, in.own)
		if in.isDraining {
			continue
		}
		b.active = append(b.active, i)
		if in.own > 0 {
			b.own = append(b.own, i)
			b.ownSlots += in.own
			b.ownLong += in.ownLong
		}
	}
	b.meanSlots = float64(long+short) / float64(max(1, len(order)))
	// A VM without own slots only uses borrowed ones, up to its part of all slots.
	minBorrowLimit := max(1, float64(b.ownSlots)/10)
	if b.ownSlots == 0 {
		minBorrowLimit = max(1, math.Ceil(float64(long+short)/float64(b.peers)))
	}
	for c := range b.borrowLimit {
		b.borrowLimit[c] = max(b.borrowLimit[c], minBorrowLimit)
	}
	b.countSuspects()
}

// numOwnSlots returns how many of the n slots from index first on belong to this
// VM, where slot k belongs to the VM of rank k+shift modulo the number of VMs.
func (b *Balancer) numOwnSlots(first, n, shift int) int {
	residue := (b.rank - shift%b.peers + b.peers) % b.peers
	upTo := func(k int) int { return (k + b.peers - 1 - residue) / b.peers }
	return upTo(first+n) - upTo(first)
}

// rampFraction returns the fraction of its full share that a ramping instance gets.
func (b *Balancer) rampFraction(in *instance, t int64) float64 {
	if in.rampStart == never {
		return 1
	}
	fraction := float64(t-in.rampStart) / float64(b.cfg.RampTime)
	if fraction >= 1 {
		in.rampStart = never
		return 1
	}
	return max(fraction, minRampFraction)
}

// minRampFraction gives a cold instance enough requests to warm up at all.
const minRampFraction = 0.05

// Report records the load report of an instance. Reports of unknown instances are
// ignored.
func (b *Balancer) Report(now time.Time, id string, l LoadReport) {
	t := b.ns(now)
	i, ok := b.byID[id]
	if !ok {
		return
	}
	in := &b.instances[i]
	if at := min(b.ns(l.At), t); at > in.reportAt {
		in.reportAt = at
		in.reportLoad = float32(l.Running+l.Queued) / float32(in.slots)
	}
}

// agedReportLoad returns the reported load, weighted down with the report's age.
func (b *Balancer) agedReportLoad(in *instance, t int64) float64 {
	if in.reportAt == -never {
		return 0
	}
	age := float64(t-in.reportAt) / float64(b.cfg.ReportHalfLife)
	return float64(in.reportLoad) / (1 + age*age)
}
