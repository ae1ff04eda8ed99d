package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer"
)

// callOverhead is what drpc adds to a request and its reply: the name of the
// call and the frames of three packets each way.
const callOverhead = 60

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// loop runs the cores of several VMs in virtual time.
type loop struct {
	now    time.Time
	rng    *rand.Rand
	queue  timers
	seq    int
	vms    map[string]*vm
	order  []*vm
	onSend func(from, to *vm) (drop bool)
	// messages and bytes count requests and replies of all VMs.
	messages, bytes int
	peak            map[int64]int // bytes by second
}

type vm struct {
	info    member.Info
	core    *member.Cluster
	crashed bool
	paused  time.Time // end of the current pause
	view    map[string]member.State
	changed func(member.Changed)
}

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || (t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func (l *loop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.queue, timer{l.now.Add(d), l.seq, f})
}

func (l *loop) run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		t := heap.Pop(&l.queue).(timer)
		l.now = t.at
		t.run()
	}
	l.now = end
}

// newLoop starts n VMs in the given number of regions with two data centres
// each. All of them are serving and have the platform's list.
func newLoop(n, regions int, seed uint64, o member.Options) *loop {
	l := &loop{now: start, rng: rand.New(rand.NewPCG(seed, 1)), vms: make(map[string]*vm), peak: make(map[int64]int)}
	var list []member.Listed
	for i := range n {
		dc := i % (2 * regions)
		v := &vm{info: member.Info{
			ID: fmt.Sprintf("vm-%03d", i), DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc/2),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		}}
		l.vms[v.info.ID] = v
		l.order = append(l.order, v)
		list = append(list, member.Listed{Info: v.info})
	}
	for _, v := range l.order {
		l.boot(v, o, list)
	}
	return l
}

// boot starts a process of the VM.
func (l *loop) boot(v *vm, o member.Options, list []member.Listed) {
	v.core = member.New(o, v.info, l.now, l.rng.Uint64())
	v.view = make(map[string]member.State)
	v.core.Declare(l.now, member.Serving)
	l.performEffects(v, v.core.SetList(l.now, list))
	core := v.core
	var tick func()
	tick = func() {
		if v.core != core || v.crashed {
			return
		}
		if l.now.Before(v.paused) {
			l.after(v.paused.Sub(l.now), tick)
			return
		}
		l.performEffects(v, v.core.Tick(l.now))
		l.after(100*time.Millisecond, tick)
	}
	l.after(time.Duration(l.rng.Int64N(int64(100*time.Millisecond))), tick)
}

func (l *loop) latency(a, b *vm) time.Duration {
	jitter := time.Duration(l.rng.Int64N(int64(time.Millisecond)))
	if a.info.Region != b.info.Region {
		return 55*time.Millisecond + jitter
	}
	return time.Millisecond + jitter
}

func (l *loop) transmit(from, to *vm, m *member.Message, deliver func(member.Message)) {
	p := peer.ToProto(m)
	size := proto.Size(p) + callOverhead/2
	l.messages++
	l.bytes += size
	l.peak[l.now.Unix()] += size
	if l.onSend != nil && l.onSend(from, to) {
		return
	}
	got, err := peer.FromProto(p, m.Reply)
	if err != nil {
		panic(err)
	}
	l.after(l.latency(from, to), func() { l.receive(to, func() { deliver(got) }) })
}

// receive runs f unless the VM has crashed; a paused VM runs it after the
// pause.
func (l *loop) receive(v *vm, f func()) {
	switch {
	case v.crashed:
	case l.now.Before(v.paused):
		l.after(v.paused.Sub(l.now), f)
	default:
		f()
	}
}

