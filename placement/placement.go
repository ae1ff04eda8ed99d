// Package placement chooses the instance for a request on the routed path: the one
// that most likely holds the request's object, unless it is slow, full, cold or
// failing. Every VM ranks the instances of an object alike, so that no messages
// are needed to keep an object in one place.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for
// concurrent use.
package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/verdict"
)

// Config of a Picker. Zero values mean the defaults.
type Config struct {
	// VM and Region of this entry VM.
	VM, Region string
	// ColdOver and ColdSlack bound the requests of one second at a cold
	// instance, over all VMs: ColdOver times its tolerated rate, plus
	// ColdSlack. Defaults 1 and 0.
	ColdOver, ColdSlack float64
	// ShiftMost is the largest share of a region's requests that may change the
	// region in which they run within ShiftWindow. Default 0.15 in 2 s.
	ShiftMost   float64
	ShiftWindow time.Duration
	// RegionDelay is the time to another region and back. Default 110 ms.
	RegionDelay time.Duration
	// DrainFor is how long an instance that leaves still serves. Default 2.5 s.
	DrainFor time.Duration
}

func (c *Config) defaults() {
	if c.ColdOver <= 0 {
		c.ColdOver = 1
	}
	if c.ShiftMost <= 0 {
		c.ShiftMost = 0.15
	}
	if c.ShiftWindow <= 0 {
		c.ShiftWindow = 2 * time.Second
	}
	if c.RegionDelay <= 0 {
		c.RegionDelay = 110 * time.Millisecond
	}
	if c.DrainFor <= 0 {
		c.DrainFor = 2500 * time.Millisecond
	}
}

// Instance is one upstream process of a service.
type Instance struct {
	ID, Service, Region, Address string
	// Born tells apart processes that started under the same ID.
	Born int64
	// Slots is the number of requests that it runs at a time.
	Slots int
	// ColdUntil is when it stops being cold. Zero means that it is not.
	ColdUntil time.Time
	// ColdRate is the requests per second that it tolerates while cold, from
	// all VMs together. Zero means no limit.
	ColdRate float64
}

// Request asks for an instance.
type Request struct {
	Service string
	// Route names the kind of work, for the estimate of its duration.
	Route string
	// Key names the object of the request. Empty means none.
	Key        string
	Idempotent bool
	Target     time.Duration
	Deadline   time.Time
	// Timeout is how long the caller said it waits. A caller that comes back
	// after a refusal has less left than one that comes first. Zero means that
	// it did not say.
	Timeout time.Duration
	// Priority orders requests when room is short, 0 first.
	Priority int
	// Regions are those that may run the request. Empty means all.
	Regions []string
	// Exclude names instances that were tried already.
	Exclude []string
}

// Ticket is a chosen instance with the place that the request takes up there.
type Ticket struct {
	Instance Instance
	// Rank is the instance's place in the order of the object, from 0.
	Rank int
	// Spilled says that the instance is in another region than this VM.
	Spilled bool
	// Wait and Work are the estimates that decided.
	Wait, Work time.Duration
	// LoadAge is the age of the load report behind them, or negative without
	// one.
	LoadAge time.Duration

	inst    *instance
	service *service
	route   string
	warmKey uint64
	// leaving says that the instance was known to leave and nobody else may serve.
	leaving bool
}

// Load is the report of an instance about itself.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes at the moment, 100 as usual, or zero.
	WorkPercent int
}

// Outcome is how an attempt ended.
type Outcome struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Latency until the header of the answer, or until the failure.
	Latency time.Duration
	// Cancelled attempts say nothing about the instance.
	Cancelled bool
	// Failed says that the instance answered with a failure of its own.
	Failed bool
	Load   *Load
}

// Picker is the state of one entry VM.
type Picker struct {
	cfg      Config
	services map[string]*service
	// vms are the VMs that serve the region, this one included.
	vms   []VM
	ticks time.Time
	// unkeyed counts requests without a key, to spread them.
	unkeyed uint64
	// overflow bounds single requests that leave the region beyond the steady
	// shares.
	overflow float64
	recent   recentTable
	// said is what processes said about new requests.
	said *availability.Tracker
}

// service is the state of one service.
type service struct {
	name      string
	instances map[string]*instance
	// byKey finds the instances of reports. Those with equal keys are nil.
	byKey   map[InstanceKey]*instance
	regions map[string][]*instance
	// spill is the share of this region's objects that run elsewhere. Until the
	// first requests came it follows the slots of the regions.
	spill   float64
	started bool
	// pressure is the smoothed load per slot of each region, lasting a slower
	// mean of it for decisions that must not change often.
	pressure, lasting map[string]float64
	// arrived counts this VM's requests since the last tick, rate is their
	// smoothed number per second, and lastArrival is when the last one came.
	arrived     float64
	rate        float64
	lastArrival time.Time
	routes      map[string]*routeWork
	// peers are the shares of the other VMs of the region, by VM.
	peers map[string]peerShare
	// returns deals out when refused callers come back.
	returns availability.Returns
	// objects are those asked for lately, by the hash of their key.
	objects map[uint64]time.Time
	// forgotten is when old objects were dropped last.
	forgotten time.Time
}

