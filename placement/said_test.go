package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/verdict"
)

// at is a time of these tests.
func at(seconds float64) time.Time {
	return time.Unix(5000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// pickerOf knows instances of the service "shop" with four slots: as many as stated in
// each region.
func pickerOf(vm string, perRegion int, regions ...string) *Picker {
	p := New(Config{VM: vm, Region: regions[0]})
	var list []Instance
	for _, region := range regions {
		for n := range perRegion {
			id := fmt.Sprint(region, "-", n)
			list = append(list, Instance{ID: id, Service: "shop", Region: region, Address: id + ":1", Born: 1, Slots: 4})
		}
	}
	p.SetInstances(at(0), list)
	return p
}

// ask picks an instance for an order, which runs at once where it is served.
func ask(p *Picker, now time.Time, deadline time.Duration, key string, regions ...string) (Ticket, *verdict.Error) {
	t, e := p.Pick(now, &Request{Service: "shop", Route: "orders", Key: key, Target: time.Second, Deadline: now.Add(deadline), Regions: regions})
	if e == nil {
		p.Done(now, &t, Outcome{Verdict: verdict.Ran, Latency: 100 * time.Millisecond})
	}
	return t, e
}

// ticketOf names an instance as a request to it does.
func ticketOf(p *Picker, id string) *Ticket {
	s := p.services["shop"]
	return &Ticket{Instance: s.instances[id].Instance, inst: s.instances[id], service: s}
}

var leaves = availability.Word{Leaving: true}

// Guards against new requests for an instance that leaves: as the first or a later
// choice, in a trial, as a cold one, or when all others were tried.
func TestLeavingInstanceIsNoChoice(t *testing.T) {
	p := pickerOf("vm-1", 3, "a", "b")
	if !p.Said(at(1), ticketOf(p, "a-0"), leaves) || p.Said(at(1), ticketOf(p, "a-0"), leaves) {
		t.Error("only the first word is news")
	}
	cold := p.services["shop"].instances["a-1"].Instance
	cold.ColdUntil, cold.ColdRate = at(60), 100
	p.Update(at(1), []Instance{cold}, nil)
	p.Said(at(1), ticketOf(p, "a-1"), leaves)
	p.services["shop"].instances["a-0"].eject(at(1))
	for n := range 300 {
		r := &Request{Service: "shop", Key: fmt.Sprint(n), Idempotent: true, Target: time.Second, Deadline: at(20), Exclude: []string{"a-2"}}
		if ticket, e := p.Pick(at(9), r); e != nil || ticket.Instance.Region != "b" {
			t.Fatalf("%s, %v", ticket.Instance.ID, e)
		} else {
			p.Done(at(9), &ticket, Outcome{Verdict: verdict.Ran, Latency: time.Millisecond})
		}
	}
}

// Guards against records that take a process for ready which has said that it leaves:
// older ones, a whole state read again, and a removal that is taken back.
func TestWordOutweighsRecords(t *testing.T) {
	p := pickerOf("vm-1", 1, "a")
	same := p.services["shop"].instances["a-0"].Instance
	p.Said(at(1), ticketOf(p, "a-0"), leaves)
	p.Update(at(2), []Instance{same}, nil)
	p.SetInstances(at(3), nil)
	p.SetInstances(at(4), []Instance{same})
	if _, e := ask(p, at(5), time.Second, "k"); e == nil {
		t.Error("the process is used again")
	}
	next := same
	next.Born = at(5.5).UnixMilli()
	p.SetInstances(at(6), []Instance{next})
	if _, e := ask(p, at(6), time.Second, "k"); e != nil {
		t.Errorf("the next process is not used: %v", e)
	}
	p.SetInstances(at(7), []Instance{same})
	if _, e := ask(p, at(7), time.Second, "k"); e == nil {
		t.Error("an older record brings the process back")
	}
}

// Guards against a request that is refused although an instance has only just begun to
// leave, and against one that goes there later, or although another one may serve it.
func TestLeavingInstanceServesWhomNobodyElseMay(t *testing.T) {
	p := pickerOf("vm-1", 1, "a", "b", "c")
	p.Said(at(1), ticketOf(p, "a-0"), leaves)
	if ticket, e := ask(p, at(1.1), time.Second, "k", "a"); e != nil || ticket.Instance.ID != "a-0" {
		t.Errorf("%s, %v", ticket.Instance.ID, e)
	}
	if ticket, e := ask(p, at(1.1), time.Second, "k"); e != nil || ticket.Instance.ID == "a-0" {
		t.Errorf("%s, %v: others may serve it", ticket.Instance.ID, e)
	}
	if ticket, e := p.Pick(at(1.2), &Request{Service: "shop", Deadline: at(3), Regions: []string{"a"}}); e != nil || !p.IsWanted(at(1.3), &ticket) || p.IsWanted(at(2.3), &ticket) {
		t.Errorf("%v: a request that nobody else may serve is not sent at once, or sent too late", e)
	}
	if _, e := ask(p, at(2.1), time.Second, "k", "a"); e == nil || e.Reason != verdict.ReasonAskedToWait || e.Verdict != verdict.NotRun {
		t.Errorf("%v, 1.1 s after the word and with 2.5 s to leave", e)
	}
	// Two regions out: the third one serves, whichever the object prefers.
	p.Said(at(2), ticketOf(p, "b-0"), leaves)
	for n := range 50 {
		if ticket, e := ask(p, at(4), time.Second, fmt.Sprint(n)); e != nil || ticket.Instance.ID != "c-0" {
			t.Fatalf("%s, %v", ticket.Instance.ID, e)
		}
	}
}

// Guards against requests that were chosen before the word and are sent after it.
func TestChosenRequestsAreAskedForAgain(t *testing.T) {
	p := pickerOf("vm-1", 2, "a")
	if !p.IsWanted(at(0), ticketOf(p, "a-0")) {
		t.Error("not wanted though the instance said nothing")
	}
	p.Said(at(1), ticketOf(p, "a-0"), availability.Word{Wait: 2 * time.Second})
	p.Said(at(1), ticketOf(p, "a-1"), leaves)
	for seconds, want := range map[float64][2]bool{1.1: {false, false}, 2.9: {false, false}, 3.1: {true, false}} {
		if got := [2]bool{p.IsWanted(at(seconds), ticketOf(p, "a-0")), p.IsWanted(at(seconds), ticketOf(p, "a-1"))}; got != want {
			t.Errorf("at %g: waiting and leaving instance want %v, want %v", seconds, got, want)
		}
	}
}

// Guards against callers that all come back at the moment at which instances take
// requests again. Pattern: two instances with four slots each ask to be left alone for
// 2 s, 200 callers are refused meanwhile, every fourth with little time left.
func TestReturnsFindRoom(t *testing.T) {
	p := pickerOf("vm-1", 2, "a")
	const work = 100 * time.Millisecond
	for range 200 {
		p.services["shop"].learn("orders", work)
	}
	for _, id := range []string{"a-0", "a-1"} {
		p.Said(at(0), ticketOf(p, id), availability.Word{Wait: 2 * time.Second})
	}
	// At most as many as run in that time may come back in each 100 ms.
	bins := make(map[int]int)
	var hasty, inTime int
	for n := range 200 {
		now := at(float64(n) / 200)
		deadline := 4500 * time.Millisecond
		if n%4 == 0 {
			deadline = at(2.9).Sub(now)
		}
		_, e := ask(p, now, deadline, fmt.Sprint(n))
		if e == nil || e.Reason != verdict.ReasonAskedToWait {
			t.Fatalf("%v", e)
		}
		back := now.Add(e.RetryAfter)
		if back.Before(at(2)) {
			t.Fatalf("caller %d comes back at %s, before the instances do", n, back.Sub(at(0)))
		}
		bins[int(back.Sub(at(2))/work)]++
		if n%4 == 0 {
			hasty++
			if back.Add(work).Before(at(2.9)) {
				inTime++
			}
		}
	}
	for bin, n := range bins {
		if n > 8 {
			t.Errorf("%d callers come back in the %d. 100 ms, 8 can run", n, bin+1)
		}
	}
	// Half of the room until 2.8 s is left to them: 8 times 4.
	if inTime < 32 {
		t.Errorf("%d of %d callers with little time come back in time, room for 32", inTime, hasty)
	}
}

// Guards against VMs that each send a request to find out that an instance leaves.
// Pattern: a quarter of the instances leaves, their records come 2 s later, and 24 VMs
// have ten requests a second each. Logged is what it is worth to tell the others.
func TestLeavingIsToldInTheRegion(t *testing.T) {
	play := func(tell bool) (reached int) {
		const vms, perVM, step = 24, 10, 10 * time.Millisecond
		var all []*Picker
		for n := range vms {
			all = append(all, pickerOf(fmt.Sprint("vm-", n), 16, "a"))
		}
		isLeaving := func(id string) bool { return id == "a-0" || id == "a-1" || id == "a-2" || id == "a-3" }
		asked := 0
		for now := at(0); now.Before(at(2)); now = now.Add(step) {
			for n, p := range all {
				if int(now.Sub(at(0))/step+time.Duration(n))%(100/perVM) != 0 {
					continue
				}
				asked++
				ticket, e := ask(p, now, time.Second, fmt.Sprint(asked))
				if e != nil {
					t.Fatal(e)
				}
				if isLeaving(ticket.Instance.ID) {
					reached++
					p.Said(now, &ticket, leaves)
				}
			}
			if tell && now.Sub(at(0))%(200*time.Millisecond) == 0 {
				for n, from := range all {
					d := from.Digest(now)
					for k, to := range all {
						if k != n {
							to.Heard(now, fmt.Sprint("vm-", n), &d)
						}
					}
				}
			}
		}
		return reached
	}
	alone, told := play(false), play(true)
	t.Logf("%d requests reached leaving instances, %d when VMs tell each other", alone, told)
	// In the 200 ms until the first digest a quarter of 48 requests goes there.
	if told > alone/2 || told > 24 {
		t.Errorf("%d requests reached leaving instances though VMs tell each other, %d without", told, alone)
	}
}
