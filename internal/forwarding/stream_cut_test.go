package forwarding

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/route"
)

// framings are the ways in which a target determines the end of a response.
var framings = []string{"connection", "length", "chunks"}

// writeFramed writes a response of the framing whose body is all, up to the byte with the number cut.
// A cut response in chunks ends with the last chunk, as that of a handler that returned early.
func writeFramed(conn net.Conn, framing, all string, cut int) {
	head := "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
	body := all[:cut]
	switch framing {
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(all))
	case "chunks":
		head += "Transfer-Encoding: chunked\r\n"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		body += "0\r\n\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body)
	_ = conn.Close()
}

// Guards against a stream that broke off inside an event reaching its caller as complete, and not being resumed if
// its route allows that.
func TestAStreamCutInsideAnEventIsNotComplete(t *testing.T) {
	for _, framing := range framings {
		for _, end := range []string{"\n", "\r\n", "\r"} {
			for _, resumable := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%q/resumable=%v", framing, end, resumable), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { cutEverywhere(t, framing, end, resumable) })
				})
			}
		}
	}
}

// cutEverywhere cuts the first response of a request after each byte of its two events.
func cutEverywhere(t *testing.T, framing, end string, resumable bool) {
	all := string(eventsFrom(0, 2, end))
	first := len(eventsFrom(0, 1, end))
	for cut := range len(all) + 1 {
		var broken atomic.Bool
		r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) {
			if !broken.Swap(true) {
				writeFramed(conn, framing, all, cut)
				return
			}
			writeFramed(conn, "length", all, len(all)) // repeats events that the caller may have
		})
		w, aborted := r.call(t.Context(), inbound(route.Streaming, resumable, true), "body", time.Second)
		// A cut between events can't be told from the end, unless a length is missing.
		whole := cut == len(all) || framing != "length" && cut == first || framing == "chunks" && cut == 0
		switch got := w.Body.String(); {
		case whole && (aborted || w.Code != http.StatusOK || got != all[:cut]):
			t.Errorf("whole response of %d bytes: aborted %v, %d, %q", cut, aborted, w.Code, got)
		case whole:
		case resumable && (aborted || got != all):
			t.Errorf("cut after %q and resumed: aborted %v, %q", all[:cut], aborted, got)
		case !resumable && (!aborted || !strings.HasPrefix(all[:cut], got)):
			t.Errorf("cut after %q: aborted %v, %q", all[:cut], aborted, got)
		}
		if n := r.arrived("body"); !resumable && n != 1 {
			t.Errorf("cut after %q: %d targets got a request that may run once", all[:cut], n)
		}
	}
}

// Guards against a response that is no stream of events being taken for one that was cut inside an event.
func TestAnAnswerWithoutEventsIsComplete(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{\"a\": 1}")
				_ = conn.Close()
			})
			w, aborted := r.call(t.Context(), inbound(route.Streaming, resumable, true), "body", time.Second)
			if aborted || w.Body.String() != `{"a": 1}` {
				t.Errorf("resumable %v: aborted %v, %q", resumable, aborted, w.Body)
			}
		})
	}
}

// Guards against a stream of a plain service that broke off inside an event reaching its caller as complete.
func TestAStreamOfAPlainServiceCutInsideAnEventIsNotComplete(t *testing.T) {
	event := "data: " + strings.Repeat("x", 1000) + "\n\n"
	for _, events := range []int{1, 2 * bufferLimit / len(event)} {
		for _, cut := range []int{0, 1, 2, len(event) / 2} { // bytes that are missing
			synctest.Test(t, func(t *testing.T) {
				all := strings.Repeat(event, events)
				r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
					writeFramed(conn, "connection", all, len(all)-cut)
				})
				w, aborted := r.call(t.Context(), inbound(route.Streaming, false, false), "body", time.Second)
				complete := !aborted && w.Code == http.StatusOK
				if complete != (cut == 0) || complete && w.Body.String() != all {
					t.Errorf("%d events, %d bytes missing: aborted %v, status %d, %d bytes", events, cut, aborted, w.Code, w.Body.Len())
				}
			})
		}
	}
}
