package ingress

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/intake"
	"lynxhill.example/lynxhill/internal/memnet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/route"
)

// trickle sends a text in parts with a pause between them, until the connection ends.
func trickle(sending *sync.WaitGroup, conn net.Conn, pause time.Duration, parts ...string) {
	_ = conn.SetDeadline(time.Time{})
	sending.Go(func() {
		for _, part := range parts {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// Guards against callers that occupy all connections with requests that never become whole:
// the one that is furthest behind has to make room, and a slow one that keeps its pace stays.
func TestCallersThatFallBehindMakeRoom(t *testing.T) {
	const kilobyte = 1 << 10
	slice := strings.Repeat("b", kilobyte)
	body := make([]string, 8)
	for i := range body {
		body[i] = slice
	}
	withSlowRig(t, intake.Bounds{Connections: 3}, func(s *slowRig) {
		var sending sync.WaitGroup
		defer sending.Wait()
		slow := s.dial(post("/fast", len(body)*kilobyte, ""))
		trickle(&sending, slow, 500*time.Millisecond, body...)
		stopped := s.dial(post("/fast", 100, "half"))
		trickled := s.dial(post("/fast", 100, ""))
		trickle(&sending, trickled, 200*time.Millisecond, strings.Split(strings.Repeat("x", 99), "")...)
		time.Sleep(1500 * time.Millisecond)
		if got := answer(s.dial(post("/fast", 0, ""))); got != "200 false " {
			t.Errorf("first new connection: %q", got)
		}
		if got := answer(stopped); got != "503 true 250ms" {
			t.Errorf("the body that stopped: %q", got)
		}
		if got := answer(s.dial(post("/fast", 0, ""))); got != "200 false " {
			t.Errorf("second new connection: %q", got)
		}
		if got := answer(trickled); got != "503 true 250ms" {
			t.Errorf("the body that trickles: %q", got)
		}
		if got := answer(slow); got != "200 false " {
			t.Errorf("the slow body that keeps its pace: %q", got)
		}
	})
}

// Guards against bodies that stop and keep their memory, so that no other large body finds
// any.
func TestMemoryOfStoppedBodiesIsTakenBack(t *testing.T) {
	body := strings.Repeat("b", 90<<10)
	withSlowRig(t, intake.Bounds{Held: 4 * intake.RequestCost}, func(s *slowRig) {
		stopped := s.dial(post("/fast", len(body), body[1:]))
		if got := answer(s.dial(post("/fast", 5, "bytes"))); got != "200 false " {
			t.Errorf("a small request beside it: %q", got)
		}
		if got := answer(s.dial(post("/fast", len(body), body))); got != "503 true 250ms" {
			t.Errorf("another large body, while the first is on its pace: %q", got)
		}
		time.Sleep(time.Second)
		_ = stopped.SetDeadline(time.Now().Add(time.Second))
		if got := answer(s.dial(post("/fast", len(body), body))); got != "200 false " {
			t.Errorf("another large body, when the first is behind: %q", got)
		}
		if got := answer(stopped); got != "503 true 250ms" {
			t.Errorf("the body that stopped: %q", got)
		}
	})
}

// Guards against limits on times that apply as they were when a connection began to wait,
// and not as the configuration in force has them.
func TestTimesFollowTheConfiguration(t *testing.T) {
	const half = "POST /fast HTTP/1.1\r\nHost: h"
	for _, c := range []struct {
		name          string
		sent          string
		before, after route.Limits
		want          time.Duration
	}{
		{"header timeout", half, route.Limits{HeaderTimeout: time.Second}, route.Limits{HeaderTimeout: time.Second}, time.Second},
		{"header timeout raised", half, route.Limits{HeaderTimeout: time.Second}, route.Limits{HeaderTimeout: 9 * time.Second}, 9 * time.Second},
		{"header timeout lowered", half, route.Limits{HeaderTimeout: 9 * time.Second}, route.Limits{HeaderTimeout: 2 * time.Second}, 2 * time.Second},
		{"idle", "", route.Limits{IdleTimeout: 4 * time.Second}, route.Limits{IdleTimeout: 4 * time.Second}, 4*time.Second + idleMargin},
		{"idle raised", "", route.Limits{IdleTimeout: 4 * time.Second}, route.Limits{IdleTimeout: 30 * time.Second}, 30*time.Second + idleMargin},
		{"idle lowered", "", route.Limits{IdleTimeout: 30 * time.Second}, route.Limits{IdleTimeout: 4 * time.Second}, 4*time.Second + idleMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := c.before
				table := func() *route.Table { return &route.Table{Limits: limits} }
				listener := memnet.Listen()
				g := New(Options{
					Codec: fakeCodec{}, Table: table, Clock: quartz.NewReal(), Serving: func() bool { return true },
					Confirm: func(context.Context) Confirmation { return Confirmation{Current: true} },
				})
				server := g.Server()
				go func() { _ = server.Serve(g.CallerListener(listener)) }()
				defer server.Close()
				conn, err := listener.Dial(t.Context(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				began := time.Now()
				if c.sent != "" {
					_, _ = io.WriteString(conn, c.sent)
				}
				time.Sleep(500 * time.Millisecond)
				limits = c.after
				g.LimitsChanged()
				if _, err := io.Copy(io.Discard, conn); err != nil {
					t.Error(err)
				}
				if got := time.Since(began); got != c.want {
					t.Errorf("closed after %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against limits that clients meet without a trace in the metrics.
func TestLimitsThatClientsMeetAreCounted(t *testing.T) {
	registry := metrics.NewRegistry()
	synctest.Test(t, func(t *testing.T) {
		s := &slowRig{t: t, listener: memnet.Listen(), release: make(chan struct{})}
		table := (&route.Table{
			Routes: []route.Route{{Host: "h", PathPrefix: "/"}},
			Limits: route.Limits{MaxBodyBytes: 10, MaxHeaderBytes: 1 << 10, HeaderTimeout: time.Second},
		}).Build()
		s.Ingress = New(Options{
			Codec: fakeCodec{}, Forwarder: s, Table: func() *route.Table { return table }, Clock: quartz.NewReal(), Metrics: registry,
			Confirm: func(context.Context) Confirmation { return Confirmation{Current: true} }, Serving: func() bool { return true },
		})
		server := s.Server()
		go func() { _ = server.Serve(s.CallerListener(s.listener)) }()
		defer time.Sleep(time.Second) // connections that linger are closed
		defer server.Close()
		for sent, want := range map[string]string{
			post("/fast", 11, "0123456789+"):                                                           "413 false -1ns",
			"GET /fast HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 8<<10):                     "431 true -1ns",
			"GET /fast HTTP/1.1\r\nHost: h":                                                            "ended",
			"POST /fast HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n": "413 true -1ns",
		} {
			if got := answer(s.dial(sent)); got != want {
				t.Errorf("%.60q: %q, want %q", sent, got, want)
			}
		}
	})
	counts := registry.Value(metrics.Definition{Name: "client_limits_total"})
	for _, want := range []string{`"callers,body_bytes": 2`, `"callers,head_bytes": 1`, `"callers,head_time": 1`} {
		if !strings.Contains(counts, want) {
			t.Errorf("the counts %s lack %s", counts, want)
		}
	}
}
