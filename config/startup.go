package config

import "time"

// startupWait is how long a starting VM waits for answers of all data centres.
// A data centre without an answer by then counts as unreachable.
const startupWait = 3 * time.Second

// Startup decides when a VM that just started may accept callers: when the store
// has confirmed its version, or at least one peer of every data centre that
// answers at all has. It guards against taking a version from a data centre that
// missed the last changes.
type Startup struct {
	began   time.Time
	centres map[string]*centre
	ready   bool
}

// centre is what the peers of one data centre have answered, by peer ID.
type centre struct {
	answered bool
	versions map[string]uint64
}

// NewStartup begins at now with the data centres of the settings or the
// platform's list.
func NewStartup(now time.Time, dataCentres []string) *Startup {
	s := &Startup{began: now, centres: make(map[string]*centre)}
	for _, dc := range dataCentres {
		s.centre(dc)
	}
	return s
}

// Expect adds a data centre from the platform's list.
func (s *Startup) Expect(dc string) { s.centre(dc) }

func (s *Startup) centre(dc string) *centre {
	c, ok := s.centres[dc]
	if !ok {
		c = &centre{versions: make(map[string]uint64)}
		s.centres[dc] = c
	}
	return c
}

// PeerAnswered notes the version of a peer.
func (s *Startup) PeerAnswered(dc, peer string, version uint64) {
	c := s.centre(dc)
	c.answered = true
	c.versions[peer] = max(version, c.versions[peer])
}

// StoreConfirmed notes that the store's head is the version in force.
func (s *Startup) StoreConfirmed(version, inForce uint64) {
	if inForce > 0 && version <= inForce {
		s.ready = true
	}
}

// Ready tells whether the version in force is confirmed. It stays true.
func (s *Startup) Ready(now time.Time, inForce uint64) bool {
	if s.ready {
		return true
	}
	if inForce == 0 {
		return false
	}
	answered, complete := false, true
	for _, c := range s.centres {
		if !c.answered {
			complete = false
			continue
		}
		answered = true
		if !c.confirms(inForce) {
			return false
		}
	}
	s.ready = answered && (complete || now.Sub(s.began) >= startupWait)
	return s.ready
}

// confirms tells whether a peer has the version in force and no peer a newer one.
func (c *centre) confirms(inForce uint64) bool {
	has := false
	for _, v := range c.versions {
		if v > inForce {
			return false
		}
		has = has || v == inForce
	}
	return has
}
