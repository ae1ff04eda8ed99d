package event

import "log/slog"

// Membership, 1300 to 1399.
var (
	MemberChanged   = define(1301, slog.LevelInfo, "a VM changed its state", "")
	MemberGone      = define(1302, slog.LevelWarn, "a VM is gone", "check whether it was stopped on purpose")
	MemberRefuted   = define(1303, slog.LevelWarn, "this VM was suspected and raised its incarnation", "look for process pauses or network faults")
	MemberDuplicate = define(1304, slog.LevelError, "another process uses the ID of this VM", "give each VM its own ID")
	MemberListStale = define(1305, slog.LevelWarn, "the platform's list of VMs cannot be read, the last one stays in use", "check the platform")
)
