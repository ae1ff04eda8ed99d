package placement

import "time"

// coldSettleTime is the length of the window in which the requests at a cold instance are bounded. When an
// instance that is in use becomes cold, what it got in such a time before counts.
const coldSettleTime = time.Second

// ColdTarget is an instance that may be asked whether it is cold.
type ColdTarget struct {
	Instance Instance
	// Process is the hash of the process.
	Process uint64
	// HealthPath is the path that answers.
	HealthPath string
}

// ColdHint says that a process is cold though its record may not say so.
type ColdHint struct {
	Process uint64
	// Remaining is how much longer it is cold.
	Remaining time.Duration
}

// ColdTargets returns the instances of this VM's region whose services bound the rate of cold ones and
// name a path to ask them.
func (p *Picker) ColdTargets() (out []ColdTarget) {
	for _, s := range p.services {
		for _, i := range s.regions[p.cfg.Region] {
			if i.ColdRate > 0 && i.HealthPath != "" && !i.isReplaced && !i.state.IsLeaving() {
				out = append(out, ColdTarget{i.Instance, i.processID, i.HealthPath})
			}
		}
	}
	return out
}

// ApplyColdHint makes an instance cold for a while. It never ends the time for which it is cold. It returns
// the instance if it was not known to be cold.
func (p *Picker) ApplyColdHint(now time.Time, h ColdHint) (i Instance, isNew bool) {
	if h.Remaining <= 0 {
		return Instance{}, false
	}
	for _, s := range p.services {
		for _, c := range s.instances {
			if c.processID != h.Process {
				continue
			}
			isNew = !c.isCold(now)
			if isNew {
				c.settleCold(now)
			}
			if until := now.Add(h.Remaining); until.After(c.hintedColdUntil) {
				c.hintedColdUntil = until
			}
			return c.Instance, isNew
		}
	}
	return Instance{}, false
}

// settleCold withholds requests from an instance that has become cold while it was in use.
func (i *instance) settleCold(now time.Time) { i.coldTokens, i.coldAt = 0, now.Add(coldSettleTime) }

func (i *instance) isCold(now time.Time) bool {
	return i.ColdRate > 0 && (now.Before(i.ColdUntil) || now.Before(i.hintedColdUntil))
}
