package inventory

import (
	"fmt"
	"testing"

	"github.com/currantferry/currantferry/history"
)

// position returns a position of an epoch.
func position(epoch, revision uint64) history.Position {
	return history.Position{Epoch: epoch, Revision: revision}
}

// report returns the record of an instance's process after a number of reports.
func report(id string, at history.Position, start int64, reports uint64) Change {
	return Change{Kind: KindInstance, ID: id, Position: at, Instance: &Instance{ID: id, Service: "shop", DataCentre: "a", StartMillis: start, Reports: reports, Slots: 4}}
}

func drain(c Change) Change {
	i := *c.Instance
	i.Draining = true
	c.Instance = &i
	return c
}

// An instance that drains or has left must not get requests because the store came back
// from a copy in which it is ready, until it says so itself.
func TestRestoreBringsNoInstanceBack(t *testing.T) {
	for _, first := range []uint64{0, 1, 7} {
		t.Run(fmt.Sprint("first epoch ", first), func(t *testing.T) { testRestore(t, first, first+1) })
	}
}

func testRestore(t *testing.T, before, after uint64) {
	v := New()
	v.Reset(at(0), position(before, 4), []Change{report("drains", position(before, 2), 100, 5), report("left", position(before, 3), 100, 5), report("stays", position(before, 4), 100, 5)})
	v.Apply(at(1), []Change{drain(report("drains", position(before, 5), 100, 9)), {Kind: KindInstance, ID: "left", Position: position(before, 6), Removed: true}})
	copied := []Change{report("drains", position(after, 2), 100, 5), report("left", position(after, 3), 100, 5), report("stays", position(after, 4), 100, 5)}
	effects := v.Reset(at(5), position(after, 4), copied)
	if got := instanceIDs(v); got != "stays " {
		t.Fatalf("%q after the restore", got)
	}
	doubted := 0
	for _, e := range effects {
		if e.Doubted {
			doubted++
		}
	}
	if doubted != 2 {
		t.Errorf("%d records were reported as set aside", doubted)
	}
	// A second read of the same state changes nothing.
	v.Reset(at(6), position(after, 5), copied)
	if got := instanceIDs(v); got != "stays " {
		t.Fatalf("%q after the second read", got)
	}
	v.Apply(at(7), []Change{drain(report("drains", position(after, 5), 100, 12)), {Kind: KindInstance, ID: "left", Position: position(after, 6), Removed: true}})
	v.Tick(at(30))
	if got := instanceIDs(v); got != "stays " {
		t.Fatalf("%q after the owners have written again", got)
	}
	v.Apply(at(31), []Change{report("left", position(after, 7), 200, 1)})
	if got := instanceIDs(v); got != "left stays " {
		t.Errorf("%q after a new process of the instance has started", got)
	}
}

// A record that was set aside must take effect if it stays in the store: its owner keeps
// it alive and does not correct it.
func TestRecordThatStaysAfterRestoreTakesEffect(t *testing.T) {
	v := New()
	v.Reset(at(0), position(1, 3), []Change{report("x", position(1, 2), 100, 5)})
	v.Apply(at(1), []Change{{Kind: KindInstance, ID: "x", Position: position(1, 5), Removed: true}})
	v.Reset(at(5), position(2, 3), []Change{report("x", position(2, 2), 100, 5)})
	v.Tick(at(14.9))
	if got := instanceIDs(v); got != "" {
		t.Errorf("%q too early", got)
	}
	v.Tick(at(15.1))
	if got := instanceIDs(v); got != "x " {
		t.Errorf("%q: not used again", got)
	}
}

// An instance that the copy lacks must be used until its owner has had the time to write
// its record again, and no longer, also if this VM did not notice that the store was away.
func TestInstanceMissingAfterRestoreIsKeptForAWhile(t *testing.T) {
	v := New()
	v.Reset(at(0), position(1, 3), []Change{report("a", position(1, 2), 100, 5), report("b", position(1, 3), 100, 5)})
	v.Reset(at(5), position(2, 1), nil)
	if got := instanceIDs(v); got != "a b " {
		t.Fatalf("%q after the restore", got)
	}
	v.Apply(at(6), []Change{report("a", position(2, 2), 100, 9)})
	v.Tick(at(7.1))
	if got := instanceIDs(v); got != "a b " {
		t.Errorf("%q before the deferral ends", got)
	}
	v.Tick(at(7.3))
	if got := instanceIDs(v); got != "a " {
		t.Errorf("%q after the deferral ends", got)
	}
}

