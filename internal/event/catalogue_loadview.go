package event

// Events of the load view controller.
const (
	LoadPollFailed   ID = 3301
	CacheEventGap    ID = 3302
	TargetClockMoved ID = 3303
)

var _ = define(
	Definition{LoadPollFailed, Debug, "load_poll_failed", "A target did not answer a poll of its load; its last report grows older."},
	Definition{CacheEventGap, Debug, "cache_event_gap", "Events of an engine's prefix cache were lost; a prefix that is absent from the view may still be cached."},
	Definition{TargetClockMoved, Warn, "target_clock_moved", "A target's clock was set; the ages of its reports are measured again from the start."},
)
