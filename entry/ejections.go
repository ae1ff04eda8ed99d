package entry

import (
	"github.com/currantferry/currantferry/event"
)

// Steps of an ejection, the values of label "step" of counter instance_ejections.
const (
	stepEjected    = "ejected"
	stepReadmitted = "readmitted"
)

// logEjections logs and counts the changes of ejections since the last call. The lock is
// held.
func (s *selector) logEjections() {
	for _, c := range s.picker.EjectionChanges() {
		if c.Duration == 0 {
			s.ejectionCounters[stepReadmitted].Inc(1)
			event.InstanceReadmitted.Log(s.log, "id", c.ID, "service", c.Service, "reason", string(c.Reason), "lasted_ms", c.Lasted.Milliseconds())
			continue
		}
		s.ejectionCounters[stepEjected].Inc(1)
		event.InstanceEjected.Log(s.log, "id", c.ID, "service", c.Service, "reason", string(c.Reason), "until_trial_ms", c.Duration.Milliseconds(), "lasted_ms", c.Lasted.Milliseconds())
	}
}
