package crashguard

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/currantferry/currantferry/invariant"
	"github.com/currantferry/currantferry/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func request(name string) Request {
	return Request{Fingerprint: KeyFingerprint("press", name), Service: "press", Text: "POST /print " + name}
}

// crashInstance runs a request, with a trial if it needs one, and ends it with the
// crash of its instance. It returns the time of the crash.
func crashInstance(t *testing.T, g *Guard, now time.Time, r Request, instance string) time.Time {
	t.Helper()
	d := g.Begin(now, r, instance)
	if d.Action == Wait {
		g.Outbox(0)
		now = d.Until
		d = g.Begin(now, r, instance)
	}
	if d.Action != Start {
		t.Fatalf("%s on %s: %+v", r.Text, instance, d)
	}
	g.End(now, d.Ticket, Crashed)
	return now
}

// A request that crashed two instances must not be sent to a third, and must be
// allowed again after ReportTTL.
func TestTwoCrashesBlockARequest(t *testing.T) {
	g := New(Config{VM: "vm1"})
	r := request("bad")
	now := crashInstance(t, g, start, r, "i1")
	if d := g.Begin(now, r, "i1"); d.Action != OtherInstance {
		t.Errorf("a suspect on the same instance: %+v", d)
	}
	now = crashInstance(t, g, now, r, "i2")
	d := g.Begin(now, r, "i3")
	if d.Action != Refuse || d.Err.Verdict != verdict.NotRun || d.Err.RetryAfter != 10*time.Minute {
		t.Errorf("after two crashes: %+v", d)
	}
	if rows := g.Report(now); len(rows) != 1 || !rows[0].Blocked || len(rows[0].Crashes) != 2 || rows[0].Text == "" {
		t.Errorf("report %+v", rows)
	}
	if d := g.Begin(now.Add(10*time.Minute), r, "i3"); d.Action != Start {
		t.Errorf("after the expiry: %+v", d)
	}
}

// A trial must not start before it was broadcast and SettleDelay has passed.
func TestWaitsForBroadcast(t *testing.T) {
	g := New(Config{VM: "vm1"})
	r := request("bad")
	crashInstance(t, g, start, r, "i1")
	for _, now := range []time.Time{at(time.Second), at(2 * time.Second)} {
		if d := g.Begin(now, r, "i2"); d.Action != Wait {
			t.Fatalf("before the broadcast: %+v", d)
		}
	}
	if n := g.Outbox(1); len(n) != 1 || len(n[0].Crashes) != 1 || len(n[0].Trials) != 1 {
		t.Fatalf("outbox %+v", n)
	}
	if d := g.Begin(at(2*time.Second), r, "i3"); d.Action != Wait {
		t.Errorf("a second trial on the same VM: %+v", d)
	}
	if d := g.Begin(at(2*time.Second), r, "i2"); d.Action != Start {
		t.Errorf("after the broadcast: %+v", d)
	}
}

// Requests that were only in flight on an instance that another request crashed must
// not be blocked.
func TestInnocentRequestsAreNotBlocked(t *testing.T) {
	g := New(Config{VM: "vm1"})
	names := []string{"good1", "bad", "good2"}
	var tickets []Ticket
	for _, n := range names {
		tickets = append(tickets, g.Begin(start, request(n), "i1").Ticket)
	}
	for _, ticket := range tickets {
		g.End(start, ticket, Crashed)
	}
	for i, n := range names {
		if d := g.Begin(start, request(n), "i2"); i > 0 && d.Action != OtherInstance {
			t.Errorf("%s beside another suspect: %+v", n, d)
		}
		g.Begin(start, request(n), fmt.Sprintf("i%d", i+2))
	}
	g.Outbox(0)
	for i, n := range names {
		d := g.Begin(at(time.Second), request(n), fmt.Sprintf("i%d", i+2))
		if d.Action != Start {
			t.Fatalf("%s: %+v", n, d)
		}
		g.End(at(2*time.Second), d.Ticket, map[bool]Outcome{true: Crashed, false: Success}[n == "bad"])
	}
	for _, n := range names {
		if refused := g.Begin(at(3*time.Second), request(n), "i9").Action == Refuse; refused != (n == "bad") {
			t.Errorf("%s refused: %v", n, refused)
		}
	}
}

// The result of merging reports must not depend on their order or on how often they
// arrive.
func TestMerge(t *testing.T) {
	f := RequestFingerprint("press", "GET", "/a", "", -1, nil)
	reports := []CrashReport{
		{Fingerprint: f, Service: "press", Crashes: []Crash{{"i1", "vm1", at(0)}}},
		{Fingerprint: f, Service: "press", Crashes: []Crash{{"i1", "vm2", at(time.Second)}}, Trials: []Trial{{"vm1", "i2", at(1), false, false}}},
		{Fingerprint: f, Service: "press", Trials: []Trial{{"vm1", "i2", at(1), false, true}}},
		{Fingerprint: f, Service: "press", Generation: 1},
		{Fingerprint: f, Service: "press", Generation: 1, Crashes: []Crash{{"i3", "vm1", at(2 * time.Second)}}},
	}
	var want []CrashReport
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		g := New(Config{VM: "vm9"})
		for _, i := range append(rng.Perm(len(reports)), rng.Perm(len(reports))...) {
			g.Merge(at(time.Minute), []CrashReport{reports[i]})
		}
		got := g.All(at(time.Minute))
		if want == nil {
			want = got
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v\n%+v", got, want)
		}
	}
	if len(want) != 1 || len(want[0].Crashes) != 1 || want[0].Generation != 1 {
		t.Errorf("%+v", want)
	}
}

