package placement

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// roundsOf returns the number of rounds in CURRANTFERRY_ROUNDS, or the default.
func roundsOf(t testing.TB, rounds int) int {
	t.Helper()
	if text := os.Getenv("CURRANTFERRY_ROUNDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return rounds
}

// condition is how a modelled instance handles connections and requests.
type condition int

const (
	works condition = iota
	// refusesConnections, losesRequests and hangs leave requests without an answer; the last
	// until their deadline.
	refusesConnections
	losesRequests
	hangs
	// answersErrors, sheds and isForeign answer: with an error, a refusal, or as another
	// instance.
	answersErrors
	sheds
	isForeign
	numConditions
)

// outcome returns the outcome of a request at an instance in that condition.
func (c condition) outcome() Outcome {
	switch c {
	case refusesConnections:
		return Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed}
	case losesRequests:
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	case hangs:
		return Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}
	case answersErrors:
		return Outcome{Verdict: verdict.Ran, Failed: true}
	case sheds:
		return Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonUpstreamRefused}
	case isForeign:
		return Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonMisdirected}
	default:
		return Outcome{Verdict: verdict.Ran, Latency: 20 * time.Millisecond}
	}
}

const (
	// maxReturnTime is the time within which an instance that works again must get requests
	// of any kind: the longest ejection and a second for its trial.
	maxReturnTime = maxEjection + time.Second
	// maxRiskedOrders is the number of orders without an answer per minute that a VM may use
	// as trials of one instance.
	maxRiskedOrders = 16
)

// returnModel is one VM with instances whose condition changes.
type returnModel struct {
	t          *testing.T
	rng        *rand.Rand
	p          *Picker
	now        time.Time
	ids        []string
	conditions map[string]condition
	pending    []pendingRequest
	risked     map[string][]time.Time
}

type pendingRequest struct {
	ticket  Ticket
	at      time.Time
	isOrder bool
}

// step advances the time, ends requests that are due, and opens the trial connections.
func (m *returnModel) step(d time.Duration) {
	m.now = m.now.Add(d)
	m.pending = slices.DeleteFunc(m.pending, func(r pendingRequest) bool {
		if r.at.After(m.now) {
			return false
		}
		m.end(r)
		return true
	})
	m.p.Tick(m.now)
	for _, c := range m.p.TrialConnections(m.now) {
		result := ConnectionOpened
		switch {
		case m.rng.IntN(8) == 0:
			result = ConnectionUnknown
		case m.conditions[c.inst.ID] == refusesConnections:
			result = ConnectionFailed
		}
		m.p.EndTrialConnection(m.now, &c, result)
	}
}

// end ends a request by the condition of its instance, or as one whose caller left.
func (m *returnModel) end(r pendingRequest) {
	o := m.conditions[r.ticket.Instance.ID].outcome()
	if m.rng.IntN(5) == 0 {
		o = Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCallerGone, Cancelled: true}
	}
	if r.isOrder && !r.ticket.trialOf.IsZero() && o.Verdict == verdict.MayHaveRun {
		id := r.ticket.Instance.ID
		m.risked[id] = append(slices.DeleteFunc(m.risked[id], func(at time.Time) bool { return m.now.Sub(at) > time.Minute }), m.now)
		if n := len(m.risked[id]); n > maxRiskedOrders {
			m.t.Fatalf("%d orders within a minute were put at risk by trials of %s", n, id)
		}
	}
	m.p.Done(m.now, &r.ticket, o)
}

// send sends a request to any instance but the excluded ones, and reports whether one took it.
func (m *returnModel) send(isOrder bool, exclude []string) bool {
	ticket, e := m.p.Pick(m.now, &Request{
		Service: "shop", Key: fmt.Sprint(m.rng.IntN(5)), Idempotent: !isOrder, Target: time.Second, Deadline: m.now.Add(2 * time.Second), Exclude: exclude,
	})
	if e != nil {
		return false
	}
	took := time.Duration(m.rng.IntN(300)) * time.Millisecond
	if m.conditions[ticket.Instance.ID] == hangs {
		took = 2 * time.Second
	}
	m.pending = append(m.pending, pendingRequest{ticket, m.now.Add(took), isOrder})
	return true
}

// An instance that works again must get requests again within a stated time at every VM that
// has callers for it, also if these send orders only, whatever happened before: any failures,
// answers, callers that leave, pauses of the VM and connections that show nothing. Trials must
// put only few orders at risk.
func TestWorkingInstancesGetWorkAgain(t *testing.T) {
	seed := seedOf(t)
	for round := range roundsOf(t, 200) {
		m := &returnModel{
			t: t, rng: rand.New(rand.NewPCG(seed, uint64(round))), now: at(0), conditions: make(map[string]condition), risked: make(map[string][]time.Time),
		}
		numInstances := 1 + m.rng.IntN(4)
		m.p = newShopPicker("vm-1", numInstances, "a")
		for n := range numInstances {
			m.ids = append(m.ids, fmt.Sprint("a-", n))
		}
		ordersOnly := m.rng.IntN(2) == 0
		for end := at(90); m.now.Before(end); {
			m.step(time.Duration(1+m.rng.IntN(120)) * time.Millisecond)
			if m.rng.IntN(400) == 0 {
				// The VM was paused.
				m.step(time.Duration(m.rng.IntN(6000)) * time.Millisecond)
			}
			if m.rng.IntN(60) == 0 {
				m.conditions[m.ids[m.rng.IntN(len(m.ids))]] = condition(m.rng.IntN(int(numConditions)))
			}
			for range m.rng.IntN(4) {
				m.send(ordersOnly || m.rng.IntN(2) == 0, nil)
			}
		}
		for _, id := range m.ids {
			m.conditions[id] = works
		}
		waiting := slices.Clone(m.ids)
		for healed := m.now; len(waiting) > 0; {
			m.step(50 * time.Millisecond)
			waiting = slices.DeleteFunc(waiting, func(id string) bool {
				others := slices.DeleteFunc(slices.Clone(m.ids), func(other string) bool { return other == id })
				return m.send(true, others)
			})
			if m.now.Sub(healed) > maxReturnTime+2*time.Second {
				i := m.p.services["shop"].instances[waiting[0]]
				t.Fatalf("seed %d, round %d: %s gets no order %s after it works again: ejection %s, trial pending %v, connecting %v, connected %v, replaced %v",
					seed, round, waiting[0], m.now.Sub(healed), i.ejection, i.isTrialPending, i.isConnecting, i.isConnected, i.isReplaced)
			}
		}
	}
}
