package event

// Events of package admission.
const (
	AdmissionTargetEjected ID = 2501
	AdmissionTargetLeaving ID = 2502
	AdmissionShedding      ID = 2503
	AdmissionShedOver      ID = 2504
)

var _ = define(
	Definition{AdmissionTargetEjected, Warn, "target_ejected", "A target failed or was slow far beyond its service and gets no calls for the time given; look at the target if it comes again."},
	Definition{AdmissionTargetLeaving, Info, "target_leaving_seen", "A target itself said that it is leaving; it gets no new calls."},
	Definition{AdmissionShedding, Warn, "shedding", "The instance is near its limit of requests in flight and refuses low priorities and organisations above their fair share."},
	Definition{AdmissionShedOver, Info, "shedding_over", "The instance takes all requests again."},
)
