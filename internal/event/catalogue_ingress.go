package event

// Events of reloading the settings file, of the metrics listener, and of the limits that
// clients meet. 4240 is retired.
const (
	SettingsReloaded    ID = 4241
	SettingsUnusable    ID = 4242
	SettingsNeedRestart ID = 4243
	MetricsUnavailable  ID = 4244
	ClientLimitMet      ID = 4245
)

var _ = define(
	Definition{SettingsReloaded, Info, "settings_reloaded", "The settings file was reloaded; changed lists the keys that are now in force with another value."},
	Definition{SettingsUnusable, Warn, "settings_unusable", "The settings file cannot be read or is invalid, so the previous settings stay in force. lynxhilld check reports the error."},
	Definition{SettingsNeedRestart, Warn, "settings_need_restart", "The settings file differs in keys that take effect at the next start. Restart the instance to apply them."},
	Definition{MetricsUnavailable, Warn, "metrics_unavailable", "The instance cannot listen on the metrics address of the settings. Requests are served, but the metrics cannot be read."},
	Definition{ClientLimitMet, Warn, "client_limit_met", "Clients of a listener met a limit; count says how often since the last such line. connections: a new connection was rejected, since all others had a request or were sending one; add instances. behind: a connection was closed for another, since its request did not arrive. unread: the same, since its answer was not read. ahead: a request was refused that was sent before the answer to the one before, since connections were rejected. memory: there was none for a head or a body. head_bytes, body_bytes: larger than the configuration allows. head_time, body_time: not complete in time. Look for clients that connect and send or read little."},
)
