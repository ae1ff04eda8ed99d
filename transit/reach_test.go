package transit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func addresses(n int) []string {
	out := make([]string, n)
	for k := range out {
		out[k] = fmt.Sprint("i-", k)
	}
	return out
}

// linkModel is a VM with its links to instances and to other VMs in virtual time. A connection
// that hangs is given up after dialTimeout, a probe after its own bound.
type linkModel struct {
	reach     *Reach
	rng       *rand.Rand
	instances []string
	dead      map[string]bool
	// isCut hangs new connections; with refuses they fail at once, and open ones live on.
	isCut, refuses bool
	// isCongested opens connections late, to VMs as well, and delays answers.
	isCongested bool
	// peers are the other VMs, of which some are gone.
	peers   *Peers
	goneVMs map[string]bool
	// isCutFromVMs hangs connections to other VMs.
	isCutFromVMs bool
	// affected holds when requests were sent that the cut affects, the first to each
	// instance, and touched these instances.
	affected []time.Duration
	touched  map[string]bool
	cutAt    time.Duration
	now      time.Duration
	events   []linkEvent
}

type linkEvent struct {
	due time.Duration
	run func()
}

const (
	dialTimeout = 500 * time.Millisecond
	rtt         = 110 * time.Millisecond
	// A connection over a congested link opens after minSlowOpen to maxSlowOpen, as on VMs
	// whose links of 10 Mbit/s were full. An answer takes up to maxSlowAnswer longer.
	minSlowOpen   = 300 * time.Millisecond
	maxSlowOpen   = 1500 * time.Millisecond
	maxSlowAnswer = 500 * time.Millisecond
)

func newLinkModel(seed uint64, numInstances int) *linkModel {
	rng := rand.New(rand.NewPCG(seed, 3))
	m := &linkModel{reach: NewReach(Config{Random: rng.Float64}), rng: rng, instances: addresses(numInstances), dead: make(map[string]bool)}
	m.setVMs([]int{1, 2, 11, 83}[seed%4])
	return m
}

// setVMs replaces the other VMs. A third of several are gone, and the others are half in this
// region.
func (m *linkModel) setVMs(n int) {
	m.peers, m.goneVMs = NewPeers("styria", m.rng.Float64), make(map[string]bool)
	list := make([]Peer, n)
	for k := range list {
		list[k] = Peer{ID: fmt.Sprint("vm-", k), Region: []string{"styria", "tyrol"}[k%2]}
	}
	for _, k := range m.rng.Perm(n)[:n/3] {
		m.goneVMs[list[k].ID] = true
	}
	m.peers.Set(list)
}

// probe sends a round of probes.
func (m *linkModel) probe(round Round) {
	if len(round.Targets) == 0 {
		return
	}
	began, numLeft := m.now, len(round.Targets)
	// expire holds what is called when the probes' time is over.
	var expire []func()
	for _, target := range round.Targets {
		m.reach.RecordAttempt(at(m.now))
		isOver := false
		end := func(result ProbeResult) {
			if isOver {
				return
			}
			isOver = true
			numLeft--
			if result == ProbeOpened {
				m.reach.RecordConnected(at(m.now), target)
			}
			m.reach.RecordProbe(at(m.now), target, result)
		}
		expire = append(expire, func() { end(ProbeLate) })
		switch {
		case m.isCut && !m.refuses:
		case m.isCut || m.dead[target]:
			m.after(m.openTime(rtt), func() { end(ProbeRefused) })
		default:
			m.after(m.openTime(rtt), func() { end(ProbeOpened) })
		}
	}
	for _, vm := range m.peers.Controls(at(m.now), round.NumControls) {
		isOver := false
		end := func(result ProbeResult) {
			if isOver {
				return
			}
			isOver = true
			m.peers.RecordControl(at(m.now), vm.ID, result == ProbeOpened)
			m.reach.RecordControl(at(m.now), at(began), result)
		}
		expire = append(expire, func() { end(ProbeLate) })
		if !m.goneVMs[vm.ID] && !m.isCutFromVMs {
			usual := 2 * time.Millisecond
			if vm.Region != "styria" {
				usual = rtt
			}
			m.after(m.openTime(usual), func() { end(ProbeOpened) })
		}
	}
	giveUp := func() {
		for _, end := range expire {
			end()
		}
	}
	m.after(m.reach.ProbeTimeout(), func() {
		if numLeft > 0 && m.reach.ExtendsRound() {
			m.after(m.reach.SlowProbeTimeout()-m.reach.ProbeTimeout(), giveUp)
			return
		}
		giveUp()
	})
}

