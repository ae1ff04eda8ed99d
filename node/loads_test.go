package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"
)

// A section of load reports must not exceed the size that other VMs accept, and
// reports must not be gossiped again without a new probe.
func TestLoadsFitOneSection(t *testing.T) {
	p := &prober{}
	for i := range 200 {
		p.recordLoad(fmt.Sprintf("werkstatt-dienst-donauraum-%03d", i), loadReport{Running: 400, Waiting: 99_999})
	}
	l := loadsSection{Instances: maps.Clone(p.loads)}
	l.trim()
	data, err := json.Marshal(l)
	if err != nil || len(data) > maxLoadsBytes || len(l.Instances) < 8 || len(p.loads) != maxLoads {
		t.Fatalf("%d bytes for %d of %d instances, %v", len(data), len(l.Instances), len(p.loads), err)
	}
	p.recordLoad("werkstatt-dienst-donauraum-000", loadReport{Running: 1})
	if p.loads["werkstatt-dienst-donauraum-000"] != [2]int{1, 0} {
		t.Fatal("a newer report of a known instance was dropped")
	}
	p.loadsPublishedAt = time.Unix(100, 0)
	p.publishLoads(time.Unix(105, 0))
	if len(p.loads) != maxLoads {
		t.Fatal("reports were gossiped before the interval had passed")
	}
}
