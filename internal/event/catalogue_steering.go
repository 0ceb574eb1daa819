package event

// Events of the steering controller.
const (
	SteeringNobody ID = 3601
)

var _ = define(
	Definition{SteeringNobody, Warn, "steering_nobody", "No instance takes new callers; the answer names those that are left, leaving ones included."},
)
