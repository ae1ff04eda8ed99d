package event

import "log/slog"

// Connections between VMs, 1400 to 1499.
var (
	PeerAcceptFailed    = define(1401, slog.LevelError, "accepting a connection from a VM failed", "check the limit of open files")
	PeerHandshakeFailed = define(1402, slog.LevelWarn, "TLS handshake with a VM failed", "check the certificates of both VMs")
	PeerConnectFailed   = define(1403, slog.LevelDebug, "connecting to a VM failed", "")
)
