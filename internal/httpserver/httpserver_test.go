package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/zeromicro/go-zero/rest"
)

// serve starts a server with the routes on a loopback port.
func serve(t *testing.T, opts RouterOptions) (*Server, string) {
	t.Helper()
	handler, err := NewRouter(opts)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(Options{Name: "test", Listener: listener, Handler: handler})
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Kill)
	return server, "http://" + listener.Addr().String()
}

func route(path string, h http.HandlerFunc) []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: path, Handler: h}, {Method: http.MethodPost, Path: path, Handler: h}}
}

func get(t *testing.T, url string) (status int, body string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

// Symptom: a planned stop cuts answers. Events: a request is running when the
// stop begins. Cause: a server that closes its connections instead of waiting.
func TestShutdownWaitsForTheRequestInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server, url := serve(t, RouterOptions{Routes: route("/slow", func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})})
	answer := make(chan string)
	go func() {
		_, body := get(t, url+"/slow")
		answer <- body
	}()
	<-entered
	impatient, cancel := context.WithCancel(context.Background())
	cancel()
	if err := server.Shutdown(impatient); err == nil {
		t.Fatal("Shutdown returned while a request was in flight")
	}
	close(release)
	if got := <-answer; got != "whole" {
		t.Fatalf("answer %q", got)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func TestPanicBecomesAnInternalErrorWithoutItsText(t *testing.T) {
	_, url := serve(t, RouterOptions{Routes: route("/panic", func(http.ResponseWriter, *http.Request) { panic("secret detail") })})
	status, body := get(t, url+"/panic")
	if status != 500 || !strings.Contains(body, `"kind":"internal"`) || strings.Contains(body, "secret") || strings.Contains(body, "goroutine") {
		t.Fatalf("%d %s", status, body)
	}
}
