package lookup

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive the server that started them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
