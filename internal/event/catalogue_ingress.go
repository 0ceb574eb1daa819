package event

// Events of package ingress about its connection limit, of reloading the
// settings file, and of the metrics listener.
const (
	IngressConnectionsFull ID = 4240
	SettingsReloaded       ID = 4241
	SettingsUnusable       ID = 4242
	SettingsNeedRestart    ID = 4243
	MetricsUnavailable     ID = 4244
)

var _ = define(
	Definition{IngressConnectionsFull, Warn, "ingress_connections_full", "The number of connected callers has reached the limit in the settings. closed counts the connections, idle or without a request, that were closed in favour of others since the last such line; refused counts those that were rejected. Look for callers that connect and send little; otherwise add instances."},
	Definition{SettingsReloaded, Info, "settings_reloaded", "The settings file was reloaded; changed lists the keys that are now in force with another value."},
	Definition{SettingsUnusable, Warn, "settings_unusable", "The settings file cannot be read or is invalid, so the previous settings stay in force. lynxhilld check reports the error."},
	Definition{SettingsNeedRestart, Warn, "settings_need_restart", "The settings file differs in keys that take effect at the next start. Restart the instance to apply them."},
	Definition{MetricsUnavailable, Warn, "metrics_unavailable", "The instance cannot listen on the metrics address of the settings. Requests are served, but the metrics cannot be read."},
)
