package event

// Events of errors that leave an instance, one for each kind of package
// errkind. The kinds with a 4xx status are caused by the caller or an operator;
// the others indicate a fault in this instance, the platform or the targets.
const (
	RequestInternal            ID = 1900
	RequestBadRequest          ID = 1901
	RequestNoOrganisation      ID = 1902
	RequestUnauthenticated     ID = 1903
	RequestForbidden           ID = 1904
	RequestUnknownProfile      ID = 1905
	RequestUnknownKey          ID = 1906
	RequestNotFound            ID = 1907
	RequestTooLarge            ID = 1908
	RequestDeadlinePast        ID = 1909
	RequestDeadlineUnreachable ID = 1910
	RequestDeadlineBeforeRun   ID = 1911
	RequestDeadlineAfterRun    ID = 1912
	RequestOverloaded          ID = 1913
	RequestOrganisationLimit   ID = 1914
	RequestNoTarget            ID = 1915
	RequestTargetRefused       ID = 1916
	RequestTargetFailed        ID = 1917
	RequestTargetRejectedInput ID = 1918
	RequestStreamBroken        ID = 1919
	RequestAnswerTooLarge      ID = 1920
	RequestCrashesTargets      ID = 1921
	RequestKeyReused           ID = 1922
	RequestKeyExpired          ID = 1923
	RequestKeyInProgress       ID = 1924
	RequestOutcomeUnknown      ID = 1925
	RequestStoppedMidway       ID = 1926
	RequestStoreUnavailable    ID = 1927
	RequestStopping            ID = 1928
	RequestIsolated            ID = 1929
	RequestCancelled           ID = 1930
	RequestProfileInvalid      ID = 1931
	RequestConflict            ID = 1932
	RequestChangeUnknown       ID = 1933
	RequestStreamUnknown       ID = 1934
	RequestStreamUnconfirmed   ID = 1935
	RequestStreamVersionGone   ID = 1936
	RequestRefusedAfterCrashes ID = 1937
	RequestBodyTimeout         ID = 1938
)

var _ = define(
	Definition{RequestInternal, Error, "request_internal", "A defect in lynxhill."},
	Definition{RequestBadRequest, Info, "request_bad_request", "The request is malformed."},
	Definition{RequestNoOrganisation, Info, "request_no_organisation", "The request names no organisation."},
	Definition{RequestUnauthenticated, Info, "request_unauthenticated", "The token is missing or unknown."},
	Definition{RequestForbidden, Info, "request_forbidden", "The token does not permit this operation."},
	Definition{RequestUnknownProfile, Info, "request_unknown_profile", "No profile of that name is in force."},
	Definition{RequestUnknownKey, Info, "request_unknown_key", "This instance has no record of the idempotency key."},
	Definition{RequestNotFound, Info, "request_not_found", "There is no such object."},
	Definition{RequestTooLarge, Info, "request_too_large", "The request body exceeds the limit."},
	Definition{RequestDeadlinePast, Info, "request_deadline_past", "The deadline had passed when the request arrived."},
	Definition{RequestDeadlineUnreachable, Warn, "request_deadline_unreachable", "The stages would not finish within the deadline, so none was started."},
	Definition{RequestDeadlineBeforeRun, Warn, "request_deadline_before_run", "The deadline passed before a stage was started."},
	Definition{RequestDeadlineAfterRun, Warn, "request_deadline_after_run", "The deadline passed after a stage was started."},
	Definition{RequestOverloaded, Warn, "request_overloaded", "All targets and queues of the service are full."},
	Definition{RequestOrganisationLimit, Info, "request_organisation_limit", "The organisation has reached its limit."},
	Definition{RequestNoTarget, Warn, "request_no_target", "No target of the service is ready."},
	Definition{RequestTargetRefused, Warn, "request_target_refused", "Every target that was tried refused the stage before running it."},
	Definition{RequestTargetFailed, Warn, "request_target_failed", "A target failed while it may have run the stage."},
	Definition{RequestTargetRejectedInput, Info, "request_target_rejected_input", "A target rejected the input as invalid."},
	Definition{RequestStreamBroken, Warn, "request_stream_broken", "The response stream was interrupted and could not be resumed."},
	Definition{RequestAnswerTooLarge, Warn, "request_answer_too_large", "The response exceeds the size limit."},
	Definition{RequestCrashesTargets, Info, "request_crashes_targets", "Targets crashed while running this request, so it is refused."},
	Definition{RequestKeyReused, Info, "request_key_reused", "The idempotency key was already used with a different request body."},
	Definition{RequestKeyExpired, Info, "request_key_expired", "The idempotency key is older than its retention period."},
	Definition{RequestKeyInProgress, Info, "request_key_in_progress", "A request with this key is running."},
	Definition{RequestOutcomeUnknown, Info, "request_outcome_unknown", "A request with this key was started and its outcome is not recorded."},
	Definition{RequestStoppedMidway, Warn, "request_stopped_midway", "Some stages ran; the rest were not started."},
	Definition{RequestStoreUnavailable, Warn, "request_store_unavailable", "The platform's store did not answer in time, so nothing was started."},
	Definition{RequestStopping, Warn, "request_stopping", "This instance is stopping."},
	Definition{RequestIsolated, Warn, "request_isolated", "This instance cannot confirm its configuration."},
	Definition{RequestCancelled, Info, "request_cancelled", "The caller cancelled the request or disconnected."},
	Definition{RequestProfileInvalid, Info, "request_profile_invalid", "The profile violates a validation rule."},
	Definition{RequestConflict, Info, "request_conflict", "A concurrent change was applied first."},
	Definition{RequestChangeUnknown, Warn, "request_change_unknown", "The platform did not confirm the change; query its state by its change ID."},
	Definition{RequestStreamUnknown, Info, "request_stream_unknown", "No instance knows the stream that the request takes up, so it can't go on; a new one may be begun."},
	Definition{RequestStreamUnconfirmed, Warn, "request_stream_unconfirmed", "The instances that may know the stream that the request takes up did not answer."},
	Definition{RequestStreamVersionGone, Info, "request_stream_version_gone", "No target has the software version at which the stream began, so it can't go on; a new one may be begun."},
	Definition{RequestRefusedAfterCrashes, Info, "request_refused_after_crashes", "Targets crashed while running such requests, so this one was not run."},
	Definition{RequestBodyTimeout, Info, "request_body_timeout", "The body did not arrive in time."},
)
