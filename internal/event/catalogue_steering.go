package event

// Events of the steering controller.
const (
	SteeringNobody ID = 3601
)

var _ = define(
	Definition{SteeringNobody, Warn, "steering_nobody", "No instance accepts new callers; the response lists those that are left, including leaving ones."},
)
