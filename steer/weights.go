package steer

import (
	"math"
	"time"
)

// dampedFactor is a factor between a floor and 1 that changes at most once per
// Config.MinChangeInterval.
type dampedFactor struct {
	value     float64
	changedAt time.Time
}

const (
	// minChangeRatio and maxChangeRatio bound one change of a factor. Reductions are
	// faster than increases, because an overloaded data centre sheds requests while
	// the others have spare capacity.
	minChangeRatio = 0.5
	maxChangeRatio = 1.1
	// minKeepFraction leaves a data centre enough callers for its reports to show
	// when its load has fallen.
	minKeepFraction = 0.1
	// minWeightFactor does the same for a VM.
	minWeightFactor = 0.25
	// vmHighRatio and vmLowRatio bound the hysteresis band of a VM's load relative
	// to the mean of its data centre.
	vmHighRatio = 1.25
	vmLowRatio  = 1.1
	// vmIdleLoad is the load up to which a VM keeps or regains its full weight:
	// differences between lightly loaded VMs are noise.
	vmIdleLoad = 0.5
	// maxLoad limits the load of a report, so that one VM with a wrong report cannot
	// move all callers out of its data centre.
	maxLoad = 2.0
)

// reportedLoad returns a VM's load, or false without a usable report.
func (vm *VM) reportedLoad() (float64, bool) {
	if math.IsNaN(vm.Load) || vm.Load < 0 {
		return 0, false
	}
	return min(vm.Load, maxLoad), true
}

// adjust multiplies the value by ratio within the bounds of one change, unless the
// previous change is more recent than minInterval.
func (f *dampedFactor) adjust(now time.Time, ratio, floor float64, minInterval time.Duration) {
	if !f.changedAt.IsZero() && now.Sub(f.changedAt) < minInterval {
		return
	}
	next := min(1, max(floor, f.value*min(max(ratio, minChangeRatio), maxChangeRatio)))
	if next != f.value {
		f.value, f.changedAt = next, now
	}
}

func (b *Builder) keepFraction(dc string) float64 { return valueOf(b.keepFractions, dc) }
func (b *Builder) weightFactor(vm string) float64 { return valueOf(b.weightFactors, vm) }

func valueOf(m map[string]*dampedFactor, key string) float64 {
	if f := m[key]; f != nil {
		return f.value
	}
	return 1
}

// load sums the reports of the VMs of a data centre or region.
type load struct {
	// work is the sum of load times capacity of all VMs that report, leaving and
	// drained ones included, since their callers move to the usable ones.
	work float64
	// capacity is the sum of the capacities of the usable VMs that report.
	capacity   float64
	numReports int
}

func (l load) mean() float64 {
	if l.capacity == 0 || l.numReports == 0 {
		return 0
	}
	return l.work / l.capacity
}

// updateWeights updates the keep fractions of data centres and the weight factors of
// VMs.
//
// A data centre above HighLoad moves a part of its callers to the others of its
// region while those are less loaded. Below LowLoad it takes them back; in between
// nothing changes. Shifts between regions are the planner's decision, since they
// count against the caps.
func (b *Builder) updateWeights(now time.Time, vms, usable []VM, p *topology) {
	dcs, regions := b.loads(vms, usable, p)
	addDisplaced(dcs, p)
	for i, name := range p.dcNames {
		own := dcs[i].mean()
		region := regions[p.regionOf[i]].mean()
		f := b.keepFractions[name]
		switch {
		case dcs[i].numReports == 0 || dcs[i].capacity == 0:
			// Without reports the last value is kept.
		case own > b.cfg.HighLoad && own > region*1.05:
			if f == nil {
				f = &dampedFactor{value: 1}
				b.keepFractions[name] = f
			}
			f.adjust(now, max(b.cfg.HighLoad, region)/own, minKeepFraction, b.cfg.MinChangeInterval)
		case f != nil && own < b.cfg.LowLoad:
			f.adjust(now, b.cfg.LowLoad/max(own, 0.01), minKeepFraction, b.cfg.MinChangeInterval)
			if f.value >= 1 && now.Sub(f.changedAt) >= b.cfg.MinChangeInterval {
				delete(b.keepFractions, name)
			}
		}
	}
	b.updateVMWeights(now, usable, dcs, p)
}

func (b *Builder) loads(vms, usable []VM, p *topology) (dcs, regions []load) {
	dcs = make([]load, len(p.dcNames))
	regions = make([]load, len(p.regionDCs))
	for i := range vms {
		dc, ok := p.dcNumbers[vms[i].DataCentre]
		work, hasReport := vms[i].reportedLoad()
		if !ok || !hasReport || vms[i].State == Gone {
			continue
		}
		for _, l := range []*load{&dcs[dc], &regions[p.regionOf[dc]]} {
			l.work += work * float64(capacity(&vms[i]))
			l.numReports++
		}
	}
	for i := range usable {
		if _, hasReport := usable[i].reportedLoad(); !hasReport {
			continue
		}
		dc := p.dcNumbers[usable[i].DataCentre]
		dcs[dc].capacity += float64(capacity(&usable[i]))
		regions[p.regionOf[dc]].capacity += float64(capacity(&usable[i]))
	}
	return dcs, regions
}

// addDisplaced adds the work of data centres that lost every usable VM to the data
// centres that their callers use next in the region, so that weights react before
// load reports show the additional load.
func addDisplaced(dcs []load, p *topology) {
	for i := range dcs {
		if dcs[i].capacity > 0 || dcs[i].work == 0 {
			continue
		}
		for _, dc := range p.order([]string{p.dcNames[i]}).dcs {
			if p.regionOf[dc] == p.regionOf[i] && dcs[dc].capacity > 0 {
				dcs[dc].work += dcs[i].work
				break
			}
		}
	}
}

// updateVMWeights reduces the weight of a VM while its load is well above the mean of
// its data centre.
func (b *Builder) updateVMWeights(now time.Time, usable []VM, dcs []load, p *topology) {
	usableIDs := make(map[string]bool, len(usable))
	for i := range usable {
		vm := &usable[i]
		usableIDs[vm.ID] = true
		mean := dcs[p.dcNumbers[vm.DataCentre]].mean()
		own, hasReport := vm.reportedLoad()
		f := b.weightFactors[vm.ID]
		switch {
		case !hasReport || mean == 0:
			// Without reports the last value is kept.
		case own > vmIdleLoad && own > vmHighRatio*mean:
			if f == nil {
				f = &dampedFactor{value: 1}
				b.weightFactors[vm.ID] = f
			}
			f.adjust(now, mean/own, minWeightFactor, b.cfg.MinChangeInterval)
		case f != nil && (own < vmLowRatio*mean || own <= vmIdleLoad):
			f.adjust(now, maxChangeRatio, minWeightFactor, b.cfg.MinChangeInterval)
			if f.value >= 1 && now.Sub(f.changedAt) >= b.cfg.MinChangeInterval {
				delete(b.weightFactors, vm.ID)
			}
		}
	}
	for id := range b.weightFactors {
		if !usableIDs[id] {
			delete(b.weightFactors, id)
		}
	}
}
