package placement

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// seedOf is CURRANTFERRY_SEED, or 1.
func seedOf(t testing.TB) uint64 {
	t.Helper()
	text := os.Getenv("CURRANTFERRY_SEED")
	if text == "" {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("CURRANTFERRY_SEED=%d go test ./placement -run '^%s$'", seed, t.Name())
		}
	})
	return seed
}

// simInstance is an instance in virtual time: slots, a queue, the objects that it
// served lately, and neighbours that slow it down now and then.
type simInstance struct {
	Instance
	queueMost int
	keeps     int
	objects   map[string]*list.Element
	order     *list.List
	running   int
	queue     []*simRequest
	slow      float64
	// arrivals are the times of requests, for bounds on rates.
	arrivals []time.Time
	// hidden is a further slowness that load reports do not show, or zero.
	hidden float64
	// down instances refuse connections; fails tells for which VMs the instance
	// answers with a failure of its own.
	down bool
	// gone instances are no longer registered.
	gone  bool
	fails func(vm string) bool
}

// simRequest is a request in virtual time.
type simRequest struct {
	key      string
	region   string
	arrived  time.Time
	priority int
	target   time.Duration
	timeout  time.Duration
	vm       *Picker
	ticket   Ticket
	sent     time.Time
}

// simLoad is the traffic of a region at a time, in requests per second.
type simLoad func(region string, at time.Duration) float64

// sim is a fleet of VMs and instances of one service. It has no network: an event
// list in virtual time.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	start     time.Time
	events    eventHeap
	turns     int
	instances map[string]*simInstance
	vms       map[string][]*Picker
	// regions and ids give the maps an order, so that a seed repeats a run.
	regions  []string
	ids      []string
	work     time.Duration
	warmGain float64
	objects  int
	target   time.Duration
	load     simLoad
	noise    float64
	// digests is the interval of the digests between VMs, or zero, and digestPeers
	// the number of VMs told each time, or zero for all.
	digests     time.Duration
	digestPeers int
	digestTurn  int
	// tail is the share of requests that take seven times as long.
	tail float64
	// limit is the route's timeout, at which a request is cut off, or zero.
	limit time.Duration
	// choose takes the place of the placement, as a baseline. Nil means none.
	choose func(r *simRequest) *simInstance

	windows []simWindow
}

// simWindow counts what became of the requests that arrived in 2 s.
type simWindow struct {
	asked, inAim, late, refused, shed, failed, hits, sent int
	// ran counts, by region of the caller, where requests ran.
	ran map[string]map[string]int
}

type simEvent struct {
	at   time.Time
	turn int
	do   func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].turn < h[j].turn
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any) {
	e, _ := x.(simEvent)
	*h = append(*h, e)
}

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simRegion says how many VMs and instances a region has.
type simRegion struct {
	name      string
	vms, inst int
}

const (
	simSlots = 9
	simQueue = 27
)

func newSim(seed uint64, regions []simRegion, load simLoad) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1000, 0), instances: make(map[string]*simInstance),
		vms: make(map[string][]*Picker), work: 340 * time.Millisecond, warmGain: 0.7, objects: 190,
		target: 400 * time.Millisecond, load: load,
	}
	s.now = s.start
	for _, r := range regions {
		var vms []VM
		s.regions = append(s.regions, r.name)
		for k := range r.vms {
			id := fmt.Sprintf("vm-%s-%d", r.name, k)
			vms = append(vms, VM{id, 1})
			s.vms[r.name] = append(s.vms[r.name], New(Config{VM: id, Region: r.name, ColdOver: 1.5, ColdSlack: 5}))
		}
		for _, p := range s.vms[r.name] {
			p.SetVMs(vms)
		}
		for k := range r.inst {
			s.add(Instance{
				ID: fmt.Sprintf("i-%s-%d", r.name, k), Service: "proofs", Region: r.name,
				Address: fmt.Sprintf("10.0.0.%d:80", k), Slots: simSlots,
			})
		}
	}
	s.publish()
	return s
}

func (s *sim) add(i Instance) {
	in := &simInstance{Instance: i, queueMost: simQueue, keeps: 78, objects: make(map[string]*list.Element), order: list.New(), slow: 1}
	if s.instances[i.ID] == nil {
		s.ids = append(s.ids, i.ID)
	}
	s.instances[i.ID] = in
}

