package event

// Events of the drain controller.
const (
	DrainOrdered ID = 3701
	DrainCleared ID = 3702
	DrainInvalid ID = 3704
)

var _ = define(
	Definition{DrainOrdered, Info, "drain_in_force", "An operator's drain of the subject is in force here."},
	Definition{DrainCleared, Info, "drain_cleared", "The drain of the subject is no longer in force here."},
	Definition{DrainInvalid, Error, "drain_invalid", "A drain object cannot be read; its subject counts as drained. Take it back and order it anew."},
)
