package kvhttp

import (
	"context"
	"testing"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/store"
)

func newClient(address string) *Client {
	c, err := New(Options{Addresses: []string{address}})
	if err != nil {
		panic(err)
	}
	return c
}

// A write must not be taken for done when the connection is reset during its reply.
func TestResetDuringWriteIsNoReply(t *testing.T) {
	testkit.CheckEarly(t, "", "true", func(ctx context.Context, address string) error {
		c := newClient(address)
		defer c.Close()
		return c.CompareAndSwap(ctx, store.Write{Key: "key", Value: make([]byte, store.MaxValueBytes)})
	})
}

// Malformed replies must not be taken for those of the store.
func TestMalformedRepliesAreRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		call func(context.Context, *Client) error
	}{
		"get":   {`[{"Key":"key"}]`, func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "key"); return err }},
		"list":  {`[]`, func(ctx context.Context, c *Client) error { _, err := c.List(ctx, "prefix/"); return err }},
		"write": {"true", func(ctx context.Context, c *Client) error { return c.CompareAndSwap(ctx, store.Write{Key: "key"}) }},
		"renew": {"", func(ctx context.Context, c *Client) error { return c.RenewLease(ctx, "lease") }},
		"vms":   {`[]`, func(ctx context.Context, c *Client) error { _, err := c.ListVMs(ctx); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			testkit.CheckMalformed(t, "", tc.body, func(ctx context.Context, address string) error {
				c := newClient(address)
				defer c.Close()
				return tc.call(ctx, c)
			})
		})
	}
}
