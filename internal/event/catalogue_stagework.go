package event

// Events of package stagework.
const (
	StageCallFailed ID = 4201
	DispatcherLost  ID = 4202
)

var _ = define(
	Definition{StageCallFailed, Warn, "stage_call_failed", "A call of a stage target failed or did not make all its pieces. room, gone, late and error count the pieces by fault; they are made again elsewhere."},
	Definition{DispatcherLost, Warn, "dispatcher_lost", "The instance that schedules stage work did not answer; it is left out for a while and the next one is asked."},
)
