package member

import (
	"time"
)

// Tick evaluates timeouts and sends what is due. It is called about every
// 100 ms.
func (c *Cluster) Tick(now time.Time) []Effect {
	if gap := now.Sub(c.lastTick); gap > pauseThreshold {
		c.resumeAfterPause(now, gap)
	}
	c.lastTick = now
	c.sectionBudget.fill(now)
	c.extraBudget.fill(now)
	if c.targetsStale {
		c.chooseTargets(now)
	}
	cutOff := c.isCutOff(now)
	c.updateImpaired(now)
	var forget []*entry
	for _, e := range c.sorted() {
		if e == c.self {
			continue
		}
		if e.awaitingReply && now.Sub(e.probeSentAt) >= c.opts.ProbeTimeout {
			c.probeFailed(now, e)
		}
		switch e.liveness {
		case alive:
			c.checkAlive(now, e, cutOff)
		case suspected:
			c.checkSuspected(now, e, cutOff)
		case gone:
			if !e.listed && now.Sub(latest(e.livenessSince, e.unlistedAt)) >= c.opts.ForgetAfter {
				forget = append(forget, e)
			}
		}
		if !e.isKnown() && !e.listed && now.Sub(e.unlistedAt) >= c.opts.ForgetAfter {
			forget = append(forget, e)
		}
		if !e.nextProbe.IsZero() && !now.Before(e.nextProbe) && !e.awaitingReply {
			c.probe(now, e)
		}
	}
	for _, e := range forget {
		c.forget(e)
	}
	c.probeGone(now)
	c.sendCollected(now)
	c.pushUpdates(now)
	return c.takeEffects()
}

// SendFailed reports that a Send failed, for example because the connection was
// refused. A Send without a reply counts as failed after ProbeTimeout.
func (c *Cluster) SendFailed(now time.Time, id string) {
	if e := c.entries[id]; e != nil && e.awaitingReply {
		c.probeFailed(now, e)
	}
}

// resumeAfterPause restarts the timers after a pause of this VM. Missing
// replies during the pause are ignored, and this VM announces itself because
// others may have concluded that it is gone.
func (c *Cluster) resumeAfterPause(now time.Time, gap time.Duration) {
	c.lastReceived = now
	for _, e := range c.sorted() {
		e.awaitingReply = false
		e.unansweredSince = time.Time{}
		if e.liveness == suspected {
			e.livenessSince = e.livenessSince.Add(gap)
		}
		if !e.challengedAt.IsZero() {
			e.challengedAt = e.challengedAt.Add(gap)
		}
		if e.isTarget {
			e.nextProbe = now.Add(c.randomDuration(c.probeInterval(e)))
		}
	}
	c.disseminate(now, c.self)
}

// isCutOff reports whether no VM can be reached, so that this VM itself may be
// cut off. With fewer than 3 targets it is not unusual that none answers.
func (c *Cluster) isCutOff(now time.Time) bool {
	return len(c.targets) >= 3 && now.Sub(c.lastReceived) > cutOffTimeout
}

// updateImpaired checks whether probes fail in this VM's own and in most other
// data centres. Then the fault is more likely with this VM or its network than
// with all of them, and conclusions need more time. A region that is lost
// or cut off has no such effect, because the VM's own data centre stays reachable.
func (c *Cluster) updateImpaired(now time.Time) {
	c.impaired = false
	if now.Sub(c.lastProbeFailure[c.self.info.DataCentre]) > massFailureWindow {
		return
	}
	failing, all := 0, make(map[string]bool)
	for _, e := range c.targets {
		all[e.info.DataCentre] = true
	}
	for dc, at := range c.lastProbeFailure {
		if all[dc] && now.Sub(at) <= massFailureWindow {
			failing++
		}
	}
	c.impaired = failing >= 3 && 2*failing > len(all)
}

// adjustedTimeout lengthens a timeout while this VM seems impaired.
func (c *Cluster) adjustedTimeout(d time.Duration) time.Duration {
	if c.impaired {
		return impairedFactor * d
	}
	return d
}

// probeFailed handles a probe without a reply.
func (c *Cluster) probeFailed(now time.Time, e *entry) {
	e.awaitingReply = false
	c.lastProbeFailure[e.info.DataCentre] = now
	wait := c.probeInterval(e)
	switch {
	case !e.isKnown() || e.liveness == gone:
	case e.liveness == suspected:
		wait = c.opts.ProbeTimeout
	default:
		if e.unansweredSince.IsZero() {
			e.unansweredSince = now
			e.nextAsk = now
			// A second probe at once: the first may have used a stale connection.
			wait = 0
			if now.Sub(c.dataCentreProbedAt[e.info.DataCentre]) > massFailureWindow {
				c.dataCentreProbedAt[e.info.DataCentre] = now
				c.probeDataCentre(now, e.info.DataCentre)
			}
		} else {
			c.recordSuspect(now, e)
		}
	}
	e.nextProbe = time.Time{}
	if e.isTarget || wait == 0 {
		e.nextProbe = now.Add(wait)
	}
}

