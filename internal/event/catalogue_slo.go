package event

// Events of package slo.
const (
	BudgetBurnsFast ID = 4001
	BudgetBurnEnded ID = 4002
)

var _ = define(
	Definition{BudgetBurnsFast, Warn, "budget_burns_fast", "A profile misses its objective so often, over both the short and the long window, that its error budget will soon be exhausted. See lynxctl report burn for the stage, target and error kind."},
	Definition{BudgetBurnEnded, Info, "budget_burn_ended", "A profile's error budget no longer burns fast."},
)
