package event

import "log/slog"

// TLS certificates, 2100 to 2199.
var (
	CertLoaded   = define(2101, slog.LevelInfo, "certificate in force", "")
	CertRejected = define(2102, slog.LevelError, "new certificate files rejected, the previous ones stay in force", "correct the files; see the error")
	CertExpiring = define(2103, slog.LevelWarn, "certificate expires within 7 days", "replace the files; no restart is needed")
)
