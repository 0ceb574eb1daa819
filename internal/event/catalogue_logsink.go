package event

// Events of package logsink.
const (
	LogLinesLeftOut ID = 4301
)

var _ = define(
	Definition{LogLinesLeftOut, Warn, "log_lines_left_out", "Lines are missing in this log. full counts those that found no room because the reader of the log did not keep up, rate the debug and info lines over the bound of bytes a second, failed those that could not be written; the first was left out for_ms before this line. Look at what reads the log, or lower log.level."},
)
