package member

import "time"

// Step takes a message. For a request it returns the reply.
func (c *Cluster) Step(now time.Time, m Message) (reply *Message, effects []Effect) {
	if m.To != c.self.key || m.From == c.self.info.ID {
		return nil, nil
	}
	// The sender's own update comes first, so that a new VM is known below.
	for i := range m.Updates {
		c.apply(now, &m.Updates[i], m.From)
	}
	e := c.entries[m.From]
	if e == nil {
		if !m.Reply {
			reply = c.compose(now, &entry{info: Info{ID: m.From}, key: Key(m.From)})
			reply.Reply, reply.Unknown = true, true
		}
		return reply, c.take()
	}
	first := !e.contacted
	c.hear(now, e, &m)
	c.applyDocs(e, &m)
	if m.StoreStamp > c.storeStamp {
		c.storeStamp = m.StoreStamp
		c.storeSeen = later(c.storeSeen, now.Add(-max(m.StoreAge, 0)))
	}
	for i := range m.Sections {
		c.applySection(now, &m.Sections[i])
	}
	for _, h := range m.Heard {
		c.applyEvidence(now, h)
	}
	c.compareViews(now, e, &m)
	if !m.Reply {
		// What the sender just said need not be said back.
		c.said = m.Updates
		r := c.compose(now, e)
		c.said = nil
		r.Reply = true
		r.Heard = c.answerAsk(now, m.Ask)
		c.addBuckets(now, r, first)
		c.addResync(now, r, m.Resync, e)
		reply = r
	}
	return reply, c.take()
}

// hear notes direct contact with the sender of a message.
func (c *Cluster) hear(now time.Time, e *entry, m *Message) {
	c.lastReply = now
	e.heard = now
	if m.Reply {
		e.awaiting = false
		e.contacted = !m.Unknown
	}
	e.doubtSince = time.Time{}
	if e.target {
		// The wide jitter spreads probes again after news reached all VMs at
		// once; otherwise all of them would be due, and none in between.
		every := c.every(e)
		e.due = now.Add(every/8 + c.random(every*7/4))
	} else {
		e.due = time.Time{}
	}
	if e.inc.Less(m.Inc) {
		u := Update{Key: e.key, Inc: m.Inc, Declared: m.State}
		c.apply(now, &u, m.From)
	}
}

func (c *Cluster) applyDocs(e *entry, m *Message) {
	for d, v := range m.Docs {
		e.peerVersions[d] = v.Version
		if v.Version > c.docs[d].Version && v.Hash != ([32]byte{}) {
			c.out = append(c.out, DocNews{Peer: m.From, Doc: Doc(d), DocVersion: v})
		}
	}
}

// apply merges what another VM says about a VM.
func (c *Cluster) apply(now time.Time, u *Update, from string) {
	e := c.byKey[u.Key]
	switch {
	case e == c.self:
		c.applySelf(now, u, from)
	case e == nil:
		if u.Info == nil || Key(u.Info.ID) != u.Key || u.Gone {
			return
		}
		if e = c.add(*u.Info); e == nil {
			return
		}
		c.accept(now, e, u, Gone)
	case e.inc.Less(u.Inc):
		c.accept(now, e, u, e.state())
	case e.inc == u.Inc && e.live == alive:
		c.conclude(now, e, u)
	case e.inc == u.Inc && e.live == gone && u.Info != nil:
		e.info = *u.Info
	}
}

// accept takes over a newer incarnation.
func (c *Cluster) accept(now time.Time, e *entry, u *Update, was State) {
	before := e.digest()
	reboot := e.inc.Boot != u.Inc.Boot
	wasDataCentre := e.info.DataCentre
	if u.Info != nil && u.Info.ID == e.info.ID {
		e.info = *u.Info
	}
	if reboot {
		e.contacted = false
		e.peerVersions = [docs]uint64{}
		e.heard = time.Time{}
	}
	e.inc, e.declared = u.Inc, u.Declared
	e.live, e.since = alive, now
	e.doubtSince, e.challenged, e.evidence = time.Time{}, time.Time{}, time.Time{}
	switch {
	case u.Gone || u.Declared == Gone:
		e.live, e.since = gone, now.Add(-u.Age)
	case u.Suspected:
		e.live, e.since = suspected, now.Add(-min(u.Age, c.opts.GoneAfter/2))
	}
	c.rehash(now, before, e)
	c.spread(now, e)
	switch {
	case e.state() != was || wasDataCentre != e.info.DataCentre:
		c.stale = true
		c.rankCache = -1
		c.out = append(c.out, Changed{Member: e.member(), Was: was})
	case reboot:
		c.out = append(c.out, Changed{Member: e.member(), Was: was})
	}
}

// conclude merges the conclusions of others about an incarnation that is alive
// as far as this VM knows.
func (c *Cluster) conclude(now time.Time, e *entry, u *Update) {
	switch {
	case u.Gone:
		// After a partition the other side calls every VM of this side gone.
		// The VM is told, so that it raises its incarnation; only if it does not
		// is it suspected here.
		if e.challenged.IsZero() {
			e.challenged = now
			c.spread(now, e)
			c.probeSoon(now, e)
		}
	case u.Suspected:
		// A VM that learns of a suspicion late waits for at least half of the
		// time, since the refutation may be as late.
		c.suspect(now, e, now.Add(-min(max(u.Age, 0), c.opts.GoneAfter/2)))
		c.probeSoon(now, e)
	}
}