func (l *loop) performEffects(v *vm, list []member.Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case member.Send:
			to := l.vms[e.To]
			l.transmit(v, to, &e.Message, func(m member.Message) {
				reply, out := to.core.Step(l.now, m)
				l.performEffects(to, out)
				if reply != nil {
					l.transmit(to, v, reply, func(m member.Message) {
						_, out := v.core.Step(l.now, m)
						l.performEffects(v, out)
					})
				}
			})
		case member.Changed:
			v.view[e.Member.ID] = e.Member.State
			if v.changed != nil {
				v.changed(e)
			}
		}
	}
}

// countState returns how many VMs see id in the state, and how many VMs other
// than id have not crashed.
func (l *loop) countState(id string, s member.State) (n, live int) {
	for _, v := range l.order {
		if v.crashed || v.info.ID == id {
			continue
		}
		live++
		m, _ := v.core.Member(id)
		if m.State == s || (s == member.Gone && m.Incarnation.Boot == 0) {
			n++
		}
	}
	return n, live
}

func envInt(name string, def uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return def
}

// BenchmarkMembershipChange measures how long it takes until every VM sees the
// crashed ones as gone, and the traffic without changes and during the change.
func BenchmarkMembershipChange(b *testing.B) {
	for _, n := range []int{12, 96, 740} {
		regions := 3
		if n > 12 {
			regions = 4
		}
		for _, loss := range []string{"one-vm", "data-centre", "region"} {
			b.Run(fmt.Sprintf("%d/%s", n, loss), func(b *testing.B) {
				var worst time.Duration
				var steadyBytes, steadyMessages, peak float64
				removed := 0
				for i := range b.N {
					l := newLoop(n, regions, envInt("CURRANTFERRY_SEED", 1)+uint64(i), member.Options{})
					r := measureChange(b, l, loss)
					worst = max(worst, r.detected)
					removed += r.removed
					steadyBytes, steadyMessages = max(steadyBytes, r.bytes), max(steadyMessages, r.messages)
					peak = max(peak, r.peak)
				}
				b.ReportMetric(float64(worst.Milliseconds()), "noticed-max-ms")
				b.ReportMetric(float64(removed), "false-removals")
				b.ReportMetric(steadyMessages, "messages/s/node")
				b.ReportMetric(steadyBytes, "bytes/s/node")
				b.ReportMetric(peak, "peak-bytes/s/node")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

type change struct {
	detected              time.Duration
	removed               int
	bytes, messages, peak float64
}

func measureChange(b *testing.B, l *loop, loss string) change {
	l.run(20 * time.Second)
	n := float64(len(l.order))
	messages, bytes := l.messages, l.bytes
	const steady = 20
	l.run(steady * time.Second)
	// One VM sends and another receives each message, so both directions count.
	r := change{
		bytes:    2 * float64(l.bytes-bytes) / steady / n,
		messages: 2 * float64(l.messages-messages) / steady / n,
	}
	at := l.now.Add(time.Duration(l.rng.Int64N(int64(3 * time.Second))))
	l.run(at.Sub(l.now))
	missing := 0
	alive := 0
	for _, v := range l.order {
		switch loss {
		case "one-vm":
			v.crashed = v == l.order[0]
		case "data-centre":
			v.crashed = v.info.DataCentre == "dc-1"
		default:
			v.crashed = v.info.Region == "region-1"
		}
		if v.crashed {
			missing++
		} else {
			alive++
		}
	}
	missing *= alive
	for _, v := range l.order {
		v.changed = func(c member.Changed) {
			if c.Member.State != member.Gone {
				return
			}
			if !l.vms[c.Member.ID].crashed {
				r.removed++
				return
			}
			if missing--; missing == 0 {
				r.detected = l.now.Sub(at)
			}
		}
	}
	l.run(30 * time.Second)
	if missing != 0 {
		b.Errorf("%d pairs of VMs have not detected the loss after 30 s", missing)
		r.detected = 30 * time.Second
	}
	for s, v := range l.peak {
		if s >= at.Unix() {
			r.peak = max(r.peak, 2*float64(v)/float64(alive))
		}
	}
	return r
}
