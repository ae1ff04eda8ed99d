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
	// controlFailedAt is when the last connection that was to show whether this VM's link is
	// congested failed, or zero.
	controlFailedAt time.Time
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

// Len returns the number of VMs.
func (p *Peers) Len() int { return len(p.peers) }

// Controls returns up to n VMs to which connections are opened together with those to instances.
// One that is gone says nothing, so those that failed lately come last. VMs of this region come
// first, and of these the ones that reported lately.
func (p *Peers) Controls(now time.Time, n int) []Peer {
	drawn := slices.Clone(p.peers)
	for k := range drawn {
		other := k + int(p.random()*float64(len(drawn)-k))
		drawn[k], drawn[other] = drawn[other], drawn[k]
	}
	rank := func(candidate *peer) int {
		out := 0
		if now.Sub(candidate.controlFailedAt) < stateTTL || now.Before(candidate.avoidUntil) {
			out += 4
		}
		if candidate.Region != p.region {
			out += 2
		}
		if now.Sub(candidate.reportedAt) >= stateTTL {
			out++
		}
		return out
	}
	slices.SortStableFunc(drawn, func(a, b *peer) int { return rank(a) - rank(b) })
	out := make([]Peer, 0, n)
	for _, candidate := range drawn[:min(n, len(drawn))] {
		out = append(out, candidate.Peer)
	}
	return out
}

// RecordControl records whether a VM accepted the connection that Controls named it for.
func (p *Peers) RecordControl(now time.Time, id string, ok bool) {
	known := p.byID[id]
	switch {
	case known == nil:
	case ok:
		known.controlFailedAt = time.Time{}
	default:
		known.controlFailedAt = now
	}
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
