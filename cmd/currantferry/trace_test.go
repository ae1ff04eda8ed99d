package main

import (
	"bytes"
	"strings"
	"testing"
)

const traceLog = `edge-1 {"time":"2026-07-10T17:41:16.2Z","msg":"request refused","vm":"a","event":1601,"request":"r1","instance":"i-1","reason":"connection-lost"}
edge-1 {"time":"2026-07-10T17:41:16.1Z","msg":"request retried","vm":"a","event":1602,"request":"r1","instance":"i-2"}
edge-1 {"time":"2026-07-10T17:41:15.0Z","msg":"instance gone","vm":"a","event":2311,"id":"i-1"}
edge-1 {"time":"2026-07-10T17:41:15.0Z","msg":"instance gone","vm":"b","event":2311,"id":"i-1"}
edge-1 {"time":"2026-07-10T17:41:17.0Z","msg":"instance changed","vm":"a","event":2310,"id":"i-1"}
no json here
edge-1 {"broken
edge-1 {"time":"2026-07-10T17:41:16.2Z","msg":"request refused","vm":"a","event":1601,"request":"r2","instance":"i-1"}
`

// A trace must have all lines of the request in order of time, and no lines about
// the instance's state that another VM logged or that are later than the request.
func TestTrace(t *testing.T) {
	lines, err := parseLogs(strings.NewReader(traceLog))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := printTrace(&b, lines, "r1"); err != nil {
		t.Fatal(err)
	}
	gone, retried, refused := strings.Index(b.String(), "instance gone"), strings.Index(b.String(), "request retried"), strings.Index(b.String(), "request refused")
	if gone < 0 || retried < gone || refused < retried || strings.Count(b.String(), "17:41") != 3 || !strings.Contains(b.String(), "reason: connection-lost") {
		t.Errorf("%s", b.String())
	}
	if printTrace(&b, lines, "r3") == nil {
		t.Error("a request that nobody logged has a trace")
	}
}
