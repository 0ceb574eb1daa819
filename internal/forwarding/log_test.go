package forwarding

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// slowScheduler takes 300 ms for a placement. Its assignments name the dispatcher edge-b.
type slowScheduler struct{ Scheduler }

type namedAssignment struct{ stagework.Assignment }

func (namedAssignment) Dispatcher() string { return "edge-b" }

func (w slowScheduler) Submit(ctx context.Context, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	time.Sleep(300 * time.Millisecond)
	a, refusal, err := w.Scheduler.Submit(ctx, job)
	return namedAssignment{a}, refusal, err
}

// Guards against a late request without a log line that shows where its time was spent and which instance scheduled it,
// for example if it waited long for a placement. Lines with the total time only, or only at level debug, don't suffice.
func TestEndLineTellsWhereTheTimeWent(t *testing.T) {
	const engineLine = "dispatcher=edge-b read_ms=50 wait_ms=300 first_ms=450 ms=550 "
	for _, c := range []struct {
		name         string
		in           Inbound
		latency      time.Duration // ms
		status, want string        // status of the response; expected part of the log
	}{
		{"engine, late", inbound(route.Streaming, false, true), 400, "200 OK", "level=info event=4214 msg=forward_late request=a"},
		{"engine, its times", inbound(route.Streaming, false, true), 400, "200 OK", engineLine},
		{"engine, first event in time", inbound(route.Streaming, false, true), 500, "200 OK", "level=debug event=4210 msg=forward_answered request=a"},
		{"engine, failed", inbound(route.Streaming, false, true), 400, "500 S", "level=info event=4211 msg=forward_failed request=a"},
		{"engine, times of a failure", inbound(route.Streaming, false, true), 400, "500 S", "dispatcher=edge-b read_ms=50 wait_ms=300 first_ms=550 ms=550"},
		{"plain, late", inbound(route.NonIdempotent, false, false), 200, "200 OK", "level=info event=4214 msg=forward_late request=a"},
		{"plain, its times", inbound(route.NonIdempotent, false, false), 200, "200 OK", "dispatcher= read_ms=50 wait_ms=0 first_ms=250 ms=250 "},
		{"plain, in time", inbound(route.NonIdempotent, false, false), 250, "200 OK", "level=debug event=4210"},
		{"plain, no target latency", inbound(route.NonIdempotent, false, false), 0, "200 OK", "level=debug event=4210"},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(conn, strings.Replace(wholeAnswer, "200 OK", c.status, 1)[:len(wholeAnswer)-len("200 OK")+len(c.status)-1])
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(conn, "\n")
			})
			var lines bytes.Buffer
			r.o.Logger, r.o.Scheduler = event.NewLogger(log.NewLogfmtLogger(&lines)), slowScheduler{r.o.Scheduler}
			c.in.Route.LatencyObjective = c.latency * time.Millisecond
			arrived := time.Now()
			time.Sleep(50 * time.Millisecond) // the body is read
			r.callAt(t.Context(), c.in, "x", 5*time.Second, arrived)
			if !strings.Contains(lines.String(), c.want) {
				t.Errorf("%s: %s", c.name, &lines)
			}
		})
	}
}

// Guards against a log that can't be written fast enough because targets are overloaded and each late response is logged.
func TestLogLinesOfLateResponsesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, wholeAnswer)
		})
		var lines bytes.Buffer
		r.o.Logger = event.NewLogger(log.NewSyncLogger(log.NewLogfmtLogger(&lines)))
		in := inbound(route.NonIdempotent, false, false)
		in.Route.LatencyObjective = time.Millisecond
		for range 2 {
			var callers sync.WaitGroup
			for range 25 {
				callers.Go(func() { r.call(t.Context(), in, "x", time.Second) })
			}
			callers.Wait()
			time.Sleep(2 * time.Second)
			synctest.Wait()
		}
		written, debug, omitted := strings.Count(lines.String(), "event=4214"), strings.Count(lines.String(), "event=4210"), strings.Count(lines.String(), "msg=forward_late_left_out count=15")
		if got := fmt.Sprint(written, debug, omitted); got != "20 30 2" {
			t.Errorf("%s", got)
		}
	})
}

// Guards against a request that was sent twice without a log line that tells the attempts' connections apart: which ones
// they were, what they had carried, and whether the response stated the request's ID.
func TestLinesTellTheConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refused atomic.Bool
		r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) {
			if refused.CompareAndSwap(false, true) {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 S\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return
			}
			_, _ = io.WriteString(conn, strings.Replace(wholeAnswer, "X-Signed", "X-Id: a\r\nX-Signed", 1))
		})
		r.o.Exchange = exchange.New(exchange.Options{Dial: r.dial, AttemptID: func(h http.Header) string { return h.Get("X-Id") }})
		var lines bytes.Buffer
		r.o.Logger = event.NewLogger(log.NewLogfmtLogger(&lines))
		r.call(t.Context(), inbound(route.NonIdempotent, false, false), "x", time.Second)
		for _, want := range []string{
			"event=4212 msg=forward_attempt_failed request=a", "conn=1 conn_requests=0 conn_repeated=false relayed=false skipped=0 identified=true",
			"event=4219 msg=forward_retried request=a", "conn=2 conn_requests=0 conn_repeated=false relayed=false skipped=0 identified=true",
		} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("no %q in\n%s", want, &lines)
			}
		}
	})
}
