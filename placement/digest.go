package placement

import (
	"cmp"
	"slices"
	"time"
)

// InstanceKey stands for the ID of an instance in digests, which are sent often.
type InstanceKey uint32

// KeyOf returns the key of an ID.
func KeyOf(id string) InstanceKey { return InstanceKey(hashOf(id)) }

// Report is what a VM heard of an instance's load.
type Report struct {
	Instance InstanceKey
	Load     Load
	// Ratio is how long the work took in units of the usual, or zero where that
	// is not known.
	Ratio float64
	// Age is how long ago the instance said so.
	Age time.Duration
}

const (
	// reportFresh is the age up to which reports are passed on.
	reportFresh = 500 * time.Millisecond
	// reportsMost bounds the reports of one digest, so that it fits a datagram.
	reportsMost = 40
)

// Share is the share of a service's objects that a VM runs elsewhere.
type Share struct {
	Share float64
	// Rate is the VM's requests per second, by which its share counts.
	Rate float64
}

// Digest is what the VMs of a region tell each other.
type Digest struct {
	Reports []Report
	// Shares are the shares of objects that run elsewhere, by service, of
	// services for which the VM had requests lately.
	Shares map[string]Share
	// Replaced are processes of instances at whose addresses others answered. It
	// takes long until each VM has found out, and costs a request each.
	Replaced []InstanceKey
	// Leaving are processes that said that they leave.
	Leaving []LeavingProcess
}

// Digest returns the reports that this VM heard from instances of its region since
// the last call, the newest first, and its shares.
func (p *Picker) Digest(now time.Time) Digest {
	d := Digest{Shares: make(map[string]Share)}
	for _, s := range p.services {
		if s.started {
			d.Shares[s.name] = Share{s.spill, s.rate}
		}
		for _, i := range s.instances {
			if i.replaced && !i.toldReplaced && len(d.Replaced) < reportsMost {
				i.toldReplaced = true
				d.Replaced = append(d.Replaced, i.processKey())
			}
			if i.said.IsLeaving() && i.said.HeardFrom == "" && i.toldLeaving < leavingTurns && len(d.Leaving) < reportsMost {
				i.toldLeaving++
				d.Leaving = append(d.Leaving, LeavingProcess{i.processHash(), now.Sub(i.said.LeavingSince)})
			}
		}
		for _, i := range s.regions[p.cfg.Region] {
			if age := now.Sub(i.loadAt); !i.told && !i.loadAt.IsZero() && age <= reportFresh {
				i.told = true
				d.Reports = append(d.Reports, Report{Instance: KeyOf(i.ID), Load: i.load, Age: age, Ratio: i.ratio})
			}
		}
	}
	slices.SortFunc(d.Reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Instance, b.Instance))
	})
	d.Reports = d.Reports[:min(len(d.Reports), reportsMost)]
	return d
}

// peerShare is the share of another VM of the region.
type peerShare struct {
	Share
	at time.Time
}

// leastRate is added to the rate of each VM, so that those without requests agree
// too.
const leastRate = 1.0

// peerShareFor is how long the share of another VM counts.
const peerShareFor = 2 * time.Second

// sharedSpill is the mean share of the other VMs of the region, by their requests: a
// VM with few of them learns late where there is room.
func (s *service) sharedSpill(now time.Time) (mean float64, ok bool) {
	total := 0.0
	for id, p := range s.peers {
		if now.Sub(p.at) > peerShareFor {
			delete(s.peers, id)
			continue
		}
		weight := p.Rate + leastRate
		mean += p.Share.Share * weight
		total += weight
	}
	if total <= 0 {
		return 0, false
	}
	return mean / total, true
}

// Heard takes the digest of another VM. It returns the IDs of instances that are left
// because others answer at their addresses, and those that are now known to leave.
func (p *Picker) Heard(now time.Time, from string, d *Digest) (left []string, leaving []Instance) {
	for name, share := range d.Shares {
		if s := p.services[name]; s != nil && share.Share >= 0 && share.Share <= spillMost && share.Rate >= 0 {
			s.peers[from] = peerShare{share, now}
		}
	}
	if len(d.Replaced) > 0 {
		left = p.heardReplaced(now, d.Replaced)
	}
	if len(d.Leaving) > 0 {
		leaving = p.heardLeaving(now, from, d.Leaving)
	}
	for k := range d.Reports {
		r := &d.Reports[k]
		if r.Age < 0 || r.Age > loadKeep || r.Load.Running < 0 || r.Load.Waiting < 0 || r.Load.WorkPercent < 0 {
			continue
		}
		for _, s := range p.services {
			if i := s.byKey[r.Instance]; i != nil && i.reported(now.Add(-r.Age), r.Load) {
				i.told = true
				if r.Ratio > 0 {
					i.learnSlowness(now, min(r.Ratio, slownessMost), heardWeight)
				}
			}
		}
	}
	return left, leaving
}

// heardLeaving takes what another VM says of processes that leave.
func (p *Picker) heardLeaving(now time.Time, from string, list []LeavingProcess) (out []Instance) {
	ages := make(map[uint64]time.Duration, len(list))
	for _, l := range list {
		ages[l.Process] = l.Age
	}
	for _, s := range p.services {
		for _, i := range s.instances {
			if age, named := ages[i.processHash()]; named && p.said.Leaving(now, now.Add(-age), i.process(), from) {
				i.said = p.said.Of(i.process())
				out = append(out, i.Instance)
			}
		}
	}
	return out
}

// heardReplaced takes what another VM says of processes that have died.
func (p *Picker) heardReplaced(now time.Time, keys []InstanceKey) (left []string) {
	for _, s := range p.services {
		for _, i := range s.instances {
			if !i.replaced && slices.Contains(keys, i.processKey()) {
				i.toldReplaced = true
				i.replace(now)
				left = append(left, i.ID)
			}
		}
	}
	return left
}
