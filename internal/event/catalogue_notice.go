package event

// Events of package notice.
const (
	NoticeLeaving    ID = 4260
	NoticeLimit      ID = 4261
	NoticeLimitEnded ID = 4262
	NoticePause      ID = 4263
	NoticeUnreadable ID = 4264
)

var _ = define(
	Definition{NoticeLeaving, Info, "notice_leaving", "A target's response says that it is leaving, or a different target answers at its address; it gets no new work from this instance."},
	Definition{NoticeLimit, Info, "notice_limit", "A target announced how many requests per second it accepts from all instances together; before is its previous limit, 0 if there was none."},
	Definition{NoticeLimitEnded, Info, "notice_limit_ended", "A target that had announced a limit no longer announces one."},
	Definition{NoticePause, Info, "notice_pause", "A target that rejected a request asked this instance to send nothing more for the given time."},
	Definition{NoticeUnreadable, Warn, "notice_unreadable", "A target's response contains a notice that cannot be parsed; the notice is ignored."},
)
