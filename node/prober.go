package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/internal/httpanswer"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/register"
)

const (
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
	// probersPerInstance is the number of VMs of its region that probe an instance,
	// so that the probes of an instance do not grow with the number of VMs.
	probersPerInstance = 2
	// failuresUntilDown is the number of consecutive failed probes after which a VM
	// reports an instance as down.
	failuresUntilDown  = 2
	maxLoadReportBytes = 4 << 10
	// maxIdleProbeTime bounds how long the connection to an instance that is no longer probed is
	// kept.
	maxIdleProbeTime = 90 * time.Second
	// maxLoadHeadBytes bounds the head of an answer to a probe. The default of net/http is 10 MB,
	// and small fields cost ten times as much.
	maxLoadHeadBytes = 16 << 10
)

// prober fetches the load of the instances assigned to this VM and gossips which of
// them are down.
type prober struct {
	n      *Node
	client *http.Client

	mu       sync.Mutex
	failures map[string]int
	// down holds the instances that all of their probers report as down. recoveredAt
	// is when an instance last came up again.
	down        map[string]bool
	recoveredAt map[string]time.Time
	// downRegions holds the regions without an instance that is up.
	downRegions map[string]bool
	// loads holds the latest reports that were not gossiped yet.
	loads map[string][2]int
	// loadsPublishedAt is when reports were last gossiped. Only step uses it.
	loadsPublishedAt time.Time
}

// newProber returns a prober that opens connections by dial, or by the default dialer if it is
// nil.
func newProber(n *Node, dial func(ctx context.Context, network, address string) (net.Conn, error)) *prober {
	transport := httpanswer.NewTransport(&http.Transport{
		Proxy: http.ProxyFromEnvironment, DialContext: dial, IdleConnTimeout: maxIdleProbeTime, MaxResponseHeaderBytes: maxLoadHeadBytes,
	})
	client := &http.Client{Timeout: probeTimeout, Transport: transport}
	return &prober{
		n: n, client: client,
		failures: make(map[string]int), down: make(map[string]bool),
		recoveredAt: make(map[string]time.Time), downRegions: make(map[string]bool),
	}
}

func (p *prober) isDown(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down[instance]
}

// recoveryTime returns when an instance last came up after it was down, or zero.
func (p *prober) recoveryTime(instance string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recoveredAt[instance]
}

func (p *prober) isRegionDown(region string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downRegions[region]
}

// step probes the instances assigned to this VM.
func (p *prober) step(now time.Time) {
	p.n.mu.Lock()
	snapshot := p.n.snapshot
	p.n.mu.Unlock()
	if snapshot == nil {
		return
	}
	probers := p.probersOf(snapshot.Register)
	var group conc.WaitGroup
	for i := range snapshot.Register.Services {
		service := &snapshot.Register.Services[i]
		for j := range service.Instances {
			instance := &service.Instances[j]
			if slices.Contains(probers[instance.ID], p.n.self.ID) {
				group.Go(func() { p.probe(service.Name, snapshot.Register.RegionOf(instance.DataCentre), instance) })
			}
		}
	}
	group.Wait()
	p.publishDown()
	p.publishLoads(now)
	p.updateDown(now, snapshot.Register, probers)
}

// probersOf returns, for each instance, the VMs of its region with the highest
// rendezvous hash. Instances of a region without VMs are probed by VMs of other
// regions.
func (p *prober) probersOf(r *register.Register) map[string][]string {
	byRegion := make(map[string][]string)
	var all []string
	for _, m := range p.n.control.Members() {
		if m.State == member.Serving || m.ID == p.n.self.ID {
			byRegion[m.Region] = append(byRegion[m.Region], m.ID)
			all = append(all, m.ID)
		}
	}
	out := make(map[string][]string)
	for i := range r.Services {
		for j := range r.Services[i].Instances {
			instance := &r.Services[i].Instances[j]
			ids := byRegion[r.RegionOf(instance.DataCentre)]
			if len(ids) == 0 {
				ids = all
			}
			out[instance.ID] = rank(ids, instance.ID, probersPerInstance)
		}
	}
	return out
}

// rank returns the n IDs with the highest rendezvous hash for key.
func rank(ids []string, key string, n int) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int {
		ha, hb := xxhash.Sum64String(key+"/"+a), xxhash.Sum64String(key+"/"+b)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		default:
			return 0
		}
	})
	return ranked[:min(n, len(ranked))]
}

// loadReport is the body of an instance's load endpoint.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Draining instances are leaving and accept no new requests.
	Draining bool `json:"draining"`
}

func (p *prober) probe(service, region string, instance *register.Instance) {
	at := time.Now()
	report, err := p.fetch(instance.Address)
	p.mu.Lock()
	switch {
	case err != nil:
		p.failures[instance.ID]++
	case report.Draining:
		p.failures[instance.ID] = failuresUntilDown
	default:
		p.failures[instance.ID] = 0
	}
	p.mu.Unlock()
	if err != nil {
		return
	}
	p.recordLoad(instance.ID, report)
	if pool := p.n.selector.pool(service, region); pool != nil {
		pool.report(instance.ID, balance.LoadReport{At: at, Running: report.Running, Queued: report.Waiting})
	}
}

func (p *prober) fetch(address string) (loadReport, error) {
	var report loadReport
	ctx, cancel := context.WithTimeout(p.n.ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, err
	}
	res, err := p.client.Do(req)
	if err != nil {
		return report, err
	}
	defer res.Body.Close()
	return report, json.NewDecoder(io.LimitReader(res.Body, maxLoadReportBytes)).Decode(&report)
}

// publishDown gossips the instances whose probes from this VM fail.
func (p *prober) publishDown() {
	if p.n.reach.IsIsolated() || p.n.reach.IsCongested() {
		// The probes of this VM say nothing about the instances. What it reported before is
		// withdrawn below.
		p.mu.Lock()
		clear(p.failures)
		p.mu.Unlock()
	}
	p.mu.Lock()
	var d downSection
	for id, failures := range p.failures {
		if failures >= failuresUntilDown {
			d.Instances = append(d.Instances, id)
		}
	}
	p.mu.Unlock()
	slices.Sort(d.Instances)
	p.n.mu.Lock()
	p.n.sections.init()
	same := slices.Equal(p.n.sections.down[p.n.self.ID].Instances, d.Instances)
	p.n.sections.down[p.n.self.ID] = d
	p.n.mu.Unlock()
	if !same {
		p.n.setSection(sectionDown, d)
	}
}

// updateDown combines the reports of all VMs: an instance is down when all of its
// probers report it as down.
func (p *prober) updateDown(now time.Time, r *register.Register, probers map[string][]string) {
	p.n.mu.Lock()
	reports := make(map[string]int)
	for vm, d := range p.n.sections.down {
		for _, id := range d.Instances {
			if slices.Contains(probers[id], vm) {
				reports[id]++
			}
		}
	}
	p.n.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.downRegions)
	up := make(map[string]bool)
	for i := range r.Services {
		for j := range r.Services[i].Instances {
			instance := &r.Services[i].Instances[j]
			isDown := len(probers[instance.ID]) > 0 && reports[instance.ID] >= len(probers[instance.ID])
			if p.down[instance.ID] && !isDown {
				p.recoveredAt[instance.ID] = now
			}
			p.down[instance.ID] = isDown
			if !isDown {
				up[r.RegionOf(instance.DataCentre)] = true
			}
		}
	}
	for _, region := range r.RegionNames() {
		p.downRegions[region] = !up[region]
	}
}
