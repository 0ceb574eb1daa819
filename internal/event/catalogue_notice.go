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
	Definition{NoticeLeaving, Info, "notice_leaving", "A target says in an answer that it leaves, or another one answers at its address; it gets no new work from here."},
	Definition{NoticeLimit, Info, "notice_limit", "A target names how many requests a second it takes from all instances together; before is what it named until now, 0 if nothing."},
	Definition{NoticeLimitEnded, Info, "notice_limit_ended", "A target that had named a limit names none any more."},
	Definition{NoticePause, Info, "notice_pause", "A target that turned a request away wants nothing more from this instance for so long."},
	Definition{NoticeUnreadable, Warn, "notice_unreadable", "A target's answer asks for something in a form that cannot be read; it counts as not said."},
)
