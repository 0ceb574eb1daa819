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
	Definition{TargetJoined, Info, "target_joined", "The platform's instance list contains a new target."},
	Definition{TargetLeavingSeen, Info, "target_leaving", "The target was first reported as leaving; it gets no new work."},
	Definition{TargetBack, Info, "target_back", "The target is live again according to a report newer than the one that it is leaving."},
	Definition{TargetGone, Info, "target_gone", "The target is no longer in the platform's instance list and does not answer; it is removed."},
	Definition{TargetListFailed, Warn, "target_list_failed", "The platform's instance list could not be read; the known targets stay in use."},
	Definition{TargetListShrunk, Error, "target_list_shrunk", "The platform's instance list lacks more than half of the known targets; those that answer are kept. Check the platform."},
)