func (m *linkModel) after(d time.Duration, run func()) {
	m.events = append(m.events, linkEvent{m.now + d, run})
}

// connect opens a connection for a request.
func (m *linkModel) connect(address string) {
	began := m.now
	m.reach.RecordAttempt(at(m.now))
	fail := func() { m.reach.RecordFailure(at(m.now), at(began), address) }
	takes := m.openTime(rtt)
	switch {
	case (m.isCut && !m.refuses) || takes > dialTimeout:
		m.after(dialTimeout, fail)
	case m.isCut || m.dead[address]:
		m.after(takes, fail)
	default:
		m.after(takes, func() { m.reach.RecordConnected(at(m.now), address) })
	}
}

// openTime returns how long it takes to open a connection that takes usual without congestion.
func (m *linkModel) openTime(usual time.Duration) time.Duration {
	if !m.isCongested {
		return usual
	}
	return minSlowOpen + time.Duration(m.rng.Float64()*float64(maxSlowOpen-minSlowOpen))
}

// request sends a request to an instance, on a new connection or on one that is open.
func (m *linkModel) request(work time.Duration) {
	address := m.instances[m.rng.IntN(len(m.instances))]
	isNew := m.rng.IntN(2) == 0
	if m.isCut && m.now > m.cutAt+rtt && (isNew || !m.refuses) && !m.touched[address] {
		m.touched[address] = true
		m.affected = append(m.affected, m.now)
	}
	if isNew {
		m.connect(address)
		return
	}
	m.reach.RecordAttempt(at(m.now))
	if m.dead[address] || (m.isCut && !m.refuses) {
		return
	}
	if m.isCongested {
		work += time.Duration(m.rng.Float64() * float64(maxSlowAnswer))
	}
	m.after(work, func() {
		if !m.isCut || m.refuses {
			m.reach.RecordAnswer(at(m.now), address)
		}
	})
}

// advance runs the model for a time, with requests at a rate per second.
func (m *linkModel) advance(d time.Duration, rate float64, work time.Duration, observe func()) {
	const tick = 10 * time.Millisecond
	for end := m.now + d; m.now < end; m.now += tick {
		for k := 0; k < len(m.events); k++ {
			if e := m.events[k]; e.due <= m.now {
				m.events = append(m.events[:k], m.events[k+1:]...)
				k--
				e.run()
			}
		}
		if m.rng.Float64() < rate*tick.Seconds() && !m.reach.PassesOn(at(m.now)) {
			m.request(work)
		}
		if m.now%(100*time.Millisecond) == 0 {
			m.probe(m.reach.Tick(at(m.now), m.instances, m.peers.Len()))
		}
		observe()
	}
}

