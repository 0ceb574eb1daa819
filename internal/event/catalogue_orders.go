package event

// Events of the orders controller.
const (
	OrderGiven     ID = 3501
	OrderFailed    ID = 3502
	OrderOldFence  ID = 3503
	OrderHeldBack  ID = 3504
	PlanUnreadable ID = 3505
	PlanUnmet      ID = 3506
)

var _ = define(
	Definition{OrderGiven, Info, "order_given", "An engine accepted an order."},
	Definition{OrderFailed, Warn, "order_failed", "An engine did not accept an order; its state is read back and the order is repeated if it is still needed."},
	Definition{OrderOldFence, Warn, "order_old_fence", "An engine refused an order because its fencing number is outdated: another instance gives the orders now, or this one has renewed its lease in the meantime."},
	Definition{OrderHeldBack, Info, "order_held_back", "A model was not unloaded because no other engine confirmed that it has the model ready."},
	Definition{PlanUnreadable, Error, "plan_unreadable", "A model plan in the platform's store cannot be read; the last one read stays in force."},
	Definition{PlanUnmet, Warn, "plan_unmet", "A model version has fewer engines than its minimum and no engine has room for it."},
)
