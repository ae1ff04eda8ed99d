package placement

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxShadow is the number of objects per instance whose order of use is remembered. The
	// instances known so far hold up to 85.
	maxShadow = 128
	// numDistances is the number of classes of known distances: 0 and 1, 2 and 3, 4 to 7, and
	// so on up to maxShadow-1.
	numDistances = 7
	// unseen is the class of objects that this VM did not send to the instance lately.
	unseen = numDistances
	// numHoldingClasses is the number of classes of each of the home instances and of the
	// others.
	numHoldingClasses = numDistances + 1

	// priorMissFactor is how much longer than on a held object work on one that is not held
	// is assumed to take until enough durations were observed, and priorWeight the number of
	// observations that the assumption is worth.
	priorMissFactor = 3.0
	priorWeight     = 6.0
	// maxHoldingWeight bounds the observations that a mean remembers.
	maxHoldingWeight = 64.0
	// holdingHalfLife is the time after which observations have half their weight.
	holdingHalfLife = 5 * time.Minute
	// queuedWeight is the weight of a duration that includes queueing time, which is
	// subtracted as estimated.
	queuedWeight = 0.2
	// maxDurationRatio bounds a single duration in units of the route's mean, so that rare
	// long requests do not decide.
	maxDurationRatio = 4.0
	// minGain is the smallest share of the work that counts as a gain by holding.
	minGain = 0.1
	// missPriorWeight is the weight of the assumption about objects that are not held. It is
	// small because few requests go to such instances.
	missPriorWeight = 2.0
	// One in trialInterval requests that would wait goes to an idle instance that is not
	// known to hold its object while fewer than trialWeight durations of such requests were observed and nothing else
	// tells what holding gains.
	trialInterval = 16
	trialWeight   = 6.0
	// trialCost is the cost of the home instances, in units of their usual work, from which a
	// request may be a trial.
	trialCost = 1.4
	// evidentMiss is how much longer than others requests for objects new to this VM take at
	// home instances if holding evidently gains something.
	evidentMiss = 1.5
)

// shadow lists the objects that this VM sent to an instance, the last one first. If the
// instance evicts the least recently used object, an object's position tells how likely it
// is still held.
type shadow struct {
	objects []uint32
}

// distance returns the class of an object's position.
func (s *shadow) distance(key uint64) int {
	for k, o := range s.objects {
		if o == uint32(key) {
			return distanceClass(k)
		}
	}
	return unseen
}

func distanceClass(position int) int { return max(0, bits.Len(uint(position))-1) }

// use moves an object to the front.
func (s *shadow) use(key uint64) {
	at := len(s.objects)
	for k, o := range s.objects {
		if o == uint32(key) {
			at = k
			break
		}
	}
	if at == len(s.objects) {
		if at < maxShadow {
			s.objects = append(s.objects, 0)
		} else {
			at--
		}
	}
	copy(s.objects[1:at+1], s.objects[:at])
	s.objects[0] = uint32(key)
}

// holdingClass says what this VM knows about whether an instance holds an object.
type holdingClass struct {
	// isHome says that the instance is one of those to which all VMs send the object.
	isHome   bool
	distance int
}

func (c holdingClass) index() int {
	if c.isHome {
		return c.distance
	}
	return numHoldingClasses + c.distance
}

// weightedMean is a mean of durations in seconds.
type weightedMean struct{ sum, weight float64 }

func (m *weightedMean) add(value, weight float64) {
	if total := m.weight + weight; total > maxHoldingWeight {
		m.scale((maxHoldingWeight - weight) / m.weight)
	}
	m.sum += weight * value
	m.weight += weight
}

func (m *weightedMean) scale(factor float64) { m.sum, m.weight = m.sum*factor, m.weight*factor }

// towards returns the mean together with a prior value of the given weight.
func (m *weightedMean) towards(prior, weight float64) float64 {
	return (m.sum + weight*prior) / (m.weight + weight)
}

// holdingWork is the observed durations of a route's requests, without queueing and at an
// instance of the usual speed, by what this VM knew about the object.
type holdingWork struct {
	classes [2 * numHoldingClasses]weightedMean
	// all sums durations, and the factors by which the prior assumptions explain them.
	all      weightedMean
	priorSum float64
	// expected are the estimates in seconds.
	expected [2 * numHoldingClasses]float64
	// gain is the share of the work that holding saves, and missCost the time it saves in
	// seconds.
	gain, missCost float64
	// missRate is the part of the gain that requests at home instances miss. It starts at 1,
	// because new instances hold nothing.
	missRate float64
	// numPicks counts requests that could be trials.
	numPicks int
}