// publish tells all VMs the instances.
func (s *sim) publish() {
	var all []Instance
	for _, id := range s.ids {
		if i := s.instances[id]; i != nil && !i.gone {
			all = append(all, i.Instance)
		}
	}
	for _, region := range s.regions {
		for _, p := range s.vms[region] {
			p.SetInstances(s.now, all)
		}
	}
}

func (s *sim) at(when time.Time, do func()) {
	s.turns++
	heap.Push(&s.events, simEvent{when, s.turns, do})
}

// run plays until the time.
func (s *sim) run(length time.Duration) {
	end := s.start.Add(length)
	for _, region := range s.regions {
		s.scheduleArrival(region)
	}
	s.every(100*time.Millisecond, func() {
		for _, region := range s.regions {
			for _, p := range s.vms[region] {
				p.Tick(s.now)
			}
		}
	})
	if s.digests > 0 {
		s.every(s.digests, s.exchangeDigests)
	}
	if s.noise > 0 {
		s.every(600*time.Millisecond, func() {
			for _, id := range s.ids {
				i := s.instances[id]
				i.slow = 1
				if s.rng.Float64() < s.noise {
					i.slow = 2.5
				}
			}
		})
	}
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e, _ := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// exchangeDigests passes the digest of each VM on to the others of its region.
func (s *sim) exchangeDigests() {
	for _, region := range s.regions {
		vms := s.vms[region]
		for k, from := range vms {
			d := from.Digest(s.now)
			s.digestTurn++
			for n, to := range vms {
				turn := (n - k - s.digestTurn*s.digestPeers) % len(vms)
				if turn < 0 {
					turn += len(vms)
				}
				if to != from && (s.digestPeers == 0 || turn < s.digestPeers) {
					s.at(s.now.Add(time.Millisecond), func() { to.Heard(s.now, from.cfg.VM, &d) })
				}
			}
		}
	}
}

func (s *sim) every(interval time.Duration, do func()) {
	var step func()
	step = func() {
		do()
		s.at(s.now.Add(interval), step)
	}
	s.at(s.now, step)
}

func (s *sim) scheduleArrival(region string) {
	rate := s.load(region, s.now.Sub(s.start))
	gap := time.Duration(s.rng.ExpFloat64() / max(rate, 0.1) * float64(time.Second))
	s.at(s.now.Add(gap), func() {
		s.arrive(region)
		s.scheduleArrival(region)
	})
}

func (s *sim) window(at time.Time) *simWindow {
	n := int(at.Sub(s.start) / (2 * time.Second))
	for len(s.windows) <= n {
		s.windows = append(s.windows, simWindow{ran: make(map[string]map[string]int)})
	}
	return &s.windows[n]
}

func (s *sim) arrive(region string) {
	vms := s.vms[region]
	r := &simRequest{
		key: region + strconv.Itoa(s.rng.IntN(s.objects)), region: region, arrived: s.now, target: s.target,
		timeout: 5 * s.target, vm: vms[s.rng.IntN(len(vms))], priority: ordinaryPriority,
	}
	s.window(s.now).asked++
	if s.choose != nil {
		i := s.choose(r)
		r.ticket, r.sent = Ticket{Instance: i.Instance}, s.now
		s.at(s.now.Add(s.delay(region, i.Region)), func() { s.reach(r) })
		return
	}
	r.vm.Arrived("proofs")
	t, refused := r.vm.Pick(s.now, &Request{
		Service: "proofs", Route: "/a/", Key: r.key, Idempotent: true, Target: r.target, Timeout: r.timeout,
		Deadline: s.now.Add(s.timeLimit(r)), Priority: r.priority,
	})
	if refused != nil {
		s.window(r.arrived).refused++
		return
	}
	r.ticket, r.sent = t, s.now
	s.at(s.now.Add(s.delay(region, t.Instance.Region)), func() { s.reach(r) })
}

// timeLimit is after what time a request is given up.
func (s *sim) timeLimit(r *simRequest) time.Duration {
	if s.limit > 0 {
		return min(r.timeout, s.limit)
	}
	return r.timeout
}

func (s *sim) delay(a, b string) time.Duration {
	if a == b {
		return time.Millisecond
	}
	return 55 * time.Millisecond
}

func (s *sim) reach(r *simRequest) {
	i := s.instances[r.ticket.Instance.ID]
	i.arrivals = append(i.arrivals, s.now)
	if i.down || (i.fails != nil && i.fails(r.vm.cfg.VM)) {
		s.window(r.arrived).failed++
		o := Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed}
		if !i.down {
			o = Outcome{Verdict: verdict.Ran, Failed: true, Latency: s.now.Sub(r.sent)}
		}
		s.at(s.now.Add(s.delay(r.region, i.Region)), func() { r.vm.Done(s.now, &r.ticket, o) })
		return
	}
	if i.running < i.Slots {
		s.runOn(i, r)
		return
	}
	if len(i.queue) < i.queueMost {
		i.queue = append(i.queue, r)
		return
	}
	s.window(r.arrived).shed++
	load := Load{i.running, len(i.queue), i.Slots, int(100 * i.slow)}
	s.at(s.now.Add(s.delay(r.region, i.Region)), func() {
		r.vm.Done(s.now, &r.ticket, Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonUpstreamRefused, Latency: s.now.Sub(r.sent), Load: &load})
	})
}

