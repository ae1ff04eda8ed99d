package transit

import (
	"slices"
	"time"
)

const (
	// stateTTL is how long the state that another VM reported counts. A VM of a large
	// region reports to each other one about once a second.
	stateTTL = 3 * time.Second
	// avoidTime is how long a VM is avoided that could not be reached or that refused a
	// request for a reason of its own.
	avoidTime = 500 * time.Millisecond
)

// Peer is another VM.
type Peer struct {
	ID, Address, Region string
	// Key is stated to the VM with each request that is passed on to it.
	Key string
	// Weight is proportional to the VM's capacity.
	Weight float64
}

type peer struct {
	Peer
	isIsolated bool
	reportedAt time.Time
	avoidUntil time.Time
	// outstanding is the number of this VM's requests at the peer.
	outstanding int
}

// Peers are the other VMs, of which those that reach instances take requests over.
type Peers struct {
	region string
	random func() float64
	peers  []*peer
	byID   map[string]*peer
}

// NewPeers returns an empty set for a VM of a region. Random returns random numbers in
// [0, 1).
func NewPeers(region string, random func() float64) *Peers {
	return &Peers{region: region, random: random, byID: make(map[string]*peer)}
}

// Set replaces the list of peers. Those that remain keep their state.
func (p *Peers) Set(list []Peer) {
	old := p.byID
	p.peers, p.byID = make([]*peer, 0, len(list)), make(map[string]*peer, len(list))
	for _, entry := range list {
		known := old[entry.ID]
		if known == nil || known.Address != entry.Address {
			known = new(peer)
		}
		known.Peer = entry
		p.peers, p.byID[entry.ID] = append(p.peers, known), known
	}
}

// RecordState records whether a peer reports that it reaches no instances.
func (p *Peers) RecordState(now time.Time, id string, isIsolated bool) {
	if known := p.byID[id]; known != nil {
		known.isIsolated, known.reportedAt = isIsolated, now
	}
}

// Avoid records that a peer can't take requests over now.
func (p *Peers) Avoid(now time.Time, id string) {
	if known := p.byID[id]; known != nil {
		known.avoidUntil = now.Add(avoidTime)
	}
}

func (p *peer) isUsable(now time.Time, regions, exclude []string) bool {
	if now.Before(p.avoidUntil) || (p.isIsolated && now.Sub(p.reportedAt) < stateTTL) || slices.Contains(exclude, p.ID) {
		return false
	}
	return len(regions) == 0 || slices.Contains(regions, p.Region)
}

// Choose returns a VM that takes a request over: of two drawn by weight the one with fewer
// requests of this VM. VMs of this region come first; those at their capacity refuse and are
// avoided for a while. If regions is not empty, the request may not be sent to VMs of
// others. Done must be called for the VM.
func (p *Peers) Choose(now time.Time, regions, exclude []string) (Peer, bool) {
	var local, remote []*peer
	for _, candidate := range p.peers {
		switch {
		case !candidate.isUsable(now, regions, exclude):
		case candidate.Region == p.region:
			local = append(local, candidate)
		default:
			remote = append(remote, candidate)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return Peer{}, false
	}
	best, other := p.draw(local), p.draw(local)
	if float64(other.outstanding+1)/max(other.Weight, 1) < float64(best.outstanding+1)/max(best.Weight, 1) {
		best = other
	}
	best.outstanding++
	return best.Peer, true
}

// Sample returns the addresses of up to n VMs that are drawn at random, those of this region
// first.
func (p *Peers) Sample(n int) []string {
	local, remote := make([]string, 0, len(p.peers)), make([]string, 0, len(p.peers))
	for _, candidate := range p.peers {
		if candidate.Region == p.region {
			local = append(local, candidate.Address)
		} else {
			remote = append(remote, candidate.Address)
		}
	}
	for _, list := range [][]string{local, remote} {
		for k := range list {
			other := k + int(p.random()*float64(len(list)-k))
			list[k], list[other] = list[other], list[k]
		}
	}
	drawn := slices.Concat(local, remote)
	return drawn[:min(n, len(drawn))]
}

func (p *Peers) draw(list []*peer) *peer {
	total := 0.0
	for _, candidate := range list {
		total += max(candidate.Weight, 1)
	}
	at := p.random() * total
	for _, candidate := range list {
		if at -= max(candidate.Weight, 1); at < 0 {
			return candidate
		}
	}
	return list[len(list)-1]
}

// Done records that a request at a peer has ended.
func (p *Peers) Done(id string) {
	if known := p.byID[id]; known != nil && known.outstanding > 0 {
		known.outstanding--
	}
}
