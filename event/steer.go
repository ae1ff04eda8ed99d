package event

import "log/slog"

// Steering and planning, 1500 to 1599.
var (
	SteeringMemberChanged = define(1501, slog.LevelInfo, "VM changed its state", "")
	SteerFailed           = define(1502, slog.LevelError, "lookup snapshot not built", "check the asset register")
	PlanMade              = define(1503, slog.LevelInfo, "plan published", "")
	PlanMove              = define(1504, slog.LevelInfo, "traffic shifted by the plan", "")
	PlanFailed            = define(1505, slog.LevelWarn, "plan not published", "the previous plan stays in force; see the store's events")
	PlanAdopted           = define(1506, slog.LevelDebug, "plan adopted", "")
	PlannerLease          = define(1507, slog.LevelInfo, "planner lease taken", "")
	PlanRejected          = define(1508, slog.LevelWarn, "plan rejected", "report it with the plan's version")
)
