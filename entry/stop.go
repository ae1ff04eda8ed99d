package entry

import (
	"context"
	"time"

	"github.com/currantferry/currantferry/event"
)

const (
	// stopMargin is the time between the last answers and the end of the grace, at which
	// the process is killed: it must have exited before.
	stopMargin = 300 * time.Millisecond
	// flushTimeout bounds the wait for answers that are written but not yet sent.
	flushTimeout = 200 * time.Millisecond
	// lingerShare is the part of the grace during which a stopping VM still serves
	// callers that know it from an earlier lookup.
	lingerShare = 0.35
)

// Stop stops the node gracefully within the grace of the settings. Lookups and readiness
// end immediately. New requests are accepted for lingerShare of the grace if they end within it
// at the latest, and requests in flight are completed. It returns the number of requests that
// were cut off.
func (n *Node) Stop() int {
	started := time.Now()
	event.StopRequested.Log(n.log, "in_flight", n.proxy.InFlight())
	grace := n.settings.Load().StopGrace
	n.finishCallers()
	n.proxy.Finish(started.Add(grace - stopMargin - flushTimeout))
	n.triggerAnnounce()
	linger := time.NewTimer(time.Duration(lingerShare * float64(grace)))
	defer linger.Stop()
	<-linger.C
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-stopMargin))
	defer cancel()
	// Shutdown closes the listener and idle connections immediately. It would wait
	// several seconds for connections that never sent anything, so nothing waits for its
	// end.
	shutdownDone := make(chan struct{})
	n.group.Go(func() {
		defer close(shutdownDone)
		_ = n.callers.Shutdown(ctx)
	})
	cutOff := n.proxy.Stop(ctx)
	if cutOff > 0 {
		event.StopTimedOut.Log(n.log, "in_flight", cutOff)
	} else {
		// The last answers may still be in the buffers of their connections.
		timeout := flushTimeout
		if n.isPipelining() {
			// Whole answers may wait there for earlier ones that are read slowly, and Shutdown
			// waits for nothing else.
			timeout = time.Until(started.Add(grace - stopMargin))
		}
		flushed := time.NewTimer(timeout)
		defer flushed.Stop()
		select {
		case <-shutdownDone:
		case <-flushed.C:
		}
	}
	cancel()
	n.close()
	event.StopFinished.Log(n.log, "cut_off", cutOff, "took_ms", time.Since(started).Milliseconds())
	return cutOff
}

// Kill stops the node immediately, like a crash of its process.
func (n *Node) Kill() { n.close() }
