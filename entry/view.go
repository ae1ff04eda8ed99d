package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/rendezvous"
)

const (
	// maxRelays bounds the relays that are tried in order.
	maxRelays = 3
	// previousVMTTL is how long a VM whose record was removed is still used as a relay.
	// It is longer than an outage of the store in which all VMs lose their records.
	previousVMTTL = time.Minute
	// requestCPUTime and requestBits are the costs of a request for a VM. The CPU time
	// corresponds to 0.0137 cores at 32 requests/s in a grown deployment. A tenth of its
	// requests are uploads of 60 KB, which cross the link twice.
	requestCPUTime = 450 * time.Microsecond
	requestBits    = 160e3
	// An answer to a caller lists VMs that callers can spread evenly over, see largest, until they
	// have answerCapacityShare of the total capacity. It lists at least minAnswerAddresses of
	// these if there are as many.
	answerCapacityShare = 0.8
	minAnswerAddresses  = 8
	// minEvenAddresses keeps callers from losing all VMs of an answer at once.
	minEvenAddresses = 2
	// maxAnswerAddresses is the number of addresses that callers accept.
	maxAnswerAddresses = 64
)

// capacity returns the number of requests per second that a VM can handle, or zero if
// it is unknown.
func capacity(s *Settings) float64 {
	rate := 0.0
	if s.CPUShare > 0 && s.CPUSpeed > 0 {
		rate = s.CPUShare * s.CPUSpeed / requestCPUTime.Seconds()
	}
	if s.LinkMbps > 0 {
		if byLink := s.LinkMbps * 1e6 / requestBits; rate == 0 || byLink < rate {
			rate = byLink
		}
	}
	return rate
}

// weightOf returns the relative weight of a VM, by which requests are expected to be
// distributed. A VM of unknown capacity gets the weight of a small one.
func weightOf(vm *inventory.VM) float64 {
	if vm.Capacity > 0 {
		return vm.Capacity
	}
	return defaultCapacity
}

// defaultCapacity is the capacity of a VM with a tenth of a core.
const defaultCapacity = 200.0

// view holds the VMs, prepared for lookups, relays and digests. Apart from its cache it is
// immutable. It is safe for concurrent use.
type view struct {
	vms []inventory.VM
	// ranked holds the VMs of this region in the order in which they relay.
	ranked []inventory.VM
	// previous holds VMs of this region whose records were removed, the latest first. A
	// VM that can't reach the store has no other VM to follow when the store loses the
	// records of all VMs.
	previous []previousVM
	// remoteRelays holds the first VMs of other regions, in an order that differs
	// between regions. They relay while no VM of this region has a record.
	remoteRelays []string
	// remoteVMs holds the VMs of the other regions, by region.
	remoteVMs map[string][]inventory.VM

	// cachedAnswers holds the answers to callers, which are requested repeatedly.
	mu            sync.Mutex
	cachedAnswers map[answerKey][]string
}

type previousVM struct {
	inventory.VM
	removedAt time.Time
}

// newView ranks the VMs of a region. VMs that have a record in the old view but no longer
// in the new one become previous VMs. The old view may be nil.
func newView(old *view, now time.Time, vms []inventory.VM, region string) *view {
	v := &view{vms: vms, remoteVMs: make(map[string][]inventory.VM), cachedAnswers: make(map[answerKey][]string)}
	var others []inventory.VM
	for i := range vms {
		if vms[i].Region == region {
			v.ranked = append(v.ranked, vms[i])
		} else {
			others = append(others, vms[i])
			v.remoteVMs[vms[i].Region] = append(v.remoteVMs[vms[i].Region], vms[i])
		}
	}
	sortByScore(v.ranked, "relay")
	if len(v.ranked) == 0 {
		sortByScore(others, region)
		for i := range others[:min(len(others), maxRelays)] {
			v.remoteRelays = append(v.remoteRelays, others[i].Relay)
		}
	}
	if old == nil {
		return v
	}
	for i := range old.ranked {
		if vm := &old.ranked[i]; !v.hasRecord(vm.ID) {
			v.previous = append(v.previous, previousVM{*vm, now})
		}
	}
	for i := range old.previous {
		if vm := &old.previous[i]; !v.hasRecord(vm.ID) && now.Sub(vm.removedAt) < previousVMTTL {
			v.previous = append(v.previous, *vm)
		}
	}
	v.previous = v.previous[:min(len(v.previous), maxRelays)]
	return v
}

