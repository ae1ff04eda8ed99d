package control

import (
	"slices"

	"github.com/currantferry/currantferry/member"
)

// maxGoneRounds is how many rounds a VM that is considered gone may leave
// unanswered before a survey no longer waits for it. A round without an answer
// takes up to inForceCallTimeout, so three of them exceed the time after which
// a VM that runs but lacks processor time is wrongly considered gone.
const maxGoneRounds = 3

// survey counts the VMs that have a version in force. It does no I/O.
type survey struct {
	version  uint64
	upToDate map[string]bool
	// missedRounds counts the rounds without an answer since the last answer.
	missedRounds map[string]int
}

func newSurvey(version uint64) *survey {
	return &survey{version: version, upToDate: make(map[string]bool), missedRounds: make(map[string]int)}
}

// isIncluded reports whether a VM is part of the survey. A VM may be
// considered gone by mistake: as long as the platform lists it and it has not
// announced the end of its process, it is asked like the others.
func (s *survey) isIncluded(m member.Member) bool {
	switch {
	case m.Incarnation.Boot == 0 || m.Departed || m.IsLost():
		return false
	case m.State == member.Gone:
		return s.upToDate[m.ID] || s.missedRounds[m.ID] < maxGoneRounds
	default:
		return true
	}
}

// shouldAsk reports whether a VM is asked in the next round.
func (s *survey) shouldAsk(m member.Member) bool { return s.isIncluded(m) && !s.upToDate[m.ID] }

func (s *survey) recordAnswer(id string, version uint64) {
	delete(s.missedRounds, id)
	if version >= s.version {
		s.upToDate[id] = true
	}
}

func (s *survey) recordMiss(id string) { s.missedRounds[id]++ }

func (s *survey) progress(members []member.Member) Progress {
	p := Progress{Version: s.version}
	for _, m := range members {
		switch {
		case !s.isIncluded(m):
		case s.upToDate[m.ID]:
			p.InForce++
		default:
			p.Lagging = append(p.Lagging, m.ID)
		}
	}
	p.Total = p.InForce + len(p.Lagging)
	slices.Sort(p.Lagging)
	return p
}
