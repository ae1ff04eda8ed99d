package member

import (
	"time"
)

// Tick lets time pass. It is called about every 100 ms.
func (c *Cluster) Tick(now time.Time) []Effect {
	if gap := now.Sub(c.last); gap > pauseGap {
		c.resume(now, gap)
	}
	c.last = now
	c.allow.fill(now)
	c.urgent.fill(now)
	if c.stale {
		c.retarget(now)
	}
	cutOff := c.cutOff(now)
	c.checkImpaired(now)
	var forget []*entry
	for _, e := range c.sorted() {
		if e == c.self {
			continue
		}
		if e.awaiting && now.Sub(e.asked) >= c.opts.ProbeTimeout {
			c.failed(now, e)
		}
		switch e.live {
		case alive:
			c.examine(now, e, cutOff)
		case suspected:
			c.confirm(now, e, cutOff)
		case gone:
			if !e.listed && now.Sub(later(e.since, e.unlistedAt)) >= c.opts.ForgetAfter {
				forget = append(forget, e)
			}
		}
		if !e.known() && !e.listed && now.Sub(e.unlistedAt) >= c.opts.ForgetAfter {
			forget = append(forget, e)
		}
		if !e.due.IsZero() && !now.Before(e.due) && !e.awaiting {
			c.probe(now, e)
		}
	}
	for _, e := range forget {
		c.forget(e)
	}
	c.probeGone(now)
	c.collect(now)
	c.push(now)
	return c.take()
}

// Failed notes that a Send failed, for example because the connection was
// refused. A Send without a reply fails by itself after ProbeTimeout.
func (c *Cluster) Failed(now time.Time, id string) {
	if e := c.entries[id]; e != nil && e.awaiting {
		c.failed(now, e)
	}
}

// resume continues after a pause of this VM. Silence during the pause means
// nothing, and others may have concluded that this VM is gone.
func (c *Cluster) resume(now time.Time, gap time.Duration) {
	c.lastReply = now
	for _, e := range c.sorted() {
		e.awaiting = false
		e.doubtSince = time.Time{}
		if e.live == suspected {
			e.since = e.since.Add(gap)
		}
		if !e.challenged.IsZero() {
			e.challenged = e.challenged.Add(gap)
		}
		if e.target {
			e.due = now.Add(c.random(c.every(e)))
		}
	}
	c.spread(now, c.self)
}

// cutOff tells whether nobody is heard, so that this VM itself may be cut off.
// With fewer than 3 targets the silence of all is nothing unusual.
func (c *Cluster) cutOff(now time.Time) bool {
	return len(c.targets) >= 3 && now.Sub(c.lastReply) > cutOffAfter
}

// checkImpaired looks whether probes fail in the own and in most other data
// centres. Then the fault is more likely with this VM or its network than with
// all of them, and it takes more time for conclusions. A region that is lost or
// cut off leaves the own data centre reachable.
func (c *Cluster) checkImpaired(now time.Time) {
	c.impaired = false
	if now.Sub(c.missed[c.self.info.DataCentre]) > massWindow {
		return
	}
	failing, all := 0, make(map[string]bool)
	for _, e := range c.targets {
		all[e.info.DataCentre] = true
	}
	for dc, at := range c.missed {
		if all[dc] && now.Sub(at) <= massWindow {
			failing++
		}
	}
	c.impaired = failing >= 3 && 2*failing > len(all)
}

// patience lengthens a wait while this VM seems impaired.
func (c *Cluster) patience(d time.Duration) time.Duration {
	if c.impaired {
		return impairedFactor * d
	}
	return d
}

// failed notes that a probe got no reply.
func (c *Cluster) failed(now time.Time, e *entry) {
	e.awaiting = false
	c.missed[e.info.DataCentre] = now
	wait := c.every(e)
	switch {
	case !e.known() || e.live == gone:
	case e.live == suspected:
		wait = c.opts.ProbeTimeout
	default:
		if e.doubtSince.IsZero() {
			e.doubtSince = now
			e.nextAsk = now
			// A second probe at once: the first may have met a stale connection.
			wait = 0
			if now.Sub(c.lookedAt[e.info.DataCentre]) > massWindow {
				c.lookedAt[e.info.DataCentre] = now
				c.probeCentre(now, e.info.DataCentre)
			}
		} else {
			c.noteDoubt(now, e)
		}
	}
	e.due = time.Time{}
	if e.target || wait == 0 {
		e.due = now.Add(wait)
	}
}

