package storeclient

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/standin/netfault"
)

// idleTime is how long the connection is idle before the second call.
const idleTime = 3 * time.Second

// Guards against a call that waits for its timeout on a connection that went silent
// while it was idle.
func TestRestedConnectionIsNotUsed(t *testing.T) {
	network := netfault.New()
	t.Cleanup(network.Close)
	listener, err := network.Listen("platform", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) })
	server := &http.Server{Handler: answer}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	c := New(Options{Endpoints: []string{listener.Addr().String()}, Dial: network.Dialer("a"), Budget: Budget{WritesPerSecond: 1e4, ReadsPerSecond: 1e4}})
	if _, err := c.Get(t.Context(), "p/a"); err != nil {
		t.Fatal(err)
	}
	network.Silence("platform")
	time.Sleep(idleTime)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := c.Get(ctx, "p/a"); err != nil {
		t.Errorf("a call after %v without one: %v", idleTime, err)
	}
}
