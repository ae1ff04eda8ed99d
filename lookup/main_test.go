package lookup

import (
	"testing"

	"go.uber.org/goleak"
)

// A server must not leave goroutines running after it was shut down.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
