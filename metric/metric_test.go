package metric

import (
	"cmp"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

var update = flag.Bool("update", false, "write docs/METRICS.md from the code")

const page = "../docs/METRICS.md"

// The metrics page must match the code and list every reason.
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

// Counters must appear in the metrics served to Prometheus.
func TestCountersAreServed(t *testing.T) {
	s := New()
	s.CountRefusal(verdict.ReasonSaturated)
	s.CountRefusal(verdict.ReasonSaturated)
	s.CountRetry(verdict.ReasonConnectFailed)
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

// Every counter in the source must be documented, and every documented one must exist in the
// source.
func TestDescriptionsMatchSource(t *testing.T) {
	described := make(map[string]bool)
	for _, d := range Describe() {
		described[d.Name] = true
	}
	found := namesInSource(t)
	for name, file := range found {
		if !described[name] {
			t.Errorf("%s of %s is not described", name, file)
		}
	}
	for name := range described {
		if found[name] == "" {
			t.Errorf("%s is described but not reported", name)
		}
	}
}

// namesInSource returns the metric names that the other packages report, with the file of
// each. Names are string literals in calls of tally or of a package's own helper.
func namesInSource(t *testing.T) map[string]string {
	t.Helper()
	// calls holds the index of the name among the arguments of each function.
	calls := map[string]int{"Counter": 0, "Gauge": 0, "Timer": 0, "Histogram": 0, "inc": 0, "count": 1}
	found := make(map[string]string)
	files, err := filepath.Glob("../*/*.go")
	nested, nestedErr := filepath.Glob("../*/*/*.go")
	if err != nil || nestedErr != nil {
		t.Fatal(err, nestedErr)
	}
	for _, file := range append(files, nested...) {
		if strings.HasSuffix(file, "_test.go") || filepath.Dir(file) == "../metric" {
			continue
		}
		source, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(source.Imports, func(i *ast.ImportSpec) bool { return strings.Contains(i.Path.Value, "uber-go/tally") }) {
			continue
		}
		prefix := ""
		if source.Name.Name == "oncerpc" {
			prefix = "once_"
		}
		ast.Inspect(source, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			selector, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			at, ok := calls[selector.Sel.Name]
			if !ok || len(call.Args) <= at {
				return true
			}
			if literal, ok := call.Args[at].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				found[prefix+strings.Trim(literal.Value, "\"")] = file
			}
			return true
		})
	}
	return found
}

func render() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nServed at `/metrics` of the admin listener in the Prometheus text format. " +
		"Written by `go test ./metric -update`.\n\n" +
		"- `currantferry_refusals{reason}`: requests that this VM refused or abandoned.\n" +
		"- `currantferry_retries{reason}`: further attempts, by the reason of the failure before them. `slow-upstream` counts hedged reads.\n\n" +
		"Each refusal carries `" + verdict.HeaderVerdict + "` (`not-run`, `may-have-run` or `ran`), `" + verdict.HeaderReason +
		"` with a reason below, `Proxy-Status` (RFC 9209) and, where the caller may retry, `Retry-After`.\n\n" +
		"| reason | status | RFC 9209 error | meaning |\n|---|---|---|---|\n")
	for _, d := range verdict.Describe() {
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s |\n", d.Reason, d.Status, d.Proxy, d.Text)
	}
	b.WriteString("\n## Other metrics\n\n" +
		"The names start with `currantferry_`. Counters count from the start of the daemon.\n\n" +
		"| name | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range Describe() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, cmp.Or(d.Labels, "none"), d.Meaning)
	}
	return b.String()
}
