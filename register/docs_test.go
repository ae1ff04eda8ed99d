package register

import (
	"os"
	"strings"
	"testing"
)

// The example in docs/REGISTER.md must be accepted by Parse, so that users can
// import it.
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
