package event

// Events of package control/limits.
const (
	LimitsInvalid ID = 3801
)

var _ = define(
	Definition{LimitsInvalid, Error, "limit_invalid", "A limit in the store cannot be read; the organisation keeps its previous limit. Set it again with lynxctl."},
)
