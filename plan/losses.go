package plan

// planLosses sets, for the loss of each region, where work goes and which fraction of
// it is admitted.
func (c *computation) planLosses(s *Service) {
	s.Losses = make([]Loss, c.n)
	demand := 0.0
	for o := range s.Rows {
		demand += s.Rows[o].Demand
	}
	for l := range s.Losses {
		loss := &s.Losses[l]
		loss.Rows = make([][]float64, c.n)
		loss.Admit = make([]float64, c.n)
		allowed := s.Failover * demand
		for o := range s.Rows {
			if o == l {
				loss.Rows[o], loss.Admit[o] = c.failoverRow(s, l, allowed)
				continue
			}
			loss.Rows[o] = withoutRegion(s.Rows[o].Share, l, o)
			loss.Admit[o] = c.admitAfterLoss(s, o, l, allowed)
		}
	}
}

// withoutRegion returns shares in which the own region takes a lost region's part.
func withoutRegion(share []float64, lost, own int) []float64 {
	out := append([]float64(nil), share...)
	if lost != own {
		out[own] += out[lost]
		out[lost] = 0
	}
	return out
}

// admitAfterLoss returns the fraction of work to admit in a region when another one is
// lost. The lost region's callers are assumed to spread evenly over the others.
func (c *computation) admitAfterLoss(s *Service, o, lost int, allowed float64) float64 {
	others := float64(max(1, c.n-1))
	own, extra := s.Rows[o].Demand, s.Rows[lost].Demand/others
	if own+extra <= 0 {
		return 1
	}
	return min(1, (own+allowed/others)/(own+extra))
}

// failoverRow returns the shares by which the entry VMs of a region distribute their
// work when the region's own instances are lost, and the fraction that is admitted.
// Targets get work in proportion to their room, so that none is full before the others.
func (c *computation) failoverRow(s *Service, l int, allowed float64) ([]float64, float64) {
	st := c.state[s]
	row := &s.Rows[l]
	room := make([]float64, c.n)
	sum := 0.0
	for t := range c.n {
		if t == l || c.plan.Links[l][t] == 0 {
			continue
		}
		room[t] = max(0, st.remoteCapacity[t]*(1-c.in.Rules.Headroom())-localWork(s, t)-c.inboundWork(s, t, l))
		sum += room[t]
	}
	share := make([]float64, c.n)
	if sum <= 0 {
		share[l] = 1
		return share, 0
	}
	want := min(row.Demand, allowed, sum)
	placed := 0.0
	for t := range c.n {
		share[t] = room[t] / sum
		if row.Demand > 0 {
			share[t] = c.reserveLink(c.linkFreeAfterLoss[l], row, l, t, want*room[t]/sum)
		}
		placed += share[t]
	}
	if placed <= 0 {
		share[l] = 1
		return share, 0
	}
	for t := range share {
		share[t] /= placed
	}
	if row.Demand <= 0 {
		return share, 1
	}
	return share, min(1, placed/row.Demand)
}

// inboundWork returns the work of other regions planned in t, except that of one
// region.
func (c *computation) inboundWork(s *Service, t, except int) float64 {
	sum := 0.0
	for o := range s.Rows {
		if o != t && o != except {
			sum += s.Rows[o].Demand * s.Rows[o].Share[t]
		}
	}
	return sum
}

// setRemoteLimits sets how much concurrent work of other regions each region accepts.
// A limit is reduced at once but raised only by more than a tenth, so that noise in the
// measurements doesn't change the shares of all VMs.
func (c *computation) setRemoteLimits(s *Service) {
	st := c.state[s]
	for t := range s.Limit {
		limit := int(max(0, st.remoteCapacity[t]*(1-c.in.Rules.Headroom())-localWork(s, t)))
		if st.prev != nil {
			old := st.prev.Limit[t]
			if limit > old && limit <= old+old/10+1 {
				limit = old
			}
		}
		s.Limit[t] = limit
	}
}
