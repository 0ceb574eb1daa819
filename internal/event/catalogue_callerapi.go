package event

// Events of packages callerapi and httpserver.
const (
	RequestAnswered ID = 1200
	HandlerPanicked ID = 1210
	LibraryWarning  ID = 1211
	LibraryNote     ID = 1212
	ServerListening ID = 1220
	ServerFailed    ID = 1221
	ServerWarning   ID = 1222
)

var _ = define(
	Definition{RequestAnswered, Debug, "request_answered", "A request was answered completely."},
	Definition{HandlerPanicked, Error, "handler_panicked", "A defect: the handler of a request panicked; its caller got an internal error. Report it with the stack."},
	Definition{LibraryWarning, Warn, "library_warning", "A library logged a warning or an error."},
	Definition{LibraryNote, Debug, "library_note", "A library logged a message below the level of a warning."},
	Definition{ServerListening, Info, "server_listening", "A listener accepts connections."},
	Definition{ServerFailed, Error, "server_failed", "A listener failed and accepts no more connections; the instance stops."},
	Definition{ServerWarning, Debug, "server_warning", "The HTTP server reports a faulty connection, such as a failed TLS handshake."},
)
