package entry

import (
	"math"
	"time"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
)

const (
	// objectLogInterval is how often the states of objects are looked at.
	objectLogInterval = 5 * time.Second
	// minLoggedGainChange is the smallest change of the gain that is logged, and
	// minLoggedReplicaFactor the factor by which the number of replicas must change.
	minLoggedGainChange    = 0.1
	minLoggedReplicaFactor = 1.5
)

// objectLog is what was logged about the objects of the routes.
type objectLog struct {
	at     time.Time
	logged map[objectRoute]placement.ObjectState
}

type objectRoute struct{ service, route string }

// logObjects logs, for each route whose requests name objects, what holding gains if that or
// the number of replicas has changed. The lock is held.
func (s *selector) logObjects(now time.Time) {
	l := &s.objectLog
	if now.Sub(l.at) < objectLogInterval {
		return
	}
	l.at = now
	if l.logged == nil {
		l.logged = make(map[objectRoute]placement.ObjectState)
	}
	for _, state := range s.picker.ObjectStates() {
		key := objectRoute{state.Service, state.Route}
		last, known := l.logged[key]
		grown := float64(max(state.Replicas, 1)) / float64(max(last.Replicas, 1))
		if known && math.Abs(state.Gain-last.Gain) < minLoggedGainChange && max(grown, 1/grown) < minLoggedReplicaFactor {
			continue
		}
		l.logged[key] = state
		event.ObjectAffinityChanged.Log(s.log, "service", state.Service, "route", state.Route, "gain", state.Gain, "held", math.Round(state.Held),
			"missed", state.MissRate, "largest_share", state.Share, "replicas", state.Replicas)
	}
}