// checkAlive decides whether to suspect a VM that does not answer, or that
// others report as gone.
func (c *Cluster) checkAlive(now time.Time, e *entry, cutOff bool) {
	if !e.challengedAt.IsZero() && now.Sub(e.challengedAt) >= challengeTimeout && !cutOff {
		// Without a message since the report, the VM is suspected; with one, it has
		// received the report and its new incarnation is on its way.
		if e.lastContact.Before(e.challengedAt) {
			c.suspect(now, e, now)
		} else {
			e.challengedAt = time.Time{}
		}
		return
	}
	if e.unansweredSince.IsZero() {
		return
	}
	if cutOff {
		e.unansweredSince, e.nextAsk = now, now
		return
	}
	if e.lastEvidence.After(e.unansweredSince.Add(-c.opts.ProbeTimeout)) {
		// Other VMs receive its messages: only the path from here is broken.
		e.unansweredSince = time.Time{}
		return
	}
	massFailure := now.Before(c.massFailureUntil[e.info.DataCentre]) && !c.impaired
	limit := c.adjustedTimeout(c.opts.SuspectAfter)
	if massFailure {
		// The other VMs that could be asked have most likely failed as well.
		limit /= 2
	}
	if now.Sub(e.unansweredSince) >= limit {
		c.suspect(now, e, now)
		return
	}
	if !massFailure && !now.Before(e.nextAsk) {
		e.nextAsk = now.Add(askInterval)
		c.askPeersAbout(now, e)
	}
}

// askPeersAbout asks VMs that exchange messages with e when they last received
// one.
func (c *Cluster) askPeersAbout(now time.Time, e *entry) {
	asked := 0
	for _, helper := range c.targetsOf(e) {
		if asked == maxAskedPeers {
			return
		}
		if helper == c.self || !helper.isKnown() || helper.liveness != alive || !helper.unansweredSince.IsZero() || !c.extraBudget.spend(1) {
			continue
		}
		c.send(now, helper, []uint32{e.key})
		asked++
	}
}

// suspect marks e as suspected and announces it.
func (c *Cluster) suspect(now time.Time, e *entry, since time.Time) {
	was := e.state()
	e.liveness, e.livenessSince = suspected, since
	e.challengedAt = time.Time{}
	c.recordSuspect(now, e)
	c.disseminate(now, e)
	c.reportChange(e, was)
}

// checkSuspected ends a suspicion after GoneAfter: e is gone if no message of
// it was reported since, and gets another wait if one was and only its new
// incarnation is missing.
func (c *Cluster) checkSuspected(now time.Time, e *entry, cutOff bool) {
	if cutOff {
		e.livenessSince = now
		return
	}
	if now.Sub(e.livenessSince) < c.adjustedTimeout(c.opts.GoneAfter) {
		return
	}
	lastMessage := latest(e.lastContact, e.lastEvidence)
	if lastMessage.After(e.livenessSince) {
		e.livenessSince = lastMessage
		c.probeSoon(now, e)
		return
	}
	was, before := e.state(), e.digest()
	e.liveness, e.livenessSince = gone, now
	e.unansweredSince = time.Time{}
	e.nextProbe = time.Time{}
	c.updateQueue.remove(e)
	c.updateViewHash(now, before, e)
	c.dropSections(e)
	c.reportChange(e, was)
}

// recordSuspect counts the VMs of a data centre that missed two probes or are
// suspected. A single lost message is too common to be counted. If there are
// several such VMs, a rack or the data centre may be lost: conclusions then
// need less time.
func (c *Cluster) recordSuspect(now time.Time, e *entry) {
	dc := e.info.DataCentre
	if c.recentSuspects[dc] == nil {
		c.recentSuspects[dc] = make(map[string]time.Time)
	}
	recent := c.recentSuspects[dc]
	recent[e.info.ID] = now
	for id, at := range recent {
		if now.Sub(at) > massFailureWindow {
			delete(recent, id)
		}
	}
	if len(recent) < minMassSuspects || now.Before(c.massFailureUntil[dc]) {
		return
	}
	c.massFailureUntil[dc] = now.Add(massFailureWindow)
	c.probeDataCentre(now, dc)
}

