package placement

import (
	"math"
	"time"
)

const (
	// maxPopular bounds the objects whose requests are counted. An object with more than
	// 1/maxPopular of the requests is always among them.
	maxPopular = 64
	// popularHalfLife is the time after which a request has half its weight in an object's
	// share. An object may become popular within 2 s.
	popularHalfLife = 2 * time.Second
	// shareCaution is the number of standard deviations by which a share is reduced. A VM
	// with few requests a second would otherwise take each object that it sees twice for a
	// popular one.
	shareCaution = 1.5
)

// popularObjects estimates the shares of the most requested objects of a service among this
// VM's requests, by space saving with decaying counters.
type popularObjects struct {
	entries [maxPopular]popularObject
	used    int
	total   float64
}

// popularObject is a counted object. over bounds how much of count belongs to other objects
// whose counter this one took over.
type popularObject struct {
	key         uint64
	count, over float64
}

// record counts a request for an object.
func (o *popularObjects) record(key uint64) {
	o.total++
	lowest := 0
	for k := range o.entries[:o.used] {
		e := &o.entries[k]
		if e.key == key {
			e.count++
			return
		}
		if e.count < o.entries[lowest].count {
			lowest = k
		}
	}
	if o.used < maxPopular {
		o.entries[o.used] = popularObject{key: key, count: 1}
		o.used++
		return
	}
	e := &o.entries[lowest]
	*e = popularObject{key: key, count: e.count + 1, over: e.count}
}

// share returns an object's share of the requests, reduced by what may be chance.
func (o *popularObjects) share(key uint64) float64 {
	for k := range o.entries[:o.used] {
		if e := &o.entries[k]; e.key == key {
			return o.shareOf(e)
		}
	}
	return 0
}

func (o *popularObjects) shareOf(e *popularObject) float64 {
	seen := e.count - e.over
	return max(0, seen-shareCaution*math.Sqrt(seen)) / max(1, o.total)
}

// largest returns the largest share of an object.
func (o *popularObjects) largest() (share float64) {
	for k := range o.entries[:o.used] {
		share = max(share, o.shareOf(&o.entries[k]))
	}
	return share
}

// decay reduces the weight of the requests counted so far.
func (o *popularObjects) decay(elapsed time.Duration) {
	weight := decay(elapsed, popularHalfLife)
	o.total *= weight
	for k := range o.entries[:o.used] {
		o.entries[k].count *= weight
		o.entries[k].over *= weight
	}
}
