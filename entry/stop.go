package entry

import (
	"context"
	"time"

	"github.com/currantferry/currantferry/event"
)

const (
	// stopMargin is kept between the end of the last answers and that of the
	// grace: the process must be gone before it is killed.
	stopMargin = 300 * time.Millisecond
	// flushTime is for answers that were written and not yet sent.
	flushTime = 200 * time.Millisecond
	// lingerShare is the part of the grace in which a stopping VM still serves
	// callers that know it from an earlier lookup.
	lingerShare = 0.35
)

// Stop ends the node gracefully within the grace of the settings: lookups and
// readiness end at once, callers that still come are served for a while, and
// requests in flight are brought to their end. It returns the number of requests
// that were cut off.
func (n *Node) Stop() int {
	began := time.Now()
	event.StopRequested.Log(n.log, "in_flight", n.proxy.InFlight())
	n.leaving.Store(true)
	n.wakeAnnounce()
	grace := n.settings.StopGrace
	linger := time.NewTimer(time.Duration(lingerShare * float64(grace)))
	defer linger.Stop()
	<-linger.C
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancel()
	// Closes the listener and idle connections at once. It would wait for seconds
	// for connections that never sent anything, so their end is not awaited.
	shut := make(chan struct{})
	n.group.Go(func() {
		defer close(shut)
		_ = n.callers.Shutdown(ctx)
	})
	left := n.proxy.Stop(ctx)
	if left > 0 {
		event.StopTimedOut.Log(n.log, "in_flight", left)
	} else {
		// The last answers are still on their way to their connections.
		flushed := time.NewTimer(flushTime)
		defer flushed.Stop()
		select {
		case <-shut:
		case <-flushed.C:
		}
	}
	cancel()
	n.close()
	event.StopFinished.Log(n.log, "cut_off", left, "took_ms", time.Since(began).Milliseconds())
	return left
}

// Kill ends the node at once, as the death of its process would.
func (n *Node) Kill() { n.close() }
