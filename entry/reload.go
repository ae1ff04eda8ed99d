package entry

import (
	"log/slog"
	"os"
	"time"

	"github.com/currantferry/currantferry/event"
)

// SettingsReader reads the settings file again when it has changed.
type SettingsReader struct {
	path    string
	log     *slog.Logger
	changed time.Time
	size    int64
}

// NewSettingsReader returns a reader that takes the present file as read.
func NewSettingsReader(path string, log *slog.Logger) *SettingsReader {
	r := &SettingsReader{path: path, log: log}
	r.hasChanged()
	return r
}

func (r *SettingsReader) hasChanged() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		// The settings in force stay; a file that is being replaced is back
		// at the next look.
		event.SettingsInvalid.Log(r.log, "file", r.path, "error", err)
		return false
	}
	if info.ModTime().Equal(r.changed) && info.Size() == r.size {
		return false
	}
	r.changed, r.size = info.ModTime(), info.Size()
	return true
}

// Poll reads the file if it has changed.
func (r *SettingsReader) Poll(n *Node) {
	if r.hasChanged() {
		r.Read(n)
	}
}

// Read reads the file. Faulty settings leave those in force.
func (r *SettingsReader) Read(n *Node) {
	s, err := LoadSettings(r.path)
	if err != nil {
		event.SettingsInvalid.Log(r.log, "file", r.path, "error", err)
		return
	}
	n.SetSettings(s)
}

// SetSettings puts the bounds of new settings in force. Addresses, places and the
// store take a restart.
func (n *Node) SetSettings(s *Settings) {
	n.budgetMu.Lock()
	n.budget.SetRatio(retryShare * s.RetryRatio)
	n.budgetMu.Unlock()
	n.selector.setBounds(s)
	old := n.settings
	restart := s.Caller != old.Caller || s.Ready != old.Ready || s.Lookup != old.Lookup || s.Peer != old.Peer || s.Store != old.Store || s.Region != old.Region
	event.SettingsRead.Log(n.log, "cold_over", s.ColdOver, "cold_slack", s.ColdSlack, "shift_most", s.ShiftMost, "retry_ratio", s.RetryRatio, "needs_restart", restart)
}