// A cut from all instances must be noticed within 2 s of the first requests to two
// instances that it affects, whatever its kind, the load and the number of instances, and the end of it within 2.5 s, and the VM
// must not return before. Instances that are dead, slow or few must not count as a cut as
// long as others accept connections.
func TestReachFollowsTheLinks(t *testing.T) {
	const defaultRounds = 200
	seed, rounds := testkit.Seed(t, 1), testkit.Rounds(t, defaultRounds)
	for round := range rounds {
		m := newLinkModel(seed+uint64(round), []int{3, 12, 40, 200}[round%4])
		rate := []float64{2, 10, 90, 300}[m.rng.IntN(4)]
		work := []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond}[m.rng.IntN(3)]
		for _, address := range m.instances[:len(m.instances)/3] {
			m.dead[address] = true
		}
		fail := func(format string, args ...any) {
			t.Helper()
			t.Fatalf("round %d, seed %d, %d instances, %g/s, work %s: %s", round, seed, len(m.instances), rate, work, fmt.Sprintf(format, args...))
		}
		m.advance(5*time.Second, rate, work, func() {
			if s, _ := m.reach.State(); s == Isolated {
				fail("isolated at %s without a cut", m.now)
			}
		})
		m.isCut, m.refuses = true, m.rng.IntN(2) == 0
		m.affected, m.touched, m.cutAt = nil, make(map[string]bool), m.now
		isolatedAt := time.Duration(0)
		m.advance(10*time.Second, rate, work, func() {
			if s, _ := m.reach.State(); s != Isolated && isolatedAt > 0 {
				fail("not isolated at %s during the cut", m.now)
			} else if s == Isolated && isolatedAt == 0 {
				isolatedAt = m.now
			}
		})
		if len(m.affected) >= 2 && (isolatedAt == 0 || isolatedAt-m.affected[1] > 2*time.Second) {
			fail("isolated at %s, affected at %s", isolatedAt, m.affected[:2])
		}
		m.isCut = false
		m.advance(2500*time.Millisecond, rate, work, func() {})
		if s, _ := m.reach.State(); s == Isolated {
			fail("still isolated 2.5 s after the cut")
		}
		m.advance(3*time.Second, rate, work, func() {
			if s, _ := m.reach.State(); s == Isolated {
				fail("isolated again after the cut")
			}
		})
	}
}

// A VM whose link is congested must never be isolated, whatever the load and the number of
// instances: connections to instances open too late for probes, and many for requests, but so do
// those to other VMs, while instances go on answering.
func TestCongestedLinkIsNoCut(t *testing.T) {
	const defaultRounds = 200
	seed, rounds := testkit.Seed(t, 1), testkit.Rounds(t, defaultRounds)
	for round := range rounds {
		m := newLinkModel(seed+uint64(round), []int{3, 12, 40, 200}[round%4])
		rate := []float64{2, 10, 90, 300}[m.rng.IntN(4)]
		work := []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond}[m.rng.IntN(3)]
		for _, address := range m.instances[:len(m.instances)/3] {
			m.dead[address] = true
		}
		m.advance(time.Second, rate, work, func() {})
		m.isCongested = true
		m.advance(10*time.Second, rate, work, func() {
			if s, _ := m.reach.State(); s == Isolated {
				t.Fatalf("round %d, seed %d, %d instances, %g/s, work %s: isolated at %s", round, seed, len(m.instances), rate, work, m.now)
			}
		})
	}
}

// A VM that is cut off from everything must not be isolated, as it can pass nothing on, until it
// reaches other VMs again.
func TestCutFromEverythingIsNoIsolation(t *testing.T) {
	const notice = 2 * time.Second
	for seed := range uint64(20) {
		m := newLinkModel(seed, 40)
		const rate, work = 90, 100 * time.Millisecond
		m.advance(time.Second, rate, work, func() {})
		m.isCut, m.isCutFromVMs, m.touched = true, true, make(map[string]bool)
		m.advance(10*time.Second, rate, work, func() {
			if s, _ := m.reach.State(); s == Isolated {
				t.Fatalf("seed %d: isolated at %s", seed, m.now)
			}
		})
		m.isCutFromVMs = false
		m.advance(notice, rate, work, func() {})
		if s, _ := m.reach.State(); s != Isolated {
			t.Errorf("seed %d: %s, %s after other VMs are reached again", seed, s, notice)
		}
	}
}

