package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/currantferry/currantferry/verdict"
)

// InstanceKey is a hash of an instance's ID. Digests are sent often, so they carry keys
// instead of IDs.
type InstanceKey uint32

// KeyOf returns the key of an instance ID.
func KeyOf(id string) InstanceKey { return InstanceKey(hashOf(id)) }

// Report is an instance's load as received by a VM.
type Report struct {
	Instance InstanceKey
	Load     Load
	// Ratio is the observed duration divided by the expected one, or zero if it is not
	// known.
	Ratio float64
	// Age is the time since the instance reported the load.
	Age time.Duration
}

const (
	// maxReportAge is the age up to which reports are gossiped.
	maxReportAge = 500 * time.Millisecond
	// maxDigestReports bounds each list of a digest, so that the digest fits a datagram.
	maxDigestReports = 40
)

// Share is the spill share of a service: the share of its objects for which a VM sends
// the requests to other regions.
type Share struct {
	Share float64
	// Rate is the VM's requests per second. The mean of the region is weighted by it.
	Rate float64
}

// Digest is the state that the VMs of a region gossip to each other.
type Digest struct {
	Reports []Report
	// Shares are the spill shares by service, for services that recently had requests at
	// the VM.
	Shares map[string]Share
	// Replaced are processes at whose address another instance answered. They are gossiped
	// because otherwise every VM would have to find out with a misdirected request of its
	// own, which also takes long.
	Replaced []InstanceKey
	// Leaving are processes that sent a leaving notice.
	Leaving []LeavingProcess
	// Limits are processes that named another limit, or none, in a recent answer.
	Limits []LimitReport
}

// Digest returns the load reports that this VM received from instances of its region
// since the last call, newest first, its spill shares, and the processes that were
// replaced or are leaving.
//
// Rounds is the number of digests after which each VM of the region got one.
func (p *Picker) Digest(now time.Time, rounds int) Digest {
	d := Digest{Shares: make(map[string]Share)}
	for _, s := range p.services {
		if s.hasTraffic {
			d.Shares[s.name] = Share{s.spill, s.rate}
		}
		for _, i := range s.instances {
			if i.isReplaced && !i.isReplacedShared && len(d.Replaced) < maxDigestReports {
				i.isReplacedShared = true
				d.Replaced = append(d.Replaced, i.processKey())
			}
			if i.state.IsLeaving() && i.state.ReportedBy == "" && i.numLeavingSent < maxLeavingSends*rounds && len(d.Leaving) < maxDigestReports {
				i.numLeavingSent++
				d.Leaving = append(d.Leaving, LeavingProcess{i.processID, now.Sub(i.state.LeavingSince)})
			}
			if report, known := i.limitReport(now); known && i.numLimitSent < maxLimitSends*rounds && len(d.Limits) < maxDigestReports {
				i.numLimitSent++
				d.Limits = append(d.Limits, report)
			}
		}
		for _, i := range s.regions[p.cfg.Region] {
			if age := now.Sub(i.loadAt); !i.isLoadShared && !i.loadAt.IsZero() && age <= maxReportAge {
				i.isLoadShared = true
				d.Reports = append(d.Reports, Report{Instance: KeyOf(i.ID), Load: i.load, Age: age, Ratio: i.lastRatio})
			}
		}
	}
	slices.SortFunc(d.Reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Instance, b.Instance))
	})
	d.Reports = d.Reports[:min(len(d.Reports), maxDigestReports)]
	return d
}

// peerShare is the spill share of another VM of the region.
type peerShare struct {
	Share
	at time.Time
}

// minPeerWeight is added to the rate of each VM, so that the shares of VMs without
// requests are included in the mean.
const minPeerWeight = 1.0

// peerShareTTL is the age up to which the share of another VM is included in the mean.
const peerShareTTL = 2 * time.Second

