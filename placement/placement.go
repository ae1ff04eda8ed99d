// Package placement chooses the instance for a request on the routed path: the one that
// most likely holds the request's object, unless it is slow, full, cold or failing.
// Every VM ranks the instances of an object the same way, so an object stays at its
// instances without any coordination between VMs.
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

// Config configures a Picker. Zero values select the defaults.
type Config struct {
	// VM and Region identify this entry VM.
	VM, Region string
	// ColdOver and ColdSlack bound the requests per second at a cold instance, over all
	// VMs: ColdOver times its tolerated rate, plus ColdSlack. Defaults 1 and 0.
	ColdOver, ColdSlack float64
	// MaxShift is the largest share of a region's requests that may move to another
	// region within ShiftWindow. Defaults 0.15 and 2 s.
	MaxShift    float64
	ShiftWindow time.Duration
	// RegionRTT is the round trip time to another region. Default 110 ms.
	RegionRTT time.Duration
	// DrainTime is how long a leaving instance still serves requests. Default 2.5 s.
	DrainTime time.Duration
	// IgnoresPriority admits requests without regard to what more urgent ones and other
	// teams need, beyond allowedWait.
	IgnoresPriority bool
	// ObjectAffinity is how the instances of an object are chosen. Default AffinityObserved.
	ObjectAffinity ObjectAffinity
	// Random returns random numbers in [0, 1). Default 0.5.
	Random func() float64
}

func (c *Config) defaults() {
	if c.Random == nil {
		c.Random = func() float64 { return 0.5 }
	}
	if c.ColdOver <= 0 {
		c.ColdOver = 1
	}
	if c.MaxShift <= 0 {
		c.MaxShift = 0.15
	}
	if c.ShiftWindow <= 0 {
		c.ShiftWindow = 2 * time.Second
	}
	if c.RegionRTT <= 0 {
		c.RegionRTT = 110 * time.Millisecond
	}
	if c.DrainTime <= 0 {
		c.DrainTime = 2500 * time.Millisecond
	}
}

// unknownRegion is the region of an instance whose data centre the settings don't name. Such
// an instance gets no request that is bound to regions.
const unknownRegion = ""

// Instance is one upstream process of a service. An empty Region is unknown.
type Instance struct {
	ID, Service, Region, Address string
	// StartMillis is the start time of the process. It distinguishes processes with the
	// same ID.
	StartMillis int64
	// Slots is the number of requests that the instance runs concurrently.
	Slots int
	// ColdUntil is the time at which the instance stops being cold. Zero means that it is
	// not cold.
	ColdUntil time.Time
	// ColdRate is the number of requests per second, from all VMs together, that the
	// instance tolerates while it is cold. Zero means no limit.
	ColdRate float64
	// HealthPath is the path that tells whether the instance is cold, empty if there is none.
	HealthPath string
}

// Request describes a request that needs an instance.
type Request struct {
	Service string
	// Route is the route's name. The expected duration is estimated per route.
	Route string
	// Key identifies the object of the request. Empty means that it has none.
	Key        string
	Idempotent bool
	Target     time.Duration
	Deadline   time.Time
	// Timeout is the timeout that the caller stated. A caller that retries after a refusal
	// has less time left than one that asks for the first time. Zero means that the caller
	// stated none.
	Timeout time.Duration
	// Priority orders requests when capacity is short, 0 first.
	Priority int
	// Team is the name of the caller's team, or empty.
	Team string
	// Regions lists the regions that may run the request. Empty means all.
	Regions []string
	// Exclude lists the IDs of instances that were tried already.
	Exclude []string

	// reserved says that the room of limited instances is kept for more urgent requests.
	reserved bool
	// precedence is what the request leaves to others when capacity is short.
	precedence precedence
	// object is the result of objectHash if it was computed before.
	object    uint64
	hasObject bool
	objectUse
}

// Ticket is a chosen instance together with the reservation of the request there.
type Ticket struct {
	Instance Instance
	// Rank is the instance's rank for the object, from 0.
	Rank int
	// Spilled says that the instance is in another region than this VM.
	Spilled bool
	// Wait and Work are the estimates on which the choice was based.
	Wait, Work time.Duration
	// LoadAge is the age of the load report behind the estimates, or negative if there is
	// none.
	LoadAge time.Duration

	inst    *instance
	service *service
	route   string
	warmKey uint64
	object  uint64
	class   holdingClass
	usual   time.Duration
	// isLeaving says that the instance was chosen although it is leaving, because no other
	// instance may serve the request.
	isLeaving bool
	// hasToken says that a token of the instance's limit was used.
	hasToken bool
	// isCold says that the instance was known to be cold when it was chosen.
	isCold bool
	// trialOf is when the ejection began of which the request is the trial, or zero.
	trialOf time.Time
	// pickedAt is when the instance was chosen, sentAt when the request is written.
	pickedAt, sentAt time.Time
}

