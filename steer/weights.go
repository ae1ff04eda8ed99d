package steer

import (
	"math"
	"time"
)

// dampedFactor is a factor between a floor and 1 that changes at most once per hold.
type dampedFactor struct {
	value   float64
	changed time.Time
}

// Bounds of one change. Cutting is faster than giving back, because an
// overloaded data centre sheds requests while the others have room.
const (
	maxCut   = 0.5
	maxRaise = 1.1
	// minKeep leaves a data centre enough callers to see that its load fell.
	minKeep = 0.1
	// minFactor does the same for a VM.
	minFactor = 0.25
	// vmHigh and vmLow bound the deadband of a VM's load relative to the mean
	// of its data centre.
	vmHigh = 1.25
	vmLow  = 1.1
	// vmIdle is the load below which a VM keeps its full weight: differences
	// between lightly loaded VMs are noise.
	vmIdle = 0.5
	// maxLoad bounds what a report counts for, so that one VM with a wrong
	// report cannot empty its data centre.
	maxLoad = 2.0
)

// reported returns a VM's load, or false without a usable report.
func (vm *VM) reported() (float64, bool) {
	if math.IsNaN(vm.Load) || vm.Load < 0 {
		return 0, false
	}
	return min(vm.Load, maxLoad), true
}

// move multiplies the value by ratio, within the bounds of one change.
func (h *dampedFactor) move(now time.Time, ratio, floor float64, hold time.Duration) {
	if !h.changed.IsZero() && now.Sub(h.changed) < hold {
		return
	}
	next := min(1, max(floor, h.value*min(max(ratio, maxCut), maxRaise)))
	if next != h.value {
		h.value, h.changed = next, now
	}
}

func (b *Builder) keepOf(dc string) float64   { return valueOf(b.keep, dc) }
func (b *Builder) factorOf(vm string) float64 { return valueOf(b.factor, vm) }

func valueOf(m map[string]*dampedFactor, key string) float64 {
	if h := m[key]; h != nil {
		return h.value
	}
	return 1
}

// load is what the VMs of a place report.
type load struct {
	// work is the sum of load times capacity of all VMs that report, those
	// that leave or are drained included: their callers come to the usable
	// ones.
	work float64
	// capacity is that of the usable VMs that report.
	capacity float64
	reports  int
}

func (l load) mean() float64 {
	if l.capacity == 0 || l.reports == 0 {
		return 0
	}
	return l.work / l.capacity
}

// weigh updates the parts that data centres keep and the factors of VMs.
//
// A data centre above HighLoad gives a part of its callers to the others of its
// region, as long as those are less loaded; between LowLoad and HighLoad nothing
// changes. Shifts between regions are not decided here: they count against the
// caps, which are the planner's.
func (b *Builder) weigh(now time.Time, vms, usable []VM, p *places) {
	dcs, regions := b.loads(vms, usable, p)
	addDisplaced(dcs, p)
	for i, name := range p.names {
		own := dcs[i].mean()
		region := regions[p.region[i]].mean()
		h := b.keep[name]
		switch {
		case dcs[i].reports == 0 || dcs[i].capacity == 0:
			// Without reports the last value stays.
		case own > b.cfg.HighLoad && own > region*1.05:
			if h == nil {
				h = &dampedFactor{value: 1}
				b.keep[name] = h
			}
			h.move(now, max(b.cfg.HighLoad, region)/own, minKeep, b.cfg.Hold)
		case h != nil && own < b.cfg.LowLoad:
			h.move(now, b.cfg.LowLoad/max(own, 0.01), minKeep, b.cfg.Hold)
			if h.value >= 1 && now.Sub(h.changed) >= b.cfg.Hold {
				delete(b.keep, name)
			}
		}
	}
	b.weighVMs(now, usable, dcs, p)
}

func (b *Builder) loads(vms, usable []VM, p *places) (dcs, regions []load) {
	dcs = make([]load, len(p.names))
	regions = make([]load, len(p.regionDCs))
	for i := range vms {
		dc, ok := p.dc[vms[i].DataCentre]
		work, reports := vms[i].reported()
		if !ok || !reports || vms[i].State == Gone {
			continue
		}
		for _, l := range []*load{&dcs[dc], &regions[p.region[dc]]} {
			l.work += work * float64(capacity(&vms[i]))
			l.reports++
		}
	}
	for i := range usable {
		if _, reports := usable[i].reported(); !reports {
			continue
		}
		dc := p.dc[usable[i].DataCentre]
		dcs[dc].capacity += float64(capacity(&usable[i]))
		regions[p.region[dc]].capacity += float64(capacity(&usable[i]))
	}
	return dcs, regions
}

// addDisplaced adds the work of data centres that lost every usable VM to those that
// their callers use next in the region. The load that this brings is acted on
// at once instead of after the reports have shown it.
func addDisplaced(dcs []load, p *places) {
	for i := range dcs {
		if dcs[i].capacity > 0 || dcs[i].work == 0 {
			continue
		}
		for _, dc := range p.order([]string{p.names[i]}).dcs {
			if p.region[dc] == p.region[i] && dcs[dc].capacity > 0 {
				dcs[dc].work += dcs[i].work
				break
			}
		}
	}
}

// weighVMs gives a VM less than its full weight while its load is well above the
// mean of its data centre.
func (b *Builder) weighVMs(now time.Time, usable []VM, dcs []load, p *places) {
	live := make(map[string]bool, len(usable))
	for i := range usable {
		vm := &usable[i]
		live[vm.ID] = true
		mean := dcs[p.dc[vm.DataCentre]].mean()
		own, reports := vm.reported()
		h := b.factor[vm.ID]
		switch {
		case !reports || mean == 0:
			// Without reports the last value stays.
		case own > vmIdle && own > vmHigh*mean:
			if h == nil {
				h = &dampedFactor{value: 1}
				b.factor[vm.ID] = h
			}
			h.move(now, mean/own, minFactor, b.cfg.Hold)
		case h != nil && (own < vmLow*mean || own <= vmIdle):
			h.move(now, maxRaise, minFactor, b.cfg.Hold)
			if h.value >= 1 && now.Sub(h.changed) >= b.cfg.Hold {
				delete(b.factor, vm.ID)
			}
		}
	}
	for id := range b.factor {
		if !live[id] {
			delete(b.factor, id)
		}
	}
}
