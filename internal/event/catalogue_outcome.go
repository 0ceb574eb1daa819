package event

// Events of package outcome.
const (
	OutcomeFull ID = 2201
)

var _ = define(
	Definition{OutcomeFull, Warn, "outcome_registry_full", "Finished outcomes were dropped for room before their time; a resend may be told unknown_key. Raise the registry's limits or send fewer large answers."},
)
