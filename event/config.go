package event

import "log/slog"

// Configuration, 1200 to 1299.
var (
	ConfigApplied      = define(1201, slog.LevelInfo, "configuration version in force", "")
	ConfigRefused      = define(1202, slog.LevelError, "configuration version refused", "see docs/OPERATIONS.md; an older version in the store is repaired by restore")
	ConfigAccepted     = define(1203, slog.LevelInfo, "configuration change accepted", "")
	ConfigStoreFailing = define(1204, slog.LevelWarn, "the store does not answer, the last configuration stays in force", "check the store")
	ConfigStoreBack    = define(1205, slog.LevelInfo, "the store answers again", "")
	ConfigWatching     = define(1206, slog.LevelInfo, "watching the store", "")
	ConfigWatchEnded   = define(1207, slog.LevelInfo, "no longer watching the store", "")
	ConfigCleaned      = define(1208, slog.LevelInfo, "unreferenced chunks deleted from the store", "")
)
