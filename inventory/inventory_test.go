package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/history"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func registration(id string, revision uint64) Change {
	return Change{Kind: KindInstance, ID: id, Position: history.Position{Revision: revision}, Instance: &Instance{ID: id, Service: "shop", DataCentre: "a", Slots: 4}}
}

func removal(id string, revision uint64) Change {
	return Change{Kind: KindInstance, ID: id, Position: history.Position{Revision: revision}, Removed: true}
}

func instanceIDs(v *Inventory) string {
	out := ""
	for _, i := range v.Instances() {
		out += i.ID + " "
	}
	return out
}

// Changes that arrive twice, or late through a relay, must not replace newer ones.
func TestOlderRecordsAreIgnored(t *testing.T) {
	v := New()
	v.Apply(at(0), []Change{registration("x", 5), removal("x", 9)})
	v.Apply(at(1), []Change{registration("x", 7)})
	if got := instanceIDs(v); got != "" {
		t.Errorf("%q: an older record was applied", got)
	}
	v.Apply(at(2), []Change{registration("x", 11), removal("x", 10)})
	if got := instanceIDs(v); got != "x " {
		t.Errorf("%q", got)
	}
}

// An instance that is draining, in an evacuated data centre, or whose record can no
// longer be used must not get requests.
func TestInstancesThatTakeNewWork(t *testing.T) {
	v := New()
	draining := registration("b", 2)
	draining.Instance.Draining = true
	v.Apply(at(0), []Change{registration("a", 1), draining, registration("c", 3), {Kind: KindInstance, ID: "c", Position: history.Position{Revision: 4}, Unusable: errors.New("broken")}})
	if got := instanceIDs(v); got != "a " {
		t.Errorf("%q", got)
	}
	v.Apply(at(1), []Change{{Kind: KindEvacuation, ID: "a", Position: history.Position{Revision: 5}}})
	if got := instanceIDs(v); got != "" {
		t.Errorf("%q in an evacuated data centre", got)
	}
	v.Apply(at(2), []Change{{Kind: KindEvacuation, ID: "a", Position: history.Position{Revision: 6}, Removed: true}})
	if got := instanceIDs(v); got != "a " {
		t.Errorf("%q after the evacuation", got)
	}
}

// Instances whose records expired while the store was unreachable must be kept for a
// while, and removed if their records are still missing then.
func TestRemovalsAfterAnOutageAreDeferred(t *testing.T) {
	v := New()
	v.Apply(at(0), []Change{registration("a", 1), registration("b", 2), registration("c", 3)})
	v.RecordContact(at(1), 0, true)
	v.RecordContact(at(5), 0, false)
	effects := v.Apply(at(5), []Change{removal("a", 4), removal("b", 5)})
	if got := instanceIDs(v); got != "a b c " || len(effects) != 2 || !effects[0].Deferred {
		t.Fatalf("%q %+v", got, effects)
	}
	v.Apply(at(6), []Change{registration("a", 6)})
	v.Tick(at(7.1))
	if got := instanceIDs(v); got != "a b c " {
		t.Errorf("%q before the deferral ends", got)
	}
	v.Tick(at(7.3))
	if got := instanceIDs(v); got != "a c " {
		t.Errorf("%q after the deferral ends", got)
	}
	v.Apply(at(8), []Change{removal("c", 7)})
	if got := instanceIDs(v); got != "a " {
		t.Errorf("%q: a removal without an outage applies at once", got)
	}
}

// Removals must take effect at once at a VM whose own calls failed while the VM that it follows
// was in contact with the store, also if they were deferred before this was known. A VM that
// lost the store together with the others must go on deferring.
func TestOwnFailuresDeferNoRemovals(t *testing.T) {
	for _, c := range []struct {
		steady     float64
		isDeferred bool
	}{{0, true}, {1, true}, {3, false}, {60, false}} {
		steady := time.Duration(c.steady * float64(time.Second))
		v := New()
		v.Apply(at(0), []Change{registration("a", 1), registration("b", 2), registration("c", 3)})
		v.RecordContact(at(90), 0, true)
		v.RecordContact(at(91), 0, false)
		v.Apply(at(91), []Change{removal("a", 4)})
		v.RecordContact(at(91.1), steady, false)
		v.Apply(at(91.1), []Change{removal("b", 5)})
		v.Tick(at(91.2))
		if got, want := instanceIDs(v), map[bool]string{true: "a b c ", false: "c "}[c.isDeferred]; got != want {
			t.Errorf("steady for %g s: %q, want %q", c.steady, got, want)
		}
	}
}

