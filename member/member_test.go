package member_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/member"
)

func seed() uint64 { return envInt("CURRANTFERRY_SEED", 1) }

// checkConverged checks that every running VM sees every VM in its true state.
// A VM that started after another one crashed knows the latter from the
// platform's list only.
func (l *loop) checkConverged(t *testing.T, when string) {
	t.Helper()
	for _, v := range l.order {
		want := member.Serving
		if v.crashed {
			want = member.Gone
		}
		if n, live := l.countState(v.info.ID, want); n != live {
			t.Errorf("%s: %s is %s for %d of %d; seed %d, run: CURRANTFERRY_SEED=%d go test ./member -run %s",
				when, v.info.ID, want, n, live, seed(), seed(), t.Name())
		}
	}
}

// countFalseRemovals counts how often, from now on, a VM concludes that a VM
// which has not crashed is gone.
func (l *loop) countFalseRemovals(filter func(by *vm, c member.Changed) bool) *int {
	n := new(int)
	for _, v := range l.order {
		v.changed = func(c member.Changed) {
			if c.Member.State == member.Gone && !l.vms[c.Member.ID].crashed && filter(v, c) {
				*n++
			}
		}
	}
	return n
}

func anyRemoval(*vm, member.Changed) bool { return true }

// Every VM must learn all members, not only those of its own targets.
func TestEveryVMLearnsAll(t *testing.T) {
	t.Parallel()
	l := newLoop(24, 3, seed(), member.Options{})
	l.run(10 * time.Second)
	l.checkConverged(t, "after 10 s")
}

// A VM must not be removed while other VMs receive its messages. First two
// thirds of one VM's messages are lost, then all messages between another VM
// and half of the VMs.
func TestOneWayFailureRemovesNobody(t *testing.T) {
	t.Parallel()
	l := newLoop(24, 3, seed(), member.Options{})
	l.run(10 * time.Second)
	removed := l.countFalseRemovals(anyRemoval)
	a := l.order[0]
	l.onSend = func(from, _ *vm) bool { return from == a && l.rng.IntN(3) > 0 }
	l.run(30 * time.Second)
	b := l.order[1]
	l.onSend = func(from, to *vm) bool {
		return (from == b && to.info.ID < "vm-012") || (to == b && from.info.ID < "vm-012")
	}
	l.run(time.Minute)
	if *removed > 0 {
		t.Fatalf("%d false removals", *removed)
	}
}

// Random message loss of 5 % must not remove a VM.
func TestLossRemovesNobody(t *testing.T) {
	t.Parallel()
	l := newLoop(48, 3, seed(), member.Options{})
	l.run(10 * time.Second)
	removed := l.countFalseRemovals(anyRemoval)
	l.onSend = func(_, _ *vm) bool { return l.rng.IntN(20) == 0 }
	l.run(2 * time.Minute)
	if *removed > 0 {
		t.Fatalf("%d false removals with 5 %% of the messages lost; seed %d", *removed, seed())
	}
}

// A VM that was paused long enough to be removed must return after the pause,
// keep its boot and not conclude that the others are gone.
func TestPausedVMReturns(t *testing.T) {
	t.Parallel()
	l := newLoop(24, 3, seed(), member.Options{})
	l.run(10 * time.Second)
	v := l.order[5]
	before := v.core.Self().Incarnation
	v.paused = l.now.Add(30 * time.Second)
	l.run(29 * time.Second)
	if n, live := l.countState(v.info.ID, member.Gone); n != live {
		t.Fatalf("the paused VM is gone for %d of %d", n, live)
	}
	removed := l.countFalseRemovals(anyRemoval)
	l.run(6 * time.Second)
	l.checkConverged(t, "5 s after the pause")
	after := v.core.Self().Incarnation
	if *removed > 0 || after.Boot != before.Boot || !before.Less(after) {
		t.Fatalf("%d false removals, incarnation %v after %v", *removed, after, before)
	}
}

