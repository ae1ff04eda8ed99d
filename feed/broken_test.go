package feed

import (
	"context"
	"testing"
	"time"

	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/internal/testkit"
)

// Malformed answers must not be taken for the records of a relay.
func TestMalformedAnswersOfRelayAreRejected(t *testing.T) {
	fields := headerRevision + ": 5\r\n" + headerAge + ": 5\r\n"
	testkit.CheckMalformed(t, fields, pack(t, "[]"), func(ctx context.Context, address string) error {
		source := &relaySource{New(Options{}).client, address, time.Second, history.Position{}}
		_, err := source.Read(ctx)
		return err
	})
}
