package node

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/peer/peerpb"
	"github.com/currantferry/currantferry/proxy"
	"github.com/currantferry/currantferry/verdict"
)

// errOtherInstance means that the crash guard excludes the chosen instance.
var errOtherInstance = errors.New("node: the crash guard excludes this instance")

// broadcastTimeout bounds one broadcast of crash reports.
const broadcastTimeout = 2 * time.Second

// crashTracker runs the crash guard and broadcasts its crash reports to other VMs.
type crashTracker struct {
	mu    sync.Mutex
	guard *crashguard.Guard
	// permits holds the trial permits in use, by the fingerprint of the suspect.
	// numWaiting counts the requests that wait for one.
	permits    map[crashguard.Fingerprint]*trialPermit
	numWaiting int
	// broadcast sends crash reports to all VMs without waiting for the replies.
	broadcast func(reports []*peerpb.CrashNote)
}

// begin asks the crash guard whether the request may be sent to instance. It waits
// until the announcement of another trial of the suspect has had time to arrive.
func (c *crashTracker) begin(ctx context.Context, q *proxy.Query, instance string) (crashguard.Ticket, error) {
	request := crashguard.Request{Service: q.Service.Name, Text: q.Method + " " + q.Path}
	copy(request.Fingerprint[:], q.Fingerprint[:])
	for {
		c.mu.Lock()
		d := c.guard.Begin(time.Now(), request, instance)
		c.mu.Unlock()
		c.flush()
		switch d.Action {
		case crashguard.Start:
			return d.Ticket, nil
		case crashguard.OtherInstance:
			return 0, errOtherInstance
		case crashguard.Refuse:
			return 0, d.Err
		}
		timer := time.NewTimer(max(time.Millisecond, time.Until(d.Until)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			c.mu.Lock()
			c.guard.Abandon(time.Now(), request.Fingerprint)
			c.mu.Unlock()
			c.flush()
			return 0, verdict.Wrap(ctx.Err(), verdict.NotRun, contextReason(ctx))
		}
	}
}

// isSuspect reports whether an instance was lost while it ran the request, and the
// request is not cleared.
func (c *crashTracker) isSuspect(q *proxy.Query) bool {
	var f crashguard.Fingerprint
	copy(f[:], q.Fingerprint[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.IsSuspect(time.Now(), f)
}

// end records the end of an attempt. The refusal is sent to the caller without
// waiting until the crash report has arrived everywhere; Retry-After covers that
// time.
func (c *crashTracker) end(t crashguard.Ticket, o proxy.Outcome) {
	outcome := crashguard.Unknown
	switch {
	case o.Cancelled:
	case o.Verdict == verdict.Ran && o.Status < http.StatusInternalServerError:
		// Answers of 500 and above are left out: an instance may fail a request
		// before it begins to run it.
		outcome = crashguard.Success
	case o.Reason == verdict.ReasonConnectionLost || o.Reason == verdict.ReasonTruncated:
		outcome = crashguard.Crashed
	}
	c.mu.Lock()
	c.guard.End(time.Now(), t, outcome)
	c.mu.Unlock()
	c.flush()
}

// maxReportsPerMessage is the number of crash reports that a peer accepts in one
// message.
const maxReportsPerMessage = 64

// flush broadcasts the crash reports that were not sent yet.
func (c *crashTracker) flush() {
	for {
		c.mu.Lock()
		reports := c.guard.Outbox(maxReportsPerMessage)
		c.mu.Unlock()
		if len(reports) == 0 || c.broadcast == nil {
			return
		}
		encoded := make([]*peerpb.CrashNote, 0, len(reports))
		for i := range reports {
			if data, err := json.Marshal(&reports[i]); err == nil {
				encoded = append(encoded, &peerpb.CrashNote{Note: data})
			}
		}
		c.broadcast(encoded)
	}
}

// merge adds the crash reports of another VM.
func (c *crashTracker) merge(encoded []*peerpb.CrashNote) {
	reports := make([]crashguard.CrashReport, 0, len(encoded))
	for _, m := range encoded {
		var report crashguard.CrashReport
		if err := json.Unmarshal(m.GetNote(), &report); err == nil {
			reports = append(reports, report)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Merge(time.Now(), reports)
}

// suspects lists the suspects for the report and the status.
func (c *crashTracker) suspects() []crashguard.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Report(time.Now())
}
