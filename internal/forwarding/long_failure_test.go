package forwarding

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
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

// endless writes the head of a response and then blocks of its body until the forwarder closes the connection. It adds
// the number of bytes to written.
func endless(conn net.Conn, head string, written *atomic.Int64) {
	_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", block, strings.Repeat("x", block))
	for {
		n, err := io.WriteString(conn, chunk)
		written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against failures without end that are forwarded until the deadline, by plain targets and by engines, and against
// one that is passed on although no target has signed it.
func TestEndlessFailureIsCut(t *testing.T) {
	for _, c := range []struct {
		name, head string
		status     int // of the response
		cut        bool
	}{
		{"signed", "HTTP/1.1 500 S\r\nX-Signed: 1\r\nContent-Type: text/plain\r\n", 500, true},
		{"unsigned", "HTTP/1.1 500 S\r\nContent-Type: text/plain\r\n", 502, false},
		{"not found, unsigned", "HTTP/1.1 404 N\r\nContent-Type: text/plain\r\n", 502, false},
		{"refusal", "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\n", 503, false},
	} {
		for _, engine := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, engine %v", c.name, engine), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var written atomic.Int64
					r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) { endless(conn, c.head, &written) })
					kind := map[bool]route.Kind{false: route.NonIdempotent, true: route.Streaming}[engine]
					began := time.Now()
					w, cut := r.call(t.Context(), inbound(kind, false, engine), "x", 8*time.Second)
					if w.Code != c.status || cut != c.cut || time.Since(began) > time.Second {
						t.Errorf("status %d, cut off %v after %v", w.Code, cut, time.Since(began))
					}
					if most := int64(maxTotalAttempts * (failureLimit + 2*block)); written.Load() > most {
						t.Errorf("%d bytes were read", written.Load())
					}
				})
			})
		}
	}
}

// Guards against an earlier attempt that goes on, with its connection, beside the next one: its failure is too long to be
// buffered, and another target is tried.
func TestLongFailureEndsBeforeTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written atomic.Int64
		var failed, answered atomic.Bool
		r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) {
			if failed.CompareAndSwap(false, true) {
				endless(conn, "HTTP/1.1 500 S\r\nX-Signed: 1\r\n", &written)
				if answered.Load() {
					t.Error("the first attempt ended after the second one")
				}
				return
			}
			time.Sleep(time.Second)
			answered.Store(true)
			_, _ = io.WriteString(conn, wholeAnswer)
		})
		if w, cut := r.call(t.Context(), inbound(route.Idempotent, false, false), "x", 4*time.Second); cut || w.Code != 200 {
			t.Errorf("status %d, cut off %v", w.Code, cut)
		}
	})
}
