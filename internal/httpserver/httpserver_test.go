package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/memnet"
)

// bench is a server on an in-memory listener, with a client.
type bench struct {
	t        *testing.T
	listener *memnet.Listener
	server   *Server
	client   *http.Client
}

// newBench starts a server with the routes; http2 makes the client use HTTP/2 in
// clear text.
func newBench(t *testing.T, opts RouterOptions, http2 bool) *bench {
	t.Helper()
	handler, err := NewRouter(opts)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, listener: memnet.Listen()}
	b.server = New(Options{Name: "test", Listener: b.listener, Handler: handler})
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{DialContext: b.listener.Dial, Protocols: protocols}
	b.client = &http.Client{Transport: transport}
	go func() { _ = b.server.Serve() }()
	return b
}

func (b *bench) close() {
	b.server.Close()
	b.client.CloseIdleConnections()
}

func (b *bench) get(path string) (status int, body string) {
	resp, err := b.client.Get("http://instance" + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}

func route(h http.HandlerFunc) RouterOptions {
	return RouterOptions{Routes: []Route{
		{Method: http.MethodGet, Path: "/x", Handler: h},
		{Method: http.MethodPost, Path: "/x", Handler: h},
	}}
}

// bothProtocols runs a test in virtual time over HTTP/1.1 and HTTP/2.
func bothProtocols(t *testing.T, test func(t *testing.T, http2 bool)) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%t", http2), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, http2) })
		})
	}
}

// Guards against a planned stop that truncates responses: a server with a
// request in flight closes its connections instead of waiting, or waits only for
// a fixed time.
func TestShutdownWaitsForTheRequestInFlight(t *testing.T) {
	bothProtocols(t, func(t *testing.T, http2 bool) {
		b := newBench(t, route(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Hour)
			_, _ = io.WriteString(w, "whole")
		}), http2)
		defer b.close()
		answer := make(chan string, 1)
		go func() {
			_, body := b.get("/x")
			answer <- body
		}()
		synctest.Wait()
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := b.server.Shutdown(shortCtx); err == nil {
			t.Fatal("Shutdown returned while a request was in flight")
		}
		if err := b.server.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := <-answer; got != "whole" {
			t.Fatalf("answer %q", got)
		}
		if _, err := b.client.Get("http://instance/x"); err == nil {
			t.Fatal("a stopped server accepted a connection")
		}
	})
}

// Guards against an instance that still answers after package bench has killed
// it, because Close waits for requests.
func TestKillCutsConnections(t *testing.T) {
	bothProtocols(t, func(t *testing.T, http2 bool) {
		release := make(chan struct{})
		b := newBench(t, route(func(http.ResponseWriter, *http.Request) { <-release }), http2)
		defer close(release)
		status := make(chan int, 1)
		go func() {
			s, _ := b.get("/x")
			status <- s
		}()
		synctest.Wait()
		b.close()
		if got := <-status; got != 0 {
			t.Fatalf("status %d after the kill", got)
		}
	})
}

func TestPanicBecomesAnInternalErrorWithoutItsText(t *testing.T) {
	bothProtocols(t, func(t *testing.T, http2 bool) {
		b := newBench(t, route(func(http.ResponseWriter, *http.Request) { panic("secret detail") }), http2)
		defer b.close()
		status, body := b.get("/x")
		if status != 500 || !strings.Contains(body, `"kind":"internal"`) || strings.Contains(body, "secret") || strings.Contains(body, "goroutine") {
			t.Fatalf("%d %s", status, body)
		}
	})
}

// Guards against a truncated response that looks complete: a handler panics
// after it has written a part, and the server ends the response normally.
func TestPanicMidwayCutsTheAnswer(t *testing.T) {
	bothProtocols(t, func(t *testing.T, http2 bool) {
		b := newBench(t, route(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half of the ")
			_ = http.NewResponseController(w).Flush()
			panic("defect")
		}), http2)
		defer b.close()
		if status, body := b.get("/x"); status != 0 {
			t.Fatalf("the truncated response was read as complete: %d %q", status, body)
		}
	})
}

// Guards against connections of refused callers that accumulate for ever: a
// caller with an unknown token announces a body and never sends it, and net/http
// reads the rest of the body before it sends the handler's response.
func TestAnswerToAnUnreadBodyIsNotHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := route(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
		opts.BodyTimeout = time.Second
		b := newBench(t, opts, false)
		defer b.close()
		conn, err := b.listener.Dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: i\r\nContent-Length: 10\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.Contains(line, "401") {
			t.Fatalf("answer %q, %v", line, err)
		}
	})
}

// Guards against connections that never complete their header and accumulate.
func TestAnUnfinishedHeaderIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, route(func(http.ResponseWriter, *http.Request) {}), false)
		defer b.close()
		conn, err := b.listener.Dial(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost:")
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatalf("the connection is still open after a minute: %v", err)
		}
	})
}

// Guards against a long request that is cancelled as if its caller had
// disconnected, although the caller waits: the request runs for longer than its
// body may take to arrive, and a read deadline that is not cleared looks like a
// closed connection.
func TestARequestMayOutliveItsBodyTimeout(t *testing.T) {
	bothProtocols(t, func(t *testing.T, http2 bool) {
		opts := route(func(w http.ResponseWriter, r *http.Request) {
			if _, err := ReadBody(w, r, 100); err != nil {
				WriteError(w, err, "")
				return
			}
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusGone)
			case <-time.After(time.Minute):
				_, _ = io.WriteString(w, "whole")
			}
		})
		opts.BodyTimeout = time.Second
		b := newBench(t, opts, http2)
		defer b.close()
		for range 2 { // the second one over the same connection
			resp, err := b.client.Post("http://instance/x", "", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if string(body) != "whole" || err != nil {
				t.Fatalf("%d %q %v", resp.StatusCode, body, err)
			}
		}
	})
}

func TestPathVariablesKeepWhatWasSent(t *testing.T) {
	handler, err := NewRouter(RouterOptions{Routes: []Route{{Method: http.MethodGet, Path: "/keys/:key/state",
		Handler: func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, PathVar(r, "key")) }}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"plain", "a/b", "a%2Fb", "a b", "a+b", "a?b#c", "ü", "..x", "100%", "a//b", "/"} {
		answer := call(handler, httptest.NewRequest(http.MethodGet, "/keys/"+url.PathEscape(key)+"/state", nil))
		if answer.Code != http.StatusOK || answer.Body.String() != key {
			t.Errorf("key %q: %d %s", key, answer.Code, answer.Body)
		}
	}
}

func TestAddrIsTheListenersAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(Options{Listener: listener, Handler: http.NotFoundHandler()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Run(ctx)
	}()
	resp, err := http.Get("http://" + server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	cancel()
	<-done
}
