package kvhttp

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

// A store that answers without end must not fill the memory of the VM.
func TestEndlessAnswersOfStore(t *testing.T) {
	forms := map[string][2]string{
		"pairs":  {"HTTP/1.1 200 OK\r\n\r\n" + `[{}`, ",{}"},
		"string": {"HTTP/1.1 200 OK\r\n\r\n" + `[{"Key":"`, "x"},
		"error":  {"HTTP/1.1 500 Failed\r\n\r\n", "x"},
	}
	maps.Copy(forms, testkit.EndlessHeads)
	for kind, call := range map[string]func(context.Context, *Client) error{
		"get":  func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "key"); return err },
		"list": func(ctx context.Context, c *Client) error { _, err := c.List(ctx, "prefix/"); return err },
		"vms":  func(ctx context.Context, c *Client) error { _, err := c.ListVMs(ctx); return err },
	} {
		t.Run(kind, func(t *testing.T) {
			// A tenth of the memory of the smallest VMs, 184 MB.
			testkit.CheckEndless(t, forms, 184<<20/10, 3*time.Second, func(ctx context.Context, address string) error {
				c, err := New(Options{Addresses: []string{address}, Timeout: 2 * time.Second})
				if err != nil {
					return err
				}
				defer c.Close()
				return call(ctx, c)
			})
		})
	}
}