// During a partition between regions, no VM may remove VMs of its own side.
// After it, no VM may be removed and all views must agree again.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	l := newLoop(48, 3, seed(), member.Options{})
	l.run(10 * time.Second)
	side := func(v *vm) bool { return v.info.Region == "region-0" }
	l.onSend = func(from, to *vm) bool { return side(from) != side(to) }
	removed := l.countFalseRemovals(func(by *vm, c member.Changed) bool { return side(by) == side(l.vms[c.Member.ID]) })
	l.run(time.Minute)
	for _, v := range l.order {
		other := 32
		if side(v) {
			other = 16
		}
		if n, _ := l.countState(v.info.ID, member.Gone); n != 48-other && n != other {
			t.Errorf("%s is gone for %d", v.info.ID, n)
		}
	}
	l.onSend = nil
	after := l.countFalseRemovals(anyRemoval)
	l.run(15 * time.Second)
	l.checkConverged(t, "15 s after the partition")
	if *removed > 0 || *after > 0 {
		t.Fatalf("%d removals within a side, %d after the partition; seed %d", *removed, *after, seed())
	}
}

// The loss of a data centre must be detected within 5 s, without more messages
// than the limit on those beyond regular heartbeats allows.
func TestDataCentreLostWithoutStorm(t *testing.T) {
	t.Parallel()
	l := newLoop(96, 4, seed(), member.Options{})
	l.run(15 * time.Second)
	removed := l.countFalseRemovals(anyRemoval)
	for _, v := range l.order {
		v.crashed = v.info.DataCentre == "dc-3"
	}
	before := l.messages
	l.run(5 * time.Second)
	l.checkConverged(t, "5 s after the loss")
	// Regular heartbeats stay below 5/s; others are bounded by a burst of 60 and
	// 30/s. A request and its reply count as two.
	if rate := float64(l.messages-before) / 5 / 84; *removed > 0 || rate > 2*(5+30+60/5) {
		t.Fatalf("%d false removals, %.0f messages/s and VM", *removed, rate)
	}
}

// A VM that answers must not be removed because the platform's list no longer
// names it, and a VM that is gone must not count as lost while it is listed.
func TestListAloneRemovesNobody(t *testing.T) {
	t.Parallel()
	l := newLoop(12, 3, seed(), member.Options{})
	l.run(10 * time.Second)
	a, v := l.order[0], l.order[3]
	list := func(skip, leaving string) {
		var out []member.Listed
		for _, o := range l.order {
			if o.info.ID != skip {
				out = append(out, member.Listed{Info: o.info, Leaving: o.info.ID == leaving})
			}
		}
		l.performEffects(a, a.core.SetList(l.now, out))
	}
	check := func(when string, s member.State, lost bool) {
		t.Helper()
		if m, _ := a.core.Member(v.info.ID); m.State != s || m.IsLost() != lost {
			t.Errorf("%s: %s, lost %v", when, m.State, m.IsLost())
		}
	}
	list(v.info.ID, "")
	l.run(time.Minute)
	check("not listed but answering", member.Serving, false)
	list("", v.info.ID)
	check("listed as leaving", member.Leaving, false)
	list("", "")
	v.crashed = true
	l.run(10 * time.Second)
	check("crashed but listed", member.Gone, false)
	list(v.info.ID, "")
	check("crashed and not listed", member.Gone, true)
	l.run(11 * time.Minute)
	if _, ok := a.core.Member(v.info.ID); ok {
		t.Error("a lost VM is never forgotten")
	}
}

