package member

import "time"

// Step processes a message. It returns the reply to a request, or nil if the
// request was meant for another VM.
func (c *Cluster) Step(now time.Time, m Message) (reply *Message, effects []Effect) {
	if m.To != c.self.key || m.From == c.self.info.ID {
		return nil, nil
	}
	// The sender's own update is applied first, so that a new VM is known below.
	for i := range m.Updates {
		c.applyUpdate(now, &m.Updates[i], m.From)
	}
	e := c.entries[m.From]
	if e == nil {
		if !m.Reply {
			reply = c.compose(now, &entry{info: Info{ID: m.From}, key: Key(m.From)})
			reply.Reply, reply.Unknown = true, true
		}
		return reply, c.takeEffects()
	}
	firstContact := !e.hasReplied
	c.recordContact(now, e, &m)
	c.applyDocs(e, &m)
	if m.StoreStamp > c.storeStamp {
		c.storeStamp = m.StoreStamp
		c.lastStoreContact = latest(c.lastStoreContact, now.Add(-max(m.StoreAge, 0)))
	}
	for i := range m.Sections {
		c.applySection(now, &m.Sections[i])
	}
	for _, h := range m.Evidence {
		c.applyEvidence(now, h)
	}
	c.compareViews(now, e, &m)
	if !m.Reply {
		// The reply omits the updates that the request carried.
		c.receivedUpdates = m.Updates
		r := c.compose(now, e)
		c.receivedUpdates = nil
		r.Reply = true
		r.Evidence = c.answerAsk(now, m.Ask)
		c.addBuckets(now, r, firstContact)
		c.addResync(now, r, m.Resync, e)
		reply = r
	}
	return reply, c.takeEffects()
}

// recordContact records that a message of e arrived, and schedules its next
// probe.
func (c *Cluster) recordContact(now time.Time, e *entry, m *Message) {
	c.lastReceived = now
	e.lastContact = now
	if m.Reply {
		e.awaitingReply = false
		e.hasReplied = !m.Unknown
	}
	e.unansweredSince = time.Time{}
	if e.isTarget {
		// The wide jitter spreads probes again after an update reached all VMs at
		// once; otherwise all of them would be due at the same time.
		interval := c.probeInterval(e)
		e.nextProbe = now.Add(interval/8 + c.randomDuration(interval*7/4))
	} else {
		e.nextProbe = time.Time{}
	}
	if e.inc.Less(m.Inc) {
		u := Update{Key: e.key, Inc: m.Inc, Declared: m.State}
		c.applyUpdate(now, &u, m.From)
	}
}

func (c *Cluster) applyDocs(e *entry, m *Message) {
	for d, v := range m.Docs {
		e.peerVersions[d] = v.Version
		if v.Version > c.docs[d].Version && v.Hash != ([32]byte{}) {
			c.effects = append(c.effects, DocUpdate{Peer: m.From, Doc: Doc(d), DocVersion: v})
		}
	}
}

// applyUpdate merges an update about a VM that another VM sent.
func (c *Cluster) applyUpdate(now time.Time, u *Update, from string) {
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
		c.acceptIncarnation(now, e, u, Gone)
	case e.inc.Less(u.Inc):
		c.acceptIncarnation(now, e, u, e.state())
	case e.inc == u.Inc && e.liveness == alive:
		c.mergeConclusion(now, e, u)
	case e.inc == u.Inc && e.liveness == gone && u.Info != nil:
		e.info = *u.Info
	}
}

// acceptIncarnation replaces the state of an entry by that of a newer
// incarnation.
func (c *Cluster) acceptIncarnation(now time.Time, e *entry, u *Update, was State) {
	before := e.digest()
	reboot := e.inc.Boot != u.Inc.Boot
	wasDataCentre := e.info.DataCentre
	if u.Info != nil && u.Info.ID == e.info.ID {
		e.info = *u.Info
	}
	if reboot {
		e.hasReplied = false
		e.peerVersions = [numDocs]uint64{}
		e.lastContact = time.Time{}
	}
	e.inc, e.declared = u.Inc, u.Declared
	e.liveness, e.livenessSince = alive, now
	e.unansweredSince, e.challengedAt, e.lastEvidence = time.Time{}, time.Time{}, time.Time{}
	switch {
	case u.Gone || u.Declared == Gone:
		e.liveness, e.livenessSince = gone, now.Add(-u.Age)
	case u.Suspected:
		e.liveness, e.livenessSince = suspected, now.Add(-min(u.Age, c.opts.GoneAfter/2))
	}
	c.updateViewHash(now, before, e)
	c.disseminate(now, e)
	switch {
	case e.state() != was || wasDataCentre != e.info.DataCentre:
		c.targetsStale = true
		c.watchRankCache = -1
		c.effects = append(c.effects, Changed{Member: e.member(), Was: was})
	case reboot:
		c.effects = append(c.effects, Changed{Member: e.member(), Was: was})
	}
}

// mergeConclusion merges the conclusions of others about an incarnation that
// is alive in this VM's view.
func (c *Cluster) mergeConclusion(now time.Time, e *entry, u *Update) {
	switch {
	case u.Gone:
		// After a partition, the other side reports every VM of this side as gone.
		// The report is passed on to the VM, so that it raises its incarnation; it
		// is suspected here only if it does not.
		if e.challengedAt.IsZero() {
			e.challengedAt = now
			c.disseminate(now, e)
			c.probeSoon(now, e)
		}
	case u.Suspected:
		// A VM that receives a suspicion late waits for at least half of GoneAfter,
		// since the refutation may be as late.
		c.suspect(now, e, now.Add(-min(max(u.Age, 0), c.opts.GoneAfter/2)))
		c.probeSoon(now, e)
	}
}

