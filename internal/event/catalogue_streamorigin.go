package event

// Events of package streamorigin.
const (
	StreamOriginsFull       ID = 4280
	StreamOriginsHandedOver ID = 4281
	StreamTakenUp           ID = 4282
)

var _ = define(
	Definition{StreamOriginsFull, Warn, "stream_origins_full", "This instance holds as many origins of streams as it may and drops those that expire first; their callers can't take their streams up if no other instance holds them. At most one such line a second is written."},
	Definition{StreamOriginsHandedOver, Info, "stream_origins_handed_over", "This instance is stopping and has sent the origins of streams that it holds to the given number of other instances; failed is the number of records that did not arrive."},
	Definition{StreamTakenUp, Info, "stream_taken_up", "A caller takes up a stream that began with the attempt resumes, after the event given by after. result says whether its origin was found; source is the instance that knew it, service and build the origin, asked and answered the number of other instances that were asked and that answered, ms the time that this took."},
)
