package forwarding

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// Guards against a handler that panics, and a response that is cut off: an engine fails a request with a response that is
// longer than what is buffered.
func TestLongFailureOfAnEngine(t *testing.T) {
	body := strings.Repeat("x", bufferLimit+block)
	answer := fmt.Sprintf("HTTP/1.1 500 S\r\nX-Signed: 1\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, resumable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, answer) })
			in := inbound(route.Streaming, resumable, true)
			in.Route.MaxAttempts = 1
			w, cut := r.call(t.Context(), in, "x", 2*time.Second)
			if cut || w.Code != 500 || w.Body.String() != body {
				t.Errorf("resumable %v: status %d, cut off %v, %d bytes", resumable, w.Code, cut, w.Body.Len())
			}
		})
	}
}
