package placement

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/rendezvous"
)

// deployment is the main service of one of the two users, at its present size.
type deployment struct {
	name    string
	regions []simRegion
	work    time.Duration
	target  time.Duration
	objects int
	// rate is the requests per second of a region under normal load.
	rate float64
	// The fields below override the simulation's defaults if they are not zero: the number
	// of objects that an instance holds, the part of the work that a held object saves,
	// the share of long requests, the route's timeout, and the number of VMs that receive
	// each digest.
	maxObjects  int
	warmGain    float64
	tail        float64
	limit       time.Duration
	digestPeers int
}

func (d *deployment) sim(seed uint64, load simLoad) *sim {
	s := newSim(seed, d.regions, load)
	s.work, s.target, s.objects = d.work, d.target, d.objects
	s.tail, s.limit, s.digestPeers = d.tail, d.limit, d.digestPeers
	if d.warmGain > 0 {
		s.warmGain = d.warmGain
	}
	if d.maxObjects > 0 {
		for _, i := range s.instances {
			i.maxObjects = d.maxObjects
		}
	}
	return s
}

var deployments = []deployment{
	{name: "rolregister", regions: threeRegions, work: 340 * time.Millisecond, target: 400 * time.Millisecond, objects: 192, rate: 150},
	{
		name: "abtropf", regions: []simRegion{{"donauraum", 4, 2}, {"alpenwest", 4, 12}, {"drautal", 3, 14}},
		work: 540 * time.Millisecond, target: 500 * time.Millisecond, objects: 115, rate: 90,
	},
	largeRegister,
}

// largeRegister is the large fleet: one region has a tenth of the instances and a third
// of the callers, work takes longer than its target unless the object is held, and an
// instance holds few objects.
var largeRegister = deployment{
	name: "rolregister-large", regions: []simRegion{{"randstad", 98, 576}, {"noord", 97, 117}, {"zuid", 98, 483}},
	work: 2160 * time.Millisecond, target: 1500 * time.Millisecond, objects: 2889, rate: 762,
	maxObjects: 15, warmGain: 0.75, tail: 0.03, limit: 4 * time.Second, digestPeers: 24,
}

// pattern is a load under which the policies are compared.
type pattern struct {
	name  string
	noise float64
	load  func(rate float64) simLoad
	// faults schedules faults of instances. Nil means none.
	faults func(s *sim)
}

var patterns = []pattern{
	{"Calm", 0.15, func(rate float64) simLoad { return steady(rate) }, nil},
	{"Heavy", 0.15, func(rate float64) simLoad { return steady(2.4 * rate) }, nil},
	{"Burst", 0.15, func(rate float64) simLoad {
		return func(_ string, at time.Duration) float64 {
			if at > 10*time.Second && at < 16*time.Second {
				return 3 * rate
			}
			return 1.4 * rate
		}
	}, nil},
	{"Slow", 0.15, func(rate float64) simLoad { return steady(rate) }, func(s *sim) { s.slowEighth(8*time.Second, 20*time.Second) }},
	{"Flap", 0.15, func(rate float64) simLoad { return steady(rate) }, func(s *sim) { s.flapEighth(8*time.Second, 20*time.Second) }},
}

// slowEighth makes every eighth instance six times as slow for a while, without a sign
// of it in the load reports.
func (s *sim) slowEighth(from, until time.Duration) {
	for n := 0; n < len(s.ids); n += 8 {
		i := s.instances[s.ids[n]]
		s.at(s.start.Add(from), func() { i.hiddenSlowdown = 6 })
		s.at(s.start.Add(until), func() { i.hiddenSlowdown = 0 })
	}
}

// flapEighth makes every eighth instance refuse connections in every other second.
func (s *sim) flapEighth(from, until time.Duration) {
	for n := 0; n < len(s.ids); n += 8 {
		i := s.instances[s.ids[n]]
		for at := from; at < until; at += 2 * time.Second {
			s.at(s.start.Add(at), func() { i.down = true })
			s.at(s.start.Add(at+time.Second), func() { i.down = false })
		}
	}
}

