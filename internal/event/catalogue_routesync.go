package event

// Events of route sync.
const (
	RoutesAdopted      ID = 3351
	RoutesNotNewer     ID = 3352
	RoutesUnreadable   ID = 3353
	TargetsChanged     ID = 3354
	TargetUnreadable   ID = 3355
	RouteStoreLost     ID = 3356
	RouteStoreRegained ID = 3357
	RoutePullFailed    ID = 3358
	ZonesEvacuated     ID = 3359
	StoreEraRose       ID = 3360
	RouteStoreSilent   ID = 3361
	TargetReadable     ID = 3362
	TargetStartedAgain ID = 3363
	TargetStartPast    ID = 3364
	TargetsLeft        ID = 3365
	RemovalsDeferred   ID = 3366
	TargetEntryLate    ID = 3367
)

var _ = define(
	Definition{RoutesAdopted, Info, "routes_adopted", "A version of the route table is in force on this instance."},
	Definition{RoutesNotNewer, Warn, "routes_not_newer", "A route table was offered, or deleted, whose version is not above the one in force; the one in force stays. The fields give the versions of both tables, if the offered one can be read, and the store's versions of both. If an operator wrote the table, write it again with a higher version."},
	Definition{RoutesUnreadable, Error, "routes_unreadable", "The offered route table cannot be read; the previous one stays in force here. Write the table again."},
	Definition{TargetsChanged, Info, "targets_changed", "Targets were added, changed or removed on this instance."},
	Definition{TargetUnreadable, Error, "target_unreadable", "An entry of the target list names no usable target: it cannot be parsed, lacks a field or has one of another type, or names another service. If a target was known by that name, it gets no new work until its next entry that names it; results that it holds are still read. Find the writer."},
	Definition{TargetReadable, Info, "target_readable", "The entry of a target names it again; it gets new work again unless it is draining."},
	Definition{TargetStartedAgain, Info, "target_started_again", "A target is listed under its id with a later start: it holds nothing of before, and its counts begin anew."},
	Definition{TargetStartPast, Warn, "target_start_past", "An entry states an earlier start of a target than the one that is known, as a late copy does; the known one stays in force."},
	Definition{TargetsLeft, Info, "targets_left", "Targets get no new work from this instance any more. The fields name some of them, and say how each departure is known, and from whom; after a deferral the source is grace."},
	Definition{RemovalsDeferred, Info, "removals_deferred", "Targets are missing in the platform's list and stay in use for a while, since the platform was away and targets that are alive may be missing for that reason. The fields name some of them, who reported them as missing, and why and for how long they stay."},
	Definition{TargetEntryLate, Info, "target_entry_late", "An entry of a target that leaves was written by the target before it said so, and stored after; the target keeps leaving."},
	Definition{RouteStoreLost, Warn, "route_store_lost", "The platform does not answer queries for routes and targets, or rejects this instance; the known ones stay in use, and peers are queried."},
	Definition{RouteStoreSilent, Warn, "route_store_silent", "The platform did not answer a probe, or rejected it, although a watch may still be pending; the other instances are notified, so that they query the platform instead."},
	Definition{RouteStoreRegained, Info, "route_store_regained", "The platform answers queries for routes and targets again."},
	Definition{RoutePullFailed, Debug, "route_pull_failed", "Routes or targets could not be fetched from a peer; the next exchange names another peer."},
	Definition{StoreEraRose, Warn, "store_era_rose", "The platform's store was restored from an older copy: everything written since that copy is lost until it is written again. What was in force on this instance stays in force; changes written after the restore are accepted."},
	Definition{ZonesEvacuated, Info, "places_evacuated", "The availability zones whose targets get no new work, by an operator's order, have changed on this instance."},
)
