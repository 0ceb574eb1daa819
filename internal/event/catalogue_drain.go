package event

// Events of the drain controller.
const (
	DrainOrdered ID = 3701
	DrainCleared ID = 3702
	DrainInvalid ID = 3704
)

var _ = define(
	Definition{DrainOrdered, Info, "drain_in_force", "An operator's drain of the subject is in force on this instance."},
	Definition{DrainCleared, Info, "drain_cleared", "The drain of the subject is no longer in force on this instance."},
	Definition{DrainInvalid, Error, "drain_invalid", "A drain object cannot be read; its subject is treated as drained. Remove the drain and order it again."},
)
