package placement

import (
	"testing"

	"github.com/currantferry/currantferry/internal/testkit"
)

// A field that may keep a VM from sending must have an end that is written down.
func TestStatesAreListed(t *testing.T) {
	testkit.CheckStates(t, "placement.instance", instance{})
}
