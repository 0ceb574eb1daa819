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
	Definition{LeaseAcquired, Info, "lease_acquired", "This instance holds the lease of the service and now gives orders to its engines."},
	Definition{LeaseLost, Warn, "lease_lost", "Another instance took the lease of the service; this one gives no more orders."},
	Definition{LeaseLapsed, Warn, "lease_lapsed", "The lease expired before it was renewed: the store was unavailable or this instance was paused."},
	Definition{LeaseUnknown, Info, "lease_write_unknown", "The reply to a lease write was lost; the lease is read back to find out whether the write took effect."},
	Definition{LeaseReleased, Info, "lease_released", "This instance released the lease because it is stopping."},
	Definition{LeaseUnreadable, Error, "lease_unreadable", "The lease object does not hold a valid lease; it is treated as held until the longest lease duration has passed."},
)