// priorFactor returns the assumed duration in units of work on a held object.
func priorFactor(class int) float64 {
	if class == numHoldingClasses+unseen {
		return priorMissFactor
	}
	return 1
}

// factor is priorFactor with the miss factor learned so far.
func (w *holdingWork) factor(class int) float64 {
	if f := priorFactor(class); f == 1 || w.expected[0] <= 0 {
		return f
	}
	return w.expected[class] / w.expected[0]
}

// observe adds a duration.
func (w *holdingWork) observe(c holdingClass, seconds, weight float64) {
	class := c.index()
	if w.all.weight > priorWeight {
		seconds = min(seconds, maxDurationRatio*w.all.sum/w.all.weight)
	}
	before := w.all.weight
	w.all.add(seconds, weight)
	// priorSum decays like the mean.
	if before > 0 {
		w.priorSum *= (w.all.weight - weight) / before
	}
	w.priorSum += weight * w.factor(class)
	w.classes[class].add(seconds, weight)
	w.estimate()
	if before == 0 {
		w.missRate = 1
	}
	if w.missCost > 0 {
		missed := min(1, max(0, (seconds-w.expected[0])/w.missCost))
		if c.isHome {
			w.missRate += (missed - w.missRate) * weight / maxHoldingWeight
		}
	}
}

// estimate updates the expected durations. Each class with few observations is taken to be
// like the one before it.
func (w *holdingWork) estimate() {
	held := w.all.sum / max(w.priorSum, 1e-9)
	prior := held
	for d := range numDistances {
		w.expected[d] = w.classes[d].towards(prior, priorWeight)
		prior = w.expected[d]
	}
	w.expected[unseen] = w.classes[unseen].towards(w.expected[0], priorWeight)
	prior = w.expected[0]
	for d := range numDistances {
		w.expected[numHoldingClasses+d] = w.classes[numHoldingClasses+d].towards(prior, priorWeight)
		prior = w.expected[numHoldingClasses+d]
	}
	miss := w.classes[numHoldingClasses+unseen].towards(priorMissFactor*w.expected[0], missPriorWeight)
	w.expected[numHoldingClasses+unseen] = miss
	w.missCost = max(0, miss-w.expected[0])
	w.gain = w.missCost / max(miss, 1e-9)
	if w.gain < minGain {
		w.gain, w.missCost = 0, 0
	}
}

// work returns the expected duration of work for a class, if any was observed.
func (w *holdingWork) work(c holdingClass) (time.Duration, bool) {
	if w == nil || w.all.weight == 0 {
		return 0, false
	}
	return time.Duration(w.expected[c.index()] * float64(time.Second)), true
}

// isTrial reports whether this request is to be sent to an instance that is not known to
// hold its object, because too little is known about the work there.
func (w *holdingWork) isTrial() bool {
	w.numPicks++
	isKnown := w.classes[numHoldingClasses+unseen].weight >= trialWeight ||
		(w.classes[unseen].weight > trialWeight && w.expected[unseen] > evidentMiss*w.expected[0])
	return !isKnown && w.numPicks%trialInterval == 0 && w.all.weight > trialWeight
}

// decay reduces the weight of the observations so far.
func (w *holdingWork) decay(elapsed time.Duration) {
	weight := decay(elapsed, holdingHalfLife)
	for k := range w.classes {
		w.classes[k].scale(weight)
	}
}

// objectsHeld returns the number of this VM's distinct objects after whose use an object is
// no longer held by an instance, at most maxShadow.
func (w *holdingWork) objectsHeld() float64 {
	if w.gain == 0 {
		return 0
	}
	middle := w.expected[0] + w.missCost/2
	before := w.expected[0]
	for d := 1; d < numDistances; d++ {
		here := w.distanceMean(d)
		if here >= middle {
			part := (middle - before) / max(here-before, 1e-9)
			return math.Exp2(float64(d) + part)
		}
		before = here
	}
	return maxShadow
}

// distanceMean returns the expected duration at a distance, at home instances and others.
func (w *holdingWork) distanceMean(d int) float64 {
	home, other := &w.classes[d], &w.classes[numHoldingClasses+d]
	total := home.weight + other.weight + 2
	return ((home.weight+1)*w.expected[d] + (other.weight+1)*w.expected[numHoldingClasses+d]) / total
}
