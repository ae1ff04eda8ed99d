package crashguard

import (
	"slices"
	"time"
)

func (g *Guard) touch(e *entry) {
	if !e.dirty {
		e.dirty = true
		g.dirty = append(g.dirty, e.Fingerprint)
	}
}

// Outbox hands out at most limit notes to broadcast, oldest change first. A
// retry of a suspect waits until its note was handed out, so the caller must
// send what it gets. A limit of 0 or less means all.
func (g *Guard) Outbox(limit int) []Note {
	if limit <= 0 || limit > len(g.dirty) {
		limit = len(g.dirty)
	}
	out := make([]Note, 0, limit)
	for _, f := range g.dirty[:limit] {
		if e := g.notes[f]; e != nil && e.dirty {
			e.dirty = false
			out = append(out, e.clone())
		}
	}
	g.dirty = g.dirty[limit:]
	return out
}

// All returns every note that counts, for a peer that joined.
func (g *Guard) All(now time.Time) []Note {
	out := make([]Note, 0, len(g.notes))
	for f := range g.notes {
		if e := g.lookup(now, f); e != nil {
			out = append(out, e.clone())
		}
	}
	slices.SortFunc(out, func(a, b Note) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}

// Merge adds notes of peers, in any order and any number of times. Expired notes
// are ignored, and times ahead of this VM's clock are taken as now, so that a
// peer's clock cannot block a request for longer than the expiry.
func (g *Guard) Merge(now time.Time, notes []Note) {
	for i := range notes {
		n := notes[i].clone()
		n.Text = n.Text[:min(len(n.Text), maxText)]
		n.Deaths = n.Deaths[:min(len(n.Deaths), maxDeaths)]
		n.Trials = n.Trials[:min(len(n.Trials), maxTrials)]
		for j := range n.Deaths {
			if n.Deaths[j].At.After(now) {
				n.Deaths[j].At = now
			}
		}
		n.Deaths = slices.DeleteFunc(n.Deaths, func(d Death) bool { return now.Sub(d.At) >= g.cfg.Expiry })
		e := g.lookup(now, n.Fingerprint)
		if e == nil {
			if len(n.Deaths) == 0 && n.Generation == 0 {
				continue
			}
			g.makeRoom(now)
			e = &entry{Note: Note{Fingerprint: n.Fingerprint, Service: n.Service}, seen: now}
			g.notes[n.Fingerprint] = e
		}
		generation := e.Generation
		if e.merge(&n) {
			e.seen = now
		}
		if e.Generation != generation {
			e.own, e.started = nil, false
		}
		g.announceRunning(e)
	}
}

// makeRoom keeps the notes within their bound.
func (g *Guard) makeRoom(now time.Time) {
	if len(g.notes) < g.cfg.MaxNotes {
		return
	}
	var oldest *entry
	for f := range g.notes {
		e := g.lookup(now, f)
		if e == nil {
			continue
		}
		if oldest == nil || e.older(oldest) {
			oldest = e
		}
	}
	if len(g.notes) >= g.cfg.MaxNotes && oldest != nil {
		delete(g.notes, oldest.Fingerprint)
	}
}

// older orders notes for eviction: cleared ones, then suspects, then blocked
// ones, each by their last death.
func (e *entry) older(o *entry) bool {
	if a, b := min(len(e.Deaths), maxInstances), min(len(o.Deaths), maxInstances); a != b {
		return a < b
	}
	if c := e.lastDeath().Compare(o.lastDeath()); c != 0 {
		return c < 0
	}
	return slices.Compare(e.Fingerprint[:], o.Fingerprint[:]) < 0
}

// Row is one line of the report.
type Row struct {
	Note
	Blocked bool      `json:"blocked"`
	Until   time.Time `json:"until"`
}

// Report lists the suspects and the blocked requests, the latest death first.
func (g *Guard) Report(now time.Time) []Row {
	var out []Row
	for _, n := range g.All(now) {
		if len(n.Deaths) > 0 {
			out = append(out, Row{Note: n, Blocked: n.blocked(), Until: n.lastDeath().Add(g.cfg.Expiry)})
		}
	}
	slices.SortStableFunc(out, func(a, b Row) int { return b.Until.Compare(a.Until) })
	return out
}
