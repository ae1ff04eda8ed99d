package config

import "time"

// startupTimeout is how long a starting VM waits for an answer from every data
// centre. A data centre that has not answered by then is treated as unreachable.
const startupTimeout = 3 * time.Second

// StartupGate decides when a VM that just started may accept callers: as soon as its
// version is confirmed by the store, or by at least one peer in every reachable
// data centre. This prevents a VM from serving with a version from a data centre
// that missed the most recent changes.
type StartupGate struct {
	startedAt   time.Time
	dataCentres map[string]*dataCentreState
	ready       bool
}

// dataCentreState holds the answers from one data centre: the version of each
// peer, by peer ID.
type dataCentreState struct {
	answered bool
	versions map[string]uint64
}

// NewStartupGate returns a StartupGate for a VM that starts at now. dataCentres come from
// the settings or the platform's list.
func NewStartupGate(now time.Time, dataCentres []string) *StartupGate {
	s := &StartupGate{startedAt: now, dataCentres: make(map[string]*dataCentreState)}
	for _, dc := range dataCentres {
		s.dataCentre(dc)
	}
	return s
}

// AddDataCentre adds a data centre from the platform's list to those that must answer.
func (s *StartupGate) AddDataCentre(dc string) { s.dataCentre(dc) }

// dataCentre returns the state of a data centre, which it adds if needed.
func (s *StartupGate) dataCentre(dc string) *dataCentreState {
	c, ok := s.dataCentres[dc]
	if !ok {
		c = &dataCentreState{versions: make(map[string]uint64)}
		s.dataCentres[dc] = c
	}
	return c
}

// PeerAnswered records the version of a peer.
func (s *StartupGate) PeerAnswered(dc, peer string, version uint64) {
	c := s.dataCentre(dc)
	c.answered = true
	c.versions[peer] = max(version, c.versions[peer])
}

// StoreConfirmed records the version of the store's head. It confirms the version
// in force unless the store has a newer one.
func (s *StartupGate) StoreConfirmed(version, inForce uint64) {
	if inForce > 0 && version <= inForce {
		s.ready = true
	}
}

// IsReady reports whether the version in force is confirmed. Once true, it stays
// true.
func (s *StartupGate) IsReady(now time.Time, inForce uint64) bool {
	if s.ready {
		return true
	}
	if inForce == 0 {
		return false
	}
	anyAnswered, allAnswered := false, true
	for _, c := range s.dataCentres {
		if !c.answered {
			allAnswered = false
			continue
		}
		anyAnswered = true
		if !c.hasConfirmed(inForce) {
			return false
		}
	}
	s.ready = anyAnswered && (allAnswered || now.Sub(s.startedAt) >= startupTimeout)
	return s.ready
}

// hasConfirmed reports whether a peer of the data centre has the version in force
// and none has a newer one.
func (c *dataCentreState) hasConfirmed(inForce uint64) bool {
	hasVersion := false
	for _, v := range c.versions {
		if v > inForce {
			return false
		}
		hasVersion = hasVersion || v == inForce
	}
	return hasVersion
}
