package entry

import (
	"log/slog"
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

// SetSettings applies the bounds of new settings. Changes of addresses, the location or
// the store take effect after a restart.
func (n *Node) SetSettings(s *Settings) {
	n.budgetMu.Lock()
	n.budget.SetRatio(retryShare * s.RetryRatio)
	n.budgetMu.Unlock()
	n.selector.setBounds(s)
	old := n.settings
	restart := s.Caller != old.Caller || s.Ready != old.Ready || s.Lookup != old.Lookup || s.Peer != old.Peer || s.Store != old.Store || s.Region != old.Region
	event.SettingsRead.Log(n.log, "cold_over", s.ColdOver, "cold_slack", s.ColdSlack, "shift_most", s.MaxShift, "retry_ratio", s.RetryRatio, "needs_restart", restart)
}