// A process that was started after the copy must be known by its own record, not by that
// of its predecessor.
func TestRestoreBringsNoOlderProcessBack(t *testing.T) {
	v := New()
	old := report("x", position(1, 2), 100, 50)
	old.Instance.Address = "10.0.0.1:1"
	present := report("x", position(1, 7), 200, 3)
	present.Instance.Address = "10.0.0.2:1"
	v.Reset(at(0), position(1, 3), []Change{old})
	v.Apply(at(1), []Change{present})
	old.Position = position(2, 2)
	v.Reset(at(5), position(2, 3), []Change{old})
	if i, ok := v.Instance("x"); !ok || i.Address != "10.0.0.2:1" {
		t.Errorf("%+v %t", i, ok)
	}
}

// An evacuation that was acknowledged must stay in force although the copy lacks it, until
// the operators have had the time to order it again.
func TestEvacuationOutlivesRestore(t *testing.T) {
	v := New()
	v.Reset(at(0), position(1, 2), []Change{report("x", position(1, 2), 100, 5)})
	v.Apply(at(1), []Change{{Kind: KindEvacuation, ID: "a", Position: position(1, 3)}})
	v.Reset(at(5), position(2, 2), []Change{report("x", position(2, 2), 100, 5)})
	v.Tick(at(9.9))
	if got := instanceIDs(v); got != "" {
		t.Errorf("%q in an evacuated data centre", got)
	}
	v.Tick(at(10.1))
	if got := instanceIDs(v); got != "x " {
		t.Errorf("%q: the evacuation was not ordered again and still holds", got)
	}
	v.Apply(at(11), []Change{{Kind: KindEvacuation, ID: "a", Position: position(2, 3)}})
	v.Reset(at(12), position(3, 3), []Change{report("x", position(3, 2), 100, 5), {Kind: KindEvacuation, ID: "a", Position: position(3, 3)}})
	v.Apply(at(13), []Change{{Kind: KindEvacuation, ID: "a", Position: position(3, 4), Removed: true}})
	if got := instanceIDs(v); got != "x " {
		t.Errorf("%q: the evacuation was taken back after the restore", got)
	}
}

// An evacuation that was taken back after the copy must not begin again, unless the
// operators leave it there or order it anew.
func TestEndedEvacuationIsSetAside(t *testing.T) {
	for name, c := range map[string]struct {
		revision uint64
		seconds  float64
		want     string
	}{
		"copied": {3, 6.9, "x "}, "copied and left there": {3, 7.1, ""}, "ordered anew": {4, 5, ""},
	} {
		t.Run(name, func(t *testing.T) {
			v := New()
			v.Reset(at(0), position(1, 3), []Change{report("x", position(1, 2), 100, 5), {Kind: KindEvacuation, ID: "a", Position: position(1, 3)}})
			v.Apply(at(1), []Change{{Kind: KindEvacuation, ID: "a", Position: position(1, 4), Removed: true}})
			v.Reset(at(5), position(2, 4), []Change{report("x", position(2, 2), 100, 5), {Kind: KindEvacuation, ID: "a", Position: position(2, c.revision)}})
			v.Tick(at(c.seconds))
			if got := instanceIDs(v); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// The record of a VM that has left must not return with the copy, and that of one that
// started since must be kept until it is written again.
func TestVMsAfterRestore(t *testing.T) {
	vm := func(id string, at history.Position, boot uint64) Change {
		return Change{Kind: KindVM, ID: id, Position: at, VM: &VM{ID: id, Boot: boot}}
	}
	v := New()
	v.Reset(at(0), position(1, 3), []Change{vm("left", position(1, 2), 1), vm("stays", position(1, 3), 1)})
	v.Apply(at(1), []Change{{Kind: KindVM, ID: "left", Position: position(1, 4), Removed: true}, vm("new", position(1, 5), 1)})
	v.Reset(at(5), position(2, 3), []Change{vm("left", position(2, 2), 1), vm("stays", position(2, 3), 1)})
	ids := ""
	for _, vm := range v.VMs() {
		ids += vm.ID + " "
	}
	if ids != "new stays " {
		t.Errorf("%q", ids)
	}
}

// Routes must not go back with the store within a process.
func TestRoutesOutliveRestore(t *testing.T) {
	routes := func(at history.Position, version uint64) Change {
		return Change{Kind: KindRoutes, Position: at, Routes: &Routes{Version: version}}
	}
	v := New()
	v.Reset(at(0), position(1, 3), []Change{routes(position(1, 3), 7)})
	v.Apply(at(1), []Change{routes(position(1, 4), 9)})
	v.Reset(at(5), position(2, 3), []Change{routes(position(2, 3), 7)})
	if got := v.Routes().Version; got != 9 {
		t.Errorf("version %d after the restore", got)
	}
	v.Apply(at(6), []Change{routes(position(2, 4), 12)})
	if got := v.Routes().Version; got != 12 {
		t.Errorf("version %d, which was confirmed after the restore, is not in force", got)
	}
}
