package forwarding

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// Guards against streams that break off 5 to 15 ms before their deadline at healthy
// targets (31 of 31 lost requests in a soak test of eight seeds). The head is
// forwarded early, and the last event arrives in the last milliseconds before the
// caller's deadline. The margin that is reserved for an error response ended the
// exchange although an error response could no longer be sent.
func TestAStreamMayUseItsLastMilliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 200 * time.Millisecond
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nConnection: close\r\nContent-Length: 12\r\n\r\n")
			time.Sleep(wait - responseMargin/2)
			_, _ = io.WriteString(conn, "id: 1\nlast\n\n")
		})
		w, cut := r.call(t.Context(), inbound(route.Streaming, false, true), "body", wait)
		if cut || w.Code != http.StatusOK || !strings.HasSuffix(w.Body.String(), "last\n\n") {
			t.Errorf("cut %v, status %d, body %q", cut, w.Code, w.Body)
		}
	})
}

// Guards against a stream whose head is forwarded, and which then breaks off, because the head arrived just when the
// time for it ended.
func TestHeadIsNotForwardedAfterItsTime(t *testing.T) {
	for _, ended := range []bool{false, true} {
		ctx, end := context.WithCancel(t.Context())
		fl := &flight{base: t.Context()}
		sending, headForwarded, cancel := fl.untilHead(ctx)
		if ended {
			end()
			<-sending.Done()
		}
		if headForwarded() == ended {
			t.Errorf("time ended %v: the head is forwarded %v", ended, !ended)
		}
		end()
		if !ended && sending.Err() != nil {
			t.Error("the stream ends with the time for its head")
		}
		cancel()
	}
}
