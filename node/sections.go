package node

import (
	"encoding/json"
	"math"
	"net/netip"

	"github.com/currantferry/currantferry/member"
)

// Kinds of sections that VMs spread about themselves.
const (
	sectionEndpoint    uint8 = 1
	sectionMeasurement uint8 = 2
	sectionDown        uint8 = 3
	sectionPlanner     uint8 = 4
	sectionLoads       uint8 = 5
	// sectionRecord and the numbers above it carry partition records.
	sectionRecord uint8 = 16
)

// sectionKinds tells how far each kind is spread. Lasting ones reach VMs that
// join later.
func sectionKinds(partitions int) map[uint8]member.SectionKind {
	kinds := map[uint8]member.SectionKind{
		sectionEndpoint:    {Lasting: true},
		sectionMeasurement: {Collected: true},
		sectionPlanner:     {Lasting: true, Urgent: true},
		sectionLoads:       {SameRegion: true},
		sectionDown:        {Lasting: true, Urgent: true},
	}
	for p := range partitions {
		if kind := int(sectionRecord) + p; kind <= math.MaxUint8 {
			kinds[uint8(kind)] = member.SectionKind{Lasting: true}
		}
	}
	return kinds
}

// endpoint says where callers reach a VM and how loaded it is.
type endpoint struct {
	Address netip.AddrPort `json:"a"`
	// Load is in tenths of the VM's capacity, so that it seldom changes.
	Load int `json:"l"`
}

// measurement is what a VM knows for the planner.
type measurement struct {
	// Confirmed is the newest plan version that the VM obeys.
	Confirmed uint64 `json:"c"`
	// Services is the work that callers bring to the VM.
	Services map[string]serviceMeasurement `json:"s,omitempty"`
}

// serviceMeasurement is mean slots in use and bytes/s.
type serviceMeasurement struct {
	Slots   float64 `json:"n"`
	Request float64 `json:"q"`
	Answer  float64 `json:"r"`
}

// plannerSection says that a VM holds the planner's lease. The newest claim counts.
type plannerSection struct {
	Since int64 `json:"t"`
}

// downSection lists the instances that the VM probes and cannot reach.
type downSection struct {
	Instances []string `json:"i,omitempty"`
}

// decodeSection reads a section of another VM. Faulty ones count as absent.
func decodeSection[T any](s member.Section) (T, bool) {
	var v T
	err := json.Unmarshal(s.Value, &v)
	return v, err == nil
}
