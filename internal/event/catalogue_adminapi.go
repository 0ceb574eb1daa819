package event

// Events of package adminapi.
const (
	OperatorChanged ID = 1300
	OperatorRefused ID = 1301
	OperatorFailed  ID = 1302
)

var _ = define(
	Definition{OperatorChanged, Info, "operator_changed", "Audit: an operator made a change; the fields give operator, operation and subject."},
	Definition{OperatorRefused, Warn, "operator_refused", "Audit: a call of the admin API was refused because of its token or role."},
	Definition{OperatorFailed, Warn, "operator_failed", "Audit: an operator's change failed; the fields give the error kind. change_unknown means that the change may have taken effect."},
)
