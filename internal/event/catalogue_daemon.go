package event

// Events of the daemon.
const (
	DaemonStarted  ID = 1001
	DaemonStopping ID = 1002
	DaemonStopped  ID = 1003
	DaemonStopCut  ID = 1004
	OutcomesLost   ID = 1005
)

var _ = define(
	Definition{DaemonStarted, Info, "daemon_started", "The instance has opened its listeners and serves requests."},
	Definition{DaemonStopping, Info, "daemon_stopping", "A graceful stop has begun: no new callers are directed to this instance; callers that have cached its address are still served."},
	Definition{DaemonStopped, Info, "daemon_stopped", "The instance has stopped."},
	Definition{DaemonStopCut, Error, "daemon_stop_cut", "The time limit of a graceful stop expired with requests in flight; they were aborted. Raise timings.stop_grace."},
	Definition{OutcomesLost, Warn, "outcomes_not_handed_over", "A stopping instance transferred its recent outcomes to no other instance; retries find only what the claims record."},
)