// The number of reports must stay within its bound, and blocked requests must be
// evicted last.
func TestReportsAreBounded(t *testing.T) {
	g := New(Config{VM: "vm1", MaxReports: 10})
	now := crashInstance(t, g, start, request("bad"), "i1")
	now = crashInstance(t, g, now, request("bad"), "i2")
	for i := range 100 {
		crashInstance(t, g, now, request(fmt.Sprint(i)), "i1")
	}
	if len(g.reports) != 10 || g.Begin(now, request("bad"), "i3").Action != Refuse {
		t.Errorf("%d reports", len(g.reports))
	}
}

// The check of two crashes at most must be able to fail.
func TestCrashedAtMostTwoTrips(t *testing.T) {
	violations := 0
	defer invariant.OnViolation(func(invariant.Violation) { violations++ })()
	g := New(Config{VM: "vm1"})
	r := request("bad")
	now := crashInstance(t, g, start, r, "i1")
	crashInstance(t, g, now, r, "i2")
	if violations != 0 {
		t.Error("the check fails after two crashes")
	}
	d := g.start(now, r, "i3", g.reports[r.Fingerprint], false) // bypasses Begin, which would refuse
	if g.End(now, d.Ticket, Crashed); violations != 1 {
		t.Error("the check holds after three crashes")
	}
}

func env(name string, def uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return def
}

// delivery is a report on its way to a VM, and the time of its arrival.
type delivery struct {
	to     int
	at     time.Time
	report CrashReport
}

// send is a request at a VM that waits, runs or asks for another instance.
type send struct {
	r        Request
	vm       int
	instance string
	d        Decision
	until    time.Time // end of the wait, then of the run
}

// A request that is resent through many VMs must crash at most two instances, while
// reports are delayed, duplicated and reordered. The first send has no concurrent
// sends, and its caller waits for Retry-After; later resends overlap.
func TestRandomResends(t *testing.T) {
	first, rounds := env("CURRANTFERRY_SEED", 1), env("CURRANTFERRY_ROUNDS", 50)
	for seed := first; seed < first+rounds; seed++ {
		context := fmt.Sprintf("seed %d: CURRANTFERRY_SEED=%d go test ./crashguard -run TestRandomResends", seed, seed)
		rng := rand.New(rand.NewPCG(seed, 1))
		const vms = 6
		guards := make([]*Guard, vms)
		for i := range guards {
			guards[i] = New(Config{VM: fmt.Sprint("vm", i)})
		}
		var inTransit []delivery
		var open []*send
		lost := make(map[string]map[string]bool)
		answered := make(map[string]time.Time) // earliest resend after the last crash
		served := 0
		for now := start; now.Before(at(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if rng.IntN(5) == 0 {
				name := fmt.Sprint(map[bool]string{true: "bad", false: "good"}[rng.IntN(4) == 0], rng.IntN(3))
				busy := now.Before(answered[name])
				for _, s := range open {
					busy = busy || s.r.Text == request(name).Text && len(lost[name]) == 0
				}
				if !busy {
					open = append(open, &send{r: request(name), vm: rng.IntN(vms), instance: fmt.Sprint("i", rng.IntN(12)), until: now})
				}
			}
			kept := open[:0]
			for _, s := range open {
				g, name := guards[s.vm], s.r.Text[len("POST /print "):]
				switch {
				case now.Before(s.until):
				case s.d.Action == Start && s.d.Ticket > 0:
					o := Success
					if name[0] == 'b' {
						o = Crashed
						if lost[name] == nil {
							lost[name] = make(map[string]bool)
						}
						lost[name][s.instance] = true
					} else {
						served++
					}
					if g.End(now, s.d.Ticket, o); o == Crashed {
						// Retry-After is at least this long.
						answered[name] = now.Add(DefaultSettleDelay)
					}
					continue
				default:
					s.d = g.Begin(now, s.r, s.instance)
					switch s.d.Action {
					case Start:
						s.until = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
					case Wait:
						s.until = s.d.Until
					case OtherInstance:
						s.instance = fmt.Sprint("i", rng.IntN(12))
					case Refuse:
						continue
					}
				}
				kept = append(kept, s)
			}
			open = kept
			for i, g := range guards {
				for _, report := range g.Outbox(0) {
					for to := range vms {
						for range 1 + rng.IntN(2) {
							if to != i {
								inTransit = append(inTransit, delivery{to, now.Add(time.Duration(rng.IntN(80)) * time.Millisecond), report})
							}
						}
					}
				}
			}
			rest := inTransit[:0]
			for _, l := range inTransit {
				if now.Before(l.at) {
					rest = append(rest, l)
				} else {
					guards[l.to].Merge(now, []CrashReport{l.report})
				}
			}
			inTransit = rest
		}
		for name, instances := range lost {
			if len(instances) > 2 {
				t.Fatalf("%s crashed %d instances\n%s", name, len(instances), context)
			}
		}
		if len(lost) == 0 || served < 50 {
			t.Fatalf("%d crashing requests, %d served\n%s", len(lost), served, context)
		}
	}
}
