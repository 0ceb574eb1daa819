package forwarding

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/route"
)

// Guards against two targets that work on one stream: this instance gives up the run at the first for a reason of its own,
// while that target is sound, and the stream goes on at the second. The first connection must have been closed by then.
func TestGivenUpRunEndsBeforeTheStreamGoesOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	event := "b\r\nid: 1\nyes\n\n\r\n"
	for _, c := range []struct {
		name, first string // what the first target sends
		reserve     func(int) bool
		unacked     int64
	}{
		{"event over the limit", head + event + "200000\r\nid: 2\n" + strings.Repeat("x", 0x200000-6), nil, 0},
		{"no memory", head + event + "40000\r\nid: 2\n" + strings.Repeat("x", 0x40000-6), func(int) bool { return false }, 0},
		{"not acknowledged", "", nil, 100},
		{"not signed", strings.Replace(head, "X-Signed: 1\r\n", "", 1) + event, nil, 0},
		{"malformed", "nonsense\r\n\r\n", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var requests, closed atomic.Int32
				r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) {
					if requests.Add(1) == 1 {
						_, _ = io.WriteString(conn, c.first)
						_, _ = io.Copy(io.Discard, conn) // works on until the forwarder closes
						closed.Add(1)
						return
					}
					time.Sleep(10 * time.Millisecond)
					if closed.Load() == 0 {
						t.Error("the first target still works")
					}
					_, _ = io.WriteString(conn, head+strings.Replace(event, "1\n", "2\n", 1)+"0\r\n\r\n")
				})
				r.o.Exchange = exchange.New(exchange.Options{
					Dial: r.dial, AttemptID: func(h http.Header) string { return h.Get("X-Id") },
					Unacked: func(conn net.Conn) int {
						if requests.Load() > 1 {
							return 0
						}
						return int(c.unacked)
					},
				})
				in := inbound(route.Streaming, true, true)
				in.Reserve = c.reserve
				w, cut := r.call(t.Context(), in, "x", 8*time.Second)
				if n := requests.Load(); n != 2 || cut || w.Code != 200 {
					t.Errorf("%d requests, status %d, cut off %v", n, w.Code, cut)
				}
			})
		})
	}
}
