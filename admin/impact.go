package admin

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/register"
)

// maxDrop is the fraction of a service's or region's slots, or of the client
// blocks, that an import may drop without confirmation. A larger drop is more
// often a truncated export than a decision.
const maxDrop = 0.2

// Impact is what an import of a register would change.
type Impact struct {
	// Total counts all differences; Diff lists at most 1,000.
	Total int                 `json:"total"`
	Diff  []config.Difference `json:"diff"`
	// Slots are before and after the import, where they differ.
	Slots []SlotChange `json:"slots"`
	// Moves is the capacity that a service moves between regions.
	Moves []string `json:"moves"`
	// Blocks counts the client blocks.
	BlocksBefore int `json:"blocks_before"`
	BlocksAfter  int `json:"blocks_after"`
	BlocksMoved  int `json:"blocks_moved"`
	// Dropped names what needs confirm=true. Empty means nothing.
	Dropped []string `json:"dropped"`
}

// SlotChange is the slots of a service in a region, of a whole service where
// Region is empty, or of a whole region where Service is empty.
type SlotChange struct {
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

type slotKey struct{ service, region string }

// slotsOf sums slots by service and region, by service, and by region.
func slotsOf(r *register.Register) map[slotKey]int {
	regions := make(map[string]string)
	for i := range r.Regions {
		for _, dc := range r.Regions[i].DataCentres {
			regions[dc.Name] = r.Regions[i].Name
		}
	}
	out := make(map[slotKey]int)
	for i := range r.Services {
		for j := range r.Services[i].Instances {
			in := &r.Services[i].Instances[j]
			service, region := r.Services[i].Name, regions[in.DataCentre]
			for _, k := range []slotKey{{service, region}, {service, ""}, {"", region}} {
				out[k] += in.Slots
			}
		}
	}
	return out
}

func impactOf(was config.Content, next *register.Register) (*Impact, error) {
	list, total, err := config.Diff(was, config.Content{Register: next, Rules: was.Rules})
	if err != nil {
		return nil, err
	}
	out := &Impact{Total: total, Diff: append([]config.Difference{}, list...), Slots: []SlotChange{}, Moves: []string{}, Dropped: []string{}}
	before, after := slotsOf(was.Register), slotsOf(next)
	for _, k := range slotKeys(before, after) {
		b, n := before[k], after[k]
		if b == n {
			continue
		}
		out.Slots = append(out.Slots, SlotChange{Service: k.service, Region: k.region, Before: b, After: n})
		whole := k.service == "" || k.region == ""
		if whole && float64(b-n) > maxDrop*float64(b) {
			out.Dropped = append(out.Dropped, fmt.Sprintf("%s from %d to %d slots (%.0f %%)", k, b, n, 100*float64(b-n)/float64(b)))
		}
	}
	out.Moves = moves(out.Slots)
	out.countBlocks(was.Blocks(), next.Blocks)
	return out, nil
}

func (k slotKey) String() string {
	if k.service == "" {
		return "region " + k.region
	}
	return "service " + k.service
}

func slotKeys(maps ...map[slotKey]int) []slotKey {
	seen := make(map[slotKey]bool)
	var out []slotKey
	for _, m := range maps {
		for k := range m {
			if !seen[k] {
				seen[k] = true
				out = append(out, k)
			}
		}
	}
	slices.SortFunc(out, func(a, b slotKey) int {
		if a.service != b.service {
			return compare(a.service, b.service)
		}
		return compare(a.region, b.region)
	})
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// moves says where capacity goes, by service and region.
func moves(slots []SlotChange) []string {
	out := []string{}
	for _, s := range slots {
		if s.Service == "" || s.Region == "" {
			continue
		}
		direction := "gains"
		n := s.After - s.Before
		if n < 0 {
			direction, n = "loses", -n
		}
		out = append(out, fmt.Sprintf("%s %s %d slots in %s (%d to %d)", s.Service, direction, n, s.Region, s.Before, s.After))
	}
	return out
}

func (i *Impact) countBlocks(was, is []register.Block) {
	i.BlocksBefore, i.BlocksAfter = len(was), len(is)
	sites := make(map[netip.Prefix]string, len(was))
	for _, b := range was {
		sites[b.Prefix] = b.Site
	}
	for _, b := range is {
		if old, ok := sites[b.Prefix]; ok && old != b.Site {
			i.BlocksMoved++
		}
	}
	if lost := len(was) - len(is); float64(lost) > maxDrop*float64(len(was)) {
		i.Dropped = append(i.Dropped, fmt.Sprintf("client blocks from %d to %d", len(was), len(is)))
	}
}
