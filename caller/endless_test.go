package caller

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/lookup"
)

// A VM that answers a lookup, a probe or a request without end must not fill the memory of the
// caller's machine.
func TestEndlessAnswersOfVMs(t *testing.T) {
	forms := map[string][2]string{
		"vms":    {"HTTP/1.1 200 OK\r\n\r\n" + `{"vms":[{}`, ",{}"},
		"string": {"HTTP/1.1 200 OK\r\n\r\n" + `{"x":"`, "x"},
		"spaces": {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"error":  {"HTTP/1.1 503 Full\r\n\r\n", "x"},
	}
	maps.Copy(forms, testkit.EndlessHeads)
	const deadline = time.Second
	t.Run("lookup", func(t *testing.T) {
		// At most 1 MB is read; its items may cost several times as much.
		testkit.CheckEndless(t, forms, 32<<20, deadline, func(_ context.Context, address string) error {
			c := New(Options{Bootstrap: []string{address}})
			defer c.Close()
			_, err := c.lookupAt(c.ctx, address, "shop")
			return err
		})
	})
	t.Run("probe", func(t *testing.T) {
		testkit.CheckEndless(t, forms, 4<<20, deadline, func(_ context.Context, address string) error {
			c := New(Options{Bootstrap: []string{address}})
			defer c.Close()
			return c.sendProbe(address)
		})
	})
	t.Run("request", func(t *testing.T) {
		testkit.CheckEndless(t, forms, 32<<20, deadline, func(ctx context.Context, address string) error {
			c := New(Options{Bootstrap: []string{address}})
			defer c.Close()
			c.maxAnswerBytes = 4 << 20
			_, err := c.send(ctx, lookup.ResponseVM{Address: address}, &Request{Method: "GET", Path: "/", Service: "shop"})
			return err
		})
	})
}