// probeDataCentre probes the correspondents in a data centre that sent no
// message within ProbeTimeout. With few VMs, the regular probes of a second VM
// of a lost data centre could come too late.
func (c *Cluster) probeDataCentre(now time.Time, dc string) {
	for _, o := range c.sorted() {
		if o != c.self && o.info.DataCentre == dc && o.isKnown() && o.liveness == alive && !o.awaitingReply &&
			c.isCorrespondent(now, o) && now.Sub(o.lastContact) > c.opts.ProbeTimeout {
			o.nextProbe = now.Add(c.randomDuration(200 * time.Millisecond))
		}
	}
}

// probe sends a heartbeat that is due.
func (c *Cluster) probe(now time.Time, e *entry) {
	if e.liveness == gone && e.resyncMask == 0 {
		e.nextProbe = time.Time{}
		return
	}
	c.send(now, e, nil)
}

func (c *Cluster) send(now time.Time, e *entry, ask []uint32) {
	m := c.compose(now, e)
	m.Ask = ask
	if e.resyncMask != 0 {
		m.Resync = e.resyncMask
		c.addResync(now, m, e.resyncMask, e)
		e.resyncMask = 0
	}
	if !e.awaitingReply {
		e.awaitingReply, e.probeSentAt = true, now
	}
	e.nextProbe = time.Time{}
	c.effects = append(c.effects, Send{To: e.info.ID, Address: e.info.Address, Message: *m})
}

// probeGone probes one VM that is gone, each in turn, so that a partition
// heals and a VM that was wrongly concluded gone returns.
func (c *Cluster) probeGone(now time.Time) {
	if now.Before(c.nextGoneProbe) {
		return
	}
	c.nextGoneProbe = now.Add(goneProbeInterval*3/4 + c.randomDuration(goneProbeInterval/2))
	list := c.sorted()
	if c.nextGoneIndex == 0 {
		c.nextGoneIndex = 1 + c.rng.IntN(len(list))
	}
	for i := range list {
		e := list[(c.nextGoneIndex+i)%len(list)]
		if e != c.self && e.liveness == gone && e.declared != Gone && !e.awaitingReply {
			c.nextGoneIndex = (c.nextGoneIndex+i)%len(list) + 1
			c.send(now, e, nil)
			return
		}
	}
}

// pushUpdates sends queued updates and new document versions to a few targets
// ahead of their next heartbeat.
func (c *Cluster) pushUpdates(now time.Time) {
	if !c.pushPending || now.Before(c.nextPush) {
		return
	}
	c.pushPending = false
	c.nextPush = now.Add(pushInterval)
	sent := 0
	if c.docPushesLeft > 0 {
		c.docPushesLeft--
		sent = c.pushDocs(now)
	}
	for i := 0; sent < pushFanout && i < 4*pushFanout && len(c.targets) > 0 && len(c.updateQueue.items) > 0; i++ {
		if c.pushTo(now, c.targets[c.rng.IntN(len(c.targets))]) {
			sent++
		}
	}
	if (len(c.updateQueue.items) > 0 && c.updateQueue.items[0].sendsLeft > updateSends/2) || c.docPushesLeft > 0 {
		c.schedulePush(now)
	}
}

// pushDocs sends heartbeats to targets that are not known to have the newest
// documents. It ends the pushes when there are none left.
func (c *Cluster) pushDocs(now time.Time) (sent int) {
	outdated := 0
	for i, first := 0, c.rng.IntN(max(1, len(c.targets))); i < len(c.targets); i++ {
		e := c.targets[(first+i)%len(c.targets)]
		if !e.isKnown() || e.liveness != alive || c.hasDocs(e) {
			continue
		}
		outdated++
		if sent < pushFanout && c.pushTo(now, e) {
			sent++
		}
	}
	if outdated == 0 {
		c.docPushesLeft = 0
	}
	return sent
}

// hasDocs reports whether a VM is known to have all documents that this one
// has.
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
	if e.awaitingReply || e.liveness != alive || !e.unansweredSince.IsZero() || !c.extraBudget.spend(1) {
		return false
	}
	c.send(now, e, nil)
	return true
}

// DepartureMessages returns messages that announce the last state of this VM to some
// targets.
func (c *Cluster) DepartureMessages(now time.Time) []Effect {
	for i, start := 0, c.rng.IntN(max(1, len(c.targets))); i < min(pushFanout, len(c.targets)); i++ {
		if e := c.targets[(start+i)%len(c.targets)]; e.liveness == alive {
			c.send(now, e, nil)
		}
	}
	return c.takeEffects()
}

// forget removes a VM from the view.
func (c *Cluster) forget(e *entry) {
	delete(c.entries, e.info.ID)
	delete(c.byKey, e.key)
	c.updateQueue.remove(e)
	c.dropSections(e)
	c.sortedEntries = nil
	c.targetsStale = true
}
