package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/internal/lowmem"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer/peerpb"
)

// chunkTimeout bounds the transfer of a chunk between VMs.
const chunkTimeout = 5 * time.Second

// sleep waits for d. It returns false if the Control is closed before.
func (c *Control) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// jitter returns between 75 and 125 % of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

func (c *Control) tickLoop() {
	for c.sleep(c.opts.TickInterval) {
		c.mu.Lock()
		now := time.Now()
		c.performEffects(c.cluster.Tick(now))
		c.stepTracker(now, nil)
		c.checkReady(now)
		c.mu.Unlock()
	}
}

// goIfOpen runs f in the background unless the Control is being closed. The
// lock is held.
func (c *Control) goIfOpen(f func()) {
	if !c.closed {
		c.wg.Go(f)
	}
}

// performEffects carries out the effects of the membership. The lock is held.
func (c *Control) performEffects(effects []member.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case member.Send:
			c.goIfOpen(func() { c.send(e) })
		case member.Changed:
			c.logMember(e)
			if f := c.opts.OnMember; f != nil {
				c.notify.add(func() { f(e) })
			}
		case member.DocUpdate:
			c.handleDoc(e)
		case member.SectionUpdate:
			if f := c.opts.OnSection; f != nil {
				c.notify.add(func() { f(e.Section) })
			}
		case member.Refuted:
			ev := event.MemberRefuted
			if e.Duplicate {
				ev = event.MemberDuplicate
			}
			ev.Log(c.opts.Log, "by", e.By, "boot", e.Incarnation.Boot, "seq", e.Incarnation.Seq)
		}
	}
}

// handleDoc handles the announcement of a newer document. The lock is held.
func (c *Control) handleDoc(e member.DocUpdate) {
	switch e.Doc {
	case member.DocConfig:
		c.stepTracker(time.Now(), config.PeerVersion{Peer: e.Peer, Version: e.Version, Head: e.Hash})
	case member.DocPlan:
		if f := c.opts.OnPlan; f != nil {
			c.notify.add(func() { f(e) })
		}
	case member.DocList:
		if !c.fetchingList {
			c.fetchingList = true
			c.goIfOpen(func() { c.fetchList(e) })
		}
	}
}

// send delivers a heartbeat and processes the reply.
func (c *Control) send(s member.Send) {
	select {
	case c.sendSlots <- struct{}{}:
		defer func() { <-c.sendSlots }()
	default:
		c.sendFailed(s.To)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.exchangeTimeout())
	defer cancel()
	reply, err := c.opts.Pool.Exchange(ctx, s.Address, &s.Message)
	if err != nil {
		c.sendFailed(s.To)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPeerVersion(&reply)
	_, effects := c.cluster.Step(time.Now(), reply)
	c.performEffects(effects)
}

// exchangeTimeout exceeds the probe timeout, so that a late reply still proves
// that the VM is reachable.
func (c *Control) exchangeTimeout() time.Duration {
	if d := c.opts.Member.ProbeTimeout; d > 0 {
		return 2 * d
	}
	return time.Second
}

func (c *Control) sendFailed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.SendFailed(time.Now(), id)
}

// recordPeerVersion records the configuration version of a peer, by which this
// VM confirms its own version after the start. The lock is held.
func (c *Control) recordPeerVersion(m *member.Message) {
	if c.ready {
		return
	}
	if from, ok := c.cluster.Member(m.From); ok {
		c.startup.PeerAnswered(from.DataCentre, m.From, m.Docs[member.DocConfig].Version)
	}
}

// stepTracker passes an event to the tracker, or nil to evaluate its timeouts,
// and carries out the effects. The lock is held.
func (c *Control) stepTracker(now time.Time, update config.Update) {
	var effects []config.Effect
	step := func() { effects = c.tracker.Step(now, update) }
	if _, isChunk := update.(config.ChunkReceived); isChunk {
		// The last chunk of a version makes the tracker unpack all of it.
		lowmem.Run(step)
	} else {
		step()
	}
	for _, e := range effects {
		switch e := e.(type) {
		case config.Fetch:
			c.goIfOpen(func() { c.fetch(e) })
		case config.Apply:
			c.apply(now, e.Snapshot)
		case config.Refused:
			if e.Reason != c.lastRefusal.Reason || e.Version != c.lastRefusal.Version || e.Current != c.lastRefusal.Current {
				c.lastRefusal = e
				event.ConfigRefused.Log(c.opts.Log, "reason", string(e.Reason), "version", e.Version,
					"in_force", e.Current, "peer", e.Peer, "error", e.Err)
			}
		}
	}
}

