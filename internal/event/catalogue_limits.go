package event

// Events of package control/limits.
const (
	LimitsInvalid ID = 3801
)

var _ = define(
	Definition{LimitsInvalid, Error, "limit_invalid", "A limit in the store can't be read; the organisation keeps the limit it had. Set it again with lynxctl."},
)
