package entry

import (
	"log/slog"
	"maps"
	"os"
	"time"

	"github.com/currantferry/currantferry/event"
)

// SettingsReader reads the settings file again after it has changed.
type SettingsReader struct {
	path    string
	log     *slog.Logger
	modTime time.Time
	size    int64
}

// NewSettingsReader returns a reader that considers the present file as already read.
func NewSettingsReader(path string, log *slog.Logger) *SettingsReader {
	r := &SettingsReader{path: path, log: log}
	r.detectChange()
	return r
}

func (r *SettingsReader) detectChange() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		// The settings in force stay. A file that is being replaced exists again at the
		// next poll.
		event.SettingsInvalid.Log(r.log, "file", r.path, "error", err)
		return false
	}
	if info.ModTime().Equal(r.modTime) && info.Size() == r.size {
		return false
	}
	r.modTime, r.size = info.ModTime(), info.Size()
	return true
}

// Poll reads the file if it has changed.
func (r *SettingsReader) Poll(n *Node) {
	if r.detectChange() {
		r.Read(n)
	}
}

// Read reads the file. If it is invalid, the settings in force stay.
func (r *SettingsReader) Read(n *Node) {
	s, err := LoadSettings(r.path)
	if err != nil {
		event.SettingsInvalid.Log(r.log, "file", r.path, "error", err)
		return
	}
	n.SetSettings(s)
}

// SetSettings applies new settings as far as a running VM can. Those that it can't apply keep
// their values until a restart, and are named in the log.
func (n *Node) SetSettings(s *Settings) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.settings.Load()
	next, changed, deferred := mergeSettings(old, s)
	n.settings.Store(next)
	for _, k := range changed {
		event.SettingChanged.Log(n.log, "section", k.Section, "key", k.Name, "before", k.show(old), "value", k.show(next))
	}
	for _, k := range deferred {
		event.SettingNeedsRestart.Log(n.log, "section", k.Section, "key", k.Name, "in_force", k.show(old), "file", k.show(s))
	}
	n.budgetMu.Lock()
	n.budget.SetRatio(retryShare * next.RetryRatio)
	n.budgetMu.Unlock()
	n.selector.setBounds(next)
	n.teamCaps.setBound(teamBound(next))
	n.guard.SetLimits(callerLimits(next))
	n.sharers.setLeaseTTL(n.leaseTTL())
	n.setVMs(now, nil)
	if !maps.Equal(next.Regions, old.Regions) {
		event.DataCentresChanged.Log(n.log, "before", len(old.Regions), "now", len(next.Regions))
		clear(n.unknownDataCentres)
		n.selector.setInstances(now, n.placementInstances())
	}
	event.SettingsRead.Log(n.log, "changed", len(changed), "needs_restart", len(deferred))
}

// mergeSettings returns the settings in force after a reload, the keys whose values change,
// and those whose changes need a restart.
func mergeSettings(old, file *Settings) (next *Settings, changed, deferred []SettingKey) {
	merged := *old
	for _, k := range settingKeys {
		switch {
		case k.isSame(old, file):
		case k.Reloads:
			k.copy(&merged, file)
			changed = append(changed, k)
		default:
			deferred = append(deferred, k)
		}
	}
	merged.Regions = maps.Clone(file.Regions)
	if old.DataCentre != "" {
		// This VM stays where it is until it is restarted.
		merged.Regions[old.DataCentre] = old.Region
	}
	return &merged, changed, deferred
}
