package roster

import "slices"

// Snapshot is the set of VMs that share, and this VM's standing among them.
type Snapshot struct {
	Self     VM
	Standing Standing
	// Members are the VMs that may act, ordered by ID, always with this VM.
	Members []Member
	// Idle are VMs without a part that may go on serving, in no order.
	Idle []Member
	// numSharers is the number of VMs that share what belongs to this VM's region.
	numSharers int
	// digest is a hash of the members of this VM's region.
	digest uint32
}

// IsActing reports whether this VM may use its part.
func (s *Snapshot) IsActing() bool { return s.Standing == Acting }

// In returns the members that share what belongs to a region: those of the region, or all if it has
// none.
func (s *Snapshot) In(region string) []Member {
	if local := s.members(region); len(local) > 0 {
		return local
	}
	return s.Members
}

func (s *Snapshot) members(region string) (out []Member) {
	for _, m := range s.Members {
		if m.Region == region {
			out = append(out, m)
		}
	}
	return out
}

// NumSharers returns the number of VMs by which what belongs to a region is divided: the members, or more
// if another VM of this VM's region counts more.
func (s *Snapshot) NumSharers(region string) int {
	n := len(s.In(region))
	if region == s.Self.Region {
		n = max(n, s.numSharers)
	}
	return n
}

// Candidates returns those of several members that may be given a duty, such as that of a
// coordinator: the ones with a record, or all if none has one. VMs may disagree on them, so a
// duty must not be worth more than the part of those that assign it.
func Candidates(members []Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if m.HasRecord() {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return members
	}
	return out
}

// Contains reports whether a VM is one of several members.
func Contains(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// Part returns this VM's part, by weight, of what all VMs share: zero unless it acts.
func (s *Snapshot) Part() float64 {
	if !s.IsActing() {
		return 0
	}
	// Members that only others know are taken to be like this VM.
	total := float64(s.NumSharers(s.Self.Region)-len(s.In(s.Self.Region))) * s.Self.Weight
	for _, m := range s.Members {
		total += m.Weight
	}
	if total <= 0 {
		return 0
	}
	return s.Self.Weight / total
}
