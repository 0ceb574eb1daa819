package event

// Events of reservations for callers that were refused for lack of time.
const (
	ReservationMade     ID = 4231
	ReservationClaimed  ID = 4232
	ReservationExpired  ID = 4233
	ReservationsAdopted ID = 4234
	OverloadSwitched    ID = 4236
	ReservationNoMoment ID = 4235
)

var _ = define(
	Definition{ReservationMade, Info, "reservation_made", "A request was refused for lack of time, and capacity is reserved for its caller. due_ms is the Retry-After; the reservation holds from 150 ms before until 400 ms after it. latest_ms is the latest time that would have been useful, on_time tells whether the caller can be served on time then, reserved is the number of reservations."},
	Definition{ReservationClaimed, Info, "reservation_claimed", "A caller came back within the time for which its reservation holds; its request is accepted. after_due_ms is its delay, first_attempt_ms the time since its first attempt, from which its objective (aim_ms) is measured."},
	Definition{ReservationExpired, Info, "reservation_expired", "A caller did not come back while its reservation held; the capacity is given to others."},
	Definition{ReservationsAdopted, Info, "reservations_adopted", "The owner of a request sent copies of reservations that another dispatcher had made; adopted counts those that still fitted and were not known."},
	Definition{ReservationNoMoment, Info, "reservation_no_moment", "A request was refused for lack of time, and there is no useful time at which its caller could come back. retry_after_ms is the time until the overload is forecast to be over, deadline_ms what is left of the request's time."},
	Definition{OverloadSwitched, Info, "overload_switched", "Which parts of the overload control are in force has changed; scarce says that the platform announces scarce capacity, paced that a target has stated its pace."},
)
