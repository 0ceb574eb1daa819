package event

// Events of the controller that detects that no target can be reached.
const (
	ReachLost     ID = 3950
	ReachRegained ID = 3951
)

var _ = define(
	Definition{ReachLost, Error, "reach_lost", "This instance reaches none of its targets: it refuses requests as isolated and aborts those in flight. Check the network between the instance and its targets."},
	Definition{ReachRegained, Info, "reach_regained", "This instance reaches a target again and accepts requests."},
)