// Other VMs must learn of a restart from the new boot, because the restarted
// VM lost its memory. This also holds if its clock is behind that of the
// previous process.
func TestRestartChangesBoot(t *testing.T) {
	t.Parallel()
	l := newLoop(12, 3, seed(), member.Options{})
	l.run(10 * time.Second)
	v, a := l.order[3], l.order[0]
	before, _ := a.core.Member(v.info.ID)
	boots := 0
	a.changed = func(c member.Changed) {
		if c.Member.ID == v.info.ID && before.Incarnation.Boot < c.Member.Incarnation.Boot {
			boots++
		}
	}
	l.boot(v, member.Options{}, []member.Listed{{Info: a.info}, {Info: l.order[5].info}})
	l.run(5 * time.Second)
	l.checkConverged(t, "5 s after a restart")
	if boots == 0 {
		t.Error("the new boot was not reported")
	}
	// A process that knows no other VM answers, and asks for the sender's Info.
	fresh := member.New(member.Options{}, v.info, l.now, 1)
	reply, _ := fresh.Step(l.now, member.Message{From: a.info.ID, To: member.Key(v.info.ID), Inc: a.core.Self().Incarnation})
	if reply == nil || !reply.Unknown || len(reply.Updates) != 1 || reply.Updates[0].Info == nil {
		t.Errorf("reply to an unknown VM: %+v", reply)
	}
	// A process whose clock is behind that of the previous process.
	now := l.now
	l.now = start
	l.boot(v, member.Options{}, []member.Listed{{Info: a.info}})
	l.now = now
	l.run(5 * time.Second)
	l.checkConverged(t, "5 s after a restart with an earlier clock")
}

// Each data centre must have 2 watchers of the store, up to 6 while no VM
// reaches the store, and 2 again after all watchers crashed.
func TestWatchersPerDataCentre(t *testing.T) {
	t.Parallel()
	l := newLoop(48, 3, seed(), member.Options{})
	l.run(8 * time.Second)
	count := func() map[string]int {
		n := make(map[string]int)
		for _, v := range l.order {
			if !v.crashed && v.core.ShouldWatch(l.now) {
				n[v.info.DataCentre]++
			}
		}
		return n
	}
	storeContact := func(d time.Duration) {
		for range int(d / time.Second) {
			for _, v := range l.order {
				if !v.crashed && v.core.ShouldWatch(l.now) {
					v.core.StoreAnswered(l.now)
				}
			}
			l.run(time.Second)
		}
	}
	storeContact(20 * time.Second)
	for dc, n := range count() {
		if n != 2 {
			t.Errorf("%d watchers in %s", n, dc)
		}
	}
	l.run(7 * time.Second)
	if n := count()["dc-0"]; n != 3 {
		t.Errorf("%d watchers 7 s after the last answer of the store, want 3", n)
	}
	l.run(5 * time.Minute)
	for dc, n := range count() {
		if n != 6 {
			t.Errorf("%d watchers in %s during a long outage, want 6", n, dc)
		}
	}
	for _, v := range l.order {
		v.crashed = v.core.ShouldWatch(l.now)
	}
	l.run(5 * time.Second)
	storeContact(10 * time.Second)
	for dc, n := range count() {
		if n != 2 {
			t.Errorf("%d watchers in %s after all of them crashed", n, dc)
		}
	}
}

// VMs that start together must not all watch the store until they have
// exchanged messages.
func TestStartingVMsDoNotAllWatch(t *testing.T) {
	t.Parallel()
	l := newLoop(48, 3, seed(), member.Options{})
	for at := time.Duration(0); at < 4*time.Second; at += 50 * time.Millisecond {
		n := make(map[string]int)
		for _, v := range l.order {
			if v.core.ShouldWatch(l.now) {
				n[v.info.DataCentre]++
			}
		}
		for dc, n := range n {
			if n > 2 {
				t.Fatalf("%d watchers in %s %s after the start", n, dc, at)
			}
		}
		l.run(50 * time.Millisecond)
	}
}

// A VM must watch the store if the list names other VMs of its data centre
// that do not exist.
func TestVMWithoutPeersWatches(t *testing.T) {
	t.Parallel()
	l := newLoop(48, 3, seed(), member.Options{})
	for _, v := range l.order[1:] {
		v.crashed = true
	}
	l.run(6 * time.Second)
	if !l.order[0].core.ShouldWatch(l.now) {
		t.Fatal("no VM watches the store 6 s after the start")
	}
}

