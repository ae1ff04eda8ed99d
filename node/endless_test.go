package node

import (
	"context"
	"maps"
	"testing"

	"github.com/currantferry/currantferry/internal/testkit"
)

// An instance that answers a probe without end must not fill the memory of the VM.
func TestEndlessAnswersToProbes(t *testing.T) {
	forms := map[string][2]string{
		"string": {"HTTP/1.1 200 OK\r\n\r\n" + `{"x":"`, "x"},
		"list":   {"HTTP/1.1 200 OK\r\n\r\n" + `{"x":[0`, ",0"},
		"spaces": {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"error":  {"HTTP/1.1 503 Full\r\n\r\n", "x"},
		"after":  {"HTTP/1.1 200 OK\r\n\r\n" + `{"running":1}`, "x"},
	}
	maps.Copy(forms, testkit.EndlessHeads)
	// A VM probes some ten instances at once.
	testkit.CheckEndless(t, forms, 2<<20, probeTimeout, func(ctx context.Context, address string) error {
		_, err := newProber(&Node{ctx: ctx}, nil).fetch(address)
		return err
	})
}
