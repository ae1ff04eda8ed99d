package event

import "log/slog"

// Records of the platform, 2300 to 2399.
var (
	FeedSource     = define(2301, slog.LevelInfo, "following another source of the platform's records", "")
	FeedLost       = define(2302, slog.LevelWarn, "a source of the platform's records does not answer", "the VM goes on with what it knows and asks the next source; look at the store if all VMs say so")
	FeedCompacted  = define(2303, slog.LevelInfo, "history no longer kept, reading the whole state", "")
	RecordIgnored  = define(2304, slog.LevelWarn, "record of the platform's store can't be used", "look at its writer; other records are not affected")
	FeedPackFailed = define(2305, slog.LevelError, "records could not be packed for a follower", "a fault of the program; the follower asks elsewhere")
	FeedPaused     = define(2306, slog.LevelWarn, "an answer was taken so late that this VM must have been paused", "the VM asks again; look at the machine if it repeats")
	VMPaused       = define(2307, slog.LevelWarn, "this VM was paused, and asks what has changed before it goes on", "look at the machine if it repeats")

	InstanceChanged = define(2310, slog.LevelInfo, "instance changed", "")
	InstanceGone    = define(2311, slog.LevelInfo, "instance gone", "")
	RemovalHeld     = define(2312, slog.LevelInfo, "removal held back because the store was away", "")
	VMChanged       = define(2313, slog.LevelInfo, "entry VM changed", "")
	VMGone          = define(2314, slog.LevelInfo, "entry VM gone", "")
	RoutesApplied   = define(2315, slog.LevelInfo, "routes in force", "")
	RoutesOld       = define(2316, slog.LevelWarn, "older routes refused, those in force stay", "")
	EvacuationSet   = define(2317, slog.LevelInfo, "evacuation of a data centre begins", "")
	EvacuationEnded = define(2318, slog.LevelInfo, "evacuation of a data centre ends", "")

	AnnounceFailed      = define(2330, slog.LevelWarn, "this VM's record could not be written or renewed", "lookups leave the VM out until it is; look at the store")
	Announced           = define(2331, slog.LevelInfo, "this VM's record is written", "")
	SpillChanged        = define(2340, slog.LevelInfo, "share of a service's objects that run in other regions", "")
	DigestFailed        = define(2341, slog.LevelWarn, "a digest of loads could not be sent or received", "placement goes by this VM's own answers meanwhile")
	CrashNoted          = define(2342, slog.LevelWarn, "an instance died while it ran a request", "after three such processes the request is refused for 10 min; look at what its caller sends")
	InstanceLeft        = define(2343, slog.LevelInfo, "another instance has the address of this one, which gets no requests for a while", "")
	CrashStep           = define(2344, slog.LevelInfo, "what this VM believes of a request whose instances died has changed", "step and deaths say how far it is from being refused; see OPERATIONS.md")
	RefusalRecorded     = define(2345, slog.LevelWarn, "a record names a request that instances died of, and it is refused", "look at what its caller sends; without a further death it passes again after 10 min")
	RefusalEnded        = define(2346, slog.LevelInfo, "the record of a refused request is gone", "")
	RefusedRecordFailed = define(2347, slog.LevelWarn, "a refused request could not be recorded", "VMs that start meanwhile don't know of it; look at the store")
	InstanceLeaves      = define(2348, slog.LevelInfo, "an instance says that it leaves, and gets no new requests", "")
	InstanceAsksToWait  = define(2349, slog.LevelInfo, "an instance wants no requests of this VM for a while", "look at the instance if it repeats")
	WaitUnusable        = define(2351, slog.LevelWarn, "an instance asked for a wait that is no number of seconds, negative or above an hour", "its answer counts as one without; look at the instance")
	SettingsRead        = define(2350, slog.LevelInfo, "settings read again", "")
	LinesDropped        = define(2360, slog.LevelWarn, "log lines dropped since the last one of this kind", "raise the limit or look at what writes so much")
)