// One other VM that accepts a connection in time proves that the link works if instances are
// silent. If an instance answers during the round, all must, or a single fast connection over a
// congested link isolates the VM.
func TestProofThatOtherVMsAreReached(t *testing.T) {
	for _, c := range []struct {
		hasAnswered bool
		numFast     int
		want        State
	}{{false, 0, Suspected}, {false, 1, Isolated}, {true, 1, Suspected}, {true, 3, Isolated}} {
		r := NewReach(Config{})
		r.Tick(at(0), addresses(40), 9)
		for _, id := range addresses(20) {
			r.RecordAnswer(at(0), id)
		}
		for _, id := range addresses(2) {
			r.RecordFailure(at(0), at(0), id)
		}
		now := time.Second
		for range 3 {
			round := r.Tick(at(now), addresses(40), 9)
			for range c.numFast {
				r.RecordControl(at(now+100*time.Millisecond), at(now), ProbeOpened)
			}
			if c.hasAnswered {
				r.RecordAnswer(at(now+200*time.Millisecond), "i-19")
			}
			if got, want := r.ExtendsRound(), len(round.Targets) > 0 && (c.hasAnswered || c.numFast == 0); got != want {
				t.Errorf("%+v: extended %t", c, got)
			}
			for _, target := range round.Targets {
				r.RecordProbe(at(now+r.SlowProbeTimeout()), target, ProbeLate)
			}
			now += time.Second
			for _, id := range addresses(2) {
				// After a round that proved nothing, the VM is suspected again.
				if s, _ := r.State(); s != Isolated {
					r.RecordFailure(at(now), at(now), id)
				}
			}
		}
		if got, _ := r.State(); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}

// VMs that are probed together with instances must be those that are believed to run, of this
// region first: one that is gone tells nothing about this VM's link.
func TestControlsAreBelievedAlive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	p := NewPeers("styria", rng.Float64)
	p.Set([]Peer{{ID: "a", Region: "styria"}, {ID: "b", Region: "styria"}, {ID: "c", Region: "tyrol"}, {ID: "d", Region: "tyrol"}})
	names := func(now time.Duration, n int) string {
		out := ""
		for _, v := range p.Controls(at(now), n) {
			out += v.ID
		}
		return out
	}
	p.RecordState(at(0), "b", false)
	p.RecordState(at(0), "d", false)
	if got := names(0, 9); got != "badc" {
		t.Errorf("%q, want those that reported first", got)
	}
	p.RecordControl(at(0), "b", false)
	if got := names(0, 4); got != "adcb" {
		t.Errorf("%q after a failure", got)
	}
	p.RecordControl(at(0), "b", true)
	if got := names(0, 1); got != "b" {
		t.Errorf("%q after a success", got)
	}
	p.Avoid(at(0), "b")
	if got := names(0, 1); got != "a" {
		t.Errorf("%q while one is avoided", got)
	}
}

// A VM whose link is congested when it is cut off must notice the cut nevertheless, or its callers
// are not served: within 2 s of the end of the congestion, whatever the kind of the cut, and
// within 30 s while the congestion lasts, if no instance answers over open connections. Other VMs
// then accept one of six connections within the bound.
func TestCutOfCongestedVMIsNoticed(t *testing.T) {
	const defaultRounds = 100
	const notice, noticeCongested = 2 * time.Second, 30 * time.Second
	seed, rounds := testkit.Seed(t, 1), testkit.Rounds(t, defaultRounds)
	for round := range rounds {
		for _, lasts := range []bool{false, true} {
			m := newLinkModel(seed+uint64(round), []int{3, 12, 40, 200}[round%4])
			m.setVMs(11)
			rate := []float64{10, 90, 300}[m.rng.IntN(3)]
			work := []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond}[m.rng.IntN(3)]
			m.advance(time.Second, rate, work, func() {})
			m.isCongested = true
			m.advance(3*time.Second, rate, work, func() {})
			m.isCut, m.refuses, m.cutAt, m.touched = true, !lasts && m.rng.IntN(2) == 0, m.now, make(map[string]bool)
			bound := noticeCongested
			if !lasts {
				m.advance(2*time.Second, rate, work, func() {})
				m.isCongested, bound = false, notice
			}
			isolatedAfter, began := time.Duration(-1), m.now
			m.advance(bound, rate, work, func() {
				if s, _ := m.reach.State(); s == Isolated && isolatedAfter < 0 {
					isolatedAfter = m.now - began
				}
			})
			if isolatedAfter < 0 {
				t.Fatalf("round %d, seed %d, %d instances, %g/s, work %s, refuses %t: not isolated within %s", round, seed, len(m.instances), rate, work, m.refuses, bound)
			}
			t.Logf("lasts %t, refuses %t: isolated after %s", lasts, m.refuses, isolatedAfter)
		}
	}
}

