package event

// Events of package stagework.
const (
	StageCallFailed ID = 4201
	DispatcherLost  ID = 4202
	StageJobRefused ID = 4203
	StageJobGivenUp ID = 4204
)

var _ = define(
	Definition{StageCallFailed, Warn, "stage_call_failed", "A call of a stage target failed or did not make all its pieces. room, gone, late and error count the pieces by fault, requests names up to four of theirs; they are made again elsewhere."},
	Definition{StageJobRefused, Info, "stage_job_refused", "The dispatcher did not take a request's stage work; the line holds its forecast beside the time that the request has, and how many jobs it had."},
	Definition{StageJobGivenUp, Info, "stage_job_given_up", "The dispatcher gave up a request's stage work that it had taken; the line holds how long it waited, what is left of its time, how many of its pieces were made and how many jobs there were."},
	Definition{DispatcherLost, Warn, "dispatcher_lost", "The instance that schedules stage work did not answer; it is left out for a while and the next one is asked."},
)
