package inventory

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"
)

// Team is a customer of the platform, whose callers identify themselves by one of its keys.
type Team struct {
	Name string
	// Keys are the secrets of the team's callers. They are not logged or exported.
	Keys []string
	// Priority, unless nil, replaces that of the routes.
	Priority *int
	// Rate and Burst are the team's cap over all VMs: requests per second, and requests
	// beyond them. Rate zero means no cap.
	Rate, Burst float64
	// Regions lists the regions that may serve the team. Empty means all.
	Regions []string
}

// TeamTable finds teams by their names and keys. It is immutable.
type TeamTable struct {
	byName map[string]*Team
	// byKey has keyed hashes, so that the time of a look-up tells nothing about the keys.
	byKey  map[[sha256.Size]byte]*Team
	secret []byte
	shared [][2]string
}

// NewTeamTable returns the table of the teams of a version, or nil if the version has no
// teams, so that requests need no key. secret is the key of the hashes. A key that several
// teams have belongs to the first of them.
func NewTeamTable(r *Routes, secret []byte) *TeamTable {
	if !r.HasTeams {
		return nil
	}
	t := &TeamTable{byName: make(map[string]*Team, len(r.Teams)), byKey: make(map[[sha256.Size]byte]*Team, len(r.Teams)), secret: secret}
	for i := range r.Teams {
		team := &r.Teams[i]
		if t.byName[team.Name] == nil {
			t.byName[team.Name] = team
		}
		for _, key := range team.Keys {
			if key == "" {
				continue
			}
			sum := t.hash(key)
			if first := t.byKey[sum]; first == nil {
				t.byKey[sum] = team
			} else if first != team {
				t.shared = append(t.shared, [2]string{first.Name, team.Name})
			}
		}
	}
	return t
}

func (t *TeamTable) hash(key string) (sum [sha256.Size]byte) {
	h := hmac.New(sha256.New, t.secret)
	h.Write([]byte(key))
	h.Sum(sum[:0])
	return sum
}

// ByKey returns the team with a key, or nil.
func (t *TeamTable) ByKey(key string) *Team {
	if key == "" {
		return nil
	}
	return t.byKey[t.hash(key)]
}

// ByName returns the team with a name, or nil.
func (t *TeamTable) ByName(name string) *Team { return t.byName[name] }

// SharedKeys returns the pairs of teams that have a key in common, the one to which the key
// belongs first.
func (t *TeamTable) SharedKeys() [][2]string { return t.shared }

// CommonRegions returns the regions that a route and a team both allow. Either list may be
// empty, which allows all. ok is false if both name regions but none in common.
func CommonRegions(route, team []string) (regions []string, ok bool) {
	switch {
	case len(team) == 0:
		return route, true
	case len(route) == 0:
		return team, true
	}
	for _, region := range route {
		if slices.Contains(team, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}
