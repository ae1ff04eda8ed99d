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
	// returnWork is the work that a request is taken to be when refused callers are
	// told when to come back: the usual of the workloads.
	returnWork = 200 * time.Millisecond
	// leavingRetry is the advice to a caller when all instances leave: about the time
	// in which a change of the register arrives.
	leavingRetry = 2 * time.Second
)

// Said takes what the instance's answer says about new requests.
func (c *selection) Said(w availability.Word) {
	id := c.ticket.Instance
	if w.Unusable {
		event.WaitUnusable.Log(c.s.log, "id", id)
	}
	if !c.pool.said(time.Now(), id, w) {
		return
	}
	if w.Leaving {
		event.InstanceLeaves.Log(c.s.log, "id", id, "heard_from", "")
		c.s.forget(c.pool.address(id))
	}
	if w.Wait > 0 {
		event.InstanceAsksToWait.Log(c.s.log, "id", id, "wait_ms", w.Wait.Milliseconds())
	}
}

// IsWanted tells whether the instance still takes the request, which was chosen for it
// some time ago.
func (c *selection) IsWanted() bool { return c.pool.isWanted(time.Now(), c.ticket.Instance) }

// process names the present start of an instance.
func (p *pool) process(i *balance.Instance) availability.Process {
	out := availability.Process{ID: i.ID, Address: p.addresses[i.ID]}
	if !i.Started.IsZero() {
		out.Born = i.Started.UnixMilli()
	}
	return out
}

func (p *pool) find(id string) *balance.Instance {
	k := slices.IndexFunc(p.listed, func(i balance.Instance) bool { return i.ID == id })
	if k < 0 {
		return nil
	}
	return &p.listed[k]
}

// said takes the word of an instance and tells whether it is news.
func (p *pool) said(now time.Time, id string, w availability.Word) (isNews bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.find(id)
	if i == nil {
		return false
	}
	if w.Leaving {
		isNews = p.words.Leaving(now, now, p.process(i), "")
	}
	isNews = p.words.Wait(now, p.process(i), w.Wait) || isNews
	if isNews {
		p.apply(now)
	}
	return isNews
}

func (p *pool) isWanted(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.find(id)
	return i == nil || p.takesNew(now, i)
}

func (p *pool) takesNew(now time.Time, i *balance.Instance) bool {
	s := p.words.Of(p.process(i))
	return !s.IsLeaving() && !s.IsWaiting(now)
}

// apply puts the instances in force, less those that said that they want no new
// requests. One that returns gets them at the pace of one that has just started. The
// lock is held.
func (p *pool) apply(now time.Time) {
	list := slices.Clone(p.listed)
	p.returning = time.Time{}
	for k := range list {
		i := &list[k]
		p.words.Started(now, p.process(i))
		if p.takesNew(now, i) {
			continue
		}
		i.Draining = true
		if s := p.words.Of(p.process(i)); s.IsWaiting(now) && (p.returning.IsZero() || s.WaitUntil.Before(p.returning)) {
			p.returning = s.WaitUntil
		}
	}
	p.balancer.SetInstances(now, list)
	for key, w := range p.waiters {
		if err := p.nobodyTakes(now, time.Time{}); err != nil {
			delete(p.waiters, key)
			p.balancer.Done(now, w.ticket, balance.Cancelled)
			w.started <- balance.Event{Err: err}
		}
	}
	p.tick(now)
}

// nobodyTakes refuses a request if each instance that the register has in use said that
// it wants none, and tells when to come back. The lock is held.
func (p *pool) nobodyTakes(now, deadline time.Time) *verdict.Error {
	slots, inUse := 0, 0
	for k := range p.listed {
		i := &p.listed[k]
		if i.Draining {
			continue
		}
		inUse++
		if p.takesNew(now, i) {
			return nil
		}
		if s := p.words.Of(p.process(i)); !s.IsLeaving() && s.WaitUntil.Equal(p.returning) {
			slots += i.Slots
		}
	}
	if inUse == 0 {
		return nil
	}
	after := leavingRetry
	if slots > 0 {
		rate := float64(slots) / returnWork.Seconds()
		after = p.returns.Place(p.returning, rate, deadline.Add(-returnWork)).Sub(now)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonAskedToWait, after)
}