func (s *sim) runOn(i *simInstance, r *simRequest) {
	i.running++
	w := s.window(r.arrived)
	w.sent++
	if w.ran[r.region] == nil {
		w.ran[r.region] = make(map[string]int)
	}
	w.ran[r.region][i.Region]++
	took := float64(s.work) * (0.85 + 0.3*s.rng.Float64()) * i.slow
	if i.hidden > 0 {
		took *= i.hidden
	}
	if e := i.objects[r.key]; e != nil {
		took *= 1 - s.warmGain
		w.hits++
		i.order.MoveToFront(e)
	} else {
		i.objects[r.key] = i.order.PushFront(r.key)
		if i.order.Len() > i.keeps {
			last := i.order.Back()
			key, _ := i.order.Remove(last).(string)
			delete(i.objects, key)
		}
	}
	if s.tail > 0 && s.rng.Float64() < s.tail {
		took *= 7
	}
	end := s.now.Add(time.Duration(took))
	if cut := r.arrived.Add(s.timeLimit(r)); s.limit > 0 && end.After(cut) {
		s.at(cut, func() { s.cutOff(i, r) })
		return
	}
	s.at(end, func() { s.finish(i, r) })
}

// cutOff ends a request at its time limit, at which its instance drops it.
func (s *sim) cutOff(i *simInstance, r *simRequest) {
	s.next(i)
	s.window(r.arrived).failed++
	r.vm.Done(s.now, &r.ticket, Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline, Latency: s.now.Sub(r.sent)})
}

// next frees a place for the first request that waits.
func (s *sim) next(i *simInstance) {
	i.running--
	if len(i.queue) > 0 {
		r := i.queue[0]
		i.queue = i.queue[1:]
		s.runOn(i, r)
	}
}

func (s *sim) finish(i *simInstance, r *simRequest) {
	s.next(i)
	load := Load{i.running, len(i.queue), i.Slots, int(100 * i.slow)}
	s.at(s.now.Add(s.delay(r.region, i.Region)), func() {
		r.vm.Done(s.now, &r.ticket, Outcome{Verdict: verdict.Ran, Latency: s.now.Sub(r.sent), Load: &load})
		w := s.window(r.arrived)
		if s.now.Sub(r.arrived) <= r.target {
			w.inAim++
		} else {
			w.late++
		}
	})
}

// sum adds up the windows from one second to another.
func (s *sim) sum(from, to time.Duration) simWindow {
	var out simWindow
	for n := int(from / (2 * time.Second)); n < len(s.windows) && n < int(to/(2*time.Second)); n++ {
		w := &s.windows[n]
		out.asked += w.asked
		out.inAim += w.inAim
		out.late += w.late
		out.refused += w.refused
		out.shed += w.shed
		out.failed += w.failed
		out.hits += w.hits
		out.sent += w.sent
	}
	return out
}

func (w simWindow) String() string {
	return fmt.Sprintf("asked %d, in aim %d, late %d, refused %d, shed %d, failed %d, hits %d of %d", w.asked, w.inAim, w.late, w.refused, w.shed, w.failed, w.hits, w.sent)
}