// policies are this package's placement, the baselines, and a policy with complete
// knowledge.
var policies = []struct {
	name string
	set  func(s *sim)
}{
	{"currantferry", func(s *sim) { s.digests = 200 * time.Millisecond }},
	{"without-digests", func(*sim) {}},
	{"random", func(s *sim) { s.choose = s.randomOfRegion }},
	{"plain-hash", func(s *sim) { s.choose = s.firstOfRegion }},
	{"all-knowing", func(s *sim) {
		s.choose = func(r *simRequest) *simInstance {
			return s.earliestCompletion(r, func(*simInstance) bool { return true })
		}
	}},
}

// BenchmarkPlacement compares the policies on the same arrivals. It reports the
// requests in time, late, refused, shed or failed by instances, and those that found
// their object held, in percent.
func BenchmarkPlacement(b *testing.B) {
	for _, p := range patterns {
		for _, d := range deployments {
			for _, policy := range policies {
				b.Run(p.name+"/"+d.name+"/"+policy.name, func(b *testing.B) {
					var w simWindow
					for range b.N {
						s := d.sim(seedOf(b), p.load(d.rate))
						s.noise = p.noise
						policy.set(s)
						if p.faults != nil {
							p.faults(s)
						}
						s.run(32 * time.Second)
						w = s.sum(0, 30*time.Second)
					}
					percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
					b.ReportMetric(percent(w.inTime, w.asked), "in-time-%")
					b.ReportMetric(percent(w.late, w.asked), "late-%")
					b.ReportMetric(percent(w.refused, w.asked), "refused-%")
					b.ReportMetric(percent(w.shed, w.asked), "shed-%")
					b.ReportMetric(percent(w.failed, w.asked), "failed-%")
					b.ReportMetric(percent(w.hits, w.sent), "held-%")
				})
			}
		}
	}
}

// randomOfRegion returns a random instance of the caller's region.
func (s *sim) randomOfRegion(r *simRequest) *simInstance {
	var group []*simInstance
	for _, id := range s.ids {
		if i := s.instances[id]; i != nil && i.Region == r.region {
			group = append(group, i)
		}
	}
	return group[s.rng.IntN(len(group))]
}

// firstOfRegion returns the first instance of the caller's region in the object's
// rendezvous order.
func (s *sim) firstOfRegion(r *simRequest) *simInstance {
	var best *simInstance
	var topScore uint64
	for _, id := range s.ids {
		if i := s.instances[id]; i != nil && i.Region == r.region {
			if score := rendezvous.Mix(hashOf(r.key) ^ hashOf(i.ID)); best == nil || score > topScore {
				best, topScore = i, score
			}
		}
	}
	return best
}

// earliestCompletion returns the usable instance that would answer first, given the current
// queues, objects and slowness of all instances, or nil. It decides on one request at a time,
// so its result is not a proven optimum, but no VM can know as much.
func (s *sim) earliestCompletion(r *simRequest, isUsable func(*simInstance) bool) *simInstance {
	var best *simInstance
	var shortest float64
	for _, id := range s.ids {
		i := s.instances[id]
		if i == nil || i.down || !isUsable(i) {
			continue
		}
		work := float64(s.work) * i.slow
		if i.hiddenSlowdown > 0 {
			work *= i.hiddenSlowdown
		}
		usual := work * (1 - s.warmGain)
		if i.objects[r.key] != nil {
			work = usual
		}
		ahead := max(0, i.running+len(i.queue)+1-i.Slots)
		took := float64(ahead)/float64(i.Slots)*usual + work + 2*float64(s.delay(r.region, i.Region))
		if best == nil || took < shortest {
			best, shortest = i, took
		}
	}
	return best
}
