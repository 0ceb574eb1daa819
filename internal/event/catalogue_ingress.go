package event

// Events of package ingress about what it is limited to, of the settings file
// that is read again, and of the listener for metrics.
const (
	IngressConnectionsFull ID = 4240
	SettingsReloaded       ID = 4241
	SettingsUnusable       ID = 4242
	SettingsNeedRestart    ID = 4243
	MetricsUnavailable     ID = 4244
)

var _ = define(
	Definition{IngressConnectionsFull, Warn, "ingress_connections_full", "As many callers are connected as the settings allow. closed counts connections that gave way to others since the last such line, being idle or without a request, refused those that were turned away. Look for callers that connect and send little; otherwise add instances."},
	Definition{SettingsReloaded, Info, "settings_reloaded", "The settings file was read again; changed lists the keys that are now in force with another value."},
	Definition{SettingsUnusable, Warn, "settings_unusable", "The settings file cannot be read or is wrong, so the settings from before stay in force. lynxhilld check shows the fault."},
	Definition{SettingsNeedRestart, Warn, "settings_need_restart", "The settings file differs in keys that take effect at the next start. Restart the instance if they are meant."},
	Definition{MetricsUnavailable, Warn, "metrics_unavailable", "The address for metrics in the settings cannot be listened on. Requests are served; nobody can read the metrics."},
)
