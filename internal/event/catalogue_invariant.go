package event

// Events of the invariant checker.
const (
	InvariantViolated ID = 4101
)

var _ = define(
	Definition{InvariantViolated, Error, "invariant_violated", "The program violated one of its own invariants; the request got an error instead of a wrong response. This is a defect: report it with the surrounding log."},
)
