package admin

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/register"
)

// maxDropFraction is the fraction of a service's or region's slots, or of the
// client blocks, that an import may drop without confirmation. A larger drop is
// more often caused by a truncated export than intended.
const maxDropFraction = 0.2

// Impact lists the changes that an import of a register would make.
type Impact struct {
	// Total counts all differences; Diff lists at most 1,000.
	Total int                 `json:"total"`
	Diff  []config.Difference `json:"diff"`
	// Slots has the sums of slots that differ before and after the import.
	Slots []SlotChange `json:"slots"`
	// Moves describes the slots that each service gains or loses in each region.
	Moves []string `json:"moves"`
	// BlocksBefore and BlocksAfter are numbers of client blocks. BlocksMoved is
	// the number of those that are assigned to another site.
	BlocksBefore int `json:"blocks_before"`
	BlocksAfter  int `json:"blocks_after"`
	BlocksMoved  int `json:"blocks_moved"`
	// Dropped describes the drops that need confirm=true.
	Dropped []string `json:"dropped"`
}

// SlotChange has the number of slots of a service in a region, of the whole
// service if Region is empty, or of the whole region if Service is empty.
type SlotChange struct {
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	Before  int    `json:"before"`
	After   int    `json:"after"`
}

// slotKey is the key of a sum of slots; see SlotChange for empty fields.
type slotKey struct{ service, region string }

// sumSlots sums slots by service and region, by service, and by region.
func sumSlots(r *register.Register) map[slotKey]int {
	regions := make(map[string]string)
	for i := range r.Regions {
		for _, dc := range r.Regions[i].DataCentres {
			regions[dc.Name] = r.Regions[i].Name
		}
	}
	out := make(map[slotKey]int)
	for i := range r.Services {
		for j := range r.Services[i].Instances {
			instance := &r.Services[i].Instances[j]
			service, region := r.Services[i].Name, regions[instance.DataCentre]
			for _, k := range []slotKey{{service, region}, {service, ""}, {"", region}} {
				out[k] += instance.Slots
			}
		}
	}
	return out
}

func impactOf(current config.Content, next *register.Register) (*Impact, error) {
	list, total, err := config.Diff(current, config.Content{Register: next, Rules: current.Rules})
	if err != nil {
		return nil, err
	}
	out := &Impact{Total: total, Diff: append([]config.Difference{}, list...), Slots: []SlotChange{}, Moves: []string{}, Dropped: []string{}}
	before, after := sumSlots(current.Register), sumSlots(next)
	for _, k := range sortedSlotKeys(before, after) {
		b, n := before[k], after[k]
		if b == n {
			continue
		}
		out.Slots = append(out.Slots, SlotChange{Service: k.service, Region: k.region, Before: b, After: n})
		isTotal := k.service == "" || k.region == ""
		if isTotal && float64(b-n) > maxDropFraction*float64(b) {
			out.Dropped = append(out.Dropped, fmt.Sprintf("%s from %d to %d slots (%.0f %%)", k, b, n, 100*float64(b-n)/float64(b)))
		}
	}
	out.Moves = describeMoves(out.Slots)
	out.countBlocks(current.Blocks(), next.Blocks)
	return out, nil
}

func (k slotKey) String() string {
	if k.service == "" {
		return "region " + k.region
	}
	return "service " + k.service
}

// sortedSlotKeys returns the keys of all maps, sorted and without duplicates.
func sortedSlotKeys(maps ...map[slotKey]int) []slotKey {
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

// describeMoves returns a sentence for each service and region whose slots change.
func describeMoves(slots []SlotChange) []string {
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

func (i *Impact) countBlocks(before, after []register.Block) {
	i.BlocksBefore, i.BlocksAfter = len(before), len(after)
	sites := make(map[netip.Prefix]string, len(before))
	for _, b := range before {
		sites[b.Prefix] = b.Site
	}
	for _, b := range after {
		if old, ok := sites[b.Prefix]; ok && old != b.Site {
			i.BlocksMoved++
		}
	}
	if dropped := len(before) - len(after); float64(dropped) > maxDropFraction*float64(len(before)) {
		i.Dropped = append(i.Dropped, fmt.Sprintf("client blocks from %d to %d", len(before), len(after)))
	}
}
