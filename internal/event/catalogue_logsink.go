package event

// Events of package logsink.
const (
	LogLinesLeftOut ID = 4301
)

var _ = define(
	Definition{LogLinesLeftOut, Warn, "log_lines_left_out", "Lines are missing from this log. full counts lines dropped because the reader of the log did not keep up and the buffer was full, rate the debug and info lines above the limit of bytes per second, failed those that could not be written; the first was dropped for_ms before this line. Check the reader of the log, or lower log.level."},
)