// If most records of a kind are removed at once, the removals must be deferred even if
// this VM noticed no outage of the store.
func TestMassRemovalIsDeferred(t *testing.T) {
	v := New()
	var registrations, removals []Change
	for n := range 10 {
		registrations = append(registrations, registration(fmt.Sprint("i", n), uint64(n+1)))
		if n < 8 {
			removals = append(removals, removal(fmt.Sprint("i", n), uint64(n+20)))
		}
	}
	v.Apply(at(0), registrations)
	v.Apply(at(1), removals)
	if got := len(v.Instances()); got != 10 {
		t.Errorf("%d instances left", got)
	}
	v.Tick(at(4))
	if got := len(v.Instances()); got != 2 {
		t.Errorf("%d instances after the deferral", got)
	}
}

// A reset must remove the records that the new state lacks.
func TestResetRemovesWhatIsMissing(t *testing.T) {
	v := New()
	v.Apply(at(0), []Change{registration("a", 1), registration("b", 2)})
	v.Reset(at(1), history.Position{Revision: 9}, []Change{registration("b", 2), registration("c", 8)})
	if got := instanceIDs(v); got != "b c " {
		t.Errorf("%q", got)
	}
}

// Routes must not be replaced by an older version, a removal or an unusable record.
func TestRoutesVersionNeverDecreases(t *testing.T) {
	v := New()
	routes := func(version, revision uint64) Change {
		return Change{Kind: KindRoutes, Position: history.Position{Revision: revision}, Routes: &Routes{Version: version}}
	}
	v.Apply(at(0), []Change{routes(7, 1), routes(5, 2), {Kind: KindRoutes, Position: history.Position{Revision: 3}, Removed: true}, {Kind: KindRoutes, Position: history.Position{Revision: 4}, Unusable: errors.New("x")}})
	if v.Routes().Version != 7 {
		t.Errorf("version %d", v.Routes().Version)
	}
}

// A route with a shorter prefix, or of another host, must not be used.
func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(&Routes{Routes: []Route{{Name: "a", Host: "x.example", Prefix: "/a/"}, {Name: "ab", Host: "X.example", Prefix: "/a/b/"}, {Name: "other", Host: "y.example", Prefix: "/"}}})
	for _, tc := range []struct{ host, path, want string }{
		{"x.example", "/a/b/c", "ab"},
		{"x.example:80", "/a/bc", "a"},
		{"x.example", "/b/", ""},
		{"y.example", "/b/", "other"},
		{"z.example", "/a/", ""},
	} {
		got := ""
		if r := table.Find(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// A reset to an older state must not remove newer records: when such a record follows,
// its revision has been passed already, so it would be ignored.
func TestResetKeepsWhatIsNewer(t *testing.T) {
	v := New()
	v.Apply(at(0), []Change{{Kind: KindVM, ID: "vm-1", Position: history.Position{Revision: 5}, VM: &VM{ID: "vm-1"}}})
	v.Reset(at(1), history.Position{Revision: 4}, nil)
	v.Apply(at(2), []Change{{Kind: KindVM, ID: "vm-1", Position: history.Position{Revision: 5}, VM: &VM{ID: "vm-1"}}})
	if len(v.VMs()) != 1 {
		t.Fatal("a VM that is newer than the state was removed")
	}
	v.Reset(at(3), history.Position{Revision: 6}, nil)
	if len(v.VMs()) != 0 {
		t.Fatal("a VM that the state lacks is still there")
	}
}

// An instance whose record is missing when the evacuation of its data centre ends must not
// get requests before it has written its record again: it may have become cold meanwhile.
func TestInstanceWithoutRecordIsNotUsedAfterEvacuation(t *testing.T) {
	v := New()
	evacuation := func(revision uint64, ended bool) Change {
		return Change{Kind: KindEvacuation, ID: "a", Position: history.Position{Revision: revision}, Removed: ended}
	}
	v.Apply(at(0), []Change{registration("x", 1), registration("y", 2), evacuation(3, false)})
	v.RecordContact(at(1), 0, true)
	v.RecordContact(at(5), 0, false)
	v.Apply(at(5), []Change{removal("x", 4), evacuation(5, true)})
	if got := instanceIDs(v); got != "y " {
		t.Errorf("%q after the evacuation, while the record of x is missing", got)
	}
	v.Apply(at(6), []Change{registration("x", 6)})
	if got := instanceIDs(v); got != "x y " {
		t.Errorf("%q after the record of x is back", got)
	}
	// Some time after an evacuation a missing record changes nothing for a while.
	v.RecordContact(at(20), 0, true)
	v.RecordContact(at(25), 0, false)
	v.Apply(at(25), []Change{removal("x", 7), removal("y", 8)})
	if got := instanceIDs(v); got != "x y " {
		t.Errorf("%q some time after the evacuation", got)
	}
}
