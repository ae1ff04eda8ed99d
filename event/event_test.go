package event

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md from the code")

const catalogueFile = "../docs/EVENTS.md"

// The catalogue in docs/EVENTS.md must not differ from the code.
func TestCatalogueMatchesDocs(t *testing.T) {
	want := render()
	if *update {
		if err := os.WriteFile(catalogueFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(catalogueFile)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatal("docs/EVENTS.md differs from the code; run: go test ./event -update")
	}
}

func render() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries `event`, the number below. Written by `go test ./event -update`.\n\n")
	b.WriteString("| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, e := range All() {
		action := e.Action
		if action == "" {
			action = "nothing"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, strings.ToLower(e.Level.String()), e.Message, action)
	}
	return b.String()
}
