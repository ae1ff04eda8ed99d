package loadgen

import (
	"context"
	"net"
	"testing"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/testkit"
)

// A control page with a malformed head must count as missing.
func TestMalformedControlPagesAreMissing(t *testing.T) {
	testkit.CheckMalformed(t, "", "{}", func(ctx context.Context, address string) error {
		r := run{options: Options{Control: []string{address}}, dialer: new(net.Dialer)}
		if _, missing := r.collectRuns(ctx); len(missing) > 0 {
			return errors.New(missing[0])
		}
		return nil
	})
}
