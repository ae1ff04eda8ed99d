package register

import (
	"os"
	"strings"
	"testing"
)

// Guards against an example in the docs that an import refuses.
func TestExampleInDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/REGISTER.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	example, _, ok := strings.Cut(rest, "```")
	if !ok {
		t.Fatal("no example")
	}
	r, err := Parse([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Services) != 1 || len(r.Blocks) != 2 {
		t.Errorf("%d services, %d blocks", len(r.Services), len(r.Blocks))
	}
}