// sharedSpill returns the mean spill share of the region's other VMs, weighted by their
// request rates. A VM with few requests is slow to notice how much capacity the regions
// have, so its share has little weight.
func (s *service) sharedSpill(now time.Time) (mean float64, ok bool) {
	total := 0.0
	for id, p := range s.peers {
		if now.Sub(p.at) > peerShareTTL {
			delete(s.peers, id)
			continue
		}
		weight := p.Rate + minPeerWeight
		mean += p.Share.Share * weight
		total += weight
	}
	if total <= 0 {
		return 0, false
	}
	return mean / total, true
}

// DigestEffects are the changes that a digest of another VM caused.
type DigestEffects struct {
	// Replaced are the IDs of instances that are ejected because other instances answer at
	// their addresses.
	Replaced []string
	// Leaving are the instances newly known to be leaving.
	Leaving []Instance
	Limits  []LimitChange
}

// ApplyDigest applies the digest of another VM.
func (p *Picker) ApplyDigest(now time.Time, from string, d *Digest) (e DigestEffects) {
	for name, share := range d.Shares {
		if s := p.services[name]; s != nil && share.Share >= 0 && share.Share <= maxSpill && share.Rate >= 0 {
			s.peers[from] = peerShare{share, now}
		}
	}
	if len(d.Replaced) > 0 {
		e.Replaced = p.applyReplaced(now, d.Replaced)
	}
	if len(d.Leaving) > 0 {
		e.Leaving = p.applyLeaving(now, from, d.Leaving)
	}
	if len(d.Limits) > 0 {
		e.Limits = p.applyLimits(now, from, d.Limits)
	}
	for k := range d.Reports {
		r := &d.Reports[k]
		if r.Age < 0 || r.Age > loadTTL || r.Load.Running < 0 || r.Load.Waiting < 0 || r.Load.WorkPercent < 0 {
			continue
		}
		for _, s := range p.services {
			if i := s.byKey[r.Instance]; i != nil && i.applyReport(now.Add(-r.Age), r.Load) {
				i.isLoadShared = true
				if r.Ratio > 0 {
					i.updateSlowness(now, min(r.Ratio, maxSlowness), peerReportWeight)
				}
			}
		}
	}
	return e
}

// applyLimits applies the limits that another VM received.
func (p *Picker) applyLimits(now time.Time, from string, list []LimitReport) (out []LimitChange) {
	reports := make(map[uint64]*LimitReport, len(list))
	for k := range list {
		reports[list[k].Process] = &list[k]
	}
	for _, s := range p.services {
		for _, i := range s.instances {
			if r := reports[i.processID]; r != nil {
				if change, changed := p.applyLimitReport(now, now, from, i, r); changed {
					// The VM that received the answer tells the whole region.
					i.numLimitSent = math.MaxInt
					out = append(out, change)
				}
			}
		}
	}
	return out
}

// applyLeaving applies the leaving notices that another VM received.
func (p *Picker) applyLeaving(now time.Time, from string, list []LeavingProcess) (out []Instance) {
	ages := make(map[uint64]time.Duration, len(list))
	for _, l := range list {
		ages[l.Process] = l.Age
	}
	for _, s := range p.services {
		for _, i := range s.instances {
			if age, listed := ages[i.processID]; listed && p.notices.RecordLeaving(now, now.Add(-age), i.process(), from) {
				i.state = p.notices.Of(i.process())
				out = append(out, i.Instance)
			}
		}
	}
	return out
}

// applyReplaced ejects the processes that another VM found replaced.
func (p *Picker) applyReplaced(now time.Time, keys []InstanceKey) (replaced []string) {
	for _, s := range p.services {
		for _, i := range s.instances {
			if !i.isReplaced && slices.Contains(keys, i.processKey()) {
				before, beforeAt := i.ejection, i.ejectedAt
				i.isReplacedShared = true
				i.markReplaced(now)
				p.recordEjection(now, i, before, beforeAt, verdict.ReasonMisdirected)
				replaced = append(replaced, i.ID)
			}
		}
	}
	return replaced
}
