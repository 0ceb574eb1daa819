package event

// Events of the discovery controller.
const (
	TargetJoined      ID = 3901
	TargetLeavingSeen ID = 3902
	TargetBack        ID = 3903
	TargetGone        ID = 3904
	TargetListFailed  ID = 3905
	TargetListShrunk  ID = 3906
)

var _ = define(
	Definition{TargetJoined, Info, "target_joined", "The platform's list names a new target."},
	Definition{TargetLeavingSeen, Info, "target_leaving", "First sign that the target is leaving; it gets no new work."},
	Definition{TargetBack, Info, "target_back", "The target is live again by a sign later than the one of its leaving."},
	Definition{TargetGone, Info, "target_gone", "The target is off the platform's list and does not answer; it is forgotten."},
	Definition{TargetListFailed, Warn, "target_list_failed", "The platform's instance list could not be read; the targets known stay in use."},
	Definition{TargetListShrunk, Error, "target_list_shrunk", "The platform's list lacks more than half of the targets known; those that answer are kept. Check the platform."},
)
