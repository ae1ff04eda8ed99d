package node

import (
	"context"
	"testing"

	"github.com/currantferry/currantferry/internal/testkit"
)

// Malformed answers to probes must not count as load reports.
func TestMalformedLoadReportsAreRejected(t *testing.T) {
	testkit.CheckMalformed(t, "", `{"running":1}`, func(ctx context.Context, address string) error {
		_, err := newProber(&Node{ctx: ctx}, nil).fetch(address)
		return err
	})
}
