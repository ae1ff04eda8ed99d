package event

import "log/slog"

// At-most-once partitions, 1700 to 1799.
var (
	OnceRecordsLoaded      = define(1701, slog.LevelInfo, "partition records loaded", "")
	OnceLoadFailed         = define(1702, slog.LevelWarn, "partition records could not be loaded", "check the store; keyed requests continue from records of peers")
	OnceChangeStarted      = define(1710, slog.LevelInfo, "view change started", "")
	OnceViewInstalled      = define(1711, slog.LevelInfo, "view installed", "")
	OnceChangeFailed       = define(1712, slog.LevelInfo, "view change not completed", "none if a later one succeeds; otherwise check the store and the members of the partition")
	OnceHistoryLost        = define(1713, slog.LevelError, "all members of a partition were lost", "unknown keys of the partition are refused with may-have-run until the time given")
	OnceRecordMalformed    = define(1714, slog.LevelError, "partition record in the store is malformed", "correct or remove the named key")
	OnceRecordWrittenAgain = define(1716, slog.LevelWarn, "the store has an earlier partition record, the one in force is written again", "find out why the store went back")
	OnceStoreFailed        = define(1715, slog.LevelWarn, "store call for a partition record failed", "check the store; grants continue while all members are up")
	OnceLeaving            = define(1720, slog.LevelInfo, "moving partitions to other VMs", "")
	OnceLeft               = define(1721, slog.LevelInfo, "partitions moved", "")
	OnceLeaveTimedOut      = define(1722, slog.LevelWarn, "stopping before all partitions were moved", "check the store; the remaining members change the view after the stop")
)
