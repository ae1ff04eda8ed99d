package crashguard

import (
	"slices"
	"time"
)

// markDirty schedules a changed report for Outbox.
func (g *Guard) markDirty(e *entry) {
	if !e.dirty {
		e.dirty = true
		g.dirty = append(g.dirty, e.Fingerprint)
	}
}

// Outbox returns at most limit changed reports to broadcast, oldest change first. A
// limit of 0 or less means all. The caller must send what it gets, since trials start
// on the assumption that the returned reports are on their way.
func (g *Guard) Outbox(limit int) []CrashReport {
	if limit <= 0 || limit > len(g.dirty) {
		limit = len(g.dirty)
	}
	out := make([]CrashReport, 0, limit)
	for _, f := range g.dirty[:limit] {
		if e := g.reports[f]; e != nil && e.dirty {
			e.dirty = false
			out = append(out, e.clone())
		}
	}
	g.dirty = g.dirty[limit:]
	return out
}

// All returns every report that has not expired, for a peer that joined.
func (g *Guard) All(now time.Time) []CrashReport {
	out := make([]CrashReport, 0, len(g.reports))
	for f := range g.reports {
		if e := g.lookup(now, f); e != nil {
			out = append(out, e.clone())
		}
	}
	slices.SortFunc(out, func(a, b CrashReport) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}

// Merge adds the reports of peers, in any order and any number of times. Expired
// reports are ignored, and times ahead of this VM's clock are taken as now, so that a
// peer with a fast clock cannot block a request for longer than ReportTTL.
func (g *Guard) Merge(now time.Time, reports []CrashReport) {
	for i := range reports {
		r := reports[i].clone()
		r.Text = r.Text[:min(len(r.Text), maxTextBytes)]
		r.Crashes = r.Crashes[:min(len(r.Crashes), maxCrashes)]
		r.Trials = r.Trials[:min(len(r.Trials), maxTrials)]
		for j := range r.Crashes {
			if r.Crashes[j].At.After(now) {
				r.Crashes[j].At = now
			}
		}
		r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return now.Sub(c.At) >= g.cfg.ReportTTL })
		e := g.lookup(now, r.Fingerprint)
		if e == nil {
			if len(r.Crashes) == 0 && r.Generation == 0 {
				continue
			}
			g.evictOldest(now)
			e = &entry{CrashReport: CrashReport{Fingerprint: r.Fingerprint, Service: r.Service}, changedAt: now}
			g.reports[r.Fingerprint] = e
		}
		generation := e.Generation
		if e.merge(&r) {
			e.changedAt = now
		}
		if e.Generation != generation {
			e.ownTrial, e.ownStarted = nil, false
		}
		g.announceRunning(e)
	}
}

// evictOldest makes room for one more report.
func (g *Guard) evictOldest(now time.Time) {
	if len(g.reports) < g.cfg.MaxReports {
		return
	}
	var oldest *entry
	for f := range g.reports {
		e := g.lookup(now, f)
		if e == nil {
			continue
		}
		if oldest == nil || e.isEvictedBefore(oldest) {
			oldest = e
		}
	}
	if len(g.reports) >= g.cfg.MaxReports && oldest != nil {
		delete(g.reports, oldest.Fingerprint)
	}
}

// isEvictedBefore orders reports for eviction: first those that were cleared, then
// suspects, then blocked requests, each by their last crash.
func (e *entry) isEvictedBefore(o *entry) bool {
	if a, b := min(len(e.Crashes), maxCrashedInstances), min(len(o.Crashes), maxCrashedInstances); a != b {
		return a < b
	}
	if c := e.lastCrash().Compare(o.lastCrash()); c != 0 {
		return c < 0
	}
	return slices.Compare(e.Fingerprint[:], o.Fingerprint[:]) < 0
}

// Row is one line of Report.
type Row struct {
	CrashReport
	Blocked bool `json:"blocked"`
	// Until is when the report expires.
	Until time.Time `json:"until"`
}

// Report lists the suspects and the blocked requests, the latest crash first.
func (g *Guard) Report(now time.Time) []Row {
	var out []Row
	for _, r := range g.All(now) {
		if len(r.Crashes) > 0 {
			out = append(out, Row{CrashReport: r, Blocked: r.isBlocked(), Until: r.lastCrash().Add(g.cfg.ReportTTL)})
		}
	}
	slices.SortStableFunc(out, func(a, b Row) int { return b.Until.Compare(a.Until) })
	return out
}
