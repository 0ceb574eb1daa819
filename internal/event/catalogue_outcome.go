package event

// Events of package outcome.
const (
	OutcomeFull ID = 2201
)

var _ = define(
	Definition{OutcomeFull, Warn, "outcome_registry_full", "Finished outcomes were evicted before their time because the registry was full; a retry may get unknown_key. Raise the registry's limits or send fewer large responses."},
)
