package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/currantferry/currantferry/invariant"
)

// A violated invariant must appear in the log and in the status, and the hook must
// not outlive the nodes that set it.
func TestViolationsAreLogged(t *testing.T) {
	invariant.Reset()
	t.Cleanup(invariant.Reset)
	var previousCalls int
	defer invariant.OnViolation(func(invariant.Violation) { previousCalls++ })()
	var out [2]bytes.Buffer
	var nodes [2]*Node
	for i := range nodes {
		nodes[i] = &Node{log: slog.New(slog.NewTextHandler(&out[i], nil))}
		nodes[i].watchInvariants()
	}
	nodes[0].unwatchInvariants()
	invariant.Check(invariant.AtMostOnce, false, "key %d", 7)
	nodes[1].unwatchInvariants()
	nodes[1].unwatchInvariants()
	if got := out[1].String(); !strings.Contains(got, "event=1090") || !strings.Contains(got, "key 7") {
		t.Errorf("log of the running node: %q", got)
	}
	if out[0].Len() > 0 {
		t.Errorf("log of the stopped node: %q", out[0].String())
	}
	if got := violations(); got["at-most-once"] != 1 || len(got) != 1 {
		t.Errorf("status: %v", got)
	}
	invariant.Check(invariant.AtMostOnce, false, "after the last node")
	if previousCalls != 1 {
		t.Errorf("the previous hook got %d violations, want 1", previousCalls)
	}
}
