package event

// Events of the controller that notices when no target can be reached.
const (
	ReachLost     ID = 3950
	ReachRegained ID = 3951
)

var _ = define(
	Definition{ReachLost, Error, "reach_lost", "This instance reaches none of its targets: it refuses requests as isolated and gives up those it has. Look at the network between it and the targets."},
	Definition{ReachRegained, Info, "reach_regained", "This instance reaches a target again and takes requests."},
)
