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

// Guards against a request that reaches a target which left while the connection to it was
// being opened: the target was chosen before, and nothing was looked up after.
func TestTargetThatLeavesDuringTheDialGetsNothing(t *testing.T) {
	for name, engine := range map[string]bool{"plain": false, "engine": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
				r.list(0, 1)
				r.targets["m0"].dialTime = 800 * time.Millisecond
				time.AfterFunc(400*time.Millisecond, func() { r.list(1, 2) })
				w, cut := r.call(t.Context(), inbound(route.Streaming, false, engine), "body", 5*time.Second)
				if cut || w.Code != http.StatusOK {
					t.Errorf("cut %v, status %d", cut, w.Code)
				}
				if left, other := len(r.targets["m0"].received), len(r.targets["m1"].received); left != 0 || other != 1 {
					t.Errorf("%d requests at the target that left, %d at the other", left, other)
				}
			})
		})
	}
}
