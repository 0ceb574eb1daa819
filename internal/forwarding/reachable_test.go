package forwarding

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// Guards against requests that wait, or are sent, while no target can be reached.
func TestUnreachableTargetsAreRefusedAtOnce(t *testing.T) {
	for _, engine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
			reachable := false
			r.o.Reachable = func() bool { return reachable }
			began := time.Now()
			w, cut := r.call(t.Context(), inbound(route.Streaming, false, engine), "body", time.Second)
			if cut || w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != unreachableRetryAfter.String() || time.Since(began) > 0 || r.arrived("body") > 0 {
				t.Errorf("cut %v, status %d, header %v after %v, %d arrived", cut, w.Code, w.Header(), time.Since(began), r.arrived("body"))
			}
			reachable = true
			if w, cut := r.call(t.Context(), inbound(route.Streaming, false, engine), "body", time.Second); cut || w.Code != http.StatusOK {
				t.Errorf("reachable again: cut %v, status %d", cut, w.Code)
			}
		})
	}
}
