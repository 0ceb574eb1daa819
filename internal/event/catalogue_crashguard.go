package event

// Events of the guard against requests that crash targets.
const (
	CrashguardRefused     ID = 2701
	CrashguardCrash       ID = 2702
	CrashguardChecked     ID = 2703
	CrashguardExpired     ID = 2704
	CrashguardTrial       ID = 2705
	CrashguardLifted      ID = 2706
	CrashguardLoaded      ID = 2707
	CrashguardStoreFailed ID = 2708
)

var _ = define(
	Definition{CrashguardRefused, Error, "crashguard_refused", "Several targets crashed while running one request, or requests with one part in their prompts (key p. or a.); all instances refuse such requests, but for a rare trial. Find the caller by the requests that are refused with crashes_targets or refused_after_crashes, and inspect the input."},
	Definition{CrashguardCrash, Warn, "crashguard_crash", "A target crashed while it ran a request with the key: the fingerprint of the request, or a hash of a part of its prompt (p., a.). targets is the number of crashes that count for the key, with those that other instances saw; new says whether this one was not known. For parts, only the second and further crashes in sequence have a line."},
	Definition{CrashguardChecked, Info, "crashguard_checked", "An attempt broke off, and it was checked whether its target has crashed. If not, err says why: empty if the target accepts connections, otherwise the error of the connection."},
	Definition{CrashguardExpired, Info, "crashguard_expired", "The crashes under the key no longer count; targets is how many there were; rows of a single crash have no line."},
	Definition{CrashguardTrial, Warn, "crashguard_trial", "A request that is refused because targets crashed runs as a trial, to find out whether it still crashes them."},
	Definition{CrashguardLifted, Info, "crashguard_lifted", "Requests with the key, refused because targets had crashed, were answered; they are no longer refused."},
	Definition{CrashguardLoaded, Info, "crashguard_loaded", "The refusals were read from the platform's store after the start."},
	Definition{CrashguardStoreFailed, Warn, "crashguard_store_failed", "Refusals could not be read from the platform's store, or written to it; the call is repeated after retry_ms."},
)
