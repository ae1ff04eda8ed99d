package control

import (
	"slices"
	"testing"

	"github.com/currantferry/currantferry/member"
)

// A change must not be reported as in force everywhere while a VM that is
// wrongly considered gone still serves by the previous version.
func TestSurveyAsksVMsTakenForGone(t *testing.T) {
	t.Parallel()
	vm := func(id string, state member.State, listed, departed bool) member.Member {
		return member.Member{
			Info: member.Info{ID: id}, Incarnation: member.Incarnation{Boot: 1},
			State: state, Listed: listed, Departed: departed,
		}
	}
	members := []member.Member{
		vm("serving", member.Serving, true, false),
		vm("starved", member.Gone, true, false),
		vm("crashed", member.Gone, true, false),
		vm("departed", member.Gone, true, true),
		vm("lost", member.Gone, false, false),
		{Info: member.Info{ID: "unseen"}, Listed: true},
	}
	s := newSurvey(2)
	want := func(when string, inForce int, lagging ...string) {
		t.Helper()
		if p := s.progress(members); p.InForce != inForce || p.Total != inForce+len(lagging) || !slices.Equal(p.Lagging, lagging) {
			t.Fatalf("%s: %+v, want in force on %d, lagging %v", when, p, inForce, lagging)
		}
	}
	want("before the first round", 0, "crashed", "serving", "starved")
	s.recordAnswer("serving", 2)
	s.recordMiss("starved")
	s.recordMiss("crashed")
	want("a VM answers late", 1, "crashed", "starved")
	s.recordAnswer("starved", 1)
	s.recordMiss("crashed")
	want("it has the previous version", 1, "crashed", "starved")
	s.recordMiss("starved")
	s.recordMiss("crashed")
	want("no answer from the address of the crashed VM", 1, "starved")
	s.recordAnswer("starved", 2)
	want("all running VMs have it", 2)
	if s.shouldAsk(members[2]) || s.shouldAsk(members[1]) {
		t.Fatal("a VM that has the version or crashed is asked again")
	}
}
