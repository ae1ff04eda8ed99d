package once

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates machines in virtual time, with a network, a store and a
// directory into which tests inject faults.
type fleet struct {
	t       testing.TB
	rnd     *rand.Rand
	now     time.Time
	queue   eventQueue
	lastSeq int
	nodes   []*node
	byID    map[string]*node
	cfg     Config
	net     netFaults
	store   simStore
	hist    history
	sent    map[Kind]int
	failed  []string
	// reportUnreachableAsGone makes the directory report unreachable VMs as gone.
	reportUnreachableAsGone bool
	// abandonProb is the probability that a request is abandoned within 600 ms.
	abandonProb float64
}

type netFaults struct {
	lossProb, dupProb, delayProb float64
	cut                          func(a, b *node) bool
}

type node struct {
	f           *fleet
	vm          VM
	m           *Machine
	up          bool
	leaving     bool
	changedAt   time.Time // of the last start or kill
	pausedUntil time.Time
	backlog     []func()
	reqs        map[uint64]*request
}

type simStore struct {
	entries       map[int]Record
	index         map[int]uint64
	down          func(n *node) bool
	replyLossProb float64 // probability that a reply is lost after the call took effect
	extraDelay    time.Duration
	reads         int
	writes        int
	// downUntil is the last time at which some VMs could not reach the store.
	downUntil time.Time
	// copies are copies of the store from which it can be restored, the oldest first.
	copies []storeCopy
}

// storeCopy is the content of a store at some time.
type storeCopy struct {
	at      time.Time
	entries map[int]Record
	index   map[int]uint64
}

// copyInterval is the time between two copies of the store, and copiesKept their number.
const (
	copyInterval = time.Second
	copiesKept   = 12
)

// copyStore takes a copy of the store.
func (f *fleet) copyStore() {
	s := &f.store
	s.copies = append(s.copies, storeCopy{f.now, maps.Clone(s.entries), maps.Clone(s.index)})
	s.copies = s.copies[max(0, len(s.copies)-copiesKept):]
}

// restoreStore replaces the content of the store by a copy of at least that age, or the
// oldest one. Indexes are given out again.
func (f *fleet) restoreStore(age time.Duration) {
	s := &f.store
	for n := len(s.copies) - 1; n >= 0; n-- {
		if c := s.copies[n]; n == 0 || f.now.Sub(c.at) >= age {
			s.entries, s.index = maps.Clone(c.entries), maps.Clone(c.index)
			return
		}
	}
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newFleet starts 3 regions of 2 data centres with 2 VMs each.
func newFleet(t testing.TB, seed uint64, cfg Config) *fleet {
	f := &fleet{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: simStart, cfg: cfg,
		byID: make(map[string]*node), sent: make(map[Kind]int),
	}
	f.store.entries, f.store.index = make(map[int]Record), make(map[int]uint64)
	for r := 0; r < 3; r++ {
		for d := 0; d < 2; d++ {
			for v := 0; v < 2; v++ {
				n := &node{f: f, vm: VM{
					Member:     Member{VM: fmt.Sprintf("vm-%d%d%d", r, d, v)},
					DataCentre: fmt.Sprintf("dc-%d%d", r, d), Region: fmt.Sprintf("region-%d", r), State: VMServing,
				}}
				f.nodes = append(f.nodes, n)
				f.byID[n.vm.VM] = n
			}
		}
	}
	for _, n := range f.nodes {
		n.start()
	}
	f.every(500*time.Millisecond, f.updateDirectories)
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.lastSeq++
	heap.Push(&f.queue, event{f.now.Add(d), f.lastSeq, run})
}

func (f *fleet) every(d time.Duration, run func()) {
	var again func()
	again = func() { run(); f.after(d, again) }
	f.after(0, again)
}

// run advances virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (n *node) start() {
	n.vm.Incarnation++
	n.up, n.leaving, n.changedAt, n.backlog, n.pausedUntil = true, false, n.f.now, nil, time.Time{}
	n.reqs = make(map[uint64]*request)
	cfg := n.f.cfg
	cfg.Self, cfg.DataCentre, cfg.Region = n.vm.Member, n.vm.DataCentre, n.vm.Region
	n.m = New(n.f.now, cfg)
	inc := n.vm.Incarnation
	for p := 0; p < len(n.m.parts); p++ { // the initial load finds most records
		if r, ok := n.f.store.entries[p]; ok && n.f.rnd.Float64() < 0.8 {
			n.apply(n.m.Observe(n.f.now, r))
		}
	}
	var tick func()
	tick = func() {
		if n.vm.Incarnation != inc || !n.up {
			return
		}
		n.do(func() { n.apply(n.m.Tick(n.f.now)) })
		n.f.after(25*time.Millisecond, tick)
	}
	n.f.after(time.Duration(n.f.rnd.IntN(25))*time.Millisecond, tick)
}

func (n *node) kill() {
	if n.up {
		n.up, n.changedAt, n.backlog = false, n.f.now, nil
	}
}

