package event

// Events of the client of package slotqueue.
const (
	SlotsCoordinatorLost ID = 4450
	SlotsOwnChoice       ID = 4451
	SlotsStated          ID = 4452
	SlotQueueSwitched    ID = 4453
)

var _ = define(
	Definition{SlotsCoordinatorLost, Info, "slots_coordinator_lost", "The instance that grants slots of plain targets no longer does: its stream failed, was silent, or it sent this instance elsewhere. The given number of requests that wait ask the next instance in rank, which is told of the slots that are held (of the given number of services)."},
	Definition{SlotsOwnChoice, Info, "slots_own_choice", "A plain request got no word on a slot, so this instance chose its target itself. cause: unheard (no message about it within 80 ms), slow (the same for another request just before), lost (several coordinators were lost), none (no instance can be asked). At most 10 such lines a second are written; omitted is the number left out since the line before."},
	Definition{SlotsStated, Info, "slots_stated", "This instance has told a coordinator that is new to it of the given number of slots that its requests hold."},
	Definition{SlotQueueSwitched, Info, "slot_queue_switched", "Requests of this instance for the plain service acquire slots from now on, or no longer do. setting is overload.slot_queue, paced says whether a target of the service has stated its pace to this instance, on which \"auto\" depends."},
)