// Sections must reach the VMs in their scope and no others, and stay within
// their traffic allowance.
func TestSectionsStayInScopeAndAllowance(t *testing.T) {
	t.Parallel()
	const local, global = 1, 2
	l := newLoop(24, 3, seed(), member.Options{Sections: map[uint8]member.SectionKind{local: {SameDataCentre: true}, global: {Reconciled: true}}})
	l.run(10 * time.Second)
	before := l.bytes
	for i := range 200 {
		for _, v := range l.order {
			v.core.SetSection(l.now, local, uint64(i+1), []byte(fmt.Sprint(i, strings.Repeat("x", 100))))
		}
		l.run(100 * time.Millisecond)
	}
	owner := l.order[0]
	owner.core.SetSection(l.now, global, 1, []byte("x"))
	if owner.core.SetSection(l.now, local, 300, make([]byte, 600)) {
		t.Error("a section above the limit was accepted")
	}
	rate := float64(l.bytes-before) / 20 / 24
	// The allowance is 500 bytes/s with a burst of 4,000; heartbeats stay below
	// 500 bytes/s.
	if rate > 500+4000/20+500 {
		t.Errorf("%.0f bytes/s and VM", rate)
	}
	// A VM may miss a version of a section that is not reconciled, and owners repeat
	// them. Missing 6 in a row indicates another fault.
	for i := range 6 {
		l.run(5 * time.Second)
		owner.core.SetSection(l.now, local, uint64(301+i), []byte("x"))
	}
	for _, v := range l.order {
		if v == owner {
			continue
		}
		s, ok := v.core.Section(local, owner.info.ID)
		if same := v.info.DataCentre == owner.info.DataCentre; ok != same || (same && s.Version <= 300) {
			t.Errorf("%s has local section %v, version %d", v.info.ID, ok, s.Version)
		}
		if _, ok := v.core.Section(global, owner.info.ID); !ok {
			t.Errorf("%s has no global section", v.info.ID)
		}
	}
}

// Collected sections of all VMs must reach the planner in time. They must not
// reach other VMs, where they would use up the allowance.
func TestCollectedSectionsReachOneVM(t *testing.T) {
	t.Parallel()
	const kind = 3
	l := newLoop(96, 4, seed(), member.Options{Sections: map[uint8]member.SectionKind{kind: {Collected: true}}})
	l.run(10 * time.Second)
	planner := l.order[7]
	for _, v := range l.order {
		v.core.SetSection(l.now, kind, 1, make([]byte, 100))
		v.core.SetCollector(l.now, planner.info.ID)
	}
	// The interval is 96 times 160 ms, with a jitter of a quarter.
	l.run(20 * time.Second)
	for _, v := range l.order {
		if _, ok := planner.core.Section(kind, v.info.ID); !ok {
			t.Errorf("the section of %s is missing", v.info.ID)
		}
		if _, ok := l.order[3].core.Section(kind, v.info.ID); ok && v != l.order[3] {
			t.Errorf("the section of %s reached another VM", v.info.ID)
		}
	}
}

// After random pauses, crashes, restarts, message losses and partitions, all
// views must agree again once the network is whole.
func TestRandomisedHistoryConverges(t *testing.T) {
	t.Parallel()
	for round := range envInt("CURRANTFERRY_ROUNDS", 3) {
		l := newLoop(24, 3, seed()*1000+round, member.Options{})
		var list []member.Listed
		for _, v := range l.order {
			list = append(list, member.Listed{Info: v.info})
		}
		l.run(10 * time.Second)
		for range 20 {
			v := l.order[l.rng.IntN(len(l.order))]
			switch l.rng.IntN(5) {
			case 0:
				v.crashed = true
			case 1:
				v.crashed, v.paused = false, time.Time{}
				l.boot(v, member.Options{}, list)
			case 2:
				v.paused = l.now.Add(time.Duration(l.rng.IntN(20)) * time.Second)
			case 3:
				cut := fmt.Sprintf("region-%d", l.rng.IntN(3))
				l.onSend = func(from, to *vm) bool { return (from.info.Region == cut) != (to.info.Region == cut) }
			case 4:
				l.onSend = func(_, _ *vm) bool { return l.rng.IntN(4) == 0 }
			}
			l.run(time.Duration(l.rng.IntN(8000)) * time.Millisecond)
		}
		l.onSend = nil
		l.run(45 * time.Second)
		l.checkConverged(t, fmt.Sprintf("round %d", round))
	}
}
