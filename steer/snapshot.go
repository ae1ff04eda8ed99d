package steer

import (
	"math"
	"math/bits"
	"net/netip"
	"time"
)

// noDataCentre marks the number of a data centre as not set.
const noDataCentre = math.MaxUint16

// Snapshot answers lookups. It is immutable and safe for concurrent use.
type Snapshot struct {
	cfg      Config
	blocks   *Blocks
	services map[string]struct{}
	// vms are the VMs that answers may contain, ordered by data centre and ID.
	vms []candidate
	// hashes and capacities are those of vms. They are stored separately because a
	// lookup reads them for every VM of three data centres, but few of vms.
	hashes     []uint64
	capacities []float64
	dcs        []dataCentre
	// regions holds the data centres of each region.
	regions     [][]uint16
	regionNames []string
	// orders holds the order of data centres for each site of blocks. The last
	// entry is for callers in no block and for sites that the register lacks.
	orders []order
}

// candidate is a VM that answers may contain.
type candidate struct {
	vm VM
	// weight is the VM's weight in an answer, 1 to 100.
	weight uint16
}

// dataCentre holds the usable VMs of a data centre.
type dataCentre struct {
	name   string
	region uint16
	// from and to bound its VMs in Snapshot.vms, to excluded.
	from, to int
	// capacity is the sum of the VMs' capacities.
	capacity float64
	// hasEqualCapacity means that all VMs have the same capacity, so that the hashes
	// can be compared without their logarithms.
	hasEqualCapacity bool
	// keepFraction is the fraction of its callers that the data centre keeps, in
	// units of 1/65,536. The others go to other data centres of the region.
	keepFraction uint32
}

func (d *dataCentre) empty() bool { return d.from == d.to }

const (
	// keepAll is the keepFraction of a data centre that keeps all its callers.
	keepAll = 1 << 16
	// fullWeight is the weight in an answer of a VM that is not overloaded.
	fullWeight = 100
)

// order is the preference of a site among data centres.
type order struct {
	// dcs holds all data centres in order of preference, those of the nearest
	// region first.
	dcs []uint16
}

// Services returns the number of services in the register.
func (s *Snapshot) Services() int { return len(s.services) }

// Usable returns the number of entry VMs that answers may contain.
func (s *Snapshot) Usable() int { return len(s.vms) }

// VM returns the VM with the given ID if answers may contain it.
func (s *Snapshot) VM(id string) (*VM, bool) {
	for i := range s.vms {
		if s.vms[i].vm.ID == id {
			return &s.vms[i].vm, true
		}
	}
	return nil, false
}

// DataCentreStatus describes for operators how a snapshot uses a data centre.
type DataCentreStatus struct {
	Name, Region string
	// Usable is the number of its entry VMs that answers may contain.
	Usable int
	// Keep is the fraction of its callers that it keeps, 0 to 1; the others go to
	// other data centres of the region, because its load is too high.
	Keep float64
	// Reduced is the number of its VMs with less than their full weight.
	Reduced int
}

// DataCentres returns the status of each data centre in the order of the
// register.
func (s *Snapshot) DataCentres() []DataCentreStatus {
	out := make([]DataCentreStatus, len(s.dcs))
	for i := range s.dcs {
		d := &s.dcs[i]
		out[i] = DataCentreStatus{Name: d.name, Region: s.regionNames[d.region], Usable: d.to - d.from, Keep: float64(d.keepFraction) / keepAll}
		for j := d.from; j < d.to; j++ {
			if s.vms[j].weight < fullWeight {
				out[i].Reduced++
			}
		}
	}
	return out
}

// TTL returns how long callers may keep an answer.
func (s *Snapshot) TTL() time.Duration { return s.cfg.TTL }

// Blocks returns the block table.
func (s *Snapshot) Blocks() *Blocks { return s.blocks }

// HasService reports whether the register has the service.
func (s *Snapshot) HasService(service string) bool {
	_, ok := s.services[service]
	return ok
}