// Requests must return to the instances gradually, and more slowly after a flap.
func TestRequestsReturnGradually(t *testing.T) {
	next := 0.0
	r := NewReach(Config{Random: func() float64 { return next }})
	isolate := func(now time.Duration) {
		r.Tick(at(now), addresses(5), 0)
		for _, id := range addresses(2) {
			r.RecordFailure(at(now), at(now), id)
		}
		for range 3 {
			now += 200 * time.Millisecond
			for _, target := range r.Tick(at(now), addresses(5), 0).Targets {
				r.RecordProbe(at(now), target, ProbeLate)
			}
		}
	}
	for n, ramp := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		now := time.Duration(n) * 6 * time.Second
		isolate(now)
		if s, _ := r.State(); s != Isolated || !r.PassesOn(at(now)) {
			t.Fatalf("%s at %s", s, now)
		}
		now += time.Second
		r.RecordConnected(at(now), "i-0")
		if s, _ := r.State(); s != Isolated {
			t.Fatalf("%s after one connection", s)
		}
		r.RecordConnected(at(now), "i-1")
		for _, share := range []float64{0.25, 0.75} {
			next = share + 0.1
			if !r.PassesOn(at(now + time.Duration(share*float64(ramp)))) {
				t.Errorf("at %g of a ramp of %s a draw of %g is not passed on", share, ramp, next)
			}
			next = share - 0.1
			if r.PassesOn(at(now + time.Duration(share*float64(ramp)))) {
				t.Errorf("at %g of a ramp of %s a draw of %g is passed on", share, ramp, next)
			}
		}
		r.Tick(at(now+ramp), addresses(5), 0)
		if s, _ := r.State(); s != Reachable {
			t.Errorf("%s after the ramp", s)
		}
	}
}

// A VM must choose VMs that reach instances, those of its region first, in allowed regions
// only, and must leave those that failed alone for a while.
func TestChoiceOfAnotherVM(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	p := NewPeers("styria", rng.Float64)
	p.Set([]Peer{
		{ID: "a", Region: "styria", Weight: 1},
		{ID: "b", Region: "styria", Weight: 1},
		{ID: "c", Region: "tyrol", Weight: 1},
		{ID: "d", Region: "vienna", Weight: 1},
	})
	choose := func(now time.Duration, regions ...string) string {
		seen := make(map[string]bool)
		for range 50 {
			if v, ok := p.Choose(at(now), regions, nil); ok {
				seen[v.ID] = true
				p.Done(v.ID)
			}
		}
		out := ""
		for _, id := range []string{"a", "b", "c", "d"} {
			if seen[id] {
				out += id
			}
		}
		return out
	}
	p.RecordState(at(0), "a", true)
	for _, c := range []struct{ got, want string }{
		{choose(0), "b"},
		{choose(0, "tyrol", "vienna"), "cd"},
		{choose(0, "elsewhere"), ""},
		{choose(stateTTL), "ab"},
	} {
		if c.got != c.want {
			t.Errorf("%q, want %q", c.got, c.want)
		}
	}
	p.RecordState(at(time.Second), "b", true)
	p.RecordState(at(time.Second), "a", true)
	if got := choose(time.Second); got != "cd" {
		t.Errorf("%q while the region is isolated", got)
	}
	p.Avoid(at(time.Second), "c")
	if got := choose(time.Second); got != "d" {
		t.Errorf("%q while one VM is avoided", got)
	}
	if got := choose(time.Second + avoidTime); got != "cd" {
		t.Errorf("%q after that", got)
	}
}
