package node

import (
	"net/netip"
	"runtime/debug"
	"slices"
	"time"

	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/internal/lowmem"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/steer"
	"github.com/currantferry/currantferry/verdict"
)

var (
	_ proxy.Services    = (*Node)(nil)
	_ proxy.RetryBudget = (*Node)(nil)
)

// onSnapshot applies a configuration.
func (n *Node) onSnapshot(s *config.Snapshot) {
	blocks := n.blocksOf(s)
	now := time.Now()
	n.mu.Lock()
	previous := n.blocks
	n.snapshot = s
	n.blocks = blocks
	n.snapshotAt = now
	n.services = make(map[string]*register.Service, len(s.Register.Services))
	for i := range s.Register.Services {
		service := &s.Register.Services[i]
		n.services[service.Name] = service
	}
	n.drains.Set(now, s.Register, s.Rules)
	n.mu.Unlock()
	n.budgetMu.Lock()
	n.budget.SetRatio(s.Rules.Retry())
	n.budgetMu.Unlock()
	n.updatePools(s)
	n.refresh(now)
	if blocks.Len() > largeTableBlocks && blocks != previous {
		n.group.Go(n.freeMemory)
	}
}

const (
	// largeTableBlocks is the number of blocks above which a rebuild leaves so much
	// garbage that its memory is freed at once.
	largeTableBlocks = 50_000
	// freeDelay lets the last users of the previous table finish.
	freeDelay = time.Second
)

// freeMemory returns the garbage of a rebuilt block table to the operating system.
// Without it the memory would stay resident for minutes.
func (n *Node) freeMemory() {
	select {
	case <-time.After(freeDelay):
		debug.FreeOSMemory()
	case <-n.ctx.Done():
	}
}

// blocksOf returns the table of client blocks of a configuration. If the blocks are
// unchanged, it is the table in use.
func (n *Node) blocksOf(s *config.Snapshot) *steer.Blocks {
	n.mu.Lock()
	previous, blocks, counts := n.snapshot, n.blocks, n.blockCounts
	n.mu.Unlock()
	if previous != nil && blocks != nil && slices.Equal(previous.Head.Section(config.SectionBlocks), s.Head.Section(config.SectionBlocks)) {
		return blocks
	}
	var err error
	lowmem.Run(func() { blocks, counts, err = buildBlocks(s, counts) })
	n.mu.Lock()
	n.blockCounts = counts
	n.mu.Unlock()
	if err != nil {
		event.SteerFailed.Log(n.log, "error", err)
	}
	return blocks
}

// blockCounts counts the blocks of a table by address family.
type blockCounts struct{ v4, v6 int }

// blockSlack is the spare capacity for blocks that a change adds, for each address
// family.
const blockSlack = 1024

// buildBlocks builds the table of client blocks of a configuration, with the capacity
// that the previous table needed: a table that grows uses twice its memory meanwhile,
// and counting first would unpack every chunk twice.
func buildBlocks(s *config.Snapshot, previous blockCounts) (*steer.Blocks, blockCounts, error) {
	var counts blockCounts
	if previous == counts {
		for b := range s.Blocks() {
			previous.count(b.Prefix)
		}
	}
	builder := steer.NewBlocksBuilder(previous.v4+blockSlack, previous.v6+blockSlack)
	for b := range s.Blocks() {
		counts.count(b.Prefix)
		if err := builder.Add(b.Prefix, b.Site); err != nil {
			return nil, counts, err
		}
	}
	return builder.Build(), counts, nil
}

func (c *blockCounts) count(p netip.Prefix) {
	if p.Addr().Is4() {
		c.v4++
	} else {
		c.v6++
	}
}

func (n *Node) onReady() {
	n.control.Declare(member.Serving)
	n.proxy.SetReady(true)
	n.refresh(time.Now())
	event.DaemonReady.Log(n.log, "version", n.control.Version(), "after", time.Since(n.started))
	close(n.ready)
}

// updatePools adds pools for new services and regions and removes those no longer in
// the register.
func (n *Node) updatePools(s *config.Snapshot) {
	cfg := balance.Config{HedgePercent: 100 * s.Rules.Hedge()}
	if s.Rules.Hedge() == 0 {
		cfg.HedgePercent = -1
	}
	n.selector.mu.Lock()
	defer n.selector.mu.Unlock()
	wanted := make(map[poolKey]bool)
	for i := range s.Register.Services {
		for _, region := range s.Register.RegionNames() {
			key := poolKey{s.Register.Services[i].Name, region}
			wanted[key] = true
			if n.selector.pools[key] == nil {
				n.selector.pools[key] = newPool(cfg, n.boot^uint64(len(n.selector.pools)))
			}
		}
	}
	for key := range n.selector.pools {
		if !wanted[key] {
			delete(n.selector.pools, key)
		}
	}
}

// setInstances updates the instances of each pool. Instances that are drained now or
// fail their probes get no new requests.
func (n *Node) setInstances(now time.Time) {
	n.mu.Lock()
	snapshot := n.snapshot
	if snapshot == nil {
		n.mu.Unlock()
		return
	}
	type list struct {
		instances []balance.Instance
		addresses map[string]string
	}
	lists := make(map[poolKey]*list)
	for i := range snapshot.Register.Services {
		service := &snapshot.Register.Services[i]
		for j := range service.Instances {
			instance := &service.Instances[j]
			key := poolKey{service.Name, snapshot.Register.RegionOf(instance.DataCentre)}
			l := lists[key]
			if l == nil {
				l = &list{addresses: make(map[string]string)}
				lists[key] = l
			}
			l.instances = append(l.instances, balance.Instance{
				ID: instance.ID, Slots: instance.Slots, MaxConnections: instance.ConnectionLimit(),
				Draining: n.drains.InstanceFraction(now, instance.ID) == 0 || n.prober.isDown(instance.ID),
				Started:  n.prober.recoveryTime(instance.ID),
			})
			l.addresses[instance.ID] = instance.Address
		}
	}
	n.mu.Unlock()
	for key, p := range n.selector.allPools() {
		l := lists[key]
		if l == nil {
			l = new(list)
		}
		p.setInstances(now, l.instances, l.addresses)
	}
}

func (n *Node) pollPools(now time.Time) {
	backlogged := n.selector.backloggedServices()
	for key, p := range n.selector.allPools() {
		p.poll(now, backlogged[key.service])
	}
}

// Service implements proxy.Services.
func (n *Node) Service(name string) *register.Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.services[name]
}

// CountRequest implements proxy.RetryBudget.
func (n *Node) CountRequest(service, caller string) {
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	n.budget.RecordRequest(time.Now(), service, caller)
}

// TakeRetry implements proxy.RetryBudget.
func (n *Node) TakeRetry(service, caller string) bool {
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	return n.budget.Allow(time.Now(), service, caller, verdict.NotRun) == nil
}