// applySelf raises the incarnation when others call it suspected or gone.
func (c *Cluster) applySelf(now time.Time, u *Update, from string) {
	own := c.self.inc
	if u.Inc.Less(own) || (u.Inc == own && !u.Suspected && !u.Gone) {
		return
	}
	before := c.self.digest()
	r := Refuted{By: from}
	if u.Inc.Boot > own.Boot {
		// A former process of this VM had a clock that was ahead, or another
		// process runs under the same ID.
		r.Duplicate = true
		c.self.inc = Incarnation{Boot: u.Inc.Boot + 1}
	} else {
		c.self.inc.Seq = u.Inc.Seq + 1
	}
	r.Incarnation = c.self.inc
	c.rehash(now, before, c.self)
	c.spread(now, c.self)
	c.out = append(c.out, r)
}

// applyEvidence notes that another VM heard one that this VM cannot hear.
func (c *Cluster) applyEvidence(now time.Time, h Evidence) {
	e := c.byKey[h.Key]
	if e == nil || e == c.self || h.Age < 0 || h.Inc.Boot != e.inc.Boot {
		return
	}
	e.evidence = later(e.evidence, now.Add(-h.Age))
}

// answerAsk tells how long ago this VM heard the VMs that another cannot hear,
// and probes those that it has not heard just now.
func (c *Cluster) answerAsk(now time.Time, ask []uint32) []Evidence {
	var out []Evidence
	for _, key := range ask[:min(len(ask), maxAsk)] {
		e := c.byKey[key]
		if e == nil || e == c.self || e.live == gone {
			continue
		}
		if now.Sub(e.heard) > c.opts.ProbeTimeout/2 {
			c.probeSoon(now, e)
		}
		if !e.heard.IsZero() && now.Sub(e.heard) < contactAge {
			out = append(out, Evidence{Key: key, Inc: e.inc, Age: now.Sub(e.heard)})
		}
	}
	return out
}

// probeSoon plans a probe of a correspondent at the next tick.
func (c *Cluster) probeSoon(now time.Time, e *entry) {
	if !e.awaiting && c.correspondent(now, e) {
		e.due = now
	}
}

// correspondent tells whether this VM exchanges messages with e.
func (c *Cluster) correspondent(now time.Time, e *entry) bool {
	return e.target || (!e.heard.IsZero() && now.Sub(e.heard) < contactAge)
}

// compose makes a message to e without lists that only requests or replies have.
func (c *Cluster) compose(now time.Time, e *entry) *Message {
	m := &Message{
		From: c.self.info.ID, To: e.key, Inc: c.self.inc, State: c.self.declared,
		ViewHash: c.hash, StoreStamp: c.storeStamp,
	}
	if c.storeStamp > 0 {
		m.StoreAge = now.Sub(c.storeSeen)
	}
	for d := range m.Docs {
		m.Docs[d] = c.docs[d]
		if e.peerVersions[d] >= c.docs[d].Version {
			m.Docs[d].Hash = [32]byte{}
		}
	}
	left := c.opts.MaxMessageBytes
	add := func(u Update) {
		left -= updateBytes(&u)
		m.Updates = append(m.Updates, u)
	}
	if !e.contacted {
		add(c.update(now, c.self, true))
	}
	if e.live != alive || !e.challenged.IsZero() {
		// The VM itself is to refute what is said about it.
		add(c.update(now, e, false))
	}
	c.updates.take(func(item *entry) (sent, stop bool) {
		if item == e || (item == c.self && !e.contacted) || c.wasSaid(item) {
			return false, false
		}
		u := c.update(now, item, item.inc.Seq == 0 || item == c.self)
		if left < updateBytes(&u) {
			return false, true
		}
		add(u)
		return true, false
	})
	c.addSections(m, e, left)
	return m
}

// wasSaid tells whether the message that is being answered held what would be
// said about an entry.
func (c *Cluster) wasSaid(e *entry) bool {
	for i := range c.said {
		if u := &c.said[i]; u.Key == e.key && u.Inc == e.inc {
			return u.Suspected == (e.live == suspected) && u.Gone == (e.live == gone)
		}
	}
	return false
}

// update describes an entry. Conclusions need no Info, because a VM that does
// not know the member ignores them.
func (c *Cluster) update(now time.Time, e *entry, withInfo bool) Update {
	u := Update{Key: e.key, Inc: e.inc, Declared: e.declared}
	switch {
	case e.live == gone || !e.challenged.IsZero():
		u.Gone = true
		u.Age = now.Sub(e.since)
	case e.live == suspected:
		u.Suspected = true
		u.Age = now.Sub(e.since)
	}
	if withInfo && !u.Suspected && !u.Gone {
		info := e.info
		u.Info = &info
	}
	return u
}

// updateBytes estimates the encoded size from above.
func updateBytes(u *Update) int {
	n := 28
	if u.Info != nil {
		n += 12 + len(u.Info.ID) + len(u.Info.DataCentre) + len(u.Info.Region) + len(u.Info.Rack) + len(u.Info.Address)
	}
	return n
}
