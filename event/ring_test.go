package event

import (
	"bytes"
	"log/slog"
	"testing"
)

// The ring must keep its size and the order of events, and must pass events on to the
// log behind it.
func TestRingKeepsLatest(t *testing.T) {
	var log bytes.Buffer
	ring := NewRing(4)
	logger := slog.New(ring.Handler(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelWarn}))).With("vm", "vm-1")
	for i := range 6 {
		AdminChange.Log(logger, "n", i)
	}
	logger.Info("no number")
	AdminStoreFailed.Log(logger)
	got := ring.Since(0)
	if len(got) != 4 || got[0].Seq != 4 || got[3].ID != AdminStoreFailed.ID || got[0].Fields["n"] != "3" || got[0].Fields["vm"] != "vm-1" {
		t.Errorf("%+v", got)
	}
	if n := len(ring.Since(6)); n != 1 {
		t.Errorf("%d entries after 6", n)
	}
	if n := bytes.Count(log.Bytes(), []byte("\n")); n != 1 {
		t.Errorf("%d lines in a log of level warn: %s", n, &log)
	}
}
