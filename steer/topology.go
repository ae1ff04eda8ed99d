package steer

import (
	"cmp"
	"slices"

	"github.com/currantferry/currantferry/register"
)

// topology assigns numbers to the data centres and regions of a register.
type topology struct {
	reg           *register.Register
	dcNames       []string
	dcNumbers     map[string]uint16
	regionOf      []uint16 // by data centre
	regionNumbers map[string]uint16
	// regionDCs holds the data centres by region, regionNames the regions' names.
	regionDCs   [][]uint16
	regionNames []string
}

func newTopology(r *register.Register) *topology {
	p := &topology{reg: r, dcNumbers: make(map[string]uint16), regionNumbers: make(map[string]uint16)}
	for i := range r.Regions {
		for _, dc := range r.Regions[i].DataCentres {
			p.addDataCentre(dc.Name, r.Regions[i].Name)
		}
	}
	return p
}

func (p *topology) addDataCentre(dc, region string) {
	regionNumber, ok := p.regionNumbers[region]
	if !ok {
		regionNumber = uint16(len(p.regionDCs))
		p.regionNumbers[region] = regionNumber
		p.regionDCs = append(p.regionDCs, nil)
		p.regionNames = append(p.regionNames, region)
	}
	n := uint16(len(p.dcNames))
	p.dcNumbers[dc] = n
	p.dcNames = append(p.dcNames, dc)
	p.regionOf = append(p.regionOf, regionNumber)
	p.regionDCs[regionNumber] = append(p.regionDCs[regionNumber], n)
}

// addVM returns the region of a VM. It adds the VM's data centre if the register
// lacks it.
func (p *topology) addVM(vm *VM) string {
	n, ok := p.dcNumbers[vm.DataCentre]
	if !ok {
		p.addDataCentre(vm.DataCentre, vm.Region)
		return vm.Region
	}
	return p.regionNames[p.regionOf[n]]
}

// orders returns the order of data centres for each of the site names, followed by
// the one for callers without a site. The latter begins with the named nearest data
// centre.
func (p *topology) orders(names []string, sites []register.Site, nearest string) []order {
	byName := make(map[string][]string, len(sites))
	for i := range sites {
		byName[sites[i].Name] = sites[i].DataCentres
	}
	fallback := p.order([]string{nearest})
	out := make([]order, 0, len(names)+1)
	for _, name := range names {
		if dcs, ok := byName[name]; ok && len(dcs) > 0 {
			out = append(out, p.order(dcs))
		} else {
			out = append(out, fallback)
		}
	}
	return append(out, fallback)
}

// order completes a site's list of data centres. The other data centres of the
// listed regions follow in the order of the list. The data centres of the remaining
// regions come last, by the latency of the region's link to the first listed region,
// then in the register's order.
func (p *topology) order(prefer []string) order {
	var o order
	used := make([]bool, len(p.dcNames))
	add := func(dc uint16) {
		if !used[dc] {
			used[dc] = true
			o.dcs = append(o.dcs, dc)
		}
	}
	for _, name := range prefer {
		if dc, ok := p.dcNumbers[name]; ok {
			add(dc)
		}
	}
	for _, dc := range slices.Clone(o.dcs) {
		for _, other := range p.regionDCs[p.regionOf[dc]] {
			add(other)
		}
	}
	rest := make([]uint16, len(p.regionDCs))
	for i := range rest {
		rest[i] = uint16(i)
	}
	if len(o.dcs) > 0 {
		home := p.regionNames[p.regionOf[o.dcs[0]]]
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

// latency returns the one-way latency between two regions in ms. For a pair without
// a link it is larger than that of any link.
func (p *topology) latency(home string, region uint16) float64 {
	name := p.regionNames[region]
	if name == home {
		return 0
	}
	if l := p.reg.Link(home, name); l != nil {
		return l.OneWayMillis
	}
	return register.MaxOneWayMillis + 1
}
