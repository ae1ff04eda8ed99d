package balance

import "time"

// Stat is the state of one instance as this VM sees it.
type Stat struct {
	ID    string
	Slots int
	// InFlight is this VM's requests on the instance.
	InFlight int
	// Slow instances get no ordinary work because of their latency.
	Slow     bool
	Draining bool
	// ReportAge is the age of the newest load report. Negative means none.
	ReportAge time.Duration
}

// Stats returns the instances that are not removed, in no order.
func (b *Balancer) Stats(now time.Time) []Stat {
	t := b.ns(now)
	out := make([]Stat, 0, len(b.instances))
	for i := range b.instances {
		in := &b.instances[i]
		if in.removed {
			continue
		}
		s := Stat{
			ID: in.id, Slots: int(in.slots), InFlight: int(in.total()), Draining: in.draining,
			Slow: b.slow(in, t), ReportAge: -1,
		}
		if in.reportAt != -never {
			s.ReportAge = time.Duration(t - in.reportAt)
		}
		out = append(out, s)
	}
	return out
}
