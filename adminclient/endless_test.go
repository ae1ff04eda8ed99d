package adminclient

import (
	"context"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

// A VM that answers an operator's command with a head without end must not fill the memory of the
// operator's machine.
func TestEndlessHeadsOfVM(t *testing.T) {
	testkit.CheckEndless(t, testkit.EndlessHeads, 4<<20, 2*time.Second, func(ctx context.Context, address string) error {
		c, err := New(Options{Address: address})
		if err != nil {
			return err
		}
		_, err = c.Get(ctx, "/v1/health", nil)
		return err
	})
}
