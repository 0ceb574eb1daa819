package event

// Events of the coordinators of plain targets' slots.
const (
	SlotRefused        ID = 4401
	SlotRefusedLeftOut ID = 4402
	SlotGranted        ID = 4403
	SlotTargetBackoff  ID = 4404
	SlotSessionOpened  ID = 4405
	SlotSessionClosed  ID = 4406
	SlotsAdopted       ID = 4407
	SlotsExpired       ID = 4408
)

var _ = define(
	Definition{SlotRefused, Info, "slot_refused", "This instance, as the coordinator of a service, refused a slot to a plain request of the instance owner. reason is the rule, retry_after_ms what the caller is told, wait_ms the forecast wait, left_ms the time to the request's deadline, capacity and demand the slots' worth of work that the targets can do and that arrives. request is the number of the request at its owner, as in the field slot of 4211 there. At most 10 such lines a second are written."},
	Definition{SlotRefusedLeftOut, Info, "slot_refused_left_out", "The given number of refusals were not logged within the last second in which there were more than the limit."},
	Definition{SlotGranted, Debug, "slot_granted", "This instance granted a slot of the target to owner's plain request. pace is how long work is expected to take there, 1 = as usual; pace_age_ms is the age of what the target last stated, -1 if it has not; free is the number of the target's slots that were free before."},
	Definition{SlotTargetBackoff, Warn, "slot_target_backoff", "A target did not respond, failed several requests in sequence, or refused one for which it had a slot; it gets no requests from this coordinator for backoff_ms, then one at a time until it responds."},
	Definition{SlotSessionOpened, Debug, "slot_session_opened", "An instance has this instance decide about slots."},
	Definition{SlotSessionClosed, Info, "slot_session_closed", "An instance's session ended. slots is the number of slots that it still used; they count as used for the mean duration of an attempt."},
	Definition{SlotsAdopted, Info, "slots_adopted", "An instance stated slots that it uses without a grant of this instance; they count as used here."},
	Definition{SlotsExpired, Info, "slots_expired", "Slots were freed without word of their owners: their sessions had ended, or their requests' deadlines had passed."},
)
