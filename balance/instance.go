package balance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Instance is one upstream process as the asset register and the drains have it.
type Instance struct {
	ID             string
	Slots          int
	MaxConnections int // from all entry VMs; zero means 400
	// Draining instances get no new work.
	Draining bool
	// Started is when the instance started cold. Zero means that it is warm.
	Started time.Time
}

// LoadReport is what an instance says of itself. It arrives late, so that it is
// only a hint where nothing better is known.
type LoadReport struct {
	At              time.Time // when it was measured
	Running, Queued int
}

const defaultMaxConnections = 400

type instance struct {
	id          string
	slots       int32
	connections int
	draining    bool
	removed     bool
	own         int32 // own slots
	ownLong     int32 // those of them open to long work
	limit       int32 // requests in flight from this VM, its part of the connections
	out         [2]int32

	oldest, newest int32 // flights in the order of their start
	rampFrom       int64 // never when warm
	pacedTo        int64 // a ramping instance gets nothing before

	health
	reportLoad float32 // running and queued over slots
	reportAt   int64
}

func (in *instance) total() int32 { return in.out[0] + in.out[1] }

// SetPeers sets the number of entry VMs that share the instances and the rank of
// this one among them in the order of their IDs, from 0. A negative rank is
// unknown and is drawn. VMs whose views differ for a while own some slots twice,
// which costs waiting at the instance and nothing else.
func (b *Balancer) SetPeers(n, rank int) {
	n = max(1, n)
	if rank < 0 {
		rank = b.random(n)
	}
	b.peers, b.rank = n, rank%n
	b.deal()
}

// SetInstances replaces the instances. State of instances that stay is kept; work
// in flight on those that leave is still to be reported by Done.
func (b *Balancer) SetInstances(now time.Time, list []Instance) {
	t := b.ns(now)
	for i := range b.instances {
		b.instances[i].removed = true
	}
	for i := range list {
		b.setInstance(t, &list[i])
	}
	for i := range b.instances {
		in := &b.instances[i]
		// An instance that still has work is remembered, so that its limit holds
		// if it returns.
		if in.removed && in.total() == 0 && b.byID[in.id] == int32(i) {
			delete(b.byID, in.id)
		}
	}
	b.deal()
	b.countSuspects()
	b.scheduleProbe()
}

func (b *Balancer) setInstance(t int64, s *Instance) {
	i, known := b.byID[s.ID]
	if !known {
		i = b.vacant()
		b.instances[i] = instance{id: s.ID, oldest: none, newest: none, rampFrom: never, reportAt: -never}
		b.instances[i].probeAt = never
		b.byID[s.ID] = i
	}
	in := &b.instances[i]
	if started := b.ns(s.Started); !s.Started.IsZero() && t-started < int64(b.cfg.Ramp) {
		in.rampFrom = started
	} else if known && in.draining && !s.Draining {
		// Caches have gone cold and other instances have taken the load over.
		in.rampFrom = t
	}
	in.removed, in.draining = false, s.Draining
	in.slots = int32(max(1, s.Slots))
	in.connections = s.MaxConnections
	if in.connections <= 0 {
		in.connections = defaultMaxConnections
	}
}

// vacant returns the index of a removed instance without work, or of a new one.
func (b *Balancer) vacant() int32 {
	for i := range b.instances {
		in := &b.instances[i]
		if _, listed := b.byID[in.id]; in.removed && !listed && in.total() == 0 {
			return int32(i)
		}
	}
	b.instances = append(b.instances, instance{})
	return int32(len(b.instances) - 1)
}

// deal computes the own slots. Slots open to long work and slots for short work
// only are dealt separately, instance by instance, so that every entry VM gets an
// equal number of each, on as many instances as possible. Draining instances take
// part, so that a drain doesn't move slots between entry VMs.
func (b *Balancer) deal() {
	order := make([]int32, 0, len(b.instances))
	for i := range b.instances {
		if !b.instances[i].removed {
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
		in.ownLong = int32(b.share(long, longSlots, 0))
		in.own = in.ownLong + int32(b.share(short, shortSlots, b.peers/2))
		long, short = long+longSlots, short+shortSlots
		in.limit = int32(max(1, in.connections/b.peers))
		in.own = min(in.own, in.limit)
		in.ownLong = min(in.ownLong, in.own)
		if in.draining {
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
	// A VM without own slots lives on borrowed ones, up to its part of all slots.
	floor := max(1, float64(b.ownSlots)/10)
	if b.ownSlots == 0 {
		floor = max(1, math.Ceil(float64(long+short)/float64(b.peers)))
	}
	for c := range b.borrowLimit {
		b.borrowLimit[c] = max(b.borrowLimit[c], floor)
	}
	b.countSuspects()
}

// share returns how many of n slots that follow first belong to this VM, when
// slot k belongs to the VM of rank k+shift modulo the number of VMs.
func (b *Balancer) share(first, n, shift int) int {
	want := (b.rank - shift%b.peers + b.peers) % b.peers
	upTo := func(k int) int { return (k + b.peers - 1 - want) / b.peers }
	return upTo(first+n) - upTo(first)
}

// warmth returns the part of its full share that a ramping instance gets.
func (b *Balancer) warmth(in *instance, t int64) float64 {
	if in.rampFrom == never {
		return 1
	}
	w := float64(t-in.rampFrom) / float64(b.cfg.Ramp)
	if w >= 1 {
		in.rampFrom = never
		return 1
	}
	return max(w, minWarmth)
}

// minWarmth lets a cold instance run enough work to warm up at all.
const minWarmth = 0.05

// Report takes a load report. Unknown instances are ignored.
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

// hint returns the reported load, which counts less the older it is.
func (b *Balancer) hint(in *instance, t int64) float64 {
	if in.reportAt == -never {
		return 0
	}
	age := float64(t-in.reportAt) / float64(b.cfg.ReportHalfLife)
	return float64(in.reportLoad) / (1 + age*age)
}
