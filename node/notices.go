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
	// assumedRequestTime is the time that a request is assumed to take when refused
	// callers are given a time to come back. It is usual for the workloads.
	assumedRequestTime = 200 * time.Millisecond
	// leavingRetryAfter is the Retry-After of a refusal when all instances leave:
	// about the time in which a change of the register arrives.
	leavingRetryAfter = 2 * time.Second
)

// ReceiveNotice records the leaving or wait notice in the answer of the instance.
func (c *selection) ReceiveNotice(notice availability.Notice) {
	if notice.IsEmpty() {
		return
	}
	id := c.ticket.Instance
	if notice.Unusable {
		event.WaitUnusable.Log(c.s.log, "id", id)
	}
	if !c.pool.applyNotice(time.Now(), id, notice) {
		return
	}
	if notice.Leaving {
		event.InstanceLeaves.Log(c.s.log, "id", id, "heard_from", "")
		c.s.closeIdle(c.pool.address(id))
	}
	if notice.Wait > 0 {
		event.InstanceAsksToWait.Log(c.s.log, "id", id, "wait_ms", notice.Wait.Milliseconds())
	}
}

// CanSend reports whether the instance still accepts the request, for which it was
// chosen some time ago.
func (c *selection) CanSend() bool { return c.pool.canSend(time.Now(), c.ticket.Instance) }

// processOf identifies the current process of an instance.
func (p *pool) processOf(i *balance.Instance) availability.Process {
	out := availability.Process{ID: i.ID, Address: p.addresses[i.ID]}
	if !i.Started.IsZero() {
		out.StartMillis = i.Started.UnixMilli()
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

// applyNotice records the notice of an instance and reports whether it changes
// anything.
func (p *pool) applyNotice(now time.Time, id string, notice availability.Notice) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.findInstance(id)
	if i == nil {
		return false
	}
	if notice.Leaving {
		changed = p.notices.RecordLeaving(now, now, p.processOf(i), "")
	}
	changed = p.notices.RecordWait(now, p.processOf(i), notice.Wait) || changed
	if changed {
		p.updateBalancer(now)
	}
	return changed
}

func (p *pool) canSend(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.findInstance(id)
	return i == nil || p.acceptsNew(now, i)
}

func (p *pool) acceptsNew(now time.Time, i *balance.Instance) bool {
	s := p.notices.Of(p.processOf(i))
	return !s.IsLeaving() && !s.IsWaiting(now)
}

// updateBalancer passes the instances to the balancer. Those that are leaving or asked
// to wait are passed as draining. An instance whose wait has ended gets requests at the
// pace of one that has just started. Waiting requests are refused if no instance
// accepts new ones. The caller holds the lock.
func (p *pool) updateBalancer(now time.Time) {
	list := slices.Clone(p.listed)
	p.nextReturn = time.Time{}
	for k := range list {
		i := &list[k]
		p.notices.RecordStart(now, p.processOf(i))
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

// refusalIfNoneAccepts returns a refusal, with the time to come back, if every instance
// in use has announced that it leaves or has asked to wait. Instances that are drained
// or down are not in use. The caller holds the lock.
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