// Lookup returns the entry VMs for a caller. Its errors are ErrUnknownService,
// ErrNoVM and ErrBadCaller. It does not allocate.
func (s *Snapshot) Lookup(caller netip.Addr, service string) (Answer, error) {
	if !s.HasService(service) {
		return Answer{}, ErrUnknownService
	}
	if !caller.IsValid() {
		return Answer{}, ErrBadCaller
	}
	if len(s.vms) == 0 {
		return Answer{}, ErrNoVM
	}
	caller = caller.Unmap().WithZone("")
	a := Answer{TTL: s.cfg.TTL}
	m := s.blocks.Lookup(caller)
	o := &s.orders[len(s.orders)-1]
	if m.OK {
		a.Site = s.blocks.SiteName(m.Site)
		a.Scope = m.Scope
		a.Block, _ = caller.Prefix(int(m.Bits))
		o = &s.orders[m.Site]
		s.chooseTargets(&a, o, blockKey(a.Block))
		return a, nil
	}
	// Callers in no block share an answer per /24 or /48, the prefix lengths that
	// resolvers usually send, so that their load is spread too.
	length := unassignedBits4
	if caller.Is6() {
		length = unassignedBits6
	}
	a.Scope = max(m.Scope, length)
	p, _ := caller.Prefix(int(length))
	s.chooseTargets(&a, o, blockKey(p))
	return a, nil
}

const (
	unassignedBits4 uint8 = 24
	unassignedBits6 uint8 = 48
)

// chooseTargets chooses the VMs of an answer.
//
// The first is from the caller's data centre, the second from another data centre of
// its region, so that one remains if a data centre is lost. The next ones are from
// the caller's data centre again, the last ones from other regions. VMs are chosen
// by rendezvous hash, so that the loss of a VM changes only the answers that
// contained it.
func (s *Snapshot) chooseTargets(a *Answer, o *order, key uint64) {
	first := s.firstDC(o, key)
	region := s.dcs[first].region
	numNear := s.cfg.SetSize
	if s.hasOtherRegion(region) {
		numNear -= s.cfg.NumRemote
	}
	s.pick(a, key, first, PriorityNear, 1)
	if other := s.secondDC(o, first); other != noDataCentre {
		s.pick(a, key, other, PriorityNear, secondDCWeight)
	}
	s.pickUpTo(a, numNear, key, first, 1)
	for _, dc := range o.dcs {
		if dc != first && s.dcs[dc].region == region {
			s.pickUpTo(a, numNear, key, dc, secondDCWeight)
		}
	}
	s.chooseRemote(a, o, region, key)
}

// secondDCWeight is the fraction of the full weight of a VM in another data centre
// of the caller's region. Such a VM adds 1 ms of latency each way, but must carry
// some traffic, so that callers notice when they cannot reach it.
const secondDCWeight = 0.25

// chooseRemote adds VMs of other regions until the set is full: more than NumRemote
// when the caller's region has few. Every region provides one VM before any provides
// a second, so that the loss of one region does not affect two VMs.
func (s *Snapshot) chooseRemote(a *Answer, o *order, home uint16, key uint64) {
	if s.cfg.NumRemote == 0 {
		return
	}
	want := s.cfg.SetSize
	var used uint64 = 1 << (home % 64)
	for pass := 0; pass < 2 && int(a.n) < want; pass++ {
		for _, dc := range o.dcs {
			d := &s.dcs[dc]
			if int(a.n) == want {
				return
			}
			if d.region == home || d.empty() || (pass == 0 && used&(1<<(d.region%64)) != 0) {
				continue
			}
			if s.pick(a, key, dc, PriorityRemote, 1) {
				used |= 1 << (d.region % 64)
			}
		}
	}
}

// firstDC returns the data centre that a block uses first: the nearest one with
// usable VMs, unless that one spills this block to another data centre.
func (s *Snapshot) firstDC(o *order, key uint64) uint16 {
	nearest := uint16(noDataCentre)
	for _, dc := range o.dcs {
		if !s.dcs[dc].empty() {
			nearest = dc
			break
		}
	}
	d := &s.dcs[nearest]
	if d.keepFraction >= keepAll || uint32(mix(key^keepSalt)&(keepAll-1)) < d.keepFraction {
		return nearest
	}
	if other := s.spillDC(d.region, nearest, key); other != noDataCentre {
		return other
	}
	return nearest
}

// keepSalt makes the choice of the blocks that are spilled independent of the choice
// of VMs.
const keepSalt = 0x9e3779b97f4a7c15

