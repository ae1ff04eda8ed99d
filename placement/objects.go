package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/currantferry/currantferry/rendezvous"
)

// ObjectAffinity is how the instances of an object are chosen.
type ObjectAffinity string

const (
	// AffinityObserved uses the observed durations of requests for held and other objects,
	// and the objects' shares of the requests.
	AffinityObserved ObjectAffinity = "observed"
	// AffinityFixed uses constants: up to three instances for each object.
	AffinityFixed ObjectAffinity = "fixed"
)

const (
	// maxReplicas bounds the home instances of an object, and maxCompared the instances that
	// are compared for a request.
	maxReplicas = 24
	maxCompared = maxReplicas + numOthers
	// numOthers is the number of instances that are compared beyond the home instances.
	numOthers = 3
	// numIndifferent is the number of instances that are compared at least where holding
	// makes hardly any difference.
	numIndifferent = 8
	// replicaLoad is the load per slot up to which the home instances of an object are to be
	// used. minReplicaLoad is assumed for an idle region, in which a popular object soon
	// becomes a burden.
	replicaLoad = 0.6
	// freePressure is the load per slot up to which a region has capacity for misses, and
	// crowdedMissRate the part of the gain that is missed if instances hold too few objects.
	freePressure    = 0.6
	crowdedMissRate = 0.2
	minReplicaLoad  = 0.3
	// homeRankCost is added for each rank, in units of what holding gains, so that objects
	// stay where they are if all else is equal.
	homeRankCost = 0.1
)

// affinity returns the configured choice.
func (c *Config) affinity() ObjectAffinity {
	if c.ObjectAffinity == AffinityFixed {
		return AffinityFixed
	}
	return AffinityObserved
}

// SetObjectAffinity changes how the instances of an object are chosen.
func (p *Picker) SetObjectAffinity(a ObjectAffinity) { p.cfg.ObjectAffinity = a }

// replicas returns the number of home instances that an object with the given share of the
// requests needs in a region.
func (s *service) replicas(share float64, region string) int {
	group := s.regions[region]
	load := max(s.pressure[region], s.longPressure[region], minReplicaLoad)
	need := share * float64(len(group)) * min(1, load/replicaLoad)
	return min(maxReplicas, len(group), max(1, int(math.Ceil(need-0.25))))
}

// objectUse is what the choice of an instance depends on for a request with an object.
type objectUse struct {
	// share is the object's share of the requests, and homes the number of its home
	// instances in the region under consideration.
	share float64
	homes int
	// holding is the observed work of the route. Nil means that objects are not considered,
	// or by the fixed rule.
	holding *holdingWork
}

// recordObject records a request for an object, and looks up what the choice of its instance
// depends on.
func (p *Picker) recordObject(now time.Time, s *service, r *Request, key uint64) {
	if r.Key == "" {
		return
	}
	if p.cfg.affinity() == AffinityFixed {
		s.recordObject(now, key)
		return
	}
	s.popular.record(key)
	r.share, r.holding = s.popular.share(key), s.holdingOf(r.Route)
}

func (s *service) holdingOf(route string) *holdingWork {
	w := s.holdings[route]
	if w == nil {
		w = new(holdingWork)
		s.holdings[route] = w
	}
	return w
}

// spillKey returns the hash that decides whether a request leaves its region. The requests
// for an object with several home instances leave in parts, one for each instance.
func (p *Picker) spillKey(s *service, r *Request, key uint64) uint64 {
	n := s.replicas(r.share, p.cfg.Region)
	if n <= 1 {
		return key
	}
	p.numSplit++
	return rendezvous.Mix(key + (p.numSplit%uint64(n))*0x9e3779b97f4a7c15)
}

// numCompared returns the home instances of a request's object in a region, and the number
// of instances that are compared.
func (p *Picker) numCompared(s *service, r *Request, region string) (homes, compared int) {
	if p.cfg.affinity() == AffinityFixed {
		n := s.copies(len(s.regions[region]))
		return n, n
	}
	if r.Key == "" {
		return maxCandidates, maxCandidates
	}
	homes = s.replicas(r.share, region)
	compared = homes + s.numOthers(r.holding, region)
	if r.holding.all.weight > 0 && r.holding.gain == 0 {
		compared = max(compared, numIndifferent)
	}
	return homes, compared
}

// numOthers returns the number of instances to compare beyond the home instances: fewer while
// a region is short of capacity and its instances do not hold all objects, since each further
// copy displaces an object that then takes longest.
func (s *service) numOthers(w *holdingWork, region string) int {
	shortage := min(1, max(0, (s.pressure[region]-freePressure)/(pressureHigh-freePressure)))
	crowding := 1.0
	if w.all.weight > 0 {
		crowding = min(1, w.missRate/crowdedMissRate)
	}
	return int(math.Round(numOthers * (1 - shortage*crowding)))
}