// examine follows up a VM in doubt, or one that others call gone.
func (c *Cluster) examine(now time.Time, e *entry, cutOff bool) {
	if !e.challenged.IsZero() && now.Sub(e.challenged) >= challengeWait && !cutOff {
		// Without an answer the suspicion takes its course; with one, the VM has
		// been told and its new incarnation is on its way.
		if e.heard.Before(e.challenged) {
			c.suspect(now, e, now)
		} else {
			e.challenged = time.Time{}
		}
		return
	}
	if e.doubtSince.IsZero() {
		return
	}
	if cutOff {
		e.doubtSince, e.nextAsk = now, now
		return
	}
	if e.evidence.After(e.doubtSince.Add(-c.opts.ProbeTimeout)) {
		// Others hear it: only the way from here is broken.
		e.doubtSince = time.Time{}
		return
	}
	mass := now.Before(c.massUntil[e.info.DataCentre]) && !c.impaired
	limit := c.patience(c.opts.SuspectAfter)
	if mass {
		// The others that could be asked are most likely silent as well.
		limit /= 2
	}
	if now.Sub(e.doubtSince) >= limit {
		c.suspect(now, e, now)
		return
	}
	if !mass && !now.Before(e.nextAsk) {
		e.nextAsk = now.Add(askGap)
		c.ask(now, e)
	}
}

// ask asks VMs that exchange messages with e whether they hear it.
func (c *Cluster) ask(now time.Time, e *entry) {
	asked := 0
	for _, helper := range c.targetsOf(e) {
		if asked == askPeers {
			return
		}
		if helper == c.self || !helper.known() || helper.live != alive || !helper.doubtSince.IsZero() || !c.urgent.spend(1) {
			continue
		}
		c.send(now, helper, []uint32{e.key})
		asked++
	}
}

// suspect marks e and tells the others.
func (c *Cluster) suspect(now time.Time, e *entry, since time.Time) {
	was := e.state()
	e.live, e.since = suspected, since
	e.challenged = time.Time{}
	c.noteDoubt(now, e)
	c.spread(now, e)
	c.changed(e, was)
}

// confirm ends a suspicion: with Gone when nobody has heard the VM, or with
// another wait when this VM hears it and only its new incarnation is missing.
func (c *Cluster) confirm(now time.Time, e *entry, cutOff bool) {
	if cutOff {
		e.since = now
		return
	}
	if now.Sub(e.since) < c.patience(c.opts.GoneAfter) {
		return
	}
	heard := later(e.heard, e.evidence)
	if heard.After(e.since) {
		e.since = heard
		c.probeSoon(now, e)
		return
	}
	was, before := e.state(), e.digest()
	e.live, e.since = gone, now
	e.doubtSince = time.Time{}
	e.due = time.Time{}
	c.updates.remove(e)
	c.rehash(now, before, e)
	c.dropSections(e)
	c.changed(e, was)
}

// noteDoubt counts VMs by data centre that missed two probes or are suspected.
// A single lost message is too common to tell of anything. When several are
// counted, a rack or the data centre may be lost: conclusions then need less time.
func (c *Cluster) noteDoubt(now time.Time, e *entry) {
	dc := e.info.DataCentre
	if c.doubts[dc] == nil {
		c.doubts[dc] = make(map[string]time.Time)
	}
	recent := c.doubts[dc]
	recent[e.info.ID] = now
	for id, at := range recent {
		if now.Sub(at) > massWindow {
			delete(recent, id)
		}
	}
	if len(recent) < massDoubts || now.Before(c.massUntil[dc]) {
		return
	}
	c.massUntil[dc] = now.Add(massWindow)
	c.probeCentre(now, dc)
}

// probeCentre probes the VMs of a data centre that this VM exchanges messages
// with and has not heard just now. Where VMs are few, the regular probes of a
// second VM of a lost data centre could come too late.
func (c *Cluster) probeCentre(now time.Time, dc string) {
	for _, o := range c.sorted() {
		if o != c.self && o.info.DataCentre == dc && o.known() && o.live == alive && !o.awaiting &&
			c.correspondent(now, o) && now.Sub(o.heard) > c.opts.ProbeTimeout {
			o.due = now.Add(c.random(200 * time.Millisecond))
		}
	}
}

