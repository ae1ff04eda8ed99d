package member_test

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/member"
)

// Guards against a VM that keeps only a part of the members.
func TestEveryVMLearnsAll(t *testing.T) {
	l := newLoop(24, 3, envInt("CURRANTFERRY_SEED", 1), member.Options{})
	l.run(10 * time.Second)
	for _, v := range l.order {
		if n, live := l.countState(v.info.ID, member.Serving); n != live {
			t.Errorf("%s is serving for %d of %d", v.info.ID, n, live)
		}
	}
}

// Guards against a VM that is removed although others hear it: first only its
// way from one VM is broken, then every way from one half of the VMs.
func TestOneWayFailureRemovesNobody(t *testing.T) {
	l := newLoop(24, 3, envInt("CURRANTFERRY_SEED", 1), member.Options{})
	l.run(10 * time.Second)
	a := l.order[0]
	l.onSend = func(from, _ *vm) bool { return from == a && l.rng.IntN(3) > 0 }
	l.run(30 * time.Second)
	b := l.order[1]
	l.onSend = func(from, to *vm) bool {
		return (from == b && to.info.ID < "vm-012") || (to == b && from.info.ID < "vm-012")
	}
	for range 60 {
		l.run(time.Second)
		if n := l.falseRemovals(); n > 0 {
			t.Fatalf("%d false removals", n)
		}
	}
}
