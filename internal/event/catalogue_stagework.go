package event

// Events of package stagework.
const (
	StageCallFailed ID = 4201
	DispatcherLost  ID = 4202
	StageJobRefused ID = 4203
	StageJobGivenUp ID = 4204

	StageTargetCrashed ID = 4206
	StageTrialAccepted ID = 4207
	StageJobLate       ID = 4208

	StageReportOfOtherStart ID = 4209
)

var _ = define(
	Definition{StageCallFailed, Warn, "stage_call_failed", "A call of a stage target failed or did not complete all its pieces. room, gone, late and error count the pieces by fault, requests names up to four of the affected requests; the pieces are run again elsewhere."},
	Definition{StageJobRefused, Info, "stage_job_refused", "The dispatcher did not accept a request's stage work; rule is the rule of the shares by which it was late, retry_after_ms what the caller is told; the other fields give the forecast, the time that the request has, and how many jobs the dispatcher had."},
	Definition{StageJobGivenUp, Info, "stage_job_given_up", "The dispatcher abandoned a request's stage work that it had accepted; rule and retry_after_ms are as in 4203, the other fields give how long the work waited, what is left of its time, how many of its pieces were completed and how many jobs there were."},
	Definition{StageJobLate, Info, "stage_job_late", "With shares in force, a job became late, so that it only gets capacity that on-time jobs leave; rule says why (no_capacity, priority, organisation, size). use_ms is the recent on-time work of its organisation at the service where it uses most, share_ms its equal share, both as target time decaying over counted_ms."},
	Definition{StageReportOfOtherStart, Info, "stage_report_of_other_start", "What a target reports of its memory or its cached prompt parts is of another start than the listed one, or states none that can be read; it is not applied."},
	Definition{StageTargetCrashed, Warn, "stage_target_crashed", "A stage target crashed while it ran a call. sent_ms_ago and broke_ms_ago are the ages of the start and the end of the call, keys the number of piece keys that the crash counts for, requests up to four of the affected requests; seen says whether a new connection was refused (dial) or another target has the address by now (list)."},
	Definition{StageTrialAccepted, Warn, "stage_trial_accepted", "The dispatcher accepted a request that is refused because stage targets crashed under its piece key, as a trial, to find out whether it still crashes them."},
	Definition{DispatcherLost, Warn, "dispatcher_lost", "The instance that schedules stage work did not answer; it is skipped for a while and the next one is asked."},
)
