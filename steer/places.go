package steer

import (
	"cmp"
	"slices"

	"github.com/currantferry/currantferry/register"
)

// places numbers the data centres and regions of a register.
type places struct {
	reg     *register.Register
	names   []string
	dc      map[string]uint16
	region  []uint16 // by data centre
	regions map[string]uint16
	// regionDCs holds the data centres by region, regionNames the names.
	regionDCs   [][]uint16
	regionNames []string
}

func newPlaces(r *register.Register) *places {
	p := &places{reg: r, dc: make(map[string]uint16), regions: make(map[string]uint16)}
	for i := range r.Regions {
		for _, dc := range r.Regions[i].DataCentres {
			p.add(dc.Name, r.Regions[i].Name)
		}
	}
	return p
}

func (p *places) add(dc, region string) {
	rn, ok := p.regions[region]
	if !ok {
		rn = uint16(len(p.regionDCs))
		p.regions[region] = rn
		p.regionDCs = append(p.regionDCs, nil)
		p.regionNames = append(p.regionNames, region)
	}
	n := uint16(len(p.names))
	p.dc[dc] = n
	p.names = append(p.names, dc)
	p.region = append(p.region, rn)
	p.regionDCs[rn] = append(p.regionDCs[rn], n)
}

// place returns the region of a VM and makes its data centre known.
func (p *places) place(vm *VM) string {
	n, ok := p.dc[vm.DataCentre]
	if !ok {
		p.add(vm.DataCentre, vm.Region)
		return vm.Region
	}
	return p.regionNames[p.region[n]]
}

// orders returns the order of data centres for each site name, and a last one
// for callers without a site, whose nearest data centre is local.
func (p *places) orders(names []string, sites []register.Site, local string) []order {
	byName := make(map[string][]string, len(sites))
	for i := range sites {
		byName[sites[i].Name] = sites[i].DataCentres
	}
	other := p.order([]string{local})
	out := make([]order, 0, len(names)+1)
	for _, name := range names {
		if dcs, ok := byName[name]; ok && len(dcs) > 0 {
			out = append(out, p.order(dcs))
		} else {
			out = append(out, other)
		}
	}
	return append(out, other)
}

// order completes a site's list. The data centres that it does not name follow:
// first those of the regions that it names, in that order, then the regions by
// the latency of their link to the nearest one, then by the register's order.
func (p *places) order(prefer []string) order {
	var o order
	used := make([]bool, len(p.names))
	add := func(dc uint16) {
		if !used[dc] {
			used[dc] = true
			o.dcs = append(o.dcs, dc)
		}
	}
	for _, name := range prefer {
		if dc, ok := p.dc[name]; ok {
			add(dc)
		}
	}
	for _, dc := range slices.Clone(o.dcs) {
		for _, sibling := range p.regionDCs[p.region[dc]] {
			add(sibling)
		}
	}
	rest := make([]uint16, len(p.regionDCs))
	for i := range rest {
		rest[i] = uint16(i)
	}
	if len(o.dcs) > 0 {
		home := p.regionNames[p.region[o.dcs[0]]]
		slices.SortStableFunc(rest, func(x, y uint16) int {
			return cmp.Compare(p.latency(home, x), p.latency(home, y))
		})
	}
	for _, region := range rest {
		for _, dc := range p.regionDCs[region] {
			add(dc)
		}
	}
	return o
}

// latency returns the one-way latency in ms; a pair without a link comes last.
func (p *places) latency(home string, region uint16) float64 {
	name := p.regionNames[region]
	if name == home {
		return 0
	}
	if l := p.reg.Link(home, name); l != nil {
		return l.OneWayMillis
	}
	return register.MaxOneWayMillis + 1
}
