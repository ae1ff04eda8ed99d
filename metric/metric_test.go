package metric

import (
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

var update = flag.Bool("update", false, "write docs/METRICS.md from the code")

const page = "../docs/METRICS.md"

// Guards against a reason that is missing from the docs.
func TestReasonsMatchDocs(t *testing.T) {
	want := render()
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatal("docs/METRICS.md differs from the code; run: go test ./metric -update")
	}
}

// Guards against counters that do not reach the Prometheus page.
func TestCountersAreServed(t *testing.T) {
	s := New()
	s.Refused(verdict.ReasonSaturated)
	s.Refused(verdict.ReasonSaturated)
	s.Retried(verdict.ReasonConnectFailed)
	if s.Refusals()[verdict.ReasonSaturated] != 2 || s.Retries()[verdict.ReasonConnectFailed] != 1 {
		t.Fatalf("refusals %v, retries %v", s.Refusals(), s.Retries())
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		if strings.Contains(w.Body.String(), `currantferry_refusals{reason="saturated"} 2`) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("page:\n%s", w.Body)
		}
	}
}

func render() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nServed at `/metrics` of the admin listener in the Prometheus text format. " +
		"Written by `go test ./metric -update`; the counters of a package are in the README beside it.\n\n" +
		"- `currantferry_refusals{reason}`: requests that this VM refused or gave up on.\n" +
		"- `currantferry_retries{reason}`: further attempts, by the reason of the failure before them. `slow-upstream` counts hedged reads.\n\n" +
		"Each refusal carries `" + verdict.HeaderVerdict + "` (`not-run`, `may-have-run` or `ran`), `" + verdict.HeaderReason +
		"` with a reason below, `Proxy-Status` (RFC 9209) and, where the caller may come back, `Retry-After`.\n\n" +
		"| reason | status | RFC 9209 error | meaning |\n|---|---|---|---|\n")
	for _, d := range verdict.Describe() {
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s |\n", d.Reason, d.Status, d.Proxy, d.Text)
	}
	return b.String()
}
