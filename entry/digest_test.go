package entry

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/inventory"
)

// Guards against deaths that count in one region only: whichever VM saw one, the same
// VMs of each other region must be told, and no note that was only heard of goes on.
func TestNotesReachTheSameVMsOfOtherRegions(t *testing.T) {
	t.Parallel()
	all := append(append(vmsOf("a", 4), vmsOf("b", 5)...), vmsOf("c", 1)...)
	note := crashguard.LedgerNote{Request: crashguard.Fingerprint{7}, Process: crashguard.Process{ID: "i"}, Local: true}
	told := func(region string, vms []inventory.VM) map[string]bool {
		out := make(map[string]bool)
		for address := range farNotes(newView(nil, time.Unix(100, 0), vms, region), []crashguard.LedgerNote{note, {Request: note.Request}}) {
			out[address] = true
		}
		return out
	}
	fromA, fromB := told("a", all), told("b", all)
	if len(fromA) != responsibleMost+1 || len(fromB) != responsibleMost+1 {
		t.Fatalf("from a %v, from b %v: want %d of each region, or all", fromA, fromB, responsibleMost)
	}
	for address := range told("c", all) {
		if !fromA[address] && !fromB[address] {
			t.Errorf("a VM of c tells %s, the others do not", address)
		}
	}
}
