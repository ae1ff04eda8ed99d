package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer"
)

// handoverTimeout bounds the time beyond the lookup grace in which at-most-once
// partitions move to other VMs. The move cannot complete when no other VM is left or
// the store is down; the remaining members then change the view after this VM has
// left.
const handoverTimeout = 10 * time.Second

// closeTimeout bounds the shutdown of the listeners and the announcement that this VM
// leaves, after the last request has ended.
const closeTimeout = 2 * time.Second

// Stop ends the node gracefully: lookups no longer return it, it goes on serving
// until cached lookup answers have expired, hands over its at-most-once partitions,
// and ends when no request is in flight and callers are quiet, or ctx has ended. It
// returns the number of requests that were cut off.
func (n *Node) Stop(ctx context.Context) int {
	event.StopRequested.Log(n.log, "in_flight", n.proxy.InFlight())
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	if end, ok := ctx.Deadline(); ok {
		n.proxy.Finish(end)
	}
	n.control.Declare(member.Leaving)
	n.refresh(time.Now())
	var handover conc.WaitGroup
	handoverCtx, cancelHandover := context.WithTimeout(ctx, n.settings.Node.LookupGrace+handoverTimeout)
	defer cancelHandover()
	handover.Go(func() { _ = n.runner.Leave(handoverCtx) })
	grace := time.NewTimer(n.settings.Node.LookupGrace)
	select {
	case <-grace.C:
	case <-ctx.Done():
		grace.Stop()
	}
	cutOff := n.proxy.Stop(ctx)
	handover.Wait()
	if cutOff > 0 {
		event.StopTimedOut.Log(n.log, "in_flight", cutOff)
	}
	_ = n.callerListener.Close()
	n.callerListener.AwaitQuiet(ctx)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(shutdownCtx)
	}
	n.control.Leave(shutdownCtx)
	n.Kill()
	event.StopFinished.Log(n.log, "cut_off", cutOff)
	return cutOff
}

// Kill ends the node at once, as a crash of its process would.
func (n *Node) Kill() {
	n.once.Do(func() {
		n.cancel()
		for _, s := range n.servers {
			_ = s.Close()
		}
		if n.dns != nil {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = n.dns.Shutdown(ended)
		}
		if n.peers != nil {
			_ = n.peers.Close()
		}
		if n.control != nil {
			n.control.Close()
		}
		for _, p := range []*peer.Pool{n.pool, n.oncePool, n.claimPool} {
			if p != nil {
				_ = p.Close()
			}
		}
		n.group.Wait()
		_ = n.metrics.Close()
		n.unwatchInvariants()
	})
}
