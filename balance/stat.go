package balance

import "time"

// Stat is the state of one instance as this VM sees it.
type Stat struct {
	ID    string
	Slots int
	// InFlight is the number of this VM's requests in flight on the instance.
	InFlight int
	// Slow means that the instance gets no ordinary work because it is suspected.
	Slow     bool
	Draining bool
	// ReportAge is the age of the newest load report, negative if there is none.
	ReportAge time.Duration
}

// Stats returns the state of the instances that are not removed, in no particular
// order.
func (b *Balancer) Stats(now time.Time) []Stat {
	t := b.ns(now)
	out := make([]Stat, 0, len(b.instances))
	for i := range b.instances {
		in := &b.instances[i]
		if in.isRemoved {
			continue
		}
		s := Stat{
			ID: in.id, Slots: int(in.slots), InFlight: int(in.total()), Draining: in.isDraining,
			Slow: b.isSlow(in, t), ReportAge: -1,
		}
		if in.reportAt != -never {
			s.ReportAge = time.Duration(t - in.reportAt)
		}
		out = append(out, s)
	}
	return out
}
