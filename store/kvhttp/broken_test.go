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
