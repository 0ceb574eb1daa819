package ingress

import (
	"context"
	"net"
	"net/http"

	"lynxhill.example/lynxhill/internal/intake"
)

// resetAborted makes the connection of a request that is being aborted end with a reset.
// It is deferred by the handler of a request of HTTP/1.0, whose caller takes a regular
// end of the connection for the end of the response.
func resetAborted(ctx context.Context) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		resetOnClose(intake.NetConnOf(ctx))
	}
	panic(cause)
}

// resetOnClose makes a later Close of a server's TCP connection send a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
