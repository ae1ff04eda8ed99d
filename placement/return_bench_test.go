package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// cutForm is how the connections to instances that are cut off fail.
type cutForm int

const (
	// refusedCut refuses connections; heldCut opens them and carries nothing; resetCut and
	// silentCut let new ones hang until the dialer gives up. silentCut also swallows what is
	// sent on connections from before.
	refusedCut cutForm = iota
	heldCut
	resetCut
	silentCut
)

var cutForms = map[string]cutForm{"refused": refusedCut, "held": heldCut, "reset": resetCut, "silent": silentCut}

// trialPolicy is how an ejected instance is tried.
type trialPolicy int

const (
	// connectionTrials is the policy of this package. repeatableTrials tries with idempotent
	// requests only, and everyTrial with any request, without a connection before it.
	connectionTrials trialPolicy = iota
	repeatableTrials
	everyTrial
)

var trialPolicies = map[string]trialPolicy{"connection": connectionTrials, "idempotent-only": repeatableTrials, "every-request": everyTrial}

const (
	benchInstances = 12
	benchDial      = 500 * time.Millisecond
	benchTimeout   = 2 * time.Second
	benchIdle      = time.Second
	benchWork      = 100 * time.Millisecond
	benchCutFrom   = 5 * time.Second
	benchCutFor    = 5500 * time.Millisecond
	benchGap       = 100 * time.Millisecond
)

// cutModel simulates VMs whose callers send orders only, while a part of the instances is cut
// off from all VMs.
type cutModel struct {
	rng      *rand.Rand
	policy   trialPolicy
	form     cutForm
	numCut   int
	start    time.Time
	now      time.Time
	events   eventHeap
	sequence int
	vms      []*Picker

	asked, served, lost, connections int
	firstServed                      time.Duration
}

func (m *cutModel) at(after time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, simEvent{m.now.Add(after), m.sequence, do})
}

// isCut reports whether an instance is cut off, and for how long it has been.
func (m *cutModel) isCut(id string) (bool, time.Duration) {
	since := m.now.Sub(m.start) - benchCutFrom
	return idNumber(id) < m.numCut && since >= 0 && since < benchCutFor, since
}

// order sends an order, and again where it has certainly not run.
func (m *cutModel) order(p *Picker, exclude []string, asked time.Time) {
	if len(exclude) == 0 {
		m.asked += m.counted(asked)
	}
	ticket, e := p.Pick(m.now, &Request{Service: "shop", Target: time.Second, Deadline: asked.Add(benchTimeout), Exclude: exclude})
	if e != nil || len(exclude) > 3 {
		return
	}
	id := ticket.Instance.ID
	retry := func(after time.Duration) {
		m.at(after, func() {
			p.Done(m.now, &ticket, Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed})
			m.order(p, append(exclude[:len(exclude):len(exclude)], id), asked)
		})
	}
	lose := func(after time.Duration, reason verdict.Reason) {
		m.at(after, func() {
			m.lost++
			p.Done(m.now, &ticket, Outcome{Verdict: verdict.MayHaveRun, Reason: reason})
		})
	}
	cut, since := m.isCut(id)
	switch {
	case !cut:
		m.at(benchWork, func() {
			if lost, _ := m.isCut(id); lost {
				lose(0, verdict.ReasonConnectionLost)
				return
			}
			p.Done(m.now, &ticket, Outcome{Verdict: verdict.Ran, Latency: benchWork})
			m.served += m.counted(asked)
			if after := m.now.Sub(m.start) - benchCutFrom - benchCutFor; m.firstServed == 0 && after > 0 && idNumber(id) < m.numCut {
				m.firstServed = after
			}
		})
	case m.form == heldCut || (m.form == silentCut && since < benchIdle):
		lose(benchTimeout, verdict.ReasonDeadline)
	case m.form == refusedCut:
		retry(0)
	default:
		retry(benchDial)
	}
}

func idNumber(id string) (n int) {
	_, _ = fmt.Sscanf(id, "a-%d", &n)
	return n
}

// counted is 1 for orders from 3 s after the end of the cut on.
func (m *cutModel) counted(asked time.Time) int {
	if asked.Sub(m.start) >= benchCutFrom+benchCutFor+3*time.Second {
		return 1
	}
	return 0
}

