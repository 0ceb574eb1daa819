package event

// Events of profile sync.
const (
	ProfileInForce    ID = 3201
	ProfileUnreadable ID = 3202
	ConfigPaused      ID = 3203
	ConfigState       ID = 3204
	ConfigPullFailed  ID = 3205
	ProfileChanged    ID = 3206
	ProfileUnknown    ID = 3207
	ProfileAccepted   ID = 3208
)

var _ = define(
	Definition{ProfileInForce, Info, "profile_in_force", "A version of a profile is in force on this instance."},
	Definition{ProfileUnreadable, Error, "profile_unreadable", "The platform holds a profile that this instance cannot read; the previous version stays in force here. Write the profile again."},
	Definition{ConfigPaused, Warn, "process_was_paused", "This process was paused. It accepts no work until its configuration is confirmed."},
	Definition{ConfigState, Warn, "may_serve_changed", "Whether this instance may accept new work has changed. Isolated means that it reaches neither the platform nor most instances."},
	Definition{ConfigPullFailed, Debug, "pull_failed", "Configuration could not be fetched from a peer; another peer is tried."},
	Definition{ProfileChanged, Info, "profile_changed", "An operator's change of a profile was written."},
	Definition{ProfileUnknown, Warn, "change_unknown", "The platform did not confirm a change in time. Query its state by its change ID."},
	Definition{ProfileAccepted, Info, "change_accepted", "A change is in force wherever requests are accepted."},
)
