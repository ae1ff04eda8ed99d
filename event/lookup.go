package event

import "log/slog"

// Lookups over HTTP and DNS, 2000 to 2099.
var (
	LookupListening  = define(2001, slog.LevelInfo, "lookup listener started", "")
	LookupStopped    = define(2002, slog.LevelInfo, "lookup listener stopped", "")
	LookupListenLost = define(2003, slog.LevelError, "lookup listener failed", "restart the daemon; look for the cause in the error")
	LookupOverloaded = define(2004, slog.LevelWarn, "lookups refused, this VM is at its limit", "add entry VMs or raise [lookup] max_concurrent")
	LookupNoVM       = define(2005, slog.LevelError, "lookups refused, every entry VM is drained or not serving", "cancel a drain or start entry VMs")
)