func (n *node) pause(d time.Duration) {
	if !n.up {
		return
	}
	n.pausedUntil = n.f.now.Add(d)
	inc := n.vm.Incarnation
	n.f.after(d, func() {
		if !n.up || n.vm.Incarnation != inc || n.f.now.Before(n.pausedUntil) {
			return
		}
		todo := n.backlog
		n.backlog = nil
		for _, f := range todo {
			f()
		}
	})
}

// do runs an event on the node, after its pause if it is paused.
func (n *node) do(run func()) {
	if !n.up {
		return
	}
	if n.f.now.Before(n.pausedUntil) {
		if len(n.backlog) < 5000 {
			n.backlog = append(n.backlog, run)
		}
		return
	}
	run()
}

// doAs schedules an event that is dropped if the node restarts before it is due.
func (n *node) doAs(d time.Duration, run func()) {
	inc := n.vm.Incarnation
	n.f.after(d, func() {
		if n.vm.Incarnation == inc {
			n.do(run)
		}
	})
}

func (n *node) apply(e Effects) {
	for i := range e.Sends {
		n.f.deliver(n, e.Sends[i].To, e.Sends[i].Message)
	}
	for _, p := range e.Reads {
		n.f.read(n, p)
	}
	for _, s := range e.Swaps {
		n.f.swap(n, s)
	}
	for _, a := range e.Answers {
		n.f.answered(n, a)
	}
	for _, seq := range e.Settled {
		n.f.settled(n, seq)
	}
}

func (f *fleet) latency(a, b *node) time.Duration {
	d := 300 * time.Microsecond
	switch {
	case a.vm.Region != b.vm.Region:
		d = 55 * time.Millisecond
	case a.vm.DataCentre != b.vm.DataCentre:
		d = time.Millisecond
	}
	return d + time.Duration(f.rnd.Int64N(int64(d)/10+1))
}

func (f *fleet) deliver(from *node, to string, msg Message) {
	f.sent[msg.Kind]++
	dst := f.byID[to]
	copies := 1
	if f.rnd.Float64() < f.net.dupProb {
		copies = 2
	}
	for ; copies > 0; copies-- {
		if dst == nil || f.rnd.Float64() < f.net.lossProb || (f.net.cut != nil && f.net.cut(from, dst)) {
			continue
		}
		d := f.latency(from, dst)
		if f.rnd.Float64() < f.net.delayProb {
			d += time.Duration(f.rnd.Int64N(int64(4 * time.Second)))
		}
		m := msg
		f.after(d, func() {
			dst.do(func() { dst.apply(dst.m.Step(f.now, from.vm.VM, &m)) })
		})
	}
}

func (f *fleet) storeDelay() time.Duration {
	return f.store.extraDelay + time.Duration(2+f.rnd.IntN(110))*time.Millisecond/2
}

func (f *fleet) read(n *node, p int) {
	f.store.reads++
	down := f.store.down != nil && f.store.down(n)
	lost := f.rnd.Float64() < f.store.replyLossProb
	f.after(f.storeDelay(), func() {
		r, ok := f.store.entries[p]
		idx := f.store.index[p]
		d := f.storeDelay()
		if down || lost {
			d = 3 * time.Second
		}
		n.doAs(d, func() { n.apply(n.m.StoreRead(f.now, p, r, idx, ok, !down && !lost)) })
	})
}

func (f *fleet) swap(n *node, s Swap) {
	f.store.writes++
	down := f.store.down != nil && f.store.down(n)
	lost := f.rnd.Float64() < f.store.replyLossProb
	d := f.storeDelay()
	if lost && f.rnd.IntN(2) == 0 {
		d += time.Duration(f.rnd.IntN(6000)) * time.Millisecond // takes effect after the caller timed out
	}
	res := SwapConflict
	f.after(d, func() {
		if down {
			return
		}
		p := s.Record.Partition
		if f.store.index[p] == s.Index {
			res = SwapDone
			f.store.index[p]++
			f.store.entries[p] = s.Record
		}
	})
	if down || lost {
		n.doAs(3*time.Second, func() { n.apply(n.m.StoreSwapped(f.now, s.Record, SwapUnknown)) })
		return
	}
	n.doAs(d+f.storeDelay(), func() { n.apply(n.m.StoreSwapped(f.now, s.Record, res)) })
}

// updateDirectories sets the directory of every VM, with the delays of membership.
func (f *fleet) updateDirectories() {
	if f.store.down != nil {
		f.store.downUntil = f.now
	}
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		dir := Directory{Complete: f.now.Sub(simStart) > time.Second}
		for _, o := range f.nodes {
			v, age := o.vm, f.now.Sub(o.changedAt)
			unreachable := !o.up || f.now.Before(o.pausedUntil) || (f.net.cut != nil && f.net.cut(o, n))
			switch {
			case !o.up && age > 6*time.Second, f.reportUnreachableAsGone && unreachable && age > 3*time.Second:
				v.State = VMGone
			case unreachable && age > 3*time.Second:
				v.State = VMSuspected
			case o.up && o.leaving:
				v.State = VMLeaving
			}
			if o.up && age < time.Second && o.vm.Incarnation > 1 {
				v.Incarnation-- // the new incarnation is not known yet
			}
			dir.VMs = append(dir.VMs, v)
		}
		n.do(func() { n.apply(n.m.SetDirectory(f.now, dir)) })
	}
}
