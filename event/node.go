package event

import "log/slog"

// Start, stop and faults of the daemon, 1000 to 1099.
var (
	DaemonStarted   = define(1001, slog.LevelInfo, "daemon started", "")
	DaemonReady     = define(1002, slog.LevelInfo, "configuration confirmed, serving callers", "")
	StopRequested   = define(1003, slog.LevelInfo, "graceful stop requested", "")
	StopFinished    = define(1004, slog.LevelInfo, "graceful stop finished", "")
	StopTimedOut    = define(1005, slog.LevelError, "graceful stop timed out with requests in flight", "raise [node] stop_timeout or look for requests that never end")
	SettingsInvalid = define(1006, slog.LevelError, "settings rejected", "correct the named key; see docs/OPERATIONS.md")
	ListenerFailed  = define(1007, slog.LevelError, "a listener failed", "look at the error; restart the daemon")
	InvariantBroken = define(1090, slog.LevelError, "invariant violated", "report it with the log around it; see docs/PROOFS.md")
)
