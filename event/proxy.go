package event

import "log/slog"

// Request path, 1600 to 1699.
var (
	RequestRefused    = define(1601, slog.LevelDebug, "request refused", "see the counter refusals by reason")
	RequestRetried    = define(1602, slog.LevelDebug, "request retried", "see the counter retries by reason")
	AnswerAborted     = define(1603, slog.LevelWarn, "answer ended early, connection to the caller aborted", "look at the instance that answered")
	UnknownHeader     = define(1605, slog.LevelWarn, "an instance's answer has a protocol header that this release does not know", "the header is forwarded and has no other effect; check whether a newer release supports it")
	RequestAnswered   = define(1604, slog.LevelDebug, "request answered", "")
	PipeliningEnabled = define(1620, slog.LevelInfo, "several requests of a caller's connection may be in flight", "")
)
