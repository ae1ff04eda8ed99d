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

// errOtherInstance means that the crash guard wants another instance.
var errOtherInstance = errors.New("node: the request must not go to this instance")

// broadcastTimeout bounds how long one broadcast of crash notes goes on.
const broadcastTimeout = 2 * time.Second

// crashNotes runs the crash guard and tells other VMs what it found.
type crashNotes struct {
	mu    sync.Mutex
	guard *crashguard.Guard
	// turns are the suspects that a request of this VM tries; see turn.
	turns   map[crashguard.Fingerprint]*turn
	waiting int
	// broadcast sends notes to all VMs without waiting for the replies.
	broadcast func(notes []*peerpb.CrashNote)
}

// begin asks whether the request may be sent to instance. It waits until the
// announcement of another try of a suspect has had time to arrive.
func (c *crashNotes) begin(ctx context.Context, q *proxy.Query, instance string) (crashguard.Ticket, error) {
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
		case crashguard.Other:
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

// isSuspect tells whether the request has cost an instance.
func (c *crashNotes) isSuspect(q *proxy.Query) bool {
	var f crashguard.Fingerprint
	copy(f[:], q.Fingerprint[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Suspect(time.Now(), f)
}

// end records the end of an attempt. The caller's refusal is never held back
// until the note has arrived everywhere; Retry-After covers that time.
func (c *crashNotes) end(t crashguard.Ticket, o proxy.Outcome) {
	outcome := crashguard.Unknown
	switch {
	case o.Cancelled:
	case o.Verdict == verdict.Ran && o.Status < http.StatusInternalServerError:
		// An instance may fail a request before it begins to run it.
		outcome = crashguard.Success
	case o.Reason == verdict.ReasonConnectionLost || o.Reason == verdict.ReasonTruncated:
		outcome = crashguard.Died
	}
	c.mu.Lock()
	c.guard.End(time.Now(), t, outcome)
	c.mu.Unlock()
	c.flush()
}

// notesPerMessage is what a peer accepts in one message.
const notesPerMessage = 64

// flush hands new notes to the broadcast.
func (c *crashNotes) flush() {
	for {
		c.mu.Lock()
		notes := c.guard.Outbox(notesPerMessage)
		c.mu.Unlock()
		if len(notes) == 0 || c.broadcast == nil {
			return
		}
		wire := make([]*peerpb.CrashNote, 0, len(notes))
		for i := range notes {
			if data, err := json.Marshal(&notes[i]); err == nil {
				wire = append(wire, &peerpb.CrashNote{Note: data})
			}
		}
		c.broadcast(wire)
	}
}

// merge takes notes of another VM.
func (c *crashNotes) merge(wire []*peerpb.CrashNote) {
	notes := make([]crashguard.Note, 0, len(wire))
	for _, w := range wire {
		var n crashguard.Note
		if err := json.Unmarshal(w.GetNote(), &n); err == nil {
			notes = append(notes, n)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Merge(time.Now(), notes)
}

// rows lists the suspects for the report.
func (c *crashNotes) rows() []crashguard.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Report(time.Now())
}
