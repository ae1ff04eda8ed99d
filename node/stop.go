package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/peer"
)

// handoverTimeout bounds the move of at-most-once partitions to other VMs beyond
// the lookup grace. It cannot end when no other VM is left or the store is down;
// the other members then change the view after this VM has gone.
const handoverTimeout = 10 * time.Second

// closeTimeout bounds the farewell after the last request has ended.
const closeTimeout = 2 * time.Second

// Stop ends the node gracefully: lookups stop to name it, it serves on until the
// cached answers have lapsed, hands over its at-most-once partitions, and ends
// when no request is in flight or ctx has ended. It returns the number of
// requests that were cut off.
func (n *Node) Stop(ctx context.Context) int {
	event.StopRequested.Log(n.log, "in_flight", n.proxy.InFlight())
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
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

// Kill ends the node at once, as the death of its process would.
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
