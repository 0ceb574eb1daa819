package event

// Events of package peer.
const (
	PeerServerWarning    ID = 3101
	PeerCallUnanswered   ID = 3102
	PeerConnectionSilent ID = 3103
)

var _ = define(
	Definition{PeerServerWarning, Info, "peer_server_warning", "The server for other instances reports a faulty connection, such as one that went silent (a PING without an answer) or a failed TLS handshake."},
	Definition{PeerCallUnanswered, Info, "peer_call_unanswered", "A call to another instance was abandoned on a reused connection on which nothing arrived while it waited. The fields give the call, what ended it, how long it waited, how long nothing had arrived on the connection, and the age of the connection. An instance that answers callers meanwhile is reachable on new connections only."},
	Definition{PeerConnectionSilent, Info, "peer_connection_silent", "A kept connection to another instance stopped delivering data while a new one was answered; it gets no more calls, and neither do other connections on which nothing has arrived since."},
)
