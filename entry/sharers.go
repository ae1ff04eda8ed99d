package entry

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/feed"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/roster"
)

// sharers holds the roster of this VM and hands its changes to what divides something between
// VMs. It is safe for concurrent use.
type sharers struct {
	log             *slog.Logger
	uptime          func() time.Duration
	numVMs, numLost tally.Gauge
	standing        tally.Gauge
	// apply is called with each new snapshot, in order.
	apply func(roster.Snapshot)

	// current is the newest snapshot.
	current atomic.Pointer[roster.Snapshot]

	mu     sync.Mutex
	roster *roster.Roster
}

func newSharers(self *inventory.VM, leaseTTL time.Duration, isFirstStart bool, log *slog.Logger, scope tally.Scope) *sharers {
	s := &sharers{
		log: log, uptime: feed.Uptime, apply: func(roster.Snapshot) {}, roster: roster.New(toRoster(self), leaseTTL, isFirstStart),
		numVMs: scope.Gauge("sharers"), numLost: scope.Gauge("sharers_without_record"), standing: scope.Gauge("sharer_standing"),
	}
	snapshot := s.roster.Snapshot()
	s.current.Store(&snapshot)
	return s
}

func toRoster(vm *inventory.VM) roster.VM {
	return roster.VM{ID: vm.ID, Region: vm.Region, Boot: vm.Boot, Relay: vm.Relay, Weight: weightOf(vm)}
}

// change changes the roster and applies the snapshot if it is a new one.
func (s *sharers) change(do func(now time.Duration, r *roster.Roster)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.uptime()
	do(now, s.roster)
	if !s.roster.Update(now) {
		return
	}
	snapshot := s.roster.Snapshot()
	s.current.Store(&snapshot)
	var lost []string
	for _, m := range snapshot.Members {
		if !m.HasRecord() {
			lost = append(lost, fmt.Sprintf("%s %d ms", m.ID, (now-m.LapsedAt).Milliseconds()))
		}
	}
	s.numVMs.Update(float64(len(snapshot.Members)))
	s.numLost.Update(float64(len(lost)))
	s.standing.Update(float64(snapshot.Standing))
	event.SharersChanged.Log(s.log, "standing", snapshot.Standing.String(), "region_vms", snapshot.NumSharers(snapshot.Self.Region), "vms", len(snapshot.Members),
		"without_record", lost, "renewed_ms", (now - s.roster.RenewedAt()).Milliseconds(), "lacks_store", s.roster.LacksStore(now))
	s.apply(snapshot)
}

// tick applies the passing of time.
func (s *sharers) tick() { s.change(func(time.Duration, *roster.Roster) {}) }

// setVMs sets the VMs that have a record, and those that have lost theirs since the last call.
func (s *sharers) setVMs(vms, gone []inventory.VM) {
	s.change(func(now time.Duration, r *roster.Roster) {
		r.SetRecords(now, toRosters(vms), toRosters(gone))
		for i := range vms {
			if vms[i].Starting {
				r.AddIdle(now, toRoster(&vms[i]))
			}
		}
	})
}

// toRosters converts the VMs that have started to serve.
func toRosters(vms []inventory.VM) []roster.VM {
	out := make([]roster.VM, 0, len(vms))
	for i := range vms {
		if !vms[i].Starting {
			out = append(out, toRoster(&vms[i]))
		}
	}
	return out
}

// recordRenewal records an acknowledged call that wrote or renewed this VM's record.
func (s *sharers) recordRenewal(sentAt time.Duration) {
	s.change(func(now time.Duration, r *roster.Roster) { r.RecordRenewal(now, sentAt) })
}

func (s *sharers) withdraw() {
	s.change(func(_ time.Duration, r *roster.Roster) { r.Withdraw() })
}

// recordContact records that the store has confirmed the list as of an age ago, which is read anew if
// isWhole is set.
func (s *sharers) recordContact(age time.Duration, isWhole bool) {
	s.change(func(now time.Duration, r *roster.Roster) { r.RecordContact(now, age, isWhole) })
}

func (s *sharers) setLeaseTTL(ttl time.Duration) {
	s.change(func(_ time.Duration, r *roster.Roster) { r.SetLeaseTTL(ttl) })
}

// recordHeard records what another VM of the region says of itself.
func (s *sharers) recordHeard(id, relay string, signal roster.Signal) {
	s.change(func(now time.Duration, r *roster.Roster) { r.RecordHeard(now, id, relay, signal) })
}

// lacksStore reports whether the store is not known to serve anybody.
func (s *sharers) lacksStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.LacksStore(s.uptime())
}

// signal returns what this VM says of itself, and whether others wait for it.
func (s *sharers) signal() (signal roster.Signal, isDue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	signal = s.roster.Signal(s.uptime())
	return signal, s.roster.IsMessageDue(s.uptime())
}

// members returns all VMs that share.
func (s *sharers) members() []roster.Member { return s.current.Load().Members }

// audience returns the other VMs that have an address for messages, those without a part included.
func (s *sharers) audience() []roster.Member {
	snapshot := s.current.Load()
	var out []roster.Member
	for _, m := range slices.Concat(snapshot.Members, snapshot.Idle) {
		if m.ID != snapshot.Self.ID && m.Relay != "" {
			out = append(out, m)
		}
	}
	return out
}

// peers returns those of the audience in the region.
func (s *sharers) peers() []roster.Member {
	region := s.current.Load().Self.Region
	return slices.DeleteFunc(s.audience(), func(m roster.Member) bool { return m.Region != region })
}

// sendToVM sends a message to another VM. It returns false if the VM's address is unknown.
func (n *Node) sendToVM(id string, data []byte) bool {
	members := n.sharers.members()
	i := slices.IndexFunc(members, func(m roster.Member) bool { return m.ID == id && m.Relay != "" })
	if i < 0 {
		return false
	}
	n.sendDatagram(data, members[i].Relay)
	return true
}

// onSharersChanged divides again what this VM shares with others.
func (n *Node) onSharersChanged(s roster.Snapshot) {
	n.budgetMu.Lock()
	burst := retrySlackShare * n.settings.Load().RetrySlack
	n.budget.SetBurst(burst, burst*s.Part())
	n.budgetMu.Unlock()
	// The region of an instance in an unknown data centre is empty.
	electorates := map[string]placement.Electorate{"": electorateOf(&s, "")}
	for _, region := range n.settings.Load().Regions {
		if _, known := electorates[region]; !known {
			electorates[region] = electorateOf(&s, region)
		}
	}
	n.selector.setSharers(&s, electorates)
	n.teamCaps.setSharers(&s)
}
