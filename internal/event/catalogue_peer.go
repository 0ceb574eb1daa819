package event

// Events of package peer.
const (
	PeerServerWarning ID = 3101
)

var _ = define(
	Definition{PeerServerWarning, Info, "peer_server_warning", "The server for other instances reports a faulty connection, such as one that went silent (a PING without an answer) or a failed TLS handshake."},
)
