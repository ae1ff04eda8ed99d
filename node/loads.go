package node

import (
	"encoding/json"
	"time"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/register"
)

const (
	// loadsInterval is the time between two load sections of a VM.
	loadsInterval = 10 * time.Second
	// loadsDelay is the mean age of a load report when it arrives from another VM.
	// The balancer gives older reports less weight.
	loadsDelay = 3 * time.Second
	// maxLoads bounds the reports of one section. maxLoadsBytes bounds its size to
	// what other VMs accept.
	maxLoads      = 10
	maxLoadsBytes = 512
	// maxLoadsVMs is the number of VMs of a region above which reports are not
	// gossiped: they would exceed the bandwidth allowance for sections and arrive too
	// late to be of use.
	maxLoadsVMs = 32
)

// loadsSection carries the load reports of the instances that a VM probes.
type loadsSection struct {
	// Instances holds the running and the waiting requests by instance.
	Instances map[string][2]int `json:"i"`
}

// recordLoad keeps a report that this VM has fetched until it is gossiped.
func (p *prober) recordLoad(instance string, r loadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loads == nil {
		p.loads = make(map[string][2]int)
	}
	if _, known := p.loads[instance]; known || len(p.loads) < maxLoads {
		p.loads[instance] = [2]int{r.Running, r.Waiting}
	}
}

// publishLoads gossips the reports of the last probes within the region.
func (p *prober) publishLoads(now time.Time) {
	if now.Sub(p.loadsPublishedAt) < loadsInterval || p.numRegionVMs() > maxLoadsVMs {
		return
	}
	p.loadsPublishedAt = now
	p.mu.Lock()
	l := loadsSection{Instances: p.loads}
	p.loads = nil
	p.mu.Unlock()
	if l.trim(); len(l.Instances) > 0 {
		p.n.setSection(sectionLoads, l)
	}
}

// trim drops reports until the rest fits into a section. This happens where instances
// have long names. The loss is acceptable because a report is only a hint.
func (l *loadsSection) trim() {
	for id := range l.Instances {
		data, err := json.Marshal(l)
		if err != nil || len(data) <= maxLoadsBytes {
			return
		}
		delete(l.Instances, id)
	}
}

func (p *prober) numRegionVMs() int {
	count := 0
	for _, m := range p.n.control.Members() {
		if m.Region == p.n.self.Region && m.State != member.Gone {
			count++
		}
	}
	return count
}

// onLoads passes the reports of another VM to the pools. They never replace the
// reports of this VM's own probes, which are newer.
func (n *Node) onLoads(l loadsSection) {
	n.mu.Lock()
	snapshot := n.snapshot
	n.mu.Unlock()
	if snapshot == nil {
		return
	}
	at := time.Now().Add(-loadsDelay)
	for i := range snapshot.Register.Services {
		service := &snapshot.Register.Services[i]
		for j := range service.Instances {
			instance := &service.Instances[j]
			if report, ok := l.Instances[instance.ID]; ok {
				n.reportLoadToPool(service.Name, snapshot.Register, instance, balance.LoadReport{At: at, Running: report[0], Queued: report[1]})
			}
		}
	}
}

func (n *Node) reportLoadToPool(service string, r *register.Register, instance *register.Instance, l balance.LoadReport) {
	if pool := n.selector.pool(service, r.RegionOf(instance.DataCentre)); pool != nil {
		pool.report(instance.ID, l)
	}
}
