package event

// Events of the invariant checker.
const (
	InvariantViolated ID = 4101
)

var _ = define(
	Definition{InvariantViolated, Error, "invariant_violated", "The program broke one of its own rules; the request got an error instead of a wrong answer. This is a defect: report it with the log around it."},
)
