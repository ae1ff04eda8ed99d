package event

import "log/slog"

// Administration, 2200 to 2299.
var (
	AdminChange             = define(2201, slog.LevelInfo, "change accepted through the administration API", "")
	AdminRefused            = define(2202, slog.LevelWarn, "change refused by the administration API", "the response to the operator states the reason; see docs/OPERATIONS.md")
	AdminDenied             = define(2203, slog.LevelWarn, "unauthorised request to the administration API", "check who uses the address, and whether a token was replaced")
	AdminStoreFailed        = define(2204, slog.LevelWarn, "change refused because the store does not answer", "check the store, then send the change again with the same change ID")
	AdminLargeDropConfirmed = define(2205, slog.LevelWarn, "register imported although it drops many slots", "")
)