// Load is the load that an instance reports about itself.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is the current duration of work in percent of the usual one, or zero if
	// the instance does not report it.
	WorkPercent int
}

// Outcome is the result of an attempt.
type Outcome struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Latency is the time until the header of the answer, or until the failure.
	Latency time.Duration
	// Cancelled attempts do not affect the estimates of the instance.
	Cancelled bool
	// Failed says that the instance answered with an error of its own.
	Failed bool
	Load   *Load
}

// Picker holds the placement state of one entry VM.
type Picker struct {
	cfg      Config
	services map[string]*service
	// vms are the VMs that share what belongs to the region, with this one, and numSharers the number
	// by which it is divided, at least that of vms. isActing says that this VM may use its part.
	vms        []VM
	numSharers int
	isActing   bool
	lastTick   time.Time
	// numUnkeyed counts requests without a key, which spreads them over the instances.
	numUnkeyed uint64
	// overflowTokens bounds the single requests that leave the region beyond the spill
	// shares.
	overflowTokens float64
	recent         recentTable
	// numSplit counts requests for objects with several home instances, and compared is
	// reused for the candidates of each request.
	numSplit uint64
	compared []candidate
	ranked   []rankedInstance
	// notices are the leaving and wait notices of processes.
	notices *availability.Tracker
	quota   quota
	// ejectionChanges are the changes since the last call of EjectionChanges.
	ejectionChanges []EjectionChange
	// numTrialConnections is the number of trial connections in flight.
	numTrialConnections int
}

// service is the state of one service.
type service struct {
	name      string
	instances map[string]*instance
	// byKey finds the instance of a load report. It maps to nil where several IDs have the
	// same key.
	byKey   map[InstanceKey]*instance
	regions map[string][]*instance
	// spill is the spill share: the share of this region's objects that run in other
	// regions. Until the first requests arrive it is derived from the slots of the
	// regions.
	spill      float64
	hasTraffic bool
	// pressure is the smoothed load per slot of each region. longPressure is smoothed over
	// a longer time, for decisions that must not change often.
	pressure, longPressure map[string]float64
	// numArrived counts this VM's requests since the last tick, rate is their smoothed
	// number per second, and lastArrival is the last tick at which there were any.
	numArrived float64
	rate       float64
	// peakDemand is the highest recent demand of this region, see updatePeakDemand.
	peakDemand  float64
	lastArrival time.Time
	routes      map[string]*routeWork
	admission   admission
	// peers are the spill shares of the region's other VMs, by VM.
	peers map[string]peerShare
	// returns schedules when refused callers come back.
	returns availability.ReturnSchedule
	// limitRefusals holds, by priority, when a request was last refused because all
	// instances were at their limits, and limitReturnAt the last time at which such a caller
	// was told to come back.
	limitRefusals map[int]time.Time
	// hasLimited says that an instance names a limit.
	hasLimited    bool
	limitReturnAt time.Time
	// objects holds the last request times of recent objects, by the hash of their key.
	objects map[uint64]time.Time
	// objectsExpiredAt is the last time that old objects were dropped.
	objectsExpiredAt time.Time
	// popular holds the most requested objects, and holdings the durations of requests, by
	// route, with objects that were held or not.
	popular  popularObjects
	holdings map[string]*holdingWork
}

// routeWork is the estimated duration of a route's requests at an instance.
type routeWork struct {
	mean float64 // seconds
	// maxTimeout is the longest timeout that callers of the route have stated.
	maxTimeout time.Duration
}

const (
	// initialWork is assumed until the first request of a route has completed.
	initialWork = 200 * time.Millisecond
	// workWeight is the weight of the newest duration in a route's mean.
	workWeight = 0.02
)

// New returns a picker without any instances.
func New(cfg Config) *Picker {
	cfg.defaults()
	return &Picker{cfg: cfg, services: make(map[string]*service), vms: []VM{{cfg.VM, 1}}, isActing: true, notices: availability.NewTracker(), quota: newQuota(cfg.Random)}
}

// SetBounds changes the bounds given in Config. Values of zero or less select the
// defaults.
func (p *Picker) SetBounds(coldOver, coldSlack, maxShift float64, drainTime time.Duration) {
	p.cfg.ColdOver, p.cfg.ColdSlack, p.cfg.MaxShift, p.cfg.DrainTime = coldOver, coldSlack, maxShift, drainTime
	p.cfg.defaults()
}

