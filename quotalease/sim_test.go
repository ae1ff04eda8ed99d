package quotalease

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

const (
	// The rule on limits: in any window, limitFactor times what the limit allows, plus
	// limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// simStep is the resolution of the simulation.
	simStep = 10 * time.Millisecond
	// simInterval is how often VMs ask for tokens.
	simInterval = 200 * time.Millisecond
	// simMinInterval is how often they ask while a request waits, at most for simWait.
	simMinInterval = 20 * time.Millisecond
	simWait        = 15 * time.Millisecond
	simProcess     = 1
)

func seedOf(t testing.TB) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(os.Getenv("CURRANTFERRY_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

func roundsOf(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("CURRANTFERRY_ROUNDS")); err == nil {
		return n
	}
	return fallback
}

// simVM is an entry VM in virtual time.
type simVM struct {
	id          string
	boot        uint64
	up          bool
	holding     Holding
	requester   Requester
	coordinator *Coordinator
	window      Window
	// view lists the VMs that this one believes to be up, in order.
	view []string
	// demand is the requests per second of its callers for the instance.
	demand  float64
	due     float64
	askedAt time.Time
	// waiting holds the requests that wait for a token, by the end of their wait.
	waiting []time.Time
	// replied says that a reply arrived in this step.
	replied bool
}

func (v *simVM) coordinators() []string { return v.view[:min(len(v.view), 2)] }

// simMessage is a datagram.
type simMessage struct {
	at       time.Time
	from, to int
	seq      uint64
	boot     uint64
	isReply  bool
	isVote   bool
	// electorate is the number of VMs that the sender knows.
	electorate int
	wanted     int
	returned   int
	tokens     int
}

// sim is a fleet that shares the limit of one instance.
type sim struct {
	rng   *rand.Rand
	now   time.Time
	limit float64
	vms   []*simVM
	inbox []simMessage
	// loss is the share of datagrams that are lost, and maxDelay their largest delay.
	loss     float64
	maxDelay time.Duration
	// isCut reports whether datagrams between two VMs are lost.
	isCut func(a, b int) bool
	// policy replaces the leases in baselines. Nil means none.
	policy func(v *simVM) bool

	sent            []time.Time
	messages, bytes int
}

func newSim(rng *rand.Rand, numVMs int, limit float64) *sim {
	s := &sim{rng: rng, now: time.Unix(1000, 0), limit: limit, maxDelay: 2 * time.Millisecond, isCut: func(int, int) bool { return false }}
	var ids []string
	for k := range numVMs {
		ids = append(ids, fmt.Sprint("vm-", k))
	}
	for k := range numVMs {
		v := &simVM{id: ids[k], view: ids}
		s.vms = append(s.vms, v)
		s.start(k)
		v.askedAt = s.now.Add(-time.Duration(rng.Int64N(int64(simInterval))))
	}
	return s
}

// start starts or restarts a VM, which knows nothing of its former tokens and leases.
func (s *sim) start(k int) {
	v := s.vms[k]
	v.boot++
	v.up, v.holding, v.requester, v.window = true, Holding{}, Requester{}, Window{}
	v.coordinator = NewCoordinator(s.rng.Float64)
}

func (s *sim) index(id string) int {
	for k, v := range s.vms {
		if v.id == id {
			return k
		}
	}
	return -1
}

const simMessageBytes = 60 // as encoded for one process, with headers

func (s *sim) send(m simMessage) {
	s.messages++
	s.bytes += simMessageBytes
	if m.from != m.to && (s.rng.Float64() < s.loss || s.isCut(m.from, m.to)) {
		return
	}
	m.at = s.now.Add(time.Duration(s.rng.Int64N(int64(s.maxDelay) + 1)))
	if m.from == m.to {
		m.at = s.now
	}
	s.inbox = append(s.inbox, m)
}

func (s *sim) ask(k int, interval time.Duration) {
	v := s.vms[k]
	if s.now.Sub(v.askedAt) < interval {
		return
	}
	v.askedAt = s.now
	ask, probe := v.requester.Choose(s.now, v.coordinators())
	wanted, returned := v.holding.Want(s.now)
	isVote := v.requester.Vote(s.now, ask)
	s.send(simMessage{from: k, to: s.index(ask), boot: v.boot, seq: v.requester.Send(s.now, ask), wanted: wanted, returned: returned, isVote: isVote, electorate: len(v.view)})
	if probe != "" {
		s.send(simMessage{from: k, to: s.index(probe), boot: v.boot, seq: v.requester.Send(s.now, probe)})
	}
}

func (s *sim) deliver() {
	var rest []simMessage
	due := s.inbox
	s.inbox = nil
	for _, m := range due {
		if m.at.After(s.now) {
			rest = append(rest, m)
			continue
		}
		v := s.vms[m.to]
		if !v.up {
			continue
		}
		if m.isReply {
			if sent, ok := v.requester.Receive(s.vms[m.from].id, m.seq); ok && m.boot == v.boot {
				v.holding.Add(s.now, sent, m.tokens)
				v.replied = true
			}
			continue
		}
		if v.window.Accept(s.vms[m.from].id, m.boot, m.seq) {
			if m.isVote {
				v.coordinator.Vote(s.now, s.vms[m.from].id, m.electorate)
			}
			n := v.coordinator.Lease(s.now, simProcess, s.limit, s.vms[m.from].id, m.wanted, m.returned)
			s.send(simMessage{from: m.to, to: m.from, boot: m.boot, seq: m.seq, isReply: true, tokens: n})
		}
	}
	s.inbox = append(s.inbox, rest...)
}

// step advances the time by simStep.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.deliver()
	for k, v := range s.vms {
		if !v.up {
			continue
		}
		for v.due += v.demand * simStep.Seconds(); v.due >= 0; v.due -= s.rng.ExpFloat64() {
			if s.policy != nil {
				if s.policy(v) {
					s.sent = append(s.sent, s.now)
				}
			} else if !s.take(v) {
				v.holding.RecordUnmet()
				v.waiting = append(v.waiting, s.now.Add(simWait))
				s.ask(k, simMinInterval)
			}
		}
		if s.policy == nil {
			s.ask(k, simInterval)
			s.endWaits(v)
		}
	}
}

func (s *sim) take(v *simVM) bool {
	ok := v.holding.Take(s.now)
	if ok {
		s.sent = append(s.sent, s.now)
	}
	return ok
}

// endWaits lets the waiting requests of a VM take tokens after a reply, or give up.
func (s *sim) endWaits(v *simVM) {
	var rest []time.Time
	for _, until := range v.waiting {
		if v.replied || s.now.After(until) {
			s.take(v)
		} else {
			rest = append(rest, until)
		}
	}
	v.waiting, v.replied = rest, false
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// maxInWindow returns the largest number of requests in a limitWindow.
func (s *sim) maxInWindow() int {
	most, first := 0, 0
	for last := range s.sent {
		for s.sent[last].Sub(s.sent[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowed(limit float64) int { return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack }

// skew gives the VMs a demand, in total several times the limit: even, all at one VM, or at
// random.
func (s *sim) skew(total float64) {
	kind := s.rng.IntN(3)
	only := s.rng.IntN(len(s.vms))
	sum := 0.0
	for k, v := range s.vms {
		switch {
		case kind == 0:
			v.demand = 1
		case kind == 1 && k != only:
			v.demand = 0
		default:
			v.demand = s.rng.ExpFloat64()
		}
		sum += v.demand
	}
	for _, v := range s.vms {
		v.demand *= total / sum
	}
}

// The requests of all VMs together must keep the bound while VMs crash and restart, learn
// late of it, lose datagrams and are cut off from each other, whatever the limit, the size
// of the fleet and the distribution of demand.
func TestLimitHoldsUnderFaults(t *testing.T) {
	seed := seedOf(t)
	for round := range roundsOf(60) {
		rng := rand.New(rand.NewPCG(seed, uint64(round)))
		numVMs := 3 + rng.IntN(30)
		if round%10 == 9 {
			numVMs = 100 + rng.IntN(201)
		}
		limit := []float64{0, 0.1, 0.4, 1, 2.3, 7.5, 20, 60, 200}[rng.IntN(9)]
		s := newSim(rng, numVMs, limit)
		s.loss, s.maxDelay = 0.3*rng.Float64(), time.Duration(1+rng.IntN(150))*time.Millisecond
		s.skew((2 + 8*rng.Float64()) * (limit + 1))
		for range 6 {
			s.run(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
			s.injectFault()
		}
		s.run(3 * time.Second)
		if most := s.maxInWindow(); most > allowed(limit) {
			t.Errorf("round %d: limit %g, %d VMs: %d requests within %s, %d allowed; CURRANTFERRY_SEED=%d go test ./quotalease -run %s",
				round, limit, numVMs, most, limitWindow, allowed(limit), seed, t.Name())
		}
	}
}

// injectFault crashes or restarts a VM, cuts the fleet in two, heals it, or changes the
// demand. The first VMs, which coordinate, are affected most often.
func (s *sim) injectFault() {
	k := s.rng.IntN(min(len(s.vms), 4))
	switch s.rng.IntN(5) {
	case 0:
		s.vms[k].up = false
		s.forget(s.vms[k].id)
	case 1:
		s.start(k)
	case 2:
		border := 1 + s.rng.IntN(3)
		s.isCut = func(a, b int) bool { return (a < border) != (b < border) }
	case 3:
		s.isCut = func(int, int) bool { return false }
	default:
		s.skew((2 + 8*s.rng.Float64()) * (s.limit + 1))
	}
}

// forget removes a VM from the views of most others.
func (s *sim) forget(id string) {
	view := make([]string, 0, len(s.vms))
	for _, v := range s.vms {
		if v.id != id && v.up {
			view = append(view, v.id)
		}
	}
	for _, v := range s.vms {
		// Some VMs keep their view, as if they were cut off from the store.
		if s.rng.IntN(4) > 0 {
			v.view = view
		}
	}
}

// With demand above the limit, an instance must get at least 80 % of what it names, wherever
// the demand is, and at least half while a coordinator is gone.
func TestLimitIsUsed(t *testing.T) {
	for _, numVMs := range []int{3, 12, 63, 300} {
		for _, limit := range []float64{2.3, 7.5, 40, 200} {
			for _, concentrated := range []bool{false, true} {
				s := newSim(rand.New(rand.NewPCG(seedOf(t), 7)), numVMs, limit)
				for k, v := range s.vms {
					v.demand = 3 * limit / float64(numVMs)
					if concentrated {
						v.demand = 0
						if k == numVMs-1 {
							v.demand = 3 * limit
						}
					}
				}
				s.run(5 * time.Second)
				before := len(s.sent)
				s.run(20 * time.Second)
				used := float64(len(s.sent)-before) / 20 / limit
				if used < 0.8 {
					t.Errorf("%d VMs, limit %g, all demand at one VM %v: %.2f of the limit used, want 0.8", numVMs, limit, concentrated, used)
				}
			}
		}
	}
}
