package event

// Events of the lease controller.
const (
	LeaseAcquired   ID = 3401
	LeaseLost       ID = 3402
	LeaseLapsed     ID = 3403
	LeaseUnknown    ID = 3404
	LeaseReleased   ID = 3405
	LeaseUnreadable ID = 3406
)

var _ = define(
	Definition{LeaseAcquired, Info, "lease_acquired", "This instance now gives the orders to the engines of the service."},
	Definition{LeaseLost, Warn, "lease_lost", "Another instance took the lease of the service; this one gives no more orders."},
	Definition{LeaseLapsed, Warn, "lease_lapsed", "The lease ran out before it was renewed: the store was away or this instance was paused."},
	Definition{LeaseUnknown, Info, "lease_write_unknown", "The reply to a lease write was lost; it is settled by reading back."},
	Definition{LeaseReleased, Info, "lease_released", "This instance gave the lease back because it is stopping."},
	Definition{LeaseUnreadable, Error, "lease_unreadable", "The lease object does not hold a lease; it counts as held until its longest duration has passed."},
)