// sortByScore sorts VMs by weighted rendezvous hashing, the highest score first.
func sortByScore(vms []inventory.VM, purpose string) {
	scoreOf := scorer(purpose)
	scores := make(map[string]float64, len(vms))
	for i := range vms {
		scores[vms[i].ID] = scoreOf(vms[i].ID, weightOf(&vms[i]))
	}
	slices.SortFunc(vms, func(a, b inventory.VM) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// scorer returns the function that scores VMs for a purpose.
func scorer(purpose string) func(id string, weight float64) float64 {
	seed := xxhash.Sum64String(purpose)
	return func(id string, weight float64) float64 {
		return rendezvous.Score(rendezvous.Mix(seed^xxhash.Sum64String(id)), weight)
	}
}

// addressesFor returns the addresses for a caller: VMs of its region, or of all other
// regions if none of its own is known. All callers of a data centre get the same answer,
// since they close connections to VMs that are missing from a new one. Self is this VM,
// or nil if it must not be included.
func (v *view) addressesFor(location CallerLocation, selfID string, self *inventory.VM) []string {
	key := answerKey{location, self != nil}
	v.mu.Lock()
	defer v.mu.Unlock()
	out, cached := v.cachedAnswers[key]
	if !cached {
		out = v.chooseAddresses(location, selfID, self)
		if len(v.cachedAnswers) < maxCachedAnswers {
			v.cachedAnswers[key] = out
		}
	}
	return out
}

// answerKey identifies a cached answer.
type answerKey struct {
	location     CallerLocation
	includesSelf bool
}

// maxCachedAnswers bounds the cached answers of a view, since callers state their
// location themselves.
const maxCachedAnswers = 64

func (v *view) chooseAddresses(location CallerLocation, selfID string, self *inventory.VM) []string {
	var local, remote []inventory.VM
	add := func(vm *inventory.VM) {
		if vm.Region == location.Region {
			local = append(local, *vm)
		} else {
			remote = append(remote, *vm)
		}
	}
	for i := range v.vms {
		if v.vms[i].ID != selfID && !v.vms[i].Starting {
			add(&v.vms[i])
		}
	}
	if self != nil {
		add(self)
	}
	if len(local) == 0 {
		local = remote
	}
	sortByScore(local, location.DataCentre)
	total, sum := 0.0, 0.0
	for i := range local {
		total += weightOf(&local[i])
	}
	local = largest(local)
	out := make([]string, 0, min(len(local), maxAnswerAddresses))
	for i := range local {
		if len(out) == maxAnswerAddresses || (len(out) >= minAnswerAddresses && sum >= answerCapacityShare*total) {
			break
		}
		sum += weightOf(&local[i])
		out = append(out, local[i].Caller)
	}
	return out
}

// largest returns the VMs that together serve most requests if callers spread evenly over them, as
// they do: each then gets as many as the smallest can handle. At least minEvenAddresses are
// returned if there are as many. VMs of the same size keep their order.
func largest(vms []inventory.VM) []inventory.VM {
	slices.SortStableFunc(vms, func(a, b inventory.VM) int { return cmp.Compare(weightOf(&b), weightOf(&a)) })
	most, length := 0.0, 0
	for i := range vms {
		if served := float64(i+1) * weightOf(&vms[i]); served >= most || i < minEvenAddresses {
			most, length = max(most, served), i+1
		}
	}
	return vms[:length]
}

// hasRecord reports whether a VM of this region has a record.
func (v *view) hasRecord(id string) bool {
	return slices.ContainsFunc(v.ranked, func(vm inventory.VM) bool { return vm.ID == id })
}

// relays returns the VMs whose copies of the records this VM may follow. The first VM of a
// region follows the store directly, and so does a VM that knows no other.
func (v *view) relays(self string) (addresses []string, direct bool) {
	switch {
	case len(v.ranked) > 0:
		direct = v.ranked[0].ID == self
	default:
		// After all VMs of the region have lost their records, none of them can be relied
		// on to receive changes from the store.
		direct = len(v.remoteRelays) == 0 || len(v.previous) > 0
	}
	for i := range v.ranked {
		if v.ranked[i].ID != self {
			addresses = append(addresses, v.ranked[i].Relay)
		}
	}
	for i := range v.previous {
		if v.previous[i].ID != self {
			addresses = append(addresses, v.previous[i].Relay)
		}
	}
	addresses = append(addresses, v.remoteRelays...)
	return addresses[:min(len(addresses), maxRelays)], direct
}