// estimateHolding sets a candidate's expected work by what is known about the object there,
// and returns its cost.
func (p *Picker) estimateHolding(r *Request, key uint64, work time.Duration, slow float64, c *candidate) float64 {
	c.class = holdingClass{isHome: c.rank < r.homes, distance: c.inst.shadow.distance(key)}
	w := r.holding
	usual, known := w.work(c.class)
	if !known {
		usual = time.Duration(float64(work) * priorFactor(c.class.index()))
	}
	c.usual = usual
	c.work = time.Duration(float64(usual) * slow)
	c.saved = max(0, work-usual)
	gain := w.missCost
	if !known {
		gain = (priorMissFactor - 1) * work.Seconds()
	}
	cost := float64(c.wait + c.work)
	// An object that is added to an instance displaces another one there, which counts if
	// objects are missed at their home instances.
	if missed := usual.Seconds() - w.expected[0]; known && gain > 0 {
		cost += w.missRate * min(gain, max(0, missed)) * float64(time.Second)
	}
	return cost + homeRankCost*float64(c.rank)/float64(max(1, r.homes))*gain*float64(time.Second)
}

// adjustCompared drops the instances, other than the home instances, at which a request
// would queue and be late: under overload they would fill all queues with work that takes
// longest. A trial prefers an idle instance that is not known to hold the object, if the
// home instances are busy or slow. Elsewhere there is nothing to gain.
func (p *Picker) adjustCompared(r *Request, top []candidate) []candidate {
	if r.holding == nil || len(top) < 2 {
		return top
	}
	fastest := top[0].cost
	for k := range top[:min(len(top), r.homes)] {
		fastest = min(fastest, top[k].cost)
	}
	isTrial := float64(fastest) > trialCost*float64(top[0].usual) && r.holding.isTrial()
	kept := top[:0]
	for k := range top {
		c := &top[k]
		if k >= r.homes && r.Target > 0 && c.wait > 0 && c.wait+c.work > r.Target {
			continue
		}
		if isTrial && c.class == (holdingClass{distance: unseen}) && c.wait == 0 && !c.isTrial {
			c.cost, isTrial = 0, false
		}
		kept = append(kept, *c)
	}
	return kept
}

// observeHolding records the duration of a request.
func (t *Ticket) observeHolding(o *Outcome, work time.Duration) {
	weight := 1.0
	slow := 1.0
	if o.Load != nil {
		if o.Load.Waiting > 0 {
			weight = queuedWeight
		}
		if o.Load.WorkPercent > 0 {
			slow = float64(o.Load.WorkPercent) / 100
		}
	}
	if t.Wait > 0 {
		weight = queuedWeight
	}
	t.service.holdingOf(t.route).observe(t.class, work.Seconds()/slow, weight)
	t.inst.shadow.use(t.object)
}

// decayObjects ages what was observed about objects.
func (s *service) decayObjects(elapsed time.Duration) {
	s.popular.decay(elapsed)
	for _, w := range s.holdings {
		w.decay(elapsed)
	}
}

// ObjectState describes what is known about the objects of a service's route.
type ObjectState struct {
	Service, Route string
	// Gain is the share of the work that an instance saves if it holds the object.
	Gain float64
	// Held is the number of distinct objects that this VM sends to an instance until an
	// object is no longer held there, at most 128. Other VMs send further ones.
	Held float64
	// MissRate is the part of the gain that requests at home instances miss.
	MissRate float64
	// Share is the share of the most requested object among this VM's requests of the
	// service, and Replicas the number of its home instances in this VM's region.
	Share    float64
	Replicas int
}

// ObjectStates returns the states of all services' routes with objects, in order.
func (p *Picker) ObjectStates() []ObjectState {
	var out []ObjectState
	if p.cfg.affinity() == AffinityFixed {
		return nil
	}
	for _, s := range p.services {
		share := s.popular.largest()
		for route, w := range s.holdings {
			if w.all.weight >= trialWeight {
				out = append(out, ObjectState{s.name, route, w.gain, w.objectsHeld(), w.missRate, share, s.replicas(share, p.cfg.Region)})
			}
		}
	}
	slices.SortFunc(out, func(a, b ObjectState) int {
		return cmp.Or(compareIDs(a.Service, b.Service), compareIDs(a.Route, b.Route))
	})
	return out
}
