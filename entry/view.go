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
	// relaysMost bounds the relays that are asked in turn.
	relaysMost = 3
	// formerFor is how long a VM whose record has gone may still be asked: longer
	// than an outage of the store by which all VMs lose their records.
	formerFor = time.Minute
	// requestCPU and requestBits are what a request takes of a VM: 0.0137 cores at
	// 32 requests/s were measured on a grown deployment, and a tenth of its
	// requests are uploads of 60 KB, which pass the link twice.
	requestCPU  = 450 * time.Microsecond
	requestBits = 160e3
	// namedShare is the part of the capacity of the VMs that an answer to a caller
	// names, largest first as a rule, and namedLeast the least number of them.
	namedShare = 0.8
	namedLeast = 8
	// namedMost is the number that callers accept.
	namedMost = 64
)

// capacity is the number of requests per second that a VM can bear.
func capacity(s *Settings) float64 {
	rate := 0.0
	if s.CPUShare > 0 && s.CPUSpeed > 0 {
		rate = s.CPUShare * s.CPUSpeed / requestCPU.Seconds()
	}
	if s.LinkMbps > 0 {
		if byLink := s.LinkMbps * 1e6 / requestBits; rate == 0 || byLink < rate {
			rate = byLink
		}
	}
	return rate
}

// weightOf is the expected share of a VM in the requests, in proportion. A VM of
// unknown capacity counts like a small one.
func weightOf(vm *inventory.VM) float64 {
	if vm.Capacity > 0 {
		return vm.Capacity
	}
	return unknownCapacity
}

// unknownCapacity is that of a VM with a tenth of a core.
const unknownCapacity = 200.0

// view is what requests and other VMs need of the VMs. It is safe for concurrent
// use and does not change.
type view struct {
	vms []inventory.VM
	// ranked are the VMs of this region in the order in which they relay.
	ranked []inventory.VM
	// former are VMs of this region whose records have gone, the latest first. A
	// VM that can't reach the store has nobody else to follow when the store
	// loses the records of all VMs.
	former []formerVM
	// far are the first VMs of other regions, in an order that differs between
	// regions. They relay while this region has no VM with a record.
	far []string
	// others are the VMs of the other regions, by region.
	others map[string][]inventory.VM

	// answers keeps those to callers, which all are asked for again and again.
	mu      sync.Mutex
	answers map[namedKey][]string
}

type formerVM struct {
	inventory.VM
	gone time.Time
}

// newView ranks the VMs of a region. The former view, which may be nil, tells who
// has gone.
func newView(before *view, now time.Time, vms []inventory.VM, region string) *view {
	v := &view{vms: vms, others: make(map[string][]inventory.VM), answers: make(map[namedKey][]string)}
	var others []inventory.VM
	for i := range vms {
		if vms[i].Region == region {
			v.ranked = append(v.ranked, vms[i])
		} else {
			others = append(others, vms[i])
			v.others[vms[i].Region] = append(v.others[vms[i].Region], vms[i])
		}
	}
	sortByScore(v.ranked, "relay")
	if len(v.ranked) == 0 {
		sortByScore(others, region)
		for i := range others[:min(len(others), relaysMost)] {
			v.far = append(v.far, others[i].Relay)
		}
	}
	if before == nil {
		return v
	}
	for i := range before.ranked {
		if vm := &before.ranked[i]; !v.has(vm.ID) {
			v.former = append(v.former, formerVM{*vm, now})
		}
	}
	for i := range before.former {
		if f := &before.former[i]; !v.has(f.ID) && now.Sub(f.gone) < formerFor {
			v.former = append(v.former, *f)
		}
	}
	v.former = v.former[:min(len(v.former), relaysMost)]
	return v
}

// sortByScore orders VMs by weighted rendezvous hashing, the highest first.
func sortByScore(vms []inventory.VM, purpose string) {
	seed := xxhash.Sum64String(purpose)
	scores := make(map[string]float64, len(vms))
	for i := range vms {
		scores[vms[i].ID] = rendezvous.Score(rendezvous.Mix(seed^xxhash.Sum64String(vms[i].ID)), weightOf(&vms[i]))
	}
	slices.SortFunc(vms, func(a, b inventory.VM) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// named returns the addresses for a caller: VMs of its region, or of all others
// when none of it is known. All callers of a data centre get the same ones, since
// they leave connections to those that are missing from a new answer. Self is this
// VM if it may be named.
func (v *view) named(place Place, selfID string, self *inventory.VM) []string {
	key := namedKey{place, self != nil}
	v.mu.Lock()
	defer v.mu.Unlock()
	out, known := v.answers[key]
	if !known {
		out = v.choose(place, selfID, self)
		if len(v.answers) < answersMost {
			v.answers[key] = out
		}
	}
	return out
}

// namedKey tells apart answers to callers.
type namedKey struct {
	place     Place
	namesSelf bool
}

// answersMost bounds the answers that a view keeps, since places come from callers.
const answersMost = 64

func (v *view) choose(place Place, selfID string, self *inventory.VM) []string {
	var near, far []inventory.VM
	add := func(vm *inventory.VM) {
		if vm.Region == place.Region {
			near = append(near, *vm)
		} else {
			far = append(far, *vm)
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
	if len(near) == 0 {
		near = far
	}
	sortByScore(near, place.DataCentre)
	total, sum := 0.0, 0.0
	for i := range near {
		total += weightOf(&near[i])
	}
	out := make([]string, 0, min(len(near), namedMost))
	for i := range near {
		if len(out) == namedMost || (len(out) >= namedLeast && sum >= namedShare*total) {
			break
		}
		sum += weightOf(&near[i])
		out = append(out, near[i].Caller)
	}
	return out
}

// has tells whether a VM of the region has a record.
func (v *view) has(id string) bool {
	return slices.ContainsFunc(v.ranked, func(vm inventory.VM) bool { return vm.ID == id })
}

// relays names the VMs whose copies of the records a VM may follow. The first of a
// region follows the store itself, and so does one that knows no other.
func (v *view) relays(self string) (addresses []string, direct bool) {
	switch {
	case len(v.ranked) > 0:
		direct = v.ranked[0].ID == self
	default:
		// Of VMs that all lost their records nobody can be sure to hear the store.
		direct = len(v.far) == 0 || len(v.former) > 0
	}
	for i := range v.ranked {
		if v.ranked[i].ID != self {
			addresses = append(addresses, v.ranked[i].Relay)
		}
	}
	for i := range v.former {
		if v.former[i].ID != self {
			addresses = append(addresses, v.former[i].Relay)
		}
	}
	addresses = append(addresses, v.far...)
	return addresses[:min(len(addresses), relaysMost)], direct
}
