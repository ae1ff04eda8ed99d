package node

import (
	"context"
	"testing"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/verdict"
)

// A suspect must not be cleared by the failure answer of an instance that may not
// have begun to run it.
func TestFailureAnswersClearNoSuspect(t *testing.T) {
	t.Parallel()
	for status, cleared := range map[int]bool{200: true, 404: true, 500: false, 503: false} {
		c := &crashTracker{guard: crashguard.New(crashguard.Config{VM: "vm-1", SettleDelay: time.Millisecond})}
		q := &proxy.Query{Service: &register.Service{Name: "shop"}, Fingerprint: [32]byte{1}}
		run := func(instance string, o proxy.Outcome) {
			ticket, err := c.begin(context.Background(), q, instance)
			if err != nil {
				t.Fatal(err)
			}
			c.end(ticket, o)
		}
		run("a", proxy.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost})
		run("b", proxy.Outcome{Verdict: verdict.Ran, Status: status})
		if c.isSuspect(q) == cleared {
			t.Errorf("after an answer with status %d: cleared %v, want %v", status, !cleared, cleared)
		}
	}
}
