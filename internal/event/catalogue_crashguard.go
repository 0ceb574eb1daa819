package event

// Events of the guard against requests that crash targets.
const (
	CrashguardRefused ID = 2701
)

var _ = define(
	Definition{CrashguardRefused, Error, "crashguard_refused", "Several targets crashed while running one request; all instances refuse the request until the refusal expires. Find the caller by the crashes_targets errors and inspect the input."},
)