// applySelf raises the incarnation when others report this VM as suspected or
// gone.
func (c *Cluster) applySelf(now time.Time, u *Update, from string) {
	own := c.self.inc
	if u.Inc.Less(own) || (u.Inc == own && !u.Suspected && !u.Gone) {
		return
	}
	before := c.self.digest()
	r := Refuted{By: from}
	if u.Inc.Boot > own.Boot {
		// The clock of the previous process of this VM was ahead, or another process
		// runs under the same ID.
		r.Duplicate = true
		c.self.inc = Incarnation{Boot: u.Inc.Boot + 1}
	} else {
		c.self.inc.Seq = u.Inc.Seq + 1
	}
	r.Incarnation = c.self.inc
	c.updateViewHash(now, before, c.self)
	c.disseminate(now, c.self)
	c.effects = append(c.effects, r)
}

// applyEvidence records that another VM received a message of a VM that does
// not answer this one.
func (c *Cluster) applyEvidence(now time.Time, h Evidence) {
	e := c.byKey[h.Key]
	if e == nil || e == c.self || h.Age < 0 || h.Inc.Boot != e.inc.Boot {
		return
	}
	e.lastEvidence = latest(e.lastEvidence, now.Add(-h.Age))
}

// answerAsk returns when messages of the given VMs last arrived here, and
// probes those without a recent one.
func (c *Cluster) answerAsk(now time.Time, ask []uint32) []Evidence {
	var out []Evidence
	for _, key := range ask[:min(len(ask), maxAskKeys)] {
		e := c.byKey[key]
		if e == nil || e == c.self || e.liveness == gone {
			continue
		}
		if now.Sub(e.lastContact) > c.opts.ProbeTimeout/2 {
			c.probeSoon(now, e)
		}
		if !e.lastContact.IsZero() && now.Sub(e.lastContact) < contactWindow {
			out = append(out, Evidence{Key: key, Inc: e.inc, Age: now.Sub(e.lastContact)})
		}
	}
	return out
}

// probeSoon schedules a probe of a correspondent for the next tick.
func (c *Cluster) probeSoon(now time.Time, e *entry) {
	if !e.awaitingReply && c.isCorrespondent(now, e) {
		e.nextProbe = now
	}
}

// isCorrespondent reports whether this VM exchanges messages with e.
func (c *Cluster) isCorrespondent(now time.Time, e *entry) bool {
	return e.isTarget || (!e.lastContact.IsZero() && now.Sub(e.lastContact) < contactWindow)
}

// compose returns a message to e without the lists that only requests or only
// replies have.
func (c *Cluster) compose(now time.Time, e *entry) *Message {
	m := &Message{
		From: c.self.info.ID, To: e.key, Inc: c.self.inc, State: c.self.declared,
		ViewHash: c.viewHash, StoreStamp: c.storeStamp,
	}
	if c.storeStamp > 0 {
		m.StoreAge = now.Sub(c.lastStoreContact)
	}
	for d := range m.Docs {
		m.Docs[d] = c.docs[d]
		if e.peerVersions[d] >= c.docs[d].Version {
			m.Docs[d].Hash = [32]byte{}
		}
	}
	bytesLeft := c.opts.MaxMessageBytes
	add := func(u Update) {
		bytesLeft -= updateBytes(&u)
		m.Updates = append(m.Updates, u)
	}
	if !e.hasReplied {
		add(c.update(now, c.self, true))
	}
	if e.liveness != alive || !e.challengedAt.IsZero() {
		// The VM itself receives the conclusions about it, so that it can refute
		// them.
		add(c.update(now, e, false))
	}
	c.updateQueue.take(func(item *entry) (sent, stop bool) {
		if item == e || (item == c.self && !e.hasReplied) || c.wasReceived(item) {
			return false, false
		}
		u := c.update(now, item, item.inc.Seq == 0 || item == c.self)
		if bytesLeft < updateBytes(&u) {
			return false, true
		}
		add(u)
		return true, false
	})
	c.addSections(m, e, bytesLeft)
	return m
}

// wasReceived reports whether the request that is being answered carried the
// current state of an entry.
func (c *Cluster) wasReceived(e *entry) bool {
	for i := range c.receivedUpdates {
		if u := &c.receivedUpdates[i]; u.Key == e.key && u.Inc == e.inc {
			return u.Suspected == (e.liveness == suspected) && u.Gone == (e.liveness == gone)
		}
	}
	return false
}

// update describes an entry. Conclusions carry no Info, because a VM that does
// not know the member ignores them.
func (c *Cluster) update(now time.Time, e *entry, withInfo bool) Update {
	u := Update{Key: e.key, Inc: e.inc, Declared: e.declared}
	switch {
	case e.liveness == gone || !e.challengedAt.IsZero():
		u.Gone = true
		u.Age = now.Sub(e.livenessSince)
	case e.liveness == suspected:
		u.Suspected = true
		u.Age = now.Sub(e.livenessSince)
	}
	if withInfo && !u.Suspected && !u.Gone {
		info := e.info
		u.Info = &info
	}
	return u
}

// updateBytes returns an upper bound of the encoded size of an update.
func updateBytes(u *Update) int {
	n := 28
	if u.Info != nil {
		n += 12 + len(u.Info.ID) + len(u.Info.DataCentre) + len(u.Info.Region) + len(u.Info.Rack) + len(u.Info.Address)
	}
	return n
}