// probe sends a heartbeat that is due.
func (c *Cluster) probe(now time.Time, e *entry) {
	if e.live == gone && e.resync == 0 {
		e.due = time.Time{}
		return
	}
	c.send(now, e, nil)
}

func (c *Cluster) send(now time.Time, e *entry, ask []uint32) {
	m := c.compose(now, e)
	m.Ask = ask
	if e.resync != 0 {
		m.Resync = e.resync
		c.addResync(now, m, e.resync, e)
		e.resync = 0
	}
	if !e.awaiting {
		e.awaiting, e.asked = true, now
	}
	e.due = time.Time{}
	c.out = append(c.out, Send{To: e.info.ID, Address: e.info.Address, Message: *m})
}

// probeGone probes one VM that is gone in turn, so that a partition heals and a
// VM that was wrongly given up returns.
func (c *Cluster) probeGone(now time.Time) {
	if now.Before(c.nextGone) {
		return
	}
	c.nextGone = now.Add(goneProbe*3/4 + c.random(goneProbe/2))
	list := c.sorted()
	if c.goneTurn == 0 {
		c.goneTurn = 1 + c.rng.IntN(len(list))
	}
	for i := range list {
		e := list[(c.goneTurn+i)%len(list)]
		if e != c.self && e.live == gone && e.declared != Gone && !e.awaiting {
			c.goneTurn = (c.goneTurn+i)%len(list) + 1
			c.send(now, e, nil)
			return
		}
	}
}

// push sends urgent news to a few targets without waiting for their turn.
func (c *Cluster) push(now time.Time) {
	if !c.wave || now.Before(c.nextWave) {
		return
	}
	c.wave = false
	c.nextWave = now.Add(waveGap)
	sent := 0
	if c.docWaves > 0 {
		c.docWaves--
		sent = c.pushDocs(now)
	}
	for i := 0; sent < waveSize && i < 4*waveSize && len(c.targets) > 0 && len(c.updates.items) > 0; i++ {
		if c.pushTo(now, c.targets[c.rng.IntN(len(c.targets))]) {
			sent++
		}
	}
	if (len(c.updates.items) > 0 && c.updates.items[0].left > updateSends/2) || c.docWaves > 0 {
		c.alarm(now)
	}
}

// pushDocs tells targets that are not known to have the newest documents. It
// ends the waves when there are none left.
func (c *Cluster) pushDocs(now time.Time) (sent int) {
	lacking := 0
	for i, first := 0, c.rng.IntN(max(1, len(c.targets))); i < len(c.targets); i++ {
		e := c.targets[(first+i)%len(c.targets)]
		if !e.known() || e.live != alive || c.hasDocs(e) {
			continue
		}
		lacking++
		if sent < waveSize && c.pushTo(now, e) {
			sent++
		}
	}
	if lacking == 0 {
		c.docWaves = 0
	}
	return sent
}

// hasDocs tells whether a VM is known to have all documents that this one has.
func (c *Cluster) hasDocs(e *entry) bool {
	for d := range c.docs {
		if e.peerVersions[d] < c.docs[d].Version {
			return false
		}
	}
	return true
}

// pushTo sends a heartbeat beyond the regular ones, within their limit.
func (c *Cluster) pushTo(now time.Time, e *entry) bool {
	if e.awaiting || e.live != alive || !e.doubtSince.IsZero() || !c.urgent.spend(1) {
		return false
	}
	c.send(now, e, nil)
	return true
}

// Farewell returns messages that tell some targets the last state of this VM.
func (c *Cluster) Farewell(now time.Time) []Effect {
	for i, start := 0, c.rng.IntN(max(1, len(c.targets))); i < min(waveSize, len(c.targets)); i++ {
		if e := c.targets[(start+i)%len(c.targets)]; e.live == alive {
			c.send(now, e, nil)
		}
	}
	return c.take()
}

// forget removes a VM that is gone for good.
func (c *Cluster) forget(e *entry) {
	delete(c.entries, e.info.ID)
	delete(c.byKey, e.key)
	c.updates.remove(e)
	c.dropSections(e)
	c.order = nil
	c.stale = true
}