// tryEjected tries ejected instances as the policy has it.
func (m *cutModel) tryEjected(p *Picker) {
	if m.policy == repeatableTrials {
		return
	}
	for _, c := range p.TrialConnections(m.now) {
		if m.policy == everyTrial {
			c.inst.isUnreachable = false
			p.EndTrialConnection(m.now, &c, ConnectionOpened)
			continue
		}
		m.connections++
		cut, _ := m.isCut(c.inst.ID)
		after, result := time.Millisecond, ConnectionOpened
		if cut && m.form != heldCut {
			result = ConnectionFailed
			if m.form != refusedCut {
				after = benchDial
			}
		}
		m.at(after, func() { p.EndTrialConnection(m.now, &c, result) })
	}
}

// run plays the cut and 20 s after it.
func (m *cutModel) run(vms int) {
	m.start = at(0)
	m.now = m.start
	for n := range vms {
		p := newShopPicker(fmt.Sprint("vm-", n), benchInstances, "a")
		m.vms = append(m.vms, p)
		var tick, send func()
		tick = func() {
			p.Tick(m.now)
			m.tryEjected(p)
			m.at(tickInterval, tick)
		}
		send = func() {
			m.order(p, nil, m.now)
			m.at(time.Duration(m.rng.ExpFloat64()*float64(benchGap)), send)
		}
		m.at(time.Duration(m.rng.Int64N(int64(tickInterval))), tick)
		m.at(time.Duration(m.rng.Int64N(int64(benchGap))), send)
	}
	end := m.start.Add(benchCutFrom + benchCutFor + 20*time.Second)
	for !m.events[0].at.After(end) {
		e, _ := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.do()
	}
}

func newCutModel(seed uint64, policy trialPolicy, form cutForm, numCut int) *cutModel {
	return &cutModel{rng: rand.New(rand.NewPCG(seed, 9)), policy: policy, form: form, numCut: numCut}
}

// Orders must be served again soon after a cut, whatever its form, the share of instances that
// it concerns and the number of VMs.
func TestOrdersReturnInTheModel(t *testing.T) {
	for name, form := range cutForms {
		for _, numCut := range []int{1, 4, benchInstances} {
			for _, vms := range []int{3, 12, 63} {
				m := newCutModel(seedOf(t), connectionTrials, form, numCut)
				m.run(vms)
				if float64(m.served) < 0.9*float64(m.asked) {
					t.Errorf("%s, %d of %d instances, %d VMs: %d of %d orders served from 3 s after the cut", name, numCut, benchInstances, vms, m.served, m.asked)
				}
			}
		}
	}
}

// An instance that can be reached again must get its share of orders soon, not only once the
// connections that failed have been forgotten.
func TestReachedInstanceServesSoon(t *testing.T) {
	for _, form := range []string{"refused", "reset", "silent"} {
		m := newCutModel(seedOf(t), connectionTrials, cutForms[form], 1)
		m.run(12)
		if m.firstServed == 0 || m.firstServed > 3*time.Second {
			t.Errorf("%s: the instance served its first order %s after the cut", form, m.firstServed)
		}
	}
}

// BenchmarkOrdersAfterCut reports the share of orders served from 3 s after a cut, when a cut
// instance first serves one, the orders lost and the trial connections per VM.
func BenchmarkOrdersAfterCut(b *testing.B) {
	for _, policy := range []string{"connection", "idempotent-only", "every-request"} {
		for _, form := range []string{"refused", "held", "reset", "silent"} {
			for _, numCut := range []int{1, 4, benchInstances} {
				for _, vms := range []int{3, 12, 63, 300} {
					b.Run(fmt.Sprintf("%s/%s/%d-of-%d/%d-VMs", policy, form, numCut, benchInstances, vms), func(b *testing.B) {
						var m *cutModel
						for range b.N {
							m = newCutModel(seedOf(b), trialPolicies[policy], cutForms[form], numCut)
							m.run(vms)
						}
						b.ReportMetric(float64(m.served)/float64(max(1, m.asked)), "served-from-3s")
						b.ReportMetric(m.firstServed.Seconds(), "first-s")
						b.ReportMetric(float64(m.lost)/float64(vms), "lost/VM")
						b.ReportMetric(float64(m.connections)/float64(vms), "connections/VM")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
