package event

import "log/slog"

// Feed of the platform's records and their use, 2300 to 2399.
var (
	FeedSource     = define(2301, slog.LevelInfo, "following another source of the platform's records", "")
	FeedLost       = define(2302, slog.LevelWarn, "a source of the platform's records does not answer", "the VM keeps its present state and tries the next source; check the store if all VMs report it")
	FeedCompacted  = define(2303, slog.LevelInfo, "history was compacted, reading the whole state", "")
	RecordIgnored  = define(2304, slog.LevelWarn, "unusable record in the platform's store", "check the program that wrote it; other records are not affected")
	FeedPackFailed = define(2305, slog.LevelError, "records could not be encoded for a follower", "report it as a defect; the follower uses another source")
	FeedPaused     = define(2306, slog.LevelWarn, "an answer was processed so late that this VM must have been paused", "the VM repeats the query; check the machine if it recurs")
	VMPaused       = define(2307, slog.LevelWarn, "this VM was paused and fetches all changes before it continues", "check the machine if it recurs")

	InstanceChanged = define(2310, slog.LevelInfo, "instance changed", "")
	InstanceGone    = define(2311, slog.LevelInfo, "instance gone", "")
	RemovalDeferred = define(2312, slog.LevelInfo, "removal deferred because the store was unreachable", "")
	VMChanged       = define(2313, slog.LevelInfo, "entry VM changed", "")
	VMGone          = define(2314, slog.LevelInfo, "entry VM gone", "")
	RoutesApplied   = define(2315, slog.LevelInfo, "routes in force", "")
	RoutesRejected  = define(2316, slog.LevelWarn, "older routes rejected, the present ones stay in force", "")
	EvacuationSet   = define(2317, slog.LevelInfo, "evacuation of a data centre begins", "")
	EvacuationEnded = define(2318, slog.LevelInfo, "evacuation of a data centre ends", "")

	AnnounceFailed        = define(2330, slog.LevelWarn, "this VM's record could not be written or renewed", "lookups omit the VM until it is; check the store")
	Announced             = define(2331, slog.LevelInfo, "this VM's record is written", "")
	SpillChanged          = define(2340, slog.LevelInfo, "share of a service's objects that run in other regions", "")
	DigestFailed          = define(2341, slog.LevelWarn, "a digest of loads could not be sent or received", "until the next digest, placement uses the answers that this VM received")
	InstanceCrashed       = define(2342, slog.LevelWarn, "an instance crashed while it ran a request", "after three such crashes the request is refused for 10 min; check what its caller sends")
	InstanceReplaced      = define(2343, slog.LevelInfo, "another instance uses the address of this one, which gets no requests for a while", "")
	CrashSuspicionChanged = define(2344, slog.LevelInfo, "the suspicion of a request whose instances crashed has changed", "step and deaths show how close it is to being refused; see OPERATIONS.md")
	RefusalRecorded       = define(2345, slog.LevelWarn, "a request is refused because a record lists it as the cause of crashes", "check what its caller sends; without a further crash it is accepted again after 10 min")
	RefusalEnded          = define(2346, slog.LevelInfo, "the record of a refused request was removed", "")
	RefusedRecordFailed   = define(2347, slog.LevelWarn, "a refused request could not be recorded", "VMs that start meanwhile do not refuse it; check the store")
	InstanceLeaves        = define(2348, slog.LevelInfo, "an instance announced that it leaves; it gets no new requests", "")
	InstanceAsksToWait    = define(2349, slog.LevelInfo, "an instance asked this VM to send it no requests for a while", "check the instance if it recurs")
	WaitUnusable          = define(2351, slog.LevelWarn, "an instance asked for a wait that is not a number of seconds, negative or above an hour", "the wait is ignored; check the instance")
	SettingsRead          = define(2350, slog.LevelInfo, "settings read again", "")
	LinesDropped          = define(2360, slog.LevelWarn, "log lines dropped since the last event of this kind", "raise the limit or find the source of the lines")
)
