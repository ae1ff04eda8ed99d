package control

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer/peerpb"
)

// Publish writes a change to the store, see configstore.Publisher.Publish, and
// announces it to other VMs without waiting for the watchers.
func (c *Control) Publish(ctx context.Context, base uint64, content config.Content, m config.Meta) (configstore.Result, error) {
	r, err := c.publisher.Publish(ctx, base, content, m)
	return r, c.announce(ctx, r, err)
}

// RollForward publishes the content of an earlier version as the next version.
func (c *Control) RollForward(ctx context.Context, base, to uint64, m config.Meta) (configstore.Result, error) {
	r, err := c.publisher.RollForward(ctx, base, to, m)
	return r, c.announce(ctx, r, err)
}

// announce puts an accepted change in force on this VM, which announces it to
// the others.
func (c *Control) announce(ctx context.Context, r configstore.Result, err error) error {
	if err != nil {
		return err
	}
	event.ConfigAccepted.Log(c.opts.Log, "version", r.Version, "change", r.ChangeID, "merged", r.Merged, "resent", r.Resent)
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	if e, err := c.opts.Store.Get(ctx, configstore.HeadKey); err == nil {
		c.storeAnswered(e, nil, 0, true)
		c.awaitVersion(ctx, r.Version)
	}
	return nil
}

// awaitPollInterval is the interval at which awaitVersion checks the version.
const awaitPollInterval = 2 * time.Millisecond

// awaitVersion waits until a version is in force on this VM or ctx ends. After
// it, requests to this VM follow the accepted change.
func (c *Control) awaitVersion(ctx context.Context, version uint64) {
	for c.Version() < version && ctx.Err() == nil {
		time.Sleep(awaitPollInterval)
	}
}

// Progress is the number of VMs on which a version is in force.
type Progress struct {
	Version uint64
	InForce int
	Total   int
	// Lagging are the IDs of the VMs that have an older version or did not
	// answer, in ascending order.
	Lagging []string
}

// Limits of AwaitInForce.
const (
	maxInForceCalls    = 32
	inForceInterval    = 200 * time.Millisecond
	inForceCallTimeout = time.Second
)

// AwaitInForce asks all VMs for their version until all have the given one or ctx
// ends. report, if not nil, is called after each round.
func (c *Control) AwaitInForce(ctx context.Context, version uint64, report func(Progress)) Progress {
	s := newSurvey(version)
	for {
		p := c.askVersions(ctx, s)
		if report != nil {
			report(p)
		}
		if len(p.Lagging) == 0 || ctx.Err() != nil {
			return p
		}
		t := time.NewTimer(jitter(inForceInterval))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return p
		case <-c.ctx.Done():
			t.Stop()
			return p
		}
	}
}

// askVersions asks the VMs that are not known to have the version.
func (c *Control) askVersions(ctx context.Context, s *survey) Progress {
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxInForceCalls)
	for _, m := range c.Members() {
		if m.ID == c.opts.Self.ID {
			mu.Lock()
			s.recordAnswer(m.ID, c.Version())
			mu.Unlock()
			continue
		}
		mu.Lock()
		ask := s.shouldAsk(m)
		mu.Unlock()
		if !ask {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, inForceCallTimeout)
			defer cancel()
			v, err := c.opts.Pool.Version(ctx, m.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || v.Id != m.ID {
				s.recordMiss(m.ID)
				return
			}
			s.recordAnswer(m.ID, v.Config)
		})
	}
	calls.Wait()
	return s.progress(c.Members())
}

// BroadcastCrashReports sends crash reports to all VMs that are not gone. It
// returns when all calls have ended; ctx bounds them.
func (c *Control) BroadcastCrashReports(ctx context.Context, reports []*peerpb.CrashNote) {
	calls := pool.New().WithMaxGoroutines(maxInForceCalls)
	for _, m := range c.Members() {
		if m.State == member.Gone || m.Incarnation.Boot == 0 || m.ID == c.opts.Self.ID {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, inForceCallTimeout)
			defer cancel()
			// A VM that misses a report still learns from the crashes of instances that
			// it sees itself.
			_ = c.opts.Pool.SendCrashReports(ctx, m.Address, reports)
		})
	}
	calls.Wait()
}

// AskVersions asks all other VMs that are not gone which versions they have in
// force. It also returns the IDs of those that did not answer.
func (c *Control) AskVersions(ctx context.Context) (replies map[string]*peerpb.VersionReply, unanswered []string) {
	replies = make(map[string]*peerpb.VersionReply)
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxInForceCalls)
	for _, m := range c.Members() {
		if m.State == member.Gone || m.Incarnation.Boot == 0 || m.ID == c.opts.Self.ID {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, inForceCallTimeout)
			defer cancel()
			v, err := c.opts.Pool.Version(ctx, m.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || v.Id != m.ID {
				unanswered = append(unanswered, m.ID)
				return
			}
			replies[m.ID] = v
		})
	}
	calls.Wait()
	return replies, unanswered
}
