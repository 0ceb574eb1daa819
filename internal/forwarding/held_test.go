package forwarding

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// slowWriter is a caller that takes nothing until it is released.
type slowWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (s *slowWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.ResponseRecorder.Write(p)
}

// heldCase is a response to a caller that reads slowly.
type heldCase struct {
	name              string
	kind              route.Kind
	resumable, engine bool
	events            int // of 1 KiB
	eventBytes        int
	memory            int // that the instance has for the response; -1 = any
	most              int // bytes that may be taken from the target while the caller reads nothing
	reserved          int // bytes that must count by then
}

// Guards against an instance that is killed for its memory, because it takes responses of targets into memory that callers
// read slowly, and these do not count toward its bound.
func TestWhatIsHeldForSlowCallersIsBounded(t *testing.T) {
	const kib = 1 << 10
	const buffers = 16 * kib // of the connection to the target, and of one read
	for _, c := range []heldCase{
		{"stream", route.Streaming, false, true, 1000, kib, -1, streamBuffer + buffers, 0},
		{"resumable stream", route.Streaming, true, true, 1000, kib, -1, streamBuffer + buffers, 0},
		{"resumable stream, long events", route.Streaming, true, true, 4, 200 * kib, -1, 200*kib + streamBuffer + buffers, 2 * (200*kib - uncounted)},
		{"whole response", route.Idempotent, false, false, 200, kib, -1, 200*kib + buffers, 200*kib - uncounted},
		{"whole response, no memory", route.Idempotent, false, false, 200, kib, 0, uncounted + block + buffers, 0},
		{"whole response, some memory", route.Idempotent, false, false, 200, kib, 64 * kib, 64*kib + uncounted + block + buffers, 64 * kib},
		{"long response", route.Idempotent, false, false, 1000, kib, -1, bufferLimit + block + buffers, bufferLimit - uncounted},
		{"long response, no memory", route.Idempotent, false, false, 1000, kib, 0, uncounted + block + buffers, 0},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.check) })
	}
}

func (c heldCase) check(t *testing.T) {
	var all bytes.Buffer
	for n := range c.events {
		fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", c.eventBytes-20))
	}
	var taken atomic.Int64
	r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", all.Len())
		for rest := all.Bytes(); len(rest) > 0; {
			n, err := conn.Write(rest[:min(len(rest), 512)])
			if taken.Add(int64(n)); err != nil {
				return
			}
			rest = rest[n:]
		}
	})
	in := inbound(c.kind, c.resumable, c.engine)
	request := *in.Request
	request.Timeout, in.Request, in.Arrived = 5*time.Second, &request, time.Now()
	reserved := 0
	in.Reserve = func(n int) bool {
		if c.memory >= 0 && reserved+n > c.memory {
			return false
		}
		reserved += n
		return true
	}
	w := &slowWriter{httptest.NewRecorder(), make(chan struct{})}
	done := make(chan struct{})
	go func() { defer close(done); r.Serve(t.Context(), w, in) }()
	time.Sleep(time.Second)
	synctest.Wait()
	if got := int(taken.Load()); got > c.most {
		t.Errorf("%d bytes were taken from the target, want at most %d", got, c.most)
	}
	if reserved < c.reserved {
		t.Errorf("%d bytes count as held, want %d", reserved, c.reserved)
	}
	close(w.release)
	<-done
	if got, _ := io.ReadAll(w.Body); w.Code != http.StatusOK || !bytes.Equal(got, all.Bytes()) {
		t.Errorf("status %d, %d bytes of %d arrived", w.Code, len(got), all.Len())
	}
}
