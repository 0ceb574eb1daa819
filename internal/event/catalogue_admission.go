package event

// Events of package admission.
const (
	AdmissionTargetEjected ID = 2501
	AdmissionTargetLeaving ID = 2502
	AdmissionShedding      ID = 2503
	AdmissionShedOver      ID = 2504
)

var _ = define(
	Definition{AdmissionTargetEjected, Warn, "target_ejected", "A target failed or was far slower than is typical of its service, and gets no calls for the given time; investigate the target if this recurs."},
	Definition{AdmissionTargetLeaving, Info, "target_leaving_seen", "A target reported that it is leaving; it gets no new calls."},
	Definition{AdmissionShedding, Warn, "shedding", "The instance is near its limit of requests in flight and refuses requests of low priority and of organisations above their fair share."},
	Definition{AdmissionShedOver, Info, "shedding_over", "The instance accepts all requests again."},
)
