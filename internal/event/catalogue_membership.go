package event

// Events of membership.
const (
	MembershipSuspect        ID = 3001
	MembershipDead           ID = 3002
	MembershipLeft           ID = 3003
	MembershipHealed         ID = 3004
	MembershipLeaving        ID = 3005
	MembershipRegisterFailed ID = 3006
	MembershipGone           ID = 3007
)

var _ = define(
	Definition{MembershipSuspect, Info, "instance_suspect", "An instance answered neither this one nor the others that were asked to probe it. It has a few seconds to refute the suspicion."},
	Definition{MembershipDead, Warn, "instance_dead", "A suspect instance did not refute the suspicion and is declared dead. If many appear at once, look for a network partition."},
	Definition{MembershipLeft, Info, "instance_left", "An instance that had announced that it was leaving is gone."},
	Definition{MembershipHealed, Info, "instance_back", "An instance that had been declared dead answered again."},
	Definition{MembershipLeaving, Info, "leaving_announced", "This instance announced that it is leaving."},
	Definition{MembershipRegisterFailed, Warn, "register_failed", "This instance could not refresh its entry in the platform's instance list; it retries."},
	Definition{MembershipGone, Info, "instance_gone", "The platform's instance list says that a dead instance is leaving: an operator declared it gone. Changes are accepted without it."},
)