// SetIgnoresPriority changes Config.IgnoresPriority.
func (p *Picker) SetIgnoresPriority(ignores bool) { p.cfg.IgnoresPriority = ignores }

// VM is an entry VM of the region.
type VM struct {
	ID string
	// Weight is proportional to the VM's expected share of the requests.
	Weight float64
}

// SetVMs sets the VMs that share what belongs to this VM's region. This VM is added if it is missing.
func (p *Picker) SetVMs(vms []VM) {
	p.vms = vms
	if !slices.ContainsFunc(vms, func(v VM) bool { return v.ID == p.cfg.VM }) {
		p.vms = append(slices.Clone(vms), VM{p.cfg.VM, 1})
	}
}

// SetSharers sets the number of VMs by which what they share is divided, unless there are more in SetVMs,
// and whether this VM may use its part, see package roster. The defaults are 1 and true.
func (p *Picker) SetSharers(num int, isActing bool) { p.numSharers, p.isActing = num, isActing }

// sharers returns the number of VMs by which what they share is divided.
func (p *Picker) sharers() int { return max(1, len(p.vms), p.numSharers) }

// SetInstances replaces the whole list of instances that accept new work. Instances
// that remain keep their state.
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

// Update adds or changes the instances of list and removes those in gone. All others
// are unchanged. The cost is proportional to the number of changes.
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
		p.notices.RecordStart(now, processOf(i))
		own.upsert(now, i, p.notices.Of(processOf(i)))
		touched[own] = true
	}
	for s := range touched {
		if !s.hasTraffic {
			s.spill = p.initialSpill(s)
		}
	}
}

// upsert adds an instance, or updates one that is known. A new process, address or
// region starts with a fresh state.
func (s *service) upsert(now time.Time, i *Instance, state *availability.State) {
	old := s.instances[i.ID]
	if old != nil && old.StartMillis == i.StartMillis && old.Address == i.Address && old.Region == i.Region {
		wasCold := old.isCold(now)
		old.Instance = *i
		if !wasCold && old.isCold(now) {
			old.settleCold(now)
		}
		return
	}
	s.remove(i.ID)
	fresh := newInstance(now, *i)
	fresh.state = state
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

// remove removes an instance and reports whether it was known.
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

// find returns the index of an instance in its region's list, which is sorted by ID.
func (s *service) find(region, id string) (at int, found bool) {
	return slices.BinarySearchFunc(s.regions[region], id, func(i *instance, id string) int { return compareIDs(i.ID, id) })
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Reference returns a ticket for an instance to which another VM sent a request. It can
// be used for notices only.
func (p *Picker) Reference(id string, sentAt time.Time) (Ticket, bool) {
	for _, s := range p.services {
		if i := s.instances[id]; i != nil {
			return Ticket{Instance: i.Instance, service: s, sentAt: sentAt}, true
		}
	}
	return Ticket{}, false
}

// Leaving returns the IDs of the instances of a service that announced that they leave, at
// most limit.
func (p *Picker) Leaving(service string, limit int) []string {
	s := p.services[service]
	if s == nil {
		return nil
	}
	var out []string
	for id, i := range s.instances {
		if i.state.IsLeaving() && len(out) < limit {
			out = append(out, id)
		}
	}
	return out
}

// ForgiveFailures ends the ejections of all instances and forgets their failures: this VM
// could not reach any of them. Instances whose address another instance took stay ejected.
func (p *Picker) ForgiveFailures(now time.Time) {
	for _, s := range p.services {
		for _, i := range s.instances {
			if i.isReplaced {
				continue
			}
			before, beforeAt := i.ejection, i.ejectedAt
			i.consecutiveFailures, i.ejection, i.lastEjection, i.isTrialPending = 0, 0, 0, false
			i.failures, i.failuresAt = 0, now
			p.recordEjection(now, i, before, beforeAt, verdict.ReasonIsolated)
		}
	}
}

func (p *Picker) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			name: name, instances: make(map[string]*instance), regions: make(map[string][]*instance), byKey: make(map[InstanceKey]*instance),
			pressure: make(map[string]float64), longPressure: make(map[string]float64), routes: make(map[string]*routeWork), objects: make(map[uint64]time.Time), peers: make(map[string]peerShare),
			limitRefusals: make(map[int]time.Time), holdings: make(map[string]*holdingWork),
		}
		p.services[name] = s
	}
	return s
}

func (s *service) expectedWork(route string) time.Duration {
	if w := s.routes[route]; w != nil && w.mean > 0 {
		return time.Duration(w.mean * float64(time.Second))
	}
	return initialWork
}

func (s *service) updateWork(route string, took time.Duration) {
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