// spillDC chooses among the other data centres of the region in proportion to
// capacity. One that spills callers itself gets fewer of them, but not none: with
// none, the callers that others spilled to it would all return at once as soon as
// it began to spill.
func (s *Snapshot) spillDC(region, exclude uint16, key uint64) uint16 {
	best, bestScore := uint16(noDataCentre), math.Inf(1)
	for _, dc := range s.regions[region] {
		d := &s.dcs[dc]
		if dc == exclude || d.empty() {
			continue
		}
		weight := d.capacity * float64(d.keepFraction) / keepAll
		if score := expScore(mix(key^keepSalt^uint64(dc+1)<<32)) / weight; score < bestScore {
			best, bestScore = dc, score
		}
	}
	return best
}

// secondDC returns the nearest other data centre in the region of first that has
// usable VMs, or noDataCentre.
func (s *Snapshot) secondDC(o *order, first uint16) uint16 {
	for _, dc := range o.dcs {
		if dc != first && s.dcs[dc].region == s.dcs[first].region && !s.dcs[dc].empty() {
			return dc
		}
	}
	return noDataCentre
}

func (s *Snapshot) hasOtherRegion(region uint16) bool {
	for i := range s.dcs {
		if s.dcs[i].region != region && !s.dcs[i].empty() {
			return true
		}
	}
	return false
}

// pickUpTo adds VMs of a data centre until the answer has n VMs.
func (s *Snapshot) pickUpTo(a *Answer, n int, key uint64, dc uint16, weightFactor float64) {
	for int(a.n) < n {
		if !s.pick(a, key, dc, PriorityNear, weightFactor) {
			return
		}
	}
}

// pick adds the VM of a data centre with the best rendezvous score among those that
// the answer does not contain yet. It returns false when there is none.
func (s *Snapshot) pick(a *Answer, key uint64, dc uint16, priority uint8, weightFactor float64) bool {
	var i int
	if d := &s.dcs[dc]; d.hasEqualCapacity {
		i = s.bestEqual(a, key, d)
	} else {
		i = s.bestWeighted(a, key, d)
	}
	if i < 0 {
		return false
	}
	c := &s.vms[i]
	a.add(&c.vm, max(1, uint16(math.Round(weightFactor*float64(c.weight)))), priority)
	return true
}

// bestEqual returns the index of the VM with the highest hash, or -1. It is used if
// all capacities are equal.
func (s *Snapshot) bestEqual(a *Answer, key uint64, d *dataCentre) int {
	best, bestHash := -1, uint64(0)
	for i, hash := range s.hashes[d.from:d.to] {
		if h := pairHash(key, hash); h >= bestHash && !a.has(&s.vms[d.from+i].vm) {
			best, bestHash = d.from+i, h
		}
	}
	return best
}

// bestWeighted returns the index of the VM with the lowest score, or -1. With equal
// capacities the result is that of bestEqual.
func (s *Snapshot) bestWeighted(a *Answer, key uint64, d *dataCentre) int {
	best, bestScore := -1, math.Inf(1)
	for i := d.from; i < d.to; i++ {
		if score := expScore(pairHash(key, s.hashes[i])) / s.capacities[i]; score < bestScore && !a.has(&s.vms[i].vm) {
			best, bestScore = i, score
		}
	}
	return best
}

func (a *Answer) has(vm *VM) bool {
	for i := range a.targets[:a.n] {
		if a.targets[i].VM == vm {
			return true
		}
	}
	return false
}

// expScore turns a hash into an exponentially distributed score. Choosing the lowest
// score divided by weight selects in proportion to the weights. A higher hash gives
// a lower score.
func expScore(h uint64) float64 {
	return -math.Log((float64(h>>11) + 0.5) / (1 << 53))
}

// pairHash mixes the hashes of a block and a VM. It uses a single wide
// multiplication, as wyhash does, since each lookup calls it for each VM of three
// data centres.
func pairHash(key, vm uint64) uint64 {
	hi, lo := bits.Mul64(key^0xa0761d6478bd642f, vm^0xe7037ed1a0b428db)
	return hi ^ lo
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// blockKey hashes a block. The hash is the same on every VM.
func blockKey(p netip.Prefix) uint64 {
	hi, lo := key6(p.Addr())
	return mix(mix(hi+1) ^ bits.RotateLeft64(mix(lo+uint64(p.Bits())<<56+2), 17))
}
