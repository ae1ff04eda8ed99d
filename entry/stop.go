package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/currantferry/currantferry/event"
)

const (
	// stopMargin is the time between the last answers and the end of the grace, at which
	// the process is killed: it must have exited before.
	stopMargin = 300 * time.Millisecond
	// flushTimeout is the time for answers that are written but not yet sent.
	flushTimeout = 200 * time.Millisecond
	// lingerShare is the part of the grace during which a stopping VM still accepts
	// connections of callers that know it from an earlier lookup.
	lingerShare = 0.35
)

// Stop stops the node gracefully within the grace of the settings. Lookups and readiness
// end immediately. New requests are accepted for lingerShare of the grace if they end within it
// at the latest, and requests in flight are completed. Later ones on open connections are refused
// until callers are quiet. It returns the number of requests that were cut off.
func (n *Node) Stop() int {
	started := time.Now()
	event.StopRequested.Log(n.log, "in_flight", n.proxy.InFlight())
	grace := n.settings.Load().StopGrace
	end := started.Add(grace - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.finishCallers()
	n.proxy.Finish(end.Add(-flushTimeout))
	n.triggerAnnounce()
	linger := time.NewTimer(time.Duration(lingerShare * float64(grace)))
	defer linger.Stop()
	<-linger.C
	_ = n.callerConns.Close()
	cutOff := n.proxy.Stop(ctx)
	if cutOff > 0 {
		event.StopTimedOut.Log(n.log, "in_flight", cutOff)
	}
	n.callerConns.AwaitQuiet(ctx)
	n.flush(ctx)
	n.close()
	event.StopFinished.Log(n.log, "cut_off", cutOff, "took_ms", time.Since(started).Milliseconds())
	return cutOff
}

// flush closes the idle connections and waits until the last answers are sent: to callers,
// which may read slowly, until ctx is done, to other VMs for flushTimeout at most.
func (n *Node) flush(ctx context.Context) {
	var servers conc.WaitGroup
	defer servers.Wait()
	servers.Go(func() { _ = n.callers.Shutdown(ctx) })
	short, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for _, s := range n.servers {
		servers.Go(func() { _ = s.Shutdown(short) })
	}
	servers.Wait()
}

// Kill stops the node immediately, like a crash of its process.
func (n *Node) Kill() { n.close() }