func (c *Control) apply(now time.Time, s *config.Snapshot) {
	c.cluster.SetDoc(now, member.DocConfig, member.DocVersion{Version: s.Head.Version, Hash: s.HeadHash()})
	event.ConfigApplied.Log(c.opts.Log, "version", s.Head.Version, "change", s.Head.ChangeID, "by", s.Head.By)
	if f := c.opts.OnSnapshot; f != nil {
		c.notify.add(func() { f(s) })
	}
	// The announcement need not wait for the next tick.
	c.goIfOpen(func() {
		if c.sleep(30 * time.Millisecond) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.performEffects(c.cluster.Tick(time.Now()))
		}
	})
}

// fetch fetches a chunk for the tracker from a peer or the store.
func (c *Control) fetch(f config.Fetch) {
	data, err := c.fetchFrom(f)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.stepTracker(time.Now(), config.FetchFailed(f))
		return
	}
	c.stepTracker(time.Now(), config.ChunkReceived{Hash: f.Hash, Data: data, Peer: f.Peer})
}

func (c *Control) fetchFrom(f config.Fetch) ([]byte, error) {
	if f.Peer != "" {
		ctx, cancel := context.WithTimeout(c.ctx, chunkTimeout)
		defer cancel()
		return c.FetchChunk(ctx, f.Peer, f.Hash)
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.StoreTimeout)
	defer cancel()
	e, err := c.opts.Store.Get(ctx, configstore.ChunkPrefix+f.Hash.String())
	return e.Value, err
}

// checkReady reports readiness once the version in force is confirmed after
// the start. The lock is held.
func (c *Control) checkReady(now time.Time) {
	if c.ready || !c.startup.IsReady(now, c.tracker.Version()) {
		return
	}
	c.ready = true
	if f := c.opts.OnReady; f != nil {
		c.notify.add(f)
	}
}

// Exchange implements peer.Handler.
func (c *Control) Exchange(_ context.Context, m member.Message) *member.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	reply, effects := c.cluster.Step(now, m)
	if reply == nil {
		c.performEffects(effects)
		return nil
	}
	if from, ok := c.cluster.Member(m.From); ok {
		c.opts.Pool.ResetBackoff(from.Address)
	}
	c.recordPeerVersion(&m)
	c.performEffects(effects)
	return reply
}

// Chunk implements peer.Handler.
func (c *Control) Chunk(_ context.Context, hash [32]byte) ([]byte, bool) {
	c.mu.Lock()
	data, ok := c.tracker.Chunk(hash)
	if !ok && c.listData != nil && hash == c.cluster.Doc(member.DocList).Hash {
		data, ok = c.listData, true
	}
	c.mu.Unlock()
	if !ok && c.opts.Chunk != nil {
		return c.opts.Chunk(hash)
	}
	return data, ok
}

// HandleCrashReports implements peer.Handler.
func (c *Control) HandleCrashReports(_ context.Context, reports []*peerpb.CrashNote) {
	if c.opts.OnCrashReports != nil {
		c.opts.OnCrashReports(reports)
	}
}

// Versions implements peer.Handler.
func (c *Control) Versions(context.Context) *peerpb.VersionReply {
	r := &peerpb.VersionReply{Id: c.opts.Self.ID, DataCentre: c.opts.Self.DataCentre, Region: c.opts.Self.Region}
	if c.opts.DrainStates != nil {
		r.Draining, r.DrainsVersion = c.opts.DrainStates()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Config, r.Plan = c.tracker.Version(), c.cluster.Doc(member.DocPlan).Version
	return r
}
