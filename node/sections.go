package node

import (
	"encoding/json"
	"math"
	"net/netip"

	"github.com/currantferry/currantferry/member"
)

// Kinds of sections that VMs gossip about themselves.
const (
	sectionEndpoint    uint8 = 1
	sectionMeasurement uint8 = 2
	sectionDown        uint8 = 3
	sectionPlanner     uint8 = 4
	sectionLoads       uint8 = 5
	sectionTransit     uint8 = 6
	// sectionRecord is the kind of partition 0's record. The kinds above it are those
	// of the other partitions.
	sectionRecord uint8 = 16
)

// sectionKinds returns how each kind is replicated. Reconciled ones are also sent to VMs
// that join later.
func sectionKinds(partitions int) map[uint8]member.SectionKind {
	kinds := map[uint8]member.SectionKind{
		sectionEndpoint:    {Reconciled: true},
		sectionMeasurement: {Collected: true},
		sectionPlanner:     {Reconciled: true, Urgent: true},
		sectionLoads:       {SameRegion: true},
		sectionDown:        {Reconciled: true, Urgent: true},
		sectionTransit:     {Reconciled: true, Urgent: true},
	}
	for p := range partitions {
		if kind := int(sectionRecord) + p; kind <= math.MaxUint8 {
			kinds[uint8(kind)] = member.SectionKind{Reconciled: true}
		}
	}
	return kinds
}

// endpoint holds the address at which callers reach a VM, and the load of the VM.
type endpoint struct {
	Address netip.AddrPort `json:"a"`
	// Load is in tenths of the capacity of the VM, so that it seldom changes.
	Load int `json:"l"`
}

// measurement is the state of a VM that the planner needs.
type measurement struct {
	// Confirmed is the newest plan version that the VM obeys.
	Confirmed uint64 `json:"c"`
	// Services is the work that callers send to the VM, by service.
	Services map[string]serviceMeasurement `json:"s,omitempty"`
}

// serviceMeasurement holds the mean number of slots in use, and the bytes/s of
// requests and answers.
type serviceMeasurement struct {
	Slots   float64 `json:"n"`
	Request float64 `json:"q"`
	Answer  float64 `json:"r"`
}

// plannerSection announces that a VM holds the planner lease. The latest announcement
// applies.
type plannerSection struct {
	Since int64 `json:"t"`
}

// downSection lists the instances whose probes from the VM fail.
type downSection struct {
	Instances []string `json:"i,omitempty"`
}

// decodeSection decodes a section of another VM. A malformed one is ignored.
func decodeSection[T any](s member.Section) (T, bool) {
	var v T
	err := json.Unmarshal(s.Value, &v)
	return v, err == nil
}