// routeWork estimates the duration of a route's requests at an instance.
type routeWork struct {
	mean float64 // seconds
	// longest is the longest timeout that callers of the route stated lately.
	longest time.Duration
}

const (
	// initialWork is assumed until a route has been measured.
	initialWork = 200 * time.Millisecond
	// workWeight is the weight of the newest duration in a route's mean.
	workWeight = 0.02
)

// New returns a picker without instances.
func New(cfg Config) *Picker {
	cfg.defaults()
	return &Picker{cfg: cfg, services: make(map[string]*service), vms: []VM{{cfg.VM, 1}}, said: availability.NewTracker()}
}

// SetBounds changes the bounds of Config.
func (p *Picker) SetBounds(coldOver, coldSlack, shiftMost float64, drainFor time.Duration) {
	p.cfg.ColdOver, p.cfg.ColdSlack, p.cfg.ShiftMost, p.cfg.DrainFor = coldOver, coldSlack, shiftMost, drainFor
	p.cfg.defaults()
}

// VM is an entry VM of the region.
type VM struct {
	ID string
	// Weight is its expected share of the requests, in proportion.
	Weight float64
}

// SetVMs names the VMs that serve this VM's region.
func (p *Picker) SetVMs(vms []VM) {
	p.vms = vms
	if !slices.ContainsFunc(vms, func(v VM) bool { return v.ID == p.cfg.VM }) {
		p.vms = append(slices.Clone(vms), VM{p.cfg.VM, 1})
	}
}

// SetInstances replaces the instances that take new work. State of those that
// remain is kept.
func (p *Picker) SetInstances(now time.Time, list []Instance) {
	remain := make(map[string]bool, len(list))
	for k := range list {
		remain[list[k].ID] = true
	}
	var gone []string
	for _, s := range p.services {
		for id := range s.instances {
			if !remain[id] {
				gone = append(gone, id)
			}
		}
	}
	p.Update(now, list, gone)
}

// Update takes the instances of list, which may be known, and leaves those that are
// gone. The others stay. Its cost follows the number of changes.
func (p *Picker) Update(now time.Time, list []Instance, gone []string) {
	touched := make(map[*service]bool)
	for _, id := range gone {
		for _, s := range p.services {
			if s.remove(id) {
				touched[s] = true
			}
		}
	}
	for k := range list {
		i := &list[k]
		own := p.service(i.Service)
		for _, s := range p.services {
			if s != own && s.remove(i.ID) {
				touched[s] = true
			}
		}
		p.said.Started(now, processOf(i))
		own.put(now, i, p.said.Of(processOf(i)))
		touched[own] = true
	}
	for s := range touched {
		if !s.started {
			s.spill = p.initialSpill(s)
		}
	}
}

// put adds an instance, or changes what is known of it.
func (s *service) put(now time.Time, i *Instance, said *availability.State) {
	old := s.instances[i.ID]
	if old != nil && old.Born == i.Born && old.Address == i.Address && old.Region == i.Region {
		old.Instance = *i
		return
	}
	s.remove(i.ID)
	fresh := newInstance(now, *i)
	fresh.said = said
	s.instances[i.ID] = fresh
	if _, taken := s.byKey[KeyOf(i.ID)]; taken {
		s.byKey[KeyOf(i.ID)] = nil
	} else {
		s.byKey[KeyOf(i.ID)] = fresh
	}
	group := s.regions[i.Region]
	at, _ := s.find(i.Region, i.ID)
	s.regions[i.Region] = slices.Insert(group, at, fresh)
}

// remove leaves an instance, and tells whether it was known.
func (s *service) remove(id string) bool {
	old := s.instances[id]
	if old == nil {
		return false
	}
	delete(s.instances, id)
	delete(s.byKey, KeyOf(id))
	if at, found := s.find(old.Region, id); found {
		s.regions[old.Region] = slices.Delete(s.regions[old.Region], at, at+1)
	}
	if len(s.regions[old.Region]) == 0 {
		delete(s.regions, old.Region)
	}
	return true
}

// find returns the place of an instance in the order of its region.
func (s *service) find(region, id string) (at int, found bool) {
	return slices.BinarySearchFunc(s.regions[region], id, func(i *instance, id string) int { return compare(i.ID, id) })
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (p *Picker) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			name: name, instances: make(map[string]*instance), regions: make(map[string][]*instance), byKey: make(map[InstanceKey]*instance),
			pressure: make(map[string]float64), lasting: make(map[string]float64), routes: make(map[string]*routeWork), objects: make(map[uint64]time.Time), peers: make(map[string]peerShare),
		}
		p.services[name] = s
	}
	return s
}

func (s *service) work(route string) time.Duration {
	if w := s.routes[route]; w != nil && w.mean > 0 {
		return time.Duration(w.mean * float64(time.Second))
	}
	return initialWork
}

func (s *service) learn(route string, took time.Duration) {
	w := s.route(route)
	if w.mean == 0 {
		w.mean = took.Seconds()
		return
	}
	w.mean += workWeight * (took.Seconds() - w.mean)
}

func (s *service) route(name string) *routeWork {
	w := s.routes[name]
	if w == nil {
		w = new(routeWork)
		s.routes[name] = w
	}
	return w
}

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }
