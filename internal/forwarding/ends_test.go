package forwarding

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/route"
)

// Guards against an attempt that ends without a line and a count of its own: a success that
// is not the target's own, a response that breaks off, a failure that is not forwarded, or
// one that this instance gave up.
func TestEachEndOfAnAttemptIsLogged(t *testing.T) {
	const unending = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 400000\r\n\r\nid: 1\nyes\n\n"
	for _, c := range []struct {
		name   string
		answer string
		then   string // after the answer: "close", "hang"
		end    attemptEnd
		line   string // fields of line 4212; "" = there is none
	}{
		{"answered", wholeAnswer, "hang", endAnswered, ""},
		{"refused", "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "hang", endRefused, "end=refused status=503 sent=true ran=false"},
		{"failed", "HTTP/1.1 500 S\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n", "hang", endFailed, "end=failed status=500 sent=true ran=true"},
		{"refused without a promise", "HTTP/1.1 429 S\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n", "hang", endFailed, "end=failed status=429 sent=true ran=true"},
		{"unsigned", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "hang", endUnsigned, "end=unsigned status=200 sent=true ran=true"},
		{"broke off", unending, "close", endBrokeOff, "end=broke_off status=200 sent=true ran=true"},
		{"no response", "", "close", endNoResponse, "end=no_response status=0 sent=true ran=true"},
		{"not sent", "", "refuse", endNotSent, "end=not_sent status=0 sent=false ran=false"},
		{"time limit before the response", "", "hang", endGivenUp, "end=given_up status=0 sent=true ran=true"},
		{"time limit within the response", unending, "hang", endGivenUp, "end=given_up status=200 sent=true ran=true"},
	} {
		for _, engine := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
					_, _ = io.WriteString(conn, c.answer)
					if c.then == "close" {
						_ = conn.Close()
					}
				})
				r.targets["m0"].dead = c.then == "refuse"
				var lines bytes.Buffer
				r.o.Logger, r.o.Metrics = event.NewLogger(log.NewLogfmtLogger(&lines)), metrics.NewRegistry()
				kind := map[bool]route.Kind{false: route.NonIdempotent, true: route.Streaming}[engine]
				r.call(t.Context(), inbound(kind, false, engine), "x", time.Second)
				name := fmt.Sprintf("%s, engine %v", c.name, engine)
				want := "event=4212 msg=forward_attempt_failed request=a service=s target=m0 attempt=1 " + c.line
				if c.line != "" && !strings.Contains(lines.String(), want+" ") {
					t.Errorf("%s: no %q in\n%s", name, want, &lines)
				}
				if c.line == "" && strings.Contains(lines.String(), "event=4212") {
					t.Errorf("%s: %s", name, &lines)
				}
				if want := "ends=m0:" + string(c.end); !strings.Contains(lines.String(), want) {
					t.Errorf("%s: no %q in\n%s", name, want, &lines)
				}
				if got := r.o.Metrics.Value(metricAttempts); !strings.Contains(got, fmt.Sprintf("%q: ", c.end)) {
					t.Errorf("%s: counted as %s", name, got)
				}
			})
		}
	}
}

// Guards against a response without an ID on a kept connection that the log does not tell
// from a connection that broke.
func TestUnclearEndIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := []string{identifiedAnswer, wholeAnswer}
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, body string) {
			_, _ = io.WriteString(conn, answers[len(body)-1])
		})
		r.o.Exchange = exchange.New(exchange.Options{Dial: r.dial, AttemptID: func(h http.Header) string { return h.Get("X-Id") }})
		var lines bytes.Buffer
		r.o.Logger = event.NewLogger(log.NewLogfmtLogger(&lines))
		first := inbound(route.NonIdempotent, false, false)
		r.call(t.Context(), first, "x", time.Second)
		second := inbound(route.NonIdempotent, false, false)
		second.Request.ID = "b"
		r.call(t.Context(), second, "xy", time.Second)
		for _, want := range []string{"request=b service=s target=m0 attempt=1 end=unclear status=0 sent=true ran=true", "ends=m0:unclear"} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("no %q in\n%s", want, &lines)
			}
		}
	})
}

// Guards against a request whose line at its end does not tell what became of its earlier
// attempts.
func TestEndLineListsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
			if n++; n == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // unsigned
				return
			}
			_, _ = io.WriteString(conn, wholeAnswer)
		})
		var lines bytes.Buffer
		r.o.Logger = event.NewLogger(log.NewLogfmtLogger(&lines))
		r.call(t.Context(), inbound(route.Idempotent, false, false), "x", time.Second)
		if want := "ends=m0:unsigned,m0:answered"; !strings.Contains(lines.String(), "event=4219") || !strings.Contains(lines.String(), want) {
			t.Errorf("no 4219 with %q in\n%s", want, &lines)
		}
	})
}

// Guards against an attempt without an end because its caller left while the response was
// forwarded.
func TestEndOfAnAttemptWhoseCallerLeftIsLogged(t *testing.T) {
	for _, engine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 400000\r\n\r\nid: 1\nyes\n\n")
			})
			var lines bytes.Buffer
			r.o.Logger = event.NewLogger(log.NewLogfmtLogger(&lines))
			ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer leave()
			kind := map[bool]route.Kind{false: route.NonIdempotent, true: route.Streaming}[engine]
			if _, cut := r.call(ctx, inbound(kind, false, engine), "x", time.Second); !cut {
				t.Error("the connection was not closed")
			}
			if want := "attempt=1 end=given_up status=200 sent=true ran=true"; !strings.Contains(lines.String(), want) {
				t.Errorf("engine %v: no %q in\n%s", engine, want, &lines)
			}
		})
	}
}

// leavingCaller is a ResponseWriter whose caller leaves after some bytes of the response.
type leavingCaller struct {
	*httptest.ResponseRecorder
	left int
}

func (w *leavingCaller) Write(p []byte) (int, error) {
	if w.left -= len(p); w.left < 0 {
		return 0, syscall.EPIPE
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against a long response that looks as if the target had broken it off, although
// its caller no longer took it.
func TestCallerOfALongResponseLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n", 3*bufferLimit)
			_, _ = conn.Write(make([]byte, 3*bufferLimit)) // until the connection closes
		})
		var lines bytes.Buffer
		r.o.Logger = event.NewLogger(log.NewLogfmtLogger(&lines))
		func() {
			defer func() { _ = recover() }() // http.ErrAbortHandler
			r.Serve(t.Context(), &leavingCaller{httptest.NewRecorder(), 2 * bufferLimit}, inbound(route.NonIdempotent, false, false))
		}()
		if want := "attempt=1 end=given_up status=200 sent=true ran=true"; !strings.Contains(lines.String(), want) {
			t.Errorf("no %q in\n%s", want, &lines)
		}
	})
}
