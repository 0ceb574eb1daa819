package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/intake"
	"lynxhill.example/lynxhill/internal/memnet"
	"lynxhill.example/lynxhill/internal/route"
)

// evictableAfter is how long a caller may wait to send a request before its connection may be closed for another.
const evictableAfter = time.Second

// slowRig is an ingress whose forwarder responds to /fast at once and to other paths after release is closed.
type slowRig struct {
	*Ingress
	t        *testing.T
	listener *memnet.Listener
	release  chan struct{}
}

func (s *slowRig) Serve(_ context.Context, w http.ResponseWriter, in forwarding.Inbound) {
	if in.Request.Path != "/fast" {
		<-s.release
	}
	w.WriteHeader(http.StatusOK)
}

// withSlowRig runs the test with a slowRig in virtual time, and checks that all memory and connections are released at the end.
func withSlowRig(t *testing.T, b intake.Bounds, test func(*slowRig)) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowRig{t: t, listener: memnet.Listen(), release: make(chan struct{})}
		table := (&route.Table{Routes: []route.Route{{Host: "h", PathPrefix: "/"}}}).Build()
		yes := func() bool { return true }
		s.Ingress = New(Options{Codec: fakeCodec{}, Forwarder: s, Table: func() *route.Table { return table }, Clock: quartz.NewReal(), Confirm: func(context.Context) Confirmation { return Confirmation{Current: true} }, Serving: yes, Bounds: b})
		server := s.Server()
		go func() { _ = server.Serve(s.CallerListener(s.listener)) }()
		test(s)
		_ = server.Close()
		synctest.Wait()
		if held, open := s.held.Held(), s.callers.Count(); held != 0 || open != 0 {
			t.Errorf("at the end %d bytes are reserved and %d connections counted", held, open)
		}
	})
}

// dial opens a connection and sends text.
func (s *slowRig) dial(text string) net.Conn {
	conn, err := s.listener.Dial(s.t.Context(), "", "")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	go func() { _, _ = io.WriteString(conn, text) }()
	synctest.Wait()
	return conn
}

// answer reads a response and returns its status, whether the connection is closed after it, and the retry delay. It returns
// "ended" if the connection was closed without a response.
func answer(conn net.Conn) string {
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "ended"
	}
	if err != nil {
		return err.Error()
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return fmt.Sprintf("%d %t %s", r.StatusCode, r.Close, r.Header.Get("X-After"))
}

func post(path string, length int, sent string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, sent)
}

// Guards against an instance that is killed for its memory: more requests arrive than are answered, or their bodies arrive
// slowly, and all of them are kept in memory.
func TestRequestsInFlightAreBounded(t *testing.T) {
	const kept, closed = "503 false 250ms", "503 true 250ms"
	body := strings.Repeat("b", 40<<10)
	chunked := "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\na000\r\n" + body + "\r\n0\r\n\r\n"
	head := "GET /fast HTTP/1.1\r\nHost: h\r\nX-Long: " + body + "\r\n\r\n"
	tests := []struct{ name, first, next, want string }{
		{"memory for both", post("/x", 5, "bytes"), post("/fast", 5, "bytes"), "200 false "},
		{"no memory for another request", post("/x", len(body), body), post("/fast", 5, "bytes"), kept},
		{"short body is discarded", post("/x", len(body), body), post("/fast", 16<<10, body[:16<<10]), kept},
		{"short body does not arrive", post("/x", len(body), body), post("/fast", 5, ""), closed},
		{"long body is not read", post("/x", len(body), body), post("/fast", len(body), ""), closed},
		{"no memory for the body", post("/x", 0, ""), post("/fast", len(body), body), closed},
		{"no memory for the chunks", post("/x", 0, ""), strings.Replace(chunked, "/x", "/fast", 1), closed},
		{"declared and not sent", post("/x", len(body), ""), post("/fast", 5, "bytes"), "200 false "},
		{"no memory for the head", post("/x", len(body), body), head, closed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSlowRig(t, intake.Bounds{Held: 2*intake.RequestCost + 30<<10}, func(s *slowRig) {
				s.dial(tt.first)
				began := time.Now()
				conn := s.dial(tt.next)
				if got := answer(conn); got != tt.want || time.Since(began) > intake.DiscardTimeout {
					t.Errorf("%q after %v, want %q", got, time.Since(began), tt.want)
				}
				close(s.release)
				synctest.Wait()
				if got := answer(s.dial(post("/fast", 5, "bytes"))); got != "200 false " {
					t.Errorf("after the memory was released: %q", got)
				}
			})
		})
	}
}

// Guards against an instance that can connect neither to targets nor to the store, because callers that send nothing or
// little, or keep idle connections, use up the file descriptors of the process.
func TestConnectionsAreBounded(t *testing.T) {
	fast, slow, part := post("/fast", 0, ""), post("/x", 0, ""), "POST /x"
	tests := []struct {
		name     string
		first    [2]string // sent by two callers, as many as may be connected
		wait     time.Duration
		next     string
		firstEnd bool // the first connection is evicted for the next
	}{
		{"idle", [2]string{fast, fast}, evictableAfter, "200 false ", true},
		{"idle for a short time", [2]string{fast, fast}, evictableAfter / 2, "503 true 250ms", false},
		{"one active, one idle", [2]string{fast, slow}, evictableAfter, "200 false ", true},
		{"both active", [2]string{slow, slow}, evictableAfter, "503 true 250ms", false},
		{"no request at all", [2]string{"", ""}, evictableAfter, "200 false ", true},
		{"half a head", [2]string{part, slow}, evictableAfter, "200 false ", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSlowRig(t, intake.Bounds{Connections: 2}, func(s *slowRig) {
				var first [2]net.Conn
				for n, text := range tt.first {
					if first[n] = s.dial(text); text == fast {
						answer(first[n])
					}
				}
				time.Sleep(tt.wait)
				if got := answer(s.dial(fast)); got != tt.next {
					t.Errorf("next connection: %q, want %q", got, tt.next)
				}
				close(s.release)
				if got := answer(first[0]); (got == "ended") != tt.firstEnd {
					t.Errorf("first connection: %q", got)
				}
			})
		})
	}
}
