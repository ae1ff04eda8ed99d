package node

import (
	"slices"
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/balance"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/verdict"
)

const (
	// assumedRequestTime is the work that a request is taken to be when refused callers are
	// told when to come back: the usual of the workloads.
	assumedRequestTime = 200 * time.Millisecond
	// leavingRetryAfter is the advice to a caller when all instances leave: about the time
	// in which a change of the register arrives.
	leavingRetryAfter = 2 * time.Second
)

// Said takes what the instance's answer says about new requests.
func (c *selection) Said(w availability.Word) {
	id := c.ticket.Instance
	if w.Unusable {
		event.WaitUnusable.Log(c.s.log, "id", id)
	}
	if !c.pool.applyNotice(time.Now(), id, w) {
		return
	}
	if w.Leaving {
		event.InstanceLeaves.Log(c.s.log, "id", id, "heard_from", "")
		c.s.closeIdle(c.pool.address(id))
	}
	if w.Wait > 0 {
		event.InstanceAsksToWait.Log(c.s.log, "id", id, "wait_ms", w.Wait.Milliseconds())
	}
}

// IsWanted tells whether the instance still takes the request, which was chosen for it
// summarise time ago.
func (c *selection) IsWanted() bool { return c.pool.isWanted(time.Now(), c.ticket.Instance) }

// processOf names the present start of an instance.
func (p *pool) processOf(i *balance.Instance) availability.Process {
	out := availability.Process{ID: i.ID, Address: p.addresses[i.ID]}
	if !i.Started.IsZero() {
		out.Born = i.Started.UnixMilli()
	}
	return out
}

func (p *pool) findInstance(id string) *balance.Instance {
	k := slices.IndexFunc(p.listed, func(i balance.Instance) bool { return i.ID == id })
	if k < 0 {
		return nil
	}
	return &p.listed[k]
}

// applyNotice takes the word of an instance and tells whether it is news.
func (p *pool) applyNotice(now time.Time, id string, notice availability.Word) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.findInstance(id)
	if i == nil {
		return false
	}
	if notice.Leaving {
		changed = p.notices.Leaving(now, now, p.processOf(i), "")
	}
	changed = p.notices.Wait(now, p.processOf(i), notice.Wait) || changed
	if changed {
		p.updateBalancer(now)
	}
	return changed
}

func (p *pool) isWanted(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.findInstance(id)
	return i == nil || p.acceptsNew(now, i)
}

func (p *pool) acceptsNew(now time.Time, i *balance.Instance) bool {
	s := p.notices.Of(p.processOf(i))
	return !s.IsLeaving() && !s.IsWaiting(now)
}

// updateBalancer puts the instances in force, less those that said that they want no new
// requests. One that returns gets them at the pace of one that has just started. The
// lock is held.
func (p *pool) updateBalancer(now time.Time) {
	list := slices.Clone(p.listed)
	p.nextReturn = time.Time{}
	for k := range list {
		i := &list[k]
		p.notices.Started(now, p.processOf(i))
		if p.acceptsNew(now, i) {
			continue
		}
		i.Draining = true
		if s := p.notices.Of(p.processOf(i)); s.IsWaiting(now) && (p.nextReturn.IsZero() || s.WaitUntil.Before(p.nextReturn)) {
			p.nextReturn = s.WaitUntil
		}
	}
	p.balancer.SetInstances(now, list)
	for key, w := range p.waiters {
		if err := p.refusalIfNoneAccepts(now, time.Time{}); err != nil {
			delete(p.waiters, key)
			p.balancer.Done(now, w.ticket, balance.Cancelled)
			w.started <- balance.Event{Err: err}
		}
	}
	p.tick(now)
}

// refusalIfNoneAccepts refuses a request if each instance that the register has in use said that
// it wants none, and tells when to come back. The lock is held.
func (p *pool) refusalIfNoneAccepts(now, deadline time.Time) *verdict.Error {
	slots, numInUse := 0, 0
	for k := range p.listed {
		i := &p.listed[k]
		if i.Draining {
			continue
		}
		numInUse++
		if p.acceptsNew(now, i) {
			return nil
		}
		if s := p.notices.Of(p.processOf(i)); !s.IsLeaving() && s.WaitUntil.Equal(p.nextReturn) {
			slots += i.Slots
		}
	}
	if numInUse == 0 {
		return nil
	}
	after := leavingRetryAfter
	if slots > 0 {
		rate := float64(slots) / assumedRequestTime.Seconds()
		after = p.returnTimes.Place(p.nextReturn, rate, deadline.Add(-assumedRequestTime)).Sub(now)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonAskedToWait, after)
}
